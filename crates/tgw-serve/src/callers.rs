use crate::{
    metrics::{Gauges, Metrics},
    work::{Order, Said, Search, Work},
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

/// Longest label that a caller may give its query.
const LABEL_LIMIT: usize = 64;
/// The header that carries an order's key.
const KEY: &str = "idempotency-key";
/// What the caller of an order that was not run is told to wait.
const ORDER_RETRY: Millis = Millis::new(1000);
const RING_FULL_RETRY: Millis = Millis::new(100);

/// What the handlers share.
pub(crate) struct Callers {
    pub(crate) core: Sender<Work>,
    pub(crate) gauges: Arc<Gauges>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) body_limit: usize,
    pub(crate) read_timeout: Duration,
}

/// The callers' routes.
pub(crate) fn router(callers: Arc<Callers>) -> Router {
    Router::new()
        .route("/v1/{service}/search", post(search))
        .route("/v1/{service}/order", post(order))
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(ready))
        .with_state(callers)
}

async fn ready(State(callers): State<Arc<Callers>>) -> Response {
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
        Err(mistake) => return mistake.into_response(),
    };
    let Input { within, label, body } = input;
    let (reply, said) = oneshot::channel();
    let search = Search { service: service.clone(), within, label: label.clone(), body, reply };
    if callers.core.push(Work::Search(search)).is_err() {
        // The ring to the core is full: nothing was sent for this query, so saying so is true.
        let refusal = Refusal { reason: RefusalReason::Busy, retry_after: RING_FULL_RETRY };
        return refuse(&callers, &service, &refusal);
    }
    match said.await {
        Ok(Said::Answer(answer)) => answered(&callers, &service, &answer, label.as_deref()),
        Ok(Said::Refusal(refusal)) => refuse(&callers, &service, &refusal),
        Ok(Said::Ordered(_) | Said::BadKey(_)) | Err(_) => {
            mistake(StatusCode::INTERNAL_SERVER_ERROR, "process", "the process is stopping")
        }
    }
}

async fn order(
    State(callers): State<Arc<Callers>>,
    Path(service): Path<String>,
    request: Request,
) -> Response {
    let (head, body) = request.into_parts();
    let key = head.headers.get(KEY).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let Some(key) = key else {
        let text = tgw_order::key::Error::Malformed.to_string();
        return mistake(StatusCode::BAD_REQUEST, KEY, &text);
    };
    let Input { within, body, .. } = match Input::read(&callers, &head.headers, body).await {
        Ok(input) => input,
        Err(mistake) => return mistake.into_response(),
    };
    let (reply, said) = oneshot::channel();
    let now_s = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let order = Order { service: service.clone(), key, now_s, within, body, reply };
    if callers.core.push(Work::Order(order)).is_err() {
        let refusal = Refusal { reason: RefusalReason::Busy, retry_after: RING_FULL_RETRY };
        return refuse(&callers, &service, &refusal);
    }
    match said.await {
        Ok(Said::Ordered(outcome)) => ordered(&outcome),
        Ok(Said::Refusal(refusal)) => refuse(&callers, &service, &refusal),
        Ok(Said::BadKey(error)) => {
            let status = match error {
                tgw_order::key::Error::Expired => StatusCode::GONE,
                _ => StatusCode::BAD_REQUEST,
            };
            mistake(status, KEY, &error.to_string())
        }
        // The process stops before the outcome is known.
        Ok(Said::Answer(_)) | Err(_) => ordered(&Outcome::Unknown),
    }
}

fn ordered(outcome: &Outcome) -> Response {
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
            "retry_after_ms": ORDER_RETRY.whole(),
        }),
        Outcome::Unknown => json!({ "outcome": "unknown" }),
    };
    (status, Json(body)).into_response()
}

/// A search as a caller states it.
struct Input {
    within: Option<Millis>,
    label: Option<String>,
    body: Bytes,
}

/// What is wrong with a request, and in which field.
struct Mistake {
    status: StatusCode,
    field: &'static str,
    text: String,
}

