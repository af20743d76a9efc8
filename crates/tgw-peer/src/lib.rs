//! The peers' duty: sockets round membership and the links that carry messages between VMs.
//!
//! UDP carries membership packets. A TCP link in each direction carries everything else, so that a
//! VM only writes on links it made and only reads on links made to it.

/// The duty's thread.
mod duty;
/// Links to other VMs.
mod link;
/// The way to other VMs, as demos and tests bend it.
pub mod network;
/// What travels on links.
pub mod parcel;

pub use duty::{Handle, Options, Outgoing, Report, bind};
pub use network::{Network, Open, Way};
pub use parcel::{Letter, Parcel};
