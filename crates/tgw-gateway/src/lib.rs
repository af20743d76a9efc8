//! Serves callers by forwarding: takes requests in, asks the decision core where each goes, makes
//! the calls to the upstreams, and answers.
//!
//! One thread holds callers, decisions and upstreams, so that a request pays for no hop between
//! threads. What the platform calls things is hidden behind [`Dialect`] and
//! [`tgw_platform::Store`].

/// Callers' connections.
mod callers;
/// What the platform calls things.
pub mod dialect;
/// One send to one upstream.
mod exchange;
/// Which lines are logged when there are too many.
mod governor;
/// One request.
mod handle;
/// Headers that are forwarded.
mod headers;
/// Heads that callers send slowly.
mod heads;
/// Sends made by other VMs, and for them.
mod hop;
/// Structured logs.
pub mod log;
/// Upstreams that ended under a send.
mod loss;
/// Meeting other VMs through the store.
mod meeting;
/// Counters and histograms.
mod meters;
/// Log lines and counts about requests.
mod note;
/// Packets to and from other VMs.
mod packets;
/// Membership and the spread of news among VMs.
mod peers;
/// Connections to the upstreams.
mod pool;
/// Requests under which upstreams end.
pub mod quarantine;
/// Readiness.
mod ready;
/// Memory for bodies.
pub mod room;
/// Starting and stopping.
pub mod serve;
/// What one process is told at its start.
pub mod settings;
/// What the tasks of the serving thread share.
mod shared;
/// Sockets that notice a silent peer.
mod socket;
/// A copy of the store that may be seconds old, for a start of all VMs.
mod stale;
/// What VMs tell one another over TCP.
mod tell;
/// Entries of upstreams that cannot be read.
mod unreadable;
/// The configuration and the list of upstreams, from the store.
mod watch;

pub use dialect::Dialect;
pub use serve::{Handle, Options, spawn};
pub use settings::Settings;
