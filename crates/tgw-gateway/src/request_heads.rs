use crate::{hooked_stream::Hook, shared::Shared};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};
use tgw_clock::Millis;
use tokio::sync::Notify;

/// Progress of the request head that a caller is sending.
///
/// Hyper has a single timeout for idle kept-alive connections and for incomplete heads. Operators
/// set the two apart: a caller may stay idle for long, but one that sends one byte of a head every
/// few seconds occupies a connection and its buffer for nothing.
#[derive(Debug, Default)]
pub(crate) struct Head {
    state: Cell<State>,
    /// Notified when the connection is to be closed.
    pub(crate) overdue: Notify,
}

#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
enum State {
    /// Nothing was received since the last answer.
    #[default]
    Idle,
    /// A head is being received, since the given time.
    Receiving(Millis),
    /// The head is complete; what follows is the request's body.
    Answering,
}

impl Head {
    /// Records that the head is complete.
    pub(crate) fn mark_complete(&self) {
        self.state.set(State::Answering);
    }

    /// Records that the request was answered.
    pub(crate) fn mark_answered(&self) {
        self.state.set(State::Idle);
    }

    fn bytes_received(&self, now: impl FnOnce() -> Millis) {
        if self.state.get() == State::Idle {
            self.state.set(State::Receiving(now()));
        }
    }

    fn is_overdue(&self, now: Millis, limit: Millis) -> bool {
        matches!(self.state.get(), State::Receiving(since) if now - since > limit)
    }
}

/// The request heads of all callers' connections.
#[derive(Debug, Default)]
pub(crate) struct RequestHeads {
    next: Cell<u64>,
    open: RefCell<HashMap<u64, Rc<Head>>>,
}

/// Registration of one connection in [`RequestHeads`].
pub(crate) struct Registration<'a> {
    heads: &'a RequestHeads,
    number: u64,
    pub(crate) head: Rc<Head>,
}

impl RequestHeads {
    /// Registers a connection until the result is dropped.
    pub(crate) fn register(&self) -> Registration<'_> {
        let number = self.next.get();
        self.next.set(number + 1);
        let head = Rc::new(Head::default());
        self.open.borrow_mut().insert(number, head.clone());
        Registration { heads: self, number, head }
    }

    /// Closes the connections whose head has taken longer than `limit` and returns their number.
    pub(crate) fn sweep(&self, now: Millis, limit: Millis) -> usize {
        let open = self.open.borrow();
        let overdue = open.values().filter(|head| head.is_overdue(now, limit));
        overdue.inspect(|head| head.overdue.notify_one()).count()
    }
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.heads.open.borrow_mut().remove(&self.number);
    }
}

/// Records when a request head begins on a caller's connection.
pub(crate) struct HeadTimer {
    pub(crate) head: Rc<Head>,
    pub(crate) shared: Rc<Shared>,
}

impl Hook for HeadTimer {
    fn bytes_read(&self, _bytes: usize) {
        self.head.bytes_received(|| self.shared.now());
    }
}
