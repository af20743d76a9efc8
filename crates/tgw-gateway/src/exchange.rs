use crate::{
    broken, codec,
    headers::{self, EndToEnd},
    hop,
    memory::Reservation,
    pool::{self, Connection},
    shared::Shared,
    telemetry,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::{cell::Cell, io, rc::Rc, time::Duration};
use tgw_clock::Millis;
use tgw_forward::{
    fleet::{Hop, Ticket},
    merge::PartLimits,
    plan::{self, SendResult},
    upstream::{Entry, SendOutcome},
};
use tgw_quarantine::{Fingerprint, message::Rounds};
use tgw_route::Route;
use tgw_tenant::Principal;
use tokio::time::timeout;

/// Largest reply that is buffered; parts of an answer are a few kilobytes.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// A request as received from its caller, which can be sent any number of times.
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: EndToEnd,
    pub(crate) body: Bytes,
    /// The memory reserved for the body, released when the request is dropped.
    pub(crate) _memory: Option<Reservation>,
    pub(crate) identity: HeaderValue,
    pub(crate) fingerprint: Fingerprint,
    /// The route at the time the request arrived; `None` if another VM sent the request and this VM
    /// has no route for it.
    pub(crate) route: Option<Rc<Route>>,
    /// Who it is made for; `None` if it needed no API key.
    pub(crate) principal: Option<Principal>,
    pub(crate) deadline: Millis,
}

impl OutgoingRequest {
    /// The headers for upstreams, but for those that differ from send to send. What this product says comes last.
    /// Errors: the tenant's name is no value of a header.
    pub(crate) fn head(&self, names: &codec::Headers) -> http::Result<HeaderMap> {
        let mut head = (*self.headers).clone();
        head.insert(names.request_id.clone(), self.identity.clone());
        if let Some(principal) = &self.principal {
            head.insert(names.tenant.clone(), HeaderValue::from_str(&principal.tenant)?);
        }
        Ok(head)
    }
}

/// One send in progress. Dropping it reports the outcome to the core, also when its task was
/// cancelled.
pub(crate) struct ActiveSend {
    pub(crate) shared: Rc<Shared>,
    pub(crate) request: Rc<OutgoingRequest>,
    pub(crate) ticket: Ticket,
    /// The upstream's entry when the send began; the fleet may have removed it by the end of the
    /// send.
    pub(crate) entry: Entry,
    pub(crate) started_at: Millis,
    /// When the request was written; `None` before, or if another VM writes it.
    pub(crate) written_at: Cell<Option<Millis>>,
    pub(crate) hop: Hop,
    /// A fallback send: made even if the upstream is suspected.
    pub(crate) fallback: bool,
    /// The send counts against the retry budget of the VM that makes it, because this VM's is used
    /// up.
    pub(crate) host_charged: bool,
    /// Limits on how much of the reply the answer uses; `None` if it uses all of it.
    pub(crate) part_limits: Option<PartLimits>,
    /// What was known at the start of the send about upstreams that ended under this request.
    pub(crate) seen: Rounds,
    outcome: SendOutcome,
}

impl Drop for ActiveSend {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.metrics.count_send_end(self.outcome);
        telemetry::send_ended(&self.shared, &self.request, self, self.outcome);
        self.shared.core.borrow_mut().fleet.record_outcome(now, self.ticket, self.outcome);
        if self.outcome == SendOutcome::Reply {
            self.shared.queue_reports(now, &[self.ticket.upstream]);
        }
    }
}

/// Why a send brought no reply.
enum Failure {
    /// No connection could be made, or it ended before anything was sent.
    Unsent,
    /// The request must not be sent to this upstream, or not at this time.
    Disallowed,
    /// The upstream reset a new connection before anything was sent.
    ConnectionLimit,
    /// The connection broke, or the reply was truncated.
    Broken,
    /// The reply belongs to another request, or is not in the form that its upstream signed.
    InvalidReply,
    /// A new connection broke before any reply. The upstream has probably reached its connection
    /// limit, but the request may have run.
    NewConnectionBroken,
}

/// How a request is sent to its upstream.
#[derive(Copy, Clone)]
pub(crate) struct Options {
    pub(crate) ticket: Ticket,
    pub(crate) hop: Hop,
    /// A fallback send: made even if the upstream is suspected.
    pub(crate) fallback: bool,
    /// The send counts against the retry budget of the VM that makes it, because this VM's is used
    /// up.
    pub(crate) host_charged: bool,
    /// Limits on how much of the reply the answer uses; `None` if it uses all of it.
    pub(crate) part_limits: Option<PartLimits>,
    /// What is known about upstreams that ended under this request.
    pub(crate) seen: Rounds,
}

