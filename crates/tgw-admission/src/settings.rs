/// Weights of the decisions.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct Settings {
    /// Whether queries may wait or be rejected.
    pub enabled: bool,
    /// Fraction of the shortest latency target of a service that a request may wait at its upstream.
    pub wait_share: f64,
    /// Number of queries in 300 ms, decayed, below which a VM admits by the level of its region; zero
    /// if VMs decide alone.
    pub thin_queries: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { enabled: true, wait_share: 0.3, thin_queries: 8.0 }
    }
}
