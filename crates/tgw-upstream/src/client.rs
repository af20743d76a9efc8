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

/// Largest reply that is read.
const REPLY_LIMIT: usize = 4 << 20;
/// Time for a connection to be made.
const CONNECT: Millis = Millis::new(1000);
/// Time past a deadline for an upstream to say that it gave up.
const GRACE: Millis = Millis::new(50);

/// One search of one shard.
#[derive(Clone, Debug)]
pub struct Search {
    /// Names the request for its cancellation.
    pub request: u64,
    /// The snapshot to be searched.
    pub snapshot: Snapshot,
    /// The shard to be searched.
    pub shard: Shard,
    /// Time left.
    pub left: Millis,
    /// What is searched for.
    pub body: Bytes,
}

/// What a search brought.
#[derive(Debug)]
pub struct Probe<T> {
    /// The result.
    pub result: T,
    /// The snapshots that the upstream says it holds.
    pub held: Option<HeldSnapshots>,
    /// The life of the upstream's process, if it says.
    pub incarnation: Option<u64>,
}

/// What came of a non-idempotent request.
#[derive(Clone, Debug, PartialEq)]
pub enum Ordered {
    /// The upstream ran it and answered this.
    Ran(Bytes),
    /// The upstream states that it did not run it and will not.
    NotRun,
    /// The request may have been run: it was sent and no certain reply came.
    Unknown,
    /// No byte of the request was sent.
    NotSent,
}

type Connection = SendRequest<Full<Bytes>>;

struct Shared {
    addr: SocketAddr,
    limit: u32,
    open: Cell<u32>,
    opened: Cell<u64>,
    idle: RefCell<Vec<Connection>>,
}

/// The connections to one upstream. Lives on one thread.
#[derive(Clone)]
pub struct Client(Rc<Shared>);

/// Counts a connection for as long as it is open.
struct Counted(Rc<Shared>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}

impl Client {
    /// A client of the upstream at `addr` with at most `limit` connections. Makes none yet.
    pub fn open(addr: SocketAddr, limit: u32) -> Self {
        Self(Rc::new(Shared {
            addr,
            limit,
            open: Cell::new(0),
            opened: Cell::new(0),
            idle: RefCell::new(Vec::new()),
        }))
    }

    /// Connections that are open.
    pub fn connections(&self) -> u32 {
        self.0.open.get()
    }

    /// Connections made since the start.
    pub fn opened(&self) -> u64 {
        self.0.opened.get()
    }

    /// Closes the idle connections, as when the upstream's group is handed over.
    pub fn close_idle(&self) {
        self.0.idle.borrow_mut().clear();
    }

    /// Makes connections until `count` are open, so that no search waits for one.
    pub async fn warm(&self, count: u32) {
        while self.connections() < count.min(self.0.limit) {
            match self.connect().await {
                Ok(connection) => self.put_back(connection),
                Err(_) => return,
            }
        }
    }

