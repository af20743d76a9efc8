//! Sends to cold upstreams with a configured warm-up rate.

use crate::{
    Fleet, Scope, Upstream,
    core::SendLimits,
    fleet::{Hop, Key, Ticket},
    message::Reason,
    upstream::Distance,
    warmup::{Candidate, Candidates, Headroom, LeaseTerms},
};
use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
};
use tgw_clock::Millis;
use tgw_route::{Config, Warmup};

/// Time in ms after the end of an evacuation by which a cold upstream has reported it: one
/// heartbeat interval and its propagation to this VM.
const COLD_REPORT_TIMEOUT_MS: Millis = Millis::new(2_000);

/// Warm-up rate limits by service; only services that configure one.
#[derive(Debug, Default)]
pub(crate) struct ColdLimits {
    headroom: Headroom,
    services: HashMap<Rc<str>, Warmup>,
}

impl ColdLimits {
    fn terms(&self, service: &str) -> Option<LeaseTerms> {
        self.services
            .get(service)
            .and_then(|warmup| LeaseTerms::new(warmup.requests_per_s, self.headroom))
    }
}

impl Fleet {
    /// Adopts the warm-up rates of a configuration. Services without a positive rate get no limit on
    /// sends to their cold upstreams.
    pub(crate) fn set_cold_limits(&mut self, config: &Config) {
        let limited =
            config.services.iter().filter(|(_, service)| service.warmup.requests_per_s > 0.0);
        self.cold_limits.services = limited.map(|(name, s)| (name.clone(), s.warmup)).collect();
    }

    pub(crate) fn set_headroom(&mut self, headroom: Headroom) {
        self.cold_limits.headroom = headroom;
    }

    /// Sets the VMs that compete for leases to send to cold upstreams.
    pub fn set_candidates(&mut self, candidates: Candidates) {
        self.candidates.update(candidates);
    }

    /// Records contact with another VM.
    pub fn record_contact(&mut self, now: Millis) {
        self.candidates.record_contact(now);
    }

    /// Marks the upstreams of these failure domains as possibly cold.
    pub(crate) fn mark_possibly_cold(&mut self, now: Millis, domains: &BTreeSet<Rc<str>>) {
        for upstream in self.upstreams.values_mut() {
            let entry = &upstream.entry;
            let warmup = self.cold_limits.services.get(&entry.service);
            if let Some(warmup) = warmup.filter(|_| domains.contains(&entry.domain)) {
                upstream.mark_possibly_cold(now + warmup.duration + COLD_REPORT_TIMEOUT_MS);
            }
        }
    }

    /// The rate limit of an upstream, if it may be cold and its service configures one.
    pub(crate) fn cold_limit(&self, now: Millis, upstream: &Upstream) -> Option<LeaseTerms> {
        let terms = self.cold_limits.terms(&upstream.entry.service)?;
        upstream.is_cold(now).then_some(terms)
    }

    /// Why no upstream of a service has room for a request.
    pub(crate) fn unavailable_reason(
        &self,
        now: Millis,
        service: &str,
        scope: Scope<'_>,
    ) -> Reason {
        if !self.has_eligible(service, scope) && self.has_eligible(service, Scope::default()) {
            Reason::Residency
        } else if self.only_rate_limited(now, service, scope) {
            Reason::Cold
        } else {
            Reason::Upstream
        }
    }

    /// Whether a request can only go to upstreams of a service that may be cold and are rate
    /// limited.
    pub(crate) fn only_rate_limited(&self, now: Millis, service: &str, scope: Scope<'_>) -> bool {
        let eligible = |key: &&Key| self.can_send_to(**key, scope);
        let mut eligible = self.upstreams_of(service).iter().filter(eligible).peekable();
        let limited = |key: &Key| self.get(*key).is_some_and(|u| self.cold_limit(now, u).is_some());
        eligible.peek().is_some() && eligible.all(limited)
    }

