//! Policies that choose an upstream for a leaf request.

use crate::Rank;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tgw_clock::Millis;
use tgw_topology::Upstream;

/// One upstream that may be sent a request.
#[derive(Copy, Clone, Debug)]
pub struct Candidate {
    /// The upstream.
    pub upstream: Upstream,
    /// Whether it has a free slot now.
    pub has_free_slot: bool,
    /// Requests in flight on it.
    pub in_flight: usize,
    /// Recent latency of its replies in milliseconds.
    pub latency_ms: f64,
    /// Its rank by health.
    pub rank: Rank,
}

/// Chooses upstreams. The owner calls `bind` once when a request arrives, and `choose` among the
/// eligible upstreams each time a slot may be free for it.
pub trait Policy: Send {
    /// The index of the only upstream eligible for the request from now on; `None` keeps all.
    fn bind(&mut self, now: Millis, candidates: &[Candidate]) -> Option<usize>;

    /// The index of the upstream with a free slot to send the request to; `None` keeps it queued.
    fn choose(&mut self, now: Millis, candidates: &[Candidate]) -> Option<usize>;
}

/// Late binding: waits for a free slot, then takes the upstream with the best rank, the fewest
/// requests in flight and the lowest latency, in this order.
#[derive(Debug, Default)]
pub struct LateBinding;

impl Policy for LateBinding {
    fn bind(&mut self, _now: Millis, _candidates: &[Candidate]) -> Option<usize> {
        None
    }

    fn choose(&mut self, _now: Millis, candidates: &[Candidate]) -> Option<usize> {
        best_free(candidates)
    }
}

/// Early binding to the best ranked upstream with the least product of requests in flight and
/// latency.
#[derive(Debug, Default)]
pub struct LeastLoad;

impl Policy for LeastLoad {
    fn bind(&mut self, _now: Millis, candidates: &[Candidate]) -> Option<usize> {
        let cost = |c: &Candidate| (c.in_flight + 1) as f64 * c.latency_ms.max(0.1);
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

/// Early binding to a random upstream.
#[derive(Debug)]
pub struct Random(SmallRng);

impl Random {
    /// A policy whose choices are determined by `seed`.
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

/// Early binding to each upstream in turn.
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
    // While the other upstreams are busy, an ejected one has free slots: it would take the queued
    // requests and fail them, at the cost of a retry each. It is used only if there is no other.
    let only_ejected = candidates.iter().all(|c| c.rank >= Rank::Ejected);
    let usable = |c: &Candidate| c.has_free_slot && (only_ejected || c.rank < Rank::Ejected);
    let free = candidates.iter().enumerate().filter(|(_, c)| usable(c));
    let best = free.min_by(|(_, a), (_, b)| {
        (a.rank, a.in_flight)
            .cmp(&(b.rank, b.in_flight))
            .then(a.latency_ms.total_cmp(&b.latency_ms))
    });
    best.map(|(index, _)| index)
}
