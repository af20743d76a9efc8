use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, RwLock},
};
use tgw_clock::Millis;
use tgw_peer::{Network, Reachability};
use tgw_topology::{
    Place,
    place::{Distance, Domain},
};

#[derive(Debug, Default)]
struct State {
    places: BTreeMap<SocketAddr, Place>,
    cut: BTreeSet<(Domain, Domain)>,
}

/// The ways between all VMs of a demo.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ways(Arc<RwLock<State>>);

impl Ways {
    /// Tells where the VM at `addr` lies.
    pub(crate) fn add(&self, addr: SocketAddr, place: Place) {
        self.write(|state| {
            state.places.insert(addr, place);
        });
    }

    /// Cuts a domain off from every other, or joins it again.
    pub(crate) fn isolate(&self, domain: Domain, cut: bool) {
        self.write(|state| {
            let others: BTreeSet<Domain> =
                state.places.values().map(|p| p.domain).filter(|d| *d != domain).collect();
            for other in others {
                for pair in [(domain, other), (other, domain)] {
                    if cut {
                        state.cut.insert(pair);
                    } else {
                        state.cut.remove(&pair);
                    }
                }
            }
        });
    }

    fn write(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.0.write().unwrap_or_else(std::sync::PoisonError::into_inner));
    }
}

/// The ways as one VM sees them.
pub(crate) struct From {
    pub(crate) ways: Ways,
    pub(crate) place: Place,
    pub(crate) distance: Distance,
}

impl Network for From {
    fn reachability(&self, to: SocketAddr) -> Reachability {
        let state = self.ways.0.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        let Some(there) = state.places.get(&to) else {
            return Reachability::Reachable(Millis::ZERO);
        };
        if state.cut.contains(&(self.place.domain, there.domain)) {
            return Reachability::Unreachable;
        }
        Reachability::Reachable(Millis::from_f64(self.distance.between(self.place, *there)))
    }
}
