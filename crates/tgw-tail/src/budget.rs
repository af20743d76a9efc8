/// A token budget for extra requests, earned in proportion to useful requests.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    ratio: f64,
    burst: f64,
}

impl Budget {
    /// A budget that earns `ratio` tokens for each useful request and saves up to `burst` tokens.
    /// Starts full.
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self { tokens: burst, ratio, burst }
    }

    /// Sets the ratio of extra to useful requests, which a new edition of the table may change.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Earns tokens for one useful request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Spends one token; false if less than one token is left.
    pub fn try_spend(&mut self) -> bool {
        // Without this limit, a fleet that has lost half its replicas retries each failure and doubles
        // its own load. Tokens come only from useful requests, so that extra ones stay a fixed share.
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
