use crate::{Fleet, upstream::Entry};
use derive_more::Display;
use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
};
use tgw_clock::Millis;

/// Time in ms after the store's return for which entries that are missing are kept: upstreams that
/// live write theirs again within about two seconds.
const GRACE_MS: u64 = 2_000;

/// Changes that are kept for the log; of more at once the first ones.
const CHANGES: usize = 256;

/// An upstream that is kept though its entry is missing.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Doubt {
    /// Since when its entry is missing here.
    pub since: Millis,
    /// When it is given up.
    pub until: Millis,
}

/// What became of an upstream whose entry is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Its identity.
    pub id: Rc<str>,
    /// What.
    pub what: What,
    /// The doubt.
    pub doubt: Doubt,
}

/// What became of it.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub enum What {
    /// It is kept for a while: the entry may have lapsed while the store was away.
    #[display("doubted")]
    Doubted,
    /// Its entry came back.
    #[display("back")]
    Back,
    /// Its entry did not come back in time.
    #[display("given up")]
    GivenUp,
    /// Its entry cannot be read.
    #[display("unreadable")]
    Unreadable,
}

/// Keeps a [`Fleet`] as the store tells it, through times when the store is away.
#[derive(Debug, Default)]
pub struct Catalog {
    away: bool,
    doubt_until: Millis,
    doubted: HashMap<Rc<str>, Doubt>,
    changes: Vec<Change>,
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
        self.end(&entry.id, What::Back);
        fleet.put(now, entry);
    }

    /// One entry was removed.
    pub fn removed(&mut self, now: Millis, id: &Rc<str>, fleet: &mut Fleet) {
        // Heartbeats cannot reach a store that is away, so entries of upstreams that live lapse, and
        // all of a service would be gone at the store's return. They are kept until those that live
        // had time to write theirs again.
        if now < self.doubt_until && fleet.key(id).is_some() {
            self.doubt(id, Doubt { since: now, until: self.doubt_until });
        } else {
            fleet.remove(id);
        }
    }

    /// One entry cannot be read any more. It did not lapse, so it is not waited for.
    pub fn unreadable(&mut self, id: &Rc<str>, fleet: &mut Fleet) {
        self.end(id, What::Unreadable);
        fleet.remove(id);
    }

    fn doubt(&mut self, id: &Rc<str>, doubt: Doubt) {
        if !self.doubted.contains_key(id) {
            self.doubted.insert(id.clone(), doubt);
            self.change(id, What::Doubted, doubt);
        }
    }

    fn end(&mut self, id: &Rc<str>, what: What) {
        if let Some(doubt) = self.doubted.remove(id) {
            self.change(id, what, doubt);
        }
    }

    fn change(&mut self, id: &Rc<str>, what: What, doubt: Doubt) {
        if self.changes.len() < CHANGES {
            self.changes.push(Change { id: id.clone(), what, doubt });
        }
    }

    /// Whether an upstream is kept though its entry is missing.
    pub fn doubted(&self, id: &str) -> Option<Doubt> {
        self.doubted.get(id).copied()
    }

    /// Takes what became of upstreams whose entries are missing since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Whether entries are kept that the store no longer holds.
    pub fn doubts(&self) -> bool {
        !self.doubted.is_empty()
    }

    /// Gives up the entries that stayed missing, and names them.
    pub fn tick(&mut self, now: Millis, fleet: &mut Fleet) -> Vec<Rc<str>> {
        let over = self.doubted.iter().filter(|(_, doubt)| now >= doubt.until);
        let gone: Vec<Rc<str>> = over.map(|(id, _)| id.clone()).collect();
        for id in &gone {
            self.end(id, What::GivenUp);
            fleet.remove(id);
        }
        gone
    }
}
