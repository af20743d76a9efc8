//! The dispatch policies that are compared.

use derive_more::Display;
use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
};
use tgw_clock::Millis;
use tgw_dispatch::{
    owner,
    policy::{Candidate, LateBinding, LeastLoad, Policy as SelectionPolicy, Random, RoundRobin},
};
use tgw_topology::{Group, Upstream};

/// A dispatch policy.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub enum Policy {
    /// The tier as shipped: one owner per group, late binding, hedges, suspicion.
    #[display("tier")]
    Tier,
    /// The tier without hedges.
    #[display("tier-no-hedge")]
    TierNoHedge,
    /// The tier without suspicion of overdue upstreams.
    #[display("tier-no-suspicion")]
    TierNoSuspicion,
    /// One owner per group that binds each request at once to the least loaded upstream, with
    /// hedges.
    #[display("owner-early")]
    OwnerEarly,
    /// Each VM dispatches directly to the upstream with the least load and latency, with hedges.
    #[display("direct-least")]
    DirectLeast,
    /// Each VM dispatches directly to a random replica, without hedges.
    #[display("direct-random")]
    DirectRandom,
    /// Each VM dispatches directly to the replicas in round-robin order, within a fixed share of
    /// the slots.
    #[display("direct-shares")]
    DirectShares,
    /// One owner per group that knows which upstreams are slow: a lower bound on latency.
    #[display("oracle")]
    Oracle,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 8] = [
        Self::Tier,
        Self::TierNoHedge,
        Self::TierNoSuspicion,
        Self::OwnerEarly,
        Self::DirectLeast,
        Self::DirectRandom,
        Self::DirectShares,
        Self::Oracle,
    ];

    /// Returns the policy of that name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|p| p.to_string() == name)
    }

    /// Whether every VM dispatches to every upstream itself.
    pub(crate) fn is_direct(self) -> bool {
        matches!(self, Self::DirectLeast | Self::DirectRandom | Self::DirectShares)
    }

    /// Whether requests are hedged at all.
    pub(crate) fn sends_hedges(self) -> bool {
        matches!(self, Self::Tier | Self::TierNoSuspicion | Self::OwnerEarly | Self::DirectLeast)
    }

    pub(crate) fn options(self) -> owner::Options {
        let hedge = if self.sends_hedges() { 1.0 } else { 0.0 };
        let suspect = matches!(self, Self::Tier | Self::TierNoHedge);
        owner::Options {
            hedge_budget: hedge,
            suspect_overdue: suspect,
            slow_start: self == Self::Tier,
            ..owner::Options::default()
        }
    }

    pub(crate) fn selection(
        self,
        seed: u64,
        slow_upstreams: &SlowUpstreams,
        group: Group,
    ) -> Box<dyn SelectionPolicy> {
        let own = seed ^ u64::from(group.instance) ^ u64::from(group.service.0) << 16;
        match self {
            Self::Tier | Self::TierNoHedge | Self::TierNoSuspicion => Box::new(LateBinding),
            Self::OwnerEarly | Self::DirectLeast => Box::new(LeastLoad),
            Self::DirectRandom => Box::new(Random::seeded(own)),
            Self::DirectShares => Box::new(RoundRobin::default()),
            Self::Oracle => Box::new(AvoidSlow(slow_upstreams.clone())),
        }
    }
}

/// The upstreams that are slow or broken now, known to the model alone.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowUpstreams(Arc<Mutex<BTreeSet<Upstream>>>);

impl SlowUpstreams {
    pub(crate) fn set(&self, slow: impl Iterator<Item = Upstream>) {
        *self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = slow.collect();
    }

    fn is_slow(&self, upstream: Upstream) -> bool {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner).contains(&upstream)
    }
}

/// Never sends to a slow upstream while the group has a faster one: waiting for a slot at a fast
/// upstream takes a few milliseconds, a request at a slow one ten times as long.
struct AvoidSlow(SlowUpstreams);

impl SelectionPolicy for AvoidSlow {
    fn bind(&mut self, _now: Millis, _candidates: &[Candidate]) -> Option<usize> {
        None
    }

    fn choose(&mut self, now: Millis, candidates: &[Candidate]) -> Option<usize> {
        let fast: Vec<usize> =
            (0..candidates.len()).filter(|i| !self.0.is_slow(candidates[*i].upstream)).collect();
        if fast.is_empty() {
            return LateBinding.choose(now, candidates);
        }
        let usable: Vec<Candidate> = fast.iter().map(|i| candidates[*i]).collect();
        LateBinding.choose(now, &usable).map(|chosen| fast[chosen])
    }
}
