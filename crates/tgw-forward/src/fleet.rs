//! The upstreams and the choice among them.

use crate::{
    Policy, Scope,
    cold::Warmups,
    core::Most,
    upstream::{Distance, Entry, Sign, Upstream, Word},
    warmup::Roster,
};
use derive_more::Display;
use smallvec::SmallVec;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
};
use tgw_clock::Millis;

/// Names an upstream's incarnation within this process.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0}")]
pub struct Key(u64);

/// One send, to be given back when it ended.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The upstream.
    pub upstream: Key,
    pub(crate) number: u64,
}

/// The way of a send to its upstream.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub enum Hop {
    /// On a connection of this VM.
    #[display("direct")]
    Direct,
    /// Through a VM of the upstream's region, on a connection of that VM.
    #[display("peer")]
    Peer,
}

/// The best upstream for a send.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The upstream.
    pub key: Key,
    /// The way there.
    pub hop: Hop,
}

/// Where this VM is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Its failure domain.
    pub domain: String,
    /// The region of each failure domain.
    pub regions: BTreeMap<String, String>,
}

impl Place {
    /// The failure domain of a number: numbers follow the order of the names.
    pub fn numbered(&self, number: u8) -> Option<&str> {
        self.regions.keys().nth(usize::from(number)).map(String::as_str)
    }

    /// The region of a failure domain, if it is known.
    pub fn region(&self, domain: &str) -> Option<&str> {
        self.regions.get(domain).map(String::as_str)
    }

    fn distance(&self, domain: &str) -> Distance {
        if domain == self.domain {
            return Distance::Domain;
        }
        match (self.regions.get(domain), self.regions.get(&self.domain)) {
            (Some(theirs), Some(ours)) if theirs == ours => Distance::Region,
            _ => Distance::Far,
        }
    }
}

/// Time constant in ms with which the level of a service rises: far above a slow spell of its upstreams, which
/// it must not take for usual.
const RISE_MS: f64 = 20_000.0;

/// What a cold upstream that bears few requests costs in ms: more than any warm one that answers.
const LIMITED_COST_MS: f64 = 1_000.0;

/// The time of work that is usual for a service, in ms.
#[derive(Copy, Clone, Debug)]
struct Level {
    work: f64,
    since: Millis,
}

impl Level {
    /// Takes over what the quickest upstream needs now: at once if it is less, slowly if it is more.
    fn sample(&mut self, now: Millis, least: f64) {
        let passed = (now - self.since).as_f64();
        let weight = if least < self.work { 1.0 } else { 1.0 - (-passed / RISE_MS).exp() };
        self.work += weight * (least - self.work);
        self.since = now;
    }
}

/// All upstreams that this VM knows.
#[derive(Debug, Default)]
pub struct Fleet {
    pub(crate) place: Place,
    pub(crate) policy: Policy,
    pub(crate) upstreams: HashMap<Key, Upstream>,
    keys: HashMap<Rc<str>, Key>,
    services: HashMap<Rc<str>, SmallVec<[Key; 4]>>,
    levels: HashMap<Rc<str>, Level>,
    /// Regions in which another VM lives.
    manned: BTreeSet<String>,
    /// Failure domains whose upstreams are to get nothing more.
    evacuated: BTreeSet<Rc<str>>,
    pub(crate) warmups: Warmups,
    pub(crate) roster: Roster,
    next_key: u64,
    next_send: u64,
}

impl Fleet {
    /// No upstreams, seen from `place`.
    pub fn new(place: Place, policy: Policy) -> Self {
        Self { place, policy, ..Self::default() }
    }

    /// Sets the regions in which another VM lives.
    pub fn set_manned(&mut self, regions: BTreeSet<String>) {
        self.manned = regions;
    }

    /// Sets the failure domains whose upstreams are to get nothing more. What they are at work on they may finish; those
    /// of domains that are taken back may be cold.
    pub fn set_evacuated(&mut self, now: Millis, domains: BTreeSet<Rc<str>>) {
        let before = std::mem::replace(&mut self.evacuated, domains);
        let back: BTreeSet<Rc<str>> = before.difference(&self.evacuated).cloned().collect();
        self.doubt(now, &back);
    }

    /// Whether the upstreams of a failure domain are to get nothing more.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// The upstream of an identity.
    pub fn key(&self, id: &str) -> Option<Key> {
        self.keys.get(id).copied()
    }

    /// Adds an upstream or takes over its newer entry.
    pub fn put(&mut self, now: Millis, entry: Entry) {
        if let Some(upstream) = self.keys.get(&entry.id).and_then(|k| self.upstreams.get_mut(k)) {
            if entry.precedes(&upstream.entry) {
                return;
            }
            let known = &upstream.entry;
            let same = (known.started, &known.service, known.addr);
            if same == (entry.started, &entry.service, entry.addr) {
                upstream.renew(now, entry);
                return;
            }
            // Another process, though it bears the identity: it has none of the connections, was sent
            // nothing, and is as slow as any that has just started. Sends to the one before keep their key,
            // so that what becomes of them says nothing of this one.
            self.remove(&entry.id);
        }
        let key = Key(self.next_key);
        self.next_key += 1;
        self.keys.insert(entry.id.clone(), key);
        self.services.entry(entry.service.clone()).or_default().push(key);
        let distance = self.place.distance(&entry.domain);
        self.upstreams.insert(key, Upstream::new(now, entry, distance, self.policy));
    }

