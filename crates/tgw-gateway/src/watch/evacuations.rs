use super::Topic;
use crate::shared::Shared;
use std::{collections::BTreeSet, rc::Rc};
use tgw_platform::{Object, Version};
use tgw_spread::follow::{Pace, Way};

/// The failure domains whose upstreams are to get nothing more.
pub(crate) struct Evacuations {
    shared: Rc<Shared>,
    kind: String,
}

/// The failure domains that objects name. What an object holds besides its name does not matter: one that cannot be read
/// evacuates its domain too.
pub(crate) fn named(objects: &[Object]) -> BTreeSet<Rc<str>> {
    let named = objects.iter().filter(|object| !object.name.is_empty() && !object.value.is_null());
    named.map(|object| object.name.as_str().into()).collect()
}

impl Evacuations {
    pub(super) fn new(shared: &Rc<Shared>) -> Self {
        Self { shared: shared.clone(), kind: shared.dialect.kinds().evacuations.clone() }
    }
}

impl Topic for Evacuations {
    fn kind(&self) -> &str {
        &self.kind
    }

    fn way(&self) -> Way {
        Way::Evacuations
    }

    fn pace(&self) -> Pace {
        Pace::SELDOM
    }

    fn listed(&mut self, version: Version, objects: Vec<Object>) {
        let domains = named(&objects);
        if self.shared.world.borrow_mut().evacuations.listed(version, domains) {
            self.shared.evacuate("store");
        }
        self.shared.evacuations_asked.set(true);
    }

    fn changed(&mut self, version: Version, object: Object) {
        if object.name.is_empty() {
            return tracing::warn!(revision = object.version, "an evacuation without a name");
        }
        let evacuated = !object.value.is_null();
        let domain = object.name.into();
        if self.shared.world.borrow_mut().evacuations.changed(version, &domain, evacuated) {
            self.shared.evacuate("store");
        }
    }

    fn lost(&mut self) {
        self.shared.evacuations_asked.set(true);
    }

    fn answered(&mut self) {}

    /// Also where a peer told this VM the rest of the state: what that one does not know yet comes as news, and each
    /// VM that starts would else read the list.
    fn known(&self) -> bool {
        let world = self.shared.world.borrow();
        let told = world.upstreams.version() > 0 && !self.shared.reading.upstreams.get();
        world.evacuations.version() > 0 || told
    }

    fn reading(&self, _reading: bool) {}
}
