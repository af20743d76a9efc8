//! Mistakes in a settings file and their locations.

use derive_more::Display;

/// One mistake in a settings file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{file}:{line}: {section}.{key}: {kind}")]
pub struct Finding {
    /// The file name as given by the caller.
    pub file: String,
    /// The line, counted from one; zero if the finding belongs to no line.
    pub line: usize,
    /// The section's name.
    pub section: String,
    /// The key's name.
    pub key: String,
    /// The kind of mistake.
    pub kind: Kind,
}

/// The kinds of mistakes.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// The file could not be read.
    #[display("cannot read the file: {_0}")]
    Unreadable(String),
    /// The text is not valid INI.
    #[display("not valid INI: {_0}")]
    Syntax(String),
    /// The section has no setting of this name.
    #[display("unknown key")]
    UnknownKey,
    /// There is no section of this name.
    #[display("unknown section")]
    UnknownSection,
    /// A setting without a default value is missing.
    #[display("missing; expected {_0}")]
    Missing(&'static str),
    /// The key occurs more than once in its section.
    #[display("given twice")]
    Twice,
    /// The value cannot be parsed. The value is not included, as it may be a secret.
    #[display("not {_0}")]
    Malformed(&'static str),
    /// A number is outside its allowed range.
    #[display("{found} is outside {low} to {high}")]
    Range {
        /// The number in the file.
        found: u64,
        /// The smallest allowed value.
        low: u64,
        /// The largest allowed value.
        high: u64,
    },
}
