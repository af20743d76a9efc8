use crate::{
    Key,
    book::{Book, Call, Order, Stage, Waiting},
    ledger::{self, Claim, Ledger, Outcome, Reason},
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use tgw_clock::Millis;

/// Pause between two writes of one object: what is asked meanwhile travels in the next.
const PAUSE: Millis = Millis::new(100);
/// Pause after the store refused a call.
const BACKOFF: Millis = Millis::new(100);
/// How often an object is read again while another clerk's claim in it has no outcome.
const POLL: Millis = Millis::new(250);
/// How long an object that nobody asks for is kept in memory.
const KEEP: Millis = Millis::new(60_000);

/// A version of the store.
pub(crate) type Version = u64;

/// Names who waits for an outcome.
pub type Waiter = u64;

/// How the store answered a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stored {
    /// It took effect; the object's new version.
    Done(Version),
    /// The object is not at the expected version; nothing was written.
    Conflict,
    /// Nothing was written.
    Unavailable,
    /// It may have taken effect or not, and may yet.
    Unknown,
}

/// How an attempt to run an order ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ran {
    /// An upstream ran it and answered this.
    Done(String),
    /// Nothing was sent, or every upstream that was asked stated that it did not run it.
    NotRun,
    /// It was sent and no certain reply came.
    Unknown,
}

/// What the clerk is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Event {
    /// An order is asked for.
    Ask {
        /// Its key.
        key: Key,
        /// Who waits for the outcome.
        waiter: Waiter,
        /// Until when it may be sent.
        deadline: Millis,
        /// This clerk has had the key's bucket since before the key was made, so that no other can
        /// have been asked for it before.
        fresh: bool,
    },
    /// The store answered a write.
    Stored(String, Stored),
    /// The store answered a read; `Err` if it did not.
    Read(String, Result<Option<(Version, Ledger)>, ()>),
    /// An attempt to run an order ended.
    Ran(Key, Ran),
    /// Time has passed.
    Tick,
}

/// What must be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write an object if it is at this version; zero: if there is none.
    Put(String, Version, Ledger),
    /// Read an object.
    Get(String),
    /// Send an order to an upstream, once. It must not be begun after the deadline.
    Run(Key, Millis),
    /// Tell who waits.
    Tell(Waiter, Outcome),
    /// Delete an object whose claims are no longer kept.
    Expire(String),
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Orders asked for.
    pub asked: u64,
    /// Writes tried.
    pub writes: u64,
    /// Reads tried.
    pub reads: u64,
    /// Orders sent.
    pub runs: u64,
}

/// Claims, runs and records the orders of the buckets that this VM is asked for.
pub struct Clerk {
    holder: u64,
    books: BTreeMap<String, Book>,
    stats: Stats,
}

impl Clerk {
    /// A clerk whose claims bear `holder`: a number that no other life of any VM has.
    pub fn new(holder: u64) -> Self {
        Self { holder, books: BTreeMap::new(), stats: Stats::default() }
    }

    /// Counts since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Orders without an outcome.
    pub fn pending(&self) -> usize {
        self.books.values().map(|b| b.orders.len() + b.results.len()).sum()
    }

