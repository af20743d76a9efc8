use tgw_clock::Millis;

/// Length of a bucket, in ms: a tenth of the window that the operators' budget is set for.
const BUCKET_MS: u64 = 1_000;
/// Buckets for requests: one whole window.
const REQUEST_BUCKETS: usize = 10;
/// Buckets for extra sends: the window and the bucket in which it began, so that no span of the
/// window's length contains more than is counted.
const EXTRA_BUCKETS: usize = 11;

/// A budget for sends beyond the first, over a sliding window.
///
/// A token bucket would let a full bucket and its refill fall into one window. Counting the sends
/// of the window itself holds for every span of that length.
#[derive(Clone, Debug, Default)]
pub struct Window {
    newest_bucket: u64,
    requests: [u32; REQUEST_BUCKETS],
    extra: [u32; EXTRA_BUCKETS],
    /// Extra sends wanted for answers that fail without them.
    required: [u32; EXTRA_BUCKETS],
}

impl Window {
    /// Counts a request that a caller sent.
    pub fn count_request(&mut self, now: Millis) {
        self.advance(now);
        if let Some(bucket) = self.requests.first_mut() {
            *bucket += 1;
        }
    }

    /// Extra sends that the operators allow in the window: `share` of its requests and `constant`.
    pub fn allowed(&mut self, now: Millis, share: f64, constant: f64) -> f64 {
        self.advance(now);
        f64::from(self.requests.iter().sum::<u32>()) * share + constant
    }

    /// Takes one extra send if the window then holds at most `limit`.
    pub fn spend(&mut self, now: Millis, limit: f64) -> bool {
        self.advance(now);
        if f64::from(self.spent()) + 1.0 > limit {
            return false;
        }
        if let Some(bucket) = self.extra.first_mut() {
            *bucket += 1;
        }
        true
    }

    /// Counts an extra send wanted for an answer that fails without it.
    pub fn count_required(&mut self, now: Millis) {
        self.advance(now);
        if let Some(bucket) = self.required.first_mut() {
            *bucket += 1;
        }
    }

    /// The demand of answers that fail without an extra send, as a fraction of `allowed`, at most
    /// 1.
    pub fn pressure(&mut self, now: Millis, allowed: f64) -> f64 {
        self.advance(now);
        let required = f64::from(self.required.iter().sum::<u32>());
        if required < allowed { required / allowed } else { 1.0 }
    }

    /// Returns one extra send that was not made. Removed from the newest bucket, it may count for a
    /// second less than it would have; the unused part of the budget is larger than that.
    pub fn refund(&mut self) {
        if let Some(bucket) = self.extra.iter_mut().find(|bucket| **bucket > 0) {
            *bucket -= 1;
        }
    }

    /// Extra sends in the window.
    pub fn spent(&self) -> u32 {
        self.extra.iter().sum()
    }

    fn advance(&mut self, now: Millis) {
        let current = now.as_whole_ms() / BUCKET_MS;
        let steps = current.saturating_sub(self.newest_bucket).min(EXTRA_BUCKETS as u64);
        for _ in 0..steps {
            self.requests.rotate_right(1);
            self.extra.rotate_right(1);
            self.required.rotate_right(1);
            self.requests[0] = 0;
            self.extra[0] = 0;
            self.required[0] = 0;
        }
        self.newest_bucket = self.newest_bucket.max(current);
    }
}
