use smallvec::SmallVec;
use std::{collections::HashMap, rc::Rc};
use tgw_clock::Millis;

/// Timeouts that are kept for one route; the least frequent one is replaced.
const MAX_TIMEOUTS: usize = 16;
/// Weight that all earlier statements keep at each new one: the last hundred or so count.
const RETAINED_WEIGHT: f64 = 0.99;
/// Share of the recent statements from which a timeout is one that callers start with. What is left of it at a later
/// attempt differs from caller to caller.
const MIN_INITIAL_SHARE: f64 = 0.05;

/// How long ago callers made their first attempt, by the timeout that they state.
///
/// A caller that retries states the time that it has left. Timeouts that many requests of a route state are those
/// of first attempts; one below them, which hardly any other request states, is what a retry has left.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    routes: HashMap<Rc<str>, Timeouts>,
}

/// The timeouts that callers of one route state, each with its decayed count.
#[derive(Debug, Default)]
struct Timeouts {
    counts: SmallVec<[(Millis, f64); MAX_TIMEOUTS]>,
}

impl Attempts {
    /// Drops the routes that `keep` does not hold for.
    pub(crate) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| keep(route));
    }

    /// Records a stated timeout; returns the time since the caller's first attempt, zero if this probably is the first.
    pub(crate) fn record(&mut self, route: &Rc<str>, timeout: Millis) -> Millis {
        let timeouts = self.routes.entry(route.clone()).or_default();
        timeouts.record(timeout);
        timeouts.elapsed(timeout)
    }
}

impl Timeouts {
    fn record(&mut self, timeout: Millis) {
        self.counts.iter_mut().for_each(|(_, count)| *count *= RETAINED_WEIGHT);
        if let Some((_, count)) = self.counts.iter_mut().find(|(known, _)| *known == timeout) {
            *count += 1.0;
            return;
        }
        if self.counts.len() == MAX_TIMEOUTS {
            let counts = self.counts.iter().enumerate();
            let least = counts.min_by(|a, b| a.1.1.total_cmp(&b.1.1)).map(|(at, _)| at);
            least.map(|at| self.counts.swap_remove(at));
        }
        self.counts.push((timeout, 1.0));
    }

    /// The time between the timeout that a caller started with and the one it states now.
    fn elapsed(&self, timeout: Millis) -> Millis {
        let all: f64 = self.counts.iter().map(|(_, count)| count).sum();
        let initial =
            |(_, count): &&(Millis, f64)| *count >= all * MIN_INITIAL_SHARE && *count > 1.0;
        let initial = self.counts.iter().filter(initial).map(|(known, _)| *known);
        initial
            .filter(|known| *known >= timeout)
            .min()
            .map_or(Millis::ZERO, |known| known - timeout)
    }
}
