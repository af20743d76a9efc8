//! All replica groups that a VM owns.

use crate::{
    group::{Group, ServiceContext},
    leaf::{Failure, HeldSnapshots, Key, Leaf, Outcome, Reply, SnapshotCounts},
    policy::Policy,
};
use std::collections::BTreeMap;
use tgw_clock::Millis;
use tgw_tail::Hedge;
use tgw_topology::{Group as GroupId, Service, Snapshot, Upstream, catalog::UpstreamEntry};

/// Identifies one send of a request to an upstream.
pub type SendId = u64;

/// Input of the owner.
#[derive(Debug)]
pub enum Event {
    /// A request for a shard of `group`; `replicas` hold the shard.
    Request {
        /// The replica group.
        group: GroupId,
        /// The replicas of the shard, in this and other groups.
        replicas: tgw_topology::catalog::Replicas,
        /// The request.
        leaf: Leaf,
    },
    /// The entry VM no longer wants the outcome.
    Cancel(Key),
    /// A send has ended.
    SendEnded {
        /// The send.
        send_id: SendId,
        /// The reply, or the reason why there is none.
        result: Result<Reply, Failure>,
        /// The snapshots that the upstream reports to hold.
        snapshots: Option<HeldSnapshots>,
    },
    /// An upstream is leaving, as reported by any source.
    Leaving(Upstream),
    /// An upstream replied with another incarnation than before: its process was restarted.
    Restarted(Upstream),
    /// The snapshots that an upstream reports to hold.
    SnapshotsReported(Upstream, HeldSnapshots),
    /// Periodic tick for deadlines, hedges and probes.
    Tick,
}

/// Output of the owner, to be carried out by the caller.
#[derive(Debug)]
pub enum Action {
    /// Send a request to an upstream.
    Send {
        /// Identifies the send in [`Event::SendEnded`].
        send_id: SendId,
        /// The upstream.
        upstream: Upstream,
        /// The request.
        leaf: Leaf,
    },
    /// Cancel a request on an upstream; [`Event::SendEnded`] still follows.
    Cancel {
        /// The send.
        send_id: SendId,
        /// The upstream.
        upstream: Upstream,
    },
    /// Report the outcome of a request to the entry VM.
    Answer {
        /// The request.
        key: Key,
        /// The outcome.
        outcome: Outcome,
        /// The snapshots that the group's upstreams hold, if known.
        snapshot_counts: Option<SnapshotCounts>,
        /// Sends beyond the first.
        extra_sends: u8,
        /// Time in the queue before the first send.
        queue_wait: Millis,
        /// Queued and in-flight requests of the group as a ratio of its slots.
        load_ratio: f32,
    },
    /// Log a decision.
    LogDecision(Decision),
}

/// A dispatch decision for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The request, if the decision is about one.
    pub key: Option<Key>,
    /// The upstream.
    pub upstream: Upstream,
    /// The kind of decision.
    pub kind: DecisionKind,
    /// Upstreams that were not chosen, with the reason.
    pub skipped: smallvec::SmallVec<[(Upstream, SkipReason); 4]>,
}

/// Why an upstream was not chosen for a request.
#[derive(Copy, Clone, Debug, derive_more::Display, PartialEq, Eq)]
pub enum SkipReason {
    /// All of its usable slots are taken.
    #[display("busy")]
    Busy,
    /// A request on it is overdue, or its ejection has ended.
    #[display("suspect")]
    Suspect,
    /// It was ejected after failures.
    #[display("ejected")]
    Ejected,
    /// It is leaving.
    #[display("leaving")]
    Leaving,
    /// It does not hold the snapshot.
    #[display("snapshot not held")]
    Gone,
    /// An earlier send to it failed, or the request is bound to another upstream.
    #[display("tried")]
    Tried,
    /// The policy preferred another upstream.
    #[display("ranked lower")]
    Lower,
}

/// The kind of a dispatch decision.
#[derive(Copy, Clone, Debug, derive_more::Display, PartialEq)]
pub enum DecisionKind {
    /// Sent for the first time.
    #[display("send")]
    Send,
    /// Sent to a second upstream because the first is late.
    #[display("hedge")]
    Hedge,
    /// Sent again because an earlier send failed.
    #[display("retry")]
    Retry,
    /// The upstream is suspected: a request on it is overdue.
    #[display("suspect")]
    Suspect,
    /// The upstream is ejected after failures.
    #[display("eject")]
    Eject,
    /// The upstream is leaving and gets no new work.
    #[display("leaving")]
    Leaving,
}

