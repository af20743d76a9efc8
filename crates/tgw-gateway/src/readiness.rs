use crate::{quarantine, shared::Shared};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, rc::Rc, time::Duration};
use tokio::net::TcpListener;

/// Timeout for reading the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_millis(5_000);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves readiness, metrics and the quarantine for as long as the process runs.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
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
                tracing::debug!(%error, "connection to the readiness address failed");
            }
        });
    }
}

const METRICS_PATH: &str = "/metrics";

fn render_metrics(shared: &Shared) -> Response<Full<Bytes>> {
    shared.update_gauges();
    let text = shared.metrics.render().unwrap_or_else(|error| {
        tracing::warn!(%error, "cannot encode metrics");
        String::new()
    });
    Response::new(Full::new(text.into()))
}

/// The quarantined requests as JSON.
fn list_quarantined(shared: &Shared) -> Response<Full<Bytes>> {
    let text = serde_json::to_string(&quarantine::list(shared)).unwrap_or_else(|error| {
        tracing::warn!(%error, "cannot encode quarantined requests");
        String::new()
    });
    Response::new(Full::new(text.into()))
}

/// Releases the quarantined request named in a path.
fn release(shared: &Shared, name: &str) -> StatusCode {
    match name.parse() {
        Err(_) => StatusCode::BAD_REQUEST,
        Ok(fingerprint) if quarantine::release(shared, fingerprint) => StatusCode::NO_CONTENT,
        Ok(_) => StatusCode::NOT_FOUND,
    }
}

fn answer(shared: &Shared, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    if path == METRICS_PATH {
        return render_metrics(shared);
    }
    if path == quarantine::HTTP_PATH {
        return list_quarantined(shared);
    }
    let named = path.strip_prefix(quarantine::HTTP_PATH).and_then(|rest| rest.strip_prefix('/'));
    if let Some(name) = named.filter(|_| *request.method() == Method::DELETE) {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = release(shared, name);
        return response;
    }
    let status = if path != shared.codec.ready_path() {
        StatusCode::NOT_FOUND
    } else if shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}
