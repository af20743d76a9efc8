use crate::{
    answer::{Cause, Reason},
    context::Cx,
    entry::{Entry, RETRY_AFTER},
    running::Running,
    step::Why,
};
use tgw_clock::Millis;
use tgw_topology::{Query, Shard, Vm};

impl Entry {
    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>) {
        for token in self.gate.expired(cx.now) {
            self.queued.remove(&token);
            self.refuse(cx, token, Cause::Deadline, RETRY_AFTER);
        }
        for vm in self.paths.newly_stalled(cx.now, cx.view) {
            self.ask_elsewhere(cx, vm);
        }
        self.end_overdue(cx);
        if self.options.hedge {
            self.hedge_late(cx);
        }
    }

    pub(crate) fn end_overdue(&mut self, cx: &mut Cx<'_>) {
        let overdue = self.running.values().filter(|r| r.deadline <= cx.now).map(|r| r.query);
        let overdue: Vec<Query> = overdue.collect();
        for query in overdue {
            let Some(mut running) = self.running.remove(&query) else { continue };
            for index in 0..running.parts.len() {
                let reason = running.parts[index].last.unwrap_or(Reason::Deadline);
                self.miss(cx, &mut running, index, reason);
            }
            self.finish(cx, running);
        }
    }

    /// Asks a second group for shards whose first runs late, the oldest first.
    pub(crate) fn hedge_late(&mut self, cx: &mut Cx<'_>) {
        let mut due: Vec<(Millis, Query, usize)> = Vec::new();
        for running in self.running.values_mut() {
            let Some(tail) = self.tails.get_mut(&running.service) else { continue };
            let late = tail.hedge.delay();
            for (index, part) in running.parts.iter_mut().enumerate() {
                let first = part.attempts.iter().find(|a| a.open).map(|a| a.sent);
                let Some(sent) = first.filter(|sent| cx.now - *sent >= late) else { continue };
                if !std::mem::replace(&mut part.late, true) {
                    tail.hedge.late();
                }
                if part.open() && !part.hedged {
                    due.push((sent, running.query, index));
                }
            }
        }
        due.sort_unstable();
        for (_, query, index) in due {
            let Some(mut running) = self.running.remove(&query) else { continue };
            let may = self.has_untried(cx, &running, index);
            if may && self.tail(cx, running.service).hedge.fire() {
                running.parts[index].hedged = true;
                self.ask(cx, &mut running, index, Why::Hedge);
            }
            self.running.insert(query, running);
        }
    }

    /// Whether all attempts under way at a shard are with VMs that are silent.
    pub(crate) fn owed_by_silent(&self, running: &Running, index: usize) -> bool {
        let open = running.parts[index].attempts.iter().filter(|a| a.open);
        open.into_iter().all(|a| self.paths.stalled(a.to))
    }

    /// Asks stand-ins for all that a silent or lost VM still owes.
    pub(crate) fn ask_elsewhere(&mut self, cx: &mut Cx<'_>, vm: Vm) {
        let owing: Vec<(Query, Shard)> = self
            .running
            .values()
            .flat_map(|r| r.parts.iter().filter(|p| p.open()).map(move |p| (r.query, p)))
            .filter(|(_, part)| part.attempts.iter().any(|a| a.open && a.to == vm))
            .map(|(query, part)| (query, part.shard))
            .collect();
        for (query, shard) in owing {
            let Some(mut running) = self.running.remove(&query) else { continue };
            let index = usize::from(shard.0);
            let asked = self.tail(cx, running.service).retry.spend()
                && self.ask(cx, &mut running, index, Why::Silent);
            // Where every VM that could dispatch is silent, as on the other side of a partition, the
            // caller would wait for its whole deadline for what cannot come.
            if !asked && self.owed_by_silent(&running, index) {
                self.miss(cx, &mut running, index, Reason::Unreachable);
            }
            self.settle(cx, running);
        }
    }
}
