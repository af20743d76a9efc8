use tgw_clock::Millis;

/// Round trip of a caller's request and answer, in ms: 1 to 3 ms each way.
const ROUND_TRIP_MS: f64 = 6.0;
/// Round trip to open a caller's connection, in ms; its first request arrives that much later.
const CONNECT_ROUND_TRIP_MS: f64 = 6.0;
/// Thread wake-ups that an answer waits for: to read the request, to handle the timer, to write.
const WAKEUPS_PER_ANSWER: f64 = 3.0;
/// Fraction of timers that may fire later than assumed. Leaving later gains a part in one of a
/// hundred answers, and a late answer loses nearly all of its worth.
const LATE_TIMERS_FACTOR: f64 = 0.02;
/// Step size with which one timer changes the estimate.
const STEP_FACTOR: f64 = 0.1;
/// Delay assumed before any timer fired, in ms: answers then leave 14 ms before their latency
/// target, which was best on a quarter of a core.
const INITIAL_DELAY_MS: f64 = 8.0 / 3.0;
/// Lower bound of the estimated wake-up delay, in ms. Each timer changes the estimate by a factor, so
/// from far below this value it would take many late timers to raise it again.
const MIN_DELAY_MS: f64 = 1.5;
/// Upper bound of the estimate, in ms: a process paused for longer misses the target anyway.
const MAX_DELAY_MS: f64 = 25.0;

/// Time reserved to deliver an answer, estimated from the delays of this VM's own timers.
///
/// A query over 90 shards nearly always has a part behind a paused upstream, so its answer leaves
/// at the last moment. A margin that is right on a quarter of a core is too short on a tenth, and
/// while a VM is slowed.
#[derive(Clone, Debug)]
pub struct Margin {
    wakeup_delay_ms: f64,
}

impl Default for Margin {
    fn default() -> Self {
        Self { wakeup_delay_ms: INITIAL_DELAY_MS }
    }
}

impl Margin {
    /// Records that a request's timer fired `late` after it was due.
    pub fn record_timer_delay(&mut self, late: Millis) {
        // Stochastic approximation of a quantile: the steps balance where `LATE_TIMERS_FACTOR` of
        // the timers fire later.
        let later = late.as_f64() > self.wakeup_delay_ms;
        let step = if later {
            STEP_FACTOR * (1.0 - LATE_TIMERS_FACTOR)
        } else {
            -STEP_FACTOR * LATE_TIMERS_FACTOR
        };
        self.wakeup_delay_ms =
            (self.wakeup_delay_ms * step.exp()).clamp(MIN_DELAY_MS, MAX_DELAY_MS);
    }

    /// The part of [`Self::lead_time`] that this VM itself needs, and not the way to its caller. A gatherer's answer
    /// has to leave that much earlier, as this VM still has to read it and to write its own.
    pub fn delivery_time(&self, new_connection: bool) -> Millis {
        self.lead_time(new_connection) - Millis::from_f64(ROUND_TRIP_MS)
    }

    /// How long before its latency target an answer has to leave; `new_connection` if the caller
    /// opened its connection for the request.
    pub fn lead_time(&self, new_connection: bool) -> Millis {
        let connecting = if new_connection { CONNECT_ROUND_TRIP_MS } else { 0.0 };
        Millis::from_f64(ROUND_TRIP_MS + connecting + WAKEUPS_PER_ANSWER * self.wakeup_delay_ms)
    }
}
