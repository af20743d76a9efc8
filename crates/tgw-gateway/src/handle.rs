use crate::{
    admission::{self, Admitted, RefusalKind},
    authentication::{self, Identity},
    drive,
    exchange::OutgoingRequest,
    gather,
    headers::{self, EndToEnd},
    memory::Reservation,
    shared::{Phase, Shared},
    telemetry,
    waiting::Client,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use std::{rc::Rc, time::Duration};
use tgw_clock::Millis;
use tgw_forward::plan::{self, Answer, Response as Reply};
use tgw_quarantine::fingerprint::Content;
use tgw_route::Route;
use tokio::time::timeout;

/// Retry delay sent to a caller while this VM has no configuration.
const UNCONFIGURED_RETRY_MS: Millis = Millis::new(300);
/// Retry delay sent to a caller while this VM has no memory for its body; other requests end
/// meanwhile and release theirs.
const MEMORY_RETRY_MS: Millis = Millis::new(100);

/// Origin of a request.
#[derive(Copy, Clone, Debug)]
pub(crate) struct Origin {
    /// Hash of the caller's address.
    pub(crate) caller: u32,
    /// The request is the first one on its connection.
    pub(crate) first_on_connection: bool,
}

/// Answers one request.
pub(crate) async fn handle(
    shared: Rc<Shared>,
    request: Request<Incoming>,
    origin: Origin,
) -> Response<Full<Bytes>> {
    shared.running.set(shared.running.get() + 1);
    let _running = Running(shared.clone());
    let mut response = match accept(&shared, request, origin.caller).await {
        Ok(accepted) => forward(&shared, accepted, origin.first_on_connection).await,
        Err(refusal) => *refusal,
    };
    if shared.phase() != Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Counts a request as running until it is dropped.
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
    caller_timeout: Option<Millis>,
    outgoing: OutgoingRequest,
    /// The token of its tenant's limit; `None` without a limit.
    admitted: Option<Admitted>,
}

type Refusal = Box<Response<Full<Bytes>>>;

/// Finds the route of a caller's request and reads its body, before anything is sent to an upstream.
/// Errors: the response that refuses the request.
async fn accept(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    caller: u32,
) -> Result<Accepted, Refusal> {
    let arrived = shared.now();
    let (mut head, body) = request.into_parts();
    let names = shared.codec.headers();
    if let Some(cause) = headers::ambiguity(&head.headers, names) {
        let id = header_text(&head.headers, &names.request_id);
        telemetry::request_unread(shared, arrived, id, cause);
        return Err(refuse(StatusCode::BAD_REQUEST, None));
    }
    let host = headers::host(&head.uri, &head.headers);
    let (route, version) = {
        let config = shared.config.borrow();
        let known = config.version.filter(|_| shared.evacuations_checked.get());
        let Some(version) = known else {
            telemetry::request_unconfigured(
                shared,
                arrived,
                header_text(&head.headers, &names.request_id),
            );
            return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, Some(UNCONFIGURED_RETRY_MS)));
        };
        let route = config.route(&head.uri, &head.headers).cloned();
        (route, version)
    };
    let Some(route) = route else {
        let path = head.uri.path();
        telemetry::request_unrouted(
            shared,
            arrived,
            header_text(&head.headers, &names.request_id),
            host,
            path,
            version,
        );
        return Err(refuse(StatusCode::NOT_FOUND, None));
    };
    let Some(identity) = head.headers.get(&names.request_id).cloned() else {
        telemetry::request_unread(shared, arrived, None, "no identity");
        return Err(refuse(StatusCode::BAD_REQUEST, None));
    };
    let credentials = head.headers.get(header::AUTHORIZATION).cloned();
    let authenticated = authentication::authenticate(shared, &route, &mut head.headers).await;
    let tenant = authenticated.map_err(|error| {
        telemetry::request_unauthenticated(shared, arrived, identity.to_str().ok(), error, version);
        refuse_unauthenticated(error)
    })?;
    let route = match &tenant {
        Some(identity) => route.restricted_to(&identity.tenant.residency),
        None => route,
    };
    let caller_timeout =
        header_text(&head.headers, &names.deadline).and_then(|t| t.parse().ok()).map(Millis::new);
    let time_limit = caller_timeout.unwrap_or(route.timeout);
    let (body, memory) = read_body(shared, body, time_limit).await.map_err(|body_error| {
        telemetry::request_unread(shared, arrived, identity.to_str().ok(), body_error.cause());
        body_error.response()
    })?;
    let content = Content {
        method: head.method.as_str(),
        host: headers::host(&head.uri, &head.headers).unwrap_or_default(),
        target: head.uri.path_and_query().map_or("", |target| target.as_str()),
        credentials: credentials.as_ref().map_or(&[], HeaderValue::as_bytes),
        body: &body,
    };
    let fingerprint = shared.hasher.fingerprint(caller, &content);
    let headers = EndToEnd::reduce(head.headers, names);
    let admitted = admit(shared, tenant.as_ref(), arrived, &identity).await?;
    let principal = tenant.map(|t| t.principal);
    let outgoing = OutgoingRequest {
        method: head.method,
        uri: head.uri,
        headers,
        body,
        _memory: memory,
        identity,
        fingerprint,
        route: Some(route.clone()),
        principal,
        deadline: Millis::ZERO,
    };
    Ok(Accepted { route, version, arrived, caller_timeout, outgoing, admitted })
}

fn refuse_unauthenticated(error: authentication::Error) -> Refusal {
    match error {
        authentication::Error::UnknownKey => refuse(StatusCode::UNAUTHORIZED, None),
        authentication::Error::Unverified => {
            refuse(StatusCode::SERVICE_UNAVAILABLE, Some(UNCONFIGURED_RETRY_MS))
        }
    }
}

