use crate::{
    answer::Reason,
    context::Cx,
    entry::Entry,
    running::{Running, State},
    snapshot,
    step::{Action, What, Why},
};
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Key, Outcome, Stock};
use tgw_topology::{Group, Service, Vm};

/// Times that one shard's request may be sent on to another owner.
const MOVES: usize = 4;
/// The part of its time that a query must still have to begin again on another snapshot.
const RESTART_SHARE: f64 = 0.3;
const RESTARTS: usize = 2;

/// What a leaf request cost at the owner.
#[derive(Copy, Clone, Debug)]
pub(crate) struct Cost {
    pub(crate) extra: u8,
    pub(crate) waited: Millis,
    pub(crate) pressure: f32,
}

impl Entry {
    pub(crate) fn outcome(
        &mut self,
        cx: &mut Cx<'_>,
        from: Vm,
        key: Key,
        outcome: Outcome,
        stock: Option<Stock>,
        cost: Cost,
    ) {
        let Some(mut running) = self.running.remove(&key.query) else {
            self.stats.late += 1;
            return;
        };
        if let Some(index) = self.matching(cx, &mut running, from, key, &outcome, cost) {
            let group = running.parts[index].attempts.iter().find(|a| a.number == key.attempt);
            if let (Some(stock), Some(attempt)) = (stock, group) {
                self.paths.set_stock(cx.now, attempt.group, stock);
            }
            running.waited = running.waited.max(cost.waited);
            self.stats.extra_owner += u64::from(cost.extra);
            self.tail(cx, running.service).extra.add(f64::from(cost.extra));
            self.take(cx, &mut running, index, key, outcome);
        }
        self.settle(cx, running);
    }

    /// The part that an outcome belongs to. Closes the attempt; `None` for one that is late,
    /// doubled or crossed.
    pub(crate) fn matching(
        &mut self,
        cx: &Cx<'_>,
        running: &mut Running,
        from: Vm,
        key: Key,
        outcome: &Outcome,
        cost: Cost,
    ) -> Option<usize> {
        let index = usize::from(key.shard.0);
        let part = running.parts.get_mut(index);
        let attempt = part.and_then(|p| p.attempts.iter_mut().find(|a| a.number == key.attempt));
        // A reply to an attempt on a snapshot that was given up, from a VM that was not asked, or
        // for another VM's query would put foreign items into this answer. Attempt numbers are
        // unique over restarts of the query, and the VM that answers must be the one asked.
        let Some(attempt) = attempt.filter(|a| a.to == from && key.from == self.options.vm) else {
            self.stats.crossed += 1;
            return None;
        };
        if !std::mem::replace(&mut attempt.open, false) {
            self.stats.late += 1;
            return None;
        }
        let useful = matches!(outcome, Outcome::Items(_));
        let way = useful.then_some((cx.now - attempt.sent) - cost.waited);
        self.paths.ended(cx.now, attempt.group, from, attempt.sent);
        self.paths.learned(cx.now, attempt.group, way, cost.pressure);
        if !running.parts[index].open() {
            self.stats.late += 1;
            return None;
        }
        Some(index)
    }

