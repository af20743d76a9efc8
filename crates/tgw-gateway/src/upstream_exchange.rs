use crate::{hooked_stream::Hook, socket};
use std::{cell::Cell, io, rc::Rc};
use tokio::net::TcpStream;

/// Bytes that may be read before the head of a reply is complete, and one read more. Interim answers are part of it: the
/// library reads on as long as there are any, so an upstream that sends them without end would keep this VM's thread.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Progress of a request on a connection, from its first written byte until its reply has been read.
///
/// A connection that is dropped in the middle of an exchange is reset: the operating system goes on
/// delivering what a closed connection still holds, and a request that was given up would reach an
/// upstream seconds later, when its caller, or the upstream itself, has left.
#[derive(Clone, Debug, Default)]
pub(crate) struct Exchange(Rc<Cell<Progress>>);

#[derive(Copy, Clone, Debug, Default)]
enum Progress {
    /// No request is written, and no reply expected.
    #[default]
    Idle,
    /// The head of the reply is expected, of which this many bytes were read.
    Head(usize),
    /// The body of the reply is read.
    Body,
}

impl Exchange {
    /// A request is about to be written.
    pub(crate) fn begin(&self) {
        self.0.set(Progress::Head(0));
    }

    /// The head of the reply is complete.
    pub(crate) fn head_read(&self) {
        self.0.set(Progress::Body);
    }

    /// The reply is complete.
    pub(crate) fn end(&self) {
        self.0.set(Progress::Idle);
    }

    fn is_open(&self) -> bool {
        !matches!(self.0.get(), Progress::Idle)
    }
}

impl Hook for Exchange {
    fn may_read(&self) -> io::Result<()> {
        match self.0.get() {
            Progress::Head(bytes) if bytes >= MAX_HEAD_BYTES => {
                Err(io::Error::new(io::ErrorKind::InvalidData, "the head of a reply has no end"))
            }
            _ => Ok(()),
        }
    }

    fn bytes_read(&self, bytes: usize) {
        if let Progress::Head(before) = self.0.get() {
            self.0.set(Progress::Head(before + bytes));
        }
    }

    /// A shutdown would have the rest of the request delivered before the reset.
    fn skips_shutdown(&self) -> bool {
        self.is_open()
    }

    fn closing(&self, stream: &TcpStream) {
        if self.is_open()
            && let Err(error) = socket::reset_on_close(stream)
        {
            tracing::debug!(%error, "cannot reset the connection of a send that was given up");
        }
    }
}
