use super::scenario::Scenario;
use rand::{Rng, rngs::SmallRng};
use tgw_clock::Millis;
use tgw_forward::load::Load;

/// Requests that it works on at once, as the users' upstreams do.
pub(super) const SLOTS: usize = 3;
/// Requests that wait before more are turned away.
const QUEUE: usize = 18;
/// How long a pause is, in ms, and how often one comes.
const PAUSE_MS: f64 = 250.0;
const PAUSE_EVERY_MS: f64 = 6_000.0;
/// What the troubles do: how much slower, and the parts of requests shed and of replies lost.
const SLOWER: f64 = 10.0;
const SHED: f64 = 0.6;
const LOST: f64 = 0.4;
/// The part of its replies that tell a pace of other work on its machine, and how much slower that is.
const BUSY: f64 = 0.03;
const BUSY_X: f64 = 4.0;
/// Time in ms into a deadly query after which its upstream ends, and for which it is gone and then slow, as on the
/// users' sites, and how much slower.
const ENDS_MS: f64 = 5.0;
const GONE_MS: f64 = 3_200.0;
const COLD_MS: f64 = 3_000.0;
const COLD: f64 = 1.6;

/// What becomes of one request.
#[derive(Copy, Clone, Debug, PartialEq)]
pub(super) enum Fate {
    /// It is answered at this time.
    Done(Millis),
    /// It runs to this time, and its reply is lost.
    Lost(Millis),
    /// It is turned away at once.
    Shed,
    /// Nothing comes back.
    Silent,
    /// Nobody listens there.
    Refused,
    /// The upstream ends at this time, and every request that it holds with it.
    Ends(Millis),
}

/// One upstream: a queue before some slots.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    trouble: Option<Scenario>,
    /// When its first pause begins, in ms.
    phase: f64,
    /// When each slot is free.
    free: [f64; SLOTS],
    /// When each request that it holds ends.
    ends: Vec<f64>,
    /// How often it has started.
    life: u32,
    /// Until when it is gone, in ms, after it ended.
    gone_until: f64,
}

impl Upstream {
    pub(super) fn new(scenario: Scenario, rng: &mut SmallRng) -> Self {
        let struck = rng.random_bool(scenario.share());
        let phase = rng.random_range(0.0..PAUSE_EVERY_MS);
        let trouble = struck.then_some(scenario);
        let (free, ends) = ([0.0; SLOTS], Vec::new());
        Self { trouble, phase, free, ends, life: 0, gone_until: f64::MIN }
    }

    fn trouble(&self, at: f64) -> Option<Scenario> {
        self.trouble.filter(|scenario| scenario.lasts().contains(&at))
    }

    /// The end of the pause that holds `at`, or `at`.
    fn awake(&self, at: f64) -> f64 {
        let into = (at - self.phase).rem_euclid(PAUSE_EVERY_MS);
        if into < PAUSE_MS { at + PAUSE_MS - into } else { at }
    }

    /// When `work` ms that begin at `start` end, with the pauses between.
    fn finish(&self, start: f64, work: f64) -> f64 {
        let start = self.awake(start);
        let until_pause = PAUSE_EVERY_MS - (start - self.phase).rem_euclid(PAUSE_EVERY_MS);
        if work <= until_pause { start + work } else { start + work + PAUSE_MS }
    }

    /// What becomes of a request that comes at `at` with `work` ms of work; `draw` from 0 to 1 decides what
    /// chance decides.
    pub(super) fn fate(&self, at: Millis, work: f64, draw: f64) -> Fate {
        let at = at.as_f64();
        let trouble = self.trouble(at);
        if at < self.gone_until {
            return Fate::Refused;
        }
        match trouble {
            Some(Scenario::DarkAcross) => return Fate::Silent,
            Some(Scenario::ShedAcross) if draw < SHED => return Fate::Shed,
            _ => {}
        }
        if self.ends.iter().filter(|end| **end > at).count() >= SLOTS + QUEUE {
            return Fate::Shed;
        }
        let cold = if at < self.gone_until + COLD_MS { COLD } else { 1.0 };
        let slower = if trouble == Some(Scenario::SlowAcross) { SLOWER } else { cold };
        let free = self.free.iter().copied().fold(f64::MAX, f64::min);
        let end = Millis::from_f64(self.finish(free.max(at), work * slower));
        let lost = trouble == Some(Scenario::RepliesLost) && draw < LOST;
        if lost { Fate::Lost(end) } else { Fate::Done(end) }
    }

    /// What it tells of its load with a reply at `at`; `draw` from 0 to 1 is the noise of other work on its machine.
    pub(super) fn load(&self, at: Millis, draw: f64) -> Load {
        let at = at.as_f64();
        let held = self.ends.iter().filter(|end| **end > at).count();
        let running = held.min(SLOTS);
        let noise = if draw < BUSY { BUSY_X } else { 1.0 };
        let slower = if self.trouble(at) == Some(Scenario::SlowAcross) { SLOWER } else { 1.0 };
        Load {
            running: running as u32,
            waiting: (held - running) as u32,
            slots: SLOTS as u32,
            pace: slower * noise,
        }
    }

    /// Takes in a query under which it ends.
    pub(super) fn arrive_deadly(&mut self, at: Millis) -> Fate {
        match self.fate(at, ENDS_MS, 1.0) {
            Fate::Done(end) => Fate::Ends(end),
            other => other,
        }
    }

    /// How often it has started.
    pub(super) fn life(&self) -> u32 {
        self.life
    }

    /// Ends; another process starts in its place, at the time that is returned.
    pub(super) fn end(&mut self, at: Millis) -> Millis {
        self.life += 1;
        self.gone_until = at.as_f64() + GONE_MS;
        self.free = [self.gone_until; SLOTS];
        self.ends.clear();
        Millis::from_f64(self.gone_until)
    }

    /// Takes the request in.
    pub(super) fn arrive(&mut self, at: Millis, work: f64, draw: f64) -> Fate {
        let fate = self.fate(at, work, draw);
        if let Fate::Done(end) | Fate::Lost(end) = fate {
            self.ends.retain(|e| *e > at.as_f64());
            self.ends.push(end.as_f64());
            if let Some(slot) = self.free.iter_mut().min_by(|a, b| a.total_cmp(b)) {
                *slot = end.as_f64();
            }
        }
        fate
    }
}
