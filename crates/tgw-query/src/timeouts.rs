use crate::{
    answer::{MissingReason, RefusalReason},
    context::Context,
    entry::{Entry, RETRY_AFTER_MS},
    event::AttemptReason,
    running::RunningQuery,
};
use tgw_clock::Millis;
use tgw_topology::{Query, Shard, Vm};

impl Entry {
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        for token in self.admission.take_expired(cx.now) {
            self.queued.remove(&token);
            self.refuse(cx, token, RefusalReason::Deadline, RETRY_AFTER_MS);
        }
        for vm in self.tracker.detect_unresponsive(cx.now, cx.view) {
            self.reassign_attempts(cx, vm);
        }
        self.finish_expired(cx);
        if self.options.hedge_across_groups {
            self.hedge_late(cx);
        }
    }

    pub(crate) fn finish_expired(&mut self, cx: &mut Context<'_>) {
        let expired_queries =
            self.running.values().filter(|r| r.deadline <= cx.now).map(|r| r.query);
        let expired_queries: Vec<Query> = expired_queries.collect();
        for query in expired_queries {
            let Some(mut running) = self.running.remove(&query) else { continue };
            for index in 0..running.shards.len() {
                let reason = running.shards[index].last_failure.unwrap_or(MissingReason::Deadline);
                self.mark_missing(cx, &mut running, index, reason);
            }
            self.finish(cx, running);
        }
    }

    /// Hedges shards whose attempt is late at another group, the oldest first.
    pub(crate) fn hedge_late(&mut self, cx: &mut Context<'_>) {
        let mut due: Vec<(Millis, Query, usize)> = Vec::new();
        for running in self.running.values_mut() {
            let Some(budgets) = self.budgets.get_mut(&running.service) else { continue };
            let late_after = budgets.hedge.delay();
            for (index, progress) in running.shards.iter_mut().enumerate() {
                let first_sent_at =
                    progress.attempts.iter().find(|a| a.in_flight).map(|a| a.sent_at);
                let Some(sent_at) = first_sent_at.filter(|sent_at| cx.now - *sent_at >= late_after)
                else {
                    continue;
                };
                if !std::mem::replace(&mut progress.counted_late, true) {
                    budgets.hedge.record_late();
                }
                if progress.is_open() && !progress.hedged {
                    due.push((sent_at, running.query, index));
                }
            }
        }
        due.sort_unstable();
        for (_, query, index) in due {
            let Some(mut running) = self.running.remove(&query) else { continue };
            let may_hedge = self.has_untried_group(cx, &running, index);
            if may_hedge && self.budgets(cx, running.service).hedge.try_spend() {
                running.shards[index].hedged = true;
                self.request_shard(cx, &mut running, index, AttemptReason::Hedge);
            }
            self.running.insert(query, running);
        }
    }

    /// Whether all attempts in flight at a shard are at unresponsive VMs.
    pub(crate) fn awaits_only_unresponsive(&self, running: &RunningQuery, index: usize) -> bool {
        let in_flight = running.shards[index].attempts.iter().filter(|a| a.in_flight);
        in_flight.into_iter().all(|a| self.tracker.is_unresponsive(a.to))
    }

    /// Sends the open requests of an unresponsive or disconnected VM to stand-ins.
    pub(crate) fn reassign_attempts(&mut self, cx: &mut Context<'_>, vm: Vm) {
        let affected: Vec<(Query, Shard)> = self
            .running
            .values()
            .flat_map(|r| r.shards.iter().filter(|p| p.is_open()).map(move |p| (r.query, p)))
            .filter(|(_, progress)| progress.attempts.iter().any(|a| a.in_flight && a.to == vm))
            .map(|(query, progress)| (query, progress.shard))
            .collect();
        for (query, shard) in affected {
            let Some(mut running) = self.running.remove(&query) else { continue };
            let index = usize::from(shard.0);
            let reassigned = self.budgets(cx, running.service).retry.try_spend()
                && self.request_shard(cx, &mut running, index, AttemptReason::Silent);
            // If every VM that could dispatch is unresponsive, as behind a partition, the caller
            // would otherwise wait until its deadline for outcomes that cannot arrive.
            if !reassigned && self.awaits_only_unresponsive(&running, index) {
                self.mark_missing(cx, &mut running, index, MissingReason::Unreachable);
            }
            self.store_or_finish(cx, running);
        }
    }
}
