use std::{collections::BTreeMap, net::SocketAddr};
use tgw_clock::Millis;
use tgw_topology::Vm;

/// One probe under way.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub(crate) target: Vm,
    pub(crate) sent: Millis,
    /// Third VMs were asked to try.
    pub(crate) indirect: bool,
    /// The target lies in another domain: silence says something of the way, not of the VM.
    pub(crate) foreign: bool,
}

/// Probes under way, and pings made for others.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probes {
    pub(crate) open: BTreeMap<u64, Probe>,
    /// Pings made on request: whom to pass the acknowledgement on to, with its number there.
    pub(crate) relayed: BTreeMap<u64, (SocketAddr, u64, Millis)>,
    seq: u64,
}

impl Probes {
    pub(crate) fn next(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    pub(crate) fn start(&mut self, now: Millis, target: Vm, foreign: bool) -> u64 {
        let seq = self.next();
        self.open.insert(seq, Probe { target, sent: now, indirect: false, foreign });
        seq
    }

    pub(crate) fn forget_relayed(&mut self, now: Millis, age: Millis) {
        self.relayed.retain(|_, (_, _, since)| now - *since < age);
    }
}