impl IntoResponse for Mistake {
    fn into_response(self) -> Response {
        mistake(self.status, self.field, &self.text)
    }
}

impl Input {
    async fn read(callers: &Callers, headers: &HeaderMap, body: Body) -> Result<Self, Mistake> {
        let bad = |field, text: &str| Mistake {
            status: StatusCode::BAD_REQUEST,
            field,
            text: text.into(),
        };
        let within = match headers.get("x-deadline-ms") {
            None => None,
            Some(value) => {
                let ms = value.to_str().ok().and_then(|v| v.parse::<u64>().ok()).filter(|v| *v > 0);
                let text = "a whole number of milliseconds above zero is expected";
                Some(Millis::new(ms.ok_or_else(|| bad("x-deadline-ms", text))?))
            }
        };
        let label = match headers.get("x-query-id") {
            None => None,
            Some(value) => {
                let text = value.to_str().ok().filter(|v| !v.is_empty() && v.len() <= LABEL_LIMIT);
                let text = text.filter(|t| t.chars().all(|c| c.is_ascii_graphic()));
                let expected = "1 to 64 printable ASCII characters are expected";
                Some(text.ok_or_else(|| bad("x-query-id", expected))?.to_owned())
            }
        };
        let reading = axum::body::to_bytes(body, callers.body_limit);
        let read = tokio::time::timeout(callers.read_timeout, reading).await;
        let body = match read {
            Err(_) => {
                let text = "the body did not arrive in time".into();
                return Err(Mistake { status: StatusCode::REQUEST_TIMEOUT, field: "body", text });
            }
            Ok(Err(_)) => {
                let text = format!("the body is larger than {} bytes", callers.body_limit);
                return Err(Mistake { status: StatusCode::PAYLOAD_TOO_LARGE, field: "body", text });
            }
            Ok(Ok(body)) => body,
        };
        if let Err(e) = serde_json::from_slice::<serde::de::IgnoredAny>(&body) {
            return Err(bad("body", &format!("not JSON: {e}")));
        }
        Ok(Self { within, label, body })
    }
}

fn mistake(status: StatusCode, field: &str, text: &str) -> Response {
    let body = json!({ "outcome": "not_run", "reason": "bad_request", "field": field,
        "message": text });
    (status, Json(body)).into_response()
}

fn refuse(callers: &Callers, service: &str, refusal: &Refusal) -> Response {
    callers.metrics.refuse(service, &refusal.reason.to_string());
    let status = match refusal.reason {
        RefusalReason::UnknownService | RefusalReason::NoOrders => StatusCode::NOT_FOUND,
        RefusalReason::Busy => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::NotReady
        | RefusalReason::Deadline
        | RefusalReason::Draining
        | RefusalReason::NoSnapshot => StatusCode::SERVICE_UNAVAILABLE,
    };
    let after = refusal.retry_after.whole();
    let reason = refusal.reason.to_string();
    let body = json!({ "outcome": "not_run", "reason": reason, "retry_after_ms": after });
    let mut response = (status, Json(body)).into_response();
    let seconds = HeaderValue::from(after.div_ceil(1000));
    response.headers_mut().insert(header::RETRY_AFTER, seconds);
    response
}

fn answered(callers: &Callers, service: &str, answer: &Answer, label: Option<&str>) -> Response {
    let labels = [KeyValue::new("service", service.to_owned())];
    callers.metrics.took.record(answer.elapsed.as_f64(), &labels);
    callers.metrics.coverage.record(answer.coverage.ratio(), &labels);
    let status =
        if answer.meets_least_coverage { StatusCode::OK } else { StatusCode::GATEWAY_TIMEOUT };
    let json = HeaderValue::from_static("application/json");
    (status, [(header::CONTENT_TYPE, json)], body(answer, label)).into_response()
}

/// The answer's JSON. The shards' arrays are joined as text: they were checked as they came in.
fn body(answer: &Answer, label: Option<&str>) -> Vec<u8> {
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
