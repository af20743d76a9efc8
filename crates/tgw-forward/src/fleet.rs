//! The known upstreams, and load balancing between them.

use crate::{
    Policy, Scope,
    cold::ColdLimits,
    core::SendLimits,
    transition::{Transition, Transitions},
    upstream::{Distance, Entry, PeerReport, SendOutcome, Upstream},
    warmup::Candidates,
};
use derive_more::Display;
use smallvec::SmallVec;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
};
use tgw_clock::Millis;

/// Identifies an upstream's incarnation within this process.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0}")]
pub struct Key(u64);

impl Key {
    /// Its number within this process.
    pub(crate) fn number(self) -> u64 {
        self.0
    }
}

/// Handle of one send, passed back when the send ends.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The upstream it was sent to.
    pub upstream: Key,
    pub(crate) number: u64,
}

/// How a send reaches its upstream.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub enum Hop {
    /// On a connection of this VM.
    #[display("direct")]
    Direct,
    /// Through a VM of the upstream's region, on a connection of that VM.
    #[display("peer")]
    Peer,
}

/// The upstream selected for a send.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The upstream.
    pub key: Key,
    /// How the send reaches it.
    pub hop: Hop,
}

/// Location of this VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Its failure domain.
    pub domain: String,
    /// The region of each failure domain.
    pub regions: BTreeMap<String, String>,
}

impl Place {
    /// The failure domain with a number: numbers follow the order of the names.
    pub fn domain_by_number(&self, number: u8) -> Option<&str> {
        self.regions.keys().nth(usize::from(number)).map(String::as_str)
    }

    /// The region of a failure domain, if known.
    pub fn region(&self, domain: &str) -> Option<&str> {
        self.regions.get(domain).map(String::as_str)
    }

    fn distance(&self, domain: &str) -> Distance {
        if domain == self.domain {
            return Distance::Domain;
        }
        match (self.regions.get(domain), self.regions.get(&self.domain)) {
            (Some(theirs), Some(ours)) if theirs == ours => Distance::Region,
            _ => Distance::OtherRegion,
        }
    }
}

/// Time constant in ms with which a service's baseline rises: far above the length of a slow spell
/// of its upstreams, which must not become the baseline.
const BASELINE_RISE_MS: f64 = 20_000.0;

/// Cost in ms added to a cold upstream with a rate limit: more than any warm upstream that replies.
const COLD_COST_MS: f64 = 1_000.0;

/// The usual service time of a service.
#[derive(Copy, Clone, Debug)]
struct ServiceTimeBaseline {
    service_time_ms: f64,
    updated_at: Millis,
}

impl ServiceTimeBaseline {
    /// Applies the service time of the currently fastest upstream: at once if lower, gradually if
    /// higher.
    fn update(&mut self, now: Millis, fastest: f64) {
        let elapsed = (now - self.updated_at).as_f64();
        let weight = if fastest < self.service_time_ms {
            1.0
        } else {
            1.0 - (-elapsed / BASELINE_RISE_MS).exp()
        };
        self.service_time_ms += weight * (fastest - self.service_time_ms);
        self.updated_at = now;
    }
}

/// All upstreams that this VM knows.
#[derive(Debug, Default)]
pub struct Fleet {
    pub(crate) place: Place,
    pub(crate) policy: Policy,
    pub(crate) upstreams: HashMap<Key, Upstream>,
    keys_by_id: HashMap<Rc<str>, Key>,
    keys_by_service: HashMap<Rc<str>, SmallVec<[Key; 4]>>,
    baselines: HashMap<Rc<str>, ServiceTimeBaseline>,
    /// Regions with at least one other VM.
    peer_regions: BTreeSet<String>,
    /// Failure domains whose upstreams must not get new requests.
    evacuated: BTreeSet<Rc<str>>,
    pub(crate) cold_limits: ColdLimits,
    pub(crate) candidates: Candidates,
    transitions: Transitions,
    next_key: u64,
    next_send_number: u64,
}

impl Fleet {
    /// Creates an empty fleet, seen from `place`.
    pub fn new(place: Place, policy: Policy) -> Self {
        Self { place, policy, ..Self::default() }
    }

