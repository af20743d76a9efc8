//! Serialization of bytes as text in human-readable formats and as bytes in others, for
//! `#[serde(with = ...)]`.

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serializer, de, ser};

/// Serializes `bytes`; fails if the format is human-readable and the bytes are not UTF-8.
pub fn serialize<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    if !serializer.is_human_readable() {
        return serializer.serialize_bytes(bytes);
    }
    match std::str::from_utf8(bytes) {
        Ok(text) => serializer.serialize_str(text),
        Err(e) => Err(ser::Error::custom(e)),
    }
}

/// Deserializes bytes.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    if deserializer.is_human_readable() {
        return String::deserialize(deserializer).map(Bytes::from);
    }
    Bytes::deserialize(deserializer).map_err(de::Error::custom)
}
