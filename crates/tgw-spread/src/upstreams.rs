use crate::{Delta, VersionedMap, agreement::Digest, versioned_map::Applied};
use serde::{Deserialize, Serialize};
use std::{collections::HashSet, rc::Rc};
use tgw_clock::Millis;
use tgw_forward::{
    Catalog, Fleet,
    catalog::{Change, Retention},
    upstream::Entry,
};

/// The list of upstreams as this VM has it, from the store and from other VMs, and the fleet that follows it.
///
/// The list is the store's, even where an upstream is retained although its entry is missing. If a VM withheld changes
/// or reported an older version for that reason, other VMs would not learn of changes in the meantime.
#[derive(Debug, Default)]
pub struct Upstreams {
    entries: VersionedMap<Entry>,
    catalog: Catalog,
    /// The last entries of retained upstreams.
    retained: Vec<Entry>,
    /// Another VM held a different list of the same version.
    disputed: bool,
}

/// A retained upstream: its entry is missing, and may have expired while the store was down.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Retained {
    /// Its last entry.
    pub entry: Entry,
    /// How much longer it is retained, in whole ms.
    pub left: u64,
}

/// An update of the list from another VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The changes.
    pub delta: Delta<Entry>,
    /// The removed upstreams that the sender retains.
    #[serde(rename = "lapsed")]
    pub retained: Vec<Retained>,
}

impl Upstreams {
    /// Creates an empty list. Upstreams write their entries once per `heartbeat`, if that is known.
    pub fn new(heartbeat: Option<Millis>) -> Self {
        Self { catalog: Catalog::new(heartbeat), ..Self::default() }
    }

    /// The version of the list.
    pub fn version(&self) -> u64 {
        self.entries.version()
    }

    /// The digest of the list.
    pub fn digest(&self) -> Digest {
        self.entries.digest()
    }

    /// Records that another VM holds a different list of the same version. VMs that ask this one receive the whole next
    /// list that it reads, as they may have missed what this VM or the other did.
    pub fn mark_disputed(&mut self) {
        self.disputed = true;
    }

    /// The entry of an identity.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// The changes after `version`; `None` if this VM has nothing newer.
    pub fn update_since(&self, now: Millis, version: u64) -> Option<Update> {
        if version >= self.version() {
            return None;
        }
        let delta = self.entries.since(version);
        let covered = |id: &Rc<str>| {
            delta.from.is_none() || delta.removed.iter().any(|(removed, _)| removed == id)
        };
        let retained =
            self.retained.iter().filter(|entry| covered(&entry.id)).filter_map(|entry| {
                let left = (self.catalog.retention(&entry.id)?.until - now).as_whole_ms();
                (left > 0).then(|| Retained { entry: entry.clone(), left })
            });
        let retained = retained.collect();
        Some(Update { delta, retained })
    }

    /// Since when and until when an upstream is retained although its entry is missing, if it is.
    pub fn retention(&self, id: &str) -> Option<Retention> {
        self.catalog.retention(id)
    }

