use crate::{Fleet, upstream::Entry};
use derive_more::Display;
use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
};
use tgw_clock::Millis;

/// Time in ms for which missing entries are kept once the store is back: live upstreams rewrite
/// theirs within about two seconds, and the update may reach this VM half a second later.
pub const MISSING_ENTRY_RETENTION_MS: Millis = Millis::new(2_500);
/// Heartbeat interval of upstreams in ms where the configuration gives none.
const DEFAULT_HEARTBEAT_INTERVAL_MS: Millis = Millis::new(1_000);
/// Heartbeat intervals that the store must have been down for before the entry of a live upstream
/// can have lapsed. An entry lapses after three intervals without a heartbeat; the last heartbeat
/// may be one interval old when the outage begins, and half an interval allows for late heartbeats.
const MIN_OUTAGE_HEARTBEATS: f64 = 1.5;
/// Upper bound on changes kept for the log until they are taken; later ones are dropped.
const MAX_LOGGED_CHANGES: usize = 256;

/// A period in which, as far as this VM knows, the store answered no VM.
#[derive(Copy, Clone, Debug)]
struct Outage {
    /// When it last answered any VM.
    since: Millis,
    /// When a call last failed.
    until: Millis,
}

impl Outage {
    fn duration(self) -> Millis {
        self.until - self.since
    }

    /// Whether live upstreams have had time to rewrite the entries that lapsed in the outage.
    fn is_past(self, now: Millis) -> bool {
        now - self.until > MISSING_ENTRY_RETENTION_MS
    }
}

/// The period for which an upstream is kept although its entry is missing.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Retention {
    /// When its entry was found missing.
    pub since: Millis,
    /// When the upstream is removed unless the entry is back.
    pub until: Millis,
}

/// A change in the state of an upstream whose entry is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The upstream's identity.
    pub id: Rc<str>,
    /// What happened to it.
    pub transition: Transition,
    /// The period for which the upstream is or was kept.
    pub retention: Retention,
}

/// What happened to an upstream whose entry is missing.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub enum Transition {
    /// It is kept for a while: the entry may have lapsed during an outage of the store. Logs call
    /// such an upstream "doubted".
    #[display("doubted")]
    Retained,
    /// Its entry was written again.
    #[display("back")]
    Back,
    /// Its entry was not written again in time.
    #[display("given up")]
    GivenUp,
    /// Its entry was removed meanwhile.
    #[display("removed")]
    Removed,
    /// Its entry cannot be parsed.
    #[display("unreadable")]
    Unreadable,
}

/// Keeps a [`Fleet`] in step with the store, also across outages of the store.
///
/// During an outage no heartbeat reaches the store, and the entries of live upstreams lapse: once
/// it is back, all entries of a service may be missing. Such upstreams are kept until they have had
/// time to write their entries again. Entries removed after the outage, or while only this VM could
/// not reach the store, are dropped at once.
#[derive(Debug)]
pub struct Catalog {
    min_outage: Millis,
    /// When the store last answered this VM, or another VM that reported it.
    last_answer: Millis,
    /// The longest outage since this VM last read the store, up to the last call that failed in it.
    outage: Option<Outage>,
    retained: HashMap<Rc<str>, Retention>,
    changes: Vec<Change>,
}

impl Default for Catalog {
    fn default() -> Self {
        Self::new(None)
    }
}

impl Catalog {
    /// Creates an empty catalog; `heartbeat` is the interval at which upstreams write their
    /// entries, if known.
    pub fn new(heartbeat: Option<Millis>) -> Self {
        Self {
            min_outage: heartbeat
                .unwrap_or(DEFAULT_HEARTBEAT_INTERVAL_MS)
                .mul_f64(MIN_OUTAGE_HEARTBEATS),
            last_answer: Millis::ZERO,
            outage: None,
            retained: HashMap::new(),
            changes: Vec::new(),
        }
    }

    /// Records that a call to the store failed, made by this VM or by one whose state it takes
    /// over.
    pub fn record_store_failure(&mut self, now: Millis) {
        let outage = Outage { since: self.last_answer, until: now };
        let longer = |known: Outage| outage.duration() >= known.duration() || known.is_past(now);
        if self.outage.is_none_or(longer) {
            self.outage = Some(outage);
        }
    }

    /// Records that the store answered this VM.
    pub fn record_store_answer(&mut self, now: Millis) {
        self.outage = None;
        self.last_answer = now;
    }

    /// Records that the store answered another call of this VM, or a call of another VM that
    /// reported it.
    pub fn record_store_alive(&mut self, now: Millis) {
        self.last_answer = now;
    }

    /// Excludes a pause of this VM from the outage, as the store was not the reason for the lack of
    /// answers.
    pub fn exclude_pause(&mut self, gap: Millis) {
        self.last_answer += gap;
        if let Some(outage) = &mut self.outage {
            outage.since += gap;
        }
    }

