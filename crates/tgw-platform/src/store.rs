use crate::object::{Error, List, Object, Version};
use serde_json::Value;
use std::{future::Future, pin::Pin};
use tgw_clock::Millis;

/// The future of one call.
pub type Wait<'a, T> = Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// The condition of a write.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Expect {
    /// No object of that name exists.
    Absent,
    /// The object is at this version.
    At(Version),
}

/// A name that no object has.
pub const PROBED: &str = "-";

/// The platform's object API.
pub trait Store: Send + Sync {
    /// Reads one object.
    fn get<'a>(&'a self, kind: &'a str, name: &'a str) -> Wait<'a, Option<Object>>;

    /// Writes one object if the condition holds; its new version.
    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        expect: Expect,
        value: &'a Value,
    ) -> Wait<'a, Version>;

    /// Deletes one object if it is at `version`.
    fn delete<'a>(&'a self, kind: &'a str, name: &'a str, version: Version) -> Wait<'a, ()>;

    /// Reads all objects of a kind.
    fn list<'a>(&'a self, kind: &'a str) -> Wait<'a, List>;

    /// Reads all objects of a kind from a copy that may be seconds old, where the store has one that costs it
    /// less. The version says nothing of what the copy holds.
    fn list_stale<'a>(&'a self, kind: &'a str) -> Wait<'a, List> {
        self.list(kind)
    }

    /// Asks for as little as possible, to see whether the store answers.
    fn probe<'a>(&'a self, kind: &'a str) -> Wait<'a, ()> {
        Box::pin(async move { self.get(kind, PROBED).await.map(drop) })
    }

    /// Waits up to `wait` for changes of a kind after version `from`; empty if there were none.
    fn watch<'a>(&'a self, kind: &'a str, from: Version, wait: Millis) -> Wait<'a, List>;
}
