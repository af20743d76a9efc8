//! The upstreams' protocol: paths, headers and reasons, as `docs/API.md` describes them.

use hyper::header::HeaderName;
use tgw_dispatch::leaf::HeldSnapshots;
use tgw_topology::{Layout, Snapshot};

/// Search of one shard.
pub const SEARCH: &str = "/search";
/// A non-idempotent request.
pub const ORDER: &str = "/order";
/// Stops a running search.
pub const CANCEL: &str = "/cancel";
/// Whether the upstream calls itself well.
pub const HEALTH: &str = "/health";
/// What the upstream says of its load and the snapshots it holds.
pub const LOAD: &str = "/load";

/// Names one request to an upstream, for its cancellation.
pub const REQUEST: HeaderName = HeaderName::from_static("x-request");
/// Milliseconds until the result is of no use.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The snapshot that is asked for or was served, as `version.layout`.
pub const SNAPSHOT: HeaderName = HeaderName::from_static("x-snapshot");
/// The shard that is asked for or was served.
pub const SHARD: HeaderName = HeaderName::from_static("x-shard");
/// The snapshots that the upstream holds, separated by commas.
pub const HELD: HeaderName = HeaderName::from_static("x-held");
/// Why the upstream refused: one of the reasons below.
pub const REASON: HeaderName = HeaderName::from_static("x-reason");
/// The life of the upstream's process.
pub const INCARNATION: HeaderName = HeaderName::from_static("x-incarnation");
/// The key of a non-idempotent request.
pub const ORDER_KEY: HeaderName = HeaderName::from_static("x-order-key");

/// It works on as much as it can.
pub const SHED: &str = "shed";
/// It is leaving.
pub const DRAINING: &str = "draining";
/// It does not hold the snapshot.
pub const GONE: &str = "gone";
/// The deadline passed.
pub const EXPIRED: &str = "expired";
/// It was asked to stop.
pub const CANCELLED: &str = "cancelled";

/// Writes a snapshot as `version.layout`.
pub fn write_snapshot(snapshot: Snapshot) -> String {
    format!("{}.{}", snapshot.version, snapshot.layout.0)
}

/// Reads a snapshot.
pub fn read_snapshot(text: &str) -> Option<Snapshot> {
    let (version, layout) = text.trim().split_once('.')?;
    Some(Snapshot { version: version.parse().ok()?, layout: Layout(layout.parse().ok()?) })
}

/// Writes a list of snapshots.
pub fn write_held(held: &[Snapshot]) -> String {
    held.iter().copied().map(write_snapshot).collect::<Vec<_>>().join(",")
}

/// Reads a list of snapshots; `None` if any is malformed.
pub fn read_held(text: &str) -> Option<HeldSnapshots> {
    text.split(',').filter(|s| !s.trim().is_empty()).map(read_snapshot).collect()
}
