use super::{
    setup::Subject,
    simulation::{LEAVING_COUNT, name},
    store::{Change, Store},
};
use std::{collections::BTreeSet, rc::Rc};
use tgw_clock::Millis;
use tgw_forward::{Fleet, upstream::Entry};
use tgw_spread::{
    Delta, Evacuations, Upstreams, agreement::Digest, evacuations, reachability::ReadMode,
    store_reads::WatchTiming, upstreams,
};

/// One VM's view of the upstreams or evacuations.
pub(crate) enum View {
    /// The list of upstreams, and the fleet that is built from it.
    Upstreams(Box<(Upstreams, Fleet)>),
    /// The evacuated failure domains; the store holds an entry for each.
    Evacuations(Evacuations),
}

/// Whether a name is that of an upstream that leaves.
pub(crate) fn is_leaving(id: &str) -> bool {
    (0..LEAVING_COUNT).any(|number| *name(number) == *id)
}

impl Update {
    /// Leaves out what it says of the upstreams that leave; its version stays.
    pub(crate) fn drop_leavings(&mut self) {
        if let Self::Upstreams(update) = self {
            // A whole list leaves nothing out that could be missed.
            if update.delta.from.is_some() {
                update.delta.changed.retain(|(id, ..)| !is_leaving(id));
                update.delta.removed.retain(|(id, _)| !is_leaving(id));
            }
        }
    }
}

/// An update from another VM.
#[derive(Debug)]
pub(crate) enum Update {
    Upstreams(upstreams::Update),
    Evacuations(evacuations::Update),
}

fn domains(entries: Vec<(u64, Entry)>) -> BTreeSet<Rc<str>> {
    entries.into_iter().map(|(_, entry)| entry.id).collect()
}

impl View {
    /// Starts with the store's initial contents.
    pub(crate) fn new(subject: Subject, store: &Store) -> Self {
        match subject {
            Subject::Upstreams => {
                let (mut upstreams, mut fleet) = (Upstreams::default(), Fleet::default());
                let changed = store.list().into_iter().map(|(v, e)| (e.id.clone(), v, e)).collect();
                let to = store.revision;
                let delta = Delta { from: None, to, changed, removed: vec![], gaps: vec![] };
                let update = upstreams::Update { delta, retained: vec![] };
                upstreams.apply_update(Millis::ZERO, update, false, &mut fleet);
                Self::Upstreams(Box::new((upstreams, fleet)))
            }
            Subject::Evacuations => {
                let mut view = Evacuations::default();
                view.apply_list(store.revision, domains(store.list()));
                Self::Evacuations(view)
            }
        }
    }

    pub(crate) fn read_mode(&self) -> ReadMode {
        match self {
            Self::Upstreams(_) => ReadMode::Upstreams,
            Self::Evacuations(_) => ReadMode::Evacuations,
        }
    }

    pub(crate) fn version(&self) -> u64 {
        match self {
            Self::Upstreams(view) => view.0.version(),
            Self::Evacuations(view) => view.version(),
        }
    }

    pub(crate) fn apply_list(&mut self, now: Millis, version: u64, entries: Vec<(u64, Entry)>) {
        match self {
            Self::Upstreams(view) => view.0.apply_list(now, version, entries, &[], &mut view.1),
            Self::Evacuations(view) => {
                view.apply_list(version, domains(entries));
            }
        }
    }

    pub(crate) fn apply_change(&mut self, now: Millis, version: u64, change: Change) {
        let (revision, id, entry) = change;
        match self {
            Self::Upstreams(view) => match entry {
                Some(entry) => view.0.apply_write(now, revision, entry, &mut view.1),
                None => view.0.apply_removal(revision, &id, &mut view.1),
            },
            Self::Evacuations(view) => {
                view.apply_change(version, &id, entry.is_some());
            }
        }
    }

    /// The digest of the list.
    pub(crate) fn digest(&self) -> Digest {
        match self {
            Self::Upstreams(view) => view.0.digest(),
            Self::Evacuations(view) => view.digest(),
        }
    }

    /// Reports the store's availability to the list of upstreams; a list of evacuations does not
    /// use it.
    pub(crate) fn with_upstreams(&mut self, kind: impl FnOnce(&mut Upstreams)) {
        if let Self::Upstreams(view) = self {
            kind(&mut view.0);
        }
    }

    pub(crate) fn tick(&mut self, now: Millis) {
        if let Self::Upstreams(view) = self {
            view.0.drop_expired(now, &mut view.1);
        }
    }

    pub(crate) fn update_since(&self, now: Millis, version: u64) -> Option<Update> {
        match self {
            Self::Upstreams(view) => view.0.update_since(now, version).map(Update::Upstreams),
            Self::Evacuations(view) => view.update_since(version).map(Update::Evacuations),
        }
    }

    pub(crate) fn apply_update(&mut self, now: Millis, update: Update) {
        match (self, update) {
            (Self::Upstreams(view), Update::Upstreams(update)) => {
                view.0.apply_update(now, update, false, &mut view.1);
            }
            (Self::Evacuations(view), Update::Evacuations(update)) => {
                view.apply_update(update);
            }
            _ => {}
        }
    }

    /// Whether the VM has learned of a change, by its number.
    pub(crate) fn has_learned(&self, number: usize) -> bool {
        match self {
            Self::Upstreams(_) => !self.may_send_to(number),
            // Odd numbers are taken back, even ones evacuated.
            Self::Evacuations(view) => {
                view.domains().contains(&*name(number)) == number.is_multiple_of(2)
            }
        }
    }

    /// Whether the VM may send to an upstream, by its number.
    pub(crate) fn may_send_to(&self, number: usize) -> bool {
        match self {
            Self::Upstreams(view) => {
                let fleet = &view.1;
                let upstream = fleet.key(&name(number)).and_then(|key| fleet.get(key));
                upstream.is_some_and(|u| !u.entry.draining)
            }
            Self::Evacuations(_) => number >= LEAVING_COUNT,
        }
    }
}

impl Subject {
    pub(crate) fn timing(self) -> WatchTiming {
        match self {
            Self::Upstreams => WatchTiming::FREQUENT,
            Self::Evacuations => WatchTiming::RARE,
        }
    }
}