/// Sends a request to the upstream of its ticket and reads the reply.
pub(crate) async fn run(
    shared: Rc<Shared>,
    Options { ticket, hop, fallback, host_charged, part_limits, seen }: Options,
    request: Rc<OutgoingRequest>,
) -> SendResult {
    let entry = shared.core.borrow().fleet.get(ticket.upstream).map(|u| u.entry.clone());
    // The upstream was removed after the send was ordered: nothing was counted for it and nothing
    // is sent.
    let Some(entry) = entry else { return SendResult::NotConnected };
    let mut send = ActiveSend {
        shared: shared.clone(),
        request: request.clone(),
        ticket,
        entry,
        started_at: shared.now(),
        written_at: Cell::new(None),
        hop,
        fallback,
        host_charged,
        part_limits,
        seen,
        outcome: SendOutcome::Abandoned,
    };
    let remaining = Duration::from(request.deadline - shared.now());
    let result = match hop {
        Hop::Direct => timeout(remaining, send_directly(&send)).await,
        Hop::Peer => timeout(remaining, hop::send_via_peer(&send)).await,
    };
    let (outcome, result) = result.unwrap_or((SendOutcome::TimedOut, SendResult::TimedOut));
    if let SendResult::Answered(response) = &result
        && let Some(load) = response.load
    {
        shared.core.borrow_mut().fleet.record_load(shared.now(), ticket.upstream, load);
    }
    send.outcome = outcome;
    result
}

/// Sends on a connection of this VM.
pub(crate) async fn send_directly(send: &ActiveSend) -> (SendOutcome, SendResult) {
    telemetry::send_to_retained(&send.shared, send);
    match try_send(send).await {
        Ok(response) => classify_response(&send.shared, send.ticket, response),
        Err(Failure::Unsent) => (SendOutcome::Unreachable, SendResult::NotConnected),
        Err(Failure::Disallowed) => (SendOutcome::PeerRefused, SendResult::PeerRefused),
        Err(Failure::ConnectionLimit) => (SendOutcome::ConnectionLimit, SendResult::NotConnected),
        Err(Failure::InvalidReply) => (SendOutcome::Broken, SendResult::Broken),
        Err(Failure::Broken) => (SendOutcome::Broken, diagnose_break(send).await),
        Err(Failure::NewConnectionBroken) => {
            (SendOutcome::ConnectionLimit, diagnose_break(send).await)
        }
    }
}

/// Finds out whether a broken connection means that the upstream ended or only that the reply was
/// lost.
async fn diagnose_break(send: &ActiveSend) -> SendResult {
    if broken::has_upstream_ended(send).await { SendResult::Terminated } else { SendResult::Broken }
}

async fn try_send(send: &ActiveSend) -> Result<Response<Bytes>, Failure> {
    let ActiveSend { shared, request, ticket, entry, .. } = send;
    let expected = HeaderValue::from_str(&entry.id).map_err(|_| Failure::Unsent)?;
    let mut idle = shared.pools.take(shared.now(), ticket.upstream);
    loop {
        let mut connection = match idle.take() {
            Some(connection) => connection,
            None => connect(send).await?,
        };
        if connection.sender.ready().await.is_err() {
            if connection.used {
                continue;
            }
            return Err(Failure::ConnectionLimit);
        }
        // Connecting may take seconds. Meanwhile the upstream may have left or become cold, the
        // request's home regions may have changed or its API key been revoked, so the permission to
        // send is checked again. As nothing was sent, the request can still go to another upstream.
        if !shared.permits(request.principal.as_ref()) {
            return Err(Failure::Disallowed);
        }
        if !shared.core.borrow_mut().authorize_write(
            shared.now(),
            request.route.as_deref(),
            *ticket,
        ) {
            return Err(Failure::Disallowed);
        }
        send.written_at.set(Some(shared.now()));
        let message = build_message(shared, request, &expected).map_err(|_| Failure::Unsent)?;
        connection.exchange.begin();
        match connection.sender.try_send_request(message).await {
            Ok(response) => return read_reply(send, connection, response).await,
            // Hyper returns the message only if no byte of it was written, so it can be sent on a
            // new connection without running twice.
            Err(mut error) => {
                if error.take_message().is_none() {
                    return Err(if connection.used {
                        Failure::Broken
                    } else {
                        Failure::NewConnectionBroken
                    });
                }
                if !connection.used {
                    return Err(Failure::ConnectionLimit);
                }
            }
        }
    }
}

