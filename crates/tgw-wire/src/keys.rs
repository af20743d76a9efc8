use std::fmt;

/// Size of a key.
pub(crate) const KEY_BYTES: usize = 32;

/// The key that signs frames, and an optional second key that is also accepted during a key rotation.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys {
    pub(crate) current: [u8; KEY_BYTES],
    pub(crate) old: Option<[u8; KEY_BYTES]>,
}

impl Keys {
    /// Creates keys that sign with `current` and accept both `current` and `old`.
    pub fn new(current: [u8; KEY_BYTES], old: Option<[u8; KEY_BYTES]>) -> Self {
        Self { current, old }
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Keys(..)")
    }
}
