use crate::{
    Member, Record,
    member::{Actions, PUSH_FANOUT, RELAYS_PER_DOMAIN},
    packet::{Body, Update},
};
use rand::{
    Rng,
    seq::{IteratorRandom, SliceRandom},
};
use smallvec::SmallVec;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use tgw_clock::Millis;
use tgw_owner::State;
use tgw_topology::{
    Place, Vm,
    place::{Domain, Region},
};

impl Member {
    /// Whether this VM is a relay: it keeps contact with other domains and watches the platform for
    /// its own domain.
    pub fn is_relay(&self) -> bool {
        self.relays(self.own_domain()).contains(&self.options.vm)
    }

    /// Whether this VM watches the platform where each watch has a cost: one VM of each region, since
    /// relays pass changes on across domains at once, or two where there is only one domain.
    pub fn watches_platform(&self) -> bool {
        if self.other_domains().is_empty() {
            return self.is_relay();
        }
        self.is_first_relay() && !self.is_watched_by_other_domain()
    }

    /// Whether a domain of this region with a lower number, which answers this one, has a VM that
    /// reaches the platform.
    fn is_watched_by_other_domain(&self) -> bool {
        let connected = self
            .records
            .values()
            .filter(|r| r.member.state.can_own() && !r.member.platform_unreachable);
        let mut places = connected.map(|r| r.member.place);
        places.any(|p| self.watches_before(p) && !self.relay.is_silent(p.domain))
    }

    /// Whether the domain of a VM is to watch the platform before this one's.
    fn watches_before(&self, place: Place) -> bool {
        let own = self.options.place;
        place.region == own.region && place.domain < own.domain
    }

    /// The domains on whose relays this one relies for changes at the platform.
    fn domains_before(&self) -> BTreeSet<Domain> {
        let live = self.records.values().filter(|r| r.member.state != State::Dead);
        let places = live.map(|r| r.member.place);
        places.filter(|place| self.watches_before(*place)).map(|place| place.domain).collect()
    }

    /// The VMs that watch the platform, one of each region, that of this region first.
    pub fn platform_watchers(&self) -> SmallVec<[SocketAddr; 8]> {
        let mut regions: BTreeMap<Region, Domain> = BTreeMap::new();
        for record in self.records.values().filter(|r| r.member.state.can_own()) {
            if !record.member.platform_unreachable {
                let Place { region, domain } = record.member.place;
                let first = regions.entry(region).or_insert(domain);
                *first = (*first).min(domain);
            }
        }
        let own = regions.remove(&self.options.place.region);
        let first_relays = own.into_iter().chain(regions.into_values());
        let watchers = first_relays.filter_map(|domain| self.relays(domain).first().copied());
        watchers.filter_map(|vm| self.addr(vm)).collect()
    }

    /// The number of VMs of this domain that report that they cannot reach the platform.
    pub fn platform_unreachable_count(&self) -> usize {
        let own = self.own_domain();
        self.platform_unreachable().filter(|r| r.member.place.domain == own).count()
    }

    /// The other VMs of this region that report that they cannot reach the platform: any of them may have watched it before
    /// this one.
    pub fn platform_unreachable_peers(&self) -> Vec<SocketAddr> {
        let region = self.options.place.region;
        let peers = self.platform_unreachable().filter(|r| r.vm != self.options.vm);
        peers.filter(|r| r.member.place.region == region).map(|r| r.member.addr).collect()
    }

    fn platform_unreachable(&self) -> impl Iterator<Item = &Record> {
        let live = self.records.values().filter(|r| r.member.state.can_own());
        live.filter(|r| r.member.platform_unreachable)
    }

    /// Whether this VM is the first relay of its domain, which summarizes the editions in force in the
    /// domain.
    pub(crate) fn is_first_relay(&self) -> bool {
        self.relays(self.own_domain()).first() == Some(&self.options.vm)
    }

    /// The relays of a domain: its live VMs with the lowest identities, those that reach the platform
    /// first.
    pub(crate) fn relays(&self, domain: Domain) -> SmallVec<[Vm; 2]> {
        let live = self.records.values().filter(|r| r.member.place.domain == domain);
        let live = live.filter(|r| r.member.state.can_own());
        // The platform may reject some VMs and serve others. If it rejected the relays, their whole
        // domain would learn of changes late, although its other VMs reach the platform. One that
        // reaches it again does not take over again from the one that took over: each change of hands
        // costs calls and a moment without any.
        let ranked = live.map(|r| (r.member.platform_unreachable, r.member.platform_losses, r.vm));
        let mut first: SmallVec<[(bool, u32, Vm); RELAYS_PER_DOMAIN + 1]> = SmallVec::new();
        for candidate in ranked {
            let at = first.iter().position(|other| candidate < *other).unwrap_or(first.len());
            first.insert(at, candidate);
            first.truncate(RELAYS_PER_DOMAIN);
        }
        first.into_iter().map(|(_, _, vm)| vm).collect()
    }

