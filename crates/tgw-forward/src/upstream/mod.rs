//! One upstream.

/// What the store says of an upstream, and how far it is.
mod entry;
/// How a send ended.
mod sign;

pub use entry::{Distance, Entry};
pub use sign::Sign;

use crate::{
    Policy,
    fleet::Hop,
    load::Load,
    warmup::{Allowance, Written},
};
use smallvec::SmallVec;
use tgw_clock::Millis;

/// The time of a reply's work in ms that is assumed of a service before one was seen.
const WORK_MS: f64 = 10.0;

/// A time constant in ms after which an old average counts for a third: a straggler that recovered
/// is tried again within seconds.
const FORGET_MS: f64 = 4_000.0;
/// Time in ms after a reply for which it counts for the level of its service: some times `FORGET_MS`, so
/// that a service of few requests has one.
const LEVEL_FOR_MS: u64 = 20_000;
/// The least level of a service, in ms: an assumed way may be longer than the real one.
const WORK_LEAST_MS: f64 = 2.0;
/// Weight of a new sample in the average latency.
const WEIGHT: f64 = 0.2;
/// A sample counts as at most this many times the expected latency, and `OUTLIER_MS` more.
const OUTLIER_FACTOR: f64 = 2.0;
/// See `OUTLIER_FACTOR`; in ms, a request's own spread of work.
const OUTLIER_MS: f64 = 10.0;
/// A send older than this many times the expected latency, and `LATE_MS` more, is overdue.
const LATE_FACTOR: f64 = 2.0;
/// See `LATE_FACTOR`; in ms, above the jitter of a VM with a quarter of a core.
const LATE_MS: f64 = 18.0;
/// What an overdue send costs in ms beyond its age: the rest of a pause of 200 ms, on average.
const OVERDUE_COST_MS: f64 = 100.0;
/// How much slower an upstream is taken for while it warms up.
const COLD_FACTOR: f64 = 2.5;
/// First time in ms for which an upstream that refused or fell silent is passed over; doubles.
const AVOID_MS: u64 = 150;
/// Longest time in ms for which it is passed over.
const AVOID_MOST_MS: u64 = 2_400;
/// Time in ms after a send that found nobody for which an upstream may come back cold without a word: its entry is gone
/// after that, or says so.
const LAPSE: Millis = Millis::new(6_000);
/// Age in ms of a send from which on its upstream may be cut off: above a pause of 200 ms.
const DARK: Millis = Millis::new(500);
/// Connections to one upstream that are being made at once.
const CONNECTING: u32 = 2;
/// What making a connection costs in ms: the upstream's part, without the way there.
const CONNECT_COST_MS: f64 = 6.0;
/// First time in ms for which no connection is tried after a reset one; doubles.
const CROWDED_MS: u64 = 40;
/// Longest time in ms for which none is tried.
const CROWDED_MOST_MS: u64 = 640;
/// Time in ms between two words to other VMs about one upstream.
const TELL_MS: u64 = 120;
/// Time in ms between two words about one that replies, but slowly.
const TELL_SLOW_MS: u64 = 500;
/// An upstream is slow from this many times the latency that is assumed at its distance.
const SLOW_FACTOR: f64 = 2.5;
/// Time in ms for which word of a late one counts: what is left of a pause of 200 ms once it shows.
const LATE_FOR_MS: u64 = 150;
/// Age in ms of the latest reply up to which this VM knows better how slow an upstream is.
const FRESH_MS: u64 = 400;
/// What being passed over costs in ms: more than any other reason, so that it is the last choice.
const AVOID_COST_MS: f64 = 2_000.0;

/// What one VM tells others, as near to an upstream as itself, about it.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct Word {
    /// A send to it is overdue now.
    pub overdue: bool,
    /// The latency that is expected of it, in ms.
    pub expected: f64,
}

/// A send that has not ended.
#[derive(Copy, Clone, Debug)]
struct Send {
    number: u64,
    at: Millis,
    /// The request was written to the upstream.
    written: bool,
}

/// One upstream with what its replies told.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What the store says.
    pub entry: Entry,
    /// How far it is.
    pub distance: Distance,
    policy: Policy,
    warm_at: Millis,
    running: SmallVec<[Send; 4]>,
    /// Until when it may have become cold without a word.
    unsure_until: Millis,
    written: Written,
    latency: f64,
    /// What is expected of an upstream there of which nothing is known, in ms.
    prior: f64,
    sampled: Option<Millis>,
    /// The load that its latest reply told, and when.
    load: Option<(Millis, Load)>,
    failing: f64,
    avoid_until: Millis,
    strikes: u32,
    connections: u32,
    connect_after: Millis,
    crowded: u32,
    /// Until when another VM's word that it is late counts.
    late_until: Millis,
    told_at: Millis,
}

