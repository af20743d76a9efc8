use crate::{
    Member, Record,
    member::{Out, PUSH, SUSPICION, Suspicion},
    packet::{Body, News},
    relay::Force,
};
use rand::seq::SliceRandom;
use tgw_clock::Millis;
use tgw_owner::State;

/// What a VM makes of what others say, of others and of itself.
impl Member {
    pub(crate) fn news(&mut self, now: Millis, item: News, out: &mut Out) {
        match item {
            News::Record(record) => self.learn(now, record, out),
            News::Reach { seen_from, domain, cut, stamp } => {
                let here = self.here();
                if seen_from == here && domain != here && self.relay.told_reach(domain, cut, stamp)
                {
                    self.changed = true;
                    self.spread(News::Reach { seen_from, domain, cut, stamp }, out);
                }
            }
            News::Force { domain, edit, behind, example, stamp } => {
                let force = Force { edit, behind, example, stamp };
                let own = domain == self.here() && self.sums_up();
                if !own && self.relay.told_force(domain, force) {
                    let times = self.times();
                    self.gossip.add(News::Force { domain, edit, behind, example, stamp }, times);
                }
            }
        }
    }

    /// Takes in a word about a VM, if it counts more than what is known.
    pub(crate) fn learn(&mut self, now: Millis, record: Record, out: &mut Out) {
        if record.vm == self.options.vm {
            return self.refute(&record, out);
        }
        let known = self.records.get(&record.vm);
        if known.is_some_and(|known| !record.supersedes(known)) {
            return;
        }
        if record.member.state == State::Suspect {
            // The suspect itself must hear of it, or it cannot refute.
            self.gossip.add(News::Record(record.clone()), 1);
            self.send(record.member.addr, Body::Push, out);
        }
        self.take(now, &record);
        self.spread(News::Record(record), out);
    }

    /// Puts a word about another VM in force here.
    pub(crate) fn take(&mut self, now: Millis, record: &Record) {
        match record.member.state {
            State::Suspect => {
                let until = now + SUSPICION;
                self.suspicions.insert(record.vm, Suspicion { until, probes: 0 });
            }
            State::Dead => {
                self.suspicions.remove(&record.vm);
                self.dead_since.insert(record.vm, now);
            }
            State::Leaving => {
                self.suspicions.remove(&record.vm);
                self.dead_since.insert(record.vm, now);
            }
            State::Alive => {
                self.suspicions.remove(&record.vm);
                self.dead_since.remove(&record.vm);
            }
        }
        self.records.insert(record.vm, record.clone());
        self.changed = true;
    }

    /// Others say something of this VM that is not so.
    fn refute(&mut self, record: &Record, out: &mut Out) {
        let own = self.own_record();
        if !record.supersedes(&own) {
            // The word was refuted before, and the refutation was lost on its way to whoever still
            // spreads it. Unless told again, that VM removes this one when its patience ends.
            if !matches!(record.member.state, State::Alive | State::Leaving) {
                let times = self.times();
                self.gossip.add(News::Record(own), times);
            }
            return;
        }
        self.incarnation = record.member.incarnation + 1;
        self.stats.refuted += 1;
        let own = self.own_record();
        self.records.insert(own.vm, own.clone());
        self.changed = true;
        self.spread(News::Record(own), out);
    }

    /// Queues news and pushes it to a few VMs of the domain at once.
    pub(crate) fn spread(&mut self, news: News, out: &mut Out) {
        let times = self.times();
        self.gossip.add(news, times);
        self.push(PUSH, out);
    }

    pub(crate) fn push(&mut self, count: usize, out: &mut Out) {
        let mut near = self.neighbours();
        near.shuffle(&mut self.rng);
        for vm in near.into_iter().take(count) {
            if let Some(addr) = self.addr(vm) {
                self.send(addr, Body::Push, out);
            }
        }
    }
}
