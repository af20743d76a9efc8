//! Gateway: accepts requests from callers, asks the decision core which upstreams to use, sends the
//! requests there and returns the answers.
//!
//! One thread handles callers, decisions and upstreams, so that a request never moves between
//! threads. The platform's names and protocols are hidden behind [`Codec`] and
//! [`tgw_platform::Store`].

/// Admission of requests within the limits of their tenants.
mod admission;
/// How the admission of each query goes, for metrics and log lines.
mod admission_progress;
/// Comparison of this VM's lists with those of other VMs.
mod agreement;
/// Who a request is made for.
mod authentication;
/// Sends whose connection broke, and whether their upstream has ended.
mod broken;
/// Connections from callers.
mod callers;
/// Interface to the platform adapter.
pub mod codec;
/// Discovery of other VMs through the store.
mod discovery;
/// The sends of one request, until its answer.
mod drive;
/// One send to one upstream.
mod exchange;
/// Queries that other VMs make for this one, and this VM for others.
mod gather;
/// Load of a VM that makes queries for others.
pub mod gather_load;
/// Handling of one request.
mod handle;
/// HTTP headers of forwarded messages.
mod headers;
/// Connections with a hook for their events.
mod hooked_stream;
/// Sends made by other VMs for this one, and by this VM for others.
mod hop;
/// Live VMs, as membership knows them, for limits, gatherers, leases and shares.
mod live_vms;
/// Structured logs.
pub mod log;
/// Limits on the number of log lines.
mod log_limiter;
/// Memory budget for bodies.
pub mod memory;
/// Counters, gauges and histograms.
mod metrics;
/// UDP packets exchanged with other VMs.
mod packets;
/// Membership, and dissemination of updates among VMs.
mod peers;
/// Connections to upstreams.
mod pool;
/// Quarantine of requests under which upstreams end.
pub mod quarantine;
/// Readiness, metrics and quarantine over HTTP.
mod readiness;
/// Timeouts of request heads.
mod request_heads;
/// Start and shutdown of the gateway.
pub mod serve;
/// Settings of one process.
pub mod settings;
/// State shared by the tasks of the serving thread.
mod shared;
/// TCP options that detect unresponsive peers.
mod socket;
/// Start from a copy of the store that may be seconds old, for when all VMs start at once.
mod stale;
/// State exchanged between VMs over TCP.
mod state_exchange;
/// Log lines and counts about requests and sends.
mod telemetry;
/// Entries of upstreams that cannot be decoded.
mod unreadable;
/// Resets a connection to an upstream where a send is given up.
mod upstream_exchange;
/// Queries that wait for admission.
mod waiting;
/// Watches of the platform's store.
mod watch;

pub use codec::Codec;
pub use serve::{Handle, Options, spawn};
pub use settings::Settings;
