use crate::{
    Member,
    event::Action,
    member::{Actions, CALL_ATTEMPTS, PROBE_INTERVAL_MS, SUSPICION_TIMEOUT_MS, Suspicion},
    packet::{Body, Update},
};
use rand::seq::SliceRandom;
use std::{collections::BTreeSet, net::SocketAddr};
use tgw_clock::Millis;
use tgw_owner::State;
use tgw_topology::Vm;

/// Indirect probes are requested if a direct probe is not acknowledged within this time.
const DIRECT_PROBE_TIMEOUT_MS: Millis = Millis::new(100);
/// The number of third VMs asked for an indirect probe.
const INDIRECT_PROBE_COUNT: usize = 3;
/// Direct probes sent to a suspect after its suspicion has timed out, and the time given to each.
const FINAL_PROBE_COUNT: u8 = 3;
const FINAL_PROBE_TIMEOUT_MS: Millis = Millis::new(100);

impl Member {
    /// Discards probes in flight and restarts suspicions after this VM was paused. All timers have
    /// expired at once during the pause; acting on them would declare the whole fleet dead.
    pub(crate) fn resume_after_pause(&mut self, now: Millis, gap: Millis, out: &mut Actions) {
        self.probes.in_flight.clear();
        self.relay.forget_pings();
        for suspicion in self.suspicions.values_mut() {
            *suspicion = Suspicion { deadline: now + SUSPICION_TIMEOUT_MS, final_probes: 0 };
        }
        out.push(Action::Paused(gap));
    }

    pub(crate) fn probe_neighbour(&mut self, now: Millis, out: &mut Actions) {
        if self.probe_round.is_empty() {
            self.probe_round = self.neighbours();
            self.probe_round.shuffle(&mut self.rng);
        }
        while let Some(vm) = self.probe_round.pop() {
            let live = self.records.get(&vm).filter(|r| r.member.state != State::Dead);
            if let Some(addr) = live.map(|r| r.member.addr) {
                let seq = self.probes.start(now, vm, false);
                return self.send(addr, Body::Ping { seq }, out);
            }
        }
    }

    /// Handles unanswered probes: requests indirect probes, then suspects the target.
    pub(crate) fn check_probes(&mut self, now: Millis, out: &mut Actions) {
        let unanswered: Vec<(u64, Vm)> = self
            .probes
            .in_flight
            .iter()
            .filter(|(_, p)| !p.indirect && now - p.sent_at >= DIRECT_PROBE_TIMEOUT_MS)
            .map(|(seq, p)| (*seq, p.target))
            .collect();
        for (seq, target) in unanswered {
            self.request_indirect_probes(seq, target, out);
        }
        let timed_out: Vec<(u64, Vm, bool)> = self
            .probes
            .in_flight
            .iter()
            .filter(|(_, p)| now - p.sent_at >= PROBE_INTERVAL_MS)
            .map(|(seq, p)| (*seq, p.target, p.cross_domain))
            .collect();
        for (seq, target, cross_domain) in timed_out {
            self.probes.in_flight.remove(&seq);
            if !cross_domain {
                self.suspect(now, target, out);
            }
        }
        self.probes.expire_relayed(now, PROBE_INTERVAL_MS + PROBE_INTERVAL_MS);
    }

    pub(crate) fn request_indirect_probes(&mut self, seq: u64, target: Vm, out: &mut Actions) {
        if let Some(probe) = self.probes.in_flight.get_mut(&seq) {
            probe.indirect = true;
        }
        let Some(addr) = self.addr(target) else { return };
        let mut helpers = self.neighbours();
        helpers.retain(|vm| *vm != target);
        if helpers.is_empty() {
            // In a domain of two VMs only relays of other domains can probe indirectly.
            helpers = self.other_domains().into_iter().flat_map(|d| self.relays(d)).collect();
        }
        helpers.shuffle(&mut self.rng);
        for helper in helpers.into_iter().take(INDIRECT_PROBE_COUNT) {
            if let Some(helper_addr) = self.addr(helper) {
                self.send(helper_addr, Body::Indirect { seq, target: addr }, out);
            }
        }
    }

