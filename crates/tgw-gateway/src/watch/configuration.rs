use super::Topic;
use crate::{dialect::Decoded, shared::Shared};
use std::rc::Rc;
use tgw_platform::{Object, Version};
use tgw_spread::follow::Way;

/// The operators' configuration.
pub(crate) struct Configuration {
    shared: Rc<Shared>,
    kind: String,
}

impl Configuration {
    pub(crate) fn new(shared: &Rc<Shared>) -> Self {
        Self { shared: shared.clone(), kind: shared.dialect.kinds().config.clone() }
    }

    pub(crate) fn take(&self, object: &Object) {
        if object.name != self.shared.dialect.kinds().config_name || object.value.is_null() {
            return;
        }
        match self.shared.dialect.config(&object.value) {
            Ok(Decoded { value, findings }) => {
                for finding in findings {
                    tracing::warn!(%finding, revision = object.version, "configuration");
                }
                let newer = self.shared.world.borrow_mut().configure(&value);
                if newer {
                    self.shared.adopt(&value, "store");
                }
            }
            Err(findings) => {
                for finding in findings {
                    tracing::error!(%finding, revision = object.version, "configuration not taken");
                }
            }
        }
    }
}

impl Topic for Configuration {
    fn kind(&self) -> &str {
        &self.kind
    }

    fn way(&self) -> Way {
        Way::Configuration
    }

    fn listed(&mut self, _version: Version, objects: Vec<Object>) {
        objects.iter().for_each(|o| self.take(o));
    }

    fn changed(&mut self, _version: Version, object: Object) {
        self.take(&object);
    }

    fn lost(&mut self) {}

    fn answered(&mut self) {}

    fn known(&self) -> bool {
        self.shared.world.borrow().config() > 0
    }

    fn reading(&self, reading: bool) {
        self.shared.reading.config.set(reading);
    }
}
