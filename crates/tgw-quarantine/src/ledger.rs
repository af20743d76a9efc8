use crate::{
    Fingerprint,
    mark::{Mark, TRIALS},
    message::{End, Hold, News, Seen},
    record::Record,
    roster::Roster,
};
use smallvec::SmallVec;
use std::collections::HashMap;
use tgw_clock::Millis;
use xxhash_rust::xxh3::xxh3_64;

pub use crate::mark::LIMIT;

/// Requests that are remembered, in all: 200 KB, however many different ones somebody sends.
pub const RECORDS: usize = 1_024;
/// Time in ms after which a request is forgotten that is not held back: above the time in which callers come again.
const FORGET: Millis = Millis::new(600_000);
/// The same for one that is held back.
const FORGET_HELD: Millis = Millis::new(86_400_000);
/// What is told at once, at most: of each kind, one packet.
const TOLD: usize = 64;
/// Callers of whom a request must have been held back to be held back for all: what one sends closes the way for
/// nobody else, though it may do so in a header of its own; what two send does not depend on who they are.
const PROOF: usize = 2;
/// Words that wait to be told; older ones are dropped, as whoever sends so many different requests is known by the
/// ones that are left.
const WAITING: usize = 512;

/// What may be done with a request, or with its part at a service.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Free,
    /// Upstreams ended under it, so many rounds so far: it may be sent to one upstream at a time.
    Careful(u8),
    /// It is held back, and may come back after a while.
    Held(Millis),
}

/// What one word changed.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was known.
    None,
    /// It is one more upstream that ended.
    Ended,
    /// The request is held back from now on: everywhere, or at the service.
    Held {
        /// Everywhere.
        all: bool,
    },
    /// The request was let go.
    Released,
}

/// A request that is held back, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The request.
    pub print: Fingerprint,
    /// It is held back everywhere, not at some services only.
    pub all: bool,
    /// Upstreams that ended under it, as far as this VM remembers them.
    pub ended: usize,
    /// How often it was tried again.
    pub trials: u8,
    /// Time until it may be tried again.
    pub wait: Millis,
    /// Time since it was last asked for.
    pub idle: Millis,
}

type Callers = SmallVec<[(u32, Record); 1]>;

/// What one VM knows of requests under which upstreams ended. Empty on most days, when a look costs next to nothing.
#[derive(Debug, Default)]
pub struct Ledger {
    /// By content, then by caller: nobody is turned away for what one other caller sent, but what ended upstreams for
    /// one is sent with care for the next.
    contents: HashMap<u64, Callers>,
    records: usize,
    roster: Roster,
    news: News,
}

/// The hash by which VMs name a service or an upstream to one another.
pub fn name(text: &str) -> u32 {
    xxh3_64(text.as_bytes()) as u32
}

