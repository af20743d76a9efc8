use crate::{
    group::{Group, ServiceContext, Task, log_decision},
    health::Rank,
    leaf::{Failure, Outcome},
    owner::{Action, DecisionKind},
};
use smallvec::SmallVec;
use tgw_clock::Millis;

/// An upstream is suspected once a request has been in flight for this multiple of the hedge delay.
const OVERDUE_FACTOR: f64 = 1.1;

impl Group {
    pub(crate) fn expire_tasks(&mut self, now: Millis, out: &mut Vec<Action>) {
        let expired: SmallVec<[u64; 8]> =
            self.tasks.iter().filter(|(_, t)| t.leaf.deadline <= now).map(|(n, _)| *n).collect();
        for task_id in expired {
            let may_have_run = |t: &Task| t.leaf.is_order() && !t.in_flight.is_empty();
            let order_may_have_run = self.tasks.get(&task_id).is_some_and(may_have_run);
            let outcome = if order_may_have_run {
                Outcome::Failed(Failure::Closed)
            } else {
                Outcome::Expired
            };
            self.answer(now, task_id, outcome, out);
        }
        // If the group consists of a single straggler, the owner has no other upstream for the
        // queued requests. The entry VM can send them to another group: as they were never sent to
        // an upstream, that adds no load.
        let due = |task: &&Task| task.leaf.queue_deadline.is_some_and(|at| at <= now);
        let is_due = |(_, task_id): &(Millis, u64)| self.tasks.get(task_id).filter(due).is_some();
        let returned: SmallVec<[u64; 8]> =
            self.queue.iter().filter(|q| is_due(q)).map(|q| q.1).collect();
        for task_id in returned {
            self.answer(now, task_id, Outcome::Crowded, out);
        }
    }

    /// Counts requests that have become late, and suspects the upstreams of overdue ones.
    pub(crate) fn mark_late(
        &mut self,
        now: Millis,
        service: &mut ServiceContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let late_after = service.hedge.delay();
        let overdue_after = late_after.mul_f64(OVERDUE_FACTOR);
        for upstream in &mut self.upstreams {
            let mut newly_late = false;
            for send in upstream
                .in_flight
                .iter_mut()
                .filter(|r| !r.counted_late && now - r.sent_at >= late_after)
            {
                send.counted_late = true;
                newly_late = true;
                service.hedge.record_late();
            }
            if newly_late {
                upstream.record_late(now);
            }
            if !self.options.suspect_overdue {
                continue;
            }
            let oldest = upstream.in_flight.iter().map(|r| now - r.sent_at).max();
            let Some(age) = oldest.filter(|age| *age >= overdue_after) else { continue };
            if upstream.record_overdue(now, age) {
                log_decision(None, upstream.id, DecisionKind::Suspect, SmallVec::new(), out);
            }
        }
    }

    /// Hedges late requests within the budget, the oldest first.
    pub(crate) fn hedge_late(
        &mut self,
        now: Millis,
        service: &mut ServiceContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let overloaded = self.is_overloaded();
        let mut due: SmallVec<[(Millis, u64); 8]> = SmallVec::new();
        for send in self.upstreams.iter().flat_map(|u| &u.in_flight) {
            let may_hedge =
                |t: &Task| !t.hedged && t.sends < self.options.max_attempts && !t.leaf.is_order();
            if send.counted_late
                && !send.cancelled
                && self.tasks.get(&send.task).is_some_and(may_hedge)
            {
                due.push((send.sent_at, send.task));
            }
        }
        due.sort_unstable();
        for (_, task_id) in due {
            let Some(task) = self.tasks.get(&task_id) else { continue };
            let mut usable = self.usable(task);
            usable.retain(|i| {
                self.upstreams[*i].has_free_slot(now, self.slot_share, overloaded)
                    && self.upstreams[*i].rank(now) == Rank::Trusted
            });
            let candidates = self.candidates(now, &usable);
            let Some(chosen) = self.policy.choose(now, &candidates) else { continue };
            if !service.hedge.try_spend() {
                return;
            }
            self.send(now, task_id, usable[chosen], DecisionKind::Hedge, service, out);
        }
    }
}
