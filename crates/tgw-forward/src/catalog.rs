use crate::{Fleet, upstream::Entry};
use derive_more::Display;
use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
};
use tgw_clock::Millis;

/// Time in ms after the store's return for which entries that are missing are kept: upstreams that live write theirs
/// again within about two seconds, and this VM may hear of that half a second later.
pub const GRACE: Millis = Millis::new(2_500);
/// Time between two heartbeats of an upstream, where nobody says.
const HEARTBEAT: Millis = Millis::new(1_000);
/// Heartbeats that the store must have been silent for until an entry of a live upstream can have lapsed. It lapses
/// after three without a heartbeat, the last of which may be one old when the silence begins; half of one is left for
/// heartbeats that are late.
const LAPSE: f64 = 1.5;
/// Changes that are kept for the log; of more at once the first ones.
const CHANGES: usize = 256;

/// A time in which the store answered nobody, as far as is known.
#[derive(Copy, Clone, Debug)]
struct Silence {
    /// When it last answered somebody.
    since: Millis,
    /// When a call last failed.
    until: Millis,
}

impl Silence {
    fn length(self) -> Millis {
        self.until - self.since
    }

    /// Whether entries that lapsed in it are back, if their upstreams live.
    fn is_over(self, now: Millis) -> bool {
        now - self.until > GRACE
    }
}

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
    /// Its entry was removed since.
    #[display("removed")]
    Removed,
    /// Its entry cannot be read.
    #[display("unreadable")]
    Unreadable,
}

/// Keeps a [`Fleet`] as the store tells it, through times when the store is away.
///
/// While the store is away no heartbeat reaches it, and the entries of upstreams that live lapse: at its return all of a
/// service may be missing. Those are kept until they had time to be written again. What is removed after the return, or
/// while only this VM could not reach the store, is gone.
#[derive(Debug)]
pub struct Catalog {
    lapse: Millis,
    /// When the store last answered this VM, or one that told it news.
    heard: Millis,
    /// The longest silence since this VM last read the store, up to the last call that failed in it.
    silence: Option<Silence>,
    doubted: HashMap<Rc<str>, Doubt>,
    changes: Vec<Change>,
}

impl Default for Catalog {
    fn default() -> Self {
        Self::new(None)
    }
}

impl Catalog {
    /// Upstreams write their entries each `heartbeat`, if that is known.
    pub fn new(heartbeat: Option<Millis>) -> Self {
        Self {
            lapse: heartbeat.unwrap_or(HEARTBEAT).scale(LAPSE),
            heard: Millis::ZERO,
            silence: None,
            doubted: HashMap::new(),
            changes: Vec::new(),
        }
    }

    /// The store has not answered this VM, or those that this VM takes over from.
    pub fn lost(&mut self, now: Millis) {
        let silence = Silence { since: self.heard, until: now };
        let longer = |known: Silence| silence.length() >= known.length() || known.is_over(now);
        if self.silence.is_none_or(longer) {
            self.silence = Some(silence);
        }
    }

    /// The store has answered this VM.
    pub fn answered(&mut self, now: Millis) {
        self.silence = None;
        self.heard = now;
    }

    /// The store has answered something else of this VM, or another VM, as that one tells.
    pub fn heard(&mut self, now: Millis) {
        self.heard = now;
    }

    /// This VM stood still for so long: it heard nothing because of itself, not of the store.
    pub fn paused(&mut self, gap: Millis) {
        self.heard += gap;
        if let Some(silence) = &mut self.silence {
            silence.since += gap;
        }
    }

    /// The whole list was read; `unreadable` names entries of it that nobody can use.
    pub fn listed(
        &mut self,
        now: Millis,
        entries: Vec<Entry>,
        unreadable: &[Rc<str>],
        fleet: &mut Fleet,
    ) {
        let away = self.was_away(now);
        self.answered(now);
        for id in unreadable {
            self.unreadable(id, fleet);
        }
        let named: HashSet<Rc<str>> = entries.iter().map(|e| e.id.clone()).collect();
        let missing: Vec<Rc<str>> =
            fleet.ids().filter(|id| !named.contains(&**id)).cloned().collect();
        for id in missing {
            if away && !leaves(&id, fleet) {
                self.doubt(now, &id, GRACE);
            } else if !self.doubted.contains_key(&id) {
                fleet.remove(&id);
            }
        }
        for entry in entries {
            self.changed(now, entry, fleet);
        }
    }

    /// Whether entries of live upstreams may have lapsed and not be back: as far as is known, the store answered nobody
    /// for long enough, until just now.
    fn was_away(&self, now: Millis) -> bool {
        // A store that turned this VM away and served others lost no heartbeat: what it does not list was removed. Nor
        // does a call that failed long ago tell how long the store was away after that.
        self.silence.is_some_and(|s| s.length() >= self.lapse && !s.is_over(now))
    }

    /// One entry was written.
    pub fn changed(&mut self, now: Millis, entry: Entry, fleet: &mut Fleet) {
        self.end(&entry.id, What::Back);
        fleet.put(now, entry);
    }

    /// One entry was removed.
    pub fn removed(&mut self, id: &Rc<str>, fleet: &mut Fleet) {
        self.end(id, What::Removed);
        fleet.remove(id);
    }

    /// One entry cannot be read any more. It did not lapse, so it is not waited for.
    pub fn unreadable(&mut self, id: &Rc<str>, fleet: &mut Fleet) {
        self.end(id, What::Unreadable);
        fleet.remove(id);
    }

    /// One entry is missing and may have lapsed: its upstream is kept for so long, unless it had said that it leaves.
    pub fn lapsed(&mut self, now: Millis, id: &Rc<str>, left: Millis, fleet: &mut Fleet) {
        if leaves(id, fleet) {
            self.removed(id, fleet);
        } else if fleet.key(id).is_some() {
            self.doubt(now, id, left.min(GRACE));
        }
    }

    fn doubt(&mut self, now: Millis, id: &Rc<str>, left: Millis) {
        if !self.doubted.contains_key(id) {
            let doubt = Doubt { since: now, until: now + left };
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

    /// The upstreams that are kept though their entries are missing.
    pub fn doubts(&self) -> impl Iterator<Item = (&Rc<str>, Doubt)> {
        self.doubted.iter().map(|(id, doubt)| (id, *doubt))
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

/// Whether an upstream has said that it leaves.
fn leaves(id: &str, fleet: &Fleet) -> bool {
    fleet.key(id).and_then(|key| fleet.get(key)).is_some_and(|u| u.entry.draining)
}
