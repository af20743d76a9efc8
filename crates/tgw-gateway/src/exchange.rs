use crate::{
    headers, hop, loss, note,
    pool::{self, Connection},
    room::Taken,
    shared::Shared,
};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use std::{io, rc::Rc, time::Duration};
use tgw_clock::Millis;
use tgw_forward::{
    fleet::{Hop, Ticket},
    merge::Cut,
    plan::{self, Ended},
    upstream::{Entry, Sign},
};
use tgw_quarantine::{Fingerprint, message::Seen};
use tgw_route::Route;
use tokio::time::timeout;

/// Largest reply that is held, in bytes; parts are a few kilobytes.
const REPLY_LIMIT: usize = 1 << 20;

/// A request as its caller sent it, ready to be sent any number of times.
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// End-to-end headers.
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
    /// The memory that the body takes; given back with the request.
    pub(crate) _held: Option<Taken>,
    pub(crate) identity: HeaderValue,
    pub(crate) print: Fingerprint,
    /// Its route as it was when it arrived; `None` where it came from another VM and has none here.
    pub(crate) route: Option<Rc<Route>>,
    pub(crate) deadline: Millis,
}

/// One send. Gives it back to the core when it ended, also when its task was dropped.
pub(crate) struct Sent {
    pub(crate) shared: Rc<Shared>,
    pub(crate) request: Rc<Outgoing>,
    pub(crate) ticket: Ticket,
    /// The upstream as it was when the send began; its entry may be gone when it ends.
    pub(crate) entry: Entry,
    pub(crate) sent: Millis,
    pub(crate) hop: Hop,
    /// It is to be sent also where the upstream is doubted.
    pub(crate) insist: bool,
    /// It is charged to the VM that makes it for this one.
    pub(crate) lent: bool,
    /// What the answer takes of the reply, if not all of it.
    pub(crate) cut: Option<Cut>,
    /// What was known of upstreams that ended under the request.
    pub(crate) seen: Seen,
    sign: Sign,
}

impl Drop for Sent {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.meters.end(self.sign);
        note::ended(&self.shared, &self.request, self, self.sign);
        self.shared.core.borrow_mut().fleet.end(now, self.ticket, self.sign);
        if self.sign == Sign::Reply {
            self.shared.tell_late(now, &[self.ticket.upstream]);
        }
    }
}

/// Why an exchange brought no reply.
enum Fault {
    /// No connection, or it ended before anything was sent.
    Unsent,
    /// The request may not go there, or not now.
    Barred,
    /// The upstream reset a new connection before anything was sent.
    Crowded,
    /// The connection broke, or the reply was cut.
    Broken,
    /// The reply is another request's, or not what its upstream signed.
    Spoiled,
    /// A new connection broke before any reply: the upstream is likely to hold as many as it accepts,
    /// but the request may have run.
    Reset,
}

/// How a send gets to its upstream.
#[derive(Copy, Clone)]
pub(crate) struct Way {
    pub(crate) ticket: Ticket,
    pub(crate) hop: Hop,
    /// It is to be sent also where the upstream is doubted.
    pub(crate) insist: bool,
    /// It is charged to the VM that makes it for this one.
    pub(crate) lent: bool,
    /// What the answer takes of the reply, if not all of it.
    pub(crate) cut: Option<Cut>,
    /// What is known of upstreams that ended under the request.
    pub(crate) seen: Seen,
}

/// Sends a request to the upstream of its ticket and reads its reply.
pub(crate) async fn run(
    shared: Rc<Shared>,
    Way { ticket, hop, insist, lent, cut, seen }: Way,
    request: Rc<Outgoing>,
) -> Ended {
    let entry = shared.core.borrow().fleet.get(ticket.upstream).map(|u| u.entry.clone());
    // Removed between the order and now: nothing was counted for it, nothing is sent.
    let Some(entry) = entry else { return Ended::Unsent };
    let mut sent = Sent {
        shared: shared.clone(),
        request: request.clone(),
        ticket,
        entry,
        sent: shared.now(),
        hop,
        insist,
        lent,
        cut,
        seen,
        sign: Sign::Dropped,
    };
    let left = Duration::from(request.deadline - shared.now());
    let result = match hop {
        Hop::Direct => timeout(left, direct(&sent)).await,
        Hop::Peer => timeout(left, hop::ask(&sent)).await,
    };
    let (sign, ended) = result.unwrap_or((Sign::Silent, Ended::Silent));
    if let Ended::Answered(response) = &ended
        && let Some(load) = response.load
    {
        shared.core.borrow_mut().fleet.loaded(shared.now(), ticket.upstream, load);
    }
    sent.sign = sign;
    ended
}

/// Sends on a connection of this VM.
pub(crate) async fn direct(sent: &Sent) -> (Sign, Ended) {
    note::doubtful(&sent.shared, sent);
    match attempt(sent).await {
        Ok(response) => classify(&sent.shared, sent.ticket, response),
        Err(Fault::Unsent) => (Sign::Unreachable, Ended::Unsent),
        Err(Fault::Barred) => (Sign::Busy, Ended::Busy),
        Err(Fault::Crowded) => (Sign::Crowded, Ended::Unsent),
        Err(Fault::Spoiled) => (Sign::Broken, Ended::Broken),
        Err(Fault::Broken) => (Sign::Broken, broken(sent).await),
        Err(Fault::Reset) => (Sign::Crowded, broken(sent).await),
    }
}

