use crate::{shared::Shared, socket};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};
use tgw_clock::Millis;
use tgw_forward::fleet::Key;
use tokio::{net::TcpStream, time::timeout};

/// Longest time in ms for a connection to be made: above the longest way there and back (40 ms) and
/// the 6 ms that an upstream takes.
const CONNECT_MS: u64 = 250;
/// Time in which an upstream of this failure domain that is full resets a new connection. From another
/// region the reset comes one way there and back later: it is told apart by the connection's being new.
const REFUSAL: Duration = Duration::from_millis(2);
/// Idle time in ms after which a connection is not used again where the upstream states none.
const IDLE_MS: u64 = 4_000;
/// Idle time in ms of connections beyond those that are kept: longer than the gap between bursts.
const EXTRA_IDLE_MS: u64 = 700;
/// Time in ms before the stated idle time at which a connection is not used any more: the
/// upstream's close may be on its way, and a request that crosses it would be lost.
const IDLE_MARGIN_MS: u64 = 800;

/// One connection to an upstream.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// It carried a request before.
    pub(crate) used: bool,
}

struct Idle {
    connection: Connection,
    until: Millis,
}

/// The idle connections to all upstreams.
#[derive(Default)]
pub(crate) struct Pools(RefCell<HashMap<Key, Vec<Idle>>>);

impl Pools {
    /// The connection used last that is still usable.
    pub(crate) fn take(&self, now: Millis, key: Key) -> Option<Connection> {
        let mut pools = self.0.borrow_mut();
        let idle = pools.get_mut(&key)?;
        while let Some(last) = idle.pop() {
            if now < last.until && !last.connection.sender.is_closed() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection after a complete reply; `stated` is the upstream's idle time in s, `keep`
    /// the number of connections that are kept for long.
    pub(crate) fn put(
        &self,
        now: Millis,
        key: Key,
        mut connection: Connection,
        stated: Option<u64>,
        keep: usize,
    ) {
        let mut pools = self.0.borrow_mut();
        let kept = pools.entry(key).or_default();
        let idle = stated.map_or(IDLE_MS, |s| (s * 1_000).saturating_sub(IDLE_MARGIN_MS));
        // Connections of VMs that lost power count at an upstream for seconds more. Where all VMs
        // held all that they may, none could connect after their restart.
        let idle = if kept.len() >= keep { idle.min(EXTRA_IDLE_MS) } else { idle };
        if idle == 0 || connection.sender.is_closed() {
            return;
        }
        connection.used = true;
        let until = now + Millis::new(idle);
        kept.push(Idle { connection, until });
    }

    /// The number of idle connections.
    pub(crate) fn len(&self) -> usize {
        self.0.borrow().values().map(Vec::len).sum()
    }

    /// Closes what is past its idle time.
    pub(crate) fn sweep(&self, now: Millis, known: impl Fn(Key) -> bool) {
        self.0.borrow_mut().retain(|key, idle| {
            idle.retain(|i| now < i.until && !i.connection.sender.is_closed());
            known(*key) && !idle.is_empty()
        });
    }
}

/// Tells the core of a connection for as long as it is open.
struct Open {
    shared: Rc<Shared>,
    key: Key,
}

impl Open {
    fn new(shared: &Rc<Shared>, key: Key) -> Self {
        shared.core.borrow_mut().fleet.opened(key);
        Self { shared: shared.clone(), key }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.shared.core.borrow_mut().fleet.closed(self.key);
    }
}

/// Waits for a reset that follows the making of a connection. Errors: it came.
async fn refused(stream: &TcpStream) -> io::Result<()> {
    // An upstream that holds as many connections as it accepts lets the operating system take one
    // more and resets it. A request sent meanwhile would have to count as one that may have run: it
    // used up its attempts and the budget, and after a restart of all VMs little else was sent.
    match timeout(REFUSAL, stream.readable()).await {
        Err(_) => Ok(()),
        Ok(readable) => {
            readable?;
            match stream.try_read(&mut [0; 1]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
                Err(error) => Err(error),
                Ok(_) => Err(io::ErrorKind::ConnectionReset.into()),
            }
        }
    }
}

/// Makes a connection to the upstream of `key` within `left`.
pub(crate) async fn connect(
    shared: &Rc<Shared>,
    key: Key,
    addr: SocketAddr,
    left: Millis,
) -> io::Result<Connection> {
    let limit: Duration = left.min(Millis::new(CONNECT_MS)).into();
    let stream = timeout(limit, TcpStream::connect(addr)).await??;
    socket::guard(&stream)?;
    refused(&stream).await?;
    let (sender, driver) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    let open = Open::new(shared, key);
    tokio::task::spawn_local(async move {
        let _open = open;
        if let Err(error) = driver.await {
            tracing::debug!(%addr, %error, "connection to an upstream ended");
        }
    });
    Ok(Connection { sender, used: false })
}
