use super::share::Share;
use tgw_clock::Millis;

/// A token bucket.
#[derive(Copy, Clone, Debug, PartialEq)]
pub(super) struct Bucket {
    tokens: f64,
    updated_at: Millis,
}

impl Bucket {
    pub(super) fn new(now: Millis, tokens: f64) -> Self {
        Self { tokens, updated_at: now }
    }

    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Refills for the time since the last call. Tokens beyond the capacity are lost.
    pub(super) fn refill(&mut self, now: Millis, share: Share) {
        let elapsed = (now - self.updated_at).as_f64();
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + elapsed * share.tokens_per_ms).min(share.capacity);
    }

    /// Adds tokens that another VM gave up. Those may exceed the capacity until they are used or the bucket is
    /// refilled next.
    pub(super) fn credit(&mut self, tokens: f64) {
        self.tokens += tokens;
    }

    /// Takes the token of one request.
    pub(super) fn take_one(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Takes up to `wanted` tokens, at most `part` of what there is.
    pub(super) fn take_part(&mut self, wanted: f64, part: f64) -> f64 {
        let taken = wanted.min(self.tokens * part).max(0.0);
        self.tokens -= taken;
        taken
    }

    /// Drops tokens above `most`.
    pub(super) fn cap(&mut self, most: f64) {
        self.tokens = self.tokens.min(most);
    }

    /// The time until there is a token.
    pub(super) fn next_token_in(&self, share: Share) -> Millis {
        let missing = (1.0 - self.tokens).max(0.0);
        if share.tokens_per_ms > 0.0 {
            Millis::from_f64(missing / share.tokens_per_ms)
        } else {
            Millis::MAX
        }
    }
}
