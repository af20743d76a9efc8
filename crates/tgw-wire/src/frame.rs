use crate::Keys;
use derive_more::{Display, Error as StdError};
use serde::{Serialize, de::DeserializeOwned};

/// The version of the frame format; another one is refused.
const VERSION: u8 = 1;
/// Bytes of the keyed hash that a frame carries.
const MAC: usize = 16;
/// Bytes before the payload: version and keyed hash.
pub const HEAD: usize = 1 + MAC;
/// Bytes of the length that goes before a frame on a stream.
pub const LENGTH: usize = 4;
/// Largest frame in bytes.
pub const FRAME_LIMIT: usize = 8 << 20;

/// Why a frame was refused.
#[derive(Copy, Clone, Debug, Display, StdError, PartialEq, Eq)]
pub enum Error {
    /// It is shorter than its head or longer than allowed.
    #[display("frame of {_0} bytes")]
    Size(#[error(not(source))] usize),
    /// It is of another format.
    #[display("frame version {_0}")]
    Version(#[error(not(source))] u8),
    /// It is signed with none of the keys.
    #[display("frame not signed with a known key")]
    Signature,
    /// Its payload cannot be read.
    #[display("malformed payload")]
    Payload,
}

/// Writes `value` as a signed frame. Errors: it is larger than [`FRAME_LIMIT`].
pub fn seal<T: Serialize>(keys: &Keys, value: &T) -> Result<Vec<u8>, Error> {
    let mut frame = vec![0; HEAD];
    frame[0] = VERSION;
    let mut frame = postcard::to_extend(value, frame).map_err(|_| Error::Payload)?;
    if frame.len() > FRAME_LIMIT {
        return Err(Error::Size(frame.len()));
    }
    let mac = blake3::keyed_hash(&keys.current, &frame[HEAD..]);
    frame[1..HEAD].copy_from_slice(&mac.as_bytes()[..MAC]);
    Ok(frame)
}

/// Checks and reads a frame.
pub fn open<T: DeserializeOwned>(keys: &Keys, frame: &[u8]) -> Result<T, Error> {
    if frame.len() < HEAD || frame.len() > FRAME_LIMIT {
        return Err(Error::Size(frame.len()));
    }
    if frame[0] != VERSION {
        return Err(Error::Version(frame[0]));
    }
    // Frames from strangers could name themselves any VM and take over ownership or edit the
    // table. The hash covers the whole payload; blake3's comparison takes constant time.
    let signed = |key: &[u8; 32]| {
        let mut mac = *blake3::keyed_hash(key, &frame[HEAD..]).as_bytes();
        mac[MAC..].fill(0);
        let mut given = [0; 32];
        given[..MAC].copy_from_slice(&frame[1..HEAD]);
        blake3::Hash::from_bytes(mac) == blake3::Hash::from_bytes(given)
    };
    if !signed(&keys.current) && !keys.old.as_ref().is_some_and(signed) {
        return Err(Error::Signature);
    }
    postcard::from_bytes(&frame[HEAD..]).map_err(|_| Error::Payload)
}
