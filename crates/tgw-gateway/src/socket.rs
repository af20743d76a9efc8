use socket2::{SockRef, TcpKeepalive};
use std::{io, time::Duration};
use tokio::net::TcpStream;

/// Time without an acknowledgement after which a connection counts as dead: longer than the longest
/// round trip (40 ms) and a few lost packets, but shorter than the time within which failures must
/// be detected.
const UNACKNOWLEDGED_TIMEOUT_MS: u64 = 2_500;
/// Idle time before the first keepalive probe; probes find unresponsive peers while nothing is
/// sent.
const KEEPALIVE_IDLE_S: u64 = 2;
const KEEPALIVE_INTERVAL_S: u64 = 1;
/// Unanswered keepalive probes after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;

/// Has a connection reset when it is closed, which discards what was not delivered yet.
pub(crate) fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Sets TCP options that detect an unresponsive peer. A partition or the loss of a machine sends no
/// reset; without these options every request on such a connection would wait until its deadline.
pub(crate) fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(Duration::from_millis(UNACKNOWLEDGED_TIMEOUT_MS)))?;
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_secs(KEEPALIVE_IDLE_S))
        .with_interval(Duration::from_secs(KEEPALIVE_INTERVAL_S))
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}
