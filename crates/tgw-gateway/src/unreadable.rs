use crate::codec::Finding;
use std::collections::HashMap;

/// Most entries whose findings are remembered; further ones show only in the number logged with
/// each list.
const MAX_ENTRIES: usize = 1_024;

/// Upstream entries that cannot be decoded, and the findings logged for them.
///
/// Such an entry is decoded again with each list and each change. Logging it each time would flood
/// the log although the entry has not changed.
#[derive(Debug, Default)]
pub(crate) struct Unreadable(HashMap<String, Vec<Finding>>);

impl Unreadable {
    /// Logs what is wrong with an entry, unless the same findings were logged before.
    pub(crate) fn log_once(&mut self, name: &str, findings: &[Finding], revision: u64) {
        let logged = self.0.get(name).is_some_and(|known| known == findings);
        if logged || (self.0.len() >= MAX_ENTRIES && !self.0.contains_key(name)) {
            return;
        }
        for finding in findings {
            tracing::warn!(%finding, upstream = name, revision, "cannot decode upstream entry");
        }
        self.0.insert(name.into(), findings.into());
    }

    /// Removes an entry that is gone or can be decoded.
    pub(crate) fn remove(&mut self, name: &str) {
        self.0.remove(name);
    }

    /// Removes the entries for which `exists` is false.
    pub(crate) fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.0.retain(|name, _| exists(name));
    }

    /// The number of remembered entries.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}