    /// The upstreams of a service that would serve a request now at their full rate.
    pub(crate) fn warm_upstreams<'a>(
        &'a self,
        now: Millis,
        service: &str,
        scope: Scope<'a>,
    ) -> impl Iterator<Item = (Key, &'a Upstream)> {
        let upstreams = self.upstreams_of(service).iter();
        let upstreams = upstreams.filter_map(|key| Some((*key, self.get(*key)?)));
        upstreams.filter(move |(_, upstream)| {
            self.is_eligible(upstream, scope)
                && !upstream.is_suspected(now)
                && !upstream.is_cold(now)
        })
    }

    /// The number of VMs that hold a lease on one upstream at a time.
    fn holder_count(&self, terms: LeaseTerms) -> usize {
        (self.policy.warm_holders as usize).clamp(1, terms.max_requests())
    }

    /// This VM's share of a cold upstream's rate; `None` without a lease on it.
    fn own_lease(&self, now: Millis, upstream: &Upstream, terms: LeaseTerms) -> Option<LeaseTerms> {
        let (entry, place, holder_count) = (&upstream.entry, &self.place, self.holder_count(terms));
        let holders = self.candidates.holders(now, entry, place, holder_count);
        let holds = holders.iter().any(|candidate| candidate.vm == self.candidates.own_vm());
        (holds && self.candidates.has_quorum(now, entry, place)).then(|| terms.split(holder_count))
    }

    /// The hop of one more send to a cold upstream, if it may be made: direct if this VM holds a
    /// lease, else through the VM that does.
    pub(crate) fn cold_hop(
        &self,
        now: Millis,
        upstream: &Upstream,
        limits: SendLimits,
        terms: LeaseTerms,
    ) -> Option<Hop> {
        let Some(lease) = self.own_lease(now, upstream, terms) else {
            let via_peer = limits.peer > 0 && self.remote_holder(now, upstream).is_some();
            return (via_peer && upstream.has_peer_room(limits.peer)).then_some(Hop::Peer);
        };
        let limit = if upstream.distance == Distance::OtherRegion {
            limits.other_regions
        } else {
            limits.in_region
        };
        (upstream.allows_send(now, lease) && upstream.has_room(now, limit)).then_some(Hop::Direct)
    }

    /// The VM that holds a lease on an upstream, if it is another VM in the upstream's region: a
    /// request whose home is that region may not be sent through other regions.
    fn remote_holder<'a>(&'a self, now: Millis, upstream: &Upstream) -> Option<&'a Candidate> {
        if !self.candidates.has_vms_in_region(&upstream.entry.domain, &self.place) {
            return None;
        }
        let terms = self.cold_limit(now, upstream)?;
        let holders =
            self.candidates.holders(now, &upstream.entry, &self.place, self.holder_count(terms));
        let index =
            usize::try_from(self.next_send_number()).unwrap_or_default() % holders.len().max(1);
        holders.get(index).copied().filter(|candidate| candidate.vm != self.candidates.own_vm())
    }

    /// The VM through which sends reach an upstream that may be cold; `None` if any VM may send
    /// there.
    pub fn lease_holder(&self, now: Millis, key: Key) -> Option<&Candidate> {
        self.remote_holder(now, self.upstreams.get(&key)?)
    }

    /// Authorizes the write of a send's request. False if the upstream may be cold and this VM may
    /// not send to it now.
    pub fn authorize_write(&mut self, now: Millis, ticket: Ticket) -> bool {
        let Some(upstream) = self.upstreams.get(&ticket.upstream) else { return false };
        let lease = match self.cold_limit(now, upstream) {
            Some(terms) => match self.own_lease(now, upstream, terms) {
                Some(lease) => Some(lease),
                None => return false,
            },
            None => None,
        };
        let upstream = self.upstreams.get_mut(&ticket.upstream);
        upstream.is_some_and(|upstream| upstream.authorize_write(now, ticket.number, lease))
    }
}
