//! When a VM reads a kind of the platform's store, watches it, waits or leaves it to another VM. No I/O.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tgw_clock::Millis;

/// How long one watch waits, in ms. Each end costs a call. A store that keeps its connections and says
/// nothing shows only when this has passed, and what changed right after its return would be in
/// force that much later: it stays below the 5 s within which a calm VM counts as reachable again.
pub const WAIT: Millis = Millis::new(5_000);
/// Pause in ms after news before the next watch: what changes meanwhile comes with one call, as when many
/// upstreams are replaced. It is far below the 3 s in which a change is to be in force.
pub const GATHER: Millis = Millis::new(500);
/// Time in ms between looks at whether it is this VM's turn.
const LOOK: Millis = Millis::new(500);
/// Time in ms between looks of a VM that knows nothing yet at whether it is to read the store.
pub const LOOK_NEW: Millis = Millis::new(25);
/// Failed calls in a row after which the store counts as lost to this VM alone or to all.
const SEEN: u32 = 2;
/// VMs of this domain that the store does not answer from which on it is taken for away, not for one that turns
/// some VMs away: each that takes over from one of them would else try several times in quick succession.
const AWAY: usize = 3;
/// Failures that a VM which takes over then counts from.
const AWAY_FAILURES: u32 = 5;
/// First pause in ms after a failed call; doubles, and each is drawn from half to the whole of it.
const PAUSE: Millis = Millis::new(100);
/// Longest pause in ms.
const PAUSE_MOST: Millis = Millis::new(1_200);

/// What decides whether it is this VM's turn to read.
#[derive(Copy, Clone, Debug)]
pub struct Turn {
    /// Whether this VM reads for others; `None` until that is settled.
    pub relay: Option<bool>,
    /// Whether anything is known yet.
    pub known: bool,
    /// When a VM that knows nothing reads the store itself.
    pub due: Millis,
}

/// What to do next.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// It is another VM's turn: look again after so long.
    Idle(Millis),
    /// Nothing for so long.
    Pause(Millis),
    /// Read the whole list.
    List,
    /// Wait for changes after a version, for so long.
    Watch {
        /// The version.
        from: u64,
        /// How long.
        wait: Millis,
    },
}

#[derive(Copy, Clone, Debug)]
enum State {
    /// Nothing was read since it was last this VM's turn.
    Away,
    /// Changes after a version are awaited.
    Watching(u64),
}

/// The reading of one kind.
#[derive(Clone, Debug)]
pub struct Follow {
    state: State,
    paused: Millis,
    failures: u32,
    rng: SmallRng,
}

impl Follow {
    /// Nothing was read yet; pauses are drawn by `seed`.
    pub fn new(seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { state: State::Away, paused: Millis::ZERO, failures: 0, rng }
    }

    /// Calls that failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the store counts as lost.
    pub fn is_blind(&self) -> bool {
        self.failures > SEEN
    }

    /// What to do now.
    pub fn next(&mut self, now: Millis, turn: Turn) -> Step {
        if now < self.paused {
            return Step::Pause(self.paused - now);
        }
        match self.state {
            // Until it is settled who watches, every VM that reads does: what changes in the first seconds of a
            // process, as entries that come back after an outage, has no other way here.
            State::Watching(_) if turn.relay == Some(false) => {
                self.stop(now);
                self.next(now, turn)
            }
            State::Watching(from) => Step::Watch { from, wait: WAIT },
            State::Away if turn.relay == Some(true) || (!turn.known && now >= turn.due) => {
                Step::List
            }
            State::Away => Step::Idle(if turn.known { LOOK } else { LOOK_NEW }),
        }
    }

    /// The list was read as of a version; how many calls had failed before.
    pub fn listed(&mut self, version: u64) -> u32 {
        self.state = State::Watching(version);
        std::mem::take(&mut self.failures)
    }

    /// A watch answered with what changed up to a version.
    pub fn watched(&mut self, now: Millis, version: u64, news: bool) {
        let State::Watching(from) = self.state else { return };
        self.state = State::Watching(from.max(version));
        if news {
            self.paused = now + GATHER;
        }
    }

    /// A watch failed, or is left to another VM: the list is read anew at the next turn.
    pub fn stop(&mut self, now: Millis) {
        self.state = State::Away;
        self.pause(now, 0);
    }

    /// The list could not be read; so many VMs of the domain are not answered either.
    pub fn failed(&mut self, now: Millis, blind_near: usize) {
        self.state = State::Away;
        self.failures += 1;
        let least = if blind_near >= AWAY { AWAY_FAILURES } else { 0 };
        self.pause(now, self.failures.max(least));
    }

    fn pause(&mut self, now: Millis, failures: u32) {
        let most = PAUSE.scale(f64::from(1u32 << failures.min(6))).min(PAUSE_MOST);
        self.paused = now + most.scale(self.rng.random_range(0.5..=1.0));
    }
}
