use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

/// How long a caller waits for its connection.
const CONNECT: Duration = Duration::from_millis(1_000);
/// How long a caller waits for its answer, beyond what it told the product.
const PATIENCE: Duration = Duration::from_millis(4_000);
/// What a caller tells the product that it waits, in ms.
const DEADLINE_MS: u64 = 1_400;

/// The path of the query under which upstreams end.
pub(crate) const DEADLY: &str = "/all/deadly";

/// What a request is for.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// All shards.
    All,
    /// One upstream, may be repeated.
    Safe,
    /// One upstream, at most once.
    Once,
    /// One upstream of one region, may be repeated.
    Home,
    /// All shards, and each upstream ends that begins to run it.
    Deadly,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::All => "/all/q?x=1",
            Self::Safe => "/safe/q",
            Self::Once => "/once/q",
            Self::Home => "/home/q",
            Self::Deadly => DEADLY,
        }
    }
}

/// One request and its answer.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) kind: Kind,
    pub(crate) identity: String,
    pub(crate) took: Duration,
    /// `None` if no whole answer came.
    pub(crate) answer: Option<Answer>,
    /// The VM that was asked.
    pub(crate) vm: usize,
    pub(crate) sent: Instant,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A caller that keeps its connection until the VM closes it.
pub(crate) struct Caller {
    pub(crate) vm: usize,
    connection: Option<SendRequest<Full<Bytes>>>,
}

/// What all callers saw.
pub(crate) type Seen = Rc<RefCell<Vec<Exchange>>>;

impl Caller {
    pub(crate) fn new(vm: usize) -> Self {
        Self { vm, connection: None }
    }

    /// Whether the next request would go on a kept connection.
    pub(crate) fn connected(&self) -> bool {
        self.connection.as_ref().is_some_and(|c| !c.is_closed())
    }

    /// Sends one request and notes what came of it.
    pub(crate) async fn ask(&mut self, to: SocketAddr, kind: Kind, identity: String, seen: &Seen) {
        let sent = Instant::now();
        let answer = timeout(PATIENCE, self.exchange(to, kind, &identity)).await;
        let answer = answer.unwrap_or_default();
        if answer.is_none() {
            self.connection = None;
        }
        let (took, vm) = (sent.elapsed(), self.vm);
        seen.borrow_mut().push(Exchange { kind, identity, took, answer, vm, sent });
    }

    async fn exchange(&mut self, to: SocketAddr, kind: Kind, identity: &str) -> Option<Answer> {
        if !self.connected() {
            let stream = timeout(CONNECT, TcpStream::connect(to)).await.ok()?.ok()?;
            let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            // Its end shows at the next request.
            tokio::task::spawn_local(async { drop(driver.await) });
            self.connection = Some(sender);
        }
        let connection = self.connection.as_mut()?;
        connection.ready().await.ok()?;
        let (method, body) = match kind {
            Kind::Once => (Method::POST, Bytes::from_static(b"order")),
            Kind::All | Kind::Safe | Kind::Home | Kind::Deadly => (Method::GET, Bytes::new()),
        };
        let names = tgw_site_standin::leaf::names();
        let request = Request::builder()
            .method(method)
            .uri(kind.path())
            .header("host", "a.example")
            .header(names.request_id, identity)
            .header(names.deadline, DEADLINE_MS)
            .body(Full::new(body))
            .ok()?;
        let response = connection.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Answer { status: head.status, headers: head.headers, body })
    }
}
