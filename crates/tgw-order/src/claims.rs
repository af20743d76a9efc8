use crate::{
    Key,
    ledger::{self, Claim, Ledger, Outcome, Reason},
    object::{Call, Order, Stage, State, Waiting},
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use tgw_clock::Millis;

/// Shortest time between two writes of one object: requests that arrive meanwhile share the next.
const WRITE_INTERVAL_MS: Millis = Millis::new(100);
/// Delay before the next call after a failed one.
const STORE_BACKOFF_MS: Millis = Millis::new(100);
/// Interval of reads of an object while another worker's claim in it has no outcome.
const POLL_INTERVAL_MS: Millis = Millis::new(250);
/// How long an object without requests is fits in memory.
const IDLE_RETENTION_MS: Millis = Millis::new(60_000);

/// The version of a stored object.
pub(crate) type Version = u64;

/// Identifies a request that waits for an order's outcome.
pub type Waiter = u64;

/// Result of a write to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WriteOutcome {
    /// It took effect; the object's new version.
    Done(Version),
    /// The object was not at the expected version; nothing was written.
    Conflict,
    /// Nothing was written.
    Unavailable,
    /// It may have taken effect, or may still take effect later.
    Unknown,
}

/// How an attempt to run an order ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// An upstream ran it and gave this answer.
    Done(String),
    /// Nothing was sent, or every upstream it was sent to stated that it did not run it.
    NotRun,
    /// It was sent, and no reply says whether it ran.
    Unknown,
}

/// Input of the [`Worker`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Event {
    /// A request for an order.
    #[serde(rename = "Ask")]
    Request {
        /// The order's key.
        key: Key,
        /// The request that waits for the outcome.
        waiter: Waiter,
        /// The order must not be sent from this time on.
        deadline: Millis,
        /// This worker has owned the key's bucket since before the key was made, so that no other
        /// worker can have received an earlier request for it.
        #[serde(rename = "fresh")]
        no_earlier_request: bool,
    },
    /// A write of the named object ended.
    #[serde(rename = "Stored")]
    WriteDone(String, WriteOutcome),
    /// A read of the named object ended; `Err` if the store did not answer.
    #[serde(rename = "Read")]
    ReadDone(String, Result<Option<(Version, Ledger)>, ()>),
    /// An attempt to run an order ended.
    #[serde(rename = "Ran")]
    RunDone(Key, RunOutcome),
    /// Time has passed.
    Tick,
}

/// What the caller of the worker must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write an object if it is at this version; zero: if it does not exist.
    Put(String, Version, Ledger),
    /// Read an object.
    Get(String),
    /// Send an order to an upstream, once, and not after the deadline.
    Run(Key, Millis),
    /// Answer a waiting request.
    Answer(Waiter, Outcome),
    /// Delete an object whose claims have expired.
    Expire(String),
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests for orders.
    pub requests: u64,
    /// Writes attempted.
    pub writes: u64,
    /// Reads attempted.
    pub reads: u64,
    /// Orders sent.
    pub runs: u64,
}

/// Claims, runs and records the orders that this VM receives requests for.
pub struct Worker {
    holder: u64,
    objects: BTreeMap<String, State>,
    stats: Stats,
}

impl Worker {
    /// A worker whose claims carry `holder`, which must be unique to one incarnation of one VM.
    pub fn new(holder: u64) -> Self {
        Self { holder, objects: BTreeMap::new(), stats: Stats::default() }
    }

    /// Counts since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Orders without an outcome.
    pub fn pending(&self) -> usize {
        self.objects.values().map(|b| b.orders.len() + b.unrecorded.len()).sum()
    }