async fn connect(send: &ActiveSend) -> Result<Connection, Failure> {
    let ActiveSend { shared, request, ticket, entry, .. } = send;
    let remaining = request.deadline - shared.now();
    let error = match pool::connect(shared, ticket.upstream, entry.addr, remaining).await {
        Ok(connection) => return Ok(connection),
        Err(error) => error,
    };
    tracing::debug!(upstream = &*entry.id, addr = %entry.addr, %error,
        "cannot connect to upstream");
    let limit_reached = error.kind() == io::ErrorKind::ConnectionReset;
    Err(if limit_reached { Failure::ConnectionLimit } else { Failure::Unsent })
}

fn build_message(
    shared: &Shared,
    request: &OutgoingRequest,
    expected: &HeaderValue,
) -> http::Result<Request<Full<Bytes>>> {
    let names = shared.codec.headers();
    let mut message = Request::builder()
        .method(request.method.clone())
        .uri(request.uri.clone())
        .body(Full::new(request.body.clone()))?;
    let remaining = (request.deadline - shared.now()).as_whole_ms().max(1);
    let head = message.headers_mut();
    *head = request.head(names)?;
    head.insert(names.deadline.clone(), HeaderValue::from(remaining));
    head.insert(names.expected_incarnation.clone(), expected.clone());
    Ok(message)
}

async fn read_reply(
    send: &ActiveSend,
    connection: Connection,
    response: Response<Incoming>,
) -> Result<Response<Bytes>, Failure> {
    let ActiveSend { shared, request, ticket, .. } = send;
    connection.exchange.head_read();
    let (head, body) = response.into_parts();
    let names = shared.codec.headers();
    // An upstream may send a second reply late, in place of the next one. The echoed request
    // identifier reveals this. The connection is closed, because whatever follows on it cannot be
    // assigned to a request.
    if head.headers.get(&names.request_id).is_some_and(|echo| *echo != request.identity) {
        return Err(Failure::InvalidReply);
    }
    let limited = Limited::new(body, MAX_REPLY_BYTES).collect().await;
    let body = limited.map_err(|_| Failure::Broken)?.to_bytes();
    connection.exchange.end();
    if head.headers.contains_key(header::CONTENT_ENCODING) {
        return Err(Failure::InvalidReply);
    }
    let stated = headers::keep_alive_seconds(&head.headers);
    let idle_limit = shared.core.borrow().idle_connection_limit(ticket.upstream);
    shared.pools.put(shared.now(), ticket.upstream, connection, stated, idle_limit);
    Ok(Response::from_parts(head, body))
}

fn classify_response(
    shared: &Shared,
    ticket: Ticket,
    response: Response<Bytes>,
) -> (SendOutcome, SendResult) {
    let names = shared.codec.headers();
    let (mut head, body) = response.into_parts();
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        // Another process has taken over the address: the expected incarnation has ended.
        let mut core = shared.core.borrow_mut();
        let id = core.fleet.get(ticket.upstream).map(|u| u.entry.id.clone());
        if let Some(id) = id {
            core.fleet.remove(&id);
            tracing::info!(upstream = %id, cause = "another incarnation answered", "upstream removed");
            drop(core);
            telemetry::upstream_changes(shared);
        }
        return (SendOutcome::Shed, SendResult::Declined);
    }
    let load = head.headers.remove(&names.load).and_then(|value| shared.codec.decode_load(&value));
    if head.headers.contains_key(&names.not_executed) {
        return (SendOutcome::Shed, SendResult::Declined);
    }
    let signature = head.headers.get(&names.signature).cloned();
    headers::strip(&mut head.headers);
    classify_reply(plan::Response {
        status: head.status,
        headers: head.headers,
        signature,
        load,
        body,
    })
}

/// Classifies a complete reply as success or failure of its upstream.
pub(crate) fn classify_reply(response: plan::Response) -> (SendOutcome, SendResult) {
    let failed = response.status.is_server_error() || !response.is_signed_success();
    let outcome = if failed { SendOutcome::Failure } else { SendOutcome::Reply };
    (outcome, SendResult::Answered(Box::new(response)))
}
