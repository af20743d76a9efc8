use crate::agreement::Digest;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Most removals that are remembered; a VM that is further behind receives all values.
const MAX_REMOVALS: usize = 4_096;

/// Most gaps that are kept apart; beyond that the two oldest are merged.
const MAX_GAPS: usize = 8;

/// Values by name, each with the version of its last change.
///
/// Each value was written at a version of its own by the platform's store, which raises it with each write of any value.
/// Two VMs at the same version hold the same values.
#[derive(Clone, Debug)]
pub struct VersionedMap<T> {
    version: u64,
    /// Up to this version all changes are known from the store itself.
    store_version: u64,
    /// Removals up to this version may be unknown or forgotten.
    history_start: u64,
    /// Version ranges in which removals may be unknown, as the store was listed again instead of watched.
    gaps: Vec<(u64, u64)>,
    values: BTreeMap<Rc<str>, (u64, T)>,
    removed: BTreeMap<Rc<str>, u64>,
    /// Exclusive or of the hashes of all names and their versions.
    digest: u64,
}

fn hash(name: &str, version: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), version)
}

/// The changes after a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<T> {
    /// The version that it starts from; `None` if it holds all values.
    pub from: Option<u64>,
    /// The version that it leads to.
    pub to: u64,
    /// Values that were written, with their versions.
    pub changed: Vec<(Rc<str>, u64, T)>,
    /// Names that were removed, with the version of the removal.
    pub removed: Vec<(Rc<str>, u64)>,
    /// Version ranges in which removals may be unknown to the sender.
    pub gaps: Vec<(u64, u64)>,
}

/// The changes of a delta that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied<T> {
    /// The new values.
    pub changed: Vec<T>,
    /// The names that were removed.
    pub removed: Vec<Rc<str>>,
}

impl<T> Default for Applied<T> {
    fn default() -> Self {
        Self { changed: Vec::new(), removed: Vec::new() }
    }
}

impl<T> Default for VersionedMap<T> {
    fn default() -> Self {
        let (values, removed) = (BTreeMap::new(), BTreeMap::new());
        let (gaps, digest) = (Vec::new(), 0);
        Self { version: 0, store_version: 0, history_start: 0, gaps, values, removed, digest }
    }
}

impl<T: Clone + PartialEq> VersionedMap<T> {
    /// The version up to which all changes are known, from the store or from other VMs.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Digest of the values: their names, and the version of each.
    pub fn digest(&self) -> Digest {
        Digest { version: self.version, hash: self.digest }
    }

    /// All values.
    pub fn values(&self) -> impl Iterator<Item = (&Rc<str>, &T)> {
        self.values.iter().map(|(name, (_, value))| (name, value))
    }

