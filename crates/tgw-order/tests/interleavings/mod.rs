//! Two clerks, one store, one upstream and a caller that repeats itself, in a random order that a
//! seed fixes.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet};
use tgw_clock::Millis;
use tgw_order::{Action, Clerk, Event, Key, Ledger, Outcome, Ran, Stored};
use tgw_topology::Service;

const KEYS: usize = 3;
const NOW_S: u64 = 1_800_000_000;
const TIME_FOR_AN_ORDER: Millis = Millis::new(400);

/// A call of the store that is under way.
struct Call {
    clerk: usize,
    life: u64,
    action: Action,
}

struct Asked {
    key: Key,
    outcome: Option<Outcome>,
    /// The steps in which it was made and answered.
    made: usize,
    answered: usize,
}

struct Seat {
    clerk: Clerk,
    life: u64,
    paused: bool,
    /// It has not been paused: nobody else can have taken its place.
    stable: bool,
    inbox: Vec<Event>,
}

pub(crate) struct World {
    seed: u64,
    rng: SmallRng,
    now: Millis,
    lives: u64,
    seats: Vec<Seat>,
    store: BTreeMap<String, (u64, Ledger)>,
    version: u64,
    down: bool,
    calls: Vec<Call>,
    running: Vec<(usize, u64, Key)>,
    /// What the upstream ran: the key and the step in which it was sent.
    runs: Vec<(Key, usize)>,
    asked: Vec<Asked>,
    /// Who was asked for a key.
    askers: BTreeMap<Key, BTreeSet<(usize, u64)>>,
    log: Vec<String>,
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let seat = |life| Seat {
            clerk: Clerk::new(life),
            life,
            paused: false,
            stable: true,
            inbox: Vec::new(),
        };
        Self {
            seed,
            rng: SmallRng::seed_from_u64(seed),
            now: Millis::new(1),
            lives: 2,
            seats: vec![seat(1), seat(2)],
            store: BTreeMap::new(),
            version: 0,
            down: false,
            calls: Vec::new(),
            running: Vec::new(),
            runs: Vec::new(),
            asked: Vec::new(),
            askers: BTreeMap::new(),
            log: Vec::new(),
        }
    }

    pub(crate) fn runs(&self) -> usize {
        self.runs.len()
    }

    pub(crate) fn told(&self) -> impl Iterator<Item = &'static str> {
        self.asked.iter().filter_map(|a| a.outcome.as_ref()).map(|outcome| match outcome {
            Outcome::Ran { .. } => "ran",
            Outcome::NotRun { .. } => "not_run",
            Outcome::Unknown => "unknown",
        })
    }

    /// One thing that may happen next.
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

    /// Lets everything end: store up, nobody paused, all calls answered.
    pub(crate) fn settle(&mut self) {
        self.down = false;
        for seat in 0..self.seats.len() {
            self.resume(seat);
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
        let key = Key::read(Service(0), &text, NOW_S).expect("a valid key");
        let seat = self.rng.random_range(0..self.seats.len());
        let waiter = self.asked.len() as u64;
        let made = self.log.len();
        let asked = Asked { key, outcome: None, made, answered: usize::MAX };
        self.asked.push(asked);
        let deadline = self.now + TIME_FOR_AN_ORDER;
        self.log.push(format!("{} ask {waiter} key {number} at {seat}", self.now));
        self.give(seat, Event::Ask { key, waiter, deadline, fresh: false });
    }

    fn give(&mut self, seat: usize, event: Event) {
        if self.seats[seat].paused {
            self.seats[seat].inbox.push(event);
            return;
        }
        let mut event = event;
        if let Event::Ask { key, fresh, .. } = &mut event {
            // What a VM knows while all agree on the clerk: whether the key can have been asked before.
            let asker = (seat, self.seats[seat].life);
            let askers = self.askers.entry(*key).or_default();
            askers.insert(asker);
            *fresh = self.seats[seat].stable && askers.len() == 1;
        }
        let mut out = Vec::new();
        self.seats[seat].clerk.on(self.now, event, &mut out);
        for action in out {
            self.act(seat, action);
        }
    }

    fn act(&mut self, seat: usize, action: Action) {
        let life = self.seats[seat].life;
        match action {
            Action::Put(..) | Action::Get(_) => {
                self.calls.push(Call { clerk: seat, life, action });
            }
            Action::Run(key, deadline) => {
                assert!(self.now < deadline, "seed {}: sent after its deadline", self.seed);
                self.log.push(format!("{} run by {seat}", self.now));
                self.runs.push((key, self.log.len()));
                self.running.push((seat, life, key));
            }
            Action::Tell(waiter, outcome) => {
                self.log.push(format!("{} tell {waiter} {outcome:?}", self.now));
                let asked = &mut self.asked[waiter as usize];
                assert!(asked.outcome.is_none(), "seed {}: answered twice", self.seed);
                asked.answered = self.log.len();
                asked.outcome = Some(outcome);
            }
            Action::Expire(_) => {}
        }
    }

    /// One call reaches the store, in any order; its reply may be lost.
    fn answer_call(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.calls.len());
        let Call { clerk, life, action } = self.calls.swap_remove(at);
        let lost = self.rng.random_bool(0.15);
        // A lost reply may be noticed before the write takes effect: the write is put back.
        let late = lost && matches!(action, Action::Put(..)) && self.rng.random_bool(0.5);
        let event = match &action {
            Action::Get(object) => {
                let read = self.store.get(object).cloned();
                let failed = self.down || lost;
                Event::Read(object.clone(), if failed { Err(()) } else { Ok(read) })
            }
            Action::Put(object, _, _) if late => {
                let event = Event::Stored(object.clone(), Stored::Unknown);
                // The clerk's life does not matter to the store.
                self.calls.push(Call { clerk, life: u64::MAX, action: action.clone() });
                event
            }
            Action::Put(object, expected, ledger) => {
                let stored = self.put(object, *expected, ledger);
                let stored = if lost && !self.down { Stored::Unknown } else { stored };
                Event::Stored(object.clone(), stored)
            }
            _ => return,
        };
        if self.seats[clerk].life == life {
            self.give(clerk, event);
        }
    }

    fn put(&mut self, object: &str, expected: u64, ledger: &Ledger) -> Stored {
        if self.down {
            return Stored::Unavailable;
        }
        let current = self.store.get(object).map_or(0, |(version, _)| *version);
        if current != expected {
            return Stored::Conflict;
        }
        self.version += 1;
        self.store.insert(object.into(), (self.version, ledger.clone()));
        Stored::Done(self.version)
    }

    fn end_run(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.running.len());
        let (seat, life, key) = self.running.swap_remove(at);
        if self.seats[seat].life != life {
            return;
        }
        let ran = match self.rng.random_range(0..10) {
            0..7 => Ran::Done("done".into()),
            7 => {
                // The upstream states that it did not run it: that sending does not count.
                self.runs.retain(|(k, _)| *k != key);
                Ran::NotRun
            }
            _ => Ran::Unknown,
        };
        self.give(seat, Event::Ran(key, ran));
    }

    fn tick(&mut self) {
        for seat in 0..self.seats.len() {
            if !self.seats[seat].paused {
                self.give(seat, Event::Tick);
            }
        }
    }

    fn pause(&mut self) {
        let seat = self.rng.random_range(0..self.seats.len());
        if self.seats[seat].paused {
            self.now += Millis::new(self.rng.random_range(0..2000));
            self.resume(seat);
        } else {
            self.log.push(format!("{} pause {seat}", self.now));
            self.seats[seat].paused = true;
        }
    }

    fn resume(&mut self, seat: usize) {
        self.seats[seat].stable &= !self.seats[seat].paused;
        self.seats[seat].paused = false;
        let events = std::mem::take(&mut self.seats[seat].inbox);
        for event in events {
            self.give(seat, event);
        }
    }

    fn crash(&mut self) {
        let seat = self.rng.random_range(0..self.seats.len());
        self.lives += 1;
        self.log.push(format!("{} crash {seat}", self.now));
        let life = self.lives;
        self.seats[seat] =
            Seat { clerk: Clerk::new(life), life, paused: false, stable: true, inbox: Vec::new() };
    }

    /// The promises about orders.
    pub(crate) fn check(&self) {
        let story = || format!("seed {}:\n{}", self.seed, self.log.join("\n"));
        for (key, _) in &self.runs {
            let runs = self.runs.iter().filter(|(k, _)| k == key).count();
            assert!(runs <= 1, "{key:?} ran {runs} times, {}", story());
        }
        for asked in &self.asked {
            let sent = self.runs.iter().find(|(key, _)| *key == asked.key).map(|(_, step)| *step);
            // Requests that were under way with this one, or came after it, may have run the order.
            let others = self
                .asked
                .iter()
                .any(|a| a.key == asked.key && a.made != asked.made && a.answered >= asked.made);
            match &asked.outcome {
                Some(Outcome::Ran { .. }) => assert!(sent.is_some(), "told ran, {}", story()),
                Some(Outcome::NotRun { .. }) => {
                    let before = sent.is_some_and(|step| step < asked.made);
                    assert!(!before, "had run before, {}", story());
                    assert!(others || sent.is_none(), "ran after not_run, {}", story());
                }
                Some(Outcome::Unknown) | None => {}
            }
        }
    }
}