    async fn connect(&self) -> Result<Connection, Failure> {
        // The limit holds for all VMs together and is shared out by ownership; one connection too
        // many at each of many VMs would lock an upstream that refuses them all.
        if self.0.open.get() >= self.0.limit {
            return Err(Failure::Connect);
        }
        self.0.open.set(self.0.open.get() + 1);
        let counted = Counted(self.0.clone());
        let stream = timeout(CONNECT.into(), TcpStream::connect(self.0.addr)).await;
        let stream = stream.ok().and_then(Result::ok).ok_or(Failure::Connect)?;
        // Without it, small requests wait for the acknowledgement of the ones before them.
        let _ = stream.set_nodelay(true);
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|_| Failure::Connect)?;
        self.0.opened.set(self.0.opened.get() + 1);
        tokio::task::spawn_local(async move {
            let _counted = counted;
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn take(&self) -> Result<Connection, Failure> {
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

    fn put_back(&self, connection: Connection) {
        if !connection.is_closed() {
            self.0.idle.borrow_mut().push(connection);
        }
    }

    /// Sends one request. Errors say whether the request may have been sent.
    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        limit: Millis,
    ) -> Result<(StatusCode, HeaderMap, Bytes), (bool, Failure)> {
        let mut connection = self.take().await.map_err(|f| (false, f))?;
        let exchange = async {
            let response = connection.send_request(request).await.map_err(|_| Failure::Closed)?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, REPLY_LIMIT).collect().await.map_err(|e| {
                let large = e.is::<LengthLimitError>();
                if large { Failure::Oversized } else { Failure::Malformed }
            })?;
            // The connection reads into one buffer again only if nothing holds on to it.
            let body = Bytes::copy_from_slice(&body.to_bytes());
            Ok((head.status, head.headers, body))
        };
        match timeout(limit.into(), exchange).await {
            Ok(Ok(response)) => {
                self.put_back(connection);
                Ok(response)
            }
            Ok(Err(failure)) => Err((true, failure)),
            Err(_) => Err((true, Failure::Closed)),
        }
    }

    /// Searches one shard.
    pub async fn search(&self, search: &Search) -> Probe<Result<Reply, Failure>> {
        let request = self.request(Method::POST, protocol::SEARCH, search.body.clone(), |r| {
            r.header(protocol::REQUEST, search.request)
                .header(protocol::SNAPSHOT, protocol::write_snapshot(search.snapshot))
                .header(protocol::SHARD, search.shard.0)
                .header(protocol::DEADLINE, search.left.whole())
        });
        let Ok(request) = request else {
            return Probe { result: Err(Failure::Connect), held: None, incarnation: None };
        };
        match self.exchange(request, search.left + GRACE).await {
            Ok((status, headers, body)) => Probe {
                held: reply::held(&headers),
                incarnation: reply::incarnation(&headers),
                result: reply::read(status, &headers, body),
            },
            Err((_, failure)) => Probe { result: Err(failure), held: None, incarnation: None },
        }
    }

    /// Asks the upstream to stop a search.
    pub async fn cancel(&self, request: u64) {
        let built = self.request(Method::POST, protocol::CANCEL, Bytes::new(), |r| {
            r.header(protocol::REQUEST, request)
        });
        if let Ok(request) = built {
            let _ = self.exchange(request, CONNECT).await;
        }
    }

    /// Sends a non-idempotent request, once.
    pub async fn order(&self, key: &str, body: Bytes, left: Millis) -> Ordered {
        let built = self.request(Method::POST, protocol::ORDER, body, |r| {
            r.header(protocol::ORDER_KEY, key).header(protocol::DEADLINE, left.whole())
        });
        let Ok(request) = built else { return Ordered::NotSent };
        match self.exchange(request, left).await {
            Ok((StatusCode::OK, _, body)) => Ordered::Ran(body),
            Ok((_, headers, _)) => match reply::header(&headers, protocol::REASON) {
                Some(protocol::SHED | protocol::DRAINING | protocol::EXPIRED) => Ordered::NotRun,
                _ => Ordered::Unknown,
            },
            Err((false, _)) => Ordered::NotSent,
            Err((true, _)) => Ordered::Unknown,
        }
    }

    /// Asks for the snapshots held; the result tells whether the upstream says that it is leaving.
    pub async fn load(&self, limit: Millis) -> Probe<Result<bool, Failure>> {
        let built = self.request(Method::GET, protocol::LOAD, Bytes::new(), |r| r);
        let Ok(request) = built else {
            return Probe { result: Err(Failure::Connect), held: None, incarnation: None };
        };
        match self.exchange(request, limit).await {
            Ok((_, headers, _)) => Probe {
                held: reply::held(&headers),
                incarnation: reply::incarnation(&headers),
                result: Ok(reply::header(&headers, protocol::REASON) == Some(protocol::DRAINING)),
            },
            Err((_, failure)) => Probe { result: Err(failure), held: None, incarnation: None },
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        with: impl FnOnce(hyper::http::request::Builder) -> hyper::http::request::Builder,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let builder = Request::builder().method(method).uri(path);
        with(builder.header(HOST, HeaderValue::from_static("upstream"))).body(Full::new(body))
    }
}
