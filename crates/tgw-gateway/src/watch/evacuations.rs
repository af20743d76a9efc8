use super::Topic;
use crate::shared::Shared;
use std::{collections::BTreeSet, rc::Rc};
use tgw_platform::{Object, Version};
use tgw_spread::{reachability::ReadMode, store_reads::WatchTiming};

/// Watches the evacuated failure domains, whose upstreams receive no more requests.
pub(crate) struct Evacuations {
    shared: Rc<Shared>,
    kind: String,
}

/// The failure domains named by the objects. Only the name of an object counts: a domain is
/// evacuated even if the rest of its object cannot be decoded.
pub(crate) fn evacuated_domains(objects: &[Object]) -> BTreeSet<Rc<str>> {
    let named = objects.iter().filter(|object| !object.name.is_empty() && !object.value.is_null());
    named.map(|object| object.name.as_str().into()).collect()
}

impl Evacuations {
    pub(super) fn new(shared: &Rc<Shared>) -> Self {
        Self { shared: shared.clone(), kind: shared.codec.kinds().evacuations.clone() }
    }
}

impl Topic for Evacuations {
    fn kind(&self) -> &str {
        &self.kind
    }

    fn read_mode(&self) -> ReadMode {
        ReadMode::Evacuations
    }

    fn timing(&self) -> WatchTiming {
        WatchTiming::RARE
    }

    fn apply_list(&mut self, version: Version, objects: Vec<Object>) {
        let domains = evacuated_domains(&objects);
        if self.shared.world.borrow_mut().evacuations.apply_list(version, domains) {
            self.shared.apply_evacuations("store");
        }
        self.shared.evacuations_checked.set(true);
    }

    fn apply_change(&mut self, version: Version, object: Object) {
        if object.name.is_empty() {
            return tracing::warn!(
                revision = object.version,
                "ignored an evacuation that names no failure domain"
            );
        }
        let evacuated = !object.value.is_null();
        let domain = object.name.into();
        if self.shared.world.borrow_mut().evacuations.apply_change(version, &domain, evacuated) {
            self.shared.apply_evacuations("store");
        }
    }

    fn store_lost(&mut self) {
        self.shared.evacuations_checked.set(true);
    }

    fn watch_answered(&mut self) {}

    /// Also true if a peer sent this VM the rest of the state: evacuations that the peer does not
    /// know yet arrive as updates. Otherwise every starting VM would read the list from the store.
    fn is_known(&self) -> bool {
        let world = self.shared.world.borrow();
        let sent_by_peer =
            world.upstreams.version() > 0 && !self.shared.store_reads.upstreams.get();
        world.evacuations.version() > 0 || sent_by_peer
    }

    fn set_reading(&self, _reading: bool) {}
}
