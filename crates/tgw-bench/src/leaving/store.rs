use std::{collections::BTreeMap, rc::Rc};
use tgw_forward::upstream::Entry;

/// A change: its revision, the identity, and the entry unless it was removed.
pub(crate) type Change = (u64, Rc<str>, Option<Entry>);

/// Contents of the platform's store.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) revision: u64,
    pub(crate) entries: BTreeMap<Rc<str>, (u64, Entry)>,
    history: Vec<Change>,
}

impl Store {
    pub(crate) fn write(&mut self, entry: Entry) {
        self.revision += 1;
        self.history.push((self.revision, entry.id.clone(), Some(entry.clone())));
        self.entries.insert(entry.id.clone(), (self.revision, entry));
    }

    pub(crate) fn remove(&mut self, id: &Rc<str>) {
        if self.entries.remove(id).is_some() {
            self.revision += 1;
            self.history.push((self.revision, id.clone(), None));
        }
    }

    pub(crate) fn list(&self) -> Vec<(u64, Entry)> {
        self.entries.values().cloned().collect()
    }

    pub(crate) fn since(&self, revision: u64) -> Vec<Change> {
        self.history.iter().filter(|(r, ..)| *r > revision).cloned().collect()
    }
}
