use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// What the owner of a connection does at its events.
pub(crate) trait Hook: Unpin {
    /// Whether more may be read. Errors: the peer has sent more than it may; the connection ends.
    fn may_read(&self) -> io::Result<()> {
        Ok(())
    }

    /// This many bytes were read.
    fn bytes_read(&self, _bytes: usize) {}

    /// Whether to leave out the orderly shutdown before the connection is closed.
    fn skips_shutdown(&self) -> bool {
        false
    }

    /// The connection is about to be closed.
    fn closing(&self, _stream: &TcpStream) {}
}

/// A connection with a hook.
pub(crate) struct HookedStream<H: Hook> {
    stream: TcpStream,
    hook: H,
}

impl<H: Hook> HookedStream<H> {
    pub(crate) fn new(stream: TcpStream, hook: H) -> Self {
        Self { stream, hook }
    }
}

impl<H: Hook> Drop for HookedStream<H> {
    fn drop(&mut self) {
        self.hook.closing(&self.stream);
    }
}

impl<H: Hook> AsyncRead for HookedStream<H> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.hook.may_read()?;
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - filled;
        if bytes > 0 {
            self.hook.bytes_read(bytes);
        }
        result
    }
}

impl<H: Hook> AsyncWrite for HookedStream<H> {
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
        if self.hook.skips_shutdown() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
