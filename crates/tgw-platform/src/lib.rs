//! The platform's object API as this tier uses it: objects with a kind, a name and a version,
//! conditional writes, lists and watches. [`Store`] is the interface; [`Http`] implements it.

/// The implementation over HTTP.
mod http;
/// Objects, versions and errors.
pub mod object;
/// The interface.
mod store;

pub use http::Http;
pub use object::{Error, Object, Version};
pub use store::{PROBE_NAME, Precondition, Store, StoreFuture};
