use crate::{event::View, snapshot::CachedChoice};
use std::collections::BTreeMap;
use tgw_clock::Millis;
use tgw_dispatch::leaf::{HeldSnapshots, SnapshotCounts};
use tgw_tail::Average;
use tgw_topology::{Group, Service, Snapshot, Vm};

const LATENCY_WEIGHT: f64 = 0.1;
/// Service time assumed before the first answer.
const INITIAL_SERVICE_TIME_MS: f64 = 5.0;
/// Time in which a measured latency without new answers loses most of its weight. Without this
/// decay, a group that was slow once would get no more requests, and its recovery would not be
/// noticed.
const LATENCY_DECAY_MS: f64 = 2000.0;
/// Time in which a load ratio reported by an owner loses most of its weight.
const LOAD_DECAY_MS: f64 = 100.0;
/// Service times added to an estimate at a load ratio of one, when all slots are just taken.
const LOAD_LATENCY_FACTOR: f64 = 0.4;
/// How long a group is avoided after a failure: first and longest time.
const MIN_AVOIDANCE_MS: Millis = Millis::new(50);
const MAX_AVOIDANCE_MS: Millis = Millis::new(1000);
/// Added to the estimate of an avoided group.
const AVOIDANCE_PENALTY_MS: f64 = 500.0;
/// Multiple of the expected latency from which the age of an attempt adds to the estimate.
const OVERDUE_FACTOR: f64 = 2.0;
/// Time without a message, besides the network round trip, after which a VM that owes outcomes is
/// unresponsive.
const RESPONSE_TIMEOUT_MS: Millis = Millis::new(80);

/// State of one replica group.
#[derive(Clone, Debug)]
struct GroupState {
    /// Time from the request to the answer, without the wait in the owner's queue.
    latency_ms: Average,
    /// Queued and in-flight requests at the owner as a ratio of its slots, as last reported.
    load_ratio: f64,
    updated_at: Millis,
    /// Number of attempts in flight by the time they were sent.
    in_flight: BTreeMap<Millis, u32>,
    snapshot_counts: Option<SnapshotCounts>,
    /// Snapshots reported as not held since the group last listed its snapshots.
    missing_snapshots: HeldSnapshots,
    /// Until when the group is avoided after failures, and for how long after the next one.
    avoid_until: Millis,
    avoidance: Millis,
}

/// State of one dispatching VM.
#[derive(Clone, Debug, Default)]
struct VmState {
    last_message_at: Millis,
    in_flight: u32,
    /// Since when at least one attempt has been in flight.
    awaiting_since: Millis,
    unresponsive: bool,
}

/// Latency, load and snapshots of replica groups, and responsiveness of the VMs that own them.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    groups: BTreeMap<Group, GroupState>,
    vms: BTreeMap<Vm, VmState>,
    snapshots_epoch: u64,
    /// The chosen snapshot of each service, valid until an input of the choice changes.
    pub(crate) choices: BTreeMap<Service, CachedChoice>,
}

impl Tracker {
    /// Whether a group holds a snapshot; true if it has not reported its snapshots.
    pub fn holds(&self, group: Group, snapshot: Snapshot) -> bool {
        self.holders(group, snapshot).is_none_or(|count| count > 0)
    }

    /// The number of upstreams of a group that hold a snapshot; `None` if it has not reported.
    pub fn holders(&self, group: Group, snapshot: Snapshot) -> Option<u8> {
        let group_state = self.groups.get(&group)?;
        if group_state.missing_snapshots.contains(&snapshot) {
            return Some(0);
        }
        let snapshot_counts = group_state.snapshot_counts.as_ref()?;
        Some(snapshot_counts.iter().find(|(s, _)| *s == snapshot).map_or(0, |(_, count)| *count))
    }

    /// Records that a group does not hold a snapshot.
    pub(crate) fn record_missing_snapshot(
        &mut self,
        now: Millis,
        group: Group,
        snapshot: Snapshot,
    ) {
        if self.holds(group, snapshot) {
            self.group_state_mut(now, group).missing_snapshots.push(snapshot);
            self.snapshots_epoch += 1;
        }
    }

    /// Records the snapshots that a group holds.
    pub(crate) fn record_snapshots(
        &mut self,
        now: Millis,
        group: Group,
        snapshot_counts: SnapshotCounts,
    ) {
        let group_state = self.group_state_mut(now, group);
        if group_state.snapshot_counts.as_ref() != Some(&snapshot_counts)
            || !group_state.missing_snapshots.is_empty()
        {
            group_state.snapshot_counts = Some(snapshot_counts);
            group_state.missing_snapshots.clear();
            self.snapshots_epoch += 1;
        }
    }

    /// Changes whenever the recorded snapshots of any group change.
    pub(crate) fn snapshots_epoch(&self) -> u64 {
        self.snapshots_epoch
    }

    /// Records a failed attempt: the group is avoided for a while, twice as long each time.
    pub(crate) fn record_failure(&mut self, now: Millis, group: Group) {
        let group_state = self.group_state_mut(now, group);
        if now >= group_state.avoid_until {
            group_state.avoid_until = now + group_state.avoidance;
            group_state.avoidance =
                (group_state.avoidance + group_state.avoidance).min(MAX_AVOIDANCE_MS);
        }
    }

    /// The VMs that are unresponsive.
    pub(crate) fn unresponsive_vms(&self) -> Vec<Vm> {
        self.vms.iter().filter(|(_, s)| s.unresponsive).map(|(vm, _)| *vm).collect()
    }

