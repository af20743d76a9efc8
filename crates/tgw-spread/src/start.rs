//! When a VM that starts reads the platform's store itself, and whom it asks before.
//!
//! Calls to the store are to grow with failure domains, not with VMs. A VM that starts therefore asks those
//! that others ask first, its seeds, how far they are, and is told by them. A seed reads the store unless others
//! hold the state; any other VM does so only if none of those that it asked holds the state or is about to.
//!
//! Where all VMs start at once, seeds may come up last. A VM that hears nothing at first reads a
//! copy that costs the store little and may be seconds old, and serves by that until it is told. No I/O.

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tgw_clock::Millis;

/// First time in ms between two questions to the same VMs; doubles. A VM that starts with all others may ask
/// before those have bound their sockets.
const SEEK: Millis = Millis::new(50);
/// Longest time in ms between two questions.
const SEEK_MOST: Millis = Millis::new(400);
/// VMs that are asked at a time: as many seeds as the platform names.
const SEEK_AT: usize = 3;
/// Time in ms without word of a VM that holds the state after which a VM reads a copy of the store, and a seed
/// the store itself: above the longest way there and back (40 ms).
const COPY: Millis = Millis::new(60);
/// Time in ms after which a VM reads a copy though another VM holds the state: that one is slow to tell it.
const SLOW: Millis = Millis::new(250);
/// Time in ms without any answer after which a VM reads the store: all VMs start within 0.3 s, the seeds
/// perhaps last, and as long again is left for an answer of theirs.
const ALONE: Millis = Millis::new(600);
/// The same where the whole fleet starts for the first time: no caller waits yet.
const ALONE_FIRST: Millis = Millis::new(1_500);
/// Readings of VMs that heard nothing are spread over this time in ms.
const SPREAD: Millis = Millis::new(400);
/// Time in ms for which a VM counts on another that said that it reads the store: two questions, of which one
/// may be lost, or the VM may have died.
const PROMISE: Millis = Millis::new(900);
/// Time in ms after which a VM that was told nothing reads the store whatever readers say: these may see less
/// of it than this VM would. A first configuration may be written seconds after all VMs started.
const PATIENCE: Millis = Millis::new(10_000);
/// Time in ms after which a VM reads the store though another holds the state: telling 300 VMs, four at a
/// time each, takes under a second, and the holder may be slow or paused.
const TOLD: Millis = Millis::new(1_500);
/// Time in ms before a VM that found nothing in the store looks again; doubles.
const EMPTY: Millis = Millis::new(2_000);
/// Longest such time in ms.
const EMPTY_MOST: Millis = Millis::new(8_000);
/// Time in ms after which another VM is asked for the state, while one has not answered yet.
const ASK: Millis = Millis::new(300);

/// How long a VM waits for others.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct Waits {
    /// Until it reads a copy of the store, or as a seed the store itself.
    pub copy: Millis,
    /// Until it reads the store, where the fleet does not start for the first time.
    pub alone: Millis,
}

impl Default for Waits {
    fn default() -> Self {
        Self { copy: COPY, alone: ALONE }
    }
}

/// How a VM begins.
#[derive(Clone, Debug)]
pub struct Options {
    /// This VM is among those that others ask first.
    pub seed: bool,
    /// The whole fleet starts for the first time.
    pub first: bool,
    /// Whom it asks first; some may be down, or not there any more.
    pub seeds: Vec<SocketAddr>,
    /// How long it waits for others.
    pub waits: Waits,
    /// Seed of the choices made at random.
    pub random: u64,
}

/// How far a VM is.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Found {
    /// The version of its configuration; zero for none.
    pub config: u64,
    /// The version of its list of upstreams; zero for none.
    pub upstreams: u64,
    /// It reads the platform's store, and was not refused.
    pub reads: bool,
}

impl Found {
    fn is_beyond(self, other: Self) -> bool {
        self.config > other.config || self.upstreams > other.upstreams
    }
}

/// What this VM is told.
#[derive(Copy, Clone, Debug)]
pub enum Event<'a> {
    /// Time has passed.
    Tick,
    /// These VMs may be asked.
    Peers(&'a [SocketAddr]),
    /// A VM has answered how far it is.
    Found(SocketAddr, Found),
    /// A VM tells others just now; these hold what it holds.
    Busy(&'a [SocketAddr]),
    /// A VM that was asked for the state has answered, or cannot be asked.
    Answered,
    /// This VM holds these versions.
    Holds {
        /// Of the configuration.
        config: u64,
        /// Of the list of upstreams.
        upstreams: u64,
    },
    /// This VM has read the store and found no configuration, or no upstream.
    Empty,
    /// The store did not answer this VM.
    Refused,
}

/// What must be done.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask a VM how far it is.
    Seek(SocketAddr),
    /// Ask a VM for the state.
    Ask(SocketAddr),
}

