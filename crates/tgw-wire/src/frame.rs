use crate::Keys;
use derive_more::{Display, Error as StdError};
use serde::{Serialize, de::DeserializeOwned};

/// Version of the frame format; frames of any other version are rejected.
const FORMAT_VERSION: u8 = 1;
/// Size of the truncated keyed hash in a frame.
const MAC_BYTES: usize = 16;
/// Size of the header before the payload: version and keyed hash.
pub const HEADER_BYTES: usize = 1 + MAC_BYTES;
/// Size of the length prefix of a frame on a stream.
pub const LENGTH_PREFIX_BYTES: usize = 4;
/// Largest size of a frame.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Why a frame was rejected.
#[derive(Copy, Clone, Debug, Display, StdError, PartialEq, Eq)]
pub enum Error {
    /// The frame is shorter than its header or longer than [`MAX_FRAME_BYTES`].
    #[display("frame of {_0} bytes")]
    Size(#[error(not(source))] usize),
    /// The frame has another format version.
    #[display("frame version {_0}")]
    Version(#[error(not(source))] u8),
    /// The frame is not signed with any of the accepted keys.
    #[display("frame not signed with a known key")]
    Signature,
    /// The payload cannot be encoded or decoded.
    #[display("malformed payload")]
    Payload,
}

/// Encodes `value` as a signed frame. Fails if the frame would be larger than [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(keys: &Keys, value: &T) -> Result<Vec<u8>, Error> {
    let mut frame = vec![0; HEADER_BYTES];
    frame[0] = FORMAT_VERSION;
    let mut frame = postcard::to_extend(value, frame).map_err(|_| Error::Payload)?;
    if frame.len() > MAX_FRAME_BYTES {
        return Err(Error::Size(frame.len()));
    }
    let mac = blake3::keyed_hash(&keys.current, &frame[HEADER_BYTES..]);
    frame[1..HEADER_BYTES].copy_from_slice(&mac.as_bytes()[..MAC_BYTES]);
    Ok(frame)
}

/// Verifies the size, version and signature of a frame and decodes its payload.
pub fn decode<T: DeserializeOwned>(keys: &Keys, frame: &[u8]) -> Result<T, Error> {
    if frame.len() < HEADER_BYTES || frame.len() > MAX_FRAME_BYTES {
        return Err(Error::Size(frame.len()));
    }
    if frame[0] != FORMAT_VERSION {
        return Err(Error::Version(frame[0]));
    }
    // An unauthenticated sender could impersonate any VM and take over ownership of groups or change
    // the table. The hash covers the whole payload, and blake3 compares hashes in constant time.
    let is_signed_with = |key: &[u8; 32]| {
        let mut mac = *blake3::keyed_hash(key, &frame[HEADER_BYTES..]).as_bytes();
        mac[MAC_BYTES..].fill(0);
        let mut given = [0; 32];
        given[..MAC_BYTES].copy_from_slice(&frame[1..HEADER_BYTES]);
        blake3::Hash::from_bytes(mac) == blake3::Hash::from_bytes(given)
    };
    if !is_signed_with(&keys.current) && !keys.old.as_ref().is_some_and(is_signed_with) {
        return Err(Error::Signature);
    }
    postcard::from_bytes(&frame[HEADER_BYTES..]).map_err(|_| Error::Payload)
}
