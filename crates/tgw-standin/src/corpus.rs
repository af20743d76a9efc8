//! Contents of the stand-in upstreams: a pure function of snapshot, shard and query.

use serde::{Deserialize, Serialize};
use tgw_topology::{Service, Shard, Snapshot};
use xxhash_rust::xxh3::xxh3_64;

/// Items of a service at index version zero; each version adds one.
const ITEMS_AT_VERSION_ZERO: u64 = 600;
/// On average, one in this many items matches a query.
const ITEMS_PER_MATCH: u64 = 8;

/// An item returned by an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Item {
    /// Id, unique within the service.
    pub id: u64,
    /// Index version that the item was read from.
    pub version: u32,
    /// The service.
    pub service: u16,
    /// Hash of the query that the item matches, so that an answer to another query is detected.
    pub query: u64,
}

/// Hashes the body of a query.
pub fn query_hash(body: &[u8]) -> u64 {
    xxh3_64(body)
}

/// Returns the items of one shard that match a query. `shards` is the layout's number of shards.
pub fn items(
    service: Service,
    snapshot: Snapshot,
    shards: u64,
    shard: Shard,
    body: &[u8],
) -> Vec<Item> {
    let query = query_hash(body);
    let item_count = ITEMS_AT_VERSION_ZERO + u64::from(snapshot.version);
    let shard_count = shards.max(1) as usize;
    (u64::from(shard.0)..item_count)
        .step_by(shard_count)
        .filter(|id| matches(*id, query))
        .map(|id| Item { id, version: snapshot.version, service: service.0, query })
        .collect()
}

fn matches(id: u64, query: u64) -> bool {
    let mixed = (id ^ query).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    mixed.is_multiple_of(ITEMS_PER_MATCH)
}
