//! Changes of the configuration that are taken back, and whether all VMs handle requests by the newest version in the end.

use crate::{
    callers::{Caller, Exchange, Exchanges, Kind},
    environment::{SINGLE_SERVICE, shards},
    fleet::Fleet,
    tenants::{SPARE_KEY, TRIAL, TRIAL_KEY, USUAL},
};
use http::StatusCode;
use serde_json::Value;
use std::{cell::RefCell, time::Duration};
use tgw_site_standin::settings as files;
use tokio::time::sleep;

/// Requests to one VM until one is answered as some configuration says.
const MAX_TRIES: u32 = 20;
/// Pause between them.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What a change does that is taken back later.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Trial {
    /// The route `moved` leads to a shard.
    pub(crate) moves_route: bool,
    /// There is no route `dropped`.
    pub(crate) drops_route: bool,
    /// The usual tenant has one more key.
    pub(crate) adds_key: bool,
    /// The usual tenant has lost its spare key.
    pub(crate) removes_key: bool,
    /// There is one more tenant.
    pub(crate) adds_tenant: bool,
}

impl Trial {
    /// The routes that it changes.
    pub(crate) fn routes(self) -> Vec<Value> {
        let target = if self.moves_route { shards()[0].clone() } else { SINGLE_SERVICE.into() };
        let mut routes = vec![files::route("moved", &target, true)];
        if !self.drops_route {
            routes.push(files::route("dropped", SINGLE_SERVICE, true));
        }
        routes
    }

    /// The tenants that it changes.
    pub(crate) fn tenants(self) -> Vec<Value> {
        let keys = [(USUAL.key, true), (SPARE_KEY, !self.removes_key), (TRIAL_KEY, self.adds_key)];
        let keys: Vec<&str> =
            keys.into_iter().filter(|(_, is_held)| *is_held).map(|k| k.0).collect();
        let mut tenants = vec![files::tenant(USUAL.name, &keys, 0.0, 0.0)];
        if self.adds_tenant {
            tenants.push(files::tenant(TRIAL.name, &[TRIAL.key], 0.0, 0.0));
        }
        tenants
    }
}

/// A request whose answer tells which configuration a VM acts by.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Probe {
    /// To the route that trials move.
    Moved,
    /// To the route that trials drop.
    Dropped,
    /// To the route that only the configuration of this version has.
    Newest(u64),
    /// With the key that trials take away.
    SpareKey,
    /// With the key that trials add.
    TrialKey,
    /// With the key of the tenant that trials add.
    TrialTenant,
}

impl Probe {
    /// Path and query.
    pub(crate) fn target(self) -> String {
        match self {
            Self::Moved => "/moved/q".into(),
            Self::Dropped => "/dropped/q".into(),
            Self::Newest(version) => format!("/extra-{version}/q"),
            Self::SpareKey | Self::TrialKey | Self::TrialTenant => "/safe/q".into(),
        }
    }

    /// The API key.
    pub(crate) fn key(self) -> &'static str {
        match self {
            Self::Moved | Self::Dropped | Self::Newest(_) => USUAL.key,
            Self::SpareKey => SPARE_KEY,
            Self::TrialKey => TRIAL_KEY,
            Self::TrialTenant => TRIAL.key,
        }
    }

    /// Whether an answer is one that the newest configuration, without any trial, leads to; `None` if it does not tell.
    /// That a single service ran the request is checked by the answer's signature, as for all requests.
    fn is_right(self, status: StatusCode) -> Option<bool> {
        let is_allowed = !matches!(self, Self::TrialKey | Self::TrialTenant);
        match status {
            StatusCode::OK => Some(is_allowed),
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN | StatusCode::NOT_FOUND => {
                Some(!is_allowed)
            }
            _ => None,
        }
    }
}

/// Sends all probes to all VMs in service, and reports those that do not act by the configuration of `version`.
pub(crate) async fn check(
    version: u64,
    fleet: &RefCell<Fleet>,
    exchanges: &Exchanges,
    broken: &mut Vec<String>,
) {
    let probes = [
        Probe::Moved,
        Probe::Dropped,
        Probe::Newest(version),
        Probe::SpareKey,
        Probe::TrialKey,
        Probe::TrialTenant,
    ];
    let count = fleet.borrow().processes.len();
    for vm in 0..count {
        for (number, probe) in probes.into_iter().enumerate() {
            let id = format!("p{vm}-{number}");
            if !ask(vm, probe, &id, fleet, exchanges).await {
                broken.push(format!("{id}: VM {vm} does not act by version {version}: {probe:?}"));
            }
        }
    }
}

/// Sends one probe to a VM until its answer tells something; returns whether it is right.
async fn ask(
    vm: usize,
    probe: Probe,
    id: &str,
    fleet: &RefCell<Fleet>,
    exchanges: &Exchanges,
) -> bool {
    let mut caller = Caller::new(vm);
    for number in 0..MAX_TRIES {
        let to = fleet.borrow().processes[vm].callers_addr();
        caller.send(to, Kind::Probe(probe), format!("{id}-{number}"), exchanges).await;
        let status =
            exchanges.borrow().last().and_then(|e: &Exchange| Some(e.answer.as_ref()?.status));
        if let Some(is_right) = status.and_then(|status| probe.is_right(status)) {
            return is_right;
        }
        sleep(RETRY_DELAY).await;
    }
    false
}
