use crate::{
    serving::items,
    sim::{Sim, Waiting},
};
use std::collections::BTreeSet;
use tgw_query::Answer;

/// What callers get, compared with what the upstreams were asked for.
impl Sim {
    pub(crate) fn answered(&mut self, vm: usize, token: u64, answer: &Answer) {
        let Some(waiting) = self.waiting.remove(&(vm, token)).filter(|w| w.measured) else {
            return;
        };
        self.check(&waiting, answer);
        let name = self.catalog.services.get(&waiting.service).map(|s| s.name.clone());
        let coverage = &answer.coverage;
        let counts = (coverage.shards as u64, coverage.answered as u64);
        let took = self.now - waiting.at;
        let name = name.unwrap_or_default();
        self.collector.answer(waiting.at, took, &name, answer.meets_least_coverage, counts);
    }

    /// Compares an answer with what the upstreams were asked for.
    fn check(&mut self, waiting: &Waiting, answer: &Answer) {
        let mut seen = BTreeSet::new();
        for (shard, found) in &answer.items {
            if !seen.insert(*shard) {
                self.collector.doubled += 1;
            }
            let body = waiting.body.to_le_bytes();
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
