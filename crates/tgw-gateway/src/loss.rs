//! Whether an upstream ended under a send.
//!
//! A process that ends and a reply that is lost look alike to the send that broke. They differ in what a new
//! connection finds: a host that runs, where nobody listens any more, refuses it.

use crate::{exchange::Sent, note, pool, quarantine, shared::Shared};
use http::HeaderValue;
use std::{cell::RefCell, collections::HashMap, io, rc::Rc};
use tgw_clock::Millis;
use tgw_forward::{fleet::Key, upstream::Entry};
use tgw_quarantine::{Fingerprint, message::Seen};
use tokio::sync::oneshot;

/// Time in ms for a connection that only finds out whether the upstream is there: three times the longest way there
/// and back (40 ms). What broke is tried again after it; few wait that long, as a host that runs answers at once.
const LOOK: Millis = Millis::new(120);

/// A send that broke.
pub(crate) struct Break {
    pub(crate) request: HeaderValue,
    pub(crate) print: Fingerprint,
    /// What was known of the request when it was sent.
    pub(crate) seen: Seen,
    pub(crate) took: Millis,
    /// Waits to be told whether the upstream has ended.
    waits: oneshot::Sender<bool>,
}

/// Sends that broke, by upstream, while it is found out whether the upstream has ended.
#[derive(Default)]
pub(crate) struct Breaks(RefCell<HashMap<Key, Vec<Break>>>);

impl Breaks {
    /// Whether it is the first that waits for word of its upstream.
    fn add(&self, key: Key, broken: Break) -> bool {
        let mut waiting = self.0.borrow_mut();
        let breaks = waiting.entry(key).or_default();
        breaks.push(broken);
        breaks.len() == 1
    }

    fn take(&self, key: Key) -> Vec<Break> {
        self.0.borrow_mut().remove(&key).unwrap_or_default()
    }
}

/// Finds out whether the upstream of a send that broke has ended. All sends that it broke by then count for it.
pub(crate) async fn look(sent: &Sent) -> bool {
    let Sent { shared, request, ticket, entry, seen, .. } = sent;
    let (waits, found) = oneshot::channel();
    let (request, print) = (request.identity.clone(), request.print);
    let broken = Break { request, print, seen: *seen, took: shared.now() - sent.sent, waits };
    if shared.breaks.add(ticket.upstream, broken) {
        // Not part of the send: its caller may leave, and what is found counts all the same.
        tokio::task::spawn_local(find(shared.clone(), ticket.upstream, entry.clone()));
    }
    found.await.unwrap_or_default()
}

async fn find(shared: Rc<Shared>, key: Key, entry: Entry) {
    let connected = pool::connect(&shared, key, entry.addr, LOOK).await;
    let breaks = shared.breaks.take(key);
    let ended = match connected {
        // It is there, and the connection takes the place of the one that broke.
        Ok(connection) => {
            let keep = shared.core.borrow().keep(key);
            shared.pools.put(shared.now(), key, connection, None, keep);
            false
        }
        Err(error) => {
            tracing::debug!(upstream = &*entry.id, %error, "no connection after a break");
            error.kind() == io::ErrorKind::ConnectionRefused
        }
    };
    if ended {
        note::upstream_ended(&shared, &entry, &breaks);
        shared.core.borrow_mut().fleet.lost(shared.now(), key);
        breaks.iter().for_each(|broken| quarantine::ended(&shared, &entry, broken));
    }
    for broken in breaks {
        // Its caller may have left.
        let _ = broken.waits.send(ended);
    }
}
