use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, RwLock},
};
use tgw_clock::Millis;
use tgw_peer::{Network, Reachability};
use tgw_topology::{
    Place,
    place::{Domain, Latency},
};

#[derive(Debug, Default)]
struct State {
    places: BTreeMap<SocketAddr, Place>,
    cut_links: BTreeSet<(Domain, Domain)>,
}

/// Simulated network links between the VMs of a demo.
#[derive(Clone, Debug, Default)]
pub(crate) struct Links(Arc<RwLock<State>>);

impl Links {
    /// Registers the place of the VM at `addr`.
    pub(crate) fn add_vm(&self, addr: SocketAddr, place: Place) {
        self.write(|state| {
            state.places.insert(addr, place);
        });
    }

    /// Partitions a failure domain from all others, or reconnects it.
    pub(crate) fn isolate(&self, domain: Domain, is_cut: bool) {
        self.write(|state| {
            let others: BTreeSet<Domain> =
                state.places.values().map(|p| p.domain).filter(|d| *d != domain).collect();
            for other in others {
                for link in [(domain, other), (other, domain)] {
                    if is_cut {
                        state.cut_links.insert(link);
                    } else {
                        state.cut_links.remove(&link);
                    }
                }
            }
        });
    }

    fn write(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.0.write().unwrap_or_else(std::sync::PoisonError::into_inner));
    }
}

/// The network as one VM sees it.
pub(crate) struct VmNetwork {
    pub(crate) links: Links,
    pub(crate) place: Place,
    pub(crate) distance: Latency,
}

impl Network for VmNetwork {
    fn reachability(&self, to: SocketAddr) -> Reachability {
        let state = self.links.0.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        let Some(remote) = state.places.get(&to) else {
            return Reachability::Reachable(Millis::ZERO);
        };
        if state.cut_links.contains(&(self.place.domain, remote.domain)) {
            return Reachability::Unreachable;
        }
        Reachability::Reachable(Millis::from_f64(self.distance.between(self.place, *remote)))
    }
}
