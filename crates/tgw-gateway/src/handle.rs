use crate::{
    exchange::{self, Outgoing},
    headers, note, quarantine,
    room::Taken,
    shared::{Phase, Shared},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use std::{rc::Rc, time::Duration};
use tgw_clock::Millis;
use tgw_forward::{
    Plan,
    plan::{self, Answer, Event, Order, Response as Reply},
};
use tgw_quarantine::fingerprint::Content;
use tgw_route::Route;
use tokio::{
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    task::AbortHandle,
    time::{sleep, timeout},
};

/// What a caller is told to wait, in ms, while this VM knows no configuration.
const UNCONFIGURED_RETRY: Millis = Millis::new(300);
/// What a caller is told to wait, in ms, while this VM has no memory for its body: others end meanwhile.
const ROOM_RETRY: Millis = Millis::new(100);

/// Where a request comes from.
#[derive(Copy, Clone, Debug)]
pub(crate) struct From {
    /// The caller, hashed.
    pub(crate) caller: u32,
    /// Its caller opened the connection for it.
    pub(crate) opened: bool,
}

/// Answers one request.
pub(crate) async fn handle(
    shared: Rc<Shared>,
    request: Request<Incoming>,
    from: From,
) -> Response<Full<Bytes>> {
    shared.running.set(shared.running.get() + 1);
    let _running = Running(shared.clone());
    let mut response = match accept(&shared, request, from.caller).await {
        Ok(accepted) => forward(&shared, accepted, from.opened).await,
        Err(refusal) => *refusal,
    };
    if shared.phase() != Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Counts a request for as long as it runs.
struct Running(Rc<Shared>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get().saturating_sub(1));
    }
}

struct Accepted {
    route: Rc<Route>,
    version: u64,
    arrived: Millis,
    patience: Option<Millis>,
    outgoing: Outgoing,
}

type Refusal = Box<Response<Full<Bytes>>>;

async fn accept(
    shared: &Shared,
    request: Request<Incoming>,
    caller: u32,
) -> Result<Accepted, Refusal> {
    let arrived = shared.now();
    let (head, body) = request.into_parts();
    let names = shared.dialect.headers();
    let host = headers::host(&head.uri, &head.headers);
    let (route, version) = {
        let config = shared.config.borrow();
        let known = config.version.filter(|_| shared.evacuations_asked.get());
        let Some(version) = known else {
            note::unconfigured(shared, arrived, text(&head.headers, &names.request));
            return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, Some(UNCONFIGURED_RETRY)));
        };
        let route = config.route(&head.uri, &head.headers).cloned();
        (route, version)
    };
    let Some(route) = route else {
        let path = head.uri.path();
        note::unrouted(shared, arrived, text(&head.headers, &names.request), host, path, version);
        return Err(refuse(StatusCode::NOT_FOUND, None));
    };
    let Some(identity) = head.headers.get(&names.request).cloned() else {
        note::unread(shared, arrived, None, "no identity");
        return Err(refuse(StatusCode::BAD_REQUEST, None));
    };
    let patience =
        text(&head.headers, &names.deadline).and_then(|t| t.parse().ok()).map(Millis::new);
    let within = patience.unwrap_or(route.timeout);
    let (body, held) = read(shared, body, within).await.map_err(|unread| {
        note::unread(shared, arrived, identity.to_str().ok(), unread.cause());
        unread.answer()
    })?;
    let content = Content {
        method: head.method.as_str(),
        host: host.unwrap_or_default(),
        target: head.uri.path_and_query().map_or("", |target| target.as_str()),
        credentials: head.headers.get(header::AUTHORIZATION).map_or(&[], HeaderValue::as_bytes),
        body: &body,
    };
    let print = shared.hasher.request(caller, &content);
    let mut headers = head.headers;
    headers::strip(&mut headers);
    let outgoing = Outgoing {
        method: head.method,
        uri: head.uri,
        headers,
        body,
        _held: held,
        identity,
        print,
        route: Some(route.clone()),
        deadline: Millis::ZERO,
    };
    Ok(Accepted { route, version, arrived, patience, outgoing })
}

/// A body that is held, and the memory that it takes.
type Held = (Bytes, Option<Taken>);

/// Why a body was not read. Nothing was sent for its request.
#[derive(Copy, Clone, Debug)]
enum Unread {
    /// It is longer than the operators allow.
    TooLong,
    /// There is no memory for it now.
    NoRoom,
    /// It ended early or is malformed.
    Broken,
    /// It did not come in time.
    Late,
}

impl Unread {
    fn cause(self) -> &'static str {
        match self {
            Self::TooLong => "body too long",
            Self::NoRoom => "no memory for the body",
            Self::Broken => "body broken",
            Self::Late => "body late",
        }
    }

    fn answer(self) -> Refusal {
        match self {
            Self::TooLong => refuse(StatusCode::PAYLOAD_TOO_LARGE, None),
            Self::NoRoom => refuse(StatusCode::SERVICE_UNAVAILABLE, Some(ROOM_RETRY)),
            Self::Broken => refuse(StatusCode::BAD_REQUEST, None),
            Self::Late => refuse(StatusCode::REQUEST_TIMEOUT, None),
        }
    }
}

