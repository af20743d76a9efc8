use crate::protocol;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode, header::HeaderName};
use serde_json::value::RawValue;
use tgw_dispatch::leaf::{Failure, HeldSnapshots, Reply};
use tgw_topology::Shard;

/// The reply that a status, headers and body amount to. Errors: the reply is not understood.
pub(crate) fn read(status: StatusCode, headers: &HeaderMap, body: Bytes) -> Result<Reply, Failure> {
    if status == StatusCode::OK {
        return items(headers, body);
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

fn items(headers: &HeaderMap, body: Bytes) -> Result<Reply, Failure> {
    let snapshot = header(headers, protocol::SNAPSHOT).and_then(protocol::read_snapshot);
    let shard = header(headers, protocol::SHARD).and_then(|s| s.parse().ok()).map(Shard);
    let (Some(snapshot), Some(shard)) = (snapshot, shard) else { return Err(Failure::Malformed) };
    // The items are passed on as they are, so a truncated array would break the whole answer.
    let valid = serde_json::from_slice::<Vec<&RawValue>>(&body).is_ok();
    if valid { Ok(Reply::Items { snapshot, shard, items: body }) } else { Err(Failure::Malformed) }
}

/// The snapshots that the reply says are held.
pub(crate) fn held(headers: &HeaderMap) -> Option<HeldSnapshots> {
    header(headers, protocol::HELD).and_then(protocol::read_held)
}

/// The life of the upstream's process that the reply names.
pub(crate) fn incarnation(headers: &HeaderMap) -> Option<u64> {
    header(headers, protocol::INCARNATION)?.parse().ok()
}

pub(crate) fn header(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}
