use crate::{
    Key,
    clerk::{Action, Stats, Version, Waiter},
    ledger::{self, Claim, Ledger, Outcome},
};
use std::collections::{BTreeMap, BTreeSet};
use tgw_clock::Millis;

/// What the clerk does about one order.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    /// It will be claimed with the next write.
    Wanted,
    /// A write that claims it is under way, or may be.
    Claiming,
    /// It is claimed here and was sent.
    Running,
    /// Another clerk holds the claim, or an earlier life of this VM.
    Foreign,
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
    /// No earlier request for the key can have run: nobody else could have been asked, or the claims
    /// were read since and hold none for it.
    pub(crate) sure: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Call {
    None,
    Reading,
    /// The claims as they stand once the write has taken effect.
    Writing(Ledger),
}

/// One object as the clerk knows it.
#[derive(Clone, Debug)]
pub(crate) struct Book {
    /// Version and claims; `None` before it was read, or when it must be read again.
    pub(crate) known: Option<(Version, Ledger)>,
    pub(crate) call: Call,
    pub(crate) not_before: Millis,
    pub(crate) orders: BTreeMap<String, Order>,
    /// Outcomes to be recorded.
    pub(crate) results: BTreeMap<String, Outcome>,
    /// Claims of ours that must never be sent: their orders were answered as not run.
    pub(crate) dropped: BTreeSet<String>,
    /// Since when an outcome waits to be recorded.
    pub(crate) result_since: Option<Millis>,
    pub(crate) poll_at: Millis,
    pub(crate) used: Millis,
}

/// How long outcomes may wait to be recorded: those who wait have been told, and a write for the next
/// claim takes them along.
const RECORD: Millis = Millis::new(1000);

impl Book {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            known: None,
            call: Call::None,
            not_before: now,
            orders: BTreeMap::new(),
            results: BTreeMap::new(),
            dropped: BTreeSet::new(),
            result_since: None,
            poll_at: now,
            used: now,
        }
    }

    /// The outcome that stands or is about to be recorded.
    pub(crate) fn outcome(&self, name: &str) -> Option<Outcome> {
        if let Some(outcome) = self.results.get(name) {
            return Some(outcome.clone());
        }
        let claim = self.known.as_ref().and_then(|(_, ledger)| ledger.claims.get(name));
        claim.and_then(|c| c.outcome.clone())
    }

    pub(crate) fn claimed(&self, name: &str) -> bool {
        self.known.as_ref().is_some_and(|(_, ledger)| ledger.claims.contains_key(name))
    }

    pub(crate) fn full(&self) -> bool {
        self.known.as_ref().is_some_and(|(_, l)| l.bytes() >= ledger::LIMIT_BYTES)
    }

    /// The claims after the next write, and whether they differ. Marks the orders that it claims.
    pub(crate) fn next(&mut self, mut ledger: Ledger, holder: u64) -> (Ledger, bool) {
        let mut changed = false;
        let room = ledger.bytes() < ledger::LIMIT_BYTES;
        for (name, order) in &mut self.orders {
            if order.stage == Stage::Wanted && room && !ledger.claims.contains_key(name) {
                order.stage = Stage::Claiming;
                ledger.claims.insert(name.clone(), Claim { holder, outcome: None });
                changed = true;
            }
        }
        changed |= self.record(&mut ledger, holder);
        (ledger, changed)
    }

    /// Puts outcomes on claims of this holder.
    pub(crate) fn record(&mut self, ledger: &mut Ledger, holder: u64) -> bool {
        let mut changed = false;
        for (name, outcome) in &self.results {
            let claim = ledger.claims.get_mut(name).filter(|c| c.holder == holder);
            if let Some(claim) = claim.filter(|c| c.outcome.is_none()) {
                claim.outcome = Some(outcome.clone());
                changed = true;
            }
        }
        changed
    }

    /// A write that was refused has claimed nothing.
    pub(crate) fn unclaim(&mut self) {
        for order in self.orders.values_mut().filter(|o| o.stage == Stage::Claiming) {
            order.stage = Stage::Wanted;
        }
    }

    /// Whether a claim is wanted, or an outcome has waited for long enough to be recorded.
    pub(crate) fn must_write(&self, now: Millis) -> bool {
        let wanted = self.orders.values().any(|o| o.stage == Stage::Wanted);
        let due = self.result_since.is_some_and(|since| now - since >= RECORD);
        wanted || (due && !self.results.is_empty())
    }

    /// Reads the object again while another clerk's claim in it has no outcome.
    pub(crate) fn poll(
        &mut self,
        now: Millis,
        object: &str,
        stats: &mut Stats,
        out: &mut Vec<Action>,
    ) {
        let waits = self.orders.values().any(|o| o.stage == Stage::Foreign);
        if waits && now >= self.poll_at {
            self.call = Call::Reading;
            stats.reads += 1;
            out.push(Action::Get(object.into()));
        }
    }

    pub(crate) fn end(&mut self, name: &str, outcome: &Outcome, out: &mut Vec<Action>) {
        if let Some(order) = self.orders.remove(name) {
            for Waiting { waiter, .. } in order.waiters {
                out.push(Action::Tell(waiter, outcome.clone()));
            }
        }
    }

    pub(crate) fn idle(&self) -> bool {
        self.call == Call::None && self.orders.is_empty() && self.results.is_empty()
    }
}