async fn read(shared: &Shared, body: Incoming, within: Millis) -> Result<Held, Unread> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let limit = shared.config.borrow().limits.body;
    let stated = body.size_hint().upper().and_then(|size| usize::try_from(size).ok());
    if stated.is_some_and(|size| size > limit) {
        return Err(Unread::TooLong);
    }
    let mut taken = shared.room.take(stated.unwrap_or(limit)).ok_or(Unread::NoRoom)?;
    match timeout(Duration::from(within), Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => {
            let body = body.to_bytes();
            taken.shrink(body.len());
            Ok((body, Some(taken)))
        }
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Unread::TooLong),
        Ok(Err(_)) => Err(Unread::Broken),
        Err(_) => Err(Unread::Late),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &header::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The sends of one request. Dropped before its answer, as when the caller has left, it ends them:
/// upstreams would otherwise work on what nobody waits for.
struct Sends {
    shared: Rc<Shared>,
    request: Rc<Outgoing>,
    ended: UnboundedSender<Event>,
    tasks: Vec<AbortHandle>,
}

impl Sends {
    fn open(shared: Rc<Shared>, request: Rc<Outgoing>) -> (Self, UnboundedReceiver<Event>) {
        // Holds at most one value for each send, which the route's attempts bound.
        let (ended, results) = mpsc::unbounded_channel();
        (Self { shared, request, ended, tasks: Vec::new() }, results)
    }

    fn start(&mut self, order: &Order) {
        let (shared, request) = (self.shared.clone(), self.request.clone());
        let Order { part, ticket, hop, insist, lent, cut, seen, .. } = *order;
        let way = exchange::Way { ticket, hop, insist, lent, cut, seen };
        let ended = self.ended.clone();
        let task = tokio::task::spawn_local(async move {
            let result = exchange::run(shared, way, request).await;
            // Nobody listens once the answer has left.
            let _ = ended.send(Event::Ended { part, upstream: ticket.upstream, ended: result });
        });
        self.tasks.push(task.abort_handle());
    }

    /// Lets the sends that still run finish: closing their connections would cost new ones.
    fn release(mut self) {
        self.tasks.clear();
    }
}

impl Drop for Sends {
    fn drop(&mut self) {
        if !self.tasks.is_empty() {
            note::abandoned(&self.shared, &self.request, self.tasks.len());
        }
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn forward(shared: &Rc<Shared>, accepted: Accepted, opened: bool) -> Response<Full<Bytes>> {
    let Accepted { route, version, arrived, patience, mut outgoing } = accepted;
    let spread = shared.number();
    let print = outgoing.print;
    let options = plan::Options { route: route.clone(), patience, opened, spread, print };
    let mut plan = Plan::new(arrived, &options);
    outgoing.deadline = plan.deadline();
    let outgoing = Rc::new(outgoing);
    let (mut sends, mut results) = Sends::open(shared.clone(), outgoing.clone());
    let mut orders = Vec::new();
    let mut event = Event::Start;
    let answer = loop {
        let now = shared.now();
        let answer = plan.on(now, event, &mut shared.core.borrow_mut(), &mut orders);
        for order in orders.drain(..) {
            note::send(shared, now, &outgoing, &plan, &order);
            sends.start(&order);
        }
        shared.tell_late(now, &plan.take_late());
        for withheld in plan.take_withheld() {
            note::withheld(shared, now, &outgoing, &plan, withheld);
        }
        if let Some(answer) = answer {
            break answer;
        }
        let wake = plan.wake(now);
        event = tokio::select! {
            biased;
            ended = results.recv() => ended.unwrap_or(Event::Tick),
            () = sleep(Duration::from(wake - now)) => {
                let late = shared.now() - wake.max(now);
                shared.core.borrow_mut().margin.fired(late);
                Event::Tick
            }
        };
    };
    sends.release();
    if plan.released() {
        quarantine::answered(shared, print);
    }
    note::answer(shared, &outgoing, &route, version, &plan, &answer);
    respond(shared, answer)
}

fn respond(shared: &Shared, answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Forward(reply) => reply_of(*reply),
        Answer::Merged { seals, missing, body } => {
            let names = shared.dialect.headers();
            let mut response = Response::new(Full::new(body));
            let head = response.headers_mut();
            let seals: Vec<&[u8]> = seals.iter().map(HeaderValue::as_bytes).collect();
            if let Ok(list) = HeaderValue::from_bytes(&seals.join(&b", "[..])) {
                head.insert(names.parts.clone(), list);
            }
            head.insert(names.missing.clone(), HeaderValue::from(missing));
            response
        }
        Answer::Refused { retry_after, .. } => {
            *refuse(StatusCode::SERVICE_UNAVAILABLE, Some(retry_after))
        }
        Answer::Failed(_) => *refuse(StatusCode::BAD_GATEWAY, None),
        Answer::TimedOut => *refuse(StatusCode::GATEWAY_TIMEOUT, None),
    }
}

/// An upstream's reply as the caller gets it.
fn reply_of(reply: Reply) -> Response<Full<Bytes>> {
    // These statuses promise the caller that its request has not run and never will. An upstream
    // that sends one without stating so may have run it, and the caller would repeat it.
    let promise = matches!(
        reply.status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    // A success counts only with its signature; without one it is not known to be whole.
    if promise || (reply.status.is_success() && reply.seal.is_none()) {
        return *refuse(StatusCode::BAD_GATEWAY, None);
    }
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    response
}

fn refuse(status: StatusCode, retry_after: Option<Millis>) -> Refusal {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    let seconds = retry_after.map(|after| format!("{:.3}", after.as_f64() / 1_000.0));
    if let Some(value) = seconds.and_then(|s| HeaderValue::from_str(&s).ok()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    Box::new(response)
}
