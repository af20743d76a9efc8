use crate::{Fleet, upstream::Entry};
use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
};
use tgw_clock::Millis;

/// Time in ms after the store's return for which entries that are missing are kept: upstreams that
/// live write theirs again within about two seconds.
const GRACE_MS: u64 = 2_000;

/// Keeps a [`Fleet`] as the store tells it, through times when the store is away.
#[derive(Debug, Default)]
pub struct Catalog {
    away: bool,
    doubt_until: Millis,
    doubted: HashMap<Rc<str>, Millis>,
}

impl Catalog {
    /// The store does not answer.
    pub fn lost(&mut self) {
        self.away = true;
    }

    /// The whole list was read; `unreadable` names entries of it that nobody can use.
    pub fn listed(
        &mut self,
        now: Millis,
        entries: Vec<Entry>,
        unreadable: &[Rc<str>],
        fleet: &mut Fleet,
    ) {
        if std::mem::take(&mut self.away) {
            self.doubt_until = now + Millis::new(GRACE_MS);
        }
        let named: HashSet<Rc<str>> = entries.iter().map(|e| e.id.clone()).collect();
        let missing: Vec<Rc<str>> =
            fleet.ids().filter(|id| !named.contains(&**id)).cloned().collect();
        for id in unreadable {
            self.unreadable(id, fleet);
        }
        for id in missing {
            self.removed(now, &id, fleet);
        }
        for entry in entries {
            self.changed(now, entry, fleet);
        }
    }

    /// One entry was written.
    pub fn changed(&mut self, now: Millis, entry: Entry, fleet: &mut Fleet) {
        self.doubted.remove(&entry.id);
        fleet.put(now, entry);
    }

    /// One entry was removed.
    pub fn removed(&mut self, now: Millis, id: &Rc<str>, fleet: &mut Fleet) {
        // Heartbeats cannot reach a store that is away, so entries of upstreams that live lapse, and
        // all of a service would be gone at the store's return. They are kept until those that live
        // had time to write theirs again.
        if now < self.doubt_until && fleet.key(id).is_some() {
            self.doubted.entry(id.clone()).or_insert(self.doubt_until);
        } else {
            fleet.remove(id);
        }
    }

    /// One entry cannot be read any more. It did not lapse, so it is not waited for.
    pub fn unreadable(&mut self, id: &Rc<str>, fleet: &mut Fleet) {
        self.doubted.remove(id);
        fleet.remove(id);
    }

    /// Whether entries are kept that the store no longer holds.
    pub fn doubts(&self) -> bool {
        !self.doubted.is_empty()
    }

    /// Gives up the entries that stayed missing, and names them.
    pub fn tick(&mut self, now: Millis, fleet: &mut Fleet) -> Vec<Rc<str>> {
        let over = self.doubted.iter().filter(|(_, until)| now >= **until);
        let gone: Vec<Rc<str>> = over.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.doubted.remove(id);
            fleet.remove(id);
        }
        gone
    }
}
