//! Requests under which upstreams end: what this VM saw, what VMs tell one another, what operators are told.

use crate::{loss::Break, peers::Peers, shared::Shared};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use std::{cell::Cell, net::SocketAddr};
use tgw_clock::Millis;
use tgw_forward::upstream::Entry;
use tgw_quarantine::{
    Fingerprint,
    ledger::{self, Change},
    message::{End, News},
};
use tgw_spread::message::Datagram;

/// Where operators ask for it, at the readiness address; with a fingerprint behind it, of one request.
pub const PATH: &str = "/quarantine";

/// VMs to which each one passes on what is new to it. All of 7; of 300 a word reaches 0.9996 in three steps
/// (1 - e^-8), and those that it misses hear of what is held back within seconds.
const FANOUT: usize = 8;
/// VMs that are told in each round what is held back, whether or not they know.
const ROUND: usize = 2;
/// Time in ms between two such rounds.
const EVERY: Millis = Millis::new(1_000);
/// Packets of news that are passed on in a second, at most, to each of `FANOUT`: somebody who sends thousands of
/// deadly requests must not take the links with it.
const PASSED_ON: u32 = 50;

/// When what is held back is told.
#[derive(Debug, Default)]
pub(crate) struct Rounds {
    /// Of those that are told in rounds, the first of the next one.
    from: Cell<usize>,
    at: Cell<Millis>,
    second: Cell<u64>,
    passed_on: Cell<u32>,
}

impl Rounds {
    /// Whether one more packet of news may be passed on.
    fn allow(&self, now: Millis) -> bool {
        let second = now.whole() / 1_000;
        if self.second.replace(second) != second {
            self.passed_on.set(0);
        }
        let passed_on = self.passed_on.get();
        self.passed_on.set(passed_on + 1);
        passed_on < PASSED_ON
    }
}

/// An upstream ended under a send of this VM.
pub(crate) fn ended(shared: &Shared, entry: &Entry, broken: &Break) {
    let incarnation = format!("{}/{}", entry.id, entry.started);
    let (service, upstream) = (ledger::name(&entry.service), ledger::name(&incarnation));
    let end = End { print: broken.print, service, upstream, seen: broken.seen };
    let change = shared.core.borrow_mut().quarantine.ended(shared.now(), &end);
    told(end.print, change, "seen here");
    if change != Change::None {
        shared.news.notify_one();
    }
}

/// Takes over what another VM tells.
pub(crate) fn hear(shared: &Shared, from: SocketAddr, news: &News) {
    let now = shared.now();
    let ledger = &mut shared.core.borrow_mut().quarantine;
    let ends = news.ends.iter().map(|end| (end.print, ledger.ended(now, end)));
    let mut changes: Vec<(Fingerprint, Change)> = ends.collect();
    changes.extend(news.holds.iter().map(|hold| (hold.print, ledger.merge(now, hold))));
    for (print, change) in &changes {
        told(*print, *change, &from.to_string());
    }
    if changes.iter().any(|(_, change)| *change != Change::None) {
        shared.news.notify_one();
    }
}

/// A request that was held back was tried again, and answered.
pub(crate) fn answered(shared: &Shared, print: Fingerprint) {
    told(print, Change::Released, "an upstream's answer");
    shared.news.notify_one();
}

/// Lets a request go that is held back. Returns whether it was.
pub(crate) fn release(shared: &Shared, print: Fingerprint) -> bool {
    let released = shared.core.borrow_mut().quarantine.release(shared.now(), print);
    if released {
        told(print, Change::Released, "operator");
        shared.news.notify_one();
    }
    released
}

fn told(print: Fingerprint, change: Change, source: &str) {
    match change {
        Change::None | Change::Ended => {}
        Change::Held { all } => tracing::warn!(%print, all, source, "request held back"),
        Change::Released => tracing::warn!(%print, source, "request let go"),
    }
}

/// A request that is held back, as operators are shown it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Its fingerprint, as log lines bear it.
    pub print: String,
    /// It is held back everywhere, not at some services only.
    pub everywhere: bool,
    /// Upstreams that ended under it, as far as this VM remembers them.
    pub ended: usize,
    /// How often it was tried again.
    pub trials: u8,
    /// Time until it may be tried again, in ms.
    pub wait_ms: u64,
    /// Time since this VM was last asked for it, in ms.
    pub idle_ms: u64,
}

/// What is held back.
pub(crate) fn list(shared: &Shared) -> Vec<Held> {
    let held = shared.core.borrow().quarantine.list(shared.now());
    let shown = held.into_iter().map(|held| Held {
        print: held.print.to_string(),
        everywhere: held.all,
        ended: held.ended,
        trials: held.trials,
        wait_ms: held.wait.whole(),
        idle_ms: held.idle.whole(),
    });
    shown.collect()
}

impl Peers {
    /// Passes on what is new to this VM.
    pub(crate) fn pass_on(&self) {
        let now = self.shared.now();
        if self.shared.core.borrow().quarantine.is_empty() {
            return;
        }
        while self.rounds.allow(now) {
            let Some(news) = self.shared.core.borrow_mut().quarantine.take_news() else { return };
            self.send_to_some(FANOUT, &Datagram::Quarantine(news));
        }
    }

    /// Tells some VMs all that is held back: a word may have been lost, and a VM that was cut off or has started
    /// heard none.
    pub(crate) fn repeat(&self) {
        let now = self.shared.now();
        if now < self.rounds.at.get() {
            return;
        }
        self.rounds.at.set(now + EVERY);
        if let Some(news) = self.held() {
            self.send_to_some(ROUND, &Datagram::Quarantine(news));
        }
    }

    /// What is held back, of as many requests as one packet takes, others each time.
    pub(crate) fn held(&self) -> Option<News> {
        let core = self.shared.core.borrow();
        if core.quarantine.is_empty() {
            return None;
        }
        let from = self.rounds.from.get();
        let holds = core.quarantine.holds_from(self.shared.now(), from);
        self.rounds.from.set(from.wrapping_add(holds.len()));
        (!holds.is_empty()).then(|| News { ends: Vec::new(), holds })
    }

    fn send_to_some(&self, count: usize, datagram: &Datagram) {
        let others = self.others.borrow();
        for to in others.choose_multiple(&mut rand::rng(), count) {
            self.shared.packets.send(*to, datagram);
        }
    }
}
