use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

/// Removals that are remembered; a VM that is further behind gets everything.
const REMOVALS: usize = 4_096;

/// Gaps that are told apart; the two oldest become one beyond that.
const GAPS: usize = 8;

/// Values by name, each with the version of its last change.
///
/// Versions come from the platform's store and rise with each change. Two VMs that are at one
/// version hold the same values.
#[derive(Clone, Debug)]
pub struct Ledger<T> {
    version: u64,
    /// Up to this version the store itself told everything.
    complete: u64,
    /// Removals up to this version may be forgotten.
    floor: u64,
    /// Removals between these versions may be unknown: the store was read anew, not followed.
    gaps: Vec<(u64, u64)>,
    values: BTreeMap<Rc<str>, (u64, T)>,
    removed: BTreeMap<Rc<str>, u64>,
}

/// What changed after a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<T> {
    /// The version that it starts from; `None` for everything.
    pub from: Option<u64>,
    /// The version that it leads to.
    pub to: u64,
    /// Values that were written, with their versions.
    pub changed: Vec<(Rc<str>, u64, T)>,
    /// Names that were removed, with the version of the removal.
    pub removed: Vec<(Rc<str>, u64)>,
    /// Removals between these versions may be unknown to who tells it.
    pub gaps: Vec<(u64, u64)>,
}

/// What took effect of a delta.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied<T> {
    /// Values as they are now.
    pub changed: Vec<T>,
    /// Names that are gone.
    pub removed: Vec<Rc<str>>,
}

impl<T> Default for Applied<T> {
    fn default() -> Self {
        Self { changed: Vec::new(), removed: Vec::new() }
    }
}

impl<T> Default for Ledger<T> {
    fn default() -> Self {
        let (values, removed) = (BTreeMap::new(), BTreeMap::new());
        Self { version: 0, complete: 0, floor: 0, gaps: Vec::new(), values, removed }
    }
}

impl<T: Clone + PartialEq> Ledger<T> {
    /// The version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All values.
    pub fn values(&self) -> impl Iterator<Item = (&Rc<str>, &T)> {
        self.values.iter().map(|(name, (_, value))| (name, value))
    }