/// Dispatch options of a group.
#[derive(Clone, Debug)]
pub struct Options {
    /// Budget of hedges, as a ratio of all requests.
    pub hedge_budget: f64,
    /// Budget of retries, as a ratio of all requests.
    pub retry_budget: f64,
    /// Most sends of one request.
    pub max_attempts: u8,
    /// Suspect an upstream once its oldest request is overdue.
    pub suspect_overdue: bool,
    /// Start new upstreams with a concurrency limit of one and raise it with each successful reply.
    pub slow_start: bool,
    /// Hedge late requests before queued requests are sent.
    pub hedge_first: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            hedge_budget: 0.03,
            retry_budget: 0.1,
            max_attempts: 3,
            suspect_overdue: true,
            slow_start: false,
            hedge_first: true,
        }
    }
}

/// The replica groups that a VM owns and dispatches to.
pub struct Owner {
    groups: BTreeMap<GroupId, Group>,
    /// The group of each send, looked up when the send ends.
    sends: BTreeMap<SendId, GroupId>,
    /// The group of each request, looked up on cancellation.
    keys: BTreeMap<Key, GroupId>,
    upstreams: BTreeMap<Upstream, GroupId>,
    next_send_id: SendId,
    hedges: BTreeMap<Service, Hedge>,
    new_policy: Box<dyn Fn(GroupId) -> Box<dyn Policy> + Send>,
}

impl Owner {
    /// An owner without groups; `new_policy` creates the policy of each group.
    pub fn new(new_policy: Box<dyn Fn(GroupId) -> Box<dyn Policy> + Send>) -> Self {
        Self {
            groups: BTreeMap::new(),
            sends: BTreeMap::new(),
            keys: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            next_send_id: 0,
            hedges: BTreeMap::new(),
            new_policy,
        }
    }

    /// Starts to dispatch to `nodes` of a group, or updates their description and the options.
    pub fn serve_group(&mut self, id: GroupId, nodes: &[&UpstreamEntry], options: &Options) {
        let new_policy = &self.new_policy;
        let group =
            self.groups.entry(id).or_insert_with(|| Group::new(id, options, new_policy(id)));
        group.update(nodes, options);
        let new_hedge = || Hedge::new(options.hedge_budget);
        self.hedges.entry(id.service).or_insert_with(new_hedge).set_ratio(options.hedge_budget);
        self.upstreams.extend(nodes.iter().map(|n| (n.id, id)));
    }

    /// Sets the fraction of a group's slots that may be used, less than 1 while two VMs may both
    /// own it.
    pub fn set_slot_share(&mut self, id: GroupId, share: f64) {
        if let Some(group) = self.groups.get_mut(&id) {
            group.set_share(share);
        }
    }

    /// Stops dispatching to a group: queued requests are answered [`Outcome::Moved`], so that the
    /// entry VM sends them to the new owner; in-flight requests are finished here.
    pub fn hand_over(&mut self, id: GroupId, to: Option<tgw_topology::Vm>, out: &mut Vec<Action>) {
        if let Some(group) = self.groups.get_mut(&id) {
            for key in group.take_queued() {
                self.keys.remove(&key);
                let outcome = Outcome::Moved(to);
                let queue_wait = Millis::ZERO;
                out.push(Action::Answer {
                    key,
                    outcome,
                    snapshot_counts: None,
                    extra_sends: 0,
                    queue_wait,
                    load_ratio: 0.0,
                });
            }
        }
    }

    /// Removes a group that was handed over, once it has no requests left; true if it is removed.
    pub fn remove_idle_group(&mut self, id: GroupId) -> bool {
        let is_idle = self.groups.get(&id).is_none_or(Group::is_idle);
        if is_idle {
            self.groups.remove(&id);
            self.upstreams.retain(|_, group| *group != id);
        }
        is_idle
    }

    /// Whether the VM dispatches to a group.
    pub fn owns(&self, id: GroupId) -> bool {
        self.groups.contains_key(&id)
    }

    /// Queued and in-flight requests.
    pub fn pending(&self) -> usize {
        self.keys.len()
    }

