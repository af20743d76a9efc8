//! What the VMs quarantine: each deadly query soon, and nothing else ever.

use crate::{
    callers::{self, Exchange, Kind},
    check::Disturbances,
    environment::{Environment, MAX_DEADLY},
};
use anyhow::Context;
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
    time::Duration,
};
use tgw_quarantine::{
    Fingerprint,
    fingerprint::{Content, Hasher},
};
use tokio::time::Instant;

/// Time within which all VMs quarantine a query that has ended three upstreams.
const QUARANTINE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Maximum number of times that a quarantined query may still reach upstreams.
const MAX_DEADLY_RUNS: usize = 3;

/// Checks that all running and reachable VMs quarantine each deadly query soon after it has ended three
/// upstreams.
pub(crate) fn check_deadly(
    exchanges: &[Exchange],
    runs: &BTreeMap<&str, Vec<&str>>,
    (environment, disturbances): (&Environment, &Disturbances),
    broken: &mut Vec<String>,
) {
    let is_undisturbed = |e: &&Exchange| {
        let times = disturbances.get(&e.vm).into_iter().flatten();
        times.clone().all(|at| *at + QUARANTINE_TIMEOUT < e.sent_at || *at > e.sent_at + e.elapsed)
    };
    let targets: BTreeSet<String> = exchanges
        .iter()
        .filter(|e| matches!(e.kind, Kind::Deadly(_)))
        .map(|e| e.kind.target())
        .collect();
    for target in targets {
        let Some(third) = third_end(environment, &target) else { continue };
        let of_query = exchanges
            .iter()
            .filter(|e| matches!(e.kind, Kind::Deadly(_)) && e.kind.target() == target);
        let late = of_query.filter(|e| e.sent_at > third + QUARANTINE_TIMEOUT);
        let ran = late
            .filter(is_undisturbed)
            .filter(|e| runs.contains_key(e.request_id.as_str()))
            .count();
        if ran > MAX_DEADLY_RUNS {
            let ended = environment.deadly_ends.len();
            broken.push(format!("{target}: ran {ran} times once known, {ended} upstreams ended"));
        }
    }
}

/// When a deadly query ended its third upstream. It ends each upstream that begins to run it.
fn third_end(environment: &Environment, target: &str) -> Option<Instant> {
    let content = format!("GET {target} ");
    let first_runs = environment
        .runs
        .values()
        .filter_map(|runs| runs.iter().find(|run| run.content == content).map(|r| r.started_at));
    let mut ends: Vec<Instant> = first_runs.collect();
    ends.sort_unstable();
    ends.get(2).copied()
}

/// Checks, by the logs of all VMs, that they quarantined no requests but deadly ones.
///
/// # Errors
///
/// Logs or settings that cannot be read.
pub(crate) fn check_harmless(logs: &Path, broken: &mut Vec<String>) -> anyhow::Result<()> {
    let deadly = deadly_contents(logs)?;
    let mut harmless = BTreeMap::new();
    for file in fs::read_dir(logs).with_context(|| logs.display().to_string())? {
        let path = file?.path();
        if path.extension().is_some_and(|extension| extension == "log") {
            let text = fs::read(&path).with_context(|| path.display().to_string())?;
            for (print, message) in quarantined(&String::from_utf8_lossy(&text)) {
                if !deadly.contains(&print.content) {
                    harmless.insert((print, message), path.clone());
                }
            }
        }
    }
    for ((print, message), path) in harmless {
        broken.push(format!("{message} though harmless: {print}, {}", path.display()));
    }
    Ok(())
}

/// The contents of all deadly queries, hashed with the key that the VMs' settings give.
fn deadly_contents(logs: &Path) -> anyhow::Result<BTreeSet<u64>> {
    let path = logs.join("vm-1.toml");
    let text = fs::read_to_string(&path).with_context(|| path.display().to_string())?;
    let settings = tgw_site::settings::parse(&text)
        .map_err(|findings| anyhow::anyhow!("{}: {findings:?}", path.display()))?;
    let hasher = Hasher::new(&settings.gateway.peer.key);
    let contents = (0..MAX_DEADLY).map(|number| {
        let kind = Kind::Deadly(number);
        let (target, credentials) = (kind.target(), kind.credentials());
        let content = Content {
            method: "GET",
            host: callers::HOST,
            target: &target,
            credentials: credentials.as_bytes(),
            body: &[],
        };
        hasher.fingerprint(0, &content).content
    });
    Ok(contents.collect())
}

/// The requests that a log says were quarantined, each with the message.
fn quarantined(log: &str) -> impl Iterator<Item = (Fingerprint, String)> {
    // A process that is killed leaves its last line incomplete.
    let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.filter_map(|line| {
        let message = line["message"].as_str()?;
        let is_quarantine = ["request quarantined", "quarantine confirmed"].contains(&message);
        let print = line["print"].as_str()?.parse().ok()?;
        is_quarantine.then(|| (print, message.to_owned()))
    })
}
