//! Sends to upstreams that bear few requests while they are cold.

use crate::{
    Fleet, Scope, Upstream,
    core::Most,
    fleet::{Hop, Key, Ticket},
    message::Reason,
    upstream::Distance,
    warmup::{Allowance, Excess, Roster, Seat},
};
use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
};
use tgw_clock::Millis;
use tgw_route::{Config, Warmup};

/// Time in ms after an evacuation's end by which an upstream that is cold has said so: a heartbeat, and its way here.
const SAID: Millis = Millis::new(2_000);

/// What upstreams bear while they are cold, by service; only of those that state it.
#[derive(Debug, Default)]
pub(crate) struct Warmups {
    excess: Excess,
    services: HashMap<Rc<str>, Warmup>,
}

impl Warmups {
    fn allowance(&self, service: &str) -> Option<Allowance> {
        self.services.get(service).and_then(|warmup| Allowance::new(warmup.rate, self.excess))
    }
}

impl Fleet {
    pub(crate) fn set_warmups(&mut self, config: &Config) {
        let limited = config.services.iter().filter(|(_, service)| service.warmup.rate > 0.0);
        self.warmups.services = limited.map(|(name, s)| (name.clone(), s.warmup)).collect();
    }

    pub(crate) fn set_excess(&mut self, excess: Excess) {
        self.warmups.excess = excess;
    }

    /// Sets the VMs among which rights to send to cold upstreams are held.
    pub fn set_roster(&mut self, roster: Roster) {
        self.roster.renew(roster);
    }

    /// Another VM was heard of.
    pub fn heard(&mut self, now: Millis) {
        self.roster.heard(now);
    }

    /// The upstreams of these failure domains may have become cold.
    pub(crate) fn doubt(&mut self, now: Millis, domains: &BTreeSet<Rc<str>>) {
        for upstream in self.upstreams.values_mut() {
            let entry = &upstream.entry;
            let warmup = self.warmups.services.get(&entry.service);
            if let Some(warmup) = warmup.filter(|_| domains.contains(&entry.domain)) {
                upstream.doubt(now + warmup.span + SAID);
            }
        }
    }

    /// What an upstream bears, if it may be cold and states that.
    pub(crate) fn limit(&self, now: Millis, upstream: &Upstream) -> Option<Allowance> {
        let allowance = self.warmups.allowance(&upstream.entry.service)?;
        upstream.is_cold(now).then_some(allowance)
    }

    /// Why no upstream of a service has room for a request.
    pub(crate) fn missing(&self, now: Millis, service: &str, scope: Scope<'_>) -> Reason {
        if !self.serves(service, scope) && self.serves(service, Scope::default()) {
            Reason::Residency
        } else if self.bears_no_more(now, service, scope) {
            Reason::Cold
        } else {
            Reason::Upstream
        }
    }

    /// Whether all upstreams of a service that a request may go to may be cold, and state what they bear.
    pub(crate) fn bears_no_more(&self, now: Millis, service: &str, scope: Scope<'_>) -> bool {
        let open = |key: &&Key| self.takes(**key, scope);
        let mut open = self.of(service).iter().filter(open).peekable();
        let limited = |key: &Key| self.get(*key).is_some_and(|u| self.limit(now, u).is_some());
        open.peek().is_some() && open.all(limited)
    }

    /// VMs that hold the right to send to an upstream at a time.
    fn count(&self, allowance: Allowance) -> usize {
        (self.policy.warm_holders as usize).clamp(1, allowance.most())
    }

    /// What this VM may send to a cold upstream; `None` if it holds no right to it.
    fn right(&self, now: Millis, upstream: &Upstream, allowance: Allowance) -> Option<Allowance> {
        let (entry, place, count) = (&upstream.entry, &self.place, self.count(allowance));
        let holders = self.roster.holders(now, entry, place, count);
        let own = holders.iter().any(|seat| seat.vm == self.roster.own());
        (own && self.roster.is_sure(now, entry, place)).then(|| allowance.divided(count))
    }

    /// How one more send gets to a cold upstream, if it may be made: from this VM if it holds the right, through the one
    /// that does else.
    pub(crate) fn reach_cold(
        &self,
        now: Millis,
        upstream: &Upstream,
        most: Most,
        allowance: Allowance,
    ) -> Option<Hop> {
        let Some(right) = self.right(now, upstream, allowance) else {
            let through = most.peer > 0 && self.holder(now, upstream).is_some();
            return (through && upstream.free(most.peer)).then_some(Hop::Peer);
        };
        let most = if upstream.distance == Distance::Far { most.far } else { most.near };
        (upstream.bears(now, right) && upstream.open(now, most)).then_some(Hop::Direct)
    }

    /// The VM that holds the right to send to an upstream, if it is another one in the upstream's region: elsewhere a
    /// request may not be sent that has its home there.
    fn holder<'a>(&'a self, now: Millis, upstream: &Upstream) -> Option<&'a Seat> {
        if !self.roster.is_manned(&upstream.entry.domain, &self.place) {
            return None;
        }
        let allowance = self.limit(now, upstream)?;
        let holders = self.roster.holders(now, &upstream.entry, &self.place, self.count(allowance));
        let turn = usize::try_from(self.next_send()).unwrap_or_default() % holders.len().max(1);
        holders.get(turn).copied().filter(|seat| seat.vm != self.roster.own())
    }

    /// The VM through which a send reaches an upstream that may be cold; `None` if any may send there.
    pub fn through(&self, now: Millis, key: Key) -> Option<&Seat> {
        self.holder(now, self.upstreams.get(&key)?)
    }

    /// A send's request is about to be written. False if its upstream may be cold, and this VM may not send there now.
    pub fn write(&mut self, now: Millis, ticket: Ticket) -> bool {
        let Some(upstream) = self.upstreams.get(&ticket.upstream) else { return false };
        let right = match self.limit(now, upstream) {
            Some(allowance) => match self.right(now, upstream, allowance) {
                Some(right) => Some(right),
                None => return false,
            },
            None => None,
        };
        let upstream = self.upstreams.get_mut(&ticket.upstream);
        upstream.is_some_and(|upstream| upstream.write(now, ticket.number, right))
    }
}