    /// Requests in flight on an upstream.
    pub fn in_flight(&self, upstream: Upstream) -> usize {
        self.group_of(upstream).map_or(0, |g| g.in_flight(upstream))
    }

    /// Estimate of an upstream: rank, snapshots, recent latency in milliseconds.
    pub fn estimate(
        &self,
        now: Millis,
        upstream: Upstream,
    ) -> Option<(crate::Rank, Option<&HeldSnapshots>, f64)> {
        self.group_of(upstream)?.estimate(now, upstream)
    }

    /// Whether any upstream of a group holds a snapshot; one that has not reported its snapshots is
    /// assumed to.
    pub fn holds(&self, id: GroupId, snapshot: Snapshot) -> bool {
        self.groups.get(&id).is_some_and(|g| g.holds(snapshot))
    }

    fn group_of(&self, upstream: Upstream) -> Option<&Group> {
        self.groups.get(self.upstreams.get(&upstream)?)
    }

    /// Handles one event at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        let first_new = out.len();
        match event {
            Event::Request { group, replicas, leaf } => {
                self.enqueue(now, group, &replicas, leaf, out);
            }
            Event::Cancel(key) => {
                if let Some(group) = self.keys.remove(&key).and_then(|g| self.groups.get_mut(&g)) {
                    group.cancel(key, out);
                }
            }
            Event::SendEnded { send_id, result, snapshots } => {
                let id = self.sends.remove(&send_id);
                if let Some((group, mut service)) = id.and_then(|g| self.with_service(g)) {
                    group.finish_send(now, send_id, result, snapshots, &mut service, out);
                }
            }
            Event::Leaving(upstream) => {
                if let Some(group) = self.group_mut(upstream) {
                    group.mark_leaving(now, upstream, out);
                }
            }
            Event::Restarted(upstream) => {
                if let Some(group) = self.group_mut(upstream) {
                    group.mark_restarted(upstream);
                }
            }
            Event::SnapshotsReported(upstream, snapshots) => {
                if let Some(group) = self.group_mut(upstream) {
                    group.set_snapshots(upstream, snapshots);
                }
            }
            Event::Tick => {
                let (next_send_id, hedges) = (&mut self.next_send_id, &mut self.hedges);
                for (id, group) in &mut self.groups {
                    if let Some(hedge) = hedges.get_mut(&id.service) {
                        group.tick(now, &mut ServiceContext { next_send_id, hedge }, out);
                    }
                }
            }
        }
        self.update_lookups(&out[first_new..]);
    }

    /// A group with the state that it shares with the other groups of its service.
    fn with_service(&mut self, id: GroupId) -> Option<(&mut Group, ServiceContext<'_>)> {
        let group = self.groups.get_mut(&id)?;
        let hedge = self.hedges.get_mut(&id.service)?;
        Some((group, ServiceContext { next_send_id: &mut self.next_send_id, hedge }))
    }

    fn group_mut(&mut self, upstream: Upstream) -> Option<&mut Group> {
        self.groups.get_mut(self.upstreams.get(&upstream)?)
    }

    fn enqueue(
        &mut self,
        now: Millis,
        id: GroupId,
        replicas: &[Upstream],
        leaf: Leaf,
        out: &mut Vec<Action>,
    ) {
        let key = leaf.key;
        let is_served = self.groups.get(&id).is_some_and(|g| !g.handed_over());
        if is_served {
            self.keys.insert(key, id);
        }
        match self.with_service(id).filter(|_| is_served) {
            Some((group, mut service)) => group.enqueue(now, replicas, leaf, &mut service, out),
            None => out.push(Action::Answer {
                key,
                outcome: Outcome::Moved(None),
                snapshot_counts: None,
                extra_sends: 0,
                queue_wait: Millis::ZERO,
                load_ratio: 0.0,
            }),
        }
    }

    /// Updates the lookups from sends and requests to groups after `actions`.
    fn update_lookups(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { send_id, upstream, .. } => {
                    if let Some(group) = self.upstreams.get(upstream) {
                        self.sends.insert(*send_id, *group);
                    }
                }
                Action::Answer { key, .. } => {
                    self.keys.remove(key);
                }
                Action::Cancel { .. } | Action::LogDecision(_) => {}
            }
        }
    }
}
