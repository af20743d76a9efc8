//! Addresses of simulated VMs, by their numbers.

use std::net::{Ipv4Addr, SocketAddr};

/// The address of a VM.
pub(crate) fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 9, high, low), 7802))
}

/// The number of the VM at an address.
pub(crate) fn number(addr: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = addr else { return usize::MAX };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}