    /// Handles one event at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Request { key, waiter, deadline, no_earlier_request } => {
                let waiters = vec![Waiting { waiter, no_earlier_run: no_earlier_request }];
                let order = Order { key, stage: Stage::Unclaimed, deadline, waiters };
                self.request(now, order, out);
            }
            Event::WriteDone(object, outcome) => self.write_done(now, &object, &outcome, out),
            Event::ReadDone(object, read) => self.read_done(now, &object, read, out),
            Event::RunDone(key, ran) => self.run_done(now, key, ran, out),
            Event::Tick => self.tick(now, out),
        }
    }

    fn request(&mut self, now: Millis, mut order: Order, out: &mut Vec<Action>) {
        self.stats.requests += 1;
        let (name, object) = (order.key.claim_name(), order.key.object_name());
        let state = self.objects.entry(object.clone()).or_insert_with(|| State::new(now));
        state.last_used = now;
        if let Some(outcome) = state.outcome(&name) {
            out.extend(order.waiters.iter().map(|w| Action::Answer(w.waiter, outcome.clone())));
            return;
        }
        if let Some(known) = state.orders.get_mut(&name) {
            known.waiters.append(&mut order.waiters);
            return;
        }
        if state.is_claimed(&name) {
            order.stage = Stage::ClaimedElsewhere;
        }
        state.orders.insert(name, order);
        self.advance(now, &object, out);
    }

    /// Makes the next call to the store for an object, if one is needed and none is in flight.
    fn advance(&mut self, now: Millis, object: &str, out: &mut Vec<Action>) {
        let Some(state) = self.objects.get_mut(object) else { return };
        if state.call != Call::None || now < state.next_call_at {
            return;
        }
        let Some((version, ledger)) = &state.known else {
            if !state.orders.is_empty() || !state.unrecorded.is_empty() {
                state.call = Call::Reading;
                self.stats.reads += 1;
                out.push(Action::Get(object.into()));
            }
            return;
        };
        let version = *version;
        if !state.must_write(now) {
            return state.poll(now, object, &mut self.stats, out);
        }
        let (next, changed) = state.next_ledger(ledger.clone(), self.holder);
        if changed {
            state.call = Call::Writing(next.clone());
            self.stats.writes += 1;
            out.push(Action::Put(object.into(), version, next));
        }
    }

    fn write_done(
        &mut self,
        now: Millis,
        object: &str,
        outcome: &WriteOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.objects.get_mut(object) else { return };
        let Call::Writing(written) = std::mem::replace(&mut state.call, Call::None) else { return };
        state.next_call_at = now + WRITE_INTERVAL_MS;
        match *outcome {
            WriteOutcome::Done(version) => {
                if state.known.as_ref().is_some_and(|(before, _)| *before == 0) {
                    out.extend(crate::key::expired_objects(object).map(Action::Expire));
                }
                state.known = Some((version, written));
                self.reconcile(now, object, false, out);
            }
            // Another worker wrote first: orders that it claimed must not be run here.
            WriteOutcome::Conflict => {
                state.known = None;
                state.next_call_at = now;
                self.advance(now, object, out);
            }
            WriteOutcome::Unavailable => {
                state.reset_claiming();
                state.next_call_at = now + STORE_BACKOFF_MS;
            }
            // After a lost reply it is unknown whether the claims were written, and sending now could
            // run an order that another worker claimed, so the object is read. If the write is still
            // in flight, it cannot take effect unnoticed: the next write expects the version that
            // was read, and the store accepts only one of two writes from the same version.
            WriteOutcome::Unknown => {
                state.known = None;
                state.next_call_at = now;
                self.advance(now, object, out);
            }
        }
    }

    fn read_done(
        &mut self,
        now: Millis,
        object: &str,
        read: Result<Option<(Version, Ledger)>, ()>,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = self.objects.get_mut(object) else { return };
        state.call = Call::None;
        match read {
            Ok(found) => {
                state.known = Some(found.unwrap_or_default());
                state.poll_at = now + POLL_INTERVAL_MS;
                self.reconcile(now, object, true, out);
            }
            Err(()) => state.next_call_at = now + STORE_BACKOFF_MS,
        }
    }

    /// Compares the orders with the claims in the store; `just_read` says that the claims were just read,
    /// not written.
    fn reconcile(&mut self, now: Millis, object: &str, just_read: bool, out: &mut Vec<Action>) {
        let holder = self.holder;
        let Some(state) = self.objects.get_mut(object) else { return };
        let Some((_, ledger)) = &state.known else { return };
        let mut ended = Vec::new();
        for (name, order) in &mut state.orders {
            if order.stage == Stage::Running {
                continue;
            }
            match ledger.claims.get(name) {
                None => {
                    order.stage = Stage::Unclaimed;
                    order.waiters.iter_mut().for_each(|w| w.no_earlier_run |= just_read);
                }
                Some(Claim { outcome: Some(outcome), .. }) => {
                    ended.push((name.clone(), outcome.clone()));
                }
                Some(claim) if claim.holder != holder => order.stage = Stage::ClaimedElsewhere,
                // An earlier request at this worker was answered as not run while the claim was being
                // written; this one gets the same outcome.
                Some(_) if state.never_send.contains(name) => {
                    let outcome = Outcome::NotRun { reason: Reason::Deadline };
                    state.unrecorded.insert(name.clone(), outcome.clone());
                    ended.push((name.clone(), outcome));
                }
                // A paused worker can resume long after its claim was written, when the caller has
                // given up. No other worker runs the order, as the claim never changes its holder;
                // past its deadline the order is recorded as not run instead.
                Some(_) if now >= order.deadline => {
                    let outcome = Outcome::NotRun { reason: Reason::Deadline };
                    state.unrecorded.insert(name.clone(), outcome.clone());
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
        state.unrecorded.retain(|name, _| !recorded(name));
        let since = state.unrecorded_since.unwrap_or(now);
        state.unrecorded_since = (!state.unrecorded.is_empty()).then_some(since);
        for (name, claim) in &ledger.claims {
            let without_outcome = claim.holder == holder && claim.outcome.is_none();
            let answered_not_run =
                state.never_send.contains(name) && !state.orders.contains_key(name);
            if without_outcome && answered_not_run {
                let outcome = Outcome::NotRun { reason: Reason::Deadline };
                state.unrecorded.entry(name.clone()).or_insert(outcome);
            }
        }
        for (name, outcome) in ended {
            state.answer_waiters(&name, &outcome, out);
        }
        self.advance(now, object, out);
    }

    fn run_done(&mut self, now: Millis, key: Key, ran: RunOutcome, out: &mut Vec<Action>) {
        let object = key.object_name();
        let Some(state) = self.objects.get_mut(&object) else { return };
        let name = key.claim_name();
        if !state.orders.get(&name).is_some_and(|o| o.stage == Stage::Running) {
            return;
        }
        let outcome = match ran {
            RunOutcome::Done(result) => {
                let fits = result.len() <= ledger::MAX_RESULT_BYTES;
                Outcome::Ran { result: if fits { result } else { String::new() } }
            }
            RunOutcome::NotRun => Outcome::NotRun { reason: Reason::NoUpstream },
            RunOutcome::Unknown => Outcome::Unknown,
        };
        state.unrecorded.insert(name.clone(), outcome.clone());
        state.unrecorded_since.get_or_insert(now);
        state.answer_waiters(&name, &outcome, out);
        self.advance(now, &object, out);
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        let names: Vec<String> = self.objects.keys().cloned().collect();
        for object in names {
            self.expire_orders(now, &object, out);
            self.advance(now, &object, out);
        }
        self.objects
            .retain(|_, state| !state.is_idle() || now - state.last_used < IDLE_RETENTION_MS);
    }

    /// Answers the requests of orders whose deadline passed before they were sent.
    fn expire_orders(&mut self, now: Millis, object: &str, out: &mut Vec<Action>) {
        let Some(state) = self.objects.get_mut(object) else { return };
        let overdue = |o: &Order| o.deadline <= now && o.stage != Stage::Running;
        let overdue: Vec<(String, Stage)> = state
            .orders
            .iter()
            .filter(|(_, o)| overdue(o))
            .map(|(name, o)| (name.clone(), o.stage.clone()))
            .collect();
        for (name, stage) in overdue {
            if stage == Stage::Claiming {
                // The claim may be written now or later: the order must never be sent after this answer.
                state.never_send.insert(name.clone());
            }
            let reason = match () {
                () if state.known.is_none() => Reason::StoreUnavailable,
                () if state.is_full() => Reason::ClaimsFull,
                () => Reason::Deadline,
            };
            // "Not run" is a statement about the order, not only about this request. While the claims
            // cannot be read, an earlier request at another VM may have run it.
            let Some(order) = state.orders.remove(&name) else { continue };
            for Waiting { waiter, no_earlier_run } in order.waiters {
                let certain = stage != Stage::ClaimedElsewhere && no_earlier_run;
                let outcome = if certain { Outcome::NotRun { reason } } else { Outcome::Unknown };
                out.push(Action::Answer(waiter, outcome));
            }
        }
    }
}
