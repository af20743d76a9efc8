use crate::protocol;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode, header::HeaderName};
use serde_json::value::RawValue;
use tgw_dispatch::leaf::{Failure, HeldSnapshots, Reply};
use tgw_topology::Shard;

/// Decodes a reply from its status, headers and body. Fails if the reply does not follow the protocol.
pub(crate) fn decode(
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Reply, Failure> {
    if status == StatusCode::OK {
        return decode_items(headers, body);
    }
    match header(headers, protocol::REASON) {
        Some(protocol::SHED) => Ok(Reply::Shed),
        Some(protocol::DRAINING) => Ok(Reply::Draining),
        Some(protocol::GONE) => Ok(Reply::Gone),
        Some(protocol::EXPIRED) => Ok(Reply::Expired),
        Some(protocol::CANCELLED) => Ok(Reply::Cancelled),
        _ => Err(Failure::Upstream),
    }
}

fn decode_items(headers: &HeaderMap, body: Bytes) -> Result<Reply, Failure> {
    let snapshot = header(headers, protocol::SNAPSHOT).and_then(protocol::read_snapshot);
    let shard = header(headers, protocol::SHARD).and_then(|s| s.parse().ok()).map(Shard);
    let (Some(snapshot), Some(shard)) = (snapshot, shard) else { return Err(Failure::Malformed) };
    // The items are passed on unchanged, so a truncated array would make the merged answer invalid.
    let valid = serde_json::from_slice::<Vec<&RawValue>>(&body).is_ok();
    if valid { Ok(Reply::Items { snapshot, shard, items: body }) } else { Err(Failure::Malformed) }
}

/// The snapshots that the upstream holds according to the reply.
pub(crate) fn held_snapshots(headers: &HeaderMap) -> Option<HeldSnapshots> {
    header(headers, protocol::HELD_SNAPSHOTS).and_then(protocol::read_snapshots)
}

/// The incarnation of the upstream's process according to the reply.
pub(crate) fn incarnation(headers: &HeaderMap) -> Option<u64> {
    header(headers, protocol::INCARNATION)?.parse().ok()
}

pub(crate) fn header(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}
