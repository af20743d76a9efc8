//! The tenants of a run, and what is guaranteed to them.

use crate::{
    callers::{Exchange, Kind},
    environment::Environment,
};
use http::StatusCode;
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tgw_site_standin::{leaf::Run, settings as files};
use tokio::time::Instant;

/// A tenant with its only key.
pub(crate) struct Tenant {
    pub(crate) name: &'static str,
    pub(crate) key: &'static str,
}

/// The tenant of most requests, which has no limit.
pub(crate) const USUAL: Tenant = Tenant { name: "lodge", key: "6dnvhz6prvnzqjynjcfv" };
/// The tenant that sends more than its limit.
pub(crate) const LIMITED: Tenant = Tenant { name: "mill", key: "8nmpby256b5cwa32q6qy" };
/// A further key of the usual tenant, which trials of the configuration take away.
pub(crate) const SPARE_KEY: &str = "k2v6cz8tqh4mwd3nsxr7";
/// A further key of the usual tenant that only trials name.
pub(crate) const TRIAL_KEY: &str = "p9x4jw7bnd2gkq5hvt8c";
/// A tenant that only trials name.
pub(crate) const TRIAL: Tenant = Tenant { name: "kiln", key: "w3r8fy6zmk5tbc2qxj9d" };
/// A key that no tenant holds.
pub(crate) const UNKNOWN_KEY: &str = "never-held";

const RATE_PER_S: f64 = 6.0;
const BURST: f64 = 6.0;
/// Requests of the limited tenant that may run in any window, by the settings of the stand-ins: 1.1 times those of its
/// rate and burst, plus 20.
const MAX_IN_WINDOW: usize = 59;
const WINDOW: Duration = Duration::from_secs(5);

/// The tenants of a configuration that trials do not change.
pub(crate) fn documents() -> Vec<Value> {
    vec![files::tenant(LIMITED.name, &[LIMITED.key], RATE_PER_S, BURST)]
}

/// Checks that upstreams were told the right tenant and no key, that nothing ran with an unknown key, and that the
/// limited tenant's limit held over all VMs.
pub(crate) fn check(exchanges: &[Exchange], environment: &Environment, broken: &mut Vec<String>) {
    let kinds: BTreeMap<&str, Kind> =
        exchanges.iter().map(|e| (e.request_id.as_str(), e.kind)).collect();
    let mut first_runs: BTreeMap<&str, Instant> = BTreeMap::new();
    for run in environment.runs.values().flatten() {
        let kind = kinds.get(run.request_id.as_str()).copied();
        broken.extend(wrong_identity(run, kind));
        if kind == Some(Kind::Limited) {
            let first = first_runs.entry(&run.request_id).or_insert(run.arrived_at);
            *first = (*first).min(run.arrived_at);
        }
    }
    let unknown = exchanges.iter().filter(|e| e.kind == Kind::UnknownKey);
    let answered =
        unknown.filter(|e| e.answer.as_ref().is_some_and(|answer| answer.status == StatusCode::OK));
    broken.extend(answered.map(|e| format!("{}: served with an unknown key", e.request_id)));
    let times: BTreeSet<(Instant, &str)> = first_runs.iter().map(|(id, at)| (*at, *id)).collect();
    let times: Vec<Instant> = times.into_iter().map(|(at, _)| at).collect();
    let in_window =
        |from: &Instant| times.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count();
    let most = times.iter().map(in_window).max().unwrap_or_default();
    if most > MAX_IN_WINDOW {
        broken.push(format!("{most} requests of a tenant in a window, {MAX_IN_WINDOW} allowed"));
    }
}

fn wrong_identity(run: &Run, kind: Option<Kind>) -> Option<String> {
    let tenant = kind.map_or(USUAL.name, |kind| kind.tenant().name);
    let Run { request_id, tenant: told, credentials, .. } = run;
    if kind == Some(Kind::UnknownKey) {
        return Some(format!("{request_id}: ran with an unknown key"));
    }
    let wrong = told != tenant || !credentials.is_empty();
    wrong.then(|| format!("{request_id}: an upstream was told {told:?} and {credentials:?}"))
}
