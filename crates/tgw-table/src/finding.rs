//! Validation errors of a table and their positions.

use derive_more::Display;

/// One validation error; validation reports all of them.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("row {row}, column {column}: {kind}")]
pub struct Finding {
    /// The line of the CSV text, the header being line 1.
    pub row: u64,
    /// The name of the column; empty for an error of the whole line or text.
    pub column: String,
    /// The kind of error.
    pub kind: Kind,
}

/// The kinds of validation errors.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Kind {
    /// The text is not valid CSV, or the number of fields in a line differs from the header.
    #[display("not readable as CSV: {_0}")]
    Csv(String),
    /// The header lacks a column.
    #[display("the column is missing")]
    Missing,
    /// The header names a column that does not exist.
    #[display("unknown column")]
    Unknown,
    /// A field is not a number or not one of the allowed words.
    #[display("`{found}` is not {expected}")]
    Malformed {
        /// The field's text.
        found: String,
        /// What the column accepts.
        expected: &'static str,
    },
    /// A number is out of range.
    #[display("{found} is outside {low} to {high}")]
    Range {
        /// The number.
        found: f64,
        /// The minimum.
        low: f64,
        /// The maximum.
        high: f64,
    },
    /// A service has more than one row.
    #[display("the service `{_0}` has a row already")]
    Twice(String),
    /// A service name is empty, longer than 64 characters, or has characters that a URL path cannot
    /// contain.
    #[display("`{_0}` is not a service name: use a-z, 0-9 and -")]
    Name(String),
    /// The document exceeds the size limit of the platform's objects.
    #[display("{bytes} bytes are more than the platform's {limit}")]
    Size {
        /// The size of the table.
        bytes: usize,
        /// The size limit.
        limit: usize,
    },
}
