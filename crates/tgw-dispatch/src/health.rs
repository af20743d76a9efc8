use crate::leaf::HeldSnapshots;
use smallvec::SmallVec;
use tgw_clock::Millis;
use tgw_tail::Average;
use tgw_topology::{Snapshot, Upstream, catalog::UpstreamEntry};

/// Consecutive failures after which an upstream is ejected.
const EJECTION_FAILURES: u32 = 3;
const MIN_EJECTION_MS: Millis = Millis::new(250);
const MAX_EJECTION_MS: Millis = Millis::new(4000);
/// First and longest interval between probe requests to a suspect.
const MIN_PROBE_INTERVAL_MS: Millis = Millis::new(20);
const MAX_PROBE_INTERVAL_MS: Millis = Millis::new(80);
/// Added to the concurrency limit by each successful reply: two replies open one more slot.
const LIMIT_INCREASE_SLOTS: f64 = 0.5;
const LATENCY_WEIGHT: f64 = 0.2;
const INITIAL_LATENCY_MS: f64 = 5.0;

/// Preference among upstreams by health; lower ranks are preferred.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// It replies in time.
    Trusted,
    /// A request on it was overdue, or its ejection has ended: one request at a time.
    Suspect,
    /// It was ejected after failures; used only if the group has no other upstream.
    Ejected,
    /// It is leaving and gets no new work.
    Leaving,
}

/// One send in flight on an upstream.
#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub(crate) send_id: u64,
    pub(crate) task: u64,
    pub(crate) sent_at: Millis,
    /// Whether it has been counted as late.
    pub(crate) counted_late: bool,
    /// Whether it was cancelled; it occupies its slot until the upstream confirms.
    pub(crate) cancelled: bool,
}

/// Health, latency and in-flight requests of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    pub(crate) id: Upstream,
    pub(crate) slots: u16,
    pub(crate) in_flight: SmallVec<[InFlight; 4]>,
    pub(crate) latency_ms: Average,
    snapshots: Option<HeldSnapshots>,
    concurrency_limit: f64,
    consecutive_failures: u32,
    ejection_backoff: Millis,
    ejected_until: Option<Millis>,
    suspected: bool,
    /// Earliest time of the next probe request while suspected, and the interval after it.
    next_probe_at: Millis,
    probe_interval: Millis,
    leaving: bool,
}

impl Health {
    pub(crate) fn new(node: &UpstreamEntry, cold: bool) -> Self {
        Self {
            id: node.id,
            slots: node.max_concurrency,
            in_flight: SmallVec::new(),
            latency_ms: Average::new(INITIAL_LATENCY_MS, LATENCY_WEIGHT),
            snapshots: None,
            concurrency_limit: if cold { 1.0 } else { f64::from(node.max_concurrency) },
            consecutive_failures: 0,
            ejection_backoff: MIN_EJECTION_MS,
            ejected_until: None,
            suspected: false,
            next_probe_at: Millis::ZERO,
            probe_interval: MIN_PROBE_INTERVAL_MS,
            leaving: node.leaving,
        }
    }

    pub(crate) fn rank(&self, now: Millis) -> Rank {
        match self.ejected_until {
            _ if self.leaving => Rank::Leaving,
            Some(until) if now < until => Rank::Ejected,
            Some(_) => Rank::Suspect,
            None if self.suspected => Rank::Suspect,
            None => Rank::Trusted,
        }
    }

    /// Whether a request may be sent now. `share` is the fraction of the slots that this owner may
    /// use; `overloaded` means that the queue exceeds what the trusted upstreams can soon serve.
    pub(crate) fn has_free_slot(&self, now: Millis, share: f64, overloaded: bool) -> bool {
        let limit = match self.rank(now) {
            Rank::Leaving => return false,
            // With all its slots, a straggler would delay a request in each of them. Every probe is
            // a request that will probably be late, so probes are spaced out, unless the rest of
            // the group cannot serve the queue.
            Rank::Suspect if now < self.next_probe_at && !overloaded => return false,
            Rank::Suspect | Rank::Ejected => 1,
            Rank::Trusted => ((self.concurrency_limit * share) as usize).max(1),
        };
        self.in_flight.len() < limit
    }

    /// Whether it is neither suspected, ejected nor leaving.
    pub(crate) fn is_trusted(&self) -> bool {
        !self.suspected && !self.leaving && self.ejected_until.is_none()
    }

    pub(crate) fn holds(&self, snapshot: Snapshot) -> bool {
        self.snapshots.as_ref().is_none_or(|snapshots| snapshots.contains(&snapshot))
    }

    pub(crate) fn snapshots(&self) -> Option<&HeldSnapshots> {
        self.snapshots.as_ref()
    }

    pub(crate) fn set_snapshots(&mut self, snapshots: HeldSnapshots) {
        self.snapshots = Some(snapshots);
    }

    pub(crate) fn remove_snapshot(&mut self, snapshot: Snapshot) {
        if let Some(snapshots) = &mut self.snapshots {
            snapshots.retain(|s| *s != snapshot);
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Marks the upstream as leaving; true if it was not marked before.
    pub(crate) fn mark_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Clears what was recorded about the previous process when one with another incarnation
    /// replies.
    pub(crate) fn reset(&mut self) {
        self.leaving = false;
        self.snapshots = None;
        self.concurrency_limit = 1.0;
        self.consecutive_failures = 0;
        self.ejected_until = None;
    }

    pub(crate) fn record_success(&mut self, latency: Millis, late_after: Millis) {
        self.latency_ms.add(latency.as_f64());
        self.consecutive_failures = 0;
        self.ejection_backoff = MIN_EJECTION_MS;
        self.ejected_until = None;
        self.concurrency_limit =
            (self.concurrency_limit + LIMIT_INCREASE_SLOTS).min(f64::from(self.slots));
        self.suspected = latency >= late_after;
        if !self.suspected {
            self.probe_interval = MIN_PROBE_INTERVAL_MS;
        }
    }

    /// Suspects the upstream because a request has been in flight for `age`, which is overdue; true
    /// if it was not suspected before.
    pub(crate) fn record_overdue(&mut self, now: Millis, age: Millis) -> bool {
        self.latency_ms.add(self.latency_ms.get().max(age.as_f64()));
        let newly_suspected = !std::mem::replace(&mut self.suspected, true);
        if newly_suspected {
            self.postpone_probe(now);
        }
        newly_suspected
    }

    /// Postpones the next probe, for longer each time, when a request on a suspect becomes late.
    pub(crate) fn record_late(&mut self, now: Millis) {
        if self.suspected {
            self.postpone_probe(now);
        }
    }

    fn postpone_probe(&mut self, now: Millis) {
        self.next_probe_at = now + self.probe_interval;
        self.probe_interval =
            (self.probe_interval + self.probe_interval).min(MAX_PROBE_INTERVAL_MS);
    }

    pub(crate) fn record_shed(&mut self) {
        self.concurrency_limit = (self.concurrency_limit - 1.0).max(1.0);
    }

    /// Counts a failure; true if it ejects the upstream.
    pub(crate) fn record_failure(&mut self, now: Millis) -> bool {
        self.consecutive_failures += 1;
        let returning = self.ejected_until.is_some_and(|until| now >= until);
        if self.consecutive_failures < EJECTION_FAILURES && !returning {
            return false;
        }
        self.ejected_until = Some(now + self.ejection_backoff);
        self.ejection_backoff =
            (self.ejection_backoff + self.ejection_backoff).min(MAX_EJECTION_MS);
        self.concurrency_limit = 1.0;
        true
    }
}
