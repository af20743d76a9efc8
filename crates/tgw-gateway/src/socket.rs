use socket2::{SockRef, TcpKeepalive};
use std::{io, time::Duration};
use tokio::net::TcpStream;

/// Time in ms without an acknowledgement after which a connection is dead: above the longest way
/// there and back (40 ms) and a few lost packets, below the time in which failures must show.
const UNACKNOWLEDGED_MS: u64 = 2_500;
/// Idle time in s before a probe. Probes find peers that went silent while nothing is sent.
const PROBE_AFTER_S: u64 = 2;
/// Time in s between probes.
const PROBE_EVERY_S: u64 = 1;
/// Probes without an answer before the connection is dead.
const PROBES: u32 = 2;

/// Makes a connection notice a peer that went silent: a partition and a lost machine send no reset,
/// and without this a request on such a connection would wait for its deadline every time.
pub(crate) fn guard(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(Duration::from_millis(UNACKNOWLEDGED_MS)))?;
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_secs(PROBE_AFTER_S))
        .with_interval(Duration::from_secs(PROBE_EVERY_S))
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