    /// Sets the regions with at least one other VM.
    pub fn set_peer_regions(&mut self, regions: BTreeSet<String>) {
        self.peer_regions = regions;
    }

    /// Sets the failure domains whose upstreams must not get new requests. Requests in flight there
    /// may finish; upstreams of domains that are no longer evacuated may be cold.
    pub fn set_evacuated(&mut self, now: Millis, domains: BTreeSet<Rc<str>>) {
        let before = std::mem::replace(&mut self.evacuated, domains);
        let restored: BTreeSet<Rc<str>> = before.difference(&self.evacuated).cloned().collect();
        self.mark_possibly_cold(now, &restored);
    }

    /// Whether a failure domain is evacuated.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// The key of the upstream with an identity.
    pub fn key(&self, id: &str) -> Option<Key> {
        self.keys_by_id.get(id).copied()
    }

    /// Adds an upstream, or updates its entry if the new one is not older.
    pub fn put(&mut self, now: Millis, entry: Entry) {
        if let Some(upstream) =
            self.keys_by_id.get(&entry.id).and_then(|k| self.upstreams.get_mut(k))
        {
            if entry.precedes(&upstream.entry) {
                return;
            }
            let known = &upstream.entry;
            let same = (known.started, &known.service, known.addr);
            if same == (entry.started, &entry.service, entry.addr) {
                self.transitions.record_update(upstream, &entry);
                upstream.update_entry(now, entry);
                return;
            }
            // A new process under the same identity: it has none of the connections and no sends in
            // flight, and starts cold. Sends to the previous process keep their old key, so that
            // their outcome does not affect the new one.
            self.remove(&entry.id);
        }
        let key = Key(self.next_key);
        self.next_key += 1;
        self.keys_by_id.insert(entry.id.clone(), key);
        self.keys_by_service.entry(entry.service.clone()).or_default().push(key);
        let distance = self.place.distance(&entry.domain);
        self.upstreams.insert(key, Upstream::new(now, entry, distance, self.policy));
    }

    /// Removes an upstream; its sends in flight may still end.
    pub fn remove(&mut self, id: &str) -> Option<Key> {
        let key = self.keys_by_id.remove(id)?;
        let upstream = self.upstreams.remove(&key)?;
        self.transitions.record_removal(&upstream);
        if let Some(keys) = self.keys_by_service.get_mut(&upstream.entry.service) {
            keys.retain(|k| *k != key);
            if keys.is_empty() {
                self.keys_by_service.remove(&upstream.entry.service);
                self.baselines.remove(&upstream.entry.service);
            }
        }
        Some(key)
    }

    /// Takes the upstreams that went out of service or came back since the last call.
    pub fn take_transitions(&mut self) -> SmallVec<[Transition; 4]> {
        self.transitions.take()
    }

    /// The upstream with a key, unless it was removed.
    pub fn get(&self, key: Key) -> Option<&Upstream> {
        self.upstreams.get(&key)
    }

