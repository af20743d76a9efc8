use crate::{
    Key,
    claims::{Action, Stats, Version, Waiter},
    ledger::{self, Claim, Ledger, Outcome},
};
use std::collections::{BTreeMap, BTreeSet};
use tgw_clock::Millis;

/// Progress of one order at this worker.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// To be claimed by the next write.
    Unclaimed,
    /// A write that claims it is in flight, or may be.
    Claiming,
    /// Claimed by this worker and sent to an upstream.
    Running,
    /// Another worker holds the claim, or an earlier incarnation of this VM.
    ClaimedElsewhere,
}

#[derive(Clone, Debug)]
pub(crate) struct Order {
    pub(crate) key: Key,
    pub(crate) stage: Stage,
    pub(crate) deadline: Millis,
    pub(crate) waiters: Vec<Waiting>,
}

#[derive(Copy, Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) waiter: Waiter,
    /// No earlier request for the key can have run: no other worker could have received one, or the
    /// claims have been read since and contain none for it.
    pub(crate) no_earlier_run: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Call {
    None,
    /// A read of the object is in flight.
    Reading,
    /// The claims as they are once the write has taken effect.
    Writing(Ledger),
}

/// The worker's state for one stored object of claims.
#[derive(Clone, Debug)]
pub(crate) struct State {
    /// Version and claims as last read or written; `None` if the object must be read.
    pub(crate) known: Option<(Version, Ledger)>,
    pub(crate) call: Call,
    /// Earliest time of the next call to the store for this object.
    pub(crate) next_call_at: Millis,
    pub(crate) orders: BTreeMap<String, Order>,
    /// Outcomes not yet recorded in the store.
    pub(crate) unrecorded: BTreeMap<String, Outcome>,
    /// Orders answered as not run while their claim may be written: they must never be sent.
    pub(crate) never_send: BTreeSet<String>,
    /// When the oldest unrecorded outcome was added.
    pub(crate) unrecorded_since: Option<Millis>,
    /// Earliest time at which the object is read again for the outcome of another worker's claim.
    pub(crate) poll_at: Millis,
    /// When a request for one of the object's keys was last handled; idle state is dropped some time
    /// after it.
    pub(crate) last_used: Millis,
}

/// Longest delay before an outcome is recorded. Its callers have been answered already, and a write for
/// the next claim includes it.
const MAX_RECORD_DELAY_MS: Millis = Millis::new(1000);

impl State {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            known: None,
            call: Call::None,
            next_call_at: now,
            orders: BTreeMap::new(),
            unrecorded: BTreeMap::new(),
            never_send: BTreeSet::new(),
            unrecorded_since: None,
            poll_at: now,
            last_used: now,
        }
    }

    /// The order's outcome, recorded or about to be.
    pub(crate) fn outcome(&self, name: &str) -> Option<Outcome> {
        if let Some(outcome) = self.unrecorded.get(name) {
            return Some(outcome.clone());
        }
        let claim = self.known.as_ref().and_then(|(_, ledger)| ledger.claims.get(name));
        claim.and_then(|c| c.outcome.clone())
    }

    pub(crate) fn is_claimed(&self, name: &str) -> bool {
        self.known.as_ref().is_some_and(|(_, ledger)| ledger.claims.contains_key(name))
    }

    pub(crate) fn is_full(&self) -> bool {
        self.known.as_ref().is_some_and(|(_, l)| l.approx_bytes() >= ledger::MAX_OBJECT_BYTES)
    }

    /// Returns the claims to write next and whether they differ from `ledger`. Marks the orders that
    /// they claim.
    pub(crate) fn next_ledger(&mut self, mut ledger: Ledger, holder: u64) -> (Ledger, bool) {
        let mut changed = false;
        let has_room = ledger.approx_bytes() < ledger::MAX_OBJECT_BYTES;
        for (name, order) in &mut self.orders {
            if order.stage == Stage::Unclaimed && has_room && !ledger.claims.contains_key(name) {
                order.stage = Stage::Claiming;
                ledger.claims.insert(name.clone(), Claim { holder, outcome: None });
                changed = true;
            }
        }
        changed |= self.record_outcomes(&mut ledger, holder);
        (ledger, changed)
    }

    /// Adds unrecorded outcomes to the claims of `holder`; returns whether any was added.
    pub(crate) fn record_outcomes(&mut self, ledger: &mut Ledger, holder: u64) -> bool {
        let mut changed = false;
        for (name, outcome) in &self.unrecorded {
            let claim = ledger.claims.get_mut(name).filter(|c| c.holder == holder);
            if let Some(claim) = claim.filter(|c| c.outcome.is_none()) {
                claim.outcome = Some(outcome.clone());
                changed = true;
            }
        }
        changed
    }

    /// Undoes the marks of a rejected write, which has claimed nothing.
    pub(crate) fn reset_claiming(&mut self) {
        for order in self.orders.values_mut().filter(|o| o.stage == Stage::Claiming) {
            order.stage = Stage::Unclaimed;
        }
    }

    /// Whether an order is unclaimed, or an outcome has been unrecorded for the longest delay.
    pub(crate) fn must_write(&self, now: Millis) -> bool {
        let unclaimed = self.orders.values().any(|o| o.stage == Stage::Unclaimed);
        let record_due =
            self.unrecorded_since.is_some_and(|since| now - since >= MAX_RECORD_DELAY_MS);
        unclaimed || (record_due && !self.unrecorded.is_empty())
    }

    /// Reads the object again, once the interval is over, while an order waits for the outcome of
    /// another worker's claim.
    pub(crate) fn poll(
        &mut self,
        now: Millis,
        object: &str,
        stats: &mut Stats,
        out: &mut Vec<Action>,
    ) {
        let awaits_other = self.orders.values().any(|o| o.stage == Stage::ClaimedElsewhere);
        if awaits_other && now >= self.poll_at {
            self.call = Call::Reading;
            stats.reads += 1;
            out.push(Action::Get(object.into()));
        }
    }

    pub(crate) fn answer_waiters(&mut self, name: &str, outcome: &Outcome, out: &mut Vec<Action>) {
        if let Some(order) = self.orders.remove(name) {
            for Waiting { waiter, .. } in order.waiters {
                out.push(Action::Answer(waiter, outcome.clone()));
            }
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.call == Call::None && self.orders.is_empty() && self.unrecorded.is_empty()
    }
}