    pub(crate) fn set_platform_unreachable(&mut self, unreachable: bool, out: &mut Actions) {
        if self.platform_unreachable == unreachable {
            return;
        }
        self.platform_unreachable = unreachable;
        self.platform_losses += u32::from(unreachable);
        self.incarnation += 1;
        let own = self.own_record();
        self.records.insert(own.vm, own.clone());
        self.changed = true;
        self.disseminate(Update::Record(own), out);
    }

    /// Announces newer versions to a few VMs of the domain and, from a relay, to two VMs in each
    /// other domain.
    pub(crate) fn push_versions(&mut self, out: &mut Actions) {
        self.push(PUSH_FANOUT, out);
        if self.is_relay() {
            for domain in self.other_domains() {
                self.send_to_relay(domain, Body::Push, out);
                self.push_to_any(domain, out);
            }
        }
    }

    /// Pushes to any live VM of another domain. Both relays of that domain may be paused, and until
    /// that is detected no other VM of the domain would receive the update.
    fn push_to_any(&mut self, domain: Domain, out: &mut Actions) {
        let members = self.records.values().filter(|r| r.member.place.domain == domain);
        let live = members.filter(|r| r.member.state.can_own()).map(|r| r.member.addr);
        if let Some(addr) = live.choose(&mut self.rng) {
            self.send(addr, Body::Push, out);
        }
    }

    pub(crate) fn other_domains(&self) -> Vec<Domain> {
        let all = self.records.values().filter(|r| r.member.state != State::Dead);
        let domains: BTreeSet<Domain> = all.map(|r| r.member.place.domain).collect();
        domains.into_iter().filter(|d| *d != self.own_domain()).collect()
    }

    /// Sends a packet to a random relay of another domain.
    pub(crate) fn send_to_relay(
        &mut self,
        domain: Domain,
        body: Body,
        out: &mut Actions,
    ) -> Option<Vm> {
        let relays = self.relays(domain);
        let vm = *relays.get(self.rng.random_range(0..relays.len().max(1)))?;
        let addr = self.addr(vm)?;
        self.send(addr, body, out);
        Some(vm)
    }

    pub(crate) fn relay_tick(&mut self, now: Millis, out: &mut Actions) {
        if !self.is_relay() {
            return;
        }
        // A VM that watches the platform for this one may be the only one of its domain, so nobody else
        // notices that it is frozen or lost. In its turn among all domains it would be asked too late.
        let before = self.domains_before();
        if self.domain_round.is_empty() {
            self.domain_round = self.other_domains();
            self.domain_round.retain(|domain| !before.contains(domain));
            self.domain_round.shuffle(&mut self.rng);
        }
        let next = self.domain_round.pop().filter(|domain| !before.contains(domain));
        for domain in before.into_iter().chain(next) {
            self.relay.ping_sent(now, domain);
            let seq = self.probes.next_seq();
            self.send_to_relay(domain, Body::Ping { seq }, out);
        }
        self.changed |= self.relay.detect_silence(now);
        for update in self.relay.newly_unreachable(now, self.own_domain()) {
            self.changed = true;
            self.disseminate(update, out);
        }
        let live: Vec<Vm> = {
            let local =
                self.records.values().filter(|r| r.member.place.domain == self.own_domain());
            local.filter(|r| r.member.state.can_own()).map(|r| r.vm).collect()
        };
        if !self.is_first_relay() {
            return;
        }
        if let Some(update) = self.relay.summarize(now, self.own_domain(), &live) {
            let transmissions = self.transmissions();
            self.gossip.enqueue(update, transmissions);
        }
    }

    pub(crate) fn report_edition(&mut self, out: &mut Actions) {
        self.relay.record_edition(self.options.vm, self.edition);
        for vm in self.relays(self.own_domain()) {
            if let Some(addr) = self.addr(vm).filter(|_| vm != self.options.vm) {
                self.send(addr, Body::Report, out);
            }
        }
    }
}
