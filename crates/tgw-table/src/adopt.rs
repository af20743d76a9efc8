//! Adoption of editions by a VM: upwards only.

use crate::{Document, Edit, document::Delta};
use std::sync::Arc;

/// What became of an edition that was offered.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force now.
    Adopted,
    /// The one in force is as new or newer.
    Stale,
    /// A delta that does not connect to the edition in force: the whole document is needed.
    Gap,
}

/// The edition in force at one VM.
#[derive(Clone, Debug, Default)]
pub struct State {
    document: Option<Arc<Document>>,
}

impl State {
    /// The edition in force; `None` before the first, when nothing may be served.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// The number of the edition in force; zero before the first.
    pub fn edit(&self) -> Edit {
        self.document.as_ref().map_or(0, |d| d.edit)
    }

    /// Offers a whole document, from the platform or a peer.
    pub fn offer(&mut self, document: Document) -> Outcome {
        // A slow platform replica, a replayed watch or a peer from the other side of a partition
        // can hand over an older edition after a newer one: an accepted edit would revert. Editions
        // are numbered by conditional updates of one object, so comparing numbers is enough.
        if document.edit <= self.edit() {
            return Outcome::Stale;
        }
        self.document = Some(Arc::new(document));
        Outcome::Adopted
    }

    /// Offers a delta from a peer.
    pub fn offer_delta(&mut self, delta: &Delta) -> Outcome {
        if delta.edit <= self.edit() {
            return Outcome::Stale;
        }
        let base = self.document.as_deref().cloned().unwrap_or_default();
        match base.apply(delta) {
            Some(next) => self.offer(next),
            None => Outcome::Gap,
        }
    }
}
