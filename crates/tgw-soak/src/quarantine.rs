//! What the VMs quarantine: each deadly query soon, and nothing else ever.

use crate::{
    callers::{Exchange, Kind},
    check::Disturbances,
    environment::Environment,
};
use anyhow::Context;
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
    time::Duration,
};
use tokio::time::Instant;

/// Time within which all VMs quarantine a query that has ended three upstreams.
const QUARANTINE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Maximum number of times that a quarantined query may still reach upstreams.
const MAX_DEADLY_RUNS: usize = 3;
/// First letter of the ids of deadly requests.
const DEADLY_ID: char = 'd';

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
pub(crate) fn check_harmless(logs: &Path, broken: &mut Vec<String>) -> anyhow::Result<()> {
    let (mut quarantined, mut harmless) = (BTreeMap::new(), BTreeMap::new());
    for file in fs::read_dir(logs).with_context(|| logs.display().to_string())? {
        let path = file?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let text = fs::read(&path).with_context(|| path.display().to_string())?;
        for line in String::from_utf8_lossy(&text).lines() {
            // A process that is killed leaves its last line incomplete.
            let Ok(line) = serde_json::from_str::<Value>(line) else { continue };
            let field = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
            let print = field("print");
            match (field("message").as_str(), field("request")) {
                ("request quarantined" | "quarantine confirmed", _) => {
                    quarantined.entry(print).or_insert((path.clone(), field("message")));
                }
                (_, request) if !request.is_empty() && !request.starts_with(DEADLY_ID) => {
                    harmless.insert(print, request);
                }
                _ => {}
            }
        }
    }
    for (print, (path, message)) in quarantined {
        if let Some(request) = harmless.get(&print) {
            let log = path.display();
            broken.push(format!("{request}: harmless, but {message} as {print} by {log}"));
        }
    }
    Ok(())
}
