//! What the stand-in upstreams hold: a pure function of snapshot, shard and query.

use serde::{Deserialize, Serialize};
use tgw_topology::{Service, Shard, Snapshot};
use xxhash_rust::xxh3::xxh3_64;

/// Items of a service at version zero; each version adds one.
const ITEMS: u64 = 600;
/// One in this many items matches a query.
const MATCH: u64 = 8;

/// One item as an upstream returns it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Item {
    /// Its identity within the service.
    pub id: u64,
    /// The index version that it was read from.
    pub version: u32,
    /// The service.
    pub service: u16,
    /// The hash of the query that it matches, so that a foreign answer is seen.
    pub query: u64,
}

/// The hash of a query's body.
pub fn query(body: &[u8]) -> u64 {
    xxh3_64(body)
}

/// The items of one shard that match a query. `shards` is the number of shards of the layout.
pub fn items(
    service: Service,
    snapshot: Snapshot,
    shards: u64,
    shard: Shard,
    body: &[u8],
) -> Vec<Item> {
    let query = query(body);
    let all = ITEMS + u64::from(snapshot.version);
    let step = shards.max(1) as usize;
    (u64::from(shard.0)..all)
        .step_by(step)
        .filter(|id| matches(*id, query))
        .map(|id| Item { id, version: snapshot.version, service: service.0, query })
        .collect()
}

fn matches(id: u64, query: u64) -> bool {
    let mixed = (id ^ query).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    mixed.is_multiple_of(MATCH)
}
