//! Reachability and delay of other VMs, which demos and tests replace to inject faults.

use std::net::SocketAddr;
use tgw_clock::Millis;

/// Reachability of one address.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Reachable, with this delay in addition to the network's own.
    Reachable(Millis),
    /// Unreachable.
    Unreachable,
}

/// Gives the reachability of each address.
pub trait Network: Send + Sync {
    /// The current reachability of `to`.
    fn reachability(&self, to: SocketAddr) -> Reachability;
}

/// The network without injected faults or delays.
#[derive(Copy, Clone, Debug, Default)]
pub struct Direct;

impl Network for Direct {
    fn reachability(&self, _to: SocketAddr) -> Reachability {
        Reachability::Reachable(Millis::ZERO)
    }
}