    /// Uses the outcome of one attempt.
    pub(crate) fn take(
        &mut self,
        cx: &mut Cx<'_>,
        running: &mut Running,
        index: usize,
        key: Key,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Items(items) => {
                running.close(index, State::Done(items));
                self.cancel_part(cx, running, index);
            }
            Outcome::Moved(named) if running.parts[index].turned_away.len() < MOVES => {
                running.parts[index].turn_away(key.attempt, named);
                if !self.ask(cx, running, index, Why::Moved) {
                    self.miss(cx, running, index, Reason::Unreachable);
                }
            }
            Outcome::Gone => {
                if let Some(group) = group_of(running, index, key.attempt) {
                    self.paths.set_lost(cx.now, group, running.snapshot);
                }
                self.after_failure(cx, running, index, Reason::SnapshotGone);
            }
            Outcome::Crowded => {
                running.parts[index].unsent(key.attempt);
                if !self.ask(cx, running, index, Why::Crowded) {
                    self.miss(cx, running, index, Reason::Unreachable);
                }
            }
            Outcome::Shed => self.after_failure(cx, running, index, Reason::Shed),
            Outcome::Failed(_) | Outcome::Moved(_) => {
                self.after_failure(cx, running, index, Reason::Failed);
            }
            Outcome::Expired => {
                self.after_failure(cx, running, index, Reason::Deadline);
            }
        }
    }

    /// Tries another group, restarts the query, or gives the shard up.
    pub(crate) fn after_failure(
        &mut self,
        cx: &mut Cx<'_>,
        running: &mut Running,
        index: usize,
        reason: Reason,
    ) {
        running.parts[index].last = Some(reason);
        let useless = matches!(reason, Reason::Failed | Reason::Shed);
        if let Some(attempt) = running.parts[index].attempts.last().filter(|_| useless) {
            self.paths.failed(cx.now, attempt.group);
        }
        // An attempt that a silent VM owes is no reason to wait: it may never come.
        if !self.owed_by_silent(running, index) {
            return;
        }
        let attempts = cx.row(running.service).map_or(1, |r| usize::from(r.attempts));
        let may = running.parts[index].sent() < attempts && cx.now < running.deadline;
        let may = may && self.has_untried(cx, running, index);
        let may = may && self.may_retry(cx, running.service, reason);
        if may && self.ask(cx, running, index, Why::Retry) {
            return;
        }
        if reason == Reason::SnapshotGone && self.restart(cx, running) {
            return;
        }
        self.miss(cx, running, index, reason);
    }

    pub(crate) fn may_retry(&mut self, cx: &Cx<'_>, service: Service, reason: Reason) -> bool {
        // Refused work cost the upstream nothing; only work that may have been done is charged.
        matches!(reason, Reason::Shed | Reason::SnapshotGone)
            || self.tail(cx, service).retry.spend()
    }

    pub(crate) fn has_untried(&self, cx: &Cx<'_>, running: &Running, index: usize) -> bool {
        let part = &running.parts[index];
        cx.view
            .catalog
            .replicas(running.service, running.snapshot.layout, part.shard)
            .iter()
            .filter_map(|u| cx.view.catalog.upstreams.get(u))
            .any(|n| !part.sent_to(n.group()) && self.paths.holds(n.group(), running.snapshot))
    }

    /// Begins again on another snapshot; false if there is none or too little time.
    pub(crate) fn restart(&mut self, cx: &mut Cx<'_>, running: &mut Running) -> bool {
        let span = running.deadline - running.began;
        let left = running.deadline - cx.now;
        if running.given_up.len() >= RESTARTS || left < span.scale(RESTART_SHARE) {
            return false;
        }
        let from = running.snapshot;
        let mut except = running.given_up.clone();
        except.push(from);
        let choice = cx.row(running.service).map(|r| r.snapshot);
        let offer = choice.and_then(|choice| {
            snapshot::choose(
                (cx.view.catalog, cx.view.index),
                &mut self.paths,
                running.service,
                choice,
                &except,
            )
        });
        let covered =
            running.parts.iter().filter(|p| !matches!(p.state, State::Missing(_))).count();
        // Giving up a snapshot that still covers more would lose coverage by the restart.
        let Some(offer) = offer.filter(|o| o.servable * running.parts.len() >= covered * o.shards)
        else {
            return false;
        };
        for index in 0..running.parts.len() {
            self.cancel_part(cx, running, index);
        }
        running.given_up = except;
        running.lay_out(offer.snapshot, offer.shards);
        self.stats.restarts += 1;
        cx.note(running, What::Restart { from, to: offer.snapshot });
        self.ask_all(cx, running);
        true
    }

    /// Stops the attempts at one shard that still run.
    pub(crate) fn cancel_part(&mut self, cx: &mut Cx<'_>, running: &mut Running, index: usize) {
        let (from, query) = (self.options.vm, running.query);
        let part = &mut running.parts[index];
        let shard = part.shard;
        for attempt in part.attempts.iter_mut().filter(|a| a.open) {
            attempt.open = false;
            self.paths.ended(cx.now, attempt.group, attempt.to, attempt.sent);
            let key = Key { from, query, shard, attempt: attempt.number };
            cx.out.push(Action::Cancel { to: attempt.to, key });
        }
    }

    pub(crate) fn miss(
        &mut self,
        cx: &mut Cx<'_>,
        running: &mut Running,
        index: usize,
        reason: Reason,
    ) {
        let Some(part) = running.parts.get(index).filter(|p| p.open()) else { return };
        cx.note(running, What::Miss { shard: part.shard, reason });
        running.close(index, State::Missing(reason));
        self.cancel_part(cx, running, index);
    }
}

fn group_of(running: &Running, index: usize, attempt: u8) -> Option<Group> {
    running.parts[index].attempts.iter().find(|a| a.number == attempt).map(|a| a.group)
}