    /// Handles one event at `now` and appends what must be done.
    pub fn on(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Ask { key, waiter, deadline, fresh } => {
                let waiters = vec![Waiting { waiter, sure: fresh }];
                let order = Order { key, stage: Stage::Wanted, deadline, waiters };
                self.ask(now, order, out);
            }
            Event::Stored(object, stored) => self.stored(now, &object, &stored, out),
            Event::Read(object, read) => self.read(now, &object, read, out),
            Event::Ran(key, ran) => self.ran(now, key, ran, out),
            Event::Tick => self.tick(now, out),
        }
    }

    fn ask(&mut self, now: Millis, mut order: Order, out: &mut Vec<Action>) {
        self.stats.asked += 1;
        let (name, object) = (order.key.name(), order.key.object());
        let book = self.books.entry(object.clone()).or_insert_with(|| Book::new(now));
        book.used = now;
        if let Some(outcome) = book.outcome(&name) {
            out.extend(order.waiters.iter().map(|w| Action::Tell(w.waiter, outcome.clone())));
            return;
        }
        if let Some(known) = book.orders.get_mut(&name) {
            known.waiters.append(&mut order.waiters);
            return;
        }
        if book.claimed(&name) {
            order.stage = Stage::Foreign;
        }
        book.orders.insert(name, order);
        self.advance(now, &object, out);
    }

    /// Makes the next call of the store for an object, if one is needed and none is under way.
    fn advance(&mut self, now: Millis, object: &str, out: &mut Vec<Action>) {
        let Some(book) = self.books.get_mut(object) else { return };
        if book.call != Call::None || now < book.not_before {
            return;
        }
        let Some((version, ledger)) = &book.known else {
            if !book.orders.is_empty() || !book.results.is_empty() {
                book.call = Call::Reading;
                self.stats.reads += 1;
                out.push(Action::Get(object.into()));
            }
            return;
        };
        let version = *version;
        if !book.must_write(now) {
            return book.poll(now, object, &mut self.stats, out);
        }
        let (next, changed) = book.next(ledger.clone(), self.holder);
        if changed {
            book.call = Call::Writing(next.clone());
            self.stats.writes += 1;
            out.push(Action::Put(object.into(), version, next));
        }
    }

    fn stored(&mut self, now: Millis, object: &str, stored: &Stored, out: &mut Vec<Action>) {
        let Some(book) = self.books.get_mut(object) else { return };
        let Call::Writing(written) = std::mem::replace(&mut book.call, Call::None) else { return };
        book.not_before = now + PAUSE;
        match *stored {
            Stored::Done(version) => {
                if book.known.as_ref().is_some_and(|(before, _)| *before == 0) {
                    out.extend(crate::key::expired_by(object).map(Action::Expire));
                }
                book.known = Some((version, written));
                self.settle(now, object, false, out);
            }
            // Another clerk wrote first: what it claimed is not ours to run.
            Stored::Conflict => {
                book.known = None;
                book.not_before = now;
                self.advance(now, object, out);
            }
            Stored::Unavailable => {
                book.unclaim();
                book.not_before = now + BACKOFF;
            }
            // A lost reply hides whether the claims stand. Sending now could run an order that
            // another clerk claimed; only the object itself tells. A write that is still under way
            // cannot take effect unseen: reading and writing go on from the same version, and of
            // two writes from one version the store takes one.
            Stored::Unknown => {
                book.known = None;
                book.not_before = now;
                self.advance(now, object, out);
            }
        }
    }

    fn read(
        &mut self,
        now: Millis,
        object: &str,
        read: Result<Option<(Version, Ledger)>, ()>,
        out: &mut Vec<Action>,
    ) {
        let Some(book) = self.books.get_mut(object) else { return };
        book.call = Call::None;
        match read {
            Ok(found) => {
                book.known = Some(found.unwrap_or_default());
                book.poll_at = now + POLL;
                self.settle(now, object, true, out);
            }
            Err(()) => book.not_before = now + BACKOFF,
        }
    }

    /// Compares the orders under way with the claims that stand; `fresh` says that they were read
    /// from the store just now.
    fn settle(&mut self, now: Millis, object: &str, fresh: bool, out: &mut Vec<Action>) {
        let holder = self.holder;
        let Some(book) = self.books.get_mut(object) else { return };
        let Some((_, ledger)) = &book.known else { return };
        let mut ended = Vec::new();
        for (name, order) in &mut book.orders {
            if order.stage == Stage::Running {
                continue;
            }
            match ledger.claims.get(name) {
                None => {
                    order.stage = Stage::Wanted;
                    order.waiters.iter_mut().for_each(|w| w.sure |= fresh);
                }
                Some(Claim { outcome: Some(outcome), .. }) => {
                    ended.push((name.clone(), outcome.clone()));
                }
                Some(claim) if claim.holder != holder => order.stage = Stage::Foreign,
                // An earlier request of this clerk was answered as not run while the claim was under
                // way; this one gets the same outcome.
                Some(_) if book.dropped.contains(name) => {
                    let outcome = Outcome::NotRun { reason: Reason::Deadline };
                    book.results.insert(name.clone(), outcome.clone());
                    ended.push((name.clone(), outcome));
                }
                // A paused clerk can wake long after its claim was written, when the caller has given
                // up. The claim is ours for ever, so nobody else runs the order; past its deadline it
                // is recorded as not run instead.
                Some(_) if now >= order.deadline => {
                    let outcome = Outcome::NotRun { reason: Reason::Deadline };
                    book.results.insert(name.clone(), outcome.clone());
                    ended.push((name.clone(), outcome));
                }
                Some(_) => {
                    order.stage = Stage::Running;
                    self.stats.runs += 1;
                    out.push(Action::Run(order.key, order.deadline));
                }
            }
        }
        let recorded = |name: &String| ledger.claims.get(name).is_some_and(|c| c.outcome.is_some());
        book.results.retain(|name, _| !recorded(name));
        let since = book.result_since.unwrap_or(now);
        book.result_since = (!book.results.is_empty()).then_some(since);
        for (name, claim) in &ledger.claims {
            let unsent = claim.holder == holder && claim.outcome.is_none();
            let dropped = book.dropped.contains(name) && !book.orders.contains_key(name);
            if unsent && dropped {
                let outcome = Outcome::NotRun { reason: Reason::Deadline };
                book.results.entry(name.clone()).or_insert(outcome);
            }
        }
        for (name, outcome) in ended {
            book.end(&name, &outcome, out);
        }
        self.advance(now, object, out);
    }

    fn ran(&mut self, now: Millis, key: Key, ran: Ran, out: &mut Vec<Action>) {
        let object = key.object();
        let Some(book) = self.books.get_mut(&object) else { return };
        let name = key.name();
        if !book.orders.get(&name).is_some_and(|o| o.stage == Stage::Running) {
            return;
        }
        let outcome = match ran {
            Ran::Done(result) => {
                let kept = result.len() <= ledger::RESULT_BYTES;
                Outcome::Ran { result: if kept { result } else { String::new() } }
            }
            Ran::NotRun => Outcome::NotRun { reason: Reason::NoUpstream },
            Ran::Unknown => Outcome::Unknown,
        };
        book.results.insert(name.clone(), outcome.clone());
        book.result_since.get_or_insert(now);
        book.end(&name, &outcome, out);
        self.advance(now, &object, out);
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        let objects: Vec<String> = self.books.keys().cloned().collect();
        for object in objects {
            self.give_up(now, &object, out);
            self.advance(now, &object, out);
        }
        self.books.retain(|_, book| !book.idle() || now - book.used < KEEP);
    }

    /// Answers orders whose deadline has passed before they were sent.
    fn give_up(&mut self, now: Millis, object: &str, out: &mut Vec<Action>) {
        let Some(book) = self.books.get_mut(object) else { return };
        let late = |o: &Order| o.deadline <= now && o.stage != Stage::Running;
        let late: Vec<(String, Stage)> = book
            .orders
            .iter()
            .filter(|(_, o)| late(o))
            .map(|(name, o)| (name.clone(), o.stage.clone()))
            .collect();
        for (name, stage) in late {
            if stage == Stage::Claiming {
                // The claim may stand, or may yet: it must never be sent after this answer.
                book.dropped.insert(name.clone());
            }
            let reason = match () {
                () if book.known.is_none() => Reason::StoreUnavailable,
                () if book.full() => Reason::ClaimsFull,
                () => Reason::Deadline,
            };
            // "Not run" is said of the caller's order, not of this request alone. While the claims
            // cannot be read, an earlier request at another VM may have run it.
            let Some(order) = book.orders.remove(&name) else { continue };
            for Waiting { waiter, sure } in order.waiters {
                let told = stage != Stage::Foreign && sure;
                let outcome = if told { Outcome::NotRun { reason } } else { Outcome::Unknown };
                out.push(Action::Tell(waiter, outcome));
            }
        }
    }
}