    /// Cost by which groups are ranked, in milliseconds; the lowest is the best. It is the expected
    /// time until an answer, plus penalties for recent failures and for an overdue attempt.
    pub(crate) fn estimate_ms(&self, now: Millis, group: Group, view: &View<'_>) -> f64 {
        let place = view.index.get(group).map_or(view.local_place, |m| m.place);
        let base_ms =
            2.0 * view.network_delays.between(view.local_place, place) + INITIAL_SERVICE_TIME_MS;
        let Some(group_state) = self.groups.get(&group) else { return base_ms };
        let age_ms = (now - group_state.updated_at).as_f64();
        let latency_ms =
            base_ms + (group_state.latency_ms.get() - base_ms) * (-age_ms / LATENCY_DECAY_MS).exp();
        let load_ratio = group_state.load_ratio * (-age_ms / LOAD_DECAY_MS).exp();
        let slots = self.slots(group, view);
        let own_load_ratio = f64::from(group_state.in_flight.values().sum::<u32>()) / slots;
        let expected_load_ratio = load_ratio.max(own_load_ratio);
        // The age of the oldest attempt reveals a straggler before any answer does.
        let oldest_ms =
            group_state.in_flight.keys().next().map_or(0.0, |sent_at| (now - *sent_at).as_f64());
        let overdue_ms = (oldest_ms - OVERDUE_FACTOR * latency_ms).max(0.0);
        let penalty_ms = if now < group_state.avoid_until { AVOIDANCE_PENALTY_MS } else { 0.0 };
        latency_ms
            + penalty_ms
            + overdue_ms
            + INITIAL_SERVICE_TIME_MS
                * (LOAD_LATENCY_FACTOR * expected_load_ratio + (expected_load_ratio - 1.0).max(0.0))
    }

    fn slots(&self, group: Group, view: &View<'_>) -> f64 {
        view.index.get(group).map_or(1, |m| m.max_concurrency).max(1).into()
    }

    pub(crate) fn record_attempt(&mut self, now: Millis, group: Group, to: Vm) {
        *self.group_state_mut(now, group).in_flight.entry(now).or_default() += 1;
        let vm_state = self.vms.entry(to).or_default();
        if vm_state.in_flight == 0 {
            vm_state.awaiting_since = now;
        }
        vm_state.in_flight += 1;
    }

    /// Records that an attempt sent to the VM `from` has ended or was cancelled.
    pub(crate) fn record_attempt_end(
        &mut self,
        now: Millis,
        group: Group,
        from: Vm,
        sent_at: Millis,
    ) {
        let group_state = self.group_state_mut(now, group);
        if let Some(count) = group_state.in_flight.get_mut(&sent_at) {
            *count -= 1;
            if *count == 0 {
                group_state.in_flight.remove(&sent_at);
            }
        }
        if let Some(vm_state) = self.vms.get_mut(&from) {
            vm_state.in_flight = vm_state.in_flight.saturating_sub(1);
        }
    }

    /// Records an owner's report; `latency` is that of items, without the wait in its queue.
    pub(crate) fn record_outcome(
        &mut self,
        now: Millis,
        group: Group,
        latency: Option<Millis>,
        load_ratio: f32,
    ) {
        let group_state = self.group_state_mut(now, group);
        if let Some(latency) = latency {
            group_state.avoidance = MIN_AVOIDANCE_MS;
            group_state.latency_ms.add(latency.as_f64());
        }
        group_state.load_ratio = f64::from(load_ratio);
        group_state.updated_at = now;
    }

    pub(crate) fn record_message(&mut self, now: Millis, vm: Vm) {
        let vm_state = self.vms.entry(vm).or_default();
        vm_state.last_message_at = now;
        vm_state.unresponsive = false;
    }

    pub(crate) fn record_disconnect(&mut self, vm: Vm) {
        self.vms.entry(vm).or_default().unresponsive = true;
    }

    pub(crate) fn is_unresponsive(&self, vm: Vm) -> bool {
        self.vms.get(&vm).is_some_and(|s| s.unresponsive)
    }

    /// Marks and returns the VMs that owe outcomes and have sent no message for too long.
    pub(crate) fn detect_unresponsive(&mut self, now: Millis, view: &View<'_>) -> Vec<Vm> {
        let mut unresponsive = Vec::new();
        for (vm, vm_state) in &mut self.vms {
            let place = view.owners.place(*vm).unwrap_or(view.local_place);
            let round_trip =
                Millis::from_f64(2.0 * view.network_delays.between(view.local_place, place));
            let quiet_for = now - vm_state.last_message_at.max(vm_state.awaiting_since);
            if !vm_state.unresponsive
                && vm_state.in_flight > 0
                && quiet_for > RESPONSE_TIMEOUT_MS + round_trip
            {
                vm_state.unresponsive = true;
                unresponsive.push(*vm);
            }
        }
        unresponsive
    }

    fn group_state_mut(&mut self, now: Millis, group: Group) -> &mut GroupState {
        self.groups.entry(group).or_insert_with(|| GroupState {
            latency_ms: Average::new(INITIAL_SERVICE_TIME_MS, LATENCY_WEIGHT),
            load_ratio: 0.0,
            updated_at: now,
            in_flight: BTreeMap::new(),
            snapshot_counts: None,
            missing_snapshots: HeldSnapshots::new(),
            avoid_until: Millis::ZERO,
            avoidance: MIN_AVOIDANCE_MS,
        })
    }
}
