//! Stand-ins for what lies outside the tier: upstreams and the platform's object API, on loopback,
//! seeded, with the faults that the real ones have. Also the two users' sizes and the corpus that a
//! checker compares answers with.

/// What the stand-in upstreams hold: a pure function of snapshot, shard and query.
pub mod corpus;
/// HTTP service on one listener.
mod http;
/// The stand-in platform.
pub mod platform;
/// The two users' sizes.
pub mod size;
/// The stand-in upstream.
pub mod upstream;

pub use platform::Platform;
pub use upstream::Upstream;
