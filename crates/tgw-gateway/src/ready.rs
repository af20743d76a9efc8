use crate::{quarantine, shared::Shared};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, rc::Rc, time::Duration};
use tokio::net::TcpListener;

/// Time in ms for the head of a question.
const HEAD_TIMEOUT: Duration = Duration::from_millis(5_000);
const PAUSE: Duration = Duration::from_millis(50);

/// Answers the balancer's questions for as long as the process runs.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = answer(&shared, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = serving.await {
                tracing::debug!(%error, "connection to the balancer ended");
            }
        });
    }
}

/// Where metrics are read.
const METRICS: &str = "/metrics";

fn metrics(shared: &Shared) -> Response<Full<Bytes>> {
    shared.measure();
    let text = shared.meters.text().unwrap_or_else(|error| {
        tracing::warn!(%error, "metrics cannot be written");
        String::new()
    });
    Response::new(Full::new(text.into()))
}

/// What is held back, as JSON.
fn held(shared: &Shared) -> Response<Full<Bytes>> {
    let text = serde_json::to_string(&quarantine::list(shared)).unwrap_or_else(|error| {
        tracing::warn!(%error, "what is held back cannot be written");
        String::new()
    });
    Response::new(Full::new(text.into()))
}

/// Lets the request go that a path names.
fn release(shared: &Shared, name: &str) -> StatusCode {
    match name.parse() {
        Err(_) => StatusCode::BAD_REQUEST,
        Ok(print) if quarantine::release(shared, print) => StatusCode::NO_CONTENT,
        Ok(_) => StatusCode::NOT_FOUND,
    }
}

fn answer(shared: &Shared, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    if path == METRICS {
        return metrics(shared);
    }
    if path == quarantine::PATH {
        return held(shared);
    }
    let named = path.strip_prefix(quarantine::PATH).and_then(|rest| rest.strip_prefix('/'));
    if let Some(name) = named.filter(|_| *request.method() == Method::DELETE) {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = release(shared, name);
        return response;
    }
    let status = if path != shared.dialect.ready_path() {
        StatusCode::NOT_FOUND
    } else if shared.ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}
