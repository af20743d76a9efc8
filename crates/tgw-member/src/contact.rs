use crate::{
    Member,
    member::{Out, PUSH, RELAYS},
    packet::{Body, News},
};
use rand::{
    Rng,
    seq::{IteratorRandom, SliceRandom},
};
use smallvec::SmallVec;
use std::collections::BTreeSet;
use tgw_clock::Millis;
use tgw_owner::State;
use tgw_topology::{Vm, place::Domain};

impl Member {
    /// Whether this VM keeps contact with other domains, and watches the platform for its own.
    pub fn is_relay(&self) -> bool {
        self.relays(self.here()).contains(&self.options.vm)
    }

    /// Whether this VM follows the platform where each watch is paid for: one VM of each region, as
    /// relays tell one another across domains at once, and two where there is one domain only.
    pub fn follows(&self) -> bool {
        if self.foreign_domains().is_empty() {
            return self.is_relay();
        }
        self.sums_up() && !self.is_followed_elsewhere()
    }

    /// Whether an earlier domain of this region, which is not cut off from here, has a VM that reaches the
    /// platform.
    fn is_followed_elsewhere(&self) -> bool {
        let own = self.options.place;
        let cut = self.relay.cut();
        let sighted = self.records.values().filter(|r| r.member.state.owns() && !r.member.blind);
        let mut places = sighted.map(|r| r.member.place);
        places.any(|p| p.region == own.region && p.domain < own.domain && !cut.contains(&p.domain))
    }

    /// VMs of this domain that the platform does not answer.
    pub fn blind_near(&self) -> usize {
        let near = self.records.values().filter(|r| r.member.place.domain == self.here());
        near.filter(|r| r.member.state.owns() && r.member.blind).count()
    }

    /// Whether this VM sums up what its domain has in force.
    pub(crate) fn sums_up(&self) -> bool {
        self.relays(self.here()).first() == Some(&self.options.vm)
    }

    /// The live VMs of a domain that keep contact with others and watch the platform: the lowest of
    /// those that reach it.
    pub(crate) fn relays(&self, domain: Domain) -> SmallVec<[Vm; 2]> {
        let live = || {
            let here = self.records.values().filter(move |r| r.member.place.domain == domain);
            here.filter(|r| r.member.state.owns())
        };
        // The platform may turn away some VMs and serve the others. If the relays are among the
        // first, their whole domain would learn of changes late, though its other VMs reach it.
        let sighted = live().filter(|r| !r.member.blind);
        let blind = live().filter(|r| r.member.blind);
        sighted.chain(blind).map(|r| r.vm).take(RELAYS).collect()
    }

    pub(crate) fn set_blind(&mut self, blind: bool, out: &mut Out) {
        if self.blind == blind {
            return;
        }
        self.blind = blind;
        self.incarnation += 1;
        let own = self.own_record();
        self.records.insert(own.vm, own.clone());
        self.changed = true;
        self.spread(News::Record(own), out);
    }

    /// Tells a few VMs of the domain, and from a relay two in each other domain, that a newer
    /// edition can be had here.
    pub(crate) fn push_edit(&mut self, out: &mut Out) {
        self.push(PUSH, out);
        if self.is_relay() {
            for domain in self.foreign_domains() {
                self.contact(domain, Body::Push, out);
                self.contact_any(domain, out);
            }
        }
    }

    /// Tells any VM of another domain. Both of its relays may stand still, and until that is noticed nobody else
    /// there would hear of anything.
    fn contact_any(&mut self, domain: Domain, out: &mut Out) {
        let there = self.records.values().filter(|r| r.member.place.domain == domain);
        let live = there.filter(|r| r.member.state.owns()).map(|r| r.member.addr);
        if let Some(addr) = live.choose(&mut self.rng) {
            self.send(addr, Body::Push, out);
        }
    }

    pub(crate) fn foreign_domains(&self) -> Vec<Domain> {
        let all = self.records.values().filter(|r| r.member.state != State::Dead);
        let domains: BTreeSet<Domain> = all.map(|r| r.member.place.domain).collect();
        domains.into_iter().filter(|d| *d != self.here()).collect()
    }

    /// Sends something to one relay of another domain.
    pub(crate) fn contact(&mut self, domain: Domain, body: Body, out: &mut Out) -> Option<Vm> {
        let relays = self.relays(domain);
        let vm = *relays.get(self.rng.random_range(0..relays.len().max(1)))?;
        let addr = self.addr(vm)?;
        self.send(addr, body, out);
        Some(vm)
    }

    pub(crate) fn relay_turn(&mut self, now: Millis, out: &mut Out) {
        if !self.is_relay() {
            return;
        }
        if self.foreign_round.is_empty() {
            self.foreign_round = self.foreign_domains();
            self.foreign_round.shuffle(&mut self.rng);
        }
        if let Some(domain) = self.foreign_round.pop() {
            self.relay.asked(now, domain);
            let seq = self.probes.next();
            self.contact(domain, Body::Ping { seq }, out);
        }
        for news in self.relay.newly_cut(now, self.here()) {
            self.changed = true;
            self.spread(news, out);
        }
        let live: Vec<Vm> = {
            let near = self.records.values().filter(|r| r.member.place.domain == self.here());
            near.filter(|r| r.member.state.owns()).map(|r| r.vm).collect()
        };
        if !self.sums_up() {
            return;
        }
        if let Some(news) = self.relay.sum_up(now, self.here(), &live) {
            let times = self.times();
            self.gossip.add(news, times);
        }
    }

    pub(crate) fn report(&mut self, out: &mut Out) {
        self.relay.report(self.options.vm, self.edit);
        for vm in self.relays(self.here()) {
            if let Some(addr) = self.addr(vm).filter(|_| vm != self.options.vm) {
                self.send(addr, Body::Report, out);
            }
        }
    }
}