    /// Takes the changes since the last call of upstreams whose entries are or were missing.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.catalog.take_changes()
    }

    /// Records that the store did not answer this VM, or those that this VM takes over from.
    pub fn record_store_failure(&mut self, now: Millis) {
        self.catalog.record_store_failure(now);
    }

    /// Records that the store answered this VM, whether or not anything changed.
    pub fn record_store_answer(&mut self, now: Millis) {
        self.catalog.record_store_answer(now);
    }

    /// Excludes a pause of this VM, for `gap`, from the time without answers of the store.
    pub fn exclude_pause(&mut self, gap: Millis) {
        self.catalog.exclude_pause(gap);
    }

    /// Records that the store answered a probe of this VM.
    pub fn record_probe_answer(&mut self, now: Millis) {
        self.catalog.record_store_alive(now);
    }

    /// Applies a list of the store as of `version`: its entries, each with its own version, and the identities of
    /// unreadable ones.
    pub fn apply_list(
        &mut self,
        now: Millis,
        version: u64,
        entries: Vec<(u64, Entry)>,
        unreadable: &[Rc<str>],
        fleet: &mut Fleet,
    ) {
        let values = entries.into_iter().map(|(v, e)| (e.id.clone(), v, self.latest(e))).collect();
        self.entries.replace(version, values);
        if std::mem::take(&mut self.disputed) {
            self.entries.start_history_at(version);
        }
        let entries = self.entries.values().map(|(_, entry)| entry.clone()).collect();
        self.catalog.apply_list(now, entries, unreadable, fleet);
        self.refresh_retained(fleet);
    }

    /// Applies a copy of the store. The list does not change, as the copy may be out of date.
    pub fn apply_copy(&mut self, now: Millis, entries: Vec<Entry>, fleet: &mut Fleet) {
        for entry in entries {
            self.catalog.apply_write(now, entry, fleet);
        }
    }

    /// Applies an entry from the store that was written at `version`.
    pub fn apply_write(&mut self, now: Millis, version: u64, entry: Entry, fleet: &mut Fleet) {
        let entry = self.latest(entry);
        // A peer's update may be newer than this late report of the store. The fleet changes only if the list does, or
        // an upstream that has left would come back.
        if self.entries.put(version, entry.id.clone(), entry.clone()) {
            self.catalog.apply_write(now, entry, fleet);
        }
    }

    /// Applies a removal at `revision`, as the store reports it.
    pub fn apply_removal(&mut self, revision: u64, id: &Rc<str>, fleet: &mut Fleet) {
        if self.entries.remove(revision, id) {
            self.catalog.apply_removal(id, fleet);
        }
    }

    /// Applies the store's report that an entry has become unreadable at `revision`.
    pub fn apply_unreadable(&mut self, revision: u64, id: &Rc<str>, fleet: &mut Fleet) {
        if self.entries.written_version(id) <= revision {
            self.entries.remove(revision, id);
            self.catalog.apply_unreadable(id, fleet);
        }
    }

    /// Applies another VM's update; returns the changes that took effect. If a copy of the store was used until now
    /// (`copied`), an update that holds all values replaces it.
    pub fn apply_update(
        &mut self,
        now: Millis,
        Update { mut delta, retained }: Update,
        copied: bool,
        fleet: &mut Fleet,
    ) -> Applied<Entry> {
        let starts = self.version() == 0;
        if delta.to > self.version() {
            self.catalog.record_store_alive(now);
        }
        for (_, _, entry) in &mut delta.changed {
            *entry = self.latest(entry.clone());
        }
        let whole = delta.from.is_none();
        let applied = self.entries.apply(delta);
        for id in &applied.removed {
            let retained = retained.iter().find(|r| r.entry.id == *id);
            match retained.map(|r| Millis::new(r.left)) {
                Some(left) => self.catalog.retain_lapsed(now, id, left, fleet),
                None => self.catalog.apply_removal(id, fleet),
            }
        }
        for entry in &applied.changed {
            self.catalog.apply_write(now, entry.clone(), fleet);
        }
        if whole && copied {
            self.drop_unlisted(fleet);
        }
        if starts {
            self.adopt_retained(now, &retained, fleet);
        }
        self.refresh_retained(fleet);
        applied
    }

    /// Adopts the sender's retained upstreams on a VM that starts, which would otherwise have too few. A VM that does
    /// not start received their removal and has handled it already.
    fn adopt_retained(&mut self, now: Millis, retained: &[Retained], fleet: &mut Fleet) {
        for Retained { entry, left } in retained {
            let unknown = fleet.key(&entry.id).is_none() && self.entries.get(&entry.id).is_none();
            if unknown && !entry.draining {
                fleet.put(now, entry.clone());
                self.catalog.retain_lapsed(now, &entry.id, Millis::new(*left), fleet);
            }
        }
    }

    /// Drops the retained upstreams whose entries did not come back in time; returns whether there were any.
    pub fn drop_expired(&mut self, now: Millis, fleet: &mut Fleet) -> bool {
        let dropped = !self.catalog.tick(now, fleet).is_empty();
        if dropped {
            self.refresh_retained(fleet);
        }
        dropped
    }

    /// Drops upstreams that only a copy of the store contained: they may have left since.
    fn drop_unlisted(&mut self, fleet: &mut Fleet) {
        let unlisted = fleet.ids().filter(|id| self.entries.get(id).is_none());
        let unlisted: Vec<Rc<str>> = unlisted.cloned().collect();
        unlisted.iter().for_each(|id| self.catalog.apply_removal(id, fleet));
    }

    /// Copies the last entries of the upstreams that the catalog now retains from the fleet. Updates for other VMs take
    /// them from there, as the store's list no longer contains them.
    fn refresh_retained(&mut self, fleet: &Fleet) {
        let retained: HashSet<&Rc<str>> = self.catalog.retentions().map(|(id, _)| id).collect();
        let entry = |id: &&Rc<str>| Some(fleet.get(fleet.key(id)?)?.entry.clone());
        self.retained = retained.iter().filter_map(entry).collect();
    }

    /// The entry, or the known one if that is of a later process with the same identity. A write of an earlier process
    /// can reach the store, or this VM through a peer, after the first write of the later one.
    fn latest(&self, entry: Entry) -> Entry {
        let known = self.entries.get(&entry.id);
        known.filter(|known| entry.precedes(known)).cloned().unwrap_or(entry)
    }
}
