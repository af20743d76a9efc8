use crate::{log::Line, messages::CoreMessage, metrics::Metrics, status::Status};
use axum::{
    Json, Router,
    extract::{Path, Request, State},
    http::{StatusCode, header},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::get,
};
use std::{sync::Arc, time::Duration};
use tgw_ring::Sender;
use tokio::sync::oneshot;

/// Time limit for the core to answer a request of an operator.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by the handlers.
pub(crate) struct Operators {
    pub(crate) core: Sender<CoreMessage>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) token: String,
}

/// The routes for operators.
pub(crate) fn router(operators: Arc<Operators>) -> Router {
    let admin = Router::new()
        .route("/admin/status", get(status))
        .route("/admin/explain/{id}", get(explain))
        .layer(middleware::from_fn_with_state(operators.clone(), authorize));
    Router::new()
        .merge(admin)
        .route("/metrics", get(metrics))
        .route("/healthz", get(|| async { "ok" }))
        .with_state(operators)
}

async fn authorize(
    State(operators): State<Arc<Operators>>,
    request: Request,
    next: Next,
) -> Response {
    let provided = request.headers().get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let provided = provided.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or_default();
    if equal_in_constant_time(provided.as_bytes(), operators.token.as_bytes()) {
        next.run(request).await
    } else {
        (StatusCode::UNAUTHORIZED, "a token is needed: Authorization: Bearer ...").into_response()
    }
}

/// Compares in time that depends only on the lengths, so that response times do not help to guess a
/// token byte by byte.
fn equal_in_constant_time(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}

async fn metrics(State(operators): State<Arc<Operators>>) -> String {
    operators.metrics.encode()
}

async fn status(State(operators): State<Arc<Operators>>) -> Result<Json<Status>, StatusCode> {
    query_core(&operators, CoreMessage::Inspect).await.map(Json)
}

async fn explain(
    State(operators): State<Arc<Operators>>,
    Path(id): Path<String>,
) -> Result<Json<Vec<Line>>, StatusCode> {
    query_core(&operators, |reply| CoreMessage::Explain(id, reply)).await.map(Json)
}

async fn query_core<T>(
    operators: &Operators,
    message: impl FnOnce(oneshot::Sender<T>) -> CoreMessage,
) -> Result<T, StatusCode> {
    let (reply, receiver) = oneshot::channel();
    operators.core.push(message(reply)).map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    match tokio::time::timeout(ANSWER_TIMEOUT, receiver).await {
        Ok(Ok(value)) => Ok(value),
        _ => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}
