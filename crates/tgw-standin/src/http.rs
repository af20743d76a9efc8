use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, future::Future, io, rc::Rc};
use tokio::net::{TcpListener, TcpStream};

/// What a handler returns: a response, or nothing to break the connection unanswered.
pub(crate) type Reply = Option<Response<Full<Bytes>>>;

/// A connection that was broken on purpose.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the connection was broken on purpose")]
pub(crate) struct Broken;

/// Serves one connection until its end.
pub(crate) async fn connection<F, W>(stream: TcpStream, handler: Rc<F>)
where
    F: Fn(Request<Incoming>) -> W + 'static,
    W: Future<Output = Reply>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let reply = handler(request);
        async move { reply.await.ok_or(Broken) }
    });
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Accepts connections for as long as the listener lives.
pub(crate) async fn accept<F, W>(listener: TcpListener, admit: F) -> Result<Infallible, io::Error>
where
    F: Fn(TcpStream) -> W,
    W: Future<Output = ()> + 'static,
{
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::task::spawn_local(admit(stream));
    }
}

/// A response with a JSON body.
pub(crate) fn json(status: u16, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let value = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    response
}
