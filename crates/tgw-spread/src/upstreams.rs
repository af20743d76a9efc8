use crate::{Delta, Ledger, ledger::Applied};
use serde::{Deserialize, Serialize};
use std::{collections::HashSet, rc::Rc};
use tgw_clock::Millis;
use tgw_forward::{
    Catalog, Fleet,
    catalog::{Change, Doubt},
    upstream::Entry,
};

/// The list of upstreams as this VM has it, from the store and from other VMs, and the fleet that follows it.
///
/// The list is what the store says, also where an upstream is kept though its entry is missing: a VM that held back
/// what it knows, or claimed to know less, would keep others from learning what changed meanwhile.
#[derive(Debug, Default)]
pub struct Upstreams {
    ledger: Ledger<Entry>,
    catalog: Catalog,
    /// The entries of upstreams that are kept, as they were.
    lapsed: Vec<Entry>,
}

/// An upstream whose entry is missing and may have lapsed while the store was away.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lapsed {
    /// Its entry as it was.
    pub entry: Entry,
    /// How much longer it is kept, in whole ms.
    pub left: u64,
}

/// What another VM tells of upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// What changed.
    pub delta: Delta<Entry>,
    /// Those of the removed upstreams that are kept for a while.
    pub lapsed: Vec<Lapsed>,
}

impl Upstreams {
    /// Nothing is known yet; upstreams write their entries each `heartbeat`, if that is known.
    pub fn new(heartbeat: Option<Millis>) -> Self {
        Self { catalog: Catalog::new(heartbeat), ..Self::default() }
    }

    /// The version of the list.
    pub fn version(&self) -> u64 {
        self.ledger.version()
    }

