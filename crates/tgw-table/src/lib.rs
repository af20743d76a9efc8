//! The operators' one table: its rows, the checks before it is accepted, differences between two
//! editions, and the rule by which a VM adopts a newer edition and nothing else.

/// Adoption of editions by a VM: upwards only.
pub mod adopt;
/// What differs between two editions.
pub mod diff;
/// One edition of the table and its CSV form.
pub mod document;
/// What is wrong in a table, and where.
pub mod finding;
/// One service's row.
pub mod row;

pub use document::{Document, Edit};
pub use finding::Finding;
pub use row::Row;