    /// The identities of all upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &Rc<str>> {
        self.keys_by_id.keys()
    }

    /// The number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether there are no upstreams.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// The number that the next send will get.
    pub(crate) fn next_send_number(&self) -> u64 {
        self.next_send_number
    }

    /// The upstreams of a service.
    pub(crate) fn upstreams_of(&self, service: &str) -> &[Key] {
        self.keys_by_service.get(service).map(SmallVec::as_slice).unwrap_or_default()
    }

    /// Selects the cheapest upstream of a service that has room for one more send within `limits`,
    /// is not among `tried`, and may serve the request.
    pub fn pick(
        &self,
        now: Millis,
        service: &str,
        limits: SendLimits,
        tried: &[Key],
        scope: Scope<'_>,
    ) -> Option<Choice> {
        let untried = self.upstreams_of(service).iter().filter(|key| !tried.contains(key));
        let usable = untried.filter_map(|key| {
            let upstream = self.upstreams.get(key).filter(|u| self.is_eligible(u, scope))?;
            let hop = self.hop_for(now, upstream, limits)?;
            // Cold upstreams rank last but before failing ones, since they accept few requests.
            let cold_cost = self.cold_limit(now, upstream).map_or(0.0, |_| COLD_COST_MS);
            Some((Choice { key: *key, hop }, upstream.cost(now, hop) + cold_cost))
        });
        usable.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(choice, _)| choice)
    }

    /// The hop of one more send to an upstream, if the upstream has room and accepts one more.
    pub(crate) fn hop_for(
        &self,
        now: Millis,
        upstream: &Upstream,
        limits: SendLimits,
    ) -> Option<Hop> {
        match self.cold_limit(now, upstream) {
            Some(limit) => self.cold_hop(now, upstream, limits, limit),
            None => self.warm_hop(now, upstream, limits),
        }
    }

    fn warm_hop(&self, now: Millis, upstream: &Upstream, limits: SendLimits) -> Option<Hop> {
        let region = self.place.region(&upstream.entry.domain);
        let has_peer = region.is_some_and(|r| self.peer_regions.contains(r));
        let via_peer = limits.peer > 0 && has_peer && upstream.distance == Distance::OtherRegion;
        let has_room = match (via_peer, upstream.distance) {
            (true, _) => upstream.has_peer_room(limits.peer),
            (false, Distance::OtherRegion) => upstream.has_room(now, limits.other_regions),
            (false, _) => upstream.has_room(now, limits.in_region),
        };
        has_room.then_some(if via_peer { Hop::Peer } else { Hop::Direct })
    }

    /// Records a send and returns its handle.
    pub fn record_send(&mut self, now: Millis, key: Key) -> Ticket {
        let number = self.next_send_number;
        self.next_send_number += 1;
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.record_send(now, number);
        }
        Ticket { upstream: key, number }
    }

    /// The report about an upstream for other VMs, with its entry, if one is due.
    pub fn take_report(&mut self, now: Millis, key: Key) -> Option<(&Entry, PeerReport)> {
        let upstream = self.upstreams.get_mut(&key)?;
        let report = upstream.take_report(now)?;
        Some((&upstream.entry, report))
    }

    /// Applies a report of another VM in the region about the incarnation of an upstream that
    /// started at `started`.
    pub fn apply_report(&mut self, now: Millis, id: &str, started: u64, report: PeerReport) {
        let upstream = self.keys_by_id.get(id).and_then(|k| self.upstreams.get_mut(k));
        if let Some(upstream) = upstream.filter(|u| u.entry.started == started) {
            upstream.apply_report(now, report);
        }
    }

    /// Records that an upstream's address refuses connections.
    pub fn mark_unreachable(&mut self, now: Millis, key: Key) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.mark_unreachable(now);
        }
    }

    /// Counts a connection that was made.
    pub fn connection_opened(&mut self, key: Key) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.connection_opened();
        }
    }

    /// Counts a connection that was closed.
    pub fn connection_closed(&mut self, key: Key) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.connection_closed();
        }
    }

    /// Records the outcome of a send.
    pub fn record_outcome(&mut self, now: Millis, ticket: Ticket, outcome: SendOutcome) {
        let Some(upstream) = self.upstreams.get_mut(&ticket.upstream) else { return };
        upstream.record_outcome(now, ticket.number, outcome);
        if outcome == SendOutcome::Reply && self.policy.levels {
            let service = upstream.entry.service.clone();
            self.update_baseline(now, &service);
        }
    }

    /// Recomputes the service time baseline of a service.
    ///
    /// With one baseline for all services, every upstream of a service with requests of 160 ms
    /// counted as slow and was reported to other VMs, and unsampled upstreams looked best,
    /// including slow ones.
    fn update_baseline(&mut self, now: Millis, service: &str) {
        let Some(keys) = self.keys_by_service.get(service) else { return };
        let service_times =
            keys.iter().filter_map(|key| self.upstreams.get(key)?.service_time_ms(now));
        let Some(fastest) = service_times.min_by(f64::total_cmp) else { return };
        let baseline = self
            .baselines
            .entry(service.into())
            .or_insert(ServiceTimeBaseline { service_time_ms: fastest, updated_at: now });
        baseline.update(now, fastest);
        for key in keys {
            if let Some(upstream) = self.upstreams.get_mut(key) {
                upstream.set_baseline(baseline.service_time_ms);
            }
        }
    }
}
