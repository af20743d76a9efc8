//! Leases to send to cold upstreams.
//!
//! A service may configure how many requests a second its upstreams accept after a start or an
//! outage until they are warm; the limit applies to the requests of all VMs together. No VM sees
//! what the others send, so a limit per VM alone cannot enforce it: one VM holds the lease on a
//! cold upstream, and the others send through it.

use crate::{fleet::Place, upstream::Entry};
use smallvec::SmallVec;
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};
use tgw_clock::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time in ms without contact to any VM after which this one gives up its leases: it may be
/// partitioned, and other VMs take over. Each VM is probed each 300 ms or more often.
const CONTACT_TIMEOUT_MS: Millis = Millis::new(1_000);
/// Time in ms for which the leases of a VM considered dead are not reassigned: it was unresponsive
/// for 1.5 s before, so it has given them up unless it was paused, and then gives them up within a
/// second of resuming.
pub const DEAD_VM_LEASE_RETENTION_MS: Millis = Millis::new(1_500);
/// Additional time in ms for which a dead VM counts towards the quorum: a partitioned minority of
/// VMs must not hold leases that the others hold, for as long as a partition is likely to last.
const QUORUM_RETENTION_MS: Millis = Millis::new(30_000);
/// Upper bound on VMs that hold the lease on one upstream at the same time: one that resumes after
/// a pause, and the one that took over.
const MAX_HOLDERS: f64 = 2.0;
const SECOND_MS: Millis = Millis::new(1_000);

/// How far operators allow all VMs together to exceed the configured rate of a cold upstream.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct Headroom {
    /// Multiple of the rate.
    pub factor: f64,
    /// Requests per second beyond that.
    pub constant: f64,
}

impl Default for Headroom {
    fn default() -> Self {
        Self { factor: 1.0, constant: 0.0 }
    }
}

/// What a lease holder may send to a cold upstream: a number of requests in any span of the given
/// length.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    max_requests: usize,
    span: Millis,
}

impl LeaseTerms {
    /// The terms for upstreams that accept `rate` requests a second; `None` without a rate limit.
    pub fn new(rate: f64, headroom: Headroom) -> Option<Self> {
        if rate <= 0.0 {
            return None;
        }
        let limit = rate * headroom.factor + headroom.constant;
        let share = rate.min(limit / MAX_HOLDERS);
        Some(match share >= 1.0 {
            true => Self { max_requests: share as usize, span: SECOND_MS },
            false => Self { max_requests: 1, span: Millis::from_f64(SECOND_MS.as_f64() / share) },
        })
    }

    /// The maximum number of requests in a span.
    pub fn max_requests(self) -> usize {
        self.max_requests
    }

    /// The share of each of `among` lease holders.
    pub(crate) fn split(self, among: usize) -> Self {
        Self { max_requests: (self.max_requests / among.max(1)).max(1), ..self }
    }
}

/// When requests were written to an upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteLog(SmallVec<[Millis; 8]>);

impl WriteLog {
    /// Whether one more request may be written, given the number of `pending` sends.
    pub(crate) fn allows(&self, now: Millis, pending: usize, terms: LeaseTerms) -> bool {
        let recent = self.0.iter().filter(|at| now - **at <= terms.span).count();
        recent + pending < terms.max_requests
    }

    pub(crate) fn record(&mut self, now: Millis, terms: LeaseTerms) {
        self.0.retain(|at| now - *at <= terms.span);
        self.0.push(now);
    }
}

/// A VM that may hold leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its identity.
    pub vm: u64,
    /// Its address.
    pub addr: SocketAddr,
    /// Until when it keeps its leases although it is considered dead; `None` while it is alive.
    pub dead_until: Option<Millis>,
}

/// The VMs that compete for leases on cold upstreams, by failure domain.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    own_vm: u64,
    domains: BTreeMap<Rc<str>, Vec<Candidate>>,
    last_contact: Millis,
}

impl Candidates {
    /// The VMs known to the VM `own_vm`.
    pub fn new(own_vm: u64, domains: BTreeMap<Rc<str>, Vec<Candidate>>) -> Self {
        Self { own_vm, domains, last_contact: Millis::ZERO }
    }

    /// Replaces the VMs by those of a newer set.
    pub(crate) fn update(&mut self, newer: Self) {
        let last_contact = self.last_contact;
        *self = Self { last_contact, ..newer };
    }

    /// Records contact with another VM.
    pub(crate) fn record_contact(&mut self, now: Millis) {
        self.last_contact = now;
    }

    /// The VMs that may hold the lease on an upstream: those of its failure domain, else of its
    /// region, else all. After a partition between domains they can then still reach the upstream.
    fn eligible<'a>(&'a self, domain: &str, place: &Place) -> SmallVec<[&'a Candidate; 16]> {
        let local: SmallVec<[&Candidate; 16]> =
            self.domains.get(domain).into_iter().flatten().collect();
        if !local.is_empty() {
            return local;
        }
        let region = place.region(domain);
        let in_region = |other: &str| region.is_some() && place.region(other) == region;
        let regional = self.domains.iter().filter(|(other, _)| in_region(other));
        let regional: SmallVec<[&Candidate; 16]> = regional.flat_map(|(_, vms)| vms).collect();
        if regional.is_empty() { self.domains.values().flatten().collect() } else { regional }
    }

    /// Whether any VM is known in the region of a failure domain.
    pub(crate) fn has_vms_in_region(&self, domain: &str, place: &Place) -> bool {
        let region = place.region(domain);
        let in_region =
            |other: &str| other == domain || (region.is_some() && place.region(other) == region);
        self.domains.iter().any(|(other, vms)| in_region(other) && !vms.is_empty())
    }

    /// The holders of the lease on an upstream: the first `count` by rendezvous hashing.
    pub(crate) fn holders<'a>(
        &'a self,
        now: Millis,
        entry: &Entry,
        place: &Place,
        count: usize,
    ) -> SmallVec<[&'a Candidate; 4]> {
        let mut ranked = self.eligible(&entry.domain, place);
        ranked.retain(|candidate| candidate.dead_until.is_none_or(|until| now < until));
        ranked.sort_by_cached_key(|candidate| xxh3_64_with_seed(entry.id.as_bytes(), candidate.vm));
        ranked.into_iter().take(count).collect()
    }

    /// Whether this VM can rely on its leases: it had contact recently, and a majority of the
    /// candidates is alive. A VM that is partitioned, alone or with a few, considers all others
    /// dead and would otherwise hold every lease.
    pub(crate) fn has_quorum(&self, now: Millis, entry: &Entry, place: &Place) -> bool {
        let known: usize = self.domains.values().map(Vec::len).sum();
        let mut candidates = self.eligible(&entry.domain, place);
        candidates.retain(|candidate| {
            candidate.dead_until.is_none_or(|until| now < until + QUORUM_RETENTION_MS)
        });
        let live = candidates.iter().filter(|candidate| candidate.dead_until.is_none()).count();
        (known <= 1 || now - self.last_contact < CONTACT_TIMEOUT_MS) && live * 2 > candidates.len()
    }

    /// The identity of this VM.
    pub(crate) fn own_vm(&self) -> u64 {
        self.own_vm
    }
}
