use std::{collections::BTreeMap, net::SocketAddr};
use tgw_clock::Millis;
use tgw_topology::Vm;

/// One probe in flight.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: Vm,
    pub(crate) sent_at: Millis,
    /// Indirect probes were requested from third VMs.
    pub(crate) indirect: bool,
    /// The target is in another domain: a timeout points to the network path, not to the VM.
    pub(crate) cross_domain: bool,
}

/// Probes in flight, and pings sent on behalf of other VMs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probes {
    pub(crate) in_flight: BTreeMap<u64, Probe>,
    /// Pings sent on request: the requester's address, its sequence number and the start time.
    pub(crate) relayed: BTreeMap<u64, (SocketAddr, u64, Millis)>,
    seq: u64,
}

impl Probes {
    pub(crate) fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    pub(crate) fn start(&mut self, now: Millis, target: Vm, cross_domain: bool) -> u64 {
        let seq = self.next_seq();
        self.in_flight.insert(seq, Probe { target, sent_at: now, indirect: false, cross_domain });
        seq
    }

    pub(crate) fn expire_relayed(&mut self, now: Millis, age: Millis) {
        self.relayed.retain(|_, (_, _, since)| now - *since < age);
    }
}
