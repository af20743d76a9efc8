//! When a VM that starts reads the platform's store itself, and which VMs it asks before.
//!
//! The number of calls to the store must grow with failure domains, not with VMs. A VM that starts therefore first asks
//! its seeds which versions they hold, and receives the state from them. A seed reads the store unless other VMs hold
//! the state; any other VM reads it only if none of the VMs that it asked holds the state or is about to.
//!
//! If all VMs start at once, the seeds may come up last. A VM that receives no answer at first reads a copy of the
//! store, which costs the store little and may be seconds old, and serves from that until it receives the state.
//! No I/O.

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tgw_clock::Millis;

/// First interval in ms between queries to the same VMs; doubles. A VM that starts with all others may send queries
/// before those have bound their sockets.
const QUERY_INTERVAL_MS: Millis = Millis::new(50);
/// Longest interval in ms between queries.
const MAX_QUERY_INTERVAL_MS: Millis = Millis::new(400);
/// VMs that are queried at a time: as many as the platform names seeds.
const QUERY_FANOUT: usize = 3;
/// Time in ms after which, if no VM that holds the state was found, a VM reads a copy of the store and a seed the store
/// itself: above the longest round trip (40 ms).
const COPY_TIMEOUT_MS: Millis = Millis::new(60);
/// Time in ms after which a VM reads a copy although another VM holds the state, as that one is slow to send it.
const SLOW_HOLDER_TIMEOUT_MS: Millis = Millis::new(250);
/// Time in ms without any answer after which a VM reads the store: all VMs start within 0.3 s, the seeds perhaps last,
/// and the seeds have as long again to answer.
const NO_ANSWER_TIMEOUT_MS: Millis = Millis::new(600);
/// The same timeout in ms if the whole fleet starts for the first time, when no caller waits yet.
const FIRST_START_TIMEOUT_MS: Millis = Millis::new(1_500);
/// Range in ms of the random delay that spreads the reads of VMs without an answer.
const READ_JITTER_MS: Millis = Millis::new(400);
/// Time in ms for which a VM relies on another's last answer that it reads the store: two queries, of which one may be
/// lost. After that the other VM may have died.
const READER_TIMEOUT_MS: Millis = Millis::new(900);
/// Time in ms after which a VM without the state reads the store even if others say that they read it: they may see
/// less of the store than this VM would. A first configuration may be written seconds after all VMs started.
const MAX_READER_WAIT_MS: Millis = Millis::new(10_000);
/// Time in ms after which a VM reads the store although another VM holds the state: sending the state to 300 VMs, four
/// at a time from each VM, takes under a second, and the holder may be slow or paused.
const HOLDER_TIMEOUT_MS: Millis = Millis::new(1_500);
/// First backoff in ms of a VM that found nothing in the store, or was refused; doubles.
const READ_BACKOFF_MS: Millis = Millis::new(2_000);
/// Longest such backoff in ms.
const MAX_READ_BACKOFF_MS: Millis = Millis::new(8_000);
/// Time in ms after which another VM is asked for the state if the first one has not answered.
const ASK_TIMEOUT_MS: Millis = Millis::new(300);

/// How long a VM waits for others.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct Timeouts {
    /// Time until it reads a copy of the store or, as a seed, the store itself.
    pub copy_timeout: Millis,
    /// Time until it reads the store, unless the fleet starts for the first time.
    pub no_answer_timeout: Millis,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self { copy_timeout: COPY_TIMEOUT_MS, no_answer_timeout: NO_ANSWER_TIMEOUT_MS }
    }
}

/// Options of a VM's start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Whether this VM is a seed, which others ask first.
    pub is_seed: bool,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// The seeds; some may be down or removed.
    pub seeds: Vec<SocketAddr>,
    /// How long this VM waits for others.
    pub timeouts: Timeouts,
    /// Seed of the random choices.
    pub rng_seed: u64,
}

/// The versions that a VM holds, and whether it reads the store.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// The version of its configuration; zero for none.
    pub config: u64,
    /// The version of its list of upstreams; zero for none.
    pub upstreams: u64,
    /// Whether it reads the platform's store and was not refused.
    #[serde(rename = "reads")]
    pub reads_store: bool,
}

impl PeerState {
    fn is_ahead_of(self, other: Self) -> bool {
        self.config > other.config || self.upstreams > other.upstreams
    }
}

/// An event for the VM that starts.
#[derive(Copy, Clone, Debug)]
pub enum Event<'a> {
    /// Time has passed.
    Tick,
    /// These VMs may be asked.
    Peers(&'a [SocketAddr]),
    /// A VM has answered a query.
    VersionReply(SocketAddr, PeerState),
    /// A VM is busy updating others; these VMs hold what it holds.
    Busy(&'a [SocketAddr]),
    /// A VM that was asked for the state has answered, or cannot be asked.
    StateReply,
    /// This VM holds these versions.
    OwnVersions {
        /// Of the configuration.
        config: u64,
        /// Of the list of upstreams.
        upstreams: u64,
    },
    /// This VM has read the store and found no configuration, or no upstream.
    StoreEmpty,
    /// The store did not answer this VM.
    StoreRefused,
}

/// A message to send.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Query the versions that a VM holds.
    QueryVersions(SocketAddr),
    /// Ask a VM for the state.
    RequestState(SocketAddr),
}

