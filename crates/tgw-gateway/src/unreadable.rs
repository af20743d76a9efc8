use crate::dialect::Finding;
use std::collections::HashMap;

/// Entries that are remembered as told; who fills the store with more is told of by their number alone.
const MOST: usize = 1_024;

/// Entries of upstreams that cannot be read, and what was told of them.
///
/// A foreign entry is read anew with each list and each change. A line each time would fill the log with
/// what nobody has changed.
#[derive(Debug, Default)]
pub(crate) struct Unreadable(HashMap<String, Vec<Finding>>);

impl Unreadable {
    /// Tells what is wrong with an entry, unless that was told before.
    pub(crate) fn found(&mut self, name: &str, findings: &[Finding], revision: u64) {
        let told = self.0.get(name).is_some_and(|known| known == findings);
        if told || (self.0.len() >= MOST && !self.0.contains_key(name)) {
            return;
        }
        for finding in findings {
            tracing::warn!(%finding, upstream = name, revision, "entry names no upstream");
        }
        self.0.insert(name.into(), findings.into());
    }

    /// The entry is gone or can be read.
    pub(crate) fn ended(&mut self, name: &str) {
        self.0.remove(name);
    }

    /// Forgets the entries that are not `there` any more.
    pub(crate) fn keep(&mut self, there: impl Fn(&str) -> bool) {
        self.0.retain(|name, _| there(name));
    }

    /// The number of such entries.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
