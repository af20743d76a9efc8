use super::Topic;
use crate::{codec::Decoded, shared::Shared};
use std::rc::Rc;
use tgw_platform::{Object, Version};
use tgw_spread::reachability::ReadMode;

/// Watches the operators' configuration.
pub(crate) struct Configuration {
    shared: Rc<Shared>,
    kind: String,
}

impl Configuration {
    pub(crate) fn new(shared: &Rc<Shared>) -> Self {
        Self { shared: shared.clone(), kind: shared.codec.kinds().config.clone() }
    }

    pub(crate) fn apply(&self, object: &Object) {
        if object.name != self.shared.codec.kinds().config_name || object.value.is_null() {
            return;
        }
        match self.shared.codec.decode_config(&object.value) {
            Ok(Decoded { value, findings }) => {
                for finding in findings {
                    tracing::warn!(%finding, revision = object.version,
                        "part of the configuration cannot be decoded");
                }
                let mut world = self.shared.world.borrow_mut();
                let changed = world.configuration.apply_document(&value);
                // A VM that is told this version gets the same document, in the same order of routes.
                let document = changed.then(|| world.configuration.document());
                drop(world);
                if let Some(document) = document {
                    self.shared.apply_config(&document, "store");
                }
            }
            Err(findings) => {
                for finding in findings {
                    tracing::error!(%finding, revision = object.version, "configuration rejected");
                }
            }
        }
    }
}

impl Topic for Configuration {
    fn kind(&self) -> &str {
        &self.kind
    }

    fn read_mode(&self) -> ReadMode {
        ReadMode::Configuration
    }

    fn apply_list(&mut self, _version: Version, objects: Vec<Object>) {
        objects.iter().for_each(|o| self.apply(o));
    }

    fn apply_change(&mut self, _version: Version, object: Object) {
        self.apply(&object);
    }

    fn store_lost(&mut self) {}

    fn watch_answered(&mut self) {}

    fn is_known(&self) -> bool {
        self.shared.world.borrow().configuration.version() > 0
    }

    fn set_reading(&self, reading: bool) {
        self.shared.store_reads.config.set(reading);
    }

    fn mark_disputed(&self) {
        self.shared.world.borrow_mut().configuration.mark_disputed();
    }
}
