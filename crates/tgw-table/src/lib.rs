//! The operators' table of services: its rows, its validation, differences between two editions, and
//! the rule that a VM adopts only newer editions.

/// Adoption of newer editions by a VM.
pub mod adopt;
/// Differences between two editions.
pub mod diff;
/// One edition of the table and its CSV form.
pub mod document;
/// Validation errors of a table and their positions.
pub mod finding;
/// The row of one service.
pub mod row;

pub use document::{Document, Edition};
pub use finding::Finding;
pub use row::Row;
