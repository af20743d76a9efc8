use crate::{
    serving::items,
    sim::{PendingQuery, Sim},
};
use std::collections::BTreeSet;
use tgw_query::Answer;

/// Answers to callers, checked against what was asked of the upstreams.
impl Sim {
    pub(crate) fn record_answer(&mut self, vm: usize, token: u64, answer: &Answer) {
        let Some(pending) = self.pending.remove(&(vm, token)).filter(|w| w.measured) else {
            return;
        };
        self.check_answer(&pending, answer);
        let name = self.catalog.services.get(&pending.service).map(|s| s.name.clone());
        let coverage = &answer.coverage;
        let counts = (coverage.shards as u64, coverage.answered as u64);
        let took = self.now - pending.at;
        let name = name.unwrap_or_default();
        self.collector.answer(pending.at, took, &name, answer.meets_least_coverage, counts);
    }

    /// Counts items that are doubled, mixed up or lost in an answer.
    fn check_answer(&mut self, pending: &PendingQuery, answer: &Answer) {
        let mut seen = BTreeSet::new();
        for (shard, found) in &answer.items {
            if !seen.insert(*shard) {
                self.collector.doubled += 1;
            }
            let body = pending.body.to_le_bytes();
            if *found != items(&body, answer.snapshot, shard.0) {
                self.collector.mixed += 1;
            }
        }
        if seen.len() != answer.coverage.answered
            || answer.coverage.answered + answer.coverage.missing.len() != answer.coverage.shards
        {
            self.collector.lost += 1;
        }
    }
}
