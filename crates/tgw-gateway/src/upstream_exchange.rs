use crate::{hooked_stream::Hook, socket};
use std::{cell::Cell, rc::Rc};
use tokio::net::TcpStream;

/// Whether a request on a connection has been written, at least in part, and its reply not yet read.
///
/// A connection that is dropped in the middle of an exchange is reset: the operating system goes on
/// delivering what a closed connection still holds, and a request that was given up would reach an
/// upstream seconds later, when its caller, or the upstream itself, has left.
#[derive(Clone, Debug, Default)]
pub(crate) struct Exchange(Rc<Cell<bool>>);

impl Exchange {
    pub(crate) fn begin(&self) {
        self.0.set(true);
    }

    pub(crate) fn end(&self) {
        self.0.set(false);
    }

    fn is_open(&self) -> bool {
        self.0.get()
    }
}

impl Hook for Exchange {
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
