//! The way to other VMs, as demos and tests bend it.

use std::net::SocketAddr;
use tgw_clock::Millis;

/// The way to one address.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Way {
    /// What is sent arrives, after this delay besides the network's own.
    Open(Millis),
    /// Nothing arrives.
    Cut,
}

/// Tells the way to each address.
pub trait Network: Send + Sync {
    /// The way to `to` now.
    fn way(&self, to: SocketAddr) -> Way;
}

/// The network as it is.
#[derive(Copy, Clone, Debug, Default)]
pub struct Open;

impl Network for Open {
    fn way(&self, _to: SocketAddr) -> Way {
        Way::Open(Millis::ZERO)
    }
}
