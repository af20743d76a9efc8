use crate::shared::Shared;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};
use tgw_forward::Plan;
use tokio::sync::Notify;

/// For whom this VM makes the sends of a request.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Client {
    /// For a caller of this VM.
    Caller,
    /// For another VM, as its gatherer.
    Vm,
}

/// Queries that wait for admission on this VM, by the number of their ticket.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    queries: RefCell<HashMap<u64, Rc<Notify>>>,
    /// Those of them that are made for other VMs.
    gathered: Cell<usize>,
}

/// The wakeups of one query. Dropping it ends them, as when the caller disconnects.
pub(crate) struct Wakeups<'a> {
    waiting: &'a Waiting,
    notify: Rc<Notify>,
    client: Client,
    ticket: Option<u64>,
}

impl Waiting {
    /// Opens the wakeups of one query.
    pub(crate) fn open(&self, client: Client) -> Wakeups<'_> {
        Wakeups { waiting: self, notify: Rc::default(), client, ticket: None }
    }

    /// The number of queries that wait here.
    pub(crate) fn len(&self) -> usize {
        self.queries.borrow().len()
    }

    /// The number of queries of other VMs that wait here.
    pub(crate) fn gathered(&self) -> usize {
        self.gathered.get()
    }

    fn insert(&self, number: u64, client: Client, notify: Rc<Notify>) {
        self.queries.borrow_mut().insert(number, notify);
        if client == Client::Vm {
            self.gathered.set(self.gathered.get() + 1);
        }
    }

    fn remove(&self, number: u64, client: Client) {
        self.queries.borrow_mut().remove(&number);
        if client == Client::Vm {
            self.gathered.set(self.gathered.get().saturating_sub(1));
        }
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
        if let Some(number) = self.ticket {
            self.waiting.remove(number, self.client);
        }
        if let Some(number) = ticket {
            self.waiting.insert(number, self.client, self.notify.clone());
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
            self.waiting.remove(number, self.client);
        }
    }
}
