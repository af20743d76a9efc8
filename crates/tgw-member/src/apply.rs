use crate::{
    Member, Record,
    member::{Actions, PUSH_FANOUT, SUSPICION_TIMEOUT_MS, Suspicion},
    packet::{Body, Update},
    relay::Rollout,
};
use rand::seq::SliceRandom;
use tgw_clock::Millis;
use tgw_owner::State;

/// Application of updates received from other VMs, about others and about this VM.
impl Member {
    pub(crate) fn apply_update(&mut self, now: Millis, update: Update, out: &mut Actions) {
        match update {
            Update::Record(record) => self.apply_record(now, record, out),
            Update::Reachability { seen_from, domain, unreachable, stamp } => {
                let own_domain = self.own_domain();
                if seen_from == own_domain
                    && domain != own_domain
                    && self.relay.apply_reachability(domain, unreachable, stamp)
                {
                    self.changed = true;
                    self.disseminate(
                        Update::Reachability { seen_from, domain, unreachable, stamp },
                        out,
                    );
                }
            }
            Update::Rollout { domain, lowest_edition, behind, example, stamp } => {
                let rollout = Rollout { lowest_edition, behind, example, stamp };
                let own = domain == self.own_domain() && self.is_first_relay();
                if !own && self.relay.apply_rollout(domain, rollout) {
                    let transmissions = self.transmissions();
                    self.gossip.enqueue(
                        Update::Rollout { domain, lowest_edition, behind, example, stamp },
                        transmissions,
                    );
                }
            }
        }
    }

    /// Applies a received record if it supersedes the known one.
    pub(crate) fn apply_record(&mut self, now: Millis, record: Record, out: &mut Actions) {
        if record.vm == self.options.vm {
            return self.refute(&record, out);
        }
        let known = self.records.get(&record.vm);
        if known.is_some_and(|known| !record.supersedes(known)) {
            return;
        }
        if record.member.state == State::Suspect {
            // The suspect must receive the suspicion, or it cannot refute it.
            self.gossip.enqueue(Update::Record(record.clone()), 1);
            self.send(record.member.addr, Body::Push, out);
        }
        self.store_record(now, &record);
        self.disseminate(Update::Record(record), out);
    }

    /// Stores a record of another VM and starts or ends its suspicion.
    pub(crate) fn store_record(&mut self, now: Millis, record: &Record) {
        match record.member.state {
            State::Suspect => {
                let deadline = now + SUSPICION_TIMEOUT_MS;
                self.suspicions.insert(record.vm, Suspicion { deadline, final_probes: 0 });
            }
            State::Dead => {
                self.suspicions.remove(&record.vm);
                self.departed_since.insert(record.vm, now);
            }
            State::Leaving => {
                self.suspicions.remove(&record.vm);
                self.departed_since.insert(record.vm, now);
            }
            State::Alive => {
                self.suspicions.remove(&record.vm);
                self.departed_since.remove(&record.vm);
            }
        }
        self.records.insert(record.vm, record.clone());
        self.changed = true;
    }

    /// Refutes a record of this VM that another VM holds and that is wrong.
    fn refute(&mut self, record: &Record, out: &mut Actions) {
        let own = self.own_record();
        if !record.supersedes(&own) {
            // The suspicion was refuted before, but the refutation was lost on its way to a VM that
            // still disseminates the suspicion. Unless the refutation is sent again, that VM removes
            // this one when the suspicion times out.
            if !matches!(record.member.state, State::Alive | State::Leaving) {
                let transmissions = self.transmissions();
                self.gossip.enqueue(Update::Record(own), transmissions);
            }
            return;
        }
        self.incarnation = record.member.incarnation + 1;
        self.stats.refuted += 1;
        let own = self.own_record();
        self.records.insert(own.vm, own.clone());
        self.changed = true;
        self.disseminate(Update::Record(own), out);
    }

    /// Queues an update and pushes it at once to a few VMs of the domain.
    pub(crate) fn disseminate(&mut self, update: Update, out: &mut Actions) {
        let transmissions = self.transmissions();
        self.gossip.enqueue(update, transmissions);
        self.push(PUSH_FANOUT, out);
    }

    pub(crate) fn push(&mut self, count: usize, out: &mut Actions) {
        let mut neighbours = self.neighbours();
        neighbours.shuffle(&mut self.rng);
        for vm in neighbours.into_iter().take(count) {
            if let Some(addr) = self.addr(vm) {
                self.send(addr, Body::Push, out);
            }
        }
    }
}
