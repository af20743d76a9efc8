use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::AbortHandle,
    time::sleep,
};

/// Buffer size of one read.
const CHUNK_BYTES: usize = 16 << 10;

/// What the proxy does with the bytes it receives.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Forwards them at once.
    #[default]
    Forward,
    /// Forwards each chunk after a delay.
    Delay(Duration),
    /// Forwards requests and drops replies; connections stay open.
    DropReplies,
    /// Drops everything on old and new connections; connections stay open.
    DropAll,
    /// Reads nothing until the mode changes, like a process that stands still: what was sent
    /// meanwhile is forwarded then, also from connections that have been closed.
    Hold,
}

/// Interval at which a connection checks whether it is still held.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(10);

struct State {
    mode: Cell<Mode>,
    /// Number of resets; each change resets all open connections.
    resets: watch::Sender<u64>,
}

/// A listener on loopback that forwards connections to one address.
#[derive(Clone)]
pub(crate) struct Proxy {
    state: Rc<State>,
    addr: SocketAddr,
    task: Rc<Task>,
}

struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Proxy {
    /// Starts a proxy that forwards connections to `to`.
    pub(crate) async fn bind(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let state = Rc::new(State { mode: Cell::default(), resets: watch::Sender::new(0) });
        let inner = state.clone();
        let task = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(forward(inner.clone(), stream, to));
            }
        });
        Ok(Self { state, addr, task: Rc::new(Task(task.abort_handle())) })
    }

    /// The address it listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Handle that stops accepting connections; open ones live until either side closes.
    pub(crate) fn abort_handle(&self) -> AbortHandle {
        self.task.0.clone()
    }

    /// Sets the mode for old and new connections.
    pub(crate) fn set_mode(&self, mode: Mode) {
        self.state.mode.set(mode);
    }

    /// Resets all open connections.
    pub(crate) fn reset_connections(&self) {
        self.state.resets.send_modify(|n| *n += 1);
    }
}

/// Forwards one connection in both directions until both have ended or a reset closes it.
async fn forward(state: Rc<State>, client: TcpStream, to: SocketAddr) {
    let mut resets = state.resets.subscribe();
    let Ok(server) = TcpStream::connect(to).await else { return };
    // Closing with a linger time of zero sends a reset, like a machine that lost the connection's state.
    let linger = client.set_zero_linger().and_then(|()| server.set_zero_linger());
    if linger.is_err() {
        return;
    }
    let ((client_read, client_write), (server_read, server_write)) =
        (client.into_split(), server.into_split());
    let requests = copy(state.clone(), client_read, server_write, false);
    let replies = copy(state.clone(), server_read, client_write, true);
    tokio::select! {
        () = async { tokio::join!(requests, replies); } => {}
        _ = resets.changed() => {}
    }
}

/// Copies bytes in one direction until either side closes.
async fn copy(state: Rc<State>, from: OwnedReadHalf, mut to: OwnedWriteHalf, is_reply: bool) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        while state.mode.get() == Mode::Hold {
            sleep(HOLD_POLL_INTERVAL).await;
        }
        if from.readable().await.is_err() {
            return;
        }
        // The mode may have changed meanwhile: what arrived then is held, too.
        if state.mode.get() == Mode::Hold {
            continue;
        }
        let length = match from.try_read(&mut buffer) {
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(_) => return,
        };
        let mode = state.mode.get();
        if let Mode::Delay(delay) = mode {
            sleep(delay).await;
        }
        let dropped = mode == Mode::DropAll || (mode == Mode::DropReplies && is_reply);
        if dropped {
            // Dropped bytes leave a gap in the stream, so no later bytes of this connection may arrive.
            std::future::pending::<()>().await;
        }
        if length == 0 {
            // Passes on the half-close; the other side may still send.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
