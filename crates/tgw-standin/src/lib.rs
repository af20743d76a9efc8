//! Stand-ins for the tier's dependencies: upstreams and the platform's object API, served on
//! loopback, seeded, with injectable faults. Also the sizes of the two users' installations and the
//! corpus that a checker compares answers with.

/// Contents of the stand-in upstreams.
pub mod corpus;
/// HTTP/1 server on one listener.
mod http;
/// The stand-in platform.
pub mod platform;
/// Sizes of the two users' installations.
pub mod size;
/// The stand-in upstream.
pub mod upstream;

pub use platform::Platform;
pub use upstream::Upstream;