/// What a broken connection was: the end of its upstream, or a lost reply.
async fn broken(sent: &Sent) -> Ended {
    if loss::look(sent).await { Ended::Gone } else { Ended::Broken }
}

async fn attempt(sent: &Sent) -> Result<Response<Bytes>, Fault> {
    let Sent { shared, request, ticket, entry, .. } = sent;
    let expected = HeaderValue::from_str(&entry.id).map_err(|_| Fault::Unsent)?;
    let mut kept = shared.pools.take(shared.now(), ticket.upstream);
    loop {
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => connect(sent).await?,
        };
        if connection.sender.ready().await.is_err() {
            if connection.used {
                continue;
            }
            return Err(Fault::Crowded);
        }
        // A connection may take seconds to be made, and the upstream may have left meanwhile, have become cold, or the
        // request's home regions may have changed: it would reach it long after. Nothing was sent, so that it can go
        // elsewhere.
        if !shared.core.borrow_mut().clear(shared.now(), request.route.as_deref(), *ticket) {
            return Err(Fault::Barred);
        }
        let message = message(shared, request, &expected).map_err(|_| Fault::Unsent)?;
        match connection.sender.try_send_request(message).await {
            Ok(response) => return read(sent, connection, response).await,
            // The library hands the message back only if no byte of it was written, so that a new
            // connection may carry it without running it twice.
            Err(mut error) => {
                if error.take_message().is_none() {
                    return Err(if connection.used { Fault::Broken } else { Fault::Reset });
                }
                if !connection.used {
                    return Err(Fault::Crowded);
                }
            }
        }
    }
}

async fn connect(sent: &Sent) -> Result<Connection, Fault> {
    let Sent { shared, request, ticket, entry, .. } = sent;
    let left = request.deadline - shared.now();
    let error = match pool::connect(shared, ticket.upstream, entry.addr, left).await {
        Ok(connection) => return Ok(connection),
        Err(error) => error,
    };
    tracing::debug!(upstream = &*entry.id, addr = %entry.addr, %error, "no connection");
    let crowded = error.kind() == io::ErrorKind::ConnectionReset;
    Err(if crowded { Fault::Crowded } else { Fault::Unsent })
}

fn message(
    shared: &Shared,
    request: &Outgoing,
    expected: &HeaderValue,
) -> http::Result<Request<Full<Bytes>>> {
    let names = shared.dialect.headers();
    let mut message = Request::builder()
        .method(request.method.clone())
        .uri(request.uri.clone())
        .body(Full::new(request.body.clone()))?;
    let left = (request.deadline - shared.now()).whole().max(1);
    let head = message.headers_mut();
    head.clone_from(&request.headers);
    head.insert(names.deadline.clone(), HeaderValue::from(left));
    head.insert(names.expected.clone(), expected.clone());
    Ok(message)
}

async fn read(
    sent: &Sent,
    connection: Connection,
    response: Response<Incoming>,
) -> Result<Response<Bytes>, Fault> {
    let Sent { shared, request, ticket, .. } = sent;
    let (head, body) = response.into_parts();
    let names = shared.dialect.headers();
    // An upstream may send a second reply late, where the next one is due. The request's identity
    // tells it apart; the connection is closed, as what follows on it belongs to nothing.
    if head.headers.get(&names.request).is_some_and(|echo| *echo != request.identity) {
        return Err(Fault::Spoiled);
    }
    let limited = Limited::new(body, REPLY_LIMIT).collect().await;
    let body = limited.map_err(|_| Fault::Broken)?.to_bytes();
    if head.headers.contains_key(header::CONTENT_ENCODING) {
        return Err(Fault::Spoiled);
    }
    let stated = headers::keep_alive_seconds(&head.headers);
    let keep = shared.core.borrow().keep(ticket.upstream);
    shared.pools.put(shared.now(), ticket.upstream, connection, stated, keep);
    Ok(Response::from_parts(head, body))
}

fn classify(shared: &Shared, ticket: Ticket, response: Response<Bytes>) -> (Sign, Ended) {
    let names = shared.dialect.headers();
    let (mut head, body) = response.into_parts();
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        // Another process has the address: the incarnation that was meant has ended.
        let mut core = shared.core.borrow_mut();
        let id = core.fleet.get(ticket.upstream).map(|u| u.entry.id.clone());
        if let Some(id) = id {
            core.fleet.remove(&id);
            tracing::info!(upstream = %id, cause = "another incarnation answered", "upstream removed");
        }
        return (Sign::Shed, Ended::Declined);
    }
    let load = head.headers.remove(&names.load).and_then(|value| shared.dialect.load(&value));
    if head.headers.contains_key(&names.declined) {
        return (Sign::Shed, Ended::Declined);
    }
    let seal = head.headers.get(&names.seal).cloned();
    headers::strip(&mut head.headers);
    judge(plan::Response { status: head.status, headers: head.headers, seal, load, body })
}

/// What a complete reply tells of its upstream.
pub(crate) fn judge(response: plan::Response) -> (Sign, Ended) {
    let failed = response.status.is_server_error() || !response.good();
    let sign = if failed { Sign::Failure } else { Sign::Reply };
    (sign, Ended::Answered(Box::new(response)))
}
