use super::share::Share;
use std::collections::VecDeque;
use tgw_clock::Millis;

/// Parts of a window in which admissions are counted together, which bounds memory. A full window whose first requests
/// came at once returns their room one part late at most, and windows that begin in that part hold so much less.
const SLICES: f64 = 2_000.0;
/// Rounding errors of sums of tokens.
const EPSILON: f64 = 1e-9;

/// The windows that begin now or began less than a window ago, with what each may still hold.
///
/// A window holds at most the capacity and the refill of the time since its begin, as a token bucket that was full
/// when it began. A token bucket binds all spans of time and admits the rate in the long run; this one forgets what
/// is older than a window, so that a full window is followed by another full one.
#[derive(Clone, Debug)]
pub(super) struct Windows {
    length: Millis,
    share: Share,
    updated_at: Millis,
    /// Tokens of a bucket that forgets nothing.
    bucket: f64,
    /// Whether the bucket binds too.
    is_strict: bool,
    /// Tokens that were given up and may still be used elsewhere: until when, and how many.
    given_up: VecDeque<(Millis, f64)>,
    /// In the order of their begins.
    slices: VecDeque<Slice>,
}

/// The windows that begin within one slice.
#[derive(Copy, Clone, Debug)]
struct Slice {
    begin: Millis,
    /// When the last of these windows ends.
    end: Millis,
    /// What they may still hold.
    tokens: f64,
    /// [`Share::whole_capacity`] that `tokens` contain.
    whole_capacity: f64,
    /// Requests admitted in the slice that were not returned.
    admitted: u32,
}

impl Windows {
    /// Windows of a region of which nothing is known from before `begin`, when it had `tokens`.
    pub(super) fn new(begin: Millis, length: Millis, share: Share, tokens: f64) -> Self {
        let mut windows = Self {
            length,
            share,
            updated_at: begin,
            bucket: share.capacity,
            is_strict: false,
            given_up: VecDeque::new(),
            slices: VecDeque::new(),
        };
        windows.cap(begin, tokens);
        windows
    }

    /// Accounts for the time since the last call, and for a change of the share. While `is_strict`, a token bucket
    /// binds too.
    pub(super) fn update(&mut self, now: Millis, length: Millis, share: Share, is_strict: bool) {
        self.length = length;
        self.is_strict = is_strict;
        self.begin_windows_of_given_up(now);
        self.slices.retain(|slice| now < slice.end);
        let refill = (now - self.updated_at).as_f64() * share.tokens_per_ms;
        let raised = share.part_of_raise(self.share.whole_capacity);
        let tokens = self.available() + refill + raised;
        for slice in &mut self.slices {
            let until = now.min(slice.begin + length);
            let raised = share.part_of_raise(slice.whole_capacity);
            let since = self.updated_at.max(slice.begin);
            slice.tokens += (until - since).as_f64() * share.tokens_per_ms + raised;
            slice.whole_capacity = slice.whole_capacity.max(share.whole_capacity);
        }
        self.bucket = (self.bucket + refill + raised).min(share.capacity);
        // What the limit does not explain was another VM's part, which may have used it.
        let has_grown = share.capacity > self.share.capacity + raised + EPSILON;
        self.updated_at = self.updated_at.max(now);
        self.share = share;
        if has_grown {
            self.cap(now, tokens);
        }
    }

    /// What may be admitted at once.
    pub(super) fn capacity(&self) -> f64 {
        self.share.capacity
    }

    /// What may be admitted now.
    pub(super) fn available(&self) -> f64 {
        let capacity = self.new_tokens();
        let most = if self.is_strict { self.bucket.min(capacity) } else { capacity };
        self.slices.iter().fold(most, |least, slice| least.min(slice.tokens))
    }

    /// Counts a request, of which `tokens` are admitted from this share.
    pub(super) fn admit(&mut self, now: Millis, tokens: f64) {
        self.slice(now).admitted += 1;
        self.take(tokens);
    }

