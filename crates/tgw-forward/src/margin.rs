use tgw_clock::Millis;

/// The way of a caller's request and of its answer together, in ms: 1 to 3 ms each on the users' networks.
const WAY_MS: f64 = 6.0;
/// The way there and back that opens a caller's connection, in ms; its first request comes that much later.
const OPENING_MS: f64 = 6.0;
/// Turns of the thread that an answer waits for: to read the request, to see that it is time, to write.
const TURNS: f64 = 3.0;
/// The part of the timers that may fire later than assumed. What a later leaving gains is a part of an answer
/// in a hundred, and a late answer loses nearly all of its worth.
const LATER: f64 = 0.02;
/// How strongly one timer moves what is assumed.
const GAIN: f64 = 0.1;
/// What is assumed before timers fired, in ms: answers then leave 14 ms before their aim, which was best on a
/// quarter of a core.
const START_MS: f64 = 8.0 / 3.0;
/// The least that is assumed, in ms.
const LEAST_MS: f64 = 1.5;
/// The most that is assumed, in ms: a process that is paused for longer cannot leave in time anyway.
const MOST_MS: f64 = 25.0;

/// What an answer takes to leave, as this VM's own timers tell it.
///
/// A query over 90 shards nearly always has a part behind a pause of its upstream, so its answer leaves at the
/// last moment. A margin that is right on a quarter of a core is too short on a tenth, and while a VM is slowed.
#[derive(Clone, Debug)]
pub struct Margin {
    turn: f64,
}

impl Default for Margin {
    fn default() -> Self {
        Self { turn: START_MS }
    }
}

impl Margin {
    /// A timer of a request has fired `late` after it was due.
    pub fn fired(&mut self, late: Millis) {
        // Stochastic approximation of a quantile: the steps balance where `LATER` of the timers fire later.
        let later = late.as_f64() > self.turn;
        let step = if later { GAIN * (1.0 - LATER) } else { -GAIN * LATER };
        self.turn = (self.turn * step.exp()).clamp(LEAST_MS, MOST_MS);
    }

    /// How long before its aim an answer is to leave; `opened` tells that the caller's connection was opened for
    /// the request.
    pub fn before_aim(&self, opened: bool) -> Millis {
        let opening = if opened { OPENING_MS } else { 0.0 };
        Millis::from_f64(WAY_MS + opening + TURNS * self.turn)
    }
}
