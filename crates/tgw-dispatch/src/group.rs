use crate::{
    health::{Health, InFlight, Rank},
    leaf::{HeldSnapshots, Key, Leaf, Outcome},
    owner::{Action, Decision, DecisionKind, Options, SendId, SkipReason},
    policy::Policy,
};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};
use tgw_clock::Millis;
use tgw_tail::{Budget, Hedge};
use tgw_topology::{Group as GroupId, Snapshot, Upstream, catalog::UpstreamEntry};

/// Queued requests examined in one pass over the queue, in order of deadline; the rest wait for the
/// next pass. This bounds the work of sending that one event can cause.
const MAX_SCANNED_REQUESTS: usize = 64;
/// Most retries that the budget may accumulate.
const RETRY_BURST_REQUESTS: f64 = 20.0;

/// State that the groups of one service share at their owner.
pub(crate) struct ServiceContext<'a> {
    pub(crate) next_send_id: &'a mut SendId,
    /// The hedge delay is learned over all groups of the service: a straggler makes many requests
    /// of its own group late, and a delay learned there alone would rise until none counted as
    /// late.
    pub(crate) hedge: &'a mut Hedge,
}

impl ServiceContext<'_> {
    fn allocate_send_id(&mut self) -> SendId {
        *self.next_send_id += 1;
        *self.next_send_id
    }
}

/// A queued or in-flight request.
pub(crate) struct Task {
    pub(crate) leaf: Leaf,
    pub(crate) arrived: Millis,
    /// Time in the queue before the first send; `None` until then.
    pub(crate) queue_wait: Option<Millis>,
    /// Indices of the upstreams that may serve it; those that failed it are removed.
    pub(crate) eligible: SmallVec<[usize; 4]>,
    /// Sends in flight, each with the index of its upstream.
    pub(crate) in_flight: SmallVec<[(SendId, usize); 2]>,
    pub(crate) sends: u8,
    pub(crate) hedged: bool,
    /// The outcome of the last failed send, reported when no upstream is left to try.
    pub(crate) last_failure: Option<Outcome>,
}

/// One replica group.
pub(crate) struct Group {
    pub(crate) id: GroupId,
    pub(crate) options: Options,
    pub(crate) policy: Box<dyn Policy>,
    pub(crate) upstreams: Vec<Health>,
    pub(crate) tasks: BTreeMap<u64, Task>,
    pub(crate) keys: BTreeMap<Key, u64>,
    /// Queued requests by deadline, then arrival.
    pub(crate) queue: BTreeSet<(Millis, u64)>,
    pub(crate) next_task_id: u64,
    pub(crate) retry_budget: Budget,
    pub(crate) slot_share: f64,
    pub(crate) handed_over: bool,
}

impl Group {
    pub(crate) fn new(id: GroupId, options: &Options, policy: Box<dyn Policy>) -> Self {
        Self {
            id,
            options: options.clone(),
            policy,
            upstreams: Vec::new(),
            tasks: BTreeMap::new(),
            keys: BTreeMap::new(),
            queue: BTreeSet::new(),
            next_task_id: 1,
            retry_budget: Budget::new(options.retry_budget, RETRY_BURST_REQUESTS),
            slot_share: 1.0,
            handed_over: false,
        }
    }

    pub(crate) fn update(&mut self, nodes: &[&UpstreamEntry], options: &Options) {
        self.handed_over = false;
        self.retry_budget.set_ratio(options.retry_budget);
        self.options = options.clone();
        for node in nodes.iter().filter(|n| n.group() == self.id) {
            match self.upstreams.iter_mut().find(|u| u.id == node.id) {
                Some(known) => {
                    known.slots = node.max_concurrency;
                    if node.leaving {
                        known.mark_leaving();
                    }
                }
                None => self.upstreams.push(Health::new(node, options.slow_start)),
            }
        }
    }

    pub(crate) fn set_share(&mut self, share: f64) {
        self.slot_share = share;
    }

    pub(crate) fn handed_over(&self) -> bool {
        self.handed_over
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.tasks.is_empty() && self.upstreams.iter().all(|u| u.in_flight.is_empty())
    }

