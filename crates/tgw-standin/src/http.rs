use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, future::Future, io, rc::Rc};
use tokio::net::{TcpListener, TcpStream};

/// Result of a handler: a response, or `None` to close the connection without one.
pub(crate) type Reply = Option<Response<Full<Bytes>>>;

/// The handler closes the connection without a response.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("connection closed without a response by an injected fault")]
pub(crate) struct Aborted;

/// Serves one connection until it closes.
pub(crate) async fn serve_connection<F, W>(stream: TcpStream, handler: Rc<F>)
where
    F: Fn(Request<Incoming>) -> W + 'static,
    W: Future<Output = Reply>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let reply = handler(request);
        async move { reply.await.ok_or(Aborted) }
    });
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Accepts connections until the listener fails.
pub(crate) async fn accept<F, W>(listener: TcpListener, serve: F) -> Result<Infallible, io::Error>
where
    F: Fn(TcpStream) -> W,
    W: Future<Output = ()> + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::task::spawn_local(serve(stream));
    }
}

/// Creates a response with a JSON body.
pub(crate) fn json_response(status: u16, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let value = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    response
}
