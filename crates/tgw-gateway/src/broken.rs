//! Finds out whether an upstream ended under a send.
//!
//! To a send whose connection broke, an upstream process that ended and a lost reply look alike. A
//! new connection tells them apart: a running host refuses it if no process listens any more.

use crate::{exchange::ActiveSend, pool, quarantine, shared::Shared, telemetry};
use http::HeaderValue;
use std::{cell::RefCell, collections::HashMap, io, rc::Rc};
use tgw_clock::Millis;
use tgw_forward::{fleet::Key, upstream::Entry};
use tgw_quarantine::{Fingerprint, message::Rounds};
use tokio::sync::oneshot;

/// Timeout of the connection that probes an upstream: three times the longest round trip (40 ms). A
/// broken send is retried only after the probe; few wait that long, as a running host answers at
/// once.
const PROBE_TIMEOUT_MS: Millis = Millis::new(120);

/// A send whose connection broke.
pub(crate) struct BrokenSend {
    pub(crate) request: HeaderValue,
    pub(crate) fingerprint: Fingerprint,
    /// What was known about the request when it was sent.
    pub(crate) seen: Rounds,
    pub(crate) took: Millis,
    /// Receives whether the upstream has ended.
    result: oneshot::Sender<bool>,
}

/// Broken sends by upstream, until the probe of the upstream has ended.
#[derive(Default)]
pub(crate) struct Sends(RefCell<HashMap<Key, Vec<BrokenSend>>>);

impl Sends {
    /// Adds a broken send; true if it is the first one waiting for a probe of its upstream.
    fn add(&self, key: Key, broken: BrokenSend) -> bool {
        let mut waiting = self.0.borrow_mut();
        let sends = waiting.entry(key).or_default();
        sends.push(broken);
        sends.len() == 1
    }

    fn take(&self, key: Key) -> Vec<BrokenSend> {
        self.0.borrow_mut().remove(&key).unwrap_or_default()
    }
}

/// Finds out whether the upstream of a broken send has ended. One probe answers for all sends that
/// broke at this upstream meanwhile.
pub(crate) async fn has_upstream_ended(send: &ActiveSend) -> bool {
    let ActiveSend { shared, request, ticket, entry, seen, .. } = send;
    let (result, receiver) = oneshot::channel();
    let (request, fingerprint) = (request.identity.clone(), request.fingerprint);
    let broken = BrokenSend {
        request,
        fingerprint,
        seen: *seen,
        took: shared.now() - send.started_at,
        result,
    };
    if shared.broken_sends.add(ticket.upstream, broken) {
        // Runs as a separate task, because the caller of the send may leave while the result still
        // counts.
        tokio::task::spawn_local(probe(shared.clone(), ticket.upstream, entry.clone()));
    }
    receiver.await.unwrap_or_default()
}

async fn probe(shared: Rc<Shared>, key: Key, entry: Entry) {
    let connected = pool::connect(&shared, key, entry.addr, PROBE_TIMEOUT_MS).await;
    let sends = shared.broken_sends.take(key);
    let ended = match connected {
        // The upstream is alive; the new connection replaces the broken one.
        Ok(connection) => {
            let idle_limit = shared.core.borrow().idle_connection_limit(key);
            shared.pools.put(shared.now(), key, connection, None, idle_limit);
            false
        }
        Err(error) => {
            tracing::debug!(upstream = &*entry.id, %error,
                "cannot connect to upstream after a broken send");
            error.kind() == io::ErrorKind::ConnectionRefused
        }
    };
    if ended {
        telemetry::upstream_ended(&shared, &entry, &sends);
        shared.core.borrow_mut().fleet.mark_unreachable(shared.now(), key);
        sends.iter().for_each(|broken| quarantine::record_end(&shared, &entry, broken));
    }
    for broken in sends {
        // The receiver is gone if the caller has left.
        let _ = broken.result.send(ended);
    }
}