    /// The value of a name.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.values.get(name).map(|(_, value)| value)
    }

    /// Up to this version the store itself told everything.
    pub fn complete(&self) -> u64 {
        self.complete
    }

    /// The version at which the value of a name was written; zero if there is none.
    pub fn written(&self, name: &str) -> u64 {
        self.values.get(name).map_or(0, |(version, _)| *version)
    }

    /// Takes over everything that the store holds as of `complete`, each value with its version.
    pub fn replace(&mut self, complete: u64, values: Vec<(Rc<str>, u64, T)>) {
        let names: BTreeSet<Rc<str>> = values.iter().map(|v| v.0.clone()).collect();
        let missing = self.values.keys().filter(|n| !names.contains(*n));
        let gone: Vec<Rc<str>> = missing.cloned().collect();
        if self.version == 0 {
            self.begin(complete);
        } else {
            self.skip(self.version, complete);
        }
        for name in gone {
            self.remove(complete, &name);
        }
        for (name, version, value) in values {
            self.put(version, name, value);
        }
        self.complete = self.complete.max(complete);
    }

    /// Says that what came and went between two versions is not known.
    pub(crate) fn skip(&mut self, from: u64, to: u64) {
        // A VM at a version between two readings of the store may hold such a name, and would keep it for
        // good if it were told only what changed since.
        if from < to && !self.gaps.contains(&(from, to)) {
            self.gaps.push((from, to));
        }
        if self.gaps.len() > GAPS {
            let (start, end) = self.gaps.remove(0);
            let (next_start, next_end) = self.gaps[0];
            self.gaps[0] = (start.min(next_start), end.max(next_end));
        }
    }

    /// Says that nothing is known of removals up to `version`.
    pub fn begin(&mut self, version: u64) {
        self.floor = self.floor.max(version);
    }

    /// Takes over a value that was written at `version`; false if something newer is known.
    pub fn put(&mut self, version: u64, name: Rc<str>, value: T) -> bool {
        let known = self.values.get(&name).map_or(0, |(v, _)| *v);
        let removed = self.removed.get(&name).copied().unwrap_or(0);
        if version <= known.max(removed) {
            return false;
        }
        self.removed.remove(&name);
        self.values.insert(name, (version, value));
        self.version = self.version.max(version);
        true
    }

    /// Takes over a removal at `version`; false if there is no such value or a newer one.
    pub fn remove(&mut self, version: u64, name: &Rc<str>) -> bool {
        let known = self.values.get(name).map_or(0, |(known, _)| *known);
        let told = self.removed.get(name).copied().unwrap_or(0);
        if version <= known.max(told) {
            return false;
        }
        // Also of a name that this VM never held: others that did may ask it.
        self.removed.insert(name.clone(), version);
        let held = self.values.remove(name).is_some();
        self.version = self.version.max(version);
        self.trim();
        held
    }

    fn trim(&mut self) {
        while self.removed.len() > REMOVALS {
            let oldest = self.removed.iter().min_by_key(|(_, v)| **v);
            let Some((name, version)) = oldest.map(|(n, v)| (n.clone(), *v)) else { return };
            self.removed.remove(&name);
            self.floor = self.floor.max(version);
        }
    }

    /// What changed after `version`.
    pub fn since(&self, version: u64) -> Delta<T> {
        let skipped = self.gaps.iter().any(|(start, end)| *start < version && version < *end);
        let followed = version > 0 && version >= self.floor && !skipped;
        let from = followed.then_some(version);
        let after = from.unwrap_or(0);
        let changed = self.values.iter().filter(|(_, (v, _))| *v > after);
        let changed = changed.map(|(name, (v, value))| (name.clone(), *v, value.clone())).collect();
        let removed = self.removed.iter().filter(|(_, v)| from.is_some() && **v > after);
        let removed = removed.map(|(name, v)| (name.clone(), *v)).collect();
        let gaps = self.gaps.iter().filter(|(_, end)| *end > after).copied().collect();
        Delta { from, to: self.version, changed, removed, gaps }
    }

    /// Takes over what another VM tells; what took effect.
    pub fn apply(&mut self, delta: Delta<T>) -> Applied<T> {
        let mut applied = Applied::default();
        // A VM that was cut off for long may hold what has been removed since. What the store has
        // told up to a version counts more than any peer's word about that time.
        let known = self.complete;
        if delta.to <= self.version.max(known) {
            return applied;
        }
        let before = self.version;
        for (version, name) in self.untold(&delta) {
            if self.remove(version, &name) {
                applied.removed.push(name);
            }
        }
        if delta.from.is_none() {
            self.floor = self.floor.max(delta.to);
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
            self.skip(start, end);
        }
        // A value may be newer than the version that its teller is at, if that skipped some. Who took such a value's
        // version for its own would never ask for what came before it.
        self.version = before.max(delta.to);
        applied
    }

    /// Names held here that the teller of `delta` would have told if they still were, each with the
    /// version by which they are gone.
    fn untold(&self, delta: &Delta<T>) -> Vec<(u64, Rc<str>)> {
        let gone = |version: u64| match delta.from {
            None => Some(delta.to),
            // A VM may hold newer values than it claims, so also some from within a gap.
            Some(_) => {
                let gap =
                    delta.gaps.iter().find(|(start, end)| *start < version && version <= *end);
                gap.map(|(_, end)| *end)
            }
        };
        let told: BTreeSet<&Rc<str>> = delta.changed.iter().map(|(name, ..)| name).collect();
        let untold = self.values.iter().filter(|(name, _)| !told.contains(name));
        untold.filter_map(|(name, (version, _))| Some((gone(*version)?, name.clone()))).collect()
    }
}
