//! Objects, versions and errors.

use derive_more::{Display, Error as StdError};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A version of the whole store; each write increases it.
pub type Version = u64;

/// Largest value of an object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// An object of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// The kind, which groups objects for lists and watches.
    pub kind: String,
    /// The name, unique within the kind.
    pub name: String,
    /// The version of its last change.
    pub version: Version,
    /// The value; `null` in the reply to a watch if the object was deleted.
    pub value: Value,
}

/// The objects of a kind, or those that changed, as of a version of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// The version of the store.
    pub version: Version,
    /// The objects; of a watch, those that changed.
    pub objects: Vec<Object>,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, StdError, PartialEq, Eq)]
pub enum Error {
    /// The object is not at the expected version; nothing was written.
    #[display("conflict: the object is at version {current}")]
    Conflict {
        /// The current version; zero if the object does not exist.
        current: Version,
    },
    /// The watch starts before the retained history; the caller must list again.
    #[display("gone: the version is older than the retained history")]
    Gone,
    /// The platform refused the call or could not be reached; nothing was written.
    #[display("unavailable: {reason}")]
    Unavailable {
        /// The underlying error or the status.
        reason: String,
    },
    /// The call may have been sent and has no valid reply: a write may have taken effect.
    #[display("unknown: {reason}")]
    Unknown {
        /// The underlying error or the status.
        reason: String,
    },
}
