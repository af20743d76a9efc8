use crate::socket;
use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Whether a request on a connection has been written, at least in part, and its reply not yet read.
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

/// A connection to an upstream that is reset if it is dropped in the middle of an exchange.
///
/// The operating system goes on delivering what a closed connection still holds: a request that was
/// given up would reach an upstream seconds later, when its caller, or the upstream itself, has left.
pub(crate) struct UpstreamStream {
    stream: TcpStream,
    exchange: Exchange,
}

impl UpstreamStream {
    pub(crate) fn new(stream: TcpStream, exchange: Exchange) -> Self {
        Self { stream, exchange }
    }
}

impl Drop for UpstreamStream {
    fn drop(&mut self) {
        if self.exchange.is_open()
            && let Err(error) = socket::reset_on_close(&self.stream)
        {
            tracing::debug!(%error, "cannot reset the connection of a send that was given up");
        }
    }
}

impl AsyncRead for UpstreamStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for UpstreamStream {
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
        // A shutdown would have the rest of the request delivered before the reset.
        if self.exchange.is_open() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
