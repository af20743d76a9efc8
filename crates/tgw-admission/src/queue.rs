//! Order and fairness among queries that wait for admission.

use std::{collections::VecDeque, rc::Rc};
use tgw_clock::Millis;

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
    /// Its work relative to other queries of the queue.
    pub cost: f64,
}

/// The queries that wait for one limit.
#[derive(Debug, Default)]
pub struct Queue {
    entries: VecDeque<Entry>,
}

impl Queue {
    /// Adds an entry; returns the one that has to leave if the queue is full, which may be the new one.
    pub fn push(&mut self, _now: Millis, entry: Entry) -> Option<Entry> {
        self.entries.push_back(entry);
        None
    }

    /// Removes the entry that is admitted next, and charges its cost to its tenant.
    pub fn pop(&mut self, _now: Millis) -> Option<Entry> {
        self.entries.pop_front()
    }

    /// Removes an entry that no longer waits.
    pub fn remove(&mut self, number: u64) -> Option<Entry> {
        let at = self.entries.iter().position(|entry| entry.number == number)?;
        self.entries.remove(at)
    }

    /// Removes the entries whose time to start has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<Entry> {
        let (kept, expired) = self.entries.drain(..).partition(|entry| now <= entry.start_by);
        self.entries = kept;
        Vec::from(expired)
    }

    /// The cost of the entries that would be admitted before `entry`.
    pub fn cost_ahead(&self, _now: Millis, _entry: &Entry) -> f64 {
        self.entries.iter().map(|entry| entry.cost).sum()
    }

    /// Charges a tenant for a query that was admitted without waiting.
    pub fn record_use(&mut self, _now: Millis, _tenant: Option<&Rc<str>>, _cost: f64) {}

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