impl Ledger {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.records == 0
    }

    /// Sets the live VMs: this one and the others, by numbers that are the same on all VMs.
    pub fn set_vms(&mut self, own: u64, others: Vec<u64>) {
        self.roster = Roster { own, others };
    }

    /// What may be done with a request as a whole. A request that is due to be tried again may be sent, with care, by
    /// one VM, which counts that as a trial.
    pub fn verdict(&mut self, now: Millis, print: Fingerprint) -> Verdict {
        let Some(callers) = self.contents.get_mut(&print.content) else { return Verdict::Free };
        for (caller, record) in callers.iter_mut() {
            if *caller == print.caller {
                record.touched = now;
            }
        }
        let pending = callers.iter().filter_map(|(_, record)| record.all.pending(now)).max();
        match (self.judge(now, print, None), pending) {
            (Verdict::Held(wait), _) => Verdict::Held(wait),
            (_, Some(wait)) => Verdict::Held(wait),
            (verdict, None) => verdict,
        }
    }

    /// What may be done with a request's part at a service.
    pub fn part(&mut self, now: Millis, print: Fingerprint, service: &str) -> Verdict {
        if self.is_empty() { Verdict::Free } else { self.judge(now, print, Some(name(service))) }
    }

    /// Whether a request is held back as a whole.
    pub fn holds(&self, print: Fingerprint) -> bool {
        !self.is_empty() && self.against(print, None).next().is_some()
    }

    /// How often upstreams ended under a request, one time after the other.
    pub fn rounds(&self, print: Fingerprint) -> u8 {
        if self.is_empty() { 0 } else { self.rounds_at(print, None) }
    }

    /// How far a request's rounds have come, at a service and in all.
    pub fn known(&self, print: Fingerprint, service: &str) -> Seen {
        if self.is_empty() {
            return Seen::default();
        }
        let service = self.rounds_at(print, Some(name(service)));
        Seen { all: self.rounds_at(print, None), service }
    }

    /// An upstream ended under a request, as this VM saw or another one told.
    pub fn ended(&mut self, now: Millis, end: &End) -> Change {
        let record = self.enter(now, end.print);
        if !record.note(end.upstream) {
            return Change::None;
        }
        let all = record.all.ended(now, end.seen.all);
        let part = record.mark_mut(Some(end.service)).ended(now, end.seen.service);
        push(&mut self.news.ends, *end);
        if all || part { Change::Held { all } } else { Change::Ended }
    }

    /// An upstream of a service answered a request, whatever it said. Upstreams do not see who asks: no other caller's
    /// request of this content ends them either. Returns whether a request that was held back is let go by that.
    pub fn answered(&mut self, now: Millis, print: Fingerprint, service: &str) -> bool {
        if self.is_empty() {
            return false;
        }
        let service = name(service);
        let proven = [None, Some(service)].map(|at| self.against(print, at).count() >= PROOF);
        let Some(callers) = self.contents.get_mut(&print.content) else { return false };
        let mut released = false;
        for (caller, record) in callers {
            let of = Hold::of(Fingerprint { caller: *caller, ..print });
            let own = *caller == print.caller;
            for (at, mark) in record.marks_mut() {
                let shown = match at {
                    None => own || proven[0],
                    Some(at) => at == service && (own || proven[1]),
                };
                let here = at.is_none() || at == Some(service);
                if here && (shown || !mark.held()) && mark.answered() {
                    released = true;
                    push(&mut self.news.holds, mark.hold(now, Hold { service: at, ..of }));
                }
            }
        }
        released
    }

    /// Takes over what another VM says of a request that is held back, or was let go.
    pub fn merge(&mut self, now: Millis, hold: &Hold) -> Change {
        let record = self.enter(now, hold.print);
        let mark = record.mark_mut(hold.service);
        if !mark.merge(now, hold) {
            return Change::None;
        }
        let held = mark.held();
        push(&mut self.news.holds, *hold);
        if held { Change::Held { all: hold.service.is_none() } } else { Change::Released }
    }

    /// Lets a request go, as it is sent by one caller. Returns whether it was held back.
    pub fn release(&mut self, now: Millis, print: Fingerprint) -> bool {
        let Some(record) = self.record_mut(print) else { return false };
        let held = record.marks_mut().filter(|(_, mark)| mark.held());
        let released: SmallVec<[Hold; 1]> = held
            .map(|(service, mark)| {
                mark.answered();
                mark.hold(now, Hold { service, ..Hold::of(print) })
            })
            .collect();
        released.iter().for_each(|hold| push(&mut self.news.holds, *hold));
        !released.is_empty()
    }

    /// Takes what is to be told to other VMs, a packet at a time.
    pub fn take_news(&mut self) -> Option<News> {
        let ends = self.news.ends.len().min(TOLD);
        let holds = self.news.holds.len().min(TOLD);
        let news = News {
            ends: self.news.ends.drain(..ends).collect(),
            holds: self.news.holds.drain(..holds).collect(),
        };
        (!news.is_empty()).then_some(news)
    }

    /// All that is held back, or was let go, for VMs that may have missed it. From `from` on, of as many as one packet
    /// takes.
    pub fn holds_from(&self, now: Millis, from: usize) -> Vec<Hold> {
        let mut all = self.holds_all(now);
        let from = if all.is_empty() { 0 } else { from % all.len() };
        all.rotate_left(from);
        all.truncate(TOLD);
        all
    }

    /// All that is held back, or was let go.
    pub fn holds_all(&self, now: Millis) -> Vec<Hold> {
        let mut all = Vec::new();
        for (print, record) in self.iter() {
            for (service, mark) in record.marks() {
                let hold = mark.hold(now, Hold { service, ..Hold::of(print) });
                if hold.turn > 0 {
                    all.push(hold);
                }
            }
        }
        all
    }

    /// What is held back.
    pub fn list(&self, now: Millis) -> Vec<Held> {
        let held = self.iter().filter(|(_, record)| record.held());
        let mut list: Vec<Held> = held.map(|(print, record)| held_of(now, print, record)).collect();
        list.sort_by_key(|held| held.print);
        list
    }

    /// Requests that are held back, and all that are remembered.
    pub fn counts(&self) -> (usize, usize) {
        (self.iter().filter(|(_, record)| record.held()).count(), self.records)
    }

    /// Forgets what was not asked for in a long while.
    pub fn sweep(&mut self, now: Millis) {
        for callers in self.contents.values_mut() {
            callers.retain(|(_, record)| {
                let kept = if record.held() { FORGET_HELD } else { FORGET };
                now - record.touched < kept
            });
        }
        self.contents.retain(|_, callers| !callers.is_empty());
        self.records = self.contents.values().map(SmallVec::len).sum();
    }

    fn iter(&self) -> impl Iterator<Item = (Fingerprint, &Record)> {
        self.contents.iter().flat_map(|(content, callers)| {
            callers.iter().map(|(caller, record)| {
                (Fingerprint { content: *content, caller: *caller }, record)
            })
        })
    }

    fn record(&self, print: Fingerprint) -> Option<&Record> {
        let callers = self.contents.get(&print.content)?;
        callers.iter().find(|(caller, _)| *caller == print.caller).map(|(_, record)| record)
    }

    fn record_mut(&mut self, print: Fingerprint) -> Option<&mut Record> {
        let callers = self.contents.get_mut(&print.content)?;
        callers.iter_mut().find(|(caller, _)| *caller == print.caller).map(|(_, record)| record)
    }

    /// The record of a request; one that is new takes the place of the one that was asked for longest ago.
    fn enter(&mut self, now: Millis, print: Fingerprint) -> &mut Record {
        if self.record(print).is_none() {
            if self.records >= RECORDS {
                self.evict();
            }
            self.records += 1;
            self.contents.entry(print.content).or_default().push((print.caller, Record::default()));
        }
        let callers = self.contents.entry(print.content).or_default();
        let at = callers.iter().position(|(caller, _)| *caller == print.caller);
        let record = &mut callers[at.unwrap_or_default()].1;
        record.touched = now;
        record
    }

    fn evict(&mut self) {
        let oldest = self.iter().min_by_key(|(_, record)| (record.held(), record.touched));
        let Some(print) = oldest.map(|(print, _)| print) else { return };
        if let Some(callers) = self.contents.get_mut(&print.content) {
            callers.retain(|(caller, _)| *caller != print.caller);
            if callers.is_empty() {
                self.contents.remove(&print.content);
            }
        }
        self.records -= 1;
    }

    /// What holds a request back, at a service or everywhere: what its caller's requests did, or what those of two
    /// other callers did.
    fn against(
        &self,
        print: Fingerprint,
        service: Option<u32>,
    ) -> impl Iterator<Item = (u32, Mark)> {
        let callers = self.contents.get(&print.content).into_iter().flatten();
        let held = callers.map(move |(caller, record)| (*caller, record.mark(service)));
        let held: SmallVec<[(u32, Mark); 2]> = held.filter(|(_, mark)| mark.held()).collect();
        let holds = held.len() >= PROOF || held.iter().any(|(caller, _)| *caller == print.caller);
        held.into_iter().filter(move |_| holds)
    }

    /// How often upstreams ended under a request, at a service or anywhere.
    fn rounds_at(&self, print: Fingerprint, service: Option<u32>) -> u8 {
        let holds = self.against(print, service).next().is_some();
        let callers = self.contents.get(&print.content).into_iter().flatten();
        let rounds = callers.map(|(caller, record)| {
            // What another caller's requests did says what this one may do, but it is not held back for it.
            let most = if holds || *caller == print.caller { LIMIT } else { LIMIT - 1 };
            record.mark(service).rounds().min(most)
        });
        rounds.max().unwrap_or_default()
    }

    /// What may be done with a request, at a service or anywhere.
    fn judge(&mut self, now: Millis, print: Fingerprint, service: Option<u32>) -> Verdict {
        let held: SmallVec<[(u32, Mark); 2]> = self.against(print, service).collect();
        let Some((caller, mark)) = held.iter().min_by_key(|(caller, _)| *caller).copied() else {
            return careful(self.rounds_at(print, service));
        };
        let trials = held.iter().map(|(_, mark)| mark.trials()).fold(0, u8::saturating_add);
        if !mark.due(now) || trials >= TRIALS || !self.roster.leads(print.content) {
            return Verdict::Held(mark.wait(now));
        }
        let of = Fingerprint { caller, ..print };
        if let Some(record) = self.record_mut(of) {
            let mark = record.mark_mut(service);
            mark.tried(now);
            let hold = mark.hold(now, Hold { service, ..Hold::of(of) });
            push(&mut self.news.holds, hold);
        }
        Verdict::Careful(LIMIT - 1)
    }
}

fn careful(rounds: u8) -> Verdict {
    if rounds == 0 { Verdict::Free } else { Verdict::Careful(rounds.min(LIMIT - 1)) }
}

fn held_of(now: Millis, print: Fingerprint, record: &Record) -> Held {
    let marks = record.marks().map(|(_, mark)| mark);
    let marks: SmallVec<[&Mark; 2]> = marks.filter(|mark| mark.held()).collect();
    Held {
        print,
        all: record.all.held(),
        ended: record.ended(),
        trials: marks.iter().map(|mark| mark.trials()).max().unwrap_or_default(),
        wait: marks.iter().map(|mark| mark.wait(now)).min().unwrap_or_default(),
        idle: now - record.touched,
    }
}

/// Adds a word that waits to be told; the oldest makes room for it.
fn push<T>(waiting: &mut Vec<T>, word: T) {
    if waiting.len() >= WAITING {
        waiting.remove(0);
    }
    waiting.push(word);
}
