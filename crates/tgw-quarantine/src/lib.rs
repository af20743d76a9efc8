//! Requests under which upstreams end: which ones are the same.

/// Which requests are the same.
pub mod fingerprint;

pub use fingerprint::Fingerprint;
