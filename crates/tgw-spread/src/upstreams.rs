use crate::{Delta, Ledger, ledger::Applied};
use std::{collections::BTreeSet, rc::Rc};
use tgw_clock::Millis;
use tgw_forward::{
    Catalog, Fleet,
    catalog::{Change, Doubt},
    upstream::Entry,
};

/// The list of upstreams as this VM has it, from the store and from other VMs, and the fleet that is kept by it.
#[derive(Debug, Default)]
pub struct Upstreams {
    ledger: Ledger<Entry>,
    catalog: Catalog,
}

impl Upstreams {
    /// The version that this VM may claim to be at.
    pub fn version(&self) -> u64 {
        self.ledger.version()
    }

    /// The entry of an identity.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.ledger.get(id)
    }

    /// What changed after `version`; `None` if this VM is no further.
    pub fn since(&self, version: u64) -> Option<Delta<Entry>> {
        (version < self.version()).then(|| self.ledger.since(version))
    }

    /// Whether an upstream is kept though its entry is missing.
    pub fn doubted(&self, id: &str) -> Option<Doubt> {
        self.catalog.doubted(id)
    }

    /// Takes what became of upstreams whose entries are missing since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.catalog.take_changes()
    }

    /// The store does not answer.
    pub fn lost(&mut self) {
        self.catalog.lost();
    }

    /// The store was read as of `version`: its entries, each with its own version, and the identities of those that
    /// nobody can read.
    pub fn listed(
        &mut self,
        now: Millis,
        version: u64,
        entries: Vec<(u64, Entry)>,
        unreadable: &[Rc<str>],
        fleet: &mut Fleet,
    ) {
        let list = entries.iter().map(|(_, entry)| entry.clone()).collect();
        self.catalog.listed(now, list, unreadable, fleet);
        let kept: BTreeSet<Rc<str>> = fleet.ids().cloned().collect();
        self.ledger.hold(self.catalog.doubts());
        let values = entries.into_iter().map(|(v, e)| (e.id.clone(), v, self.latest(e))).collect();
        self.ledger.replace(version, values, &kept);
    }

    /// A copy of the store was read, which may be out of date: nothing is claimed of it.
    pub fn copied(&mut self, now: Millis, entries: Vec<Entry>, fleet: &mut Fleet) {
        self.catalog.listed(now, entries, &[], fleet);
    }

    /// The store tells that an entry was written at `version`.
    pub fn written(&mut self, now: Millis, version: u64, entry: Entry, fleet: &mut Fleet) {
        let latest = self.latest(entry.clone());
        self.ledger.put(version, latest.id.clone(), latest);
        self.catalog.changed(now, entry, fleet);
    }

    /// The store tells that an entry was removed by `version`.
    pub fn removed(&mut self, now: Millis, version: u64, id: &Rc<str>, fleet: &mut Fleet) {
        self.catalog.removed(now, id, fleet);
        self.ledger.hold(self.catalog.doubts());
        if !fleet.ids().any(|known| known == id) {
            self.ledger.remove(version, id);
        }
    }

    /// The store tells that an entry cannot be read any more, as of `version`.
    pub fn unreadable(&mut self, version: u64, id: &Rc<str>, fleet: &mut Fleet) {
        self.catalog.unreadable(id, fleet);
        self.ledger.hold(self.catalog.doubts());
        self.ledger.remove(version, id);
    }

    /// Another VM tells what changed; what took effect. Where a copy of the store was used until now, only what is
    /// told now stays.
    pub fn told(
        &mut self,
        now: Millis,
        mut delta: Delta<Entry>,
        copied: bool,
        fleet: &mut Fleet,
    ) -> Applied<Entry> {
        for (_, _, entry) in &mut delta.changed {
            *entry = self.latest(entry.clone());
        }
        let whole = delta.from.is_none();
        let applied = self.ledger.apply(delta);
        if whole && copied {
            self.catalog.listed(now, applied.changed.clone(), &[], fleet);
        }
        for id in &applied.removed {
            self.catalog.removed(now, id, fleet);
        }
        for entry in &applied.changed {
            self.catalog.changed(now, entry.clone(), fleet);
        }
        applied
    }

    /// Gives up the entries that stayed missing, and names them.
    pub fn tick(&mut self, now: Millis, fleet: &mut Fleet) -> Vec<Rc<str>> {
        let gone = self.catalog.tick(now, fleet);
        self.ledger.hold(self.catalog.doubts());
        let version = self.ledger.complete();
        for id in &gone {
            self.ledger.remove(version, id);
        }
        gone
    }

    /// The entry, or the one that is known of a later process with its identity. What an earlier process wrote can
    /// reach the store, or this VM through a peer, after the first word of the later one.
    fn latest(&self, entry: Entry) -> Entry {
        let known = self.ledger.get(&entry.id);
        known.filter(|known| entry.precedes(known)).cloned().unwrap_or(entry)
    }
}
