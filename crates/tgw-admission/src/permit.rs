use smallvec::SmallVec;
use std::{cell::RefCell, rc::Rc};
use tgw_clock::Millis;

/// What was dropped since the list was last taken.
#[derive(Debug, Default)]
pub(crate) struct Dropped {
    pub(crate) permits: SmallVec<[u64; 4]>,
    pub(crate) tickets: SmallVec<[u64; 4]>,
}

/// The list of dropped permits and tickets of one [`Admission`](crate::Admission).
pub(crate) type DropList = Rc<RefCell<Dropped>>;

/// Allows one query to run. Dropping it without [`Admission::finish`](crate::Admission::finish) releases it without an
/// outcome, as when its caller disconnects.
#[derive(Debug)]
pub struct Permit {
    pub(crate) number: u64,
    pub(crate) list: DropList,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.list.borrow_mut().permits.push(self.number);
    }
}

/// The place of one query in the queue. Dropping it gives the place up.
#[derive(Debug)]
pub struct Ticket {
    pub(crate) number: u64,
    pub(crate) expires_at: Millis,
    pub(crate) list: DropList,
}

impl Ticket {
    /// Identifies the ticket among the wakeups of its VM.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// When it is polled at the latest.
    pub fn expires_at(&self) -> Millis {
        self.expires_at
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.list.borrow_mut().tickets.push(self.number);
    }
}