    /// The value of a name.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.values.get(name).map(|(_, value)| value)
    }

    /// The version up to which all changes are known from the store itself.
    pub fn store_version(&self) -> u64 {
        self.store_version
    }

    /// The version at which the value of a name was written; zero if there is none.
    pub fn written_version(&self, name: &str) -> u64 {
        self.values.get(name).map_or(0, |(version, _)| *version)
    }

    /// Replaces all values by those of the store as of `store_version`, each with its own version, which
    /// is not above that.
    pub fn replace(&mut self, store_version: u64, values: Vec<(Rc<str>, u64, T)>) {
        let names: BTreeSet<Rc<str>> = values.iter().map(|v| v.0.clone()).collect();
        let missing = self.values.keys().filter(|n| !names.contains(*n));
        let gone: Vec<Rc<str>> = missing.cloned().collect();
        if self.version == 0 {
            self.start_history_at(store_version);
        } else {
            self.add_gap(self.version, store_version);
        }
        for name in gone {
            self.remove(store_version, &name);
        }
        for (name, version, value) in values {
            self.put(version, name, value);
        }
        self.store_version = self.store_version.max(store_version);
        // With the version of the newest value alone, this VM would count as being as far as one that
        // still holds a value removed since, which this VM may never have held.
        self.version = self.version.max(store_version);
    }

    /// Marks a version range in which values may have been written and removed without being seen here.
    fn add_gap(&mut self, from: u64, to: u64) {
        // A VM whose version lies between two lists of the store may hold such a name, and would keep it for
        // good if it received only the changes since.
        if from < to && !self.gaps.contains(&(from, to)) {
            self.gaps.push((from, to));
        }
        if self.gaps.len() > MAX_GAPS {
            let (start, end) = self.gaps.remove(0);
            let (next_start, next_end) = self.gaps[0];
            self.gaps[0] = (start.min(next_start), end.max(next_end));
        }
    }

    /// Marks removals up to `version` as unknown.
    pub fn start_history_at(&mut self, version: u64) {
        self.history_start = self.history_start.max(version);
    }

    /// Applies a value that was written at `version`; false if a newer write or removal is known.
    pub fn put(&mut self, version: u64, name: Rc<str>, value: T) -> bool {
        let known = self.values.get(&name).map_or(0, |(v, _)| *v);
        let removed = self.removed.get(&name).copied().unwrap_or(0);
        if version <= known.max(removed) {
            return false;
        }
        self.removed.remove(&name);
        self.forget_value(&name);
        self.digest ^= hash(&name, version);
        self.values.insert(name, (version, value));
        self.version = self.version.max(version);
        true
    }

    /// Applies a removal at `version`; false if there is no such value or a newer one.
    pub fn remove(&mut self, version: u64, name: &Rc<str>) -> bool {
        let known = self.values.get(name).map_or(0, |(known, _)| *known);
        let removed = self.removed.get(name).copied().unwrap_or(0);
        if version <= known.max(removed) {
            return false;
        }
        // Recorded even for a name that this VM never held: VMs that did may ask this one.
        self.removed.insert(name.clone(), version);
        let held = self.forget_value(name);
        self.version = self.version.max(version);
        self.trim();
        held
    }

    /// Removes a value; returns whether there was one.
    fn forget_value(&mut self, name: &Rc<str>) -> bool {
        let Some((version, _)) = self.values.remove(name) else { return false };
        self.digest ^= hash(name, version);
        true
    }

    fn trim(&mut self) {
        while self.removed.len() > MAX_REMOVALS {
            let oldest = self.removed.iter().min_by_key(|(_, v)| **v);
            let Some((name, version)) = oldest.map(|(n, v)| (n.clone(), *v)) else { return };
            self.removed.remove(&name);
            self.history_start = self.history_start.max(version);
        }
    }

    /// The changes after `version`.
    pub fn since(&self, version: u64) -> Delta<T> {
        let in_gap = self.gaps.iter().any(|(start, end)| *start < version && version < *end);
        let complete = version > 0 && version >= self.history_start && !in_gap;
        let from = complete.then_some(version);
        let after = from.unwrap_or(0);
        let changed = self.values.iter().filter(|(_, (v, _))| *v > after);
        let changed = changed.map(|(name, (v, value))| (name.clone(), *v, value.clone())).collect();
        let removed = self.removed.iter().filter(|(_, v)| from.is_some() && **v > after);
        let removed = removed.map(|(name, v)| (name.clone(), *v)).collect();
        let gaps = self.gaps.iter().filter(|(_, end)| *end > after).copied().collect();
        Delta { from, to: self.version, changed, removed, gaps }
    }

    /// Applies another VM's delta; returns the changes that took effect.
    pub fn apply(&mut self, delta: Delta<T>) -> Applied<T> {
        let mut applied = Applied::default();
        // A VM that was cut off for long may hold values that have been removed since. Up to the version that
        // was read from the store itself, the store takes precedence over any peer.
        let known = self.store_version;
        if delta.to <= self.version.max(known) {
            return applied;
        }
        let before = self.version;
        for (version, name) in self.implied_removals(&delta) {
            if self.remove(version, &name) {
                applied.removed.push(name);
            }
        }
        if delta.from.is_none() {
            self.history_start = self.history_start.max(delta.to);
        }
        for (name, version) in delta.removed {
            if self.remove(version, &name) {
                applied.removed.push(name);
            }
        }
        for (name, version, value) in delta.changed {
            if version > known && self.put(version, name, value.clone()) {
                applied.changed.push(value);
            }
        }
        for (start, end) in delta.gaps {
            self.add_gap(start, end);
        }
        // A value may be newer than the sender's version if the sender skipped changes. If this VM adopted the version
        // of such a value, it would never ask for the changes before it.
        self.version = before.max(delta.to);
        applied
    }

    /// Names held here that `delta` would contain if they still existed, each with the version by which it was
    /// removed.
    fn implied_removals(&self, delta: &Delta<T>) -> Vec<(u64, Rc<str>)> {
        let removed_by = |version: u64| match delta.from {
            None => Some(delta.to),
            // A VM may hold values that are newer than its version, so also some from within a gap.
            Some(_) => {
                let gap =
                    delta.gaps.iter().find(|(start, end)| *start < version && version <= *end);
                gap.map(|(_, end)| *end)
            }
        };
        let present: BTreeSet<&Rc<str>> = delta.changed.iter().map(|(name, ..)| name).collect();
        let absent = self.values.iter().filter(|(name, _)| !present.contains(name));
        absent
            .filter_map(|(name, (version, _))| Some((removed_by(*version)?, name.clone())))
            .collect()
    }
}
