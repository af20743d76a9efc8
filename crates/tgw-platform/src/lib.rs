//! The platform's object API as the tier uses it: objects of a kind with a name and a version,
//! conditional updates, lists and watches. [`Store`] is the border; [`Http`] is its one adapter.

/// The adapter to the platform's HTTP interface.
mod http;
/// Objects, versions and errors.
pub mod object;
/// The border.
mod store;

pub use http::Http;
pub use object::{Error, Object, Version};
pub use store::{Expect, PROBED, Store, Wait};
