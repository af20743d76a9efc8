use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// Tells the hash apart from other uses of the same secret.
const CONTEXT: &str = "tanagergw 2026-12 fingerprint of a request";

/// What two requests share that differ in nothing but their identity and their deadline.
///
/// A keyed hash: a caller cannot make another's request look like its own, and a log that holds it tells nothing
/// of a body.
#[derive(
    Copy, Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Fingerprint(u64);

/// What a request asks for, and who asks.
#[derive(Copy, Clone, Debug)]
pub struct Content<'a> {
    /// Where its caller connects from; the port is another at each connection.
    pub caller: IpAddr,
    /// The method.
    pub method: &'a str,
    /// The host that was asked for.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
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

    /// The fingerprint of a request.
    pub fn of(&self, content: &Content<'_>) -> Fingerprint {
        let Content { caller, method, host, target, body } = content;
        let mut hash = blake3::Hasher::new_keyed(&self.key);
        match caller.to_canonical() {
            IpAddr::V4(ip) => hash.update(&ip.octets()),
            IpAddr::V6(ip) => hash.update(&ip.octets()),
        };
        for field in [method.as_bytes(), host.as_bytes(), target.as_bytes(), body] {
            // Without its length, the end of one field could pass for the beginning of the next.
            hash.update(&(field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        let mut bytes = [0; size_of::<u64>()];
        hash.finalize_xof().fill(&mut bytes);
        Fingerprint(u64::from_le_bytes(bytes))
    }
}

impl std::fmt::Debug for Hasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Hasher(..)")
    }
}
