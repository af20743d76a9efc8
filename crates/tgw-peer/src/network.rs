//! Reachability and delay of other VMs, which demos and tests replace to inject faults.

use std::net::SocketAddr;
use tgw_clock::Millis;

/// Reachability of one address.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Way {
    /// Reachable, with this delay in addition to the network's own.
    Open(Millis),
    /// Unreachable.
    Cut,
}

/// Gives the reachability of each address.
pub trait Network: Send + Sync {
    /// The current reachability of `to`.
    fn way(&self, to: SocketAddr) -> Way;
}

/// The network without injected faults or delays.
#[derive(Copy, Clone, Debug, Default)]
pub struct Open;

impl Network for Open {
    fn way(&self, _to: SocketAddr) -> Way {
        Way::Open(Millis::ZERO)
    }
}
