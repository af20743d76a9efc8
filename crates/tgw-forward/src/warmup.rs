//! Upstreams that bear few requests while they are cold.
//!
//! An upstream that has just started, or comes back, may state how many requests a second it bears until it is warm, and
//! what all VMs send it counts together. No VM sees what the others send, so that caution alone does not keep the limit:
//! one VM holds the right to send to a cold upstream, and the others send through it.

use crate::{fleet::Place, upstream::Entry};
use smallvec::SmallVec;
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};
use tgw_clock::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time in ms without word of any VM after which this one gives its rights up: it may be cut off, and others take over.
/// Each VM is probed each 300 ms or oftener.
const CONTACT: Millis = Millis::new(1_000);
/// Time in ms for which a VM that is taken for dead keeps others from its rights: it was silent for 1.5 s before, so
/// that it has given them up unless it stood still, and then gives them up within a second of going on.
pub const REMEMBERED: Millis = Millis::new(1_500);
/// Time in ms for which it counts besides as one of those of which most have to live: an island of VMs must not hold
/// rights that the others hold, for as long as a cut is likely to last.
const COUNTED: Millis = Millis::new(30_000);
/// VMs that hold the right to one upstream at the same time, at most: one that goes on after standing still, and the one
/// that took over.
const HOLDERS_MOST: f64 = 2.0;
const SECOND: Millis = Millis::new(1_000);

/// What operators allow beyond the rate that a cold upstream states, over all VMs.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct Excess {
    /// Times the rate.
    pub factor: f64,
    /// Requests in a second beyond that.
    pub constant: f64,
}

impl Default for Excess {
    fn default() -> Self {
        Self { factor: 1.0, constant: 0.0 }
    }
}

/// What one VM may send to a cold upstream: so many requests in any span of this length.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Allowance {
    most: usize,
    span: Millis,
}

impl Allowance {
    /// For upstreams that bear `rate` requests a second; `None` where none is stated.
    pub fn new(rate: f64, excess: Excess) -> Option<Self> {
        if rate <= 0.0 {
            return None;
        }
        let limit = rate * excess.factor + excess.constant;
        let most = rate.min(limit / HOLDERS_MOST);
        Some(match most >= 1.0 {
            true => Self { most: most as usize, span: SECOND },
            false => Self { most: 1, span: Millis::from_f64(SECOND.as_f64() / most) },
        })
    }

    /// Requests in a span.
    pub fn most(self) -> usize {
        self.most
    }

    /// A part of it, where several VMs hold the right.
    pub(crate) fn divided(self, among: usize) -> Self {
        Self { most: (self.most / among.max(1)).max(1), ..self }
    }
}

/// When requests were written to an upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Written(SmallVec<[Millis; 8]>);

impl Written {
    /// Whether one more may be written, with so many under way to being written.
    pub(crate) fn allows(&self, now: Millis, pending: usize, allowance: Allowance) -> bool {
        let recent = self.0.iter().filter(|at| now - **at <= allowance.span).count();
        recent + pending < allowance.most
    }

    pub(crate) fn add(&mut self, now: Millis, allowance: Allowance) {
        self.0.retain(|at| now - *at <= allowance.span);
        self.0.push(now);
    }
}

/// A VM that may hold rights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat {
    /// Its identity.
    pub vm: u64,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Until when it keeps its rights though it is taken for dead; `None` while it lives.
    pub dead_until: Option<Millis>,
}

/// The VMs among which rights to send to cold upstreams are held, by failure domain.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    own: u64,
    domains: BTreeMap<Rc<str>, Vec<Seat>>,
    heard: Millis,
}

impl Roster {
    /// The VMs that `own` knows.
    pub fn new(own: u64, domains: BTreeMap<Rc<str>, Vec<Seat>>) -> Self {
        Self { own, domains, heard: Millis::ZERO }
    }

    /// Takes over the VMs of a newer roster.
    pub(crate) fn renew(&mut self, newer: Self) {
        let heard = self.heard;
        *self = Self { heard, ..newer };
    }

    /// Another VM was heard of.
    pub(crate) fn heard(&mut self, now: Millis) {
        self.heard = now;
    }

    /// The VMs that come into question for an upstream: those of its failure domain, else of its region, else all. A cut
    /// between domains then leaves them together with the upstream.
    fn candidates<'a>(&'a self, domain: &str, place: &Place) -> SmallVec<[&'a Seat; 16]> {
        let own: SmallVec<[&Seat; 16]> = self.domains.get(domain).into_iter().flatten().collect();
        if !own.is_empty() {
            return own;
        }
        let region = place.region(domain);
        let near = |other: &str| region.is_some() && place.region(other) == region;
        let near = self.domains.iter().filter(|(other, _)| near(other));
        let near: SmallVec<[&Seat; 16]> = near.flat_map(|(_, seats)| seats).collect();
        if near.is_empty() { self.domains.values().flatten().collect() } else { near }
    }

    /// Whether VMs are known in the region of a failure domain.
    pub(crate) fn is_manned(&self, domain: &str, place: &Place) -> bool {
        let region = place.region(domain);
        let near =
            |other: &str| other == domain || (region.is_some() && place.region(other) == region);
        self.domains.iter().any(|(other, seats)| near(other) && !seats.is_empty())
    }

    /// The VMs that hold the right to send to an upstream, the first `count` by rendezvous hashing.
    pub(crate) fn holders<'a>(
        &'a self,
        now: Millis,
        entry: &Entry,
        place: &Place,
        count: usize,
    ) -> SmallVec<[&'a Seat; 4]> {
        let mut ranked = self.candidates(&entry.domain, place);
        ranked.retain(|seat| seat.dead_until.is_none_or(|until| now < until));
        ranked.sort_by_cached_key(|seat| xxh3_64_with_seed(entry.id.as_bytes(), seat.vm));
        ranked.into_iter().take(count).collect()
    }

    /// Whether this VM is sure of what it holds: it hears of others, and knows most of the VMs in question to live. One
    /// that is cut off, alone or with a few, takes all others for dead, and would hold every right.
    pub(crate) fn is_sure(&self, now: Millis, entry: &Entry, place: &Place) -> bool {
        let known: usize = self.domains.values().map(Vec::len).sum();
        let mut candidates = self.candidates(&entry.domain, place);
        candidates.retain(|seat| seat.dead_until.is_none_or(|until| now < until + COUNTED));
        let live = candidates.iter().filter(|seat| seat.dead_until.is_none()).count();
        (known <= 1 || now - self.heard < CONTACT) && live * 2 > candidates.len()
    }

    /// This VM.
    pub(crate) fn own(&self) -> u64 {
        self.own
    }
}
