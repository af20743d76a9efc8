use std::fmt;

/// Bytes of a key.
pub(crate) const KEY: usize = 32;

/// The key that frames are signed with, and one more that is accepted while keys are rotated.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys {
    pub(crate) current: [u8; KEY],
    pub(crate) old: Option<[u8; KEY]>,
}

impl Keys {
    /// Keys for signing with `current` and accepting `old` as well.
    pub fn new(current: [u8; KEY], old: Option<[u8; KEY]>) -> Self {
        Self { current, old }
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Keys(..)")
    }
}
