use crate::{
    group::{Group, Task},
    health::{Health, Rank},
    leaf::SnapshotCounts,
    owner::SkipReason,
    policy::Candidate,
};
use smallvec::SmallVec;
use tgw_clock::Millis;
use tgw_topology::Upstream;

/// Queued requests per trusted slot above which suspects are used without spacing probes.
const OVERLOAD_REQUESTS_PER_SLOT: usize = 1;
/// Load ratio of a group without a trusted upstream, to which each of its requests adds one.
const NO_TRUSTED_UPSTREAM_LOAD_RATIO: f32 = 4.0;

impl Group {
    /// Whether the request should go to another group at once, because every upstream eligible for
    /// it is ejected or leaving. A group that fails fast looks fast and idle, and would attract
    /// ever more requests.
    pub(crate) fn should_return_now(&self, now: Millis, task_id: u64) -> bool {
        let Some(task) = self.tasks.get(&task_id) else { return false };
        let is_ejected = |i: &usize| self.upstreams[*i].rank(now) >= Rank::Ejected;
        task.leaf.queue_deadline.is_some() && task.eligible.iter().all(is_ejected)
    }

    /// Whether more requests are queued than the trusted upstreams can soon serve.
    pub(crate) fn is_overloaded(&self) -> bool {
        let trusted = self.upstreams.iter().filter(|u| u.is_trusted());
        let slots: usize = trusted.map(|u| usize::from(u.slots)).sum();
        self.queue.len() > slots * OVERLOAD_REQUESTS_PER_SLOT
    }

    /// Queued and in-flight requests as a ratio of the usable slots.
    pub(crate) fn load_ratio(&self, now: Millis) -> f32 {
        let usable = self.upstreams.iter().filter(|u| u.rank(now) == Rank::Trusted);
        let slots: f64 = usable.map(|u| f64::from(u.slots) * self.slot_share).sum();
        if slots == 0.0 {
            return NO_TRUSTED_UPSTREAM_LOAD_RATIO + self.tasks.len() as f32;
        }
        (self.tasks.len() as f64 / slots) as f32
    }

    /// The snapshots held by usable upstreams, with counts; `None` while no upstream has reported
    /// its snapshots. One that has not reported is counted as a holder of each snapshot of the
    /// others.
    pub(crate) fn snapshot_counts(&self) -> Option<SnapshotCounts> {
        let usable = || self.upstreams.iter().filter(|u| !u.is_leaving());
        let mut snapshot_counts = SnapshotCounts::new();
        for snapshot in usable().filter_map(Health::snapshots).flatten() {
            if !snapshot_counts.iter().any(|(s, _)| s == snapshot) {
                let count = usable().filter(|u| u.holds(*snapshot)).count();
                snapshot_counts.push((*snapshot, count as u8));
            }
        }
        let known = usable().any(|u| u.snapshots().is_some());
        known.then_some(snapshot_counts)
    }

    /// The upstreams that may be sent a request: eligible, holding its snapshot, and without
    /// another send of it in flight.
    pub(crate) fn usable(&self, task: &Task) -> SmallVec<[usize; 4]> {
        let may_send = |i: &&usize| {
            let upstream = &self.upstreams[**i];
            !upstream.is_leaving()
                && (task.leaf.is_order() || upstream.holds(task.leaf.snapshot))
                && !task.in_flight.iter().any(|(_, in_flight_on)| in_flight_on == *i)
        };
        task.eligible.iter().filter(may_send).copied().collect()
    }

    pub(crate) fn candidates(&self, now: Millis, indices: &[usize]) -> SmallVec<[Candidate; 4]> {
        let overloaded = self.is_overloaded();
        let candidate = |i: &usize| {
            let upstream = &self.upstreams[*i];
            Candidate {
                upstream: upstream.id,
                has_free_slot: upstream.has_free_slot(now, self.slot_share, overloaded),
                in_flight: upstream.in_flight.len(),
                latency_ms: upstream.latency_ms.get(),
                rank: upstream.rank(now),
            }
        };
        indices.iter().map(candidate).collect()
    }

    pub(crate) fn skipped(
        &self,
        now: Millis,
        task_id: u64,
        chosen: usize,
    ) -> SmallVec<[(Upstream, SkipReason); 4]> {
        let overloaded = self.is_overloaded();
        let Some(task) = self.tasks.get(&task_id) else { return SmallVec::new() };
        let reason = |index: usize, upstream: &Health| match upstream.rank(now) {
            Rank::Leaving => SkipReason::Leaving,
            _ if !upstream.holds(task.leaf.snapshot) => SkipReason::Gone,
            _ if !task.eligible.contains(&index) => SkipReason::Tried,
            Rank::Ejected => SkipReason::Ejected,
            Rank::Suspect => SkipReason::Suspect,
            Rank::Trusted if upstream.has_free_slot(now, self.slot_share, overloaded) => {
                SkipReason::Lower
            }
            Rank::Trusted => SkipReason::Busy,
        };
        self.upstreams
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != chosen)
            .map(|(index, upstream)| (upstream.id, reason(index, upstream)))
            .collect()
    }
}
