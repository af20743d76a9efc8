use crate::{
    configuration::Probe,
    overload,
    tenants::{self, Tenant},
};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time a caller waits for an answer; longer than the deadline that its request states.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Deadline that a request states in its header.
const REQUEST_DEADLINE_MS: u64 = 1_400;

/// Host that requests name.
pub(crate) const HOST: &str = "a.example";

/// Path and query of a query of death: every upstream process that starts to run it ends. There are several, at all shards
/// and at the service of the routes to one upstream by turns.
pub(crate) fn deadly_target(number: u8) -> String {
    match number {
        0 => "/all/deadly".into(),
        _ if number.is_multiple_of(2) => format!("/all/deadly?x={number}"),
        _ => format!("/safe/deadly?x={number}"),
    }
}

/// Route of a request.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// To all shards: one of several searches.
    AllShards(u8),
    /// To one upstream; may be retried.
    Idempotent,
    /// To one upstream; runs at most once.
    AtMostOnce,
    /// To one upstream of the home region; may be retried.
    HomeRegion,
    /// Ends every upstream process that starts to run it: one of several.
    Deadly(u8),
    /// To one upstream, for a tenant that sends more than its limit.
    Limited,
    /// To one upstream, with an API key that no tenant holds.
    UnknownKey,
    /// To all shards, for this one of the tenants of the overload.
    Load(u8),
    /// Tells which configuration a VM acts by.
    Probe(Probe),
}

impl Kind {
    /// Path and query.
    pub(crate) fn target(self) -> String {
        match self {
            Self::AllShards(number) => format!("/all/q?x={}", number + 1),
            Self::Idempotent | Self::Limited | Self::UnknownKey => "/safe/q".into(),
            Self::AtMostOnce => "/once/q".into(),
            Self::HomeRegion => "/home/q".into(),
            Self::Deadly(number) => deadly_target(number),
            Self::Load(_) => "/all/load".into(),
            Self::Probe(probe) => probe.target(),
        }
    }

    /// Value of the header with the API key that the caller presents.
    pub(crate) fn credentials(self) -> String {
        format!("Token {}", self.key())
    }

    /// The API key that the caller presents.
    fn key(self) -> &'static str {
        match self {
            Self::UnknownKey => tenants::UNKNOWN_KEY,
            Self::Probe(probe) => probe.key(),
            _ => self.tenant().key,
        }
    }

    /// The tenant for which the caller sends.
    pub(crate) fn tenant(self) -> &'static Tenant {
        match self {
            Self::Limited => &tenants::LIMITED,
            Self::Load(index) => &overload::LOADS[usize::from(index)].tenant,
            _ => &tenants::USUAL,
        }
    }
}

/// One request and its answer.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) kind: Kind,
    pub(crate) request_id: String,
    pub(crate) elapsed: Duration,
    /// `None` if no complete answer was received.
    pub(crate) answer: Option<Answer>,
    /// Index of the VM that received the request.
    pub(crate) vm: usize,
    pub(crate) sent_at: Instant,
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A caller that reuses its connection until the VM closes it.
pub(crate) struct Caller {
    pub(crate) vm: usize,
    connection: Option<SendRequest<Full<Bytes>>>,
}

/// Exchanges of all callers.
pub(crate) type Exchanges = Rc<RefCell<Vec<Exchange>>>;

impl Caller {
    pub(crate) fn new(vm: usize) -> Self {
        Self { vm, connection: None }
    }

    /// Whether the next request would reuse an open connection.
    pub(crate) fn is_connected(&self) -> bool {
        self.connection.as_ref().is_some_and(|c| !c.is_closed())
    }

    /// Sends one request and records its outcome.
    pub(crate) async fn send(
        &mut self,
        to: SocketAddr,
        kind: Kind,
        request_id: String,
        exchanges: &Exchanges,
    ) {
        let sent_at = Instant::now();
        let answer = timeout(RESPONSE_TIMEOUT, self.exchange(to, kind, &request_id)).await;
        let answer = answer.unwrap_or_default();
        if answer.is_none() {
            self.connection = None;
        }
        let (elapsed, vm) = (sent_at.elapsed(), self.vm);
        exchanges.borrow_mut().push(Exchange { kind, request_id, elapsed, answer, vm, sent_at });
    }

    async fn exchange(&mut self, to: SocketAddr, kind: Kind, request_id: &str) -> Option<Answer> {
        if !self.is_connected() {
            let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await.ok()?.ok()?;
            let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            // A closed connection is detected at the next request.
            tokio::task::spawn_local(async { drop(driver.await) });
            self.connection = Some(sender);
        }
        let connection = self.connection.as_mut()?;
        connection.ready().await.ok()?;
        let (method, body) = match kind {
            Kind::AtMostOnce => (Method::POST, Bytes::from_static(b"order")),
            _ => (Method::GET, Bytes::new()),
        };
        let names = tgw_site_standin::leaf::header_names();
        let request = Request::builder()
            .method(method)
            .uri(kind.target())
            .header("host", HOST)
            .header(names.request_id, request_id)
            .header(names.deadline, REQUEST_DEADLINE_MS)
            .header(header::AUTHORIZATION, kind.credentials())
            .body(Full::new(body))
            .ok()?;
        let response = connection.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Answer { status: head.status, headers: head.headers, body })
    }
}
