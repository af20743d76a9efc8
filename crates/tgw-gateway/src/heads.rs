use crate::shared::Shared;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};
use tgw_clock::Millis;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

/// The head that a caller is sending.
///
/// The HTTP library has one time-out for a kept connection that rests and for a head that does not end.
/// Operators set them apart: a caller may rest for long, but one that sends a byte of a head each few
/// seconds holds a connection and its buffer for nothing.
#[derive(Debug, Default)]
pub(crate) struct Head {
    state: Cell<State>,
    /// Its connection is to be closed.
    pub(crate) overdue: Notify,
}

#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
enum State {
    /// Nothing came since the last answer.
    #[default]
    Resting,
    /// A head has been coming since then.
    Coming(Millis),
    /// The head is complete; what comes is the request's body.
    Answering,
}

impl Head {
    /// The head is complete.
    pub(crate) fn complete(&self) {
        self.state.set(State::Answering);
    }

    /// The request was answered.
    pub(crate) fn answered(&self) {
        self.state.set(State::Resting);
    }

    fn came(&self, now: impl FnOnce() -> Millis) {
        if self.state.get() == State::Resting {
            self.state.set(State::Coming(now()));
        }
    }

    fn late(&self, now: Millis, limit: Millis) -> bool {
        matches!(self.state.get(), State::Coming(since) if now - since > limit)
    }
}

/// The heads of all callers' connections.
#[derive(Debug, Default)]
pub(crate) struct Heads {
    next: Cell<u64>,
    open: RefCell<HashMap<u64, Rc<Head>>>,
}

/// One connection's place among [`Heads`].
pub(crate) struct Watched<'a> {
    heads: &'a Heads,
    number: u64,
    pub(crate) head: Rc<Head>,
}

impl Heads {
    /// Watches one more connection until the result is dropped.
    pub(crate) fn watch(&self) -> Watched<'_> {
        let number = self.next.get();
        self.next.set(number + 1);
        let head = Rc::new(Head::default());
        self.open.borrow_mut().insert(number, head.clone());
        Watched { heads: self, number, head }
    }

    /// Ends the connections whose head has taken longer than `limit`; returns how many.
    pub(crate) fn sweep(&self, now: Millis, limit: Millis) -> usize {
        let open = self.open.borrow();
        let late = open.values().filter(|head| head.late(now, limit));
        late.inspect(|head| head.overdue.notify_one()).count()
    }
}

impl Drop for Watched<'_> {
    fn drop(&mut self) {
        self.heads.open.borrow_mut().remove(&self.number);
    }
}

/// A caller's connection that notes when a head begins.
pub(crate) struct Timed {
    pub(crate) stream: TcpStream,
    pub(crate) head: Rc<Head>,
    pub(crate) shared: Rc<Shared>,
}

impl AsyncRead for Timed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled {
            self.head.came(|| self.shared.now());
        }
        result
    }
}

impl AsyncWrite for Timed {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
