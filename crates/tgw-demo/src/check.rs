//! Compares answers with what the stand-ins hold and ran.

use crate::load::Placed;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use tgw_standin::{
    corpus::{self, Item},
    upstream::Journal,
};
use tgw_topology::{Catalog, Layout, Service, Shard, Snapshot};

/// A promise that was seen broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// The promise.
    pub promise: &'static str,
    /// The query or order.
    pub query: String,
    /// What was seen.
    pub seen: String,
}

/// An answer as a caller reads it.
#[derive(Clone, Debug, Deserialize)]
pub struct Answer {
    /// The query.
    pub query_id: String,
    /// The one snapshot.
    pub snapshot: Version,
    /// What part of the service it covers.
    pub coverage: Coverage,
    /// The items.
    pub items: Vec<Item>,
    /// Time that the tier says it took.
    pub took_ms: f64,
}

/// A snapshot as a caller reads it.
#[derive(Clone, Debug, Deserialize)]
pub struct Version {
    /// The index version.
    pub version: u32,
    /// The layout.
    pub layout: u32,
}

/// A coverage as a caller reads it.
#[derive(Clone, Debug, Deserialize)]
pub struct Coverage {
    /// Shards of the layout.
    pub shards: u64,
    /// Shards answered.
    pub answered: u64,
    /// The others.
    pub missing: Vec<Missing>,
}

/// A shard that is not in the answer.
#[derive(Clone, Debug, Deserialize)]
pub struct Missing {
    /// The shard.
    pub shard: u16,
    /// Why.
    pub reason: String,
}

/// Checks one answer against the corpus: one snapshot, true coverage, every item of every covered
/// shard exactly once, and all for this query.
pub fn answer(
    catalog: &Catalog,
    service: Service,
    body: &[u8],
    asked: &str,
    answer: &Answer,
) -> Vec<Broken> {
    let mut found = Vec::new();
    let mut broken = |promise, seen: String| {
        found.push(Broken { promise, query: answer.query_id.clone(), seen });
    };
    if answer.query_id != asked {
        broken("whole answer to its own caller", format!("asked {asked}, was answered another"));
    }
    let layout = Layout(answer.snapshot.layout);
    let snapshot = Snapshot { version: answer.snapshot.version, layout };
    let shards = catalog.layout(service, layout).map_or(0, |p| p.shards.len() as u64);
    if shards != answer.coverage.shards {
        broken("true coverage", format!("{} shards, layout has {shards}", answer.coverage.shards));
    }
    let missing: BTreeSet<u16> = answer.coverage.missing.iter().map(|m| m.shard).collect();
    if answer.coverage.answered + missing.len() as u64 != shards {
        let seen = format!("{} answered and {} missing", answer.coverage.answered, missing.len());
        broken("true coverage", seen);
    }
    for item in &answer.items {
        if item.version != snapshot.version || item.service != service.0 {
            broken("one snapshot", format!("item {item:?} in an answer from {snapshot}"));
        }
        if item.query != corpus::query(body) {
            broken("whole answer to its own caller", format!("item {item:?} of another query"));
        }
    }
    let mut got: BTreeMap<u64, u32> = BTreeMap::new();
    for item in &answer.items {
        *got.entry(item.id).or_default() += 1;
    }
    for shard in (0..shards as u16).filter(|s| !missing.contains(s)) {
        for item in corpus::items(service, snapshot, shards, Shard(shard), body) {
            match got.remove(&item.id) {
                Some(1) => {}
                Some(n) => broken("no work doubled", format!("item {} stands {n} times", item.id)),
                None => broken("true coverage", format!("shard {shard} lacks item {}", item.id)),
            }
        }
    }
    for id in got.keys() {
        broken("true coverage", format!("item {id} belongs to no covered shard"));
    }
    found
}

/// Checks what callers were told of orders against what the upstreams ran.
pub(crate) fn orders(placed: &[Placed], journals: &[Journal]) -> Vec<Broken> {
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for (name, count) in journals.iter().flat_map(|j| &j.orders) {
        *runs.entry(name).or_default() += count;
    }
    let mut found = Vec::new();
    for (name, count) in runs.iter().filter(|(_, count)| **count > 1) {
        let seen = format!("ran {count} times");
        let promise = "an order runs at most once";
        found.push(Broken { promise, query: (*name).into(), seen });
    }
    for order in placed {
        let count = runs.get(order.name.as_str()).copied().unwrap_or(0);
        let promise = match (order.outcome.as_str(), count) {
            ("not_run", 1..) => "a refusal that says not run is true",
            ("ran", 0) => "no work lost",
            _ => continue,
        };
        let seen = format!("told {}, ran {count} times", order.outcome);
        found.push(Broken { promise, query: order.name.clone(), seen });
    }
    found
}
