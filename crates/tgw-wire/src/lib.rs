//! Frames exchanged by the processes of the query tier: versioned, limited in size, and signed with a
//! keyed hash. The payload is a `postcard` value whose type belongs to the crate that sends it.

/// Encodes, signs, verifies and decodes frames.
mod frame;
/// The keys that sign frames.
mod keys;

pub use frame::{Error, HEADER_BYTES, LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES, decode, encode};
pub use keys::Keys;
