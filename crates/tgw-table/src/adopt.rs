//! Adoption of newer editions by a VM.

use crate::{Document, Edition, document::Delta};
use std::sync::Arc;

/// The result of offering an edition.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The edition is in force now.
    Adopted,
    /// The edition in force is the same or newer.
    Stale,
    /// The delta starts above the edition in force: the whole document is needed.
    Gap,
}

/// The edition in force at one VM.
#[derive(Clone, Debug, Default)]
pub struct State {
    document: Option<Arc<Document>>,
}

impl State {
    /// The edition in force; `None` before the first one, when no request may be served.
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// The number of the edition in force; zero before the first one.
    pub fn edition(&self) -> Edition {
        self.document.as_ref().map_or(0, |d| d.edition)
    }

    /// Offers a whole document, from the platform or a peer.
    pub fn offer(&mut self, document: Document) -> Outcome {
        // A slow platform replica, a replayed watch or a peer from the other side of a partition can
        // deliver an older edition after a newer one, which would revert an accepted edit. Editions
        // are numbered by conditional updates of one object, so comparing numbers is sufficient.
        if document.edition <= self.edition() {
            return Outcome::Stale;
        }
        self.document = Some(Arc::new(document));
        Outcome::Adopted
    }

    /// Offers a delta from a peer.
    pub fn offer_delta(&mut self, delta: &Delta) -> Outcome {
        if delta.edition <= self.edition() {
            return Outcome::Stale;
        }
        let base = self.document.as_deref().cloned().unwrap_or_default();
        match base.apply(delta) {
            Some(next) => self.offer(next),
            None => Outcome::Gap,
        }
    }
}
