use crate::{
    group::{Group, ServiceContext, Task, log_decision},
    health::InFlight,
    leaf::{Failure, HeldSnapshots, Key, Outcome, Reply},
    owner::{Action, DecisionKind, SendId},
};
use smallvec::SmallVec;
use tgw_clock::Millis;
use tgw_topology::Snapshot;

impl Group {
    pub(crate) fn finish_send(
        &mut self,
        now: Millis,
        send_id: SendId,
        result: Result<Reply, Failure>,
        snapshots: Option<HeldSnapshots>,
        service: &mut ServiceContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some((index, send)) = self.take_in_flight(send_id) else { return };
        if let Some(snapshots) = snapshots {
            self.upstreams[index].set_snapshots(snapshots);
        }
        let requested = self.tasks.get(&send.task).map(|t| (t.leaf.snapshot, t.leaf.key));
        self.update_health(now, service.hedge.delay(), (index, &send), &result, requested, out);
        if !send.cancelled {
            self.apply_result(now, index, &send, result, out);
        }
        self.fill_slots(now, service, out);
    }

    fn take_in_flight(&mut self, send_id: SendId) -> Option<(usize, InFlight)> {
        self.upstreams.iter_mut().enumerate().find_map(|(index, upstream)| {
            let at = upstream.in_flight.iter().position(|r| r.send_id == send_id)?;
            Some((index, upstream.in_flight.remove(at)))
        })
    }

    /// Updates the health of the upstream after a send has ended.
    fn update_health(
        &mut self,
        now: Millis,
        late_after: Millis,
        (index, send): (usize, &InFlight),
        result: &Result<Reply, Failure>,
        requested: Option<(Snapshot, Key)>,
        out: &mut Vec<Action>,
    ) {
        let upstream = &mut self.upstreams[index];
        let age = now - send.sent_at;
        match result {
            // The time to a cancellation is no measure of latency: rank and latency stay as they
            // are.
            Ok(Reply::Cancelled) => {}
            Ok(Reply::Items { .. }) if !send.cancelled => upstream.record_success(age, late_after),
            Ok(Reply::Items { .. } | Reply::Ran(_) | Reply::Expired) => {}
            Ok(Reply::Gone) => {
                if let Some((snapshot, _)) = requested {
                    upstream.remove_snapshot(snapshot);
                }
            }
            Ok(Reply::Shed) => upstream.record_shed(),
            Ok(Reply::Draining) => {
                if upstream.mark_leaving() {
                    let id = upstream.id;
                    log_decision(None, id, DecisionKind::Leaving, SmallVec::new(), out);
                }
            }
            Err(_) => {
                if upstream.record_failure(now) {
                    log_decision(
                        requested.map(|r| r.1),
                        upstream.id,
                        DecisionKind::Eject,
                        SmallVec::new(),
                        out,
                    );
                }
            }
        }
    }

    /// Answers the request after one of its sends has ended, or retries it.
    fn apply_result(
        &mut self,
        now: Millis,
        index: usize,
        send: &InFlight,
        result: Result<Reply, Failure>,
        out: &mut Vec<Action>,
    ) {
        let Some(task) = self.tasks.get_mut(&send.task) else { return };
        task.in_flight.retain(|(send_id, _)| *send_id != send.send_id);
        let outcome = match result {
            // A reply for another snapshot or shard than requested would put foreign items into the
            // answer, so the attempt fails. It is not treated as a missing snapshot, as that would
            // make the entry VM exclude the whole group.
            Ok(Reply::Items { snapshot, shard, items }) => {
                if (snapshot, shard) == (task.leaf.snapshot, task.leaf.key.shard) {
                    self.answer(now, send.task, Outcome::Items(items), out);
                    return;
                }
                Outcome::Failed(Failure::Malformed)
            }
            Ok(Reply::Ran(result)) => {
                self.answer(now, send.task, Outcome::Items(result), out);
                return;
            }
            // An order that was sent may have been run, whatever failed afterwards. It is sent
            // again only if no connection was made or the upstream replied that it did not run it.
            Err(failure) if task.leaf.is_order() && failure != Failure::Connect => {
                self.answer(now, send.task, Outcome::Failed(failure), out);
                return;
            }
            Ok(Reply::Gone) => Outcome::Gone,
            Ok(Reply::Shed | Reply::Draining) => Outcome::Shed,
            Ok(Reply::Expired) => Outcome::Expired,
            Ok(Reply::Cancelled) => Outcome::Failed(Failure::Closed),
            Err(failure) => Outcome::Failed(failure),
        };
        task.eligible.retain(|i| *i != index);
        task.last_failure = Some(outcome);
        if task.in_flight.is_empty() {
            self.retry_or_give_up(now, send.task, out);
        }
    }

    pub(crate) fn retry_or_give_up(&mut self, now: Millis, task_id: u64, out: &mut Vec<Action>) {
        let Some(task) = self.tasks.get_mut(&task_id) else { return };
        let may_send = task.sends < self.options.max_attempts && !task.eligible.is_empty();
        // A request that was shed, or whose snapshot was missing, cost the upstream nothing, so
        // only retries of work that may have been done are charged to the budget.
        let is_free = matches!(task.last_failure, Some(Outcome::Shed | Outcome::Gone));
        if may_send && now < task.leaf.deadline && (is_free || self.retry_budget.try_spend()) {
            self.queue.insert((task.leaf.deadline, task_id));
            self.fail_if_unservable(now, task_id, out);
        } else {
            self.answer_last_failure(now, task_id, out);
        }
    }

    pub(crate) fn answer_last_failure(&mut self, now: Millis, task_id: u64, out: &mut Vec<Action>) {
        let last_failure = self.tasks.get_mut(&task_id).and_then(|t| t.last_failure.take());
        let outcome = last_failure.unwrap_or(Outcome::Failed(Failure::NoUpstream));
        self.answer(now, task_id, outcome, out);
    }

    pub(crate) fn answer(
        &mut self,
        now: Millis,
        task_id: u64,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(task) = self.remove(task_id, out) else { return };
        out.push(Action::Answer {
            key: task.leaf.key,
            outcome,
            snapshot_counts: self.snapshot_counts(),
            extra_sends: task.sends.saturating_sub(1),
            queue_wait: task.queue_wait.unwrap_or_default(),
            load_ratio: self.load_ratio(now),
        });
    }

    /// Removes a request and cancels its sends in flight; those of an order continue.
    pub(crate) fn remove(&mut self, task_id: u64, out: &mut Vec<Action>) -> Option<Task> {
        let task = self.tasks.remove(&task_id)?;
        self.keys.remove(&task.leaf.key);
        self.queue.remove(&(task.leaf.deadline, task_id));
        for (send_id, index) in &task.in_flight {
            let upstream = &mut self.upstreams[*index];
            if let Some(send) = upstream.in_flight.iter_mut().find(|r| r.send_id == *send_id) {
                send.cancelled = true;
                if !task.leaf.is_order() {
                    out.push(Action::Cancel { send_id: *send_id, upstream: upstream.id });
                }
            }
        }
        Some(task)
    }
}
