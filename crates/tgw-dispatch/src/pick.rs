//! Choice of an upstream for a leaf request.

use crate::Rank;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tgw_clock::Millis;
use tgw_topology::Upstream;

/// One upstream that could serve a request.
#[derive(Copy, Clone, Debug)]
pub struct Candidate {
    /// The upstream.
    pub upstream: Upstream,
    /// Whether a request may be sent to it now.
    pub free: bool,
    /// Requests that run on it or are bound to it.
    pub load: usize,
    /// Recent latency of its replies in milliseconds.
    pub latency: f64,
    /// How far it is trusted.
    pub rank: Rank,
}

/// Chooses upstreams. The owner asks `bind` once as a request arrives, and `choose` each time a
/// slot may be free for a request that is not bound.
pub trait Policy: Send {
    /// The index of the upstream to which the request is bound at once; `None` leaves it unbound.
    fn bind(&mut self, now: Millis, candidates: &[Candidate]) -> Option<usize>;

    /// The index of the free upstream that gets the request; `None` lets it wait.
    fn choose(&mut self, now: Millis, candidates: &[Candidate]) -> Option<usize>;
}

/// Binds late: the best ranked free upstream with the least load, then the lowest latency.
#[derive(Debug, Default)]
pub struct Late;

impl Policy for Late {
    fn bind(&mut self, _now: Millis, _candidates: &[Candidate]) -> Option<usize> {
        None
    }

    fn choose(&mut self, _now: Millis, candidates: &[Candidate]) -> Option<usize> {
        best_free(candidates)
    }
}

/// Binds at once to the upstream with the least product of load and latency.
#[derive(Debug, Default)]
pub struct Least;

impl Policy for Least {
    fn bind(&mut self, _now: Millis, candidates: &[Candidate]) -> Option<usize> {
        let cost = |c: &Candidate| (c.load + 1) as f64 * c.latency.max(0.1);
        let best = candidates
            .iter()
            .enumerate()
            .min_by(|(_, a), (_, b)| a.rank.cmp(&b.rank).then(cost(a).total_cmp(&cost(b))));
        best.map(|(index, _)| index)
    }

    fn choose(&mut self, _now: Millis, candidates: &[Candidate]) -> Option<usize> {
        best_free(candidates)
    }
}

/// Binds at once to a random upstream.
#[derive(Debug)]
pub struct Random(SmallRng);

impl Random {
    /// The same `seed` gives the same choices.
    pub fn seeded(seed: u64) -> Self {
        Self(SmallRng::seed_from_u64(seed))
    }
}

impl Policy for Random {
    fn bind(&mut self, _now: Millis, candidates: &[Candidate]) -> Option<usize> {
        (!candidates.is_empty()).then(|| self.0.random_range(0..candidates.len()))
    }

    fn choose(&mut self, _now: Millis, candidates: &[Candidate]) -> Option<usize> {
        best_free(candidates)
    }
}

/// Binds at once to each upstream in turn.
#[derive(Debug, Default)]
pub struct RoundRobin(usize);

impl Policy for RoundRobin {
    fn bind(&mut self, _now: Millis, candidates: &[Candidate]) -> Option<usize> {
        self.0 = self.0.wrapping_add(1);
        (!candidates.is_empty()).then(|| self.0 % candidates.len())
    }

    fn choose(&mut self, _now: Millis, candidates: &[Candidate]) -> Option<usize> {
        best_free(candidates)
    }
}

fn best_free(candidates: &[Candidate]) -> Option<usize> {
    // While the others are busy, an upstream that is set aside is free; it would take what waits and
    // fail it, and each failure costs a retry. It is used only where there is no other.
    let floor = candidates.iter().all(|c| c.rank >= Rank::Ejected);
    let usable = |c: &Candidate| c.free && (floor || c.rank < Rank::Ejected);
    let free = candidates.iter().enumerate().filter(|(_, c)| usable(c));
    let best = free.min_by(|(_, a), (_, b)| {
        (a.rank, a.load).cmp(&(b.rank, b.load)).then(a.latency.total_cmp(&b.latency))
    });
    best.map(|(index, _)| index)
}
