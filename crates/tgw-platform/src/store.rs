use crate::object::{Error, List, Object, Version};
use serde_json::Value;
use std::{future::Future, pin::Pin};
use tgw_clock::Millis;

/// The future that a call to the store returns.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// The precondition of a write.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// No object of this name exists.
    Absent,
    /// The object is at this version.
    Version(Version),
}

/// A name that no object has; reading it probes the store.
pub const PROBE_NAME: &str = "-";

/// The platform's object API.
pub trait Store: Send + Sync {
    /// Reads one object; `None` if it does not exist.
    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> StoreFuture<'a, Option<Object>>;

    /// Writes one object if the precondition holds, and returns its new version.
    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        precondition: Precondition,
        value: &'a Value,
    ) -> StoreFuture<'a, Version>;

    /// Deletes one object if it is at `version`.
    fn delete<'a>(&'a self, kind: &'a str, name: &'a str, version: Version) -> StoreFuture<'a, ()>;

    /// Reads all objects of a kind.
    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, List>;

    /// Reads all objects of a kind from a replica that may be seconds behind, if the store has one that is
    /// cheaper to read. The list's version need not match the objects.
    fn list_stale<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, List> {
        self.list(kind)
    }

    /// Checks with the cheapest possible read whether the store answers.
    fn probe<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, ()> {
        Box::pin(async move { self.get(kind, PROBE_NAME).await.map(drop) })
    }

    /// Waits up to `wait` for changes of a kind after version `from`; the list is empty if there were none.
    fn watch<'a>(&'a self, kind: &'a str, from: Version, wait: Millis) -> StoreFuture<'a, List>;
}
