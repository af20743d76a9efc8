use crate::{
    messages::{Completion, CoreMessage, Order, Search},
    metrics::{Gauges, Metrics},
};
use axum::{
    Json, Router,
    body::Body,
    extract::{Path, Request, State},
    http::{HeaderMap, HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use bytes::Bytes;
use opentelemetry::KeyValue;
use serde_json::json;
use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tgw_clock::Millis;
use tgw_order::Outcome;
use tgw_query::{
    Answer,
    answer::{Refusal, RefusalReason},
};
use tgw_ring::Sender;
use tokio::sync::oneshot;

/// Largest length of the label that a caller may give to a query.
const MAX_LABEL_BYTES: usize = 64;
/// The header that carries an order's idempotency key.
const ORDER_KEY_HEADER: &str = "idempotency-key";
/// Delay before a retry that is reported to the caller of an order that was not run.
const ORDER_RETRY_AFTER_MS: Millis = Millis::new(1000);
/// Delay before a retry that is reported while the ring to the core is full.
const RING_FULL_RETRY_AFTER_MS: Millis = Millis::new(100);

/// State shared by the handlers.
pub(crate) struct Callers {
    pub(crate) core: Sender<CoreMessage>,
    pub(crate) gauges: Arc<Gauges>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) body_limit: usize,
    pub(crate) read_timeout: Duration,
}

/// The routes for callers.
pub(crate) fn router(callers: Arc<Callers>) -> Router {
    Router::new()
        .route("/v1/{service}/search", post(search))
        .route("/v1/{service}/order", post(order))
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(readiness))
        .with_state(callers)
}

async fn readiness(State(callers): State<Arc<Callers>>) -> Response {
    if callers.gauges.accepting() {
        "ready".into_response()
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready").into_response()
    }
}

async fn search(
    State(callers): State<Arc<Callers>>,
    Path(service): Path<String>,
    request: Request,
) -> Response {
    let (head, body) = request.into_parts();
    let input = match Input::read(&callers, &head.headers, body).await {
        Ok(input) => input,
        Err(error) => return error.into_response(),
    };
    let Input { timeout, label, body } = input;
    let (reply, receiver) = oneshot::channel();
    let search = Search { service: service.clone(), timeout, label: label.clone(), body, reply };
    if callers.core.push(CoreMessage::Search(search)).is_err() {
        // The ring to the core is full. Nothing was sent for this query, so it is safe to report that it
        // was not run.
        let refusal =
            Refusal { reason: RefusalReason::Busy, retry_after: RING_FULL_RETRY_AFTER_MS };
        return refusal_response(&callers, &service, &refusal);
    }
    match receiver.await {
        Ok(Completion::Answer(answer)) => {
            answer_response(&callers, &service, &answer, label.as_deref())
        }
        Ok(Completion::Refusal(refusal)) => refusal_response(&callers, &service, &refusal),
        Ok(Completion::Ordered(_) | Completion::InvalidKey(_)) | Err(_) => {
            error_response(StatusCode::INTERNAL_SERVER_ERROR, "process", "the process is stopping")
        }
    }
}

async fn order(
    State(callers): State<Arc<Callers>>,
    Path(service): Path<String>,
    request: Request,
) -> Response {
    let (head, body) = request.into_parts();
    let key = head.headers.get(ORDER_KEY_HEADER).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let Some(key) = key else {
        let text = tgw_order::key::Error::Malformed.to_string();
        return error_response(StatusCode::BAD_REQUEST, ORDER_KEY_HEADER, &text);
    };
    let Input { timeout, body, .. } = match Input::read(&callers, &head.headers, body).await {
        Ok(input) => input,
        Err(error) => return error.into_response(),
    };
    let (reply, receiver) = oneshot::channel();
    let now_s = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let order = Order { service: service.clone(), key, now_s, timeout, body, reply };
    if callers.core.push(CoreMessage::Order(order)).is_err() {
        let refusal =
            Refusal { reason: RefusalReason::Busy, retry_after: RING_FULL_RETRY_AFTER_MS };
        return refusal_response(&callers, &service, &refusal);
    }
    match receiver.await {
        Ok(Completion::Ordered(outcome)) => order_response(&outcome),
        Ok(Completion::Refusal(refusal)) => refusal_response(&callers, &service, &refusal),
        Ok(Completion::InvalidKey(error)) => {
            let status = match error {
                tgw_order::key::Error::Expired => StatusCode::GONE,
                _ => StatusCode::BAD_REQUEST,
            };
            error_response(status, ORDER_KEY_HEADER, &error.to_string())
        }
        // The process is stopping and the outcome is not known.
        Ok(Completion::Answer(_)) | Err(_) => order_response(&Outcome::Unknown),
    }
}

fn order_response(outcome: &Outcome) -> Response {
    let status = match outcome {
        Outcome::Ran { .. } => StatusCode::OK,
        Outcome::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
    };
    let body = match outcome {
        Outcome::Ran { result } => {
            let result = serde_json::from_str(result).unwrap_or_else(|_| json!(result));
            json!({ "outcome": "ran", "result": result })
        }
        Outcome::NotRun { reason } => json!({
            "outcome": "not_run",
            "reason": reason,
            "retry_after_ms": ORDER_RETRY_AFTER_MS.as_whole_ms(),
        }),
        Outcome::Unknown => json!({ "outcome": "unknown" }),
    };
    (status, Json(body)).into_response()
}

/// The parsed input of a search or an order.
struct Input {
    timeout: Option<Millis>,
    /// The caller's own name for a query, from the header `x-query-id`; the answer returns it. Not used
    /// for orders.
    label: Option<String>,
    body: Bytes,
}

