//! The paths, headers and reasons of the upstreams' protocol, which `docs/API.md` describes.

use hyper::header::HeaderName;
use tgw_dispatch::leaf::HeldSnapshots;
use tgw_topology::{Layout, Snapshot};

/// Searches one shard.
pub const SEARCH: &str = "/search";
/// Executes a non-idempotent request.
pub const ORDER: &str = "/order";
/// Cancels a running search.
pub const CANCEL: &str = "/cancel";
/// Reports whether the upstream is healthy.
pub const HEALTH: &str = "/health";
/// Reports the upstream's load and the snapshots it holds.
pub const LOAD: &str = "/load";

/// Identifies one request to an upstream, so that it can be cancelled.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request");
/// Milliseconds until the deadline, after which the result is not used.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The snapshot that is requested or was searched, as `version.layout`.
pub const SNAPSHOT: HeaderName = HeaderName::from_static("x-snapshot");
/// The shard that is requested or was searched.
pub const SHARD: HeaderName = HeaderName::from_static("x-shard");
/// The snapshots that the upstream holds, separated by commas.
pub const HELD_SNAPSHOTS: HeaderName = HeaderName::from_static("x-held");
/// Why the upstream rejected the request: one of the reasons below.
pub const REASON: HeaderName = HeaderName::from_static("x-reason");
/// The incarnation of the upstream's process.
pub const INCARNATION: HeaderName = HeaderName::from_static("x-incarnation");
/// The idempotency key of a non-idempotent request.
pub const ORDER_KEY: HeaderName = HeaderName::from_static("x-order-key");

/// The upstream is at its concurrency limit.
pub const SHED: &str = "shed";
/// The upstream is draining.
pub const DRAINING: &str = "draining";
/// The upstream does not hold the snapshot.
pub const GONE: &str = "gone";
/// The deadline passed.
pub const EXPIRED: &str = "expired";
/// The request was cancelled.
pub const CANCELLED: &str = "cancelled";

/// Formats a snapshot as `version.layout`.
pub fn write_snapshot(snapshot: Snapshot) -> String {
    format!("{}.{}", snapshot.version, snapshot.layout.0)
}

/// Parses a snapshot; `None` if it is malformed.
pub fn read_snapshot(text: &str) -> Option<Snapshot> {
    let (version, layout) = text.trim().split_once('.')?;
    Some(Snapshot { version: version.parse().ok()?, layout: Layout(layout.parse().ok()?) })
}

/// Formats a list of snapshots, separated by commas.
pub fn write_snapshots(snapshots: &[Snapshot]) -> String {
    snapshots.iter().copied().map(write_snapshot).collect::<Vec<_>>().join(",")
}

/// Parses a list of snapshots; `None` if any of them is malformed.
pub fn read_snapshots(text: &str) -> Option<HeldSnapshots> {
    text.split(',').filter(|s| !s.trim().is_empty()).map(read_snapshot).collect()
}
