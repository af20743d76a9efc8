use crate::{Decision, Outcome, Permit, Query, Reply, Ticket, permit::DropList};
use smallvec::SmallVec;
use std::rc::Rc;
use tgw_clock::Millis;

/// Decides on the queries of one VM.
#[derive(Debug, Default)]
pub struct Admission {
    dropped: DropList,
    next_number: u64,
}

impl Admission {
    /// Decides on a query over `services` before anything is sent.
    pub fn request(&mut self, _now: Millis, _query: Query, _services: &[Rc<str>]) -> Decision {
        self.collect_dropped();
        self.next_number += 1;
        Decision::Admitted(Permit { number: self.next_number, list: self.dropped.clone() })
    }

    /// Decides on a query that waits.
    pub fn poll(&mut self, _now: Millis, ticket: Ticket) -> Decision {
        self.collect_dropped();
        Decision::Queued(ticket)
    }

    /// Takes the end of an admitted query.
    pub fn finish(&mut self, _now: Millis, permit: Permit, _outcome: Outcome) {
        drop(permit);
        self.collect_dropped();
    }

    /// Takes the numbers of the tickets that are to be polled.
    pub fn take_wakeups(&mut self) -> SmallVec<[u64; 4]> {
        self.collect_dropped();
        SmallVec::new()
    }

    /// Records the reply to a part.
    pub fn record_reply(&mut self, _now: Millis, _reply: &Reply<'_>) {}

    /// Records that an upstream of a service shed a part.
    pub fn record_shed(&mut self, _now: Millis, _service: &str) {}

    /// Whether queries compete for upstreams: hedges and retries that an answer does not need are not made.
    pub fn is_overloaded(&self, _now: Millis) -> bool {
        false
    }

    fn collect_dropped(&mut self) {
        let mut dropped = self.dropped.borrow_mut();
        dropped.permits.clear();
        dropped.tickets.clear();
    }
}
