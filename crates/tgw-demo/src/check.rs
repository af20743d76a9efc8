//! Checks answers and orders against the contents and counters of the stand-ins.

use crate::load::OrderReply;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use tgw_standin::{
    corpus::{self, Item},
    upstream::Stats,
};
use tgw_topology::{Catalog, Layout, Service, Shard, Snapshot};

/// An observed violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The guarantee.
    pub promise: &'static str,
    /// Id of the query, name of the order or name of the VM.
    pub query: String,
    /// What was observed.
    pub seen: String,
}

/// An answer as received by a caller.
#[derive(Clone, Debug, Deserialize)]
pub struct Answer {
    /// Id of the query.
    pub query_id: String,
    /// The snapshot from which all items were read.
    pub snapshot: SnapshotId,
    /// Which shards the answer covers.
    pub coverage: Coverage,
    /// Items of all covered shards.
    pub items: Vec<Item>,
    /// Duration reported by the tier.
    pub took_ms: f64,
}

/// A snapshot as received by a caller.
#[derive(Clone, Debug, Deserialize)]
pub struct SnapshotId {
    /// The index version.
    pub version: u32,
    /// The layout.
    pub layout: u32,
}

/// The coverage of an answer as received by a caller.
#[derive(Clone, Debug, Deserialize)]
pub struct Coverage {
    /// Number of shards in the layout.
    pub shards: u64,
    /// Number of shards in the answer.
    pub answered: u64,
    /// Shards that are not in the answer.
    pub missing: Vec<MissingShard>,
}

/// A shard that is not in the answer.
#[derive(Clone, Debug, Deserialize)]
pub struct MissingShard {
    /// Number of the shard.
    pub shard: u16,
    /// Why it is missing.
    pub reason: String,
}

/// Checks an answer against the corpus: all items are from one snapshot and match this query, the
/// coverage is correct, and every matching item of every covered shard occurs exactly once.
pub fn check_answer(
    catalog: &Catalog,
    service: Service,
    body: &[u8],
    expected_id: &str,
    answer: &Answer,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut report_violation = |promise, seen: String| {
        violations.push(Violation { promise, query: answer.query_id.clone(), seen });
    };
    if answer.query_id != expected_id {
        report_violation(
            "whole answer to its own caller",
            format!("asked {expected_id}, was answered another"),
        );
    }
    let layout = Layout(answer.snapshot.layout);
    let snapshot = Snapshot { version: answer.snapshot.version, layout };
    let shards = catalog.layout(service, layout).map_or(0, |p| p.shards.len() as u64);
    if shards != answer.coverage.shards {
        report_violation(
            "true coverage",
            format!("{} shards, layout has {shards}", answer.coverage.shards),
        );
    }
    let missing: BTreeSet<u16> = answer.coverage.missing.iter().map(|m| m.shard).collect();
    if answer.coverage.answered + missing.len() as u64 != shards {
        let seen = format!("{} answered and {} missing", answer.coverage.answered, missing.len());
        report_violation("true coverage", seen);
    }
    for item in &answer.items {
        if item.version != snapshot.version || item.service != service.0 {
            report_violation("one snapshot", format!("item {item:?} in an answer from {snapshot}"));
        }
        if item.query != corpus::query_hash(body) {
            report_violation(
                "whole answer to its own caller",
                format!("item {item:?} of another query"),
            );
        }
    }
    let mut item_counts: BTreeMap<u64, u32> = BTreeMap::new();
    for item in &answer.items {
        *item_counts.entry(item.id).or_default() += 1;
    }
    for shard in (0..shards as u16).filter(|s| !missing.contains(s)) {
        for item in corpus::items(service, snapshot, shards, Shard(shard), body) {
            match item_counts.remove(&item.id) {
                Some(1) => {}
                Some(n) => report_violation(
                    "no work doubled",
                    format!("item {} stands {n} times", item.id),
                ),
                None => report_violation(
                    "true coverage",
                    format!("shard {shard} lacks item {}", item.id),
                ),
            }
        }
    }
    for id in item_counts.keys() {
        report_violation("true coverage", format!("item {id} belongs to no covered shard"));
    }
    violations
}

/// Checks the outcomes of orders reported to callers against the orders that upstreams ran.
pub(crate) fn check_orders(replies: &[OrderReply], stats: &[Stats]) -> Vec<Violation> {
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for (name, count) in stats.iter().flat_map(|j| &j.orders) {
        *runs.entry(name).or_default() += count;
    }
    let mut violations = Vec::new();
    for (name, count) in runs.iter().filter(|(_, count)| **count > 1) {
        let seen = format!("ran {count} times");
        let promise = "an order runs at most once";
        violations.push(Violation { promise, query: (*name).into(), seen });
    }
    for reply in replies {
        let count = runs.get(reply.name.as_str()).copied().unwrap_or(0);
        let promise = match (reply.outcome.as_str(), count) {
            ("not_run", 1..) => "a refusal that says not run is true",
            ("ran", 0) => "no work lost",
            _ => continue,
        };
        let seen = format!("told {}, ran {count} times", reply.outcome);
        violations.push(Violation { promise, query: reply.name.clone(), seen });
    }
    violations
}
