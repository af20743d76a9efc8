use crate::{hooked_stream::HookedStream, shared::Shared, socket, upstream_exchange::Exchange};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};
use tgw_clock::Millis;
use tgw_forward::fleet::Key;
use tokio::{net::TcpStream, time::timeout};

/// Timeout for making a connection: longer than the longest round trip (40 ms) plus the 6 ms that
/// an upstream takes.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Time within which an upstream of this failure domain resets a new connection if it has reached
/// its connection limit. From another region the reset comes one round trip later; it is then
/// recognized because the connection is new.
const RESET_WAIT: Duration = Duration::from_millis(2);
/// Idle timeout of a connection if the upstream states none.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 4_000;
/// Idle timeout of connections beyond the number to keep: longer than the gap between bursts.
const EXCESS_IDLE_TIMEOUT_MS: u64 = 700;
/// Time before the stated idle timeout from which a connection is no longer used: the upstream may
/// already be closing it, and a request sent meanwhile would be lost.
const IDLE_MARGIN_MS: u64 = 800;

/// One connection to an upstream.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// The connection has carried a request before.
    pub(crate) used: bool,
    pub(crate) exchange: Exchange,
}

struct Idle {
    connection: Connection,
    expires_at: Millis,
}

/// The idle connections to all upstreams.
#[derive(Default)]
pub(crate) struct Pools(RefCell<HashMap<Key, Vec<Idle>>>);

impl Pools {
    /// The most recently used connection that is still usable.
    pub(crate) fn take(&self, now: Millis, key: Key) -> Option<Connection> {
        let mut pools = self.0.borrow_mut();
        let idle = pools.get_mut(&key)?;
        while let Some(last) = idle.pop() {
            if now < last.expires_at && !last.connection.sender.is_closed() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection after a complete reply. `stated_idle_s` is the upstream's idle timeout in s,
    /// `idle_limit` the number of connections kept for the full idle timeout.
    pub(crate) fn put(
        &self,
        now: Millis,
        key: Key,
        mut connection: Connection,
        stated_idle_s: Option<u64>,
        idle_limit: usize,
    ) {
        let mut pools = self.0.borrow_mut();
        let connections = pools.entry(key).or_default();
        let idle = stated_idle_s
            .map_or(DEFAULT_IDLE_TIMEOUT_MS, |s| (s * 1_000).saturating_sub(IDLE_MARGIN_MS));
        // An upstream counts connections of VMs that lost power for some seconds more. If all VMs
        // held all the connections they may, none could connect after their restart.
        let idle =
            if connections.len() >= idle_limit { idle.min(EXCESS_IDLE_TIMEOUT_MS) } else { idle };
        if idle == 0 || connection.sender.is_closed() {
            return;
        }
        connection.used = true;
        let expires_at = now + Millis::new(idle);
        connections.push(Idle { connection, expires_at });
    }

    /// The number of idle connections.
    pub(crate) fn len(&self) -> usize {
        self.0.borrow().values().map(Vec::len).sum()
    }

    /// Closes connections past their idle timeout.
    pub(crate) fn sweep(&self, now: Millis, is_known: impl Fn(Key) -> bool) {
        self.0.borrow_mut().retain(|key, idle| {
            idle.retain(|i| now < i.expires_at && !i.connection.sender.is_closed());
            is_known(*key) && !idle.is_empty()
        });
    }
}

/// Counts a connection as open in the core until it is dropped.
struct OpenConnection {
    shared: Rc<Shared>,
    key: Key,
}

impl OpenConnection {
    fn new(shared: &Rc<Shared>, key: Key) -> Self {
        shared.core.borrow_mut().fleet.connection_opened(key);
        Self { shared: shared.clone(), key }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.shared.core.borrow_mut().fleet.connection_closed(self.key);
    }
}

/// Waits for a reset that follows a successful connect. Errors: the connection was reset.
async fn detect_reset(stream: &TcpStream) -> io::Result<()> {
    // If an upstream has reached its connection limit, its operating system still accepts one more
    // connection and then resets it. A request sent meanwhile would count as one that may have run:
    // it would use up its attempts and the retry budget, and after a restart of all VMs almost
    // nothing else was sent.
    match timeout(RESET_WAIT, stream.readable()).await {
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

/// Connects to the upstream of `key` within `remaining`.
pub(crate) async fn connect(
    shared: &Rc<Shared>,
    key: Key,
    addr: SocketAddr,
    remaining: Millis,
) -> io::Result<Connection> {
    let limit: Duration = remaining.min(Millis::new(CONNECT_TIMEOUT_MS)).into();
    let stream = timeout(limit, TcpStream::connect(addr)).await??;
    socket::configure(&stream)?;
    detect_reset(&stream).await?;
    let exchange = Exchange::default();
    let stream = TokioIo::new(HookedStream::new(stream, exchange.clone()));
    let (sender, driver) = http1::handshake(stream).await.map_err(io::Error::other)?;
    let open = OpenConnection::new(shared, key);
    tokio::task::spawn_local(async move {
        let _open = open;
        if let Err(error) = driver.await {
            tracing::debug!(%addr, %error, "connection to an upstream ended");
        }
    });
    Ok(Connection { sender, used: false, exchange })
}
