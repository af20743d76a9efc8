//! Upstreams that go out of service or come back, for the log.

use crate::{Upstream, upstream::Entry};
use smallvec::SmallVec;
use std::rc::Rc;
use tgw_clock::Millis;

/// Upper bound on transitions kept until they are taken; later ones are dropped.
const MAX_TRANSITIONS: usize = 256;

/// An upstream whose availability for new requests has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// The upstream's identity.
    pub id: Rc<str>,
    /// What changed.
    pub kind: Kind,
}

/// What changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// It gets no new requests: it is draining or was removed.
    Left(Departure),
    /// The same process accepts requests again after it was draining.
    Returned,
}

/// What was sent to an upstream that left.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub struct Departure {
    /// When a request was last written to it, if any was.
    pub last_write: Option<Millis>,
    /// When the oldest send in flight began, if there is any.
    pub oldest_send: Option<Millis>,
    /// The number of sends in flight.
    pub in_flight: u32,
}

/// Transitions that were not taken yet.
#[derive(Debug, Default)]
pub(crate) struct Transitions(Vec<Transition>);

impl Transitions {
    /// Records that an upstream was removed, unless it had left before.
    pub(crate) fn record_removal(&mut self, upstream: &Upstream) {
        if !upstream.entry.draining {
            self.push(&upstream.entry.id, Kind::Left(upstream.departure()));
        }
    }

    /// Records the transition, if any, that a later entry of the same process makes.
    pub(crate) fn record_update(&mut self, upstream: &Upstream, entry: &Entry) {
        match (upstream.entry.draining, entry.draining) {
            (false, true) => self.push(&entry.id, Kind::Left(upstream.departure())),
            (true, false) => self.push(&entry.id, Kind::Returned),
            _ => {}
        }
    }

    pub(crate) fn take(&mut self) -> SmallVec<[Transition; 4]> {
        self.0.drain(..).collect()
    }

    fn push(&mut self, id: &Rc<str>, kind: Kind) {
        if self.0.len() < MAX_TRANSITIONS {
            self.0.push(Transition { id: id.clone(), kind });
        }
    }
}
