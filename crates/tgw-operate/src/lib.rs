//! Operator commands: edit the table, show the fleet's status, and explain how a query was handled.

/// HTTP calls to the operator APIs of VMs.
mod call;
/// Logged decisions of one query, fetched from VMs.
pub mod explain;
/// When each VM learned that an upstream leaves.
pub mod leaving;
/// Parsed lines of VMs' log files.
mod log;
/// Failed, refused, late and partial requests, counted from log files.
pub mod losses;
/// Requests that a gateway quarantines.
pub mod quarantine;
/// How long changes take to reach all VMs, from log files.
pub mod spread;
/// Status of the fleet as its VMs report it.
pub mod status;
/// Edits of the table.
pub mod table;
/// Timeline of one request, built from log files.
pub mod timeline;

pub use call::Access;
