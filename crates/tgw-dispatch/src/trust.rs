use crate::leaf::Held;
use smallvec::SmallVec;
use tgw_clock::Millis;
use tgw_tail::Average;
use tgw_topology::{Snapshot, Upstream, catalog::Node};

/// Failures in a row after which an upstream is set aside.
const FAILURES: u32 = 3;
const FIRST_BACKOFF: Millis = Millis::new(250);
const LONGEST_BACKOFF: Millis = Millis::new(4000);
/// How long the next request for a suspect is put off, at first and at most.
const FIRST_PROBE: Millis = Millis::new(20);
const LONGEST_PROBE: Millis = Millis::new(80);
/// Growth of the limit for each good reply: two good replies win one more slot.
const RAMP: f64 = 0.5;
const LATENCY_WEIGHT: f64 = 0.2;
const LATENCY_START_MS: f64 = 5.0;

/// How far an upstream is trusted; lower is better.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// It answers as expected.
    Trusted,
    /// A request on it was overdue, or it returns from being set aside: one request at a time.
    Suspect,
    /// It fails; used only when nothing else in the group can be.
    Ejected,
    /// It is leaving: no new work.
    Leaving,
}

/// One request on an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) ticket: u64,
    pub(crate) task: u64,
    pub(crate) started: Millis,
    /// It has been counted as late.
    pub(crate) late: bool,
    /// Told to stop; the slot is taken until the upstream confirms.
    pub(crate) aborted: bool,
}

/// What the owner knows of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Trust {
    pub(crate) id: Upstream,
    pub(crate) slots: u16,
    pub(crate) runs: SmallVec<[Run; 4]>,
    pub(crate) latency: Average,
    held: Option<Held>,
    limit: f64,
    failures: u32,
    backoff: Millis,
    ejected_until: Option<Millis>,
    suspect: bool,
    /// A suspect gets its next request not before this, and how long that is put off next time.
    probe_at: Millis,
    probe_gap: Millis,
    leaving: bool,
}

impl Trust {
    pub(crate) fn new(node: &Node, cold: bool) -> Self {
        Self {
            id: node.id,
            slots: node.slots,
            runs: SmallVec::new(),
            latency: Average::new(LATENCY_START_MS, LATENCY_WEIGHT),
            held: None,
            limit: if cold { 1.0 } else { f64::from(node.slots) },
            failures: 0,
            backoff: FIRST_BACKOFF,
            ejected_until: None,
            suspect: false,
            probe_at: Millis::ZERO,
            probe_gap: FIRST_PROBE,
            leaving: node.leaving,
        }
    }

    pub(crate) fn rank(&self, now: Millis) -> Rank {
        match self.ejected_until {
            _ if self.leaving => Rank::Leaving,
            Some(until) if now < until => Rank::Ejected,
            Some(_) => Rank::Suspect,
            None if self.suspect => Rank::Suspect,
            None => Rank::Trusted,
        }
    }

    /// Whether a request may start now; `share` is the part of the slots that this owner may use, and
    /// `pressed` says that more waits than the others can soon serve.
    pub(crate) fn free(&self, now: Millis, share: f64, pressed: bool) -> bool {
        let limit = match self.rank(now) {
            Rank::Leaving => return false,
            // A straggler given its full slots again would hold a request in each of them. Each probe
            // of it is a request that will be late, so probes are spaced, unless the rest of the
            // group is too little for what waits.
            Rank::Suspect if now < self.probe_at && !pressed => return false,
            Rank::Suspect | Rank::Ejected => 1,
            Rank::Trusted => ((self.limit * share) as usize).max(1),
        };
        self.runs.len() < limit
    }

    /// Whether it is neither suspect, set aside nor leaving.
    pub(crate) fn trusted(&self) -> bool {
        !self.suspect && !self.leaving && self.ejected_until.is_none()
    }

    pub(crate) fn holds(&self, snapshot: Snapshot) -> bool {
        self.held.as_ref().is_none_or(|held| held.contains(&snapshot))
    }

    pub(crate) fn held(&self) -> Option<&Held> {
        self.held.as_ref()
    }

    pub(crate) fn set_held(&mut self, held: Held) {
        self.held = Some(held);
    }

    pub(crate) fn lost(&mut self, snapshot: Snapshot) {
        if let Some(held) = &mut self.held {
            held.retain(|s| *s != snapshot);
        }
    }

    pub(crate) fn leaving(&self) -> bool {
        self.leaving
    }

    /// Records that the upstream leaves; true if that is news.
    pub(crate) fn leave(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// A process with another incarnation answers: what was held against the old one is void.
    pub(crate) fn restart(&mut self) {
        self.leaving = false;
        self.held = None;
        self.limit = 1.0;
        self.failures = 0;
        self.ejected_until = None;
    }

    pub(crate) fn good(&mut self, latency: Millis, late: Millis) {
        self.latency.add(latency.as_f64());
        self.failures = 0;
        self.backoff = FIRST_BACKOFF;
        self.ejected_until = None;
        self.limit = (self.limit + RAMP).min(f64::from(self.slots));
        self.suspect = latency >= late;
        if !self.suspect {
            self.probe_gap = FIRST_PROBE;
        }
    }

    /// A request has run for `age`, which is overdue; true if the upstream was trusted until now.
    pub(crate) fn overdue(&mut self, now: Millis, age: Millis) -> bool {
        self.latency.add(self.latency.get().max(age.as_f64()));
        let news = !std::mem::replace(&mut self.suspect, true);
        if news {
            self.put_off(now);
        }
        news
    }

    /// A request on a suspect has become late: the next one is put off for longer.
    pub(crate) fn late(&mut self, now: Millis) {
        if self.suspect {
            self.put_off(now);
        }
    }

    fn put_off(&mut self, now: Millis) {
        self.probe_at = now + self.probe_gap;
        self.probe_gap = (self.probe_gap + self.probe_gap).min(LONGEST_PROBE);
    }

    pub(crate) fn shed(&mut self) {
        self.limit = (self.limit - 1.0).max(1.0);
    }

    /// Counts a failure; true if the upstream is set aside by it.
    pub(crate) fn fail(&mut self, now: Millis) -> bool {
        self.failures += 1;
        let returning = self.ejected_until.is_some_and(|until| now >= until);
        if self.failures < FAILURES && !returning {
            return false;
        }
        self.ejected_until = Some(now + self.backoff);
        self.backoff = (self.backoff + self.backoff).min(LONGEST_BACKOFF);
        self.limit = 1.0;
        true
    }
}
