use super::scenario::{FROM_S, Scenario, TO_S};
use rand::{Rng, rngs::SmallRng};
use tgw_clock::Millis;

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
}

impl Upstream {
    pub(super) fn new(scenario: Scenario, rng: &mut SmallRng) -> Self {
        let struck = rng.random_bool(scenario.share());
        let phase = rng.random_range(0.0..PAUSE_EVERY_MS);
        Self { trouble: struck.then_some(scenario), phase, free: [0.0; SLOTS], ends: Vec::new() }
    }

    fn trouble(&self, at: f64) -> Option<Scenario> {
        let lasts = (FROM_S * 1_000.0..TO_S * 1_000.0).contains(&at);
        self.trouble.filter(|_| lasts)
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
        match trouble {
            Some(Scenario::DarkAcross) => return Fate::Silent,
            Some(Scenario::ShedAcross) if draw < SHED => return Fate::Shed,
            _ => {}
        }
        if self.ends.iter().filter(|end| **end > at).count() >= SLOTS + QUEUE {
            return Fate::Shed;
        }
        let slower = if trouble == Some(Scenario::SlowAcross) { SLOWER } else { 1.0 };
        let free = self.free.iter().copied().fold(f64::MAX, f64::min);
        let end = Millis::from_f64(self.finish(free.max(at), work * slower));
        let lost = trouble == Some(Scenario::RepliesLost) && draw < LOST;
        if lost { Fate::Lost(end) } else { Fate::Done(end) }
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
