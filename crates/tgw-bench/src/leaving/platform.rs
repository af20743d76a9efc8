use super::{
    Subject, Trouble, What, Whom,
    acting::NEAR,
    vm::Call,
    world::{Due, LEAVING, World, entry, name},
};
use rand::{Rng, seq::SliceRandom};
use tgw_clock::Millis;
use tgw_forward::upstream::Entry;
use tgw_spread::store_reads::Step;

/// An answer of the store, and one of a slow store.
pub(super) const STORE: Millis = Millis::new(12);
const STORE_SLOW: Millis = Millis::new(212);
/// Time after which a connection that went silent counts as dead, as in the adapter.
const PROBED: Millis = Millis::new(3_000);
/// Upstreams whose entries are written again and again, and the time between two writings.
const FRESH: usize = 6;
const NEWS_MS: (u64, u64) = (150, 650);
/// Time within which entries that lapsed are written again after the store's return.
const BACK: Millis = Millis::new(1_900);
/// How much longer than the bound of a leaving the platform waits before it counts a VM as reachable.
const RETURN: Millis = Millis::new(1_000);

/// The store, and what happens at it.
impl World {
    pub(super) fn write(&mut self, entry: Entry) {
        self.store.write(entry);
        self.publish();
    }

    /// Answers the watches that wait for what has changed.
    pub(super) fn publish(&mut self) {
        let (ready, waiting) = self.waiting.drain(..).partition(|w| w.2 < self.store.revision);
        self.waiting = waiting;
        let ready: Vec<(usize, u64, u64, Millis)> = ready;
        for (vm, call, from, _) in ready {
            let (version, changes) = (self.store.revision, self.store.since(from));
            self.at(self.now + self.answer(), Due::Watched(vm, call, version, changes));
        }
    }

    pub(super) fn answer(&self) -> Millis {
        let slow = self.struck.keys().any(|t| self.setup.troubles[*t].what == What::Slow);
        if slow { STORE_SLOW } else { STORE }
    }

    /// How the store treats a VM now, if not as it should.
    pub(super) fn treats(&self, vm: usize) -> Option<What> {
        let troubles = self.struck.iter().filter(|(_, vms)| vms.contains(&vm));
        let mut what = troubles.map(|(number, _)| self.setup.troubles[*number].what);
        what.find(|w| matches!(w, What::Refused | What::Silent | What::Away))
    }

    pub(super) fn begin(&mut self, number: usize) {
        let Trouble { what, whom, until, .. } = self.setup.troubles[number];
        let mut vms: Vec<usize> = (0..self.vms.len()).collect();
        vms.shuffle(&mut self.rng);
        if whom != Whom::Part(1.0) {
            let follows = |vm: &usize| self.vms[*vm].relay == Some(true) && !self.vms[*vm].dead;
            match whom {
                Whom::Followers => vms.retain(follows),
                Whom::Follower => vms = vms.into_iter().filter(follows).take(1).collect(),
                Whom::Part(part) => vms.truncate((part * vms.len() as f64).ceil() as usize),
            }
        }
        for vm in &vms {
            let seat = &mut self.vms[*vm];
            match what {
                What::Frozen => seat.frozen_until = until,
                What::Killed => seat.dead = true,
                _ => {}
            }
            if matches!(what, What::Frozen | What::Killed | What::CutOff | What::Hung) {
                seat.judged_from = until + RETURN;
            }
            self.cut_watch(*vm, what);
        }
        self.struck.insert(number, vms);
        if what == What::Away {
            for upstream in 0..self.setup.upstreams {
                self.store.remove(&name(upstream));
            }
        }
    }

    /// What becomes of a watch that waits when a trouble begins.
    pub(super) fn cut_watch(&mut self, vm: usize, what: What) {
        if !matches!(what, What::Refused | What::Silent | What::Hung | What::Away) {
            return;
        }
        self.waiting.retain(|w| w.0 != vm);
        let Some(call) = self.vms[vm].call else { return };
        let after = match what {
            What::Refused => NEAR,
            // Probes of the connection find nobody there.
            What::Hung => PROBED,
            _ => return,
        };
        self.at(self.now + after, Due::Failed(vm, call.number));
    }

    pub(super) fn end(&mut self, number: usize) {
        self.struck.remove(&number);
        if self.setup.troubles[number].what == What::Away {
            for upstream in 0..self.setup.upstreams {
                let after = BACK.scale(self.rng.random_range(0.0..1.0));
                self.at(self.now + after, Due::Write(name(upstream)));
            }
        }
    }

    /// Half of those that leave say so, the entries of the others are removed; of domains, half are evacuated and half
    /// are taken back.
    pub(super) fn leave(&mut self, number: usize) {
        self.left_at[number] = Some(self.now);
        if number.is_multiple_of(2) {
            let draining = self.setup.subject == Subject::Upstreams;
            return self.write(entry(name(number), draining, Millis::ZERO));
        }
        self.store.remove(&name(number));
        self.publish();
    }

    pub(super) fn churn(&mut self) {
        let gap = Millis::new(self.rng.random_range(NEWS_MS.0..NEWS_MS.1));
        self.at(self.now + gap, Due::Churn);
        let away = self.struck.keys().any(|t| self.setup.troubles[*t].what == What::Away);
        if self.setup.news && !away {
            let id = name(LEAVING + self.rng.random_range(0..FRESH));
            let warmup = Millis::new(self.rng.random_range(1..5_000));
            self.write(entry(id, false, warmup));
        }
    }

    /// A call reaches the store.
    pub(super) fn arrive(&mut self, vm: usize, call: u64) {
        let Some(Call { step, .. }) = self.vms[vm].call.filter(|c| c.number == call) else {
            return;
        };
        self.calls += 1;
        match self.treats(vm) {
            Some(What::Refused) => return self.at(self.now + STORE, Due::Failed(vm, call)),
            Some(_) => return,
            None => {}
        }
        let reply = self.now + self.answer();
        match step {
            Step::List => {
                let (version, list) = (self.store.revision, self.store.list());
                self.at(reply, Due::Listed(vm, call, version, list));
            }
            Step::Watch { from, .. } if from < self.store.revision => {
                let (version, changes) = (self.store.revision, self.store.since(from));
                self.at(reply, Due::Watched(vm, call, version, changes));
            }
            Step::Watch { from, wait } => self.waiting.push((vm, call, from, self.now + wait)),
            Step::Idle(_) | Step::Backoff(_) => {}
        }
    }
}
