//! When a VM reads a kind of the platform's store, watches it, waits or leaves it to another VM. No I/O.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tgw_clock::Millis;

/// How a kind is watched.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Pace {
    /// How long one watch waits.
    pub wait: Millis,
    /// Pause after news before the next watch.
    pub gather: Millis,
}

impl Pace {
    /// A kind that changes often.
    pub const OFTEN: Self = Self { wait: WAIT, gather: GATHER };
    /// A kind that changes a few times a day, each time alone. That its connection went silent shows by probes of the
    /// connection; a store that says nothing, by the watches of the other kinds. Below the time for which the platform keeps
    /// its history: a watch that begins before it costs a list besides.
    pub const SELDOM: Self = Self { wait: Millis::new(15_000), gather: Millis::ZERO };
}

/// How long one watch waits, in ms. Each end costs a call. A connection that says nothing any more, while new ones are
/// answered, shows only when this and [`MARGIN`] have passed: together they stay below the 4 s within which a calm VM
/// counts as reachable again.
pub const WAIT: Millis = Millis::new(2_500);
/// Time in ms for the answer to a watch beyond what it waits for; a slow store takes 0.25 s.
pub const MARGIN: Millis = Millis::new(500);
/// Time in ms between two probes of the store by a VM that follows it. One that is turned away in silence would else
/// notice it after a watch and several lists, and nobody who learns from it would hear of a change until then.
pub const PROBE_EVERY: Millis = Millis::new(800);
/// Time in ms for the answer to a probe.
pub const PROBE_REPLY: Millis = Millis::new(700);
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
/// VMs of this domain that the store does not answer, for one that takes over and is answered to know that the store
/// was away, though no call of its own failed: the second of them had taken over from the first.
pub const LOST_NEAR: usize = 2;
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

/// A way of asking the store.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Way {
    /// Reading the configuration.
    Configuration,
    /// Reading the list of upstreams.
    Upstreams,
    /// Reading the list of evacuations.
    Evacuations,
    /// Probing.
    Probe,
}

/// How a probe ended.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Probed {
    /// The store answered.
    Answered,
    /// It refused, or the connection broke.
    Refused,
    /// It said nothing in time.
    Silent,
}

/// Whether the store answers this VM.
///
/// Each way of asking counts for itself: where one overwrote the other, a VM that was turned away was blind and not
/// blind in turn, and no other VM took over from it.
#[derive(Clone, Debug, Default)]
pub struct Sight {
    lost: [bool; 4],
    refused: bool,
}

impl Sight {
    /// Whether the store counts as lost by any way of asking.
    pub fn is_blind(&self) -> bool {
        self.lost.contains(&true)
    }

    /// Takes note of one way. Whether that changes what the others are told.
    pub fn note(&mut self, way: Way, lost: bool) -> bool {
        let before = self.is_blind();
        self.lost[way as usize] = lost;
        self.is_blind() != before
    }

    /// Takes note of a probe. One refusal may be a connection that broke, two are not; silence is no accident where an
    /// answer takes milliseconds. Whether that changes what the others are told.
    pub fn probed(&mut self, probed: Probed) -> bool {
        let refused = probed == Probed::Refused;
        let again = std::mem::replace(&mut self.refused, refused) && refused;
        match probed {
            Probed::Refused if !again => false,
            probed => self.note(Way::Probe, probed != Probed::Answered),
        }
    }

    /// A list was read: the store answers this VM.
    pub fn read(&mut self, way: Way) -> bool {
        let before = self.is_blind();
        self.note(way, false);
        self.probed(Probed::Answered);
        self.is_blind() != before
    }
}

/// The reading of one kind.
#[derive(Clone, Debug)]
pub struct Follow {
    pace: Pace,
    state: State,
    paused: Millis,
    failures: u32,
    rng: SmallRng,
}

impl Follow {
    /// Nothing was read yet; pauses are drawn by `seed`.
    pub fn new(seed: u64, pace: Pace) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { pace, state: State::Away, paused: Millis::ZERO, failures: 0, rng }
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
            State::Watching(from) => Step::Watch { from, wait: self.pace.wait },
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
            self.paused = now + self.pace.gather;
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