    /// Handles a probe of `target` that was not answered in time. A live VM becomes suspect; a leaving
    /// one becomes dead at once, as suspect is a less severe state than leaving and so may not follow
    /// it within an incarnation.
    pub(crate) fn suspect(&mut self, now: Millis, target: Vm, out: &mut Actions) {
        let Some(mut record) = self.records.get(&target).cloned() else { return };
        if !matches!(record.member.state, State::Alive | State::Leaving) {
            return;
        }
        self.stats.suspected += 1;
        if record.member.state == State::Leaving {
            record.member.state = State::Dead;
        } else {
            record.member.state = State::Suspect;
        }
        self.apply_record(now, record, out);
    }

    /// Sends the final probes to suspects whose suspicion has timed out, then declares them dead.
    pub(crate) fn check_suspicions(&mut self, now: Millis, out: &mut Actions) {
        let expired: Vec<Vm> =
            self.suspicions.iter().filter(|(_, s)| s.deadline <= now).map(|(vm, _)| *vm).collect();
        for vm in expired {
            let Some(suspicion) = self.suspicions.get_mut(&vm) else { continue };
            suspicion.final_probes += 1;
            suspicion.deadline = now + FINAL_PROBE_TIMEOUT_MS;
            let dead = suspicion.final_probes > FINAL_PROBE_COUNT;
            let Some(mut record) = self.records.get(&vm).cloned() else { continue };
            if dead {
                self.stats.declared_dead += 1;
                record.member.state = State::Dead;
                self.apply_record(now, record, out);
            } else {
                self.gossip.enqueue(Update::Record(record.clone()), 1);
                let seq = self.probes.next_seq();
                self.send(record.member.addr, Body::Ping { seq }, out);
            }
        }
    }

    /// Calls VMs that may know no other one, until they are known here.
    pub(crate) fn call(&mut self, addresses: Vec<SocketAddr>, out: &mut Actions) {
        self.called.extend(addresses.into_iter().map(|addr| (addr, CALL_ATTEMPTS)));
        self.ping_called(out);
    }

    pub(crate) fn ping_called(&mut self, out: &mut Actions) {
        let live = self.records.values().filter(|r| r.member.state != State::Dead);
        let known: BTreeSet<SocketAddr> = live.map(|r| r.member.addr).collect();
        self.called.retain(|addr, attempts| *attempts > 0 && !known.contains(addr));
        let targets: Vec<SocketAddr> = self.called.keys().copied().collect();
        self.called.values_mut().for_each(|attempts| *attempts -= 1);
        for addr in targets {
            self.gossip.enqueue(Update::Record(self.own_record()), 1);
            let seq = self.probes.next_seq();
            self.send(addr, Body::Ping { seq }, out);
        }
    }

    /// Pings dead VMs and unknown seeds: after a partition no regular probe reaches them.
    pub(crate) fn ping_dead_and_seeds(&mut self, max_targets: usize, out: &mut Actions) {
        let known: BTreeSet<SocketAddr> = self
            .records
            .values()
            .filter(|r| r.member.state != State::Dead)
            .map(|r| r.member.addr)
            .collect();
        let dead = self.records.values().filter(|r| r.member.state == State::Dead);
        let mut targets: Vec<SocketAddr> = dead.map(|r| r.member.addr).collect();
        targets.extend(self.options.seeds.iter().copied());
        targets.retain(|addr| !known.contains(addr));
        targets.shuffle(&mut self.rng);
        for addr in targets.into_iter().take(max_targets) {
            self.gossip.enqueue(Update::Record(self.own_record()), 1);
            let seq = self.probes.next_seq();
            // The receiver may know this VM from an earlier incarnation. A join still asks for all
            // records, which a VM that knows no other needs.
            let body = if known.len() <= 1 { Body::Join { seq } } else { Body::Ping { seq } };
            self.send(addr, body, out);
        }
    }
}
