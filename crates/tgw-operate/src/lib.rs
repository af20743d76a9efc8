//! What operators do: edit the table, see the fleet, ask why a query went as it did.

/// Calls of the VMs' operators' interface.
mod call;
/// What one query's decisions were.
pub mod explain;
/// Who learned when that an upstream leaves.
pub mod leaving;
/// Lines of log files.
mod log;
/// Where requests were lost, counted from log files.
pub mod losses;
/// Requests that a gateway holds back.
pub mod quarantine;
/// The fleet as its VMs see it.
pub mod status;
/// One request's story, told from log files.
pub mod story;
/// Edits of the table.
pub mod table;

pub use call::Access;