    /// Counts tokens that are given up and may be used elsewhere for the time `lifetime`.
    pub(super) fn give_up(&mut self, now: Millis, tokens: f64, lifetime: Millis) {
        self.slice(now);
        self.take(tokens);
        self.given_up.push_back((now + lifetime, tokens));
    }

    /// Takes back the token of an admitted request. It is not known which one; if it was the oldest, the fewest windows have
    /// room again.
    pub(super) fn take_back(&mut self) {
        let Some(oldest) = self.slices.iter().position(|slice| slice.admitted > 0) else { return };
        self.slices[oldest].admitted -= 1;
        self.bucket = (self.bucket + 1.0).min(self.share.capacity);
        self.slices.range_mut(..=oldest).for_each(|slice| slice.tokens += 1.0);
    }

    /// Drops tokens above `most`, and those of the time since the last update.
    pub(super) fn cap(&mut self, now: Millis, most: f64) {
        self.updated_at = self.updated_at.max(now);
        let tokens = self.available().min(most);
        self.bucket = self.bucket.min(most);
        if tokens < self.share.capacity {
            let slice = self.slice(now);
            slice.tokens = slice.tokens.min(tokens);
        }
    }

    /// Requests that were admitted since a time.
    pub(super) fn admitted_since(&self, begin: Millis) -> f64 {
        let recent = self.slices.iter().rev().take_while(|slice| slice.begin >= begin);
        recent.map(|slice| f64::from(slice.admitted)).sum()
    }

    /// The time until a request may be admitted.
    pub(super) fn next_token_in(&self, now: Millis) -> Millis {
        if self.share.capacity < 1.0 {
            return Millis::MAX;
        }
        let wait = |slice: &Slice| {
            let end = slice.end - now;
            let missing = (1.0 - slice.tokens).max(0.0);
            let refilled = missing / self.share.tokens_per_ms;
            if refilled.is_finite() { end.min(Millis::from_f64(refilled)) } else { end }
        };
        let waits = self.slices.iter().filter(|slice| slice.tokens < 1.0).map(wait);
        let missing = if self.is_strict { (1.0 - self.bucket).max(0.0) } else { 0.0 };
        let refilled = Millis::from_f64(missing / self.share.tokens_per_ms.max(f64::MIN_POSITIVE));
        waits.max().unwrap_or_default().max(refilled)
    }

    /// Tokens that were given up may have been used at the end of their lifetime: begins the windows that would hold
    /// them then, and what follows.
    fn begin_windows_of_given_up(&mut self, now: Millis) {
        while let Some((until, _)) = self.given_up.front().copied().filter(|(at, _)| now >= *at) {
            let (tokens, whole_capacity) = (self.new_tokens(), self.share.whole_capacity);
            let end = until + self.length;
            self.slices.push_back(Slice { begin: until, end, tokens, whole_capacity, admitted: 0 });
            self.given_up.pop_front();
        }
    }

    /// What windows that begin now may hold besides what was given up.
    fn new_tokens(&self) -> f64 {
        self.share.capacity - self.given_up.iter().map(|(_, tokens)| tokens).sum::<f64>()
    }

    fn take(&mut self, tokens: f64) {
        self.bucket = (self.bucket - tokens).max(0.0);
        self.slices.iter_mut().for_each(|slice| slice.tokens -= tokens);
    }

    /// The slice of `now`.
    fn slice(&mut self, now: Millis) -> &mut Slice {
        let width = self.length.mul_f64(1.0 / SLICES);
        let is_over = self.slices.back().is_none_or(|slice| now - slice.begin >= width);
        let (tokens, whole_capacity) = (self.new_tokens(), self.share.whole_capacity);
        let end = now + self.length;
        let slice = Slice { begin: now, end, tokens, whole_capacity, admitted: 0 };
        if is_over {
            self.slices.push_back(slice);
        }
        let last = self.slices.len() - 1;
        let slice = &mut self.slices[last];
        slice.end = slice.end.max(end);
        slice
    }
}
