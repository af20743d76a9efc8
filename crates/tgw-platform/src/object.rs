//! Objects, versions and errors.

use derive_more::{Display, Error as StdError};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A version of the whole store; each write makes a higher one.
pub type Version = u64;

/// Largest value that one object holds, in bytes.
pub const LIMIT_BYTES: usize = 1 << 20;

/// One object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Its kind.
    pub kind: String,
    /// Its name, unique within the kind.
    pub name: String,
    /// The version of its last change.
    pub version: Version,
    /// Its value; `null` in a watch says that it was deleted.
    pub value: Value,
}

/// The objects of a kind, or what changed among them, as of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// The store's version.
    pub version: Version,
    /// The objects.
    pub objects: Vec<Object>,
}

/// Why a call brought nothing.
#[derive(Clone, Debug, Display, StdError, PartialEq, Eq)]
pub enum Error {
    /// The object's version is not the one expected; nothing was written.
    #[display("conflict: the object is at version {current}")]
    Conflict {
        /// Its version; zero if there is no such object.
        current: Version,
    },
    /// The watch starts before the history that is kept: list again.
    #[display("gone: the history does not reach back so far")]
    Gone,
    /// The platform refused the call or could not be reached; nothing was written.
    #[display("unavailable: {reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// The call was sent and its reply was lost: a write may have taken effect or not.
    #[display("unknown: {reason}")]
    Unknown {
        /// What was seen.
        reason: String,
    },
}
