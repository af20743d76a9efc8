//! Frames between the system's own processes: versioned, bounded in size, signed with a keyed hash.
//! What a frame carries is any `postcard` value of the crate that owns the message.

/// Signing and checking of frames.
mod frame;
/// The keys that frames are signed with.
mod keys;

pub use frame::{Error, FRAME_LIMIT, HEAD, LENGTH, open, seal};
pub use keys::Keys;
