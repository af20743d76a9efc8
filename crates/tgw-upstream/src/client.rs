use crate::{protocol, reply};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Request, StatusCode,
    client::conn::http1::{self, SendRequest},
    header::{HOST, HeaderValue},
};
use hyper_util::rt::TokioIo;
use std::{cell::Cell, cell::RefCell, net::SocketAddr, rc::Rc};
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Failure, HeldSnapshots, Reply};
use tgw_topology::{Shard, Snapshot};
use tokio::{net::TcpStream, time::timeout};

/// Largest reply body that is accepted.
const MAX_REPLY_BYTES: usize = 4 << 20;
/// Time limit for establishing a connection.
const CONNECT_TIMEOUT_MS: Millis = Millis::new(1000);
/// Time after the deadline in which an upstream may still reply that the deadline passed.
const DEADLINE_GRACE_MS: Millis = Millis::new(50);

/// A search request for one shard.
#[derive(Clone, Debug)]
pub struct Search {
    /// Identifies the request, so that it can be cancelled.
    pub request_id: u64,
    /// The snapshot to search.
    pub snapshot: Snapshot,
    /// The shard to search.
    pub shard: Shard,
    /// Time until the deadline.
    pub time_left: Millis,
    /// The query, sent as the request's body.
    pub body: Bytes,
}

/// The result of a request, with what the upstream reports about itself.
#[derive(Debug)]
pub struct Response<T> {
    /// The decoded reply, or why there is none.
    pub result: T,
    /// The snapshots that the upstream holds; `None` if the reply does not list them.
    pub held_snapshots: Option<HeldSnapshots>,
    /// The incarnation of the upstream's process; `None` if the reply does not state it.
    pub incarnation: Option<u64>,
}

/// The outcome of a non-idempotent request.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderOutcome {
    /// The upstream executed the request; its reply body.
    Ran(Bytes),
    /// The upstream states that it has not executed the request and will not.
    NotRun,
    /// The request may have been executed: it was sent, but no reply says whether it was.
    Unknown,
    /// No byte of the request was sent.
    NotSent,
}

type Connection = SendRequest<Full<Bytes>>;

struct Pool {
    addr: SocketAddr,
    max_connections: u32,
    open: Cell<u32>,
    opened: Cell<u64>,
    idle: RefCell<Vec<Connection>>,
}

/// The connection pool of one upstream. Must stay on one thread.
#[derive(Clone)]
pub struct Client(Rc<Pool>);

/// Counts a connection as open until dropped.
struct ConnectionGuard(Rc<Pool>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}

