//! Networking between VMs: the sockets that membership uses, and the links that carry messages.
//!
//! UDP carries membership packets. A TCP link in each direction carries everything else, so that a
//! VM only writes to connections it opened and only reads from connections it accepted.

/// Frames that are sent over links.
pub mod frame;
/// Links to other VMs.
mod link;
/// Reachability and delay of other VMs, which demos and tests replace to inject faults.
pub mod network;
/// The thread that owns the sockets and runs membership.
mod worker;

pub use frame::{Frame, Payload};
pub use network::{Direct, Network, Reachability};
pub use worker::{Command, Handle, Observer, Options, bind};
