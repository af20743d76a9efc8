use crate::{
    handle,
    hooked_stream::HookedStream,
    request_heads::HeadTimer,
    shared::{Phase, Shared},
    socket,
};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{cell::Cell, convert::Infallible, net::IpAddr, pin::pin, rc::Rc, time::Duration};
use tokio::net::{TcpListener, TcpStream};

/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections from callers until the process closes, then waits until the open ones have
/// ended.
pub(crate) async fn serve(shared: Rc<Shared>, listener: TcpListener) {
    let mut phase = shared.phase.subscribe();
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    connections.spawn_local(connection(shared.clone(), stream, from.ip()));
                }
                Err(error) => {
                    tracing::warn!(%error, "cannot accept a connection from a caller");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            _ = phase.wait_for(|p| *p == Phase::Closing) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn connection(shared: Rc<Shared>, stream: TcpStream, caller: IpAddr) {
    if let Err(error) = socket::configure(&stream) {
        tracing::debug!(%error, "cannot set TCP options of a connection from a caller");
        return;
    }
    let limits = shared.config.borrow().limits;
    let caller = shared.hasher.hash_caller(caller);
    let registration = shared.request_heads.register();
    let head = registration.head.clone();
    let service = {
        let (shared, head, used) = (shared.clone(), head.clone(), Cell::new(false));
        service_fn(move |request| {
            let (shared, head) = (shared.clone(), head.clone());
            let origin = handle::Origin { caller, first_on_connection: !used.replace(true) };
            async move {
                head.mark_complete();
                let response = handle::handle(shared, request, origin).await;
                head.mark_answered();
                Ok::<_, Infallible>(response)
            }
        })
    };
    let timer = HeadTimer { head: head.clone(), shared: shared.clone() };
    let stream = HookedStream::new(stream, timer);
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        // Hyper applies this timeout both to idle kept-alive connections and to reading a request
        // head. It is set to the idle timeout; heads that take too long are found by the periodic
        // sweep.
        .header_read_timeout(Duration::from(limits.idle_timeout))
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    let mut phase = shared.phase.subscribe();
    tokio::select! {
        result = serving.as_mut() => return log_result(result),
        () = head.overdue.notified() => return,
        _ = phase.wait_for(|p| *p == Phase::Closing) => serving.as_mut().graceful_shutdown(),
    }
    log_result(serving.await);
}

fn log_result(result: hyper::Result<()>) {
    if let Err(error) = result {
        tracing::debug!(%error, "connection from a caller failed");
    }
}