impl Client {
    /// Creates a client of the upstream at `addr` with at most `limit` connections. Connects on first use.
    pub fn new(addr: SocketAddr, limit: u32) -> Self {
        Self(Rc::new(Pool {
            addr,
            max_connections: limit,
            open: Cell::new(0),
            opened: Cell::new(0),
            idle: RefCell::new(Vec::new()),
        }))
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> u32 {
        self.0.open.get()
    }

    /// Number of connections established since the client was created.
    pub fn connections_opened(&self) -> u64 {
        self.0.opened.get()
    }

    /// Closes the idle connections, for example when another VM takes over the upstream's group.
    pub fn close_idle(&self) {
        self.0.idle.borrow_mut().clear();
    }

    /// Opens connections until `count` are open, so that no search waits for a handshake.
    pub async fn prewarm(&self, count: u32) {
        while self.open_connections() < count.min(self.0.max_connections) {
            match self.connect().await {
                Ok(connection) => self.release(connection),
                Err(_) => return,
            }
        }
    }

    async fn connect(&self) -> Result<Connection, Failure> {
        // The limit applies to all VMs together and is divided among them by ownership. If each of
        // many VMs opened one connection too many, the upstream would refuse all of them.
        if self.0.open.get() >= self.0.max_connections {
            return Err(Failure::Connect);
        }
        self.0.open.set(self.0.open.get() + 1);
        let guard = ConnectionGuard(self.0.clone());
        let stream = timeout(CONNECT_TIMEOUT_MS.into(), TcpStream::connect(self.0.addr)).await;
        let stream = stream.ok().and_then(Result::ok).ok_or(Failure::Connect)?;
        // With Nagle's algorithm, a small request would wait for the acknowledgement of the previous one.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| Failure::Connect)?;
        self.0.opened.set(self.0.opened.get() + 1);
        tokio::task::spawn_local(async move {
            let _guard = guard;
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn acquire(&self) -> Result<Connection, Failure> {
        loop {
            let idle = self.0.idle.borrow_mut().pop();
            match idle {
                Some(connection) if connection.is_closed() => {}
                Some(mut connection) => {
                    if connection.ready().await.is_ok() {
                        return Ok(connection);
                    }
                }
                None => return self.connect().await,
            }
        }
    }

    fn release(&self, connection: Connection) {
        if !connection.is_closed() {
            self.0.idle.borrow_mut().push(connection);
        }
    }

    /// Sends one request. The flag of an error tells whether the request may have been sent.
    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        limit: Millis,
    ) -> Result<(StatusCode, HeaderMap, Bytes), (bool, Failure)> {
        let mut connection = self.acquire().await.map_err(|f| (false, f))?;
        let exchange = async {
            let response = connection.send_request(request).await.map_err(|_| Failure::Closed)?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_REPLY_BYTES).collect().await.map_err(|e| {
                let too_large = e.is::<LengthLimitError>();
                if too_large { Failure::Oversized } else { Failure::Malformed }
            })?;
            // The connection can reuse its read buffer only if no reference to it is kept.
            let body = Bytes::copy_from_slice(&body.to_bytes());
            Ok((head.status, head.headers, body))
        };
        match timeout(limit.into(), exchange).await {
            Ok(Ok(response)) => {
                self.release(connection);
                Ok(response)
            }
            Ok(Err(failure)) => Err((true, failure)),
            Err(_) => Err((true, Failure::Closed)),
        }
    }

    /// Sends a search of one shard.
    pub async fn search(&self, search: &Search) -> Response<Result<Reply, Failure>> {
        let request = self.request(Method::POST, protocol::SEARCH, search.body.clone(), |r| {
            r.header(protocol::REQUEST_ID, search.request_id)
                .header(protocol::SNAPSHOT, protocol::write_snapshot(search.snapshot))
                .header(protocol::SHARD, search.shard.0)
                .header(protocol::DEADLINE, search.time_left.as_whole_ms())
        });
        let Ok(request) = request else {
            return Response {
                result: Err(Failure::Connect),
                held_snapshots: None,
                incarnation: None,
            };
        };
        match self.exchange(request, search.time_left + DEADLINE_GRACE_MS).await {
            Ok((status, headers, body)) => Response {
                held_snapshots: reply::held_snapshots(&headers),
                incarnation: reply::incarnation(&headers),
                result: reply::decode(status, &headers, body),
            },
            Err((_, failure)) => {
                Response { result: Err(failure), held_snapshots: None, incarnation: None }
            }
        }
    }

    /// Asks the upstream to cancel a search.
    pub async fn cancel(&self, request: u64) {
        let built = self.request(Method::POST, protocol::CANCEL, Bytes::new(), |r| {
            r.header(protocol::REQUEST_ID, request)
        });
        if let Ok(request) = built {
            let _ = self.exchange(request, CONNECT_TIMEOUT_MS).await;
        }
    }

    /// Sends a non-idempotent request without retries.
    pub async fn order(&self, key: &str, body: Bytes, left: Millis) -> OrderOutcome {
        let built = self.request(Method::POST, protocol::ORDER, body, |r| {
            r.header(protocol::ORDER_KEY, key).header(protocol::DEADLINE, left.as_whole_ms())
        });
        let Ok(request) = built else { return OrderOutcome::NotSent };
        match self.exchange(request, left).await {
            Ok((StatusCode::OK, _, body)) => OrderOutcome::Ran(body),
            Ok((_, headers, _)) => match reply::header(&headers, protocol::REASON) {
                Some(protocol::SHED | protocol::DRAINING | protocol::EXPIRED) => {
                    OrderOutcome::NotRun
                }
                _ => OrderOutcome::Unknown,
            },
            Err((false, _)) => OrderOutcome::NotSent,
            Err((true, _)) => OrderOutcome::Unknown,
        }
    }

    /// Requests the load report with the snapshots held; the result is whether the upstream is draining.
    pub async fn load(&self, limit: Millis) -> Response<Result<bool, Failure>> {
        let built = self.request(Method::GET, protocol::LOAD, Bytes::new(), |r| r);
        let Ok(request) = built else {
            return Response {
                result: Err(Failure::Connect),
                held_snapshots: None,
                incarnation: None,
            };
        };
        match self.exchange(request, limit).await {
            Ok((_, headers, _)) => Response {
                held_snapshots: reply::held_snapshots(&headers),
                incarnation: reply::incarnation(&headers),
                result: Ok(reply::header(&headers, protocol::REASON) == Some(protocol::DRAINING)),
            },
            Err((_, failure)) => {
                Response { result: Err(failure), held_snapshots: None, incarnation: None }
            }
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        add_headers: impl FnOnce(hyper::http::request::Builder) -> hyper::http::request::Builder,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let builder = Request::builder().method(method).uri(path);
        add_headers(builder.header(HOST, HeaderValue::from_static("upstream")))
            .body(Full::new(body))
    }
}
