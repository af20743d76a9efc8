use tgw_clock::Millis;

/// Length of a bucket, in ms: a tenth of the window that the operators' budget is set for.
const BUCKET_MS: u64 = 1_000;
/// Buckets that count as useful requests: one whole window.
const USEFUL: usize = 10;
/// Buckets that count as extra sends: the window and the bucket that it began in, so that no span of
/// the window's length holds more than is counted.
const EXTRA: usize = 11;

/// A budget for sends beyond the first, over a sliding window.
///
/// A token bucket would let a full bucket and its refill fall into one window. Counting what was
/// sent in the window itself holds for every span of that length.
#[derive(Clone, Debug, Default)]
pub struct Window {
    newest: u64,
    useful: [u32; USEFUL],
    extra: [u32; EXTRA],
    /// Extra sends that were wanted for answers that fail without them.
    needed: [u32; EXTRA],
}

impl Window {
    /// Counts a request that a caller sent.
    pub fn request(&mut self, now: Millis) {
        self.turn(now);
        if let Some(bucket) = self.useful.first_mut() {
            *bucket += 1;
        }
    }

    /// Extra sends that the operators allow in the window: `share` of its requests and `constant`.
    pub fn allowed(&mut self, now: Millis, share: f64, constant: f64) -> f64 {
        self.turn(now);
        f64::from(self.useful.iter().sum::<u32>()) * share + constant
    }

    /// Takes one extra send if the window then holds at most `most`.
    pub fn spend(&mut self, now: Millis, most: f64) -> bool {
        self.turn(now);
        if f64::from(self.spent()) + 1.0 > most {
            return false;
        }
        if let Some(bucket) = self.extra.first_mut() {
            *bucket += 1;
        }
        true
    }

    /// Counts an extra send that is wanted for an answer that fails without it.
    pub fn need(&mut self, now: Millis) {
        self.turn(now);
        if let Some(bucket) = self.needed.first_mut() {
            *bucket += 1;
        }
    }

    /// How much of `allowed`, from 0 to 1, answers that fail without an extra send asked for in the window.
    pub fn pressure(&mut self, now: Millis, allowed: f64) -> f64 {
        self.turn(now);
        let needed = f64::from(self.needed.iter().sum::<u32>());
        if needed < allowed { needed / allowed } else { 1.0 }
    }

    /// Gives back one extra send that was not made after all. Taken back from the newest seconds, it may
    /// count for a second less than it would have; what is not used of the budget is more than that.
    pub fn refund(&mut self) {
        if let Some(bucket) = self.extra.iter_mut().find(|bucket| **bucket > 0) {
            *bucket -= 1;
        }
    }

    /// Extra sends in the window.
    pub fn spent(&self) -> u32 {
        self.extra.iter().sum()
    }

    fn turn(&mut self, now: Millis) {
        let current = now.whole() / BUCKET_MS;
        let steps = current.saturating_sub(self.newest).min(EXTRA as u64);
        for _ in 0..steps {
            self.useful.rotate_right(1);
            self.extra.rotate_right(1);
            self.needed.rotate_right(1);
            self.useful[0] = 0;
            self.extra[0] = 0;
            self.needed[0] = 0;
        }
        self.newest = self.newest.max(current);
    }
}