/// Admits a request within its tenant's limit. Errors: the response that refuses it.
async fn admit(
    shared: &Rc<Shared>,
    identity: Option<&Identity>,
    arrived: Millis,
    request: &HeaderValue,
) -> Result<Option<Admitted>, Refusal> {
    let Some(Identity { tenant, .. }) = identity else { return Ok(None) };
    admission::admit(shared, tenant).await.map_err(|refusal| {
        telemetry::request_not_admitted(shared, arrived, request, &tenant.name, refusal);
        let status = match refusal.kind {
            RefusalKind::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            RefusalKind::Undecided => StatusCode::SERVICE_UNAVAILABLE,
        };
        refuse(status, Some(refusal.retry_after))
    })
}

/// A buffered body and the memory reserved for it.
type BufferedBody = (Bytes, Option<Reservation>);

/// Why a body could not be read. Nothing was sent for its request.
#[derive(Copy, Clone, Debug)]
enum BodyError {
    /// The body exceeds the limit set by the operators.
    TooLong,
    /// There is no memory for it at the moment.
    NoMemory,
    /// The body ended early or is malformed.
    Broken,
    /// The body did not arrive in time.
    TimedOut,
}

impl BodyError {
    fn cause(self) -> &'static str {
        match self {
            Self::TooLong => "body too long",
            Self::NoMemory => "no memory for the body",
            Self::Broken => "body broken",
            Self::TimedOut => "body late",
        }
    }

    fn response(self) -> Refusal {
        match self {
            Self::TooLong => refuse(StatusCode::PAYLOAD_TOO_LARGE, None),
            Self::NoMemory => refuse(StatusCode::SERVICE_UNAVAILABLE, Some(MEMORY_RETRY_MS)),
            Self::Broken => refuse(StatusCode::BAD_REQUEST, None),
            Self::TimedOut => refuse(StatusCode::REQUEST_TIMEOUT, None),
        }
    }
}

async fn read_body(
    shared: &Shared,
    body: Incoming,
    time_limit: Millis,
) -> Result<BufferedBody, BodyError> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let limit = shared.config.borrow().limits.max_body_bytes;
    let stated = body.size_hint().upper().and_then(|size| usize::try_from(size).ok());
    if stated.is_some_and(|size| size > limit) {
        return Err(BodyError::TooLong);
    }
    let mut reservation =
        shared.memory.reserve(stated.unwrap_or(limit)).ok_or(BodyError::NoMemory)?;
    match timeout(Duration::from(time_limit), Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => {
            let body = body.to_bytes();
            reservation.shrink(body.len());
            Ok((body, Some(reservation)))
        }
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Ok(Err(_)) => Err(BodyError::Broken),
        Err(_) => Err(BodyError::TimedOut),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &header::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

async fn forward(
    shared: &Rc<Shared>,
    accepted: Accepted,
    first_on_connection: bool,
) -> Response<Full<Bytes>> {
    let Accepted { route, version, arrived, caller_timeout, outgoing, admitted } = accepted;
    let options = plan::Options {
        route: route.clone(),
        caller_timeout,
        new_connection: first_on_connection,
        retry_spread: shared.next_number(),
        priority: shared.priority(&route, outgoing.principal.as_ref()),
        tenant: outgoing.principal.as_ref().map(|principal| principal.tenant.clone()),
        fingerprint: outgoing.fingerprint,
    };
    let principal = outgoing.principal.clone();
    let handed_over = gather::hand_over(shared, &outgoing, &options, arrived).await;
    let answer = match handed_over {
        Some(answer) => answer,
        None => {
            let run = drive::run(shared, outgoing, arrived, &options, Client::Caller).await;
            telemetry::request_answered(shared, &run, &route, version);
            run.answer
        }
    };
    if let Some(admitted) = admitted.filter(|_| matches!(answer, Answer::Refused { .. })) {
        admitted.give_back();
    }
    let is_success = matches!(answer, Answer::Forward(_) | Answer::Merged { .. });
    if !is_success && !shared.permits(principal.as_ref()) {
        return *refuse(StatusCode::UNAUTHORIZED, None);
    }
    respond(shared, answer)
}

fn respond(shared: &Shared, answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Forward(reply) => response_from_reply(*reply),
        Answer::Merged { signatures, missing, body } => {
            let names = shared.codec.headers();
            let mut response = Response::new(Full::new(body));
            let head = response.headers_mut();
            let signatures: Vec<&[u8]> = signatures.iter().map(HeaderValue::as_bytes).collect();
            if let Ok(list) = HeaderValue::from_bytes(&signatures.join(&b", "[..])) {
                head.insert(names.part_signatures.clone(), list);
            }
            head.insert(names.missing_parts.clone(), HeaderValue::from(missing));
            response
        }
        Answer::Refused { retry_after, .. } => {
            *refuse(StatusCode::SERVICE_UNAVAILABLE, Some(retry_after))
        }
        Answer::Failed(_) => *refuse(StatusCode::BAD_GATEWAY, None),
        Answer::TimedOut => *refuse(StatusCode::GATEWAY_TIMEOUT, None),
    }
}

/// Turns an upstream's reply into the response to the caller.
fn response_from_reply(reply: Reply) -> Response<Full<Bytes>> {
    // These statuses promise the caller that its request did not run and never will. An upstream
    // that uses one without stating so explicitly may have run the request, and the caller would
    // repeat it.
    let promises_not_run = matches!(
        reply.status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    // A successful reply needs its signature; without one it may be truncated.
    if promises_not_run || (reply.status.is_success() && reply.signature.is_none()) {
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
