use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::{fmt, net::IpAddr, str::FromStr};

/// Separates this key from others that are derived from the same secret.
const KEY_CONTEXT: &str = "tanagergw 2026-12 fingerprint of a request";

/// Identifies a request by what it asks for and where it comes from: equal for requests that differ only in their
/// identity and their deadline.
///
/// The hashes are keyed: a caller cannot forge a request with the fingerprint of another one, and a log that contains
/// fingerprints reveals nothing of a body.
#[derive(
    Copy,
    Clone,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{content:016x}-{caller:08x}")]
pub struct Fingerprint {
    /// Hash of method, host, path, query, credentials and body: the same whichever address the request comes from.
    pub content: u64,
    /// Hash of the address that the request comes from. It does not identify the caller: a team has many hosts, and a
    /// load balancer one address for all.
    pub caller: u32,
}

/// The error for a text that is not a fingerprint.
#[derive(Copy, Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("not a fingerprint: sixteen hexadecimal digits, a hyphen, eight more")]
pub struct ParseError;

impl FromStr for Fingerprint {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (content, caller) = text.split_once('-').ok_or(ParseError)?;
        if (content.len(), caller.len()) != (16, 8) {
            return Err(ParseError);
        }
        let content = u64::from_str_radix(content, 16).map_err(|_| ParseError)?;
        let caller = u32::from_str_radix(caller, 16).map_err(|_| ParseError)?;
        Ok(Self { content, caller })
    }
}

/// The parts of a request that its fingerprint covers.
#[derive(Copy, Clone, Debug)]
pub struct Content<'a> {
    /// The method.
    pub method: &'a str,
    /// The requested host.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The credentials that the caller presents; empty if none.
    pub credentials: &'a [u8],
    /// The body.
    pub body: &'a [u8],
}

/// Computes fingerprints. All VMs that share a secret compute the same ones.
#[derive(Clone)]
pub struct Hasher {
    key: [u8; blake3::KEY_LEN],
}

impl Hasher {
    /// Computes fingerprints with a key that is derived from `secret`.
    pub fn new(secret: &[u8]) -> Self {
        Self { key: blake3::derive_key(KEY_CONTEXT, secret) }
    }

    /// The hash of a caller's IP address. The port is left out, as it differs for each connection.
    pub fn hash_caller(&self, address: IpAddr) -> u32 {
        let mut hash = blake3::Hasher::new_keyed(&self.key);
        match address.to_canonical() {
            IpAddr::V4(ip) => hash.update(&ip.octets()),
            IpAddr::V6(ip) => hash.update(&ip.octets()),
        };
        u32::from_le_bytes(truncated(&hash))
    }

    /// The fingerprint of a request whose caller is hashed already.
    pub fn fingerprint(&self, caller: u32, content: &Content<'_>) -> Fingerprint {
        let Content { method, host, target, credentials, body } = content;
        let mut hash = blake3::Hasher::new_keyed(&self.key);
        let [method, host, target] = [method, host, target].map(|text| text.as_bytes());
        for field in [method, host, target, credentials, body] {
            // Without the lengths, bytes could move from the end of one field to the start of the next unnoticed.
            hash.update(&(field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        Fingerprint { content: u64::from_le_bytes(truncated(&hash)), caller }
    }
}

fn truncated<const N: usize>(hash: &blake3::Hasher) -> [u8; N] {
    let mut bytes = [0; N];
    hash.finalize_xof().fill(&mut bytes);
    bytes
}

impl fmt::Debug for Hasher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Hasher(..)")
    }
}