    /// Applies a complete listing of the store; `unreadable` names entries that could not be
    /// parsed.
    pub fn apply_list(
        &mut self,
        now: Millis,
        entries: Vec<Entry>,
        unreadable: &[Rc<str>],
        fleet: &mut Fleet,
    ) {
        let down = self.store_was_down(now);
        self.record_store_answer(now);
        for id in unreadable {
            self.apply_unreadable(id, fleet);
        }
        let listed_ids: HashSet<Rc<str>> = entries.iter().map(|e| e.id.clone()).collect();
        let missing: Vec<Rc<str>> =
            fleet.ids().filter(|id| !listed_ids.contains(&**id)).cloned().collect();
        for id in missing {
            if down && !is_draining(&id, fleet) {
                self.retain(now, &id, MISSING_ENTRY_RETENTION_MS);
            } else if !self.retained.contains_key(&id) {
                fleet.remove(&id);
            }
        }
        for entry in entries {
            self.apply_write(now, entry, fleet);
        }
    }

    /// Whether entries of live upstreams may have lapsed and not been rewritten yet: as far as this
    /// VM knows, the store answered no VM for long enough, until just now.
    fn store_was_down(&self, now: Millis) -> bool {
        // If the store refused this VM but served others, heartbeats were not lost, so entries
        // missing from the listing were removed. Nor does a call that failed long ago show how long
        // the store was down after it.
        self.outage.is_some_and(|s| s.duration() >= self.min_outage && !s.is_past(now))
    }

    /// Applies one written entry.
    pub fn apply_write(&mut self, now: Millis, entry: Entry, fleet: &mut Fleet) {
        self.resolve(&entry.id, Transition::Back);
        fleet.put(now, entry);
    }

    /// Applies the removal of one entry.
    pub fn apply_removal(&mut self, id: &Rc<str>, fleet: &mut Fleet) {
        self.resolve(id, Transition::Removed);
        fleet.remove(id);
    }

    /// Removes the upstream of an entry that can no longer be parsed. The entry did not lapse, so
    /// the upstream is not kept.
    pub fn apply_unreadable(&mut self, id: &Rc<str>, fleet: &mut Fleet) {
        self.resolve(id, Transition::Unreadable);
        fleet.remove(id);
    }

    /// Keeps an upstream whose entry is missing and may have lapsed for at most `left`, unless it
    /// was draining.
    pub fn retain_lapsed(&mut self, now: Millis, id: &Rc<str>, left: Millis, fleet: &mut Fleet) {
        if is_draining(id, fleet) {
            self.apply_removal(id, fleet);
        } else if fleet.key(id).is_some() {
            self.retain(now, id, left.min(MISSING_ENTRY_RETENTION_MS));
        }
    }

    fn retain(&mut self, now: Millis, id: &Rc<str>, left: Millis) {
        if !self.retained.contains_key(id) {
            let retention = Retention { since: now, until: now + left };
            self.retained.insert(id.clone(), retention);
            self.record_change(id, Transition::Retained, retention);
        }
    }

    fn resolve(&mut self, id: &Rc<str>, transition: Transition) {
        if let Some(retention) = self.retained.remove(id) {
            self.record_change(id, transition, retention);
        }
    }

    fn record_change(&mut self, id: &Rc<str>, transition: Transition, retention: Retention) {
        if self.changes.len() < MAX_LOGGED_CHANGES {
            self.changes.push(Change { id: id.clone(), transition, retention });
        }
    }

    /// The period for which an upstream is kept although its entry is missing.
    pub fn retention(&self, id: &str) -> Option<Retention> {
        self.retained.get(id).copied()
    }

    /// Takes the changes to upstreams with missing entries since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The upstreams that are kept although their entries are missing.
    pub fn retentions(&self) -> impl Iterator<Item = (&Rc<str>, Retention)> {
        self.retained.iter().map(|(id, retention)| (id, *retention))
    }

    /// Removes the upstreams whose entries were not written again in time, and returns their
    /// identities.
    pub fn tick(&mut self, now: Millis, fleet: &mut Fleet) -> Vec<Rc<str>> {
        let due = self.retained.iter().filter(|(_, retention)| now >= retention.until);
        let expired: Vec<Rc<str>> = due.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.resolve(id, Transition::GivenUp);
            fleet.remove(id);
        }
        expired
    }
}

/// Whether an upstream had announced that it is draining. If the entry of such an upstream is
/// missing, the upstream is taken to have left and is not retained.
fn is_draining(id: &str, fleet: &Fleet) -> bool {
    fleet.key(id).and_then(|key| fleet.get(key)).is_some_and(|u| u.entry.draining)
}
