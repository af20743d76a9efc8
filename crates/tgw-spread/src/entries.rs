//! The entries of one kind in a document.

use crate::Delta;
use serde::Serialize;
use std::{collections::BTreeMap, rc::Rc};
use xxhash_rust::xxh3::xxh3_64;

/// The values of one kind in a document, each with the version of the document that last changed it.
#[derive(Clone, Debug)]
pub(crate) struct Entries<T> {
    values: BTreeMap<Rc<str>, (u64, T)>,
    /// Names that are gone, each with the version that removed it.
    removed: BTreeMap<Rc<str>, u64>,
}

impl<T> Default for Entries<T> {
    fn default() -> Self {
        Self { values: BTreeMap::new(), removed: BTreeMap::new() }
    }
}

impl<T: Clone + PartialEq + Serialize> Entries<T> {
    /// All values, in the order of their names.
    pub(crate) fn values(&self) -> impl Iterator<Item = (&Rc<str>, &T)> {
        self.values.iter().map(|(name, (_, value))| (name, value))
    }

    /// Makes these the values, whatever was known of them before; those that differ count as changed by `version`.
    /// Returns whether any does.
    pub(crate) fn replace(&mut self, version: u64, values: BTreeMap<Rc<str>, T>) -> bool {
        let missing = self.values.keys().filter(|name| !values.contains_key(*name));
        let missing: Vec<Rc<str>> = missing.cloned().collect();
        let mut changed = !missing.is_empty();
        for name in missing {
            self.remove(version, name);
        }
        for (name, value) in values {
            if self.values.get(&name).is_none_or(|(_, known)| *known != value) {
                self.put(version, name, value);
                changed = true;
            }
        }
        changed
    }

    /// Applies another VM's changes, which must start from the version that this VM holds, or hold all values.
    pub(crate) fn apply(&mut self, delta: Delta<T>) {
        let Delta { from, to, changed, removed, .. } = delta;
        if from.is_none() {
            let values = changed.into_iter().map(|(name, _, value)| (name, value)).collect();
            self.replace(to, values);
            return;
        }
        for (name, version) in removed {
            self.remove(version, name);
        }
        for (name, version, value) in changed {
            self.put(version, name, value);
        }
    }

    /// The changes of a delta after `version`, or all values.
    pub(crate) fn changes_since(&self, version: Option<u64>) -> Changes<T> {
        let after = version.unwrap_or(0);
        let changed = self.values.iter().filter(|(_, (changed_by, _))| *changed_by > after);
        let removed = self.removed.iter().filter(|(_, by)| version.is_some() && **by > after);
        Changes {
            changed: changed
                .map(|(name, (by, value))| (name.clone(), *by, value.clone()))
                .collect(),
            removed: removed.map(|(name, by)| (name.clone(), *by)).collect(),
        }
    }

    /// Number of removals that are remembered.
    pub(crate) fn removals(&self) -> usize {
        self.removed.len()
    }

    /// Forgets removals by versions up to this one.
    pub(crate) fn forget_removals(&mut self, version: u64) {
        self.removed.retain(|_, by| *by > version);
    }

    /// Hash of the values and their names, whichever versions changed them.
    pub(crate) fn hash(&self) -> u64 {
        // Only types without a length known in advance cannot be encoded, and no value has any.
        let hash =
            |entry: (&Rc<str>, &T)| xxh3_64(&postcard::to_allocvec(&entry).unwrap_or_default());
        self.values().fold(0, |all, entry| all ^ hash(entry))
    }

    fn put(&mut self, version: u64, name: Rc<str>, value: T) {
        self.removed.remove(&name);
        self.values.insert(name, (version, value));
    }

    fn remove(&mut self, version: u64, name: Rc<str>) {
        self.values.remove(&name);
        self.removed.insert(name, version);
    }
}

/// Changed values and removed names, each with the version that changed it.
pub(crate) struct Changes<T> {
    pub(crate) changed: Vec<(Rc<str>, u64, T)>,
    pub(crate) removed: Vec<(Rc<str>, u64)>,
}
