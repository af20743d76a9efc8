//! Order and fairness among queries that wait for admission.
//!
//! A query waits by its priority, then by the recent use of its tenant, then by the time it has left. Some of the
//! admissions go by [`aging`] instead, so that neither the last priority nor any tenant is starved. The state is
//! bounded: [`CAPACITY`] entries, and the tenants with recent use.

/// The use of tenants, and how many of their queries were served.
mod account;
/// Admissions out of order, for entries that the order would starve.
mod aging;
/// The order of admission.
mod order;
/// The use of tenants at other VMs.
mod usage;

pub use usage::Usage;

use account::Accounts;
use aging::{Slot, step, waited_fraction};
use order::Waiting;
use std::{cmp::Ordering, rc::Rc};
use tgw_clock::Millis;
use usage::Reports;

/// The number of entries at most.
pub const CAPACITY: usize = 256;

/// The number of entries of a priority that are not displaced by other priorities. Without them, a full queue holds
/// no entry of the last priority for aging to admit.
const RESERVED: usize = CAPACITY / 8;

/// A query that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The number of its ticket.
    pub number: u64,
    /// Its priority; zero is the highest.
    pub priority: u32,
    /// The tenant that it is made for, if any.
    pub tenant: Option<Rc<str>>,
    /// When it began to wait.
    pub queued_at: Millis,
    /// The last time at which it can start and still meet its latency target.
    pub start_by: Millis,
    /// Its work relative to other queries of the queue; about 1 for a usual query.
    pub cost: f64,
}

/// The queries that wait for one limit.
#[derive(Debug, Default)]
pub struct Queue {
    /// Sorted by account, then by [`order::Place`].
    waiting: Vec<Waiting>,
    accounts: Accounts,
    reports: Reports,
    admissions: u64,
    /// The latest time seen: a clock that goes back by a tick neither revives entries nor undoes decay.
    latest: Millis,
}

impl Queue {
    /// Adds an entry; returns the one that has to leave if the queue is full, which may be the new one.
    ///
    /// The entry that leaves is one whose time to start has passed, else the last in order. An eighth of the places is
    /// reserved for each priority.
    pub fn push(&mut self, now: Millis, entry: Entry) -> Option<Entry> {
        let now = self.advance(now);
        let account = self.accounts.open(entry.tenant.as_ref());
        let waiting = Waiting::new(account, entry);
        let at = self.waiting.partition_point(|other| other.place() <= waiting.place());
        self.waiting.insert(at, waiting);
        if self.waiting.len() <= CAPACITY {
            return None;
        }
        let passed = self.waiting.iter().position(|waiting| !waiting.can_start(now));
        let leaving = passed.or_else(|| self.displaced(now))?;
        Some(self.lose(leaving))
    }

    /// Removes the entry that is admitted next, and charges its cost to its tenant.
    ///
    /// Entries whose time to start has passed are not admitted; [`Queue::expire`] returns them.
    pub fn pop(&mut self, now: Millis) -> Option<Entry> {
        let now = self.advance(now);
        let chosen = match Slot::of(self.admissions) {
            Slot::Aging => self.longest_waiting(now),
            Slot::Underserved => self.underserved(now).or_else(|| self.first(now)),
            Slot::Order => self.first(now),
        }?;
        self.admissions = self.admissions.wrapping_add(1);
        let waiting = self.take(chosen);
        self.accounts.record_served(waiting.account, waiting.cost);
        Some(waiting.entry)
    }

    /// Removes an entry that no longer waits, as when its caller disconnects.
    pub fn remove(&mut self, number: u64) -> Option<Entry> {
        let at = self.waiting.iter().position(|waiting| waiting.entry.number == number)?;
        Some(self.take(at).entry)
    }