    /// Forgets an upstream; its sends may still end.
    pub fn remove(&mut self, id: &str) -> Option<Key> {
        let key = self.keys.remove(id)?;
        if let Some(upstream) = self.upstreams.remove(&key)
            && let Some(keys) = self.services.get_mut(&upstream.entry.service)
        {
            keys.retain(|k| *k != key);
            if keys.is_empty() {
                self.services.remove(&upstream.entry.service);
                self.levels.remove(&upstream.entry.service);
            }
        }
        Some(key)
    }

    /// The upstream of a key, unless it was removed.
    pub fn get(&self, key: Key) -> Option<&Upstream> {
        self.upstreams.get(&key)
    }

    /// The identities of all upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &Rc<str>> {
        self.keys.keys()
    }

    /// The number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// The number of the next send.
    pub(crate) fn next_send(&self) -> u64 {
        self.next_send
    }

    /// The upstreams of a service.
    pub(crate) fn of(&self, service: &str) -> &[Key] {
        self.services.get(service).map(SmallVec::as_slice).unwrap_or_default()
    }

    /// The best upstream of a service that has room for one more of at most `most` sends at once, is
    /// not among `tried`, and lies where the request may be sent.
    pub fn pick(
        &self,
        now: Millis,
        service: &str,
        most: Most,
        tried: &[Key],
        scope: Scope<'_>,
    ) -> Option<Choice> {
        let untried = self.of(service).iter().filter(|key| !tried.contains(key));
        let usable = untried.filter_map(|key| {
            let upstream = self.upstreams.get(key).filter(|u| self.is_open(u, scope))?;
            let hop = self.reach_any(now, upstream, most)?;
            // Cold ones come last but for those that fail: what they bear is little.
            let limited = self.limit(now, upstream).map_or(0.0, |_| LIMITED_COST_MS);
            Some((Choice { key: *key, hop }, upstream.cost(now, hop) + limited))
        });
        usable.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(choice, _)| choice)
    }

    /// How one more send gets to an upstream, if there is room for it and it bears one more.
    pub(crate) fn reach_any(&self, now: Millis, upstream: &Upstream, most: Most) -> Option<Hop> {
        match self.limit(now, upstream) {
            Some(limit) => self.reach_cold(now, upstream, most, limit),
            None => self.reach(now, upstream, most),
        }
    }

    fn reach(&self, now: Millis, upstream: &Upstream, most: Most) -> Option<Hop> {
        let region = self.place.region(&upstream.entry.domain);
        let manned = region.is_some_and(|r| self.manned.contains(r));
        let through = most.peer > 0 && manned && upstream.distance == Distance::Far;
        let open = match (through, upstream.distance) {
            (true, _) => upstream.free(most.peer),
            (false, Distance::Far) => upstream.open(now, most.far),
            (false, _) => upstream.open(now, most.near),
        };
        open.then_some(if through { Hop::Peer } else { Hop::Direct })
    }

    /// Counts a send.
    pub fn send(&mut self, now: Millis, key: Key) -> Ticket {
        let number = self.next_send;
        self.next_send += 1;
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.sent(now, number);
        }
        Ticket { upstream: key, number }
    }

    /// What other VMs should be told of an upstream, with its entry.
    pub fn tell(&mut self, now: Millis, key: Key) -> Option<(&Entry, Word)> {
        let upstream = self.upstreams.get_mut(&key)?;
        let word = upstream.tell(now)?;
        Some((&upstream.entry, word))
    }

    /// Another VM of the region tells of an upstream that started at `started`.
    pub fn told(&mut self, now: Millis, id: &str, started: u64, word: Word) {
        let upstream = self.keys.get(id).and_then(|k| self.upstreams.get_mut(k));
        if let Some(upstream) = upstream.filter(|u| u.entry.started == started) {
            upstream.told(now, word);
        }
    }

    /// Nobody listens any more where an upstream was.
    pub fn lost(&mut self, now: Millis, key: Key) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.lost(now);
        }
    }

    /// Counts a connection that was made.
    pub fn opened(&mut self, key: Key) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.opened();
        }
    }

    /// Counts a connection that ended.
    pub fn closed(&mut self, key: Key) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.closed();
        }
    }

    /// Counts the end of a send.
    pub fn end(&mut self, now: Millis, ticket: Ticket, sign: Sign) {
        let Some(upstream) = self.upstreams.get_mut(&ticket.upstream) else { return };
        upstream.ended(now, ticket.number, sign);
        if sign == Sign::Reply && self.policy.levels {
            let service = upstream.entry.service.clone();
            self.level(now, &service);
        }
    }

    /// Sets the level of a service anew.
    ///
    /// With one level for all, every upstream of a service whose requests take 160 ms was slow and worth
    /// telling others, and those of which nothing was known looked best, the slow ones among them.
    fn level(&mut self, now: Millis, service: &str) {
        let Some(keys) = self.services.get(service) else { return };
        let works = keys.iter().filter_map(|key| self.upstreams.get(key)?.work(now));
        let Some(least) = works.min_by(f64::total_cmp) else { return };
        let level = self.levels.entry(service.into()).or_insert(Level { work: least, since: now });
        level.sample(now, least);
        for key in keys {
            if let Some(upstream) = self.upstreams.get_mut(key) {
                upstream.set_level(level.work);
            }
        }
    }
}