/// Why a request is invalid, and which field causes it.
struct InvalidRequest {
    status: StatusCode,
    field: &'static str,
    text: String,
}

impl IntoResponse for InvalidRequest {
    fn into_response(self) -> Response {
        error_response(self.status, self.field, &self.text)
    }
}

impl Input {
    async fn read(
        callers: &Callers,
        headers: &HeaderMap,
        body: Body,
    ) -> Result<Self, InvalidRequest> {
        let invalid = |field, text: &str| InvalidRequest {
            status: StatusCode::BAD_REQUEST,
            field,
            text: text.into(),
        };
        let timeout = match headers.get("x-deadline-ms") {
            None => None,
            Some(value) => {
                let ms = value.to_str().ok().and_then(|v| v.parse::<u64>().ok()).filter(|v| *v > 0);
                let text = "a whole number of milliseconds above zero is expected";
                Some(Millis::new(ms.ok_or_else(|| invalid("x-deadline-ms", text))?))
            }
        };
        let label = match headers.get("x-query-id") {
            None => None,
            Some(value) => {
                let text =
                    value.to_str().ok().filter(|v| !v.is_empty() && v.len() <= MAX_LABEL_BYTES);
                let text = text.filter(|t| t.chars().all(|c| c.is_ascii_graphic()));
                let expected = "1 to 64 printable ASCII characters are expected";
                Some(text.ok_or_else(|| invalid("x-query-id", expected))?.to_owned())
            }
        };
        let reading = axum::body::to_bytes(body, callers.body_limit);
        let read = tokio::time::timeout(callers.read_timeout, reading).await;
        let body = match read {
            Err(_) => {
                let text = "the body did not arrive in time".into();
                return Err(InvalidRequest {
                    status: StatusCode::REQUEST_TIMEOUT,
                    field: "body",
                    text,
                });
            }
            Ok(Err(_)) => {
                let text = format!("the body is larger than {} bytes", callers.body_limit);
                return Err(InvalidRequest {
                    status: StatusCode::PAYLOAD_TOO_LARGE,
                    field: "body",
                    text,
                });
            }
            Ok(Ok(body)) => body,
        };
        if let Err(e) = serde_json::from_slice::<serde::de::IgnoredAny>(&body) {
            return Err(invalid("body", &format!("not JSON: {e}")));
        }
        Ok(Self { timeout, label, body })
    }
}

fn error_response(status: StatusCode, field: &str, text: &str) -> Response {
    let body = json!({ "outcome": "not_run", "reason": "bad_request", "field": field,
        "message": text });
    (status, Json(body)).into_response()
}

fn refusal_response(callers: &Callers, service: &str, refusal: &Refusal) -> Response {
    callers.metrics.record_refusal(service, &refusal.reason.to_string());
    let status = match refusal.reason {
        RefusalReason::UnknownService | RefusalReason::NoOrders => StatusCode::NOT_FOUND,
        RefusalReason::Busy => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::NotReady
        | RefusalReason::Deadline
        | RefusalReason::Draining
        | RefusalReason::NoSnapshot => StatusCode::SERVICE_UNAVAILABLE,
    };
    let after = refusal.retry_after.as_whole_ms();
    let reason = refusal.reason.to_string();
    let body = json!({ "outcome": "not_run", "reason": reason, "retry_after_ms": after });
    let mut response = (status, Json(body)).into_response();
    let seconds = HeaderValue::from(after.div_ceil(1000));
    response.headers_mut().insert(header::RETRY_AFTER, seconds);
    response
}

fn answer_response(
    callers: &Callers,
    service: &str,
    answer: &Answer,
    label: Option<&str>,
) -> Response {
    let labels = [KeyValue::new("service", service.to_owned())];
    callers.metrics.latency.record(answer.elapsed.as_f64(), &labels);
    callers.metrics.coverage.record(answer.coverage.ratio(), &labels);
    let status =
        if answer.meets_least_coverage { StatusCode::OK } else { StatusCode::GATEWAY_TIMEOUT };
    let json = HeaderValue::from_static("application/json");
    (status, [(header::CONTENT_TYPE, json)], encode_answer(answer, label)).into_response()
}

/// The answer as JSON. The shards' arrays are joined as text; they were validated on receipt.
fn encode_answer(answer: &Answer, label: Option<&str>) -> Vec<u8> {
    let missing: Vec<_> = answer
        .coverage
        .missing
        .iter()
        .map(|(shard, reason)| json!({ "shard": shard.0, "reason": reason }))
        .collect();
    let query = label.map_or_else(|| answer.query.to_string(), str::to_owned);
    let mut head = json!({
        "query_id": query,
        "snapshot": { "version": answer.snapshot.version, "layout": answer.snapshot.layout.0 },
        "coverage": {
            "shards": answer.coverage.shards,
            "answered": answer.coverage.answered,
            "missing": missing,
        },
        "took_ms": (answer.elapsed.as_f64() * 1000.0).round() / 1000.0,
    });
    if !answer.meets_least_coverage {
        head["outcome"] = json!("short");
        head["reason"] = json!("least_coverage");
    }
    let mut text = head.to_string().into_bytes();
    text.pop();
    text.extend_from_slice(b",\"items\":[");
    let mut first = true;
    for (_, items) in &answer.items {
        let inner = items.trim_ascii();
        let inner = inner.strip_prefix(b"[").and_then(|i| i.strip_suffix(b"]")).unwrap_or_default();
        let inner = inner.trim_ascii();
        if inner.is_empty() {
            continue;
        }
        if !std::mem::take(&mut first) {
            text.push(b',');
        }
        text.extend_from_slice(inner);
    }
    text.extend_from_slice(b"]}");
    text
}