    /// Removes the entries whose time to start has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<Entry> {
        let now = self.advance(now);
        let accounts = &mut self.accounts;
        let expired = self.waiting.extract_if(.., |waiting| !waiting.can_start(now));
        let lost = |waiting: Waiting| {
            accounts.close(waiting.account);
            accounts.record_lost(waiting.account);
            waiting.entry
        };
        expired.map(lost).collect()
    }

    /// The cost of the entries that would be admitted before `entry`, which may wait or not, apart from aging.
    pub fn cost_ahead(&self, now: Millis, entry: &Entry) -> f64 {
        let now = now.max(self.latest);
        let account = self.accounts.find(entry.tenant.as_ref());
        let target = order::key_of(&self.waiting, &self.accounts, now, account, entry);
        let ahead =
            order::keys(&self.waiting, &self.accounts, now).filter(|(_, key)| *key < target);
        ahead.filter_map(|(at, _)| self.waiting.get(at)).map(|waiting| waiting.cost).sum()
    }

    /// Whether `entry`, which may wait or not, can probably start in time while `cost_per_ms` is admitted: in order, by
    /// aging, or because its tenant is underserved. Rejecting by [`Queue::cost_ahead`] alone would starve the last
    /// priority on arrival. True if the rate is not known, that is not a positive number.
    pub fn can_start(&self, now: Millis, entry: &Entry, cost_per_ms: f64) -> bool {
        let now = now.max(self.latest);
        let affordable = (entry.start_by - now).as_f64() * cost_per_ms;
        let is_in_time = |ahead: f64| ahead <= affordable || affordable.is_nan();
        let is_rate_known = cost_per_ms > 0.0;
        !is_rate_known
            || is_in_time(self.cost_ahead(now, entry))
            || is_in_time(self.cost_ahead_by_aging(now, entry))
            || self.is_underserved(entry.tenant.as_ref())
    }

    /// Charges a tenant for a query that was admitted without waiting.
    pub fn record_use(&mut self, now: Millis, tenant: Option<&Rc<str>>, cost: f64) {
        self.advance(now);
        let account = self.accounts.open(tenant);
        self.accounts.close(account);
        self.accounts.record_served(account, order::valid_cost(cost));
    }

    /// Counts a query of a tenant that was rejected without having waited.
    pub fn record_rejection(&mut self, now: Millis, tenant: Option<&Rc<str>>) {
        self.advance(now);
        let account = self.accounts.open(tenant);
        self.accounts.close(account);
        self.accounts.record_lost(account);
    }

    /// Whether a tenant is served so much less often than all that [`Queue::pop`] takes its entries out of order.
    pub fn is_underserved(&self, tenant: Option<&Rc<str>>) -> bool {
        self.accounts.find(tenant).is_some_and(|account| self.accounts.is_underserved(account))
    }

    /// Sets the weights of tenants, in place of those set before; 1 for tenants that are not among them.
    pub fn set_weights(&mut self, weights: impl IntoIterator<Item = (Rc<str>, f64)>) {
        self.accounts.set_weights(weights);
    }

    /// The recent use of the heaviest tenants at this VM, for the other VMs of its region.
    pub fn usage(&self, now: Millis) -> Usage {
        let now = now.max(self.latest);
        Usage::heaviest(now, self.accounts.used(now))
    }

    /// Adds the use that another VM reports, in place of its earlier report; returns whether it was taken.
    ///
    /// Ignored are reports that are not newer than the last one of the VM, older than 2 s, from the future or
    /// malformed. The use decays like that at this VM.
    pub fn apply_usage(&mut self, now: Millis, from_vm: u64, usage: &Usage) -> bool {
        let now = self.advance(now);
        self.reports.apply(now, from_vm, usage, &mut self.accounts)
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The number of tenants with recent use or waiting entries.
    pub fn tenants(&self) -> usize {
        self.accounts.len()
    }

    fn advance(&mut self, now: Millis) -> Millis {
        self.latest = self.latest.max(now);
        if self.accounts.advance(self.latest) {
            self.reports.forget(self.latest, &mut self.accounts);
            self.accounts.sweep();
        }
        self.latest
    }

    fn first(&self, now: Millis) -> Option<usize> {
        let keys = order::keys(&self.waiting, &self.accounts, now);
        keys.min_by_key(|(_, key)| *key).map(|(at, _)| at)
    }

    /// The last in order of the priorities that hold more than [`RESERVED`] entries.
    fn displaced(&self, now: Millis) -> Option<usize> {
        let keys = || order::keys(&self.waiting, &self.accounts, now);
        let last_before = |priority: u32| {
            let more_urgent = keys().filter(move |(_, key)| key.priority() < priority);
            more_urgent.max_by_key(|(_, key)| *key)
        };
        let last = keys().max_by_key(|(_, key)| *key)?;
        let mut candidate = last;
        for _ in 0..CAPACITY / RESERVED {
            let priority = candidate.1.priority();
            if keys().filter(|(_, key)| key.priority() == priority).count() > RESERVED {
                return Some(candidate.0);
            }
            let Some(next) = last_before(priority) else { break };
            candidate = next;
        }
        Some(last.0)
    }

    /// The cost of the entries that would be admitted before `entry` if aging alone admitted it.
    fn cost_ahead_by_aging(&self, now: Millis, entry: &Entry) -> f64 {
        let is_before = |other: &Entry| {
            let by_time = (other.start_by, other.number) < (entry.start_by, entry.number);
            other.priority >= entry.priority && by_time
        };
        let live = self.waiting.iter().filter(|waiting| waiting.can_start(now));
        let before = live.filter(|waiting| is_before(&waiting.entry));
        aging::CYCLE as f64 * before.map(|waiting| waiting.cost).sum::<f64>()
    }

    fn longest_waiting(&self, now: Millis) -> Option<usize> {
        let entries = self.waiting.iter().enumerate();
        let live = entries.filter(|(_, waiting)| waiting.can_start(now));
        live.max_by(|a, b| compare_waits(now, a.1, b.1)).map(|(at, _)| at)
    }

    /// The entry of the tenant with the smallest share of its queries served, if any is underserved.
    fn underserved(&self, now: Millis) -> Option<usize> {
        let entries = self.waiting.iter().enumerate();
        let live = entries.filter(|(_, waiting)| waiting.can_start(now));
        let candidates = live.filter(|(_, w)| self.accounts.is_underserved(w.account));
        let served = |waiting: &Waiting| self.accounts.served_fraction(waiting.account);
        let least = candidates.min_by(|a, b| {
            let by_share = served(a.1).total_cmp(&served(b.1));
            by_share.then_with(|| compare_waits(now, b.1, a.1))
        });
        least.map(|(at, _)| at)
    }

    fn take(&mut self, at: usize) -> Waiting {
        let waiting = self.waiting.remove(at);
        self.accounts.close(waiting.account);
        waiting
    }

    fn lose(&mut self, at: usize) -> Entry {
        let waiting = self.take(at);
        self.accounts.record_lost(waiting.account);
        waiting.entry
    }
}

/// Orders by the time that entries have waited: by steps of its fraction, by priority, of which the last is the
/// greater, then by the exact fraction; of equal ones the earlier number is the greater.
fn compare_waits(now: Millis, a: &Waiting, b: &Waiting) -> Ordering {
    let fractions = [a, b].map(|waiting| waited_fraction(now, &waiting.entry));
    let [by_step, by_fraction] = [fractions.map(step), fractions].map(|[a, b]| a.total_cmp(&b));
    let by_priority = a.entry.priority.cmp(&b.entry.priority);
    let by_number = b.entry.number.cmp(&a.entry.number);
    by_step.then(by_priority).then(by_fraction).then(by_number)
}