    /// Removes the queued requests and returns their keys; those in flight stay.
    pub(crate) fn take_queued(&mut self) -> Vec<Key> {
        self.handed_over = true;
        let queued = std::mem::take(&mut self.queue);
        let mut keys = Vec::with_capacity(queued.len());
        for (_, task_id) in queued {
            if let Some(task) = self.tasks.remove(&task_id) {
                self.keys.remove(&task.leaf.key);
                keys.push(task.leaf.key);
            }
        }
        keys
    }

    pub(crate) fn in_flight(&self, upstream: Upstream) -> usize {
        self.upstreams.iter().find(|u| u.id == upstream).map_or(0, |u| u.in_flight.len())
    }

    pub(crate) fn estimate(
        &self,
        now: Millis,
        upstream: Upstream,
    ) -> Option<(Rank, Option<&HeldSnapshots>, f64)> {
        let health = self.upstreams.iter().find(|u| u.id == upstream)?;
        Some((health.rank(now), health.snapshots(), health.latency_ms.get()))
    }

    pub(crate) fn holds(&self, snapshot: Snapshot) -> bool {
        self.upstreams.iter().any(|u| !u.is_leaving() && u.holds(snapshot))
    }

    pub(crate) fn set_snapshots(&mut self, upstream: Upstream, snapshots: HeldSnapshots) {
        if let Some(health) = self.upstreams.iter_mut().find(|u| u.id == upstream) {
            health.set_snapshots(snapshots);
        }
    }

    pub(crate) fn mark_restarted(&mut self, upstream: Upstream) {
        if let Some(health) = self.upstreams.iter_mut().find(|u| u.id == upstream) {
            health.reset();
        }
    }

    pub(crate) fn mark_leaving(&mut self, now: Millis, upstream: Upstream, out: &mut Vec<Action>) {
        let Some(health) = self.upstreams.iter_mut().find(|u| u.id == upstream) else { return };
        if health.mark_leaving() {
            log_decision(None, upstream, DecisionKind::Leaving, SmallVec::new(), out);
        }
        self.fail_unservable(now, out);
    }

    pub(crate) fn enqueue(
        &mut self,
        now: Millis,
        replicas: &[Upstream],
        leaf: Leaf,
        service: &mut ServiceContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let index = |id: &Upstream| self.upstreams.iter().position(|u| u.id == *id);
        let mut eligible: SmallVec<[usize; 4]> = replicas.iter().filter_map(index).collect();
        let candidates = self.candidates(now, &eligible);
        if let Some(bound) = self.policy.bind(now, &candidates) {
            eligible = SmallVec::from_slice(&eligible[bound..=bound]);
        }
        let task_id = self.next_task_id;
        self.next_task_id += 1;
        self.keys.insert(leaf.key, task_id);
        self.queue.insert((leaf.deadline, task_id));
        let task = Task {
            leaf,
            arrived: now,
            queue_wait: None,
            eligible,
            in_flight: SmallVec::new(),
            sends: 0,
            hedged: false,
            last_failure: None,
        };
        self.tasks.insert(task_id, task);
        if self.should_return_now(now, task_id) {
            return self.answer(now, task_id, Outcome::Crowded, out);
        }
        self.fill_slots(now, service, out);
        self.fail_if_unservable(now, task_id, out);
    }

    /// Drops a request whose outcome the entry VM no longer wants, without an answer. Its sends in
    /// flight are cancelled, except those of an order; each takes a slot until it has ended.
    pub(crate) fn cancel(&mut self, key: Key, out: &mut Vec<Action>) {
        if let Some(task_id) = self.keys.get(&key).copied() {
            self.remove(task_id, out);
        }
    }

    pub(crate) fn tick(
        &mut self,
        now: Millis,
        service: &mut ServiceContext<'_>,
        out: &mut Vec<Action>,
    ) {
        if self.tasks.is_empty() {
            return;
        }
        self.expire_tasks(now, out);
        self.mark_late(now, service, out);
        // A queued request whose snapshot has meanwhile been released by the last upstream would
        // otherwise wait until its deadline.
        self.fail_unservable(now, out);
        self.fill_slots(now, service, out);
    }

