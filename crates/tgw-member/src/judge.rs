use crate::{
    Member,
    member::{Action, Out, PERIOD, SUSPICION, Suspicion},
    packet::{Body, News},
};
use rand::seq::SliceRandom;
use std::{collections::BTreeSet, net::SocketAddr};
use tgw_clock::Millis;
use tgw_owner::State;
use tgw_topology::Vm;

/// Time for a direct acknowledgement, before third VMs are asked.
const DIRECT: Millis = Millis::new(100);
/// Third VMs that are asked.
const HELPERS: usize = 3;
/// Last direct probes of a suspect whose time is up, and how long they may take in all.
const LAST_PROBES: u8 = 3;
const LAST_PROBE_GAP: Millis = Millis::new(100);

impl Member {
    /// After a pause every timer has run out at once: judging others by them would declare the whole
    /// fleet dead. Probes under way are dropped and suspicions begin anew.
    pub(crate) fn resume(&mut self, now: Millis, gap: Millis, out: &mut Out) {
        self.probes.open.clear();
        for suspicion in self.suspicions.values_mut() {
            *suspicion = Suspicion { until: now + SUSPICION, probes: 0 };
        }
        out.push(Action::Paused(gap));
    }

    pub(crate) fn probe_neighbour(&mut self, now: Millis, out: &mut Out) {
        if self.round.is_empty() {
            self.round = self.neighbours();
            self.round.shuffle(&mut self.rng);
        }
        while let Some(vm) = self.round.pop() {
            let live = self.records.get(&vm).filter(|r| r.member.state != State::Dead);
            if let Some(addr) = live.map(|r| r.member.addr) {
                let seq = self.probes.start(now, vm, false);
                return self.send(addr, Body::Ping { seq }, out);
            }
        }
    }

    /// Probes that were not answered: asks third VMs, then suspects.
    pub(crate) fn check_probes(&mut self, now: Millis, out: &mut Out) {
        let direct: Vec<(u64, Vm)> = self
            .probes
            .open
            .iter()
            .filter(|(_, p)| !p.indirect && now - p.sent >= DIRECT)
            .map(|(seq, p)| (*seq, p.target))
            .collect();
        for (seq, target) in direct {
            self.ask_helpers(seq, target, out);
        }
        let late: Vec<(u64, Vm, bool)> = self
            .probes
            .open
            .iter()
            .filter(|(_, p)| now - p.sent >= PERIOD)
            .map(|(seq, p)| (*seq, p.target, p.foreign))
            .collect();
        for (seq, target, foreign) in late {
            self.probes.open.remove(&seq);
            if !foreign {
                self.suspect(now, target, out);
            }
        }
        self.probes.forget_relayed(now, PERIOD + PERIOD);
    }

    pub(crate) fn ask_helpers(&mut self, seq: u64, target: Vm, out: &mut Out) {
        if let Some(probe) = self.probes.open.get_mut(&seq) {
            probe.indirect = true;
        }
        let Some(addr) = self.addr(target) else { return };
        let mut helpers = self.neighbours();
        helpers.retain(|vm| *vm != target);
        if helpers.is_empty() {
            // A domain of two VMs: those of other domains are the only third ones.
            helpers = self.foreign_domains().into_iter().flat_map(|d| self.relays(d)).collect();
        }
        helpers.shuffle(&mut self.rng);
        for helper in helpers.into_iter().take(HELPERS) {
            if let Some(via) = self.addr(helper) {
                self.send(via, Body::Indirect { seq, target: addr }, out);
            }
        }
    }

    pub(crate) fn suspect(&mut self, now: Millis, target: Vm, out: &mut Out) {
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
        self.learn(now, record, out);
    }

    /// Suspects whose time is up are probed a few last times, then declared dead.
    pub(crate) fn check_suspects(&mut self, now: Millis, out: &mut Out) {
        let up: Vec<Vm> =
            self.suspicions.iter().filter(|(_, s)| s.until <= now).map(|(vm, _)| *vm).collect();
        for vm in up {
            let Some(suspicion) = self.suspicions.get_mut(&vm) else { continue };
            suspicion.probes += 1;
            suspicion.until = now + LAST_PROBE_GAP;
            let last = suspicion.probes > LAST_PROBES;
            let Some(mut record) = self.records.get(&vm).cloned() else { continue };
            if last {
                self.stats.declared += 1;
                record.member.state = State::Dead;
                self.learn(now, record, out);
            } else {
                self.gossip.add(News::Record(record.clone()), 1);
                let seq = self.probes.next();
                self.send(record.member.addr, Body::Ping { seq }, out);
            }
        }
    }

    /// Tries a dead VM or a seed that is not known: after a partition nobody else would.
    pub(crate) fn retry(&mut self, out: &mut Out) {
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
        for addr in targets.into_iter().take(2) {
            self.gossip.add(News::Record(self.own_record()), 1);
            let seq = self.probes.next();
            // One that knows nobody may be known from its earlier life; it still needs all records.
            let body = if known.len() <= 1 { Body::Join { seq } } else { Body::Ping { seq } };
            self.send(addr, body, out);
        }
    }
}
