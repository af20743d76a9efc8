//! Quarantine of requests under which upstreams end: evidence seen by this VM, dissemination among
//! VMs, and the view for operators.

use crate::{broken::BrokenSend, peers::Peers, shared::Shared};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use std::{cell::Cell, net::SocketAddr};
use tgw_clock::Millis;
use tgw_forward::{quarantine::incarnation_hash, upstream::Entry};
use tgw_quarantine::{
    Fingerprint,
    message::{Termination, Update},
    tracker::{self, Change},
};
use tgw_spread::message::Datagram;

/// Path at the readiness address where operators list quarantined requests; followed by a
/// fingerprint, it names one of them.
pub const HTTP_PATH: &str = "/quarantine";

/// Number of VMs to which each VM forwards new evidence: all of a fleet of 7. In a fleet of 300 an
/// update reaches 0.9996 of the VMs in three steps (1 - e^-8); the others learn of quarantined
/// requests within seconds through anti-entropy.
const FANOUT: usize = 8;
/// Number of VMs that receive the quarantine in each round of anti-entropy, whether or not they
/// know it.
const ANTI_ENTROPY_FANOUT: usize = 2;
/// Interval between two rounds of anti-entropy.
const ANTI_ENTROPY_INTERVAL_MS: Millis = Millis::new(1_000);
/// Most packets of updates forwarded per second to each of `FANOUT` VMs, so that a caller that
/// sends thousands of deadly requests does not saturate the network links.
const MAX_FORWARDS_PER_S: u32 = 50;

/// Limits and timers for the dissemination of the quarantine.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// Position in the quarantine at which the next round of anti-entropy starts.
    next: Cell<usize>,
    next_round_at: Cell<Millis>,
    second: Cell<u64>,
    forwards: Cell<u32>,
}

impl Schedule {
    /// Whether one more packet of updates may be forwarded in this second.
    fn allow_forward(&self, now: Millis) -> bool {
        let second = now.as_whole_ms() / 1_000;
        if self.second.replace(second) != second {
            self.forwards.set(0);
        }
        let forwards = self.forwards.get();
        self.forwards.set(forwards + 1);
        forwards < MAX_FORWARDS_PER_S
    }
}

/// Records that an upstream ended under a send of this VM.
pub(crate) fn record_end(shared: &Shared, entry: &Entry, broken: &BrokenSend) {
    let (service, upstream) = (tracker::hash_name(&entry.service), incarnation_hash(entry));
    let termination =
        Termination { fingerprint: broken.fingerprint, service, upstream, rounds: broken.seen };
    let change = shared.core.borrow_mut().quarantine.record_end(shared.now(), &termination);
    log_change(termination.fingerprint, change, "seen here");
    if change != Change::Unchanged {
        shared.update_ready.notify_one();
    }
}

/// Applies an update from another VM.
pub(crate) fn apply_update(shared: &Shared, from: SocketAddr, update: &Update) {
    let now = shared.now();
    let tracker = &mut shared.core.borrow_mut().quarantine;
    let ended = update.terminations.iter().map(|t| (t.fingerprint, tracker.record_end(now, t)));
    let mut changes: Vec<(Fingerprint, Change)> = ended.collect();
    changes.extend(update.answers.iter().map(|a| (a.fingerprint, tracker.merge_answer(now, a))));
    changes.extend(update.states.iter().map(|s| (s.fingerprint, tracker.merge(now, s))));
    for (fingerprint, change) in &changes {
        log_change(*fingerprint, *change, &from.to_string());
    }
    if changes.iter().any(|(_, change)| *change != Change::Unchanged) {
        shared.update_ready.notify_one();
    }
}

/// Adopts all evidence that another VM held `age` ago. `source` names it in the log.
pub(crate) fn restore(shared: &Shared, age: Millis, evidence: &Update, source: &str) {
    let tracker = &mut shared.core.borrow_mut().quarantine;
    let changes = tracker.restore(shared.now(), age, evidence);
    for (fingerprint, change) in &changes {
        log_change(*fingerprint, *change, source);
    }
    if !changes.is_empty() {
        shared.update_ready.notify_one();
    }
}

/// Announces that a quarantined request was released because a trial of it was answered.
pub(crate) fn trial_answered(shared: &Shared, fingerprint: Fingerprint) {
    log_change(fingerprint, Change::Released, "an upstream's answer");
    shared.update_ready.notify_one();
}

