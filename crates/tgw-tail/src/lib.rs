//! Tail latency control: the delay after which a request in flight is hedged, and the budget for the
//! extra load.

/// Exponentially weighted averages.
mod average;
/// Token budgets for hedges and retries.
mod budget;
/// The hedging delay and its budget.
mod hedge;

pub use average::Average;
pub use budget::Budget;
pub use hedge::Hedge;
