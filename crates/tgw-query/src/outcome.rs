use crate::{
    answer::MissingReason,
    context::Context,
    entry::Entry,
    event::{Action, AttemptReason, DecisionKind},
    running::{RunningQuery, ShardStatus},
    snapshot,
};
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Key, Outcome, SnapshotCounts};
use tgw_topology::{Group, Service, Vm};

/// Most times that the request for one shard is sent to another owner after a VM declined it.
const MAX_MOVES: usize = 4;
/// Remaining time, as a ratio of its whole time, that a query needs to restart on another snapshot.
const MIN_RESTART_TIME_RATIO: f64 = 0.3;
const MAX_RESTARTS: usize = 2;

/// What an owner reported besides a leaf request's outcome.
#[derive(Copy, Clone, Debug)]
pub(crate) struct OwnerReport {
    pub(crate) extra_sends: u8,
    pub(crate) queue_wait: Millis,
    pub(crate) load_ratio: f32,
}

impl Entry {
    pub(crate) fn handle_outcome(
        &mut self,
        cx: &mut Context<'_>,
        from: Vm,
        key: Key,
        outcome: Outcome,
        snapshot_counts: Option<SnapshotCounts>,
        report: OwnerReport,
    ) {
        let Some(mut running) = self.running.remove(&key.query) else {
            self.stats.late_outcomes += 1;
            return;
        };
        if let Some(index) = self.match_attempt(cx, &mut running, from, key, &outcome, report) {
            let attempt = running.shards[index].attempts.iter().find(|a| a.number == key.attempt);
            if let (Some(snapshot_counts), Some(attempt)) = (snapshot_counts, attempt) {
                self.tracker.record_snapshots(cx.now, attempt.group, snapshot_counts);
            }
            running.max_queue_wait = running.max_queue_wait.max(report.queue_wait);
            self.stats.extra_sends += u64::from(report.extra_sends);
            self.budgets(cx, running.service).owner_extra_sends.add(f64::from(report.extra_sends));
            self.apply_outcome(cx, &mut running, index, key, outcome);
        }
        self.store_or_finish(cx, running);
    }

    /// The index of the shard that an outcome belongs to; ends the attempt. `None` if the outcome
    /// is late, a duplicate or of no known attempt.
    pub(crate) fn match_attempt(
        &mut self,
        cx: &Context<'_>,
        running: &mut RunningQuery,
        from: Vm,
        key: Key,
        outcome: &Outcome,
        report: OwnerReport,
    ) -> Option<usize> {
        let index = usize::from(key.shard.0);
        let progress = running.shards.get_mut(index);
        let attempt =
            progress.and_then(|p| p.attempts.iter_mut().find(|a| a.number == key.attempt));
        // An outcome of an attempt on an abandoned snapshot, from a VM that was not sent the
        // attempt, or for another VM's query would put foreign items into this answer. Attempt
        // numbers are unique over restarts of the query, and the VM must be the one that was sent
        // the attempt.
        let Some(attempt) = attempt.filter(|a| a.to == from && key.from == self.options.vm) else {
            self.stats.unmatched_outcomes += 1;
            return None;
        };
        if !std::mem::replace(&mut attempt.in_flight, false) {
            self.stats.late_outcomes += 1;
            return None;
        }
        let has_items = matches!(outcome, Outcome::Items(_));
        let latency = has_items.then_some((cx.now - attempt.sent_at) - report.queue_wait);
        self.tracker.record_attempt_end(cx.now, attempt.group, from, attempt.sent_at);
        self.tracker.record_outcome(cx.now, attempt.group, latency, report.load_ratio);
        if !running.shards[index].is_open() {
            self.stats.late_outcomes += 1;
            return None;
        }
        Some(index)
    }

