/// Tokens earned as a share of useful requests and spent on extra ones.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    share: f64,
    burst: f64,
}

impl Budget {
    /// A budget of `share` extra requests for each useful one, saved up to `burst`; starts full.
    pub fn new(share: f64, burst: f64) -> Self {
        Self { tokens: burst, share, burst }
    }

    /// Sets the share, as after an edit of the table.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Earns for one useful request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Spends one token; false leaves the budget as it is.
    pub fn spend(&mut self) -> bool {
        // A fleet that has lost half its replicas answers each failure with a retry and so doubles
        // its own load. Tokens come only from useful requests, so extra ones stay a fixed share.
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
