use super::Topic;
use crate::peers::Peers;
use std::{net::SocketAddr, rc::Rc};
use tgw_platform::{Object, Version};
use tgw_spread::{reachability::ReadMode, store_reads::WatchTiming};

/// Key of the address in a VM's object.
pub(crate) const ADDRESS_KEY: &str = "address";

/// The address in a VM's object.
pub(crate) fn address(object: &Object) -> Option<SocketAddr> {
    object.value.get(ADDRESS_KEY)?.as_str()?.parse().ok()
}

/// Watches the addresses of VMs that know no other one, and calls those VMs: they cannot find a VM whose address is not in
/// the store.
pub(super) struct Vms {
    peers: Rc<Peers>,
    kind: String,
}

impl Vms {
    pub(super) fn new(peers: &Rc<Peers>) -> Self {
        Self { peers: peers.clone(), kind: peers.shared.codec.kinds().vms.clone() }
    }
}

impl Topic for Vms {
    fn kind(&self) -> &str {
        &self.kind
    }

    fn read_mode(&self) -> ReadMode {
        ReadMode::Vms
    }

    fn timing(&self) -> WatchTiming {
        WatchTiming::RARE
    }

    fn apply_list(&mut self, _version: Version, objects: Vec<Object>) {
        self.peers.call(objects.iter().filter_map(address).collect());
    }

    fn apply_change(&mut self, _version: Version, object: Object) {
        self.peers.call(address(&object).into_iter().collect());
    }

    fn store_lost(&mut self) {}

    fn watch_answered(&mut self) {}

    /// Only a VM that watches the store reads this kind, so there is nothing to read at a start.
    fn is_known(&self) -> bool {
        true
    }

    fn set_reading(&self, _reading: bool) {}
}
