//! Whether a VM's configuration is the newest, as far as others tell it.

use tgw_clock::Millis;

/// Shortest time between two questions: requests with unknown keys, of which a caller can send any number, share one.
const MIN_ASK_INTERVAL_MS: Millis = Millis::new(20);
/// Time after which a question counts as lost: longer than the longest round trip (40 ms).
const ANSWER_TIMEOUT_MS: Millis = Millis::new(80);

/// Questions to VMs that read the store, and what their answers cover.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    asked_at: Option<Millis>,
    is_answered: bool,
    /// When the question was sent to which a VM last had nothing newer.
    confirmed_as_of: Option<Millis>,
}

impl Freshness {
    /// Whether to ask now; counts as asked if so.
    pub fn take_ask_due(&mut self, now: Millis) -> bool {
        let wait = if self.is_answered { MIN_ASK_INTERVAL_MS } else { ANSWER_TIMEOUT_MS };
        let due = self.asked_at.is_none_or(|at| now - at >= wait);
        if due {
            self.asked_at = Some(now);
            self.is_answered = false;
        }
        due
    }

    /// Records that a VM that reads the store has no newer configuration.
    pub fn confirm(&mut self) {
        if !std::mem::replace(&mut self.is_answered, true) {
            self.confirmed_as_of = self.asked_at;
        }
    }

    /// Whether the configuration was the newest when a request arrived at `arrived`: an answer to an earlier question
    /// says nothing of a key that was added after it.
    pub fn covers(&self, arrived: Millis) -> bool {
        self.confirmed_as_of.is_some_and(|at| at >= arrived)
    }
}
