use crate::{
    group::{Group, Pool, Task, note},
    leaf::{Failure, Outcome},
    owner::{Action, What},
    trust::Rank,
};
use smallvec::SmallVec;
use tgw_clock::Millis;

/// An upstream is a suspect once a request on it has run this much longer than a late one.
const OVERDUE: f64 = 1.1;

impl Group {
    pub(crate) fn expire(&mut self, now: Millis, out: &mut Vec<Action>) {
        let expired: SmallVec<[u64; 8]> =
            self.tasks.iter().filter(|(_, t)| t.leaf.deadline <= now).map(|(n, _)| *n).collect();
        for number in expired {
            let runs = |t: &Task| t.leaf.once() && !t.runs.is_empty();
            let may_run = self.tasks.get(&number).is_some_and(runs);
            let outcome = if may_run { Outcome::Failed(Failure::Closed) } else { Outcome::Expired };
            self.answer(now, number, outcome, out);
        }
        // What waits behind a straggler that is a group of its own cannot be moved here. Its entry
        // can: nothing was sent, so asking another group costs no extra load.
        let due = |task: &&Task| task.leaf.give_back.is_some_and(|at| at <= now);
        let waits = |(_, number): &(Millis, u64)| self.tasks.get(number).filter(due).is_some();
        let given_back: SmallVec<[u64; 8]> =
            self.queue.iter().filter(|q| waits(q)).map(|q| q.1).collect();
        for number in given_back {
            self.answer(now, number, Outcome::Crowded, out);
        }
    }

    /// Counts requests that have become late, and stops trusting the upstreams that they run on.
    pub(crate) fn mark_late(&mut self, now: Millis, pool: &mut Pool<'_>, out: &mut Vec<Action>) {
        let late = pool.hedge.delay();
        let overdue = late.scale(OVERDUE);
        for upstream in &mut self.upstreams {
            let mut news = false;
            for run in upstream.runs.iter_mut().filter(|r| !r.late && now - r.started >= late) {
                run.late = true;
                news = true;
                pool.hedge.late();
            }
            if news {
                upstream.late(now);
            }
            if !self.options.suspect {
                continue;
            }
            let oldest = upstream.runs.iter().map(|r| now - r.started).max();
            let Some(age) = oldest.filter(|age| *age >= overdue) else { continue };
            if upstream.overdue(now, age) {
                note(None, upstream.id, What::Suspect, SmallVec::new(), out);
            }
        }
    }

    /// Sends requests that run late a second time, the longest running first.
    pub(crate) fn hedge_late(&mut self, now: Millis, pool: &mut Pool<'_>, out: &mut Vec<Action>) {
        let pressed = self.pressed();
        let mut due: SmallVec<[(Millis, u64); 8]> = SmallVec::new();
        for run in self.upstreams.iter().flat_map(|u| &u.runs) {
            let open = |t: &Task| !t.hedged && t.sent < self.options.attempts && !t.leaf.once();
            if run.late && !run.aborted && self.tasks.get(&run.task).is_some_and(open) {
                due.push((run.started, run.task));
            }
        }
        due.sort_unstable();
        for (_, number) in due {
            let Some(task) = self.tasks.get(&number) else { continue };
            let mut usable = self.usable(task);
            usable.retain(|i| {
                self.upstreams[*i].free(now, self.share, pressed)
                    && self.upstreams[*i].rank(now) == Rank::Trusted
            });
            let candidates = self.candidates(now, &usable);
            let Some(chosen) = self.policy.choose(now, &candidates) else { continue };
            if !pool.hedge.fire() {
                return;
            }
            self.send(now, number, usable[chosen], What::Hedge, pool, out);
        }
    }
}
