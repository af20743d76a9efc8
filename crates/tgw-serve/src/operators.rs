use crate::{log::Line, metrics::Metrics, status::Status, work::Work};
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

/// Time for the core to answer.
const ANSWER: Duration = Duration::from_secs(2);

/// What the handlers share.
pub(crate) struct Operators {
    pub(crate) core: Sender<Work>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) token: String,
}

/// The operators' routes.
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
    let given = request.headers().get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let given = given.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or_default();
    if same(given.as_bytes(), operators.token.as_bytes()) {
        next.run(request).await
    } else {
        (StatusCode::UNAUTHORIZED, "a token is needed: Authorization: Bearer ...").into_response()
    }
}

/// Compares in time that depends on the lengths only, so that a token cannot be guessed bytewise.
fn same(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}

async fn metrics(State(operators): State<Arc<Operators>>) -> String {
    operators.metrics.text()
}

async fn status(State(operators): State<Arc<Operators>>) -> Result<Json<Status>, StatusCode> {
    ask(&operators, Work::Inspect).await.map(Json)
}

async fn explain(
    State(operators): State<Arc<Operators>>,
    Path(id): Path<String>,
) -> Result<Json<Vec<Line>>, StatusCode> {
    ask(&operators, |reply| Work::Explain(id, reply)).await.map(Json)
}

async fn ask<T>(
    operators: &Operators,
    work: impl FnOnce(oneshot::Sender<T>) -> Work,
) -> Result<T, StatusCode> {
    let (reply, said) = oneshot::channel();
    operators.core.push(work(reply)).map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    match tokio::time::timeout(ANSWER, said).await {
        Ok(Ok(value)) => Ok(value),
        _ => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}