impl Upstream {
    /// An upstream of which nothing but its entry is known.
    pub fn new(now: Millis, entry: Entry, distance: Distance, policy: Policy) -> Self {
        let warm_at = now + entry.warmup;
        Self {
            entry,
            distance,
            policy,
            warm_at,
            running: SmallVec::new(),
            unsure_until: Millis::ZERO,
            written: Written::default(),
            latency: WORK_MS + distance.way(),
            prior: WORK_MS + distance.way(),
            sampled: None,
            load: None,
            failing: 0.0,
            avoid_until: Millis::ZERO,
            strikes: 0,
            connections: 0,
            connect_after: Millis::ZERO,
            crowded: 0,
            late_until: Millis::ZERO,
            told_at: Millis::ZERO,
        }
    }

    /// Takes over a newer entry of the same incarnation.
    pub fn renew(&mut self, now: Millis, entry: Entry) {
        self.warm_at = now + entry.warmup;
        self.entry = entry;
    }

    /// Sends that have not ended.
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Counts a connection that was made.
    pub fn opened(&mut self) {
        self.connections += 1;
        self.crowded = 0;
    }

    /// Counts a connection that ended.
    pub fn closed(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Whether one more send finds a connection, or may make one within `most`.
    pub fn open(&self, now: Millis, most: u32) -> bool {
        if self.entry.draining {
            return false;
        }
        let running = self.running();
        // Each connection costs the upstream some ms of a slot. Many at once, as after a restart,
        // or tries again and again at one that is full, take the time that requests need.
        running < self.connections
            || (running < most && !self.policy.spacing)
            || (running < most
                && running < self.connections + CONNECTING
                && now >= self.connect_after)
    }

    /// Whether one more send may be made through another VM, which has the connections.
    pub fn free(&self, most: u32) -> bool {
        !self.entry.draining && self.running() < most
    }

    /// Whether another VM should rather not send to it on behalf of its peers: it was told or has seen
    /// that the upstream is late or gone, which those who ask from another region learn later.
    pub fn doubtful(&self, now: Millis) -> bool {
        now < self.avoid_until || now < self.late_until || self.overdue(now).is_some()
    }

    /// Counts a send.
    pub fn sent(&mut self, now: Millis, number: u64) {
        self.running.push(Send { number, at: now, written: false });
    }

    /// Whether it may be cold. Where it states what it bears until it is warm, a doubt is enough.
    pub fn is_cold(&self, now: Millis) -> bool {
        let oldest = self.running.iter().map(|send| send.at).min();
        now < self.warm_at.max(self.unsure_until) || oldest.is_some_and(|at| now - at >= DARK)
    }

    /// It may have become cold, and is warm by `until`.
    pub(crate) fn doubt(&mut self, until: Millis) {
        self.unsure_until = self.unsure_until.max(until);
    }

    /// Whether it bears one more request from a VM that may send it so many.
    pub(crate) fn bears(&self, now: Millis, allowance: Allowance) -> bool {
        let pending = self.running.iter().filter(|send| !send.written).count();
        self.written.allows(now, pending, allowance)
    }

    /// A send's request is about to be written; false if that is more than the upstream bears.
    pub(crate) fn write(&mut self, now: Millis, number: u64, allowance: Option<Allowance>) -> bool {
        if let Some(allowance) = allowance {
            if !self.written.allows(now, 0, allowance) {
                return false;
            }
            self.written.add(now, allowance);
        }
        if let Some(send) = self.running.iter_mut().find(|send| send.number == number) {
            send.written = true;
        }
        true
    }

    /// Counts the end of a send.
    pub fn ended(&mut self, now: Millis, number: u64, sign: Sign) {
        let Some(at) = self.running.iter().position(|send| send.number == number) else { return };
        let Send { at: sent, .. } = self.running.remove(at);
        match sign {
            Sign::Reply => {
                self.sample(now, (now - sent).as_f64());
                self.pace(sent);
                self.fail(0.0);
                self.strikes = 0;
                self.avoid_until = Millis::ZERO;
                self.late_until = Millis::ZERO;
            }
            Sign::Failure | Sign::Broken => {
                self.fail(1.0);
                self.strikes = 0;
            }
            Sign::Shed => {
                self.fail(1.0);
                self.avoid_until = now + Millis::from_f64(self.policy.shed_avoid);
            }
            Sign::Unreachable | Sign::Silent => {
                self.fail(1.0);
                self.strike(now);
                self.doubt(now + LAPSE);
            }
            Sign::Crowded => {
                let span = (CROWDED_MS << self.crowded.min(8)).min(CROWDED_MOST_MS);
                self.crowded += 1;
                self.connect_after = now + Millis::new(span);
            }
            Sign::Busy | Sign::Dropped => {}
        }
    }

    /// Nobody listens any more where it was. Its store entry stays for seconds; until a send had found out, each that
    /// was placed there cost its request a try.
    pub fn lost(&mut self, now: Millis) {
        self.strike(now);
    }

    fn fail(&mut self, sample: f64) {
        self.failing += self.policy.failure_weight * (sample - self.failing);
    }

    fn strike(&mut self, now: Millis) {
        let span = (AVOID_MS << self.strikes.min(8)).min(AVOID_MOST_MS);
        self.strikes += 1;
        self.avoid_until = now + Millis::new(span);
    }

    fn sample(&mut self, now: Millis, ms: f64) {
        self.latency = if self.sampled.is_none() {
            ms
        } else {
            let known = self.expected(now);
            // One request behind a pause of 200 ms would make an upstream 10 ms away look further
            // than another region for seconds. Pauses show as overdue sends while they last; an
            // upstream that stays slow is known after a few replies all the same.
            let most = known * OUTLIER_FACTOR + OUTLIER_MS;
            known + WEIGHT * (ms.min(most) - known)
        };
        self.sampled = Some(now);
    }

    /// Takes in how long work takes there by the upstream's own word, if it told so since `sent`: one reply says as much
    /// as many latencies, of which each holds a request's own work and queues on its way.
    fn pace(&mut self, sent: Millis) {
        let Some((_, load)) = self.load.filter(|(at, _)| *at >= sent) else { return };
        let usual = (self.prior - self.distance.way()).max(WORK_LEAST_MS);
        let told = self.distance.way() + usual * load.pace;
        self.latency += self.policy.load_weight * (told - self.latency);
    }

    /// The expected time in ms from a send to its reply with nothing else running.
    pub fn expected(&self, now: Millis) -> f64 {
        let prior = self.prior;
        match self.sampled {
            // A quick upstream stays known as quick; a slow one is forgotten, so that it is tried
            // again: without that an upstream once slow would never be asked and never recover.
            Some(at) if self.latency > prior => {
                let kept = (-(now - at).as_f64() / FORGET_MS).exp();
                prior + (self.latency - prior) * kept
            }
            Some(_) => self.latency,
            None => prior,
        }
    }

    /// A reply told its load.
    pub(crate) fn loaded(&mut self, now: Millis, load: Load) {
        self.load = Some((now, load));
    }

    /// The time of its work alone, in ms, if a reply was seen lately.
    pub fn work(&self, now: Millis) -> Option<f64> {
        let lately = |at: &Millis| now - *at < Millis::new(LEVEL_FOR_MS);
        self.sampled.filter(lately).map(|_| (self.latency - self.distance.way()).max(WORK_LEAST_MS))
    }

    /// Sets the level of its service: the time of work in ms at the quickest of its upstreams.
    pub fn set_level(&mut self, work: f64) {
        self.prior = work + self.distance.way();
    }

    /// Whether its oldest send is overdue: it is paused, dark or far slower than known.
    pub fn overdue(&self, now: Millis) -> Option<Millis> {
        let oldest = self.running.iter().map(|send| send.at).min()?;
        let age = now - oldest;
        (age.as_f64() > self.expected(now) * LATE_FACTOR + LATE_MS).then_some(age)
    }

    /// What other VMs should be told of it, if it is late or slow. At most once in a while.
    pub fn tell(&mut self, now: Millis) -> Option<Word> {
        let overdue = self.overdue(now).is_some();
        let due = self.policy.words
            && now >= self.told_at + Millis::new(if overdue { TELL_MS } else { TELL_SLOW_MS });
        let expected = self.expected(now);
        let slow = expected > self.prior * SLOW_FACTOR;
        (due && (overdue || slow)).then(|| {
            self.told_at = now;
            Word { overdue, expected }
        })
    }

    /// Another VM, as near to it as this one, tells of it.
    pub fn told(&mut self, now: Millis, Word { overdue, expected }: Word) {
        // A VM that sends an upstream two requests a second meets most pauses and slow upstreams
        // unwarned. What one VM of a region has just found out spares the others the same.
        if overdue {
            self.late_until = now + Millis::new(LATE_FOR_MS);
        }
        let fresh = self.sampled.is_some_and(|at| now - at < Millis::new(FRESH_MS));
        if !fresh && expected > self.expected(now) {
            self.latency = expected;
            self.sampled = Some(now);
        }
    }

    /// What a send at `now` is expected to cost, in ms; the least is the best choice.
    pub fn cost(&self, now: Millis, hop: Hop) -> f64 {
        let expected = self.expected(now);
        let slots = f64::from(self.entry.slots.max(1));
        let waiting = (f64::from(self.running()) + 1.0 - slots).max(0.0) / slots;
        let mut cost = expected * (1.0 + waiting) + self.failing * self.policy.failure_cost;
        if hop == Hop::Direct && self.running() >= self.connections {
            cost += CONNECT_COST_MS;
        }
        if let Some(age) = self.overdue(now).filter(|_| self.policy.overdue) {
            cost += age.as_f64() + OVERDUE_COST_MS;
        }
        if now < self.late_until && self.overdue(now).is_none() {
            cost += (self.late_until - now).as_f64() + OVERDUE_COST_MS;
        }
        if now < self.warm_at && self.policy.warmup {
            cost *= COLD_FACTOR;
        }
        if now < self.avoid_until && self.policy.avoids {
            cost += AVOID_COST_MS;
        }
        cost
    }
}