/// The start of one VM.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    seeds: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    started_at: Millis,
    /// When this VM reads the store unless another VM reads it or holds the state.
    read_at: Millis,
    /// When this VM reads a copy of the store unless another VM holds the state.
    copy_at: Option<Millis>,
    is_seed: bool,
    /// Whether any VM has answered.
    answered: bool,
    read_backoff: Millis,
    /// When a VM last answered that it reads the store or holds newer versions.
    reader_seen: Option<Millis>,
    /// When a VM with newer versions was first found.
    holder_found: Option<Millis>,
    query_at: Millis,
    query_interval: Millis,
    asked_at: Option<Millis>,
    own: PeerState,
    rng: SmallRng,
}

impl Bootstrap {
    /// Creates the start of a VM without state at `now`.
    pub fn new(now: Millis, options: Options) -> Self {
        let mut rng = SmallRng::seed_from_u64(options.rng_seed);
        let Options { is_seed, first_start, timeouts, .. } = options;
        let jitter = READ_JITTER_MS.mul_f64(rng.random_range(0.0..1.0));
        let wait = match (is_seed, first_start) {
            (true, true) => Millis::ZERO,
            (true, false) => timeouts.copy_timeout,
            (false, true) => FIRST_START_TIMEOUT_MS + jitter,
            (false, false) => timeouts.no_answer_timeout + jitter,
        };
        let copies = !is_seed && !first_start;
        Self {
            seeds: options.seeds,
            peers: Vec::new(),
            started_at: now,
            read_at: now + wait,
            copy_at: copies.then_some(now + timeouts.copy_timeout),
            is_seed,
            answered: false,
            read_backoff: READ_BACKOFF_MS,
            reader_seen: None,
            holder_found: None,
            query_at: now,
            query_interval: QUERY_INTERVAL_MS,
            asked_at: None,
            own: PeerState::default(),
            rng,
        }
    }

    /// Whether the start is over: this VM holds a configuration and a list of upstreams.
    pub fn is_complete(&self) -> bool {
        self.own.config > 0 && self.own.upstreams > 0
    }

    /// When this VM has to read the store itself if it has not received the state.
    pub fn store_read_at(&self) -> Millis {
        let reader_until = self.reader_seen.map_or(Millis::ZERO, |at| at + READER_TIMEOUT_MS);
        let latest = self
            .holder_found
            .map_or(self.started_at + MAX_READER_WAIT_MS, |at| at + HOLDER_TIMEOUT_MS);
        self.read_at.max(reader_until.min(latest))
    }

    /// Whether this VM has to read a copy of the store now; true once at most.
    pub fn take_copy_due(&mut self, now: Millis) -> bool {
        let due = self.copy_at.is_some_and(|at| {
            now >= at.max(self.holder_found.map_or(at, |h| h + SLOW_HOLDER_TIMEOUT_MS))
        });
        let reads = due && !self.is_complete();
        if reads {
            self.copy_at = None;
        }
        reads
    }

    /// Handles one event at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.query(now, out),
            Event::Peers(peers) => self.peers = peers.to_vec(),
            Event::VersionReply(from, state) => self.version_reply(now, from, state, out),
            Event::Busy(others) => {
                self.asked_at = None;
                let other = others.choose(&mut self.rng).copied();
                self.ask(now, other, out);
            }
            Event::StateReply => self.asked_at = None,
            Event::OwnVersions { config, upstreams } => {
                self.own = PeerState { config, upstreams, ..self.own };
            }
            Event::StoreEmpty => self.back_off(now),
            // During an outage of the store not all VMs may retry: the seeds do, and update the others. Without this
            // backoff 300 VMs made 2,700 calls in two seconds of an outage, with it 1,240.
            Event::StoreRefused if self.answered && !self.is_seed => self.back_off(now),
            Event::StoreRefused => {}
        }
    }

    /// Delays the next read of the store, each time for longer.
    fn back_off(&mut self, now: Millis) {
        self.read_at = now + self.read_backoff.mul_f64(self.rng.random_range(0.5..1.0));
        self.read_backoff = (self.read_backoff + self.read_backoff).min(MAX_READ_BACKOFF_MS);
    }

    fn version_reply(
        &mut self,
        now: Millis,
        from: SocketAddr,
        state: PeerState,
        out: &mut Vec<Action>,
    ) {
        self.answered = true;
        if state.is_ahead_of(self.own) {
            self.holder_found.get_or_insert(now);
            self.ask(now, Some(from), out);
        }
        // A VM that holds the state can be asked for it. One that neither holds nor reads it, as the store rejects it,
        // is not waited for: the wait would last for as long as the store rejects that VM.
        if state.reads_store || state.is_ahead_of(self.own) {
            self.reader_seen = Some(now);
        }
    }

    fn ask(&mut self, now: Millis, peer: Option<SocketAddr>, out: &mut Vec<Action>) {
        let waits = self.asked_at.is_some_and(|at| now - at < ASK_TIMEOUT_MS);
        if let Some(peer) = peer.filter(|_| !waits && !self.is_complete()) {
            self.asked_at = Some(now);
            out.push(Action::RequestState(peer));
        }
    }

    fn query(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now < self.query_at || self.is_complete() {
            return;
        }
        self.query_at = now + self.query_interval;
        self.query_interval =
            (self.query_interval + self.query_interval).min(MAX_QUERY_INTERVAL_MS);
        // Seeds first: other known VMs are likely to have as little state as this one.
        let more = QUERY_FANOUT.saturating_sub(self.seeds.len().min(QUERY_FANOUT));
        let seeds = self.seeds.choose_multiple(&mut self.rng, QUERY_FANOUT).copied();
        let mut targets: Vec<SocketAddr> = seeds.collect();
        let peers = self.peers.choose_multiple(&mut self.rng, more.max(1)).copied();
        targets.extend(peers);
        targets.sort_unstable();
        targets.dedup();
        out.extend(targets.into_iter().map(Action::QueryVersions));
    }
}
