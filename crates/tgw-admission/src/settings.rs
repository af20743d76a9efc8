/// Weights of the decisions.
#[derive(Copy, Clone, Debug, PartialEq)]
pub struct Settings {
    /// Whether queries may wait or be rejected.
    pub enabled: bool,
    /// Fraction of the shortest latency target of a service that a request may wait at its upstream.
    pub wait_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { enabled: true, wait_share: 0.3 }
    }
}
