//! What is wrong in a table, and where.

use derive_more::Display;

/// One mistake; a check reports all of them.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("row {row}, column {column}: {kind}")]
pub struct Finding {
    /// The line of the CSV text, the header being line 1.
    pub row: u64,
    /// The column's name; empty when the whole line is meant.
    pub column: String,
    /// What is wrong.
    pub kind: Kind,
}

/// The kinds of mistakes.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Kind {
    /// The text is not CSV, or a line has another number of fields than the header.
    #[display("not readable as CSV: {_0}")]
    Csv(String),
    /// The header lacks a column.
    #[display("the column is missing")]
    Missing,
    /// The header names a column that does not exist.
    #[display("unknown column")]
    Unknown,
    /// A field is not a number, or not one of the words allowed.
    #[display("`{found}` is not {expected}")]
    Malformed {
        /// The field's text.
        found: String,
        /// What would be accepted.
        expected: &'static str,
    },
    /// A number lies outside its bounds.
    #[display("{found} is outside {low} to {high}")]
    Range {
        /// The number.
        found: f64,
        /// The least allowed.
        low: f64,
        /// The most allowed.
        high: f64,
    },
    /// A service has two rows.
    #[display("the service `{_0}` has a row already")]
    Twice(String),
    /// A service name is empty or holds characters that a URL path cannot carry.
    #[display("`{_0}` is not a service name: use a-z, 0-9 and -")]
    Name(String),
    /// The document would not fit one object of the platform.
    #[display("{bytes} bytes are more than the platform's {limit}")]
    Size {
        /// The size of the table.
        bytes: usize,
        /// The platform's limit.
        limit: usize,
    },
}
