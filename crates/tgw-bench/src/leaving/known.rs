use super::{
    setup::Subject,
    store::{Change, Store},
    world::{LEAVING, name},
};
use std::{collections::BTreeSet, rc::Rc};
use tgw_clock::Millis;
use tgw_forward::{Fleet, upstream::Entry};
use tgw_spread::{
    Delta, Evacuations, Upstreams, evacuations,
    store_reads::{ReadMode, WatchTiming},
    upstreams,
};

/// What one VM knows of what is played.
pub(crate) enum Known {
    /// Which upstreams there are.
    Upstreams(Box<(Upstreams, Fleet)>),
    /// Which failure domains are evacuated; an entry of the store stands for each.
    Evacuations(Evacuations),
}

/// What another VM tells of it.
#[derive(Debug)]
pub(crate) enum Update {
    Upstreams(upstreams::Update),
    Evacuations(evacuations::Update),
}

fn domains(entries: Vec<(u64, Entry)>) -> BTreeSet<Rc<str>> {
    entries.into_iter().map(|(_, entry)| entry.id).collect()
}

impl Known {
    /// What the store holds at the beginning.
    pub(crate) fn new(subject: Subject, store: &Store) -> Self {
        match subject {
            Subject::Upstreams => {
                let (mut upstreams, mut fleet) = (Upstreams::default(), Fleet::default());
                let changed = store.list().into_iter().map(|(v, e)| (e.id.clone(), v, e)).collect();
                let to = store.revision;
                let delta = Delta { from: None, to, changed, removed: vec![], gaps: vec![] };
                let known = upstreams::Update { delta, retained: vec![] };
                upstreams.apply_update(Millis::ZERO, known, false, &mut fleet);
                Self::Upstreams(Box::new((upstreams, fleet)))
            }
            Subject::Evacuations => {
                let mut known = Evacuations::default();
                known.apply_list(store.revision, domains(store.list()));
                Self::Evacuations(known)
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
            Self::Upstreams(known) => known.0.version(),
            Self::Evacuations(known) => known.version(),
        }
    }

    pub(crate) fn apply_list(&mut self, now: Millis, version: u64, entries: Vec<(u64, Entry)>) {
        match self {
            Self::Upstreams(known) => known.0.apply_list(now, version, entries, &[], &mut known.1),
            Self::Evacuations(known) => {
                known.apply_list(version, domains(entries));
            }
        }
    }

    pub(crate) fn apply_change(&mut self, now: Millis, version: u64, change: Change) {
        let (revision, id, entry) = change;
        match self {
            Self::Upstreams(known) => match entry {
                Some(entry) => known.0.apply_write(now, revision, entry, &mut known.1),
                None => known.0.apply_removal(version, revision, &id, &mut known.1),
            },
            Self::Evacuations(known) => {
                known.apply_change(version, &id, entry.is_some());
            }
        }
    }

    /// Tells the list of upstreams of the store's silence; a list of evacuations has nothing to make of that.
    pub(crate) fn note(&mut self, what: impl FnOnce(&mut Upstreams)) {
        if let Self::Upstreams(known) = self {
            what(&mut known.0);
        }
    }

    pub(crate) fn tick(&mut self, now: Millis) {
        if let Self::Upstreams(known) = self {
            known.0.drop_expired(now, &mut known.1);
        }
    }

    pub(crate) fn update_since(&self, now: Millis, version: u64) -> Option<Update> {
        match self {
            Self::Upstreams(known) => known.0.update_since(now, version).map(Update::Upstreams),
            Self::Evacuations(known) => known.update_since(version).map(Update::Evacuations),
        }
    }

    pub(crate) fn apply_update(&mut self, now: Millis, update: Update) {
        match (self, update) {
            (Self::Upstreams(known), Update::Upstreams(update)) => {
                known.0.apply_update(now, update, false, &mut known.1);
            }
            (Self::Evacuations(known), Update::Evacuations(update)) => {
                known.apply_update(update);
            }
            _ => {}
        }
    }

    /// Whether it knows of a change by number.
    pub(crate) fn knows(&self, number: usize) -> bool {
        match self {
            Self::Upstreams(_) => !self.uses(number),
            // Each other one is taken back.
            Self::Evacuations(known) => {
                known.domains().contains(&*name(number)) == number.is_multiple_of(2)
            }
        }
    }

    /// Whether it may send to an upstream, by number.
    pub(crate) fn uses(&self, number: usize) -> bool {
        match self {
            Self::Upstreams(known) => {
                let fleet = &known.1;
                let upstream = fleet.key(&name(number)).and_then(|key| fleet.get(key));
                upstream.is_some_and(|u| !u.entry.draining)
            }
            Self::Evacuations(_) => number >= LEAVING,
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
