use crate::{
    handle,
    heads::Timed,
    shared::{Phase, Shared},
    socket,
};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{cell::Cell, convert::Infallible, net::IpAddr, pin::pin, rc::Rc, time::Duration};
use tokio::net::{TcpListener, TcpStream};

/// Smallest buffer that the HTTP library takes for a request's head, in bytes.
const LEAST_HEAD: usize = 8 << 10;
/// Pause in ms after a failed accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers until the process closes, then waits for the running connections.
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
                    tracing::warn!(%error, "cannot accept a caller");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
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
    if let Err(error) = socket::guard(&stream) {
        tracing::debug!(%error, "caller left at once");
        return;
    }
    let limits = shared.config.borrow().limits;
    let caller = shared.hasher.caller(caller);
    let watched = shared.heads.watch();
    let head = watched.head.clone();
    let service = {
        let (shared, head, used) = (shared.clone(), head.clone(), Cell::new(false));
        service_fn(move |request| {
            let (shared, head) = (shared.clone(), head.clone());
            let from = handle::From { caller, opened: !used.replace(true) };
            async move {
                head.complete();
                let response = handle::handle(shared, request, from).await;
                head.answered();
                Ok::<_, Infallible>(response)
            }
        })
    };
    let stream = Timed { stream, head: head.clone(), shared: shared.clone() };
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library counts the idle time of a kept connection as reading the next head; heads that
        // take too long are found by the sweep.
        .header_read_timeout(Duration::from(limits.idle_timeout))
        .max_buf_size(limits.head.max(LEAST_HEAD))
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    let mut phase = shared.phase.subscribe();
    tokio::select! {
        result = serving.as_mut() => return log(result),
        () = head.overdue.notified() => return,
        _ = phase.wait_for(|p| *p == Phase::Closing) => serving.as_mut().graceful_shutdown(),
    }
    log(serving.await);
}

fn log(result: hyper::Result<()>) {
    if let Err(error) = result {
        tracing::debug!(%error, "connection to a caller ended");
    }
}
