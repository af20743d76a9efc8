use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::{fmt, net::IpAddr, str::FromStr};

/// Tells the hash apart from other uses of the same secret.
const CONTEXT: &str = "tanagergw 2026-12 fingerprint of a request";

/// What two requests share that differ in nothing but their identity and their deadline.
///
/// Keyed hashes: a caller cannot make another's request look like its own, and a log that holds them tells nothing of
/// a body.
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
    /// Of method, host, path, query, credentials and body: the same wherever it comes from.
    pub content: u64,
    /// Of the address that it comes from, which is not who its caller is: a team has many hosts, and a balancer one
    /// address for all.
    pub caller: u32,
}

/// A text is not a fingerprint.
#[derive(Copy, Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("not a fingerprint: sixteen hexadecimal digits, a hyphen, eight more")]
pub struct Invalid;

impl FromStr for Fingerprint {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let (content, caller) = text.split_once('-').ok_or(Invalid)?;
        if (content.len(), caller.len()) != (16, 8) {
            return Err(Invalid);
        }
        let content = u64::from_str_radix(content, 16).map_err(|_| Invalid)?;
        let caller = u32::from_str_radix(caller, 16).map_err(|_| Invalid)?;
        Ok(Self { content, caller })
    }
}

/// What a request asks for.
#[derive(Copy, Clone, Debug)]
pub struct Content<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that was asked for.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// What its caller shows of who it is, if anything.
    pub credentials: &'a [u8],
    /// The body.
    pub body: &'a [u8],
}

/// Takes fingerprints. All VMs that share a secret take the same ones.
#[derive(Clone)]
pub struct Hasher {
    key: [u8; blake3::KEY_LEN],
}

impl Hasher {
    /// Takes fingerprints under a key that is derived from `secret`.
    pub fn new(secret: &[u8]) -> Self {
        Self { key: blake3::derive_key(CONTEXT, secret) }
    }

    /// Of a caller, by where it connects from; its port is another at each connection.
    pub fn caller(&self, address: IpAddr) -> u32 {
        let mut hash = blake3::Hasher::new_keyed(&self.key);
        match address.to_canonical() {
            IpAddr::V4(ip) => hash.update(&ip.octets()),
            IpAddr::V6(ip) => hash.update(&ip.octets()),
        };
        u32::from_le_bytes(first(&hash))
    }

    /// Of a request, whose caller was hashed before.
    pub fn request(&self, caller: u32, content: &Content<'_>) -> Fingerprint {
        let Content { method, host, target, credentials, body } = content;
        let mut hash = blake3::Hasher::new_keyed(&self.key);
        let [method, host, target] = [method, host, target].map(|text| text.as_bytes());
        for field in [method, host, target, credentials, body] {
            // Without its length, the end of one field could pass for the beginning of the next.
            hash.update(&(field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        Fingerprint { content: u64::from_le_bytes(first(&hash)), caller }
    }
}

fn first<const N: usize>(hash: &blake3::Hasher) -> [u8; N] {
    let mut bytes = [0; N];
    hash.finalize_xof().fill(&mut bytes);
    bytes
}

impl fmt::Debug for Hasher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Hasher(..)")
    }
}