    /// Applies the outcome of one attempt.
    pub(crate) fn apply_outcome(
        &mut self,
        cx: &mut Context<'_>,
        running: &mut RunningQuery,
        index: usize,
        key: Key,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Items(items) => {
                running.close_shard(index, ShardStatus::Done(items));
                self.cancel_attempts(cx, running, index);
            }
            Outcome::Moved(named_owner) if running.shards[index].declined_by.len() < MAX_MOVES => {
                running.shards[index].record_declined(key.attempt, named_owner);
                if !self.request_shard(cx, running, index, AttemptReason::Moved) {
                    self.mark_missing(cx, running, index, MissingReason::Unreachable);
                }
            }
            Outcome::Gone => {
                if let Some(group) = attempted_group(running, index, key.attempt) {
                    self.tracker.record_missing_snapshot(cx.now, group, running.snapshot);
                }
                self.retry_or_give_up(cx, running, index, MissingReason::SnapshotGone);
            }
            Outcome::Crowded => {
                running.shards[index].mark_returned(key.attempt);
                if !self.request_shard(cx, running, index, AttemptReason::Crowded) {
                    self.mark_missing(cx, running, index, MissingReason::Unreachable);
                }
            }
            Outcome::Shed => self.retry_or_give_up(cx, running, index, MissingReason::Shed),
            Outcome::Failed(_) | Outcome::Moved(_) => {
                self.retry_or_give_up(cx, running, index, MissingReason::Failed);
            }
            Outcome::Expired => {
                self.retry_or_give_up(cx, running, index, MissingReason::Deadline);
            }
        }
    }

    /// Retries at another group, restarts the query, or leaves the shard out.
    pub(crate) fn retry_or_give_up(
        &mut self,
        cx: &mut Context<'_>,
        running: &mut RunningQuery,
        index: usize,
        reason: MissingReason,
    ) {
        running.shards[index].last_failure = Some(reason);
        let counts_against_group = matches!(reason, MissingReason::Failed | MissingReason::Shed);
        if let Some(attempt) =
            running.shards[index].attempts.last().filter(|_| counts_against_group)
        {
            self.tracker.record_failure(cx.now, attempt.group);
        }
        // An attempt at an unresponsive VM is no reason to wait, as its outcome may never arrive.
        if !self.awaits_only_unresponsive(running, index) {
            return;
        }
        let attempts = cx.row(running.service).map_or(1, |r| usize::from(r.attempts));
        let may_retry =
            running.shards[index].sent_attempts() < attempts && cx.now < running.deadline;
        let may_retry = may_retry && self.has_untried_group(cx, running, index);
        let may_retry = may_retry && self.spend_retry(cx, running.service, reason);
        if may_retry && self.request_shard(cx, running, index, AttemptReason::Retry) {
            return;
        }
        if reason == MissingReason::SnapshotGone && self.restart(cx, running) {
            return;
        }
        self.mark_missing(cx, running, index, reason);
    }

    pub(crate) fn spend_retry(
        &mut self,
        cx: &Context<'_>,
        service: Service,
        reason: MissingReason,
    ) -> bool {
        // A request that was rejected cost the upstream nothing; only work that may have been done
        // is charged to the budget.
        matches!(reason, MissingReason::Shed | MissingReason::SnapshotGone)
            || self.budgets(cx, service).retry.try_spend()
    }

    pub(crate) fn has_untried_group(
        &self,
        cx: &Context<'_>,
        running: &RunningQuery,
        index: usize,
    ) -> bool {
        let progress = &running.shards[index];
        cx.view
            .catalog
            .replicas(running.service, running.snapshot.layout, progress.shard)
            .iter()
            .filter_map(|u| cx.view.catalog.upstreams.get(u))
            .any(|n| {
                !progress.was_sent_to(n.group()) && self.tracker.holds(n.group(), running.snapshot)
            })
    }

    /// Restarts on another snapshot; false if there is none or too little time is left.
    pub(crate) fn restart(&mut self, cx: &mut Context<'_>, running: &mut RunningQuery) -> bool {
        let total_time = running.deadline - running.submitted_at;
        let remaining_time = running.deadline - cx.now;
        if running.abandoned_snapshots.len() >= MAX_RESTARTS
            || remaining_time < total_time.mul_f64(MIN_RESTART_TIME_RATIO)
        {
            return false;
        }
        let from = running.snapshot;
        let mut except = running.abandoned_snapshots.clone();
        except.push(from);
        let choice = cx.row(running.service).map(|r| r.snapshot);
        let candidate = choice.and_then(|choice| {
            snapshot::choose(
                (cx.view.catalog, cx.view.index),
                &mut self.tracker,
                running.service,
                choice,
                &except,
            )
        });
        let covered =
            running.shards.iter().filter(|p| !matches!(p.status, ShardStatus::Missing(_))).count();
        // Restarting from a snapshot that still covers more would reduce coverage.
        let Some(candidate) =
            candidate.filter(|c| c.servable * running.shards.len() >= covered * c.shards)
        else {
            return false;
        };
        for index in 0..running.shards.len() {
            self.cancel_attempts(cx, running, index);
        }
        running.abandoned_snapshots = except;
        running.reset_shards(candidate.snapshot, candidate.shards);
        self.stats.restarts += 1;
        cx.log_decision(running, DecisionKind::Restart { from, to: candidate.snapshot });
        self.request_all_shards(cx, running);
        true
    }

    /// Cancels the attempts in flight at one shard.
    pub(crate) fn cancel_attempts(
        &mut self,
        cx: &mut Context<'_>,
        running: &mut RunningQuery,
        index: usize,
    ) {
        let (from, query) = (self.options.vm, running.query);
        let progress = &mut running.shards[index];
        let shard = progress.shard;
        for attempt in progress.attempts.iter_mut().filter(|a| a.in_flight) {
            attempt.in_flight = false;
            self.tracker.record_attempt_end(cx.now, attempt.group, attempt.to, attempt.sent_at);
            let key = Key { from, query, shard, attempt: attempt.number };
            cx.out.push(Action::Cancel { to: attempt.to, key });
        }
    }

    pub(crate) fn mark_missing(
        &mut self,
        cx: &mut Context<'_>,
        running: &mut RunningQuery,
        index: usize,
        reason: MissingReason,
    ) {
        let Some(progress) = running.shards.get(index).filter(|p| p.is_open()) else { return };
        cx.log_decision(running, DecisionKind::Miss { shard: progress.shard, reason });
        running.close_shard(index, ShardStatus::Missing(reason));
        self.cancel_attempts(cx, running, index);
    }
}

fn attempted_group(running: &RunningQuery, index: usize, attempt: u8) -> Option<Group> {
    running.shards[index].attempts.iter().find(|a| a.number == attempt).map(|a| a.group)
}
