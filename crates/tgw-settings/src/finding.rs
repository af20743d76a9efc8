//! What is wrong in a settings file, and where.

use derive_more::Display;

/// One mistake; a check reports all of them.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{file}:{line}: {section}.{key}: {kind}")]
pub struct Finding {
    /// The file as it was named.
    pub file: String,
    /// The line, counted from one; zero when nothing stands there.
    pub line: usize,
    /// The section's name.
    pub section: String,
    /// The key's name.
    pub key: String,
    /// What is wrong.
    pub kind: Kind,
}

/// The kinds of mistakes.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// The file cannot be read.
    #[display("cannot read the file: {_0}")]
    Unreadable(String),
    /// The text is not INI.
    #[display("not readable as INI: {_0}")]
    Syntax(String),
    /// No setting has this name.
    #[display("unknown key")]
    UnknownKey,
    /// No section has this name.
    #[display("unknown section")]
    UnknownSection,
    /// A setting without a default is absent.
    #[display("missing; expected {_0}")]
    Missing(&'static str),
    /// The same key stands twice in a section.
    #[display("given twice")]
    Twice,
    /// The value cannot be understood; the value itself is not repeated, as it may be a secret.
    #[display("not {_0}")]
    Malformed(&'static str),
    /// A number lies outside its bounds.
    #[display("{found} is outside {low} to {high}")]
    Range {
        /// The number.
        found: u64,
        /// The least allowed.
        low: u64,
        /// The most allowed.
        high: u64,
    },
}
