//! Control of tail latency: when a running request is late enough for a second one, and how much
//! extra load that may cost.

/// Exponentially weighted averages.
mod average;
/// Token budgets for hedges and retries.
mod budget;
/// The age at which a request is hedged.
mod hedge;

pub use average::Average;
pub use budget::Budget;
pub use hedge::Hedge;