/// The start of one VM.
#[derive(Clone, Debug)]
pub struct Start {
    seeds: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    began: Millis,
    /// When it reads the store if nobody promises to.
    read_at: Millis,
    /// When it reads a copy of the store if nobody holds the state.
    copy_at: Option<Millis>,
    seed: bool,
    /// Another VM has answered.
    heard: bool,
    empty: Millis,
    promised: Option<Millis>,
    /// When a VM was found first that holds what this one lacks.
    held: Option<Millis>,
    seek_at: Millis,
    gap: Millis,
    asked: Option<Millis>,
    holds: Found,
    rng: SmallRng,
}

impl Start {
    /// A VM that starts at `now` and knows nothing.
    pub fn new(now: Millis, options: Options) -> Self {
        let mut rng = SmallRng::seed_from_u64(options.random);
        let Options { seed, first, waits, .. } = options;
        let draw = SPREAD.scale(rng.random_range(0.0..1.0));
        let wait = match (seed, first) {
            (true, true) => Millis::ZERO,
            (true, false) => waits.copy,
            (false, true) => ALONE_FIRST + draw,
            (false, false) => waits.alone + draw,
        };
        let copies = !seed && !first;
        Self {
            seeds: options.seeds,
            peers: Vec::new(),
            began: now,
            read_at: now + wait,
            copy_at: copies.then_some(now + waits.copy),
            seed,
            heard: false,
            empty: EMPTY,
            promised: None,
            held: None,
            seek_at: now,
            gap: SEEK,
            asked: None,
            holds: Found::default(),
            rng,
        }
    }

    /// Whether this VM holds a configuration and a list of upstreams: its start is over.
    pub fn is_over(&self) -> bool {
        self.holds.config > 0 && self.holds.upstreams > 0
    }

    /// When this VM is to read the store itself, as long as it was told nothing.
    pub fn due(&self) -> Millis {
        let promised = self.promised.map_or(Millis::ZERO, |at| at + PROMISE);
        let latest = self.held.map_or(self.began + PATIENCE, |at| at + TOLD);
        self.read_at.max(promised.min(latest))
    }

    /// Whether this VM is to read a copy of the store now; true once at most.
    pub fn reads_copy(&mut self, now: Millis) -> bool {
        let due = self.copy_at.is_some_and(|at| now >= at.max(self.held.map_or(at, |h| h + SLOW)));
        let reads = due && !self.is_over();
        if reads {
            self.copy_at = None;
        }
        reads
    }

    /// Handles one event at `now` and appends what must be done.
    pub fn on(&mut self, now: Millis, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.seek(now, out),
            Event::Peers(peers) => self.peers = peers.to_vec(),
            Event::Found(from, found) => self.found(now, from, found, out),
            Event::Busy(others) => {
                self.asked = None;
                let other = others.choose(&mut self.rng).copied();
                self.ask(now, other, out);
            }
            Event::Answered => self.asked = None,
            Event::Holds { config, upstreams } => {
                self.holds = Found { config, upstreams, ..self.holds };
            }
            Event::Empty => self.put_off(now),
            // An outage of the store is not to be answered by all VMs that wait for its end: seeds go on
            // trying, and tell the others. 300 VMs made 2,700 calls in two seconds of it, with this 1,240.
            Event::Refused if self.heard && !self.seed => self.put_off(now),
            Event::Refused => {}
        }
    }

    /// Reads the store later, and later again the next time.
    fn put_off(&mut self, now: Millis) {
        self.read_at = now + self.empty.scale(self.rng.random_range(0.5..1.0));
        self.empty = (self.empty + self.empty).min(EMPTY_MOST);
    }

    fn found(&mut self, now: Millis, from: SocketAddr, found: Found, out: &mut Vec<Action>) {
        self.heard = true;
        if found.is_beyond(self.holds) {
            self.held.get_or_insert(now);
            self.ask(now, Some(from), out);
        }
        // A VM that holds the state may be asked; one that neither holds nor reads it, as the store turns it
        // away, promises nothing: who counted on it would wait for as long as the store does so.
        if found.reads || found.is_beyond(self.holds) {
            self.promised = Some(now);
        }
    }

    fn ask(&mut self, now: Millis, whom: Option<SocketAddr>, out: &mut Vec<Action>) {
        let waits = self.asked.is_some_and(|at| now - at < ASK);
        if let Some(whom) = whom.filter(|_| !waits && !self.is_over()) {
            self.asked = Some(now);
            out.push(Action::Ask(whom));
        }
    }

    fn seek(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now < self.seek_at || self.is_over() {
            return;
        }
        self.seek_at = now + self.gap;
        self.gap = (self.gap + self.gap).min(SEEK_MOST);
        // Seeds first: the VMs that are known besides are likely to know as little.
        let more = SEEK_AT.saturating_sub(self.seeds.len().min(SEEK_AT));
        let seeds = self.seeds.choose_multiple(&mut self.rng, SEEK_AT).copied();
        let mut asked: Vec<SocketAddr> = seeds.collect();
        let peers = self.peers.choose_multiple(&mut self.rng, more.max(1)).copied();
        asked.extend(peers);
        asked.sort_unstable();
        asked.dedup();
        out.extend(asked.into_iter().map(Action::Seek));
    }
}