    /// The entry of an identity.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.ledger.get(id)
    }

    /// What changed after `version`; `None` if this VM is no further.
    pub fn since(&self, now: Millis, version: u64) -> Option<News> {
        if version >= self.version() {
            return None;
        }
        let delta = self.ledger.since(version);
        let told = |id: &Rc<str>| {
            delta.from.is_none() || delta.removed.iter().any(|(removed, _)| removed == id)
        };
        let lapsed = self.lapsed.iter().filter(|entry| told(&entry.id)).filter_map(|entry| {
            let left = (self.catalog.doubted(&entry.id)?.until - now).whole();
            (left > 0).then(|| Lapsed { entry: entry.clone(), left })
        });
        let lapsed = lapsed.collect();
        Some(News { delta, lapsed })
    }

    /// Whether an upstream is kept though its entry is missing.
    pub fn doubted(&self, id: &str) -> Option<Doubt> {
        self.catalog.doubted(id)
    }

    /// Takes what became of upstreams whose entries are missing since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.catalog.take_changes()
    }

    /// The store has not answered this VM, or those that this VM takes over from.
    pub fn lost(&mut self, now: Millis) {
        self.catalog.lost(now);
    }

    /// The store has answered this VM, whether or not anything changed.
    pub fn answered(&mut self, now: Millis) {
        self.catalog.answered(now);
    }

    /// This VM stood still for so long.
    pub fn paused(&mut self, gap: Millis) {
        self.catalog.paused(gap);
    }

    /// The store has answered a probe of this VM.
    pub fn probed(&mut self, now: Millis) {
        self.catalog.heard(now);
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
        let values = entries.into_iter().map(|(v, e)| (e.id.clone(), v, self.latest(e))).collect();
        self.ledger.replace(version, values);
        let entries = self.ledger.values().map(|(_, entry)| entry.clone()).collect();
        self.catalog.listed(now, entries, unreadable, fleet);
        self.keep(fleet);
    }

    /// A copy of the store was read, which may be out of date: nothing is claimed of it.
    pub fn copied(&mut self, now: Millis, entries: Vec<Entry>, fleet: &mut Fleet) {
        for entry in entries {
            self.catalog.changed(now, entry, fleet);
        }
    }

    /// The store tells that an entry was written at `version`.
    pub fn written(&mut self, now: Millis, version: u64, entry: Entry, fleet: &mut Fleet) {
        let entry = self.latest(entry);
        // Word of a peer may be newer than what the store told this VM late: the fleet follows the ledger alone, or an
        // upstream that has left would be back.
        if self.ledger.put(version, entry.id.clone(), entry.clone()) {
            self.catalog.changed(now, entry, fleet);
        }
    }

    /// The store tells, as of `version`, that an entry was removed at `revision`.
    pub fn removed(&mut self, version: u64, revision: u64, id: &Rc<str>, fleet: &mut Fleet) {
        // The entry may have been written again since, before `version`.
        let newer = revision > self.ledger.written(id);
        if self.ledger.remove(if newer { revision } else { version }, id) {
            self.catalog.removed(id, fleet);
        }
    }

    /// The store tells that an entry cannot be read any more, as of `version`.
    pub fn unreadable(&mut self, version: u64, id: &Rc<str>, fleet: &mut Fleet) {
        self.ledger.remove(version, id);
        self.catalog.unreadable(id, fleet);
    }

    /// Another VM tells what changed; what took effect. Where a copy of the store was used until now, only what is
    /// told now stays.
    pub fn told(
        &mut self,
        now: Millis,
        News { mut delta, lapsed }: News,
        copied: bool,
        fleet: &mut Fleet,
    ) -> Applied<Entry> {
        let starts = self.version() == 0;
        if delta.to > self.version() {
            self.catalog.heard(now);
        }
        for (_, _, entry) in &mut delta.changed {
            *entry = self.latest(entry.clone());
        }
        let whole = delta.from.is_none();
        let applied = self.ledger.apply(delta);
        for id in &applied.removed {
            let kept = lapsed.iter().find(|l| l.entry.id == *id);
            match kept.map(|l| Millis::new(l.left)) {
                Some(left) => self.catalog.lapsed(now, id, left, fleet),
                None => self.catalog.removed(id, fleet),
            }
        }
        for entry in &applied.changed {
            self.catalog.changed(now, entry.clone(), fleet);
        }
        if whole && copied {
            self.drop_untold(fleet);
        }
        if starts {
            self.take_lapsed(now, &lapsed, fleet);
        }
        self.keep(fleet);
        applied
    }

    /// A VM that starts has none of the upstreams that are kept, and would find too few. One that does not start has
    /// heard of their removal, and did what was due.
    fn take_lapsed(&mut self, now: Millis, lapsed: &[Lapsed], fleet: &mut Fleet) {
        for Lapsed { entry, left } in lapsed {
            let unknown = fleet.key(&entry.id).is_none() && self.ledger.get(&entry.id).is_none();
            if unknown && !entry.draining {
                fleet.put(now, entry.clone());
                self.catalog.lapsed(now, &entry.id, Millis::new(*left), fleet);
            }
        }
    }

    /// Gives up the upstreams whose entries stayed missing; whether there were any.
    pub fn tick(&mut self, now: Millis, fleet: &mut Fleet) -> bool {
        let gone = !self.catalog.tick(now, fleet).is_empty();
        if gone {
            self.keep(fleet);
        }
        gone
    }

    /// Drops what a copy of the store named and nobody told: it may have left since.
    fn drop_untold(&mut self, fleet: &mut Fleet) {
        let untold = fleet.ids().filter(|id| self.ledger.get(id).is_none());
        let untold: Vec<Rc<str>> = untold.cloned().collect();
        untold.iter().for_each(|id| self.catalog.removed(id, fleet));
    }

    /// Keeps the entries of upstreams that are in doubt, for VMs that ask.
    fn keep(&mut self, fleet: &Fleet) {
        let doubted: HashSet<&Rc<str>> = self.catalog.doubts().map(|(id, _)| id).collect();
        let entry = |id: &&Rc<str>| Some(fleet.get(fleet.key(id)?)?.entry.clone());
        self.lapsed = doubted.iter().filter_map(entry).collect();
    }

    /// The entry, or the one that is known of a later process with its identity. What an earlier process wrote can
    /// reach the store, or this VM through a peer, after the first word of the later one.
    fn latest(&self, entry: Entry) -> Entry {
        let known = self.ledger.get(&entry.id);
        known.filter(|known| entry.precedes(known)).cloned().unwrap_or(entry)
    }
}