    pub(crate) fn fill_slots(
        &mut self,
        now: Millis,
        service: &mut ServiceContext<'_>,
        out: &mut Vec<Action>,
    ) {
        if self.options.hedge_first {
            self.hedge_late(now, service, out);
            self.send_queued(now, service, out);
        } else {
            self.send_queued(now, service, out);
            self.hedge_late(now, service, out);
        }
    }

    /// Sends queued requests to upstreams with free slots.
    pub(crate) fn send_queued(
        &mut self,
        now: Millis,
        service: &mut ServiceContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let overloaded = self.is_overloaded();
        let mut from = (Millis::ZERO, 0);
        for _ in 0..MAX_SCANNED_REQUESTS {
            if !self.upstreams.iter().any(|u| u.has_free_slot(now, self.slot_share, overloaded)) {
                return;
            }
            let Some(at) = self.queue.range(from..).next().copied() else { return };
            from = (at.0, at.1 + 1);
            let Some(task) = self.tasks.get(&at.1) else { continue };
            let usable = self.usable(task);
            let candidates = self.candidates(now, &usable);
            let Some(chosen) = self.policy.choose(now, &candidates) else { continue };
            let kind = if task.sends == 0 { DecisionKind::Send } else { DecisionKind::Retry };
            self.queue.remove(&at);
            if kind == DecisionKind::Send {
                service.hedge.record_request();
                self.retry_budget.earn();
            }
            self.send(now, at.1, usable[chosen], kind, service, out);
        }
    }

    pub(crate) fn send(
        &mut self,
        now: Millis,
        task_id: u64,
        index: usize,
        kind: DecisionKind,
        service: &mut ServiceContext<'_>,
        out: &mut Vec<Action>,
    ) {
        let traced = self.tasks.get(&task_id).is_some_and(|t| t.leaf.traced);
        let skipped = if traced { self.skipped(now, task_id, index) } else { SmallVec::new() };
        let Some(task) = self.tasks.get_mut(&task_id) else { return };
        let send_id = service.allocate_send_id();
        task.sends += 1;
        task.hedged |= kind == DecisionKind::Hedge;
        task.queue_wait.get_or_insert(now - task.arrived);
        task.in_flight.push((send_id, index));
        let upstream = &mut self.upstreams[index];
        upstream.in_flight.push(InFlight {
            send_id,
            task: task_id,
            sent_at: now,
            counted_late: false,
            cancelled: false,
        });
        if traced {
            log_decision(Some(task.leaf.key), upstream.id, kind, skipped, out);
        }
        out.push(Action::Send { send_id, upstream: upstream.id, leaf: task.leaf.clone() });
    }

    fn fail_unservable(&mut self, now: Millis, out: &mut Vec<Action>) {
        let queued: Vec<u64> = self.queue.iter().map(|(_, task_id)| *task_id).collect();
        for task_id in queued {
            self.fail_if_unservable(now, task_id, out);
        }
    }

    /// Answers a queued request at once if no upstream can be sent it any more.
    pub(crate) fn fail_if_unservable(&mut self, now: Millis, task_id: u64, out: &mut Vec<Action>) {
        let Some(task) = self.tasks.get_mut(&task_id) else { return };
        if !task.in_flight.is_empty() || !self.queue.contains(&(task.leaf.deadline, task_id)) {
            return;
        }
        if task.leaf.deadline <= now {
            self.answer(now, task_id, Outcome::Expired, out);
            return;
        }
        let is_staying = |i: &&usize| !self.upstreams[**i].is_leaving();
        let staying: SmallVec<[usize; 4]> =
            task.eligible.iter().filter(is_staying).copied().collect();
        if staying.is_empty() {
            self.answer_last_failure(now, task_id, out);
        } else if !task.leaf.is_order()
            && !staying.iter().any(|i| self.upstreams[*i].holds(task.leaf.snapshot))
        {
            task.last_failure = Some(Outcome::Gone);
            self.answer_last_failure(now, task_id, out);
        }
    }
}

pub(crate) fn log_decision(
    key: Option<Key>,
    upstream: Upstream,
    kind: DecisionKind,
    skipped: SmallVec<[(Upstream, SkipReason); 4]>,
    out: &mut Vec<Action>,
) {
    out.push(Action::LogDecision(Decision { key, upstream, kind, skipped }));
}