/// Releases a quarantined request on behalf of an operator; false if it was not quarantined.
pub(crate) fn release(shared: &Shared, fingerprint: Fingerprint) -> bool {
    let released = shared.core.borrow_mut().quarantine.release(shared.now(), fingerprint);
    if released {
        log_change(fingerprint, Change::Released, "operator");
        shared.update_ready.notify_one();
    }
    released
}

/// Logs that a request was quarantined or released; other changes are not logged here. `source` names
/// where this VM learned it: its own send, another VM's address, an upstream's answer or an operator.
fn log_change(fingerprint: Fingerprint, change: Change, source: &str) {
    match change {
        Change::Unchanged | Change::UpstreamEnded | Change::Cleared | Change::Tried => {}
        Change::Confirmed => {
            tracing::warn!(print = %fingerprint, source, "quarantine confirmed");
        }
        Change::Quarantined { everywhere } => {
            tracing::warn!(print = %fingerprint, all = everywhere, source, "request quarantined");
        }
        Change::Released => {
            tracing::warn!(print = %fingerprint, source, "request released from quarantine");
        }
    }
}

/// A quarantined request as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// The request's fingerprint, as in log lines.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// The request is quarantined at all services, not only at some.
    #[serde(rename = "everywhere")]
    pub at_all_services: bool,
    /// The request, and not another that ran beside it, is known to end upstreams.
    pub confirmed: bool,
    /// Number of upstreams that ended under the request, as far as this VM remembers.
    #[serde(rename = "ended")]
    pub upstreams_ended: usize,
    /// Number of trials of the request so far.
    pub trials: u8,
    /// Time until the next trial is allowed.
    #[serde(rename = "wait_ms")]
    pub next_trial_in_ms: u64,
    /// Time since this VM last received the request.
    #[serde(rename = "idle_ms")]
    pub last_request_ms: u64,
}

/// All quarantined requests.
pub(crate) fn list(shared: &Shared) -> Vec<QuarantinedRequest> {
    let quarantined = shared.core.borrow().quarantine.quarantined(shared.now());
    let shown = quarantined.into_iter().map(|request| QuarantinedRequest {
        fingerprint: request.fingerprint.to_string(),
        at_all_services: request.everywhere,
        confirmed: request.confirmed,
        upstreams_ended: request.ended_upstreams,
        trials: request.trials,
        next_trial_in_ms: request.retry_after.as_whole_ms(),
        last_request_ms: request.idle.as_whole_ms(),
    });
    shown.collect()
}

impl Peers {
    /// Forwards evidence that is new to this VM.
    pub(crate) fn forward_updates(&self) {
        let now = self.shared.now();
        if self.shared.core.borrow().quarantine.is_empty() {
            return;
        }
        for fingerprint in self.shared.core.borrow_mut().quarantine.take_confirmed() {
            log_change(fingerprint, Change::Confirmed, "reports on its upstreams");
        }
        while self.schedule.allow_forward(now) {
            let Some(update) = self.shared.core.borrow_mut().quarantine.take_update() else {
                return;
            };
            self.send_to_random(FANOUT, &Datagram::Quarantine(update));
        }
    }

    /// Sends quarantined requests to some random VMs (anti-entropy): an earlier update may have
    /// been lost, and a VM that was partitioned or has just started received none.
    pub(crate) fn send_quarantine_round(&self) {
        let now = self.shared.now();
        if now < self.schedule.next_round_at.get() {
            return;
        }
        self.schedule.next_round_at.set(now + ANTI_ENTROPY_INTERVAL_MS);
        if let Some(update) = self.next_quarantined() {
            self.send_to_random(ANTI_ENTROPY_FANOUT, &Datagram::Quarantine(update));
        }
    }

    /// The next quarantined requests, as many as fit into one packet; successive calls cycle
    /// through all of them.
    pub(crate) fn next_quarantined(&self) -> Option<Update> {
        let core = self.shared.core.borrow();
        if core.quarantine.is_empty() {
            return None;
        }
        let start = self.schedule.next.get();
        let states = core.quarantine.states_from(self.shared.now(), start);
        self.schedule.next.set(start.wrapping_add(states.len()));
        (!states.is_empty()).then(|| Update { states, ..Update::default() })
    }

    fn send_to_random(&self, count: usize, datagram: &Datagram) {
        let others = self.all_peers.borrow();
        for to in others.choose_multiple(&mut rand::rng(), count) {
            self.shared.packets.send(*to, datagram);
        }
    }
}
