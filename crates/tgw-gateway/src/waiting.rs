use crate::shared::Shared;
use std::{cell::RefCell, collections::HashMap, rc::Rc};
use tgw_forward::Plan;
use tokio::sync::Notify;

/// Queries that wait for admission on this VM, by the number of their ticket.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    queries: RefCell<HashMap<u64, Rc<Notify>>>,
}

/// The wakeups of one query. Dropping it ends them, as when the caller disconnects.
pub(crate) struct Wakeups<'a> {
    waiting: &'a Waiting,
    notify: Rc<Notify>,
    ticket: Option<u64>,
}

impl Waiting {
    /// Opens the wakeups of one query.
    pub(crate) fn open(&self) -> Wakeups<'_> {
        Wakeups { waiting: self, notify: Rc::default(), ticket: None }
    }

    /// Wakes the queries whose decision may have changed.
    pub(crate) fn notify(&self, shared: &Shared) {
        let wakeups = shared.core.borrow_mut().admission.take_wakeups();
        let queries = self.queries.borrow();
        for number in wakeups {
            if let Some(notify) = queries.get(&number) {
                notify.notify_one();
            }
        }
    }
}

impl Wakeups<'_> {
    /// Follows the ticket of a query, which it may have got or lost.
    pub(crate) fn follow(&mut self, plan: &Plan) {
        let ticket = plan.ticket().map(tgw_admission::Ticket::number);
        if ticket == self.ticket {
            return;
        }
        let mut queries = self.waiting.queries.borrow_mut();
        if let Some(number) = self.ticket {
            queries.remove(&number);
        }
        if let Some(number) = ticket {
            queries.insert(number, self.notify.clone());
        }
        self.ticket = ticket;
    }

    /// Waits for the next wakeup.
    pub(crate) async fn next(&self) {
        self.notify.notified().await;
    }
}

impl Drop for Wakeups<'_> {
    fn drop(&mut self) {
        if let Some(number) = self.ticket {
            self.waiting.queries.borrow_mut().remove(&number);
        }
    }
}
