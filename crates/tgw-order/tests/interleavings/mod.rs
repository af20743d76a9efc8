//! Simulation of two workers, one store, one upstream and a caller that repeats its requests. A seed
//! determines the order of events.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet};
use tgw_clock::Millis;
use tgw_order::{Action, Event, Key, Ledger, Outcome, RunOutcome, Worker, WriteOutcome};
use tgw_topology::Service;

const KEYS: usize = 3;
const NOW_S: u64 = 1_800_000_000;
const ORDER_TIMEOUT_MS: Millis = Millis::new(400);

/// A call to the store that is in flight.
struct Call {
    instance: usize,
    incarnation: u64,
    action: Action,
}

struct Request {
    key: Key,
    outcome: Option<Outcome>,
    /// Positions in the log at which it was made and answered.
    made: usize,
    answered: usize,
}

struct Instance {
    worker: Worker,
    incarnation: u64,
    paused: bool,
    /// It was never paused, so no other instance can have acted for it.
    stable: bool,
    inbox: Vec<Event>,
}

pub(crate) struct Simulation {
    seed: u64,
    rng: SmallRng,
    now: Millis,
    incarnations: u64,
    instances: Vec<Instance>,
    store: BTreeMap<String, (u64, Ledger)>,
    version: u64,
    down: bool,
    calls: Vec<Call>,
    running: Vec<(usize, u64, Key)>,
    /// The orders that the upstream ran: key and position in the log at which it was sent.
    runs: Vec<(Key, usize)>,
    requests: Vec<Request>,
    /// The instances that received a request for each key.
    receivers: BTreeMap<Key, BTreeSet<(usize, u64)>>,
    log: Vec<String>,
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        let instance = |incarnation| Instance {
            worker: Worker::new(incarnation),
            incarnation,
            paused: false,
            stable: true,
            inbox: Vec::new(),
        };
        Self {
            seed,
            rng: SmallRng::seed_from_u64(seed),
            now: Millis::new(1),
            incarnations: 2,
            instances: vec![instance(1), instance(2)],
            store: BTreeMap::new(),
            version: 0,
            down: false,
            calls: Vec::new(),
            running: Vec::new(),
            runs: Vec::new(),
            requests: Vec::new(),
            receivers: BTreeMap::new(),
            log: Vec::new(),
        }
    }

    pub(crate) fn runs(&self) -> usize {
        self.runs.len()
    }

    pub(crate) fn outcomes(&self) -> impl Iterator<Item = &'static str> {
        self.requests.iter().filter_map(|a| a.outcome.as_ref()).map(|outcome| match outcome {
            Outcome::Ran { .. } => "ran",
            Outcome::NotRun { .. } => "not_run",
            Outcome::Unknown => "unknown",
        })
    }

    /// Performs one random event.
    pub(crate) fn step(&mut self) {
        self.now += Millis::new(self.rng.random_range(1..40));
        match self.rng.random_range(0..100) {
            0..20 => self.ask(),
            20..50 => self.answer_call(),
            50..65 => self.end_run(),
            65..85 => self.tick(),
            85..90 => self.pause(),
            90..93 => self.crash(),
            _ => self.down = self.rng.random_bool(0.3),
        }
    }

    /// Lets all requests end: the store is up, no instance is paused, and all calls are answered.
    pub(crate) fn settle(&mut self) {
        self.down = false;
        for instance in 0..self.instances.len() {
            self.resume(instance);
        }
        for _ in 0..200 {
            self.now += Millis::new(50);
            while !self.calls.is_empty() {
                self.answer_call();
            }
            while !self.running.is_empty() {
                self.end_run();
            }
            self.tick();
        }
    }

    fn ask(&mut self) {
        let number = self.rng.random_range(0..KEYS);
        let text = format!("{NOW_S}-{}-{number}", self.seed);
        let key = Key::parse(Service(0), &text, NOW_S).expect("a valid key");
        let instance = self.rng.random_range(0..self.instances.len());
        let waiter = self.requests.len() as u64;
        let made = self.log.len();
        let request = Request { key, outcome: None, made, answered: usize::MAX };
        self.requests.push(request);
        let deadline = self.now + ORDER_TIMEOUT_MS;
        self.log.push(format!("{} ask {waiter} key {number} at {instance}", self.now));
        self.deliver(instance, Event::Request { key, waiter, deadline, no_earlier_request: false });
    }

    fn deliver(&mut self, instance: usize, event: Event) {
        if self.instances[instance].paused {
            self.instances[instance].inbox.push(event);
            return;
        }
        let mut event = event;
        if let Event::Request { key, no_earlier_request, .. } = &mut event {
            // A VM knows this while all VMs agree on the bucket's owner: whether an earlier request for
            // the key can have reached another VM.
            let receiver = (instance, self.instances[instance].incarnation);
            let receivers = self.receivers.entry(*key).or_default();
            receivers.insert(receiver);
            *no_earlier_request = self.instances[instance].stable && receivers.len() == 1;
        }
        let mut out = Vec::new();
        self.instances[instance].worker.handle(self.now, event, &mut out);
        for action in out {
            self.apply(instance, action);
        }
    }

    fn apply(&mut self, instance: usize, action: Action) {
        let incarnation = self.instances[instance].incarnation;
        match action {
            Action::Put(..) | Action::Get(_) => {
                self.calls.push(Call { instance, incarnation, action });
            }
            Action::Run(key, deadline) => {
                assert!(self.now < deadline, "seed {}: sent after its deadline", self.seed);
                self.log.push(format!("{} run by {instance}", self.now));
                self.runs.push((key, self.log.len()));
                self.running.push((instance, incarnation, key));
            }
            Action::Answer(waiter, outcome) => {
                self.log.push(format!("{} tell {waiter} {outcome:?}", self.now));
                let request = &mut self.requests[waiter as usize];
                assert!(request.outcome.is_none(), "seed {}: answered twice", self.seed);
                request.answered = self.log.len();
                request.outcome = Some(outcome);
            }
            Action::Expire(_) => {}
        }
    }

    /// Handles one call at the store, in any order; its reply may be lost.
    fn answer_call(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.calls.len());
        let Call { instance, incarnation, action } = self.calls.swap_remove(at);
        let lost = self.rng.random_bool(0.15);
        // A reply may be reported as lost before the write takes effect: the write stays in flight.
        let late = lost && matches!(action, Action::Put(..)) && self.rng.random_bool(0.5);
        let event = match &action {
            Action::Get(object) => {
                let read = self.store.get(object).cloned();
                let failed = self.down || lost;
                Event::ReadDone(object.clone(), if failed { Err(()) } else { Ok(read) })
            }
            Action::Put(object, _, _) if late => {
                let event = Event::WriteDone(object.clone(), WriteOutcome::Unknown);
                // No incarnation matches this, so its reply is dropped.
                self.calls.push(Call { instance, incarnation: u64::MAX, action: action.clone() });
                event
            }
            Action::Put(object, expected, ledger) => {
                let outcome = self.put(object, *expected, ledger);
                let outcome = if lost && !self.down { WriteOutcome::Unknown } else { outcome };
                Event::WriteDone(object.clone(), outcome)
            }
            _ => return,
        };
        if self.instances[instance].incarnation == incarnation {
            self.deliver(instance, event);
        }
    }

    fn put(&mut self, object: &str, expected: u64, ledger: &Ledger) -> WriteOutcome {
        if self.down {
            return WriteOutcome::Unavailable;
        }
        let current = self.store.get(object).map_or(0, |(version, _)| *version);
        if current != expected {
            return WriteOutcome::Conflict;
        }
        self.version += 1;
        self.store.insert(object.into(), (self.version, ledger.clone()));
        WriteOutcome::Done(self.version)
    }

    fn end_run(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.running.len());
        let (instance, incarnation, key) = self.running.swap_remove(at);
        if self.instances[instance].incarnation != incarnation {
            return;
        }
        let ran = match self.rng.random_range(0..10) {
            0..7 => RunOutcome::Done("done".into()),
            7 => {
                // The upstream states that it did not run the order: this send does not count.
                self.runs.retain(|(k, _)| *k != key);
                RunOutcome::NotRun
            }
            _ => RunOutcome::Unknown,
        };
        self.deliver(instance, Event::RunDone(key, ran));
    }

    fn tick(&mut self) {
        for instance in 0..self.instances.len() {
            if !self.instances[instance].paused {
                self.deliver(instance, Event::Tick);
            }
        }
    }

    fn pause(&mut self) {
        let instance = self.rng.random_range(0..self.instances.len());
        if self.instances[instance].paused {
            self.now += Millis::new(self.rng.random_range(0..2000));
            self.resume(instance);
        } else {
            self.log.push(format!("{} pause {instance}", self.now));
            self.instances[instance].paused = true;
        }
    }

    fn resume(&mut self, instance: usize) {
        self.instances[instance].stable &= !self.instances[instance].paused;
        self.instances[instance].paused = false;
        let events = std::mem::take(&mut self.instances[instance].inbox);
        for event in events {
            self.deliver(instance, event);
        }
    }

    fn crash(&mut self) {
        let instance = self.rng.random_range(0..self.instances.len());
        self.incarnations += 1;
        self.log.push(format!("{} crash {instance}", self.now));
        let incarnation = self.incarnations;
        self.instances[instance] = Instance {
            worker: Worker::new(incarnation),
            incarnation,
            paused: false,
            stable: true,
            inbox: Vec::new(),
        };
    }

    /// Checks that no order ran twice and that every outcome given to a caller is true.
    pub(crate) fn check(&self) {
        let history = || format!("seed {}:\n{}", self.seed, self.log.join("\n"));
        for (key, _) in &self.runs {
            let runs = self.runs.iter().filter(|(k, _)| k == key).count();
            assert!(runs <= 1, "{key:?} ran {runs} times, {}", history());
        }
        for request in &self.requests {
            let sent = self.runs.iter().find(|(key, _)| *key == request.key).map(|(_, step)| *step);
            // Requests that overlapped with this one, or came after it, may have run the order.
            let others = self.requests.iter().any(|a| {
                a.key == request.key && a.made != request.made && a.answered >= request.made
            });
            match &request.outcome {
                Some(Outcome::Ran { .. }) => assert!(sent.is_some(), "not sent, {}", history()),
                Some(Outcome::NotRun { .. }) => {
                    let before = sent.is_some_and(|step| step < request.made);
                    assert!(!before, "answered as not run but was sent before, {}", history());
                    assert!(
                        others || sent.is_none(),
                        "sent although answered as not run, {}",
                        history()
                    );
                }
                Some(Outcome::Unknown) | None => {}
            }
        }
    }
}
