use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::AbortHandle,
    time::sleep,
};

/// Bytes that are passed on at once.
const CHUNK: usize = 16 << 10;

/// What happens to bytes on a way.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Way {
    /// They pass.
    #[default]
    Open,
    /// They pass late.
    Slow(Duration),
    /// Requests pass, replies are lost without a word.
    Deaf,
    /// Nothing passes, on old and new connections, without a word.
    Silent,
}

struct State {
    way: Cell<Way>,
    /// Connections of an earlier number are reset.
    resets: watch::Sender<u64>,
}

/// A listener on loopback that passes connections on to one address.
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
    /// Passes connections on to `to`.
    pub(crate) async fn bind(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let state = Rc::new(State { way: Cell::default(), resets: watch::Sender::new(0) });
        let inner = state.clone();
        let task = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(pass(inner.clone(), stream, to));
            }
        });
        Ok(Self { state, addr, task: Rc::new(Task(task.abort_handle())) })
    }

    /// Where it listens.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Ends it: connections that it holds end with either side, and it takes no more.
    pub(crate) fn task(&self) -> AbortHandle {
        self.task.0.clone()
    }

    /// Bends the way.
    pub(crate) fn set(&self, way: Way) {
        self.state.way.set(way);
    }

    /// Resets all connections.
    pub(crate) fn reset(&self) {
        self.state.resets.send_modify(|n| *n += 1);
    }
}

async fn pass(state: Rc<State>, near: TcpStream, to: SocketAddr) {
    let mut resets = state.resets.subscribe();
    let Ok(far) = TcpStream::connect(to).await else { return };
    // Closing with lingering off sends a reset, as a machine that forgot the connection does.
    let lingers = near.set_zero_linger().and_then(|()| far.set_zero_linger());
    if lingers.is_err() {
        return;
    }
    let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
    let requests = copy(state.clone(), near_read, far_write, false);
    let replies = copy(state.clone(), far_read, near_write, true);
    tokio::select! {
        () = async { tokio::join!(requests, replies); } => {}
        _ = resets.changed() => {}
    }
}

/// Passes bytes on until one side ends.
async fn copy(state: Rc<State>, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, replies: bool) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(length) = from.read(&mut buffer).await {
        let way = state.way.get();
        if let Way::Slow(by) = way {
            sleep(by).await;
        }
        let lost = way == Way::Silent || (way == Way::Deaf && replies);
        if lost {
            // What was lost leaves a hole: nothing later on this connection may arrive either.
            std::future::pending::<()>().await;
        }
        if length == 0 {
            // The other side learns of the end, and may still send.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
