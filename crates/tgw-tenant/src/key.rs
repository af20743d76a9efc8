use serde::{Deserialize, Serialize};
use std::fmt;

/// Separates these hashes from others of the same bytes.
const KEY_CONTEXT: &str = "tanagergw 2026-12 API key of a tenant";
const HASH_BYTES: usize = 16;

/// An API key, as a hash of its text. The text itself is not kept: it cannot reach a log, another VM or
/// an upstream. Keys are compared by their hashes, so the duration of a comparison tells nothing about
/// how much of a text is right.
#[derive(Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ApiKey([u8; HASH_BYTES]);

impl ApiKey {
    /// The key with this text.
    pub fn new(text: &[u8]) -> Self {
        let mut hash = [0; HASH_BYTES];
        blake3::Hasher::new_derive_key(KEY_CONTEXT).update(text).finalize_xof().fill(&mut hash);
        Self(hash)
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}
