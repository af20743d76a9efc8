//! All groups that a VM owns.

use crate::{
    group::{Group, Pool},
    leaf::{Failure, Held, Key, Leaf, Outcome, Reply, Stock},
    pick::Policy,
};
use std::collections::BTreeMap;
use tgw_clock::Millis;
use tgw_tail::Hedge;
use tgw_topology::{Group as GroupId, Service, Snapshot, Upstream, catalog::Node};

/// One sending of a request to an upstream.
pub type Ticket = u64;

/// What the owner is told.
#[derive(Debug)]
pub enum Event {
    /// A request for a shard of `group`; `replicas` hold the shard.
    Ask {
        /// The replica group.
        group: GroupId,
        /// The replicas of the shard, whatever their group.
        replicas: tgw_topology::catalog::Replicas,
        /// The request.
        leaf: Leaf,
    },
    /// The entry VM no longer wants the outcome.
    Cancel(Key),
    /// A sending has ended.
    Done {
        /// The sending.
        ticket: Ticket,
        /// The reply, or why there is none.
        result: Result<Reply, Failure>,
        /// The snapshots that the upstream says it holds.
        held: Option<Held>,
    },
    /// Word that an upstream leaves, from whichever source.
    Leaving(Upstream),
    /// An upstream answers with another incarnation than before.
    Restarted(Upstream),
    /// An upstream's own word on the snapshots it holds.
    Held(Upstream, Held),
    /// Time has passed.
    Tick,
}

/// What must be done.
#[derive(Debug)]
pub enum Action {
    /// Send a request to an upstream.
    Send {
        /// Names the sending in [`Event::Done`].
        ticket: Ticket,
        /// The upstream.
        upstream: Upstream,
        /// The request.
        leaf: Leaf,
    },
    /// Ask an upstream to stop; [`Event::Done`] is still awaited.
    Abort {
        /// The sending.
        ticket: Ticket,
        /// The upstream.
        upstream: Upstream,
    },
    /// Tell the entry VM what came of a request.
    Answer {
        /// The request.
        key: Key,
        /// What came of it.
        outcome: Outcome,
        /// The snapshots that the group's upstreams hold, if known.
        stock: Option<Stock>,
        /// Sendings beyond the first.
        extra: u8,
        /// Time in the queue before the first sending.
        waited: Millis,
        /// Requests that wait or run in the group, as a part of its slots.
        pressure: f32,
    },
    /// A decision for the log.
    Note(Note),
}

/// A decision for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Note {
    /// The request, where one is concerned.
    pub key: Option<Key>,
    /// The upstream.
    pub upstream: Upstream,
    /// What was decided, and why.
    pub what: What,
    /// Upstreams that were passed over, with the reason.
    pub passed: smallvec::SmallVec<[(Upstream, Passed); 4]>,
}

/// Why an upstream was passed over for a request.
#[derive(Copy, Clone, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Passed {
    /// All of its slots that may be used are taken.
    #[display("busy")]
    Busy,
    /// It is overdue or returns from being set aside.
    #[display("suspect")]
    Suspect,
    /// It is set aside after failures.
    #[display("ejected")]
    Ejected,
    /// It leaves.
    #[display("leaving")]
    Leaving,
    /// It does not hold the snapshot.
    #[display("snapshot not held")]
    Gone,
    /// It was tried before.
    #[display("tried")]
    Tried,
    /// Another ranked better.
    #[display("ranked lower")]
    Lower,
}

/// What was decided.
#[derive(Copy, Clone, Debug, derive_more::Display, PartialEq)]
pub enum What {
    /// Sent for the first time.
    #[display("send")]
    Send,
    /// Sent a second time because the first runs late.
    #[display("hedge")]
    Hedge,
    /// Sent again because an earlier sending failed.
    #[display("retry")]
    Retry,
    /// The upstream is no longer trusted: a request on it is overdue.
    #[display("suspect")]
    Suspect,
    /// The upstream is set aside after failures.
    #[display("eject")]
    Eject,
    /// The upstream leaves and gets no new work.
    #[display("leaving")]
    Leaving,
}

/// How the owner works.
#[derive(Clone, Debug)]
pub struct Options {
    /// Extra load allowed for hedges, as a part of all requests.
    pub hedge: f64,
    /// Extra load allowed for retries.
    pub retry: f64,
    /// Most sendings of one request.
    pub attempts: u8,
    /// Stop placing on an upstream while its oldest request is overdue.
    pub suspect: bool,
    /// Upstreams start cold and are ramped up.
    pub ramp: bool,
    /// A late request is hedged before waiting requests are placed.
    pub hedge_first: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { hedge: 0.03, retry: 0.1, attempts: 3, suspect: true, ramp: false, hedge_first: true }
    }
}

/// The groups that a VM owns and dispatches to.
pub struct Owner {
    groups: BTreeMap<GroupId, Group>,
    /// The group of each sending, so that its end finds it.
    tickets: BTreeMap<Ticket, GroupId>,
    /// The group of each request, so that its cancellation finds it.
    keys: BTreeMap<Key, GroupId>,
    upstreams: BTreeMap<Upstream, GroupId>,
    next: Ticket,
    hedges: BTreeMap<Service, Hedge>,
    make: Box<dyn Fn(GroupId) -> Box<dyn Policy> + Send>,
}

impl Owner {
    /// An owner of nothing yet; `make` gives each group its policy.
    pub fn new(make: Box<dyn Fn(GroupId) -> Box<dyn Policy> + Send>) -> Self {
        Self {
            groups: BTreeMap::new(),
            tickets: BTreeMap::new(),
            keys: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            next: 0,
            hedges: BTreeMap::new(),
            make,
        }
    }

    /// Starts to dispatch to `nodes` of a group, or takes over their new description.
    pub fn take(&mut self, id: GroupId, nodes: &[&Node], options: &Options) {
        let make = &self.make;
        let group = self.groups.entry(id).or_insert_with(|| Group::new(id, options, make(id)));
        group.describe(nodes, options);
        let fresh = || Hedge::new(options.hedge);
        self.hedges.entry(id.service).or_insert_with(fresh).set_share(options.hedge);
        self.upstreams.extend(nodes.iter().map(|n| (n.id, id)));
    }

    /// Sets the part of a group's slots that may be used, as while two VMs may both own it.
    pub fn share(&mut self, id: GroupId, share: f64) {
        if let Some(group) = self.groups.get_mut(&id) {
            group.share(share);
        }
    }

    /// Stops dispatching to a group: what waits is answered [`Outcome::Moved`] so that the entry
    /// asks the new owner; what runs is finished here.
    pub fn hand_over(&mut self, id: GroupId, to: Option<tgw_topology::Vm>, out: &mut Vec<Action>) {
        if let Some(group) = self.groups.get_mut(&id) {
            for key in group.release() {
                self.keys.remove(&key);
                let outcome = Outcome::Moved(to);
                let waited = Millis::ZERO;
                out.push(Action::Answer {
                    key,
                    outcome,
                    stock: None,
                    extra: 0,
                    waited,
                    pressure: 0.0,
                });
            }
        }
    }

    /// Forgets a group that was handed over once nothing runs on it; true if it is gone.
    pub fn forget(&mut self, id: GroupId) -> bool {
        let idle = self.groups.get(&id).is_none_or(Group::idle);
        if idle {
            self.groups.remove(&id);
            self.upstreams.retain(|_, group| *group != id);
        }
        idle
    }

    /// Whether the VM dispatches to a group.
    pub fn has(&self, id: GroupId) -> bool {
        self.groups.contains_key(&id)
    }

    /// Requests that wait or run.
    pub fn pending(&self) -> usize {
        self.keys.len()
    }

    /// Requests on an upstream now.
    pub fn running(&self, upstream: Upstream) -> usize {
        self.group_of(upstream).map_or(0, |g| g.running(upstream))
    }

    /// What is believed of an upstream: rank, snapshots, recent latency in milliseconds.
    pub fn belief(
        &self,
        now: Millis,
        upstream: Upstream,
    ) -> Option<(crate::Rank, Option<&Held>, f64)> {
        self.group_of(upstream)?.belief(now, upstream)
    }

    /// Whether a snapshot is held by any upstream of a group, as far as is known.
    pub fn holds(&self, id: GroupId, snapshot: Snapshot) -> bool {
        self.groups.get(&id).is_some_and(|g| g.holds(snapshot))
    }

    fn group_of(&self, upstream: Upstream) -> Option<&Group> {
        self.groups.get(self.upstreams.get(&upstream)?)
    }

    /// Handles one event at `now` and appends what must be done.
    pub fn on(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        let from = out.len();
        match event {
            Event::Ask { group, replicas, leaf } => self.ask(now, group, &replicas, leaf, out),
            Event::Cancel(key) => {
                if let Some(group) = self.keys.remove(&key).and_then(|g| self.groups.get_mut(&g)) {
                    group.cancel(key, out);
                }
            }
            Event::Done { ticket, result, held } => {
                let id = self.tickets.remove(&ticket);
                if let Some((group, mut pool)) = id.and_then(|g| self.pooled(g)) {
                    group.done(now, ticket, result, held, &mut pool, out);
                }
            }
            Event::Leaving(upstream) => {
                if let Some(group) = self.group_mut(upstream) {
                    group.leaving(now, upstream, out);
                }
            }
            Event::Restarted(upstream) => {
                if let Some(group) = self.group_mut(upstream) {
                    group.restarted(upstream);
                }
            }
            Event::Held(upstream, held) => {
                if let Some(group) = self.group_mut(upstream) {
                    group.set_held(upstream, held);
                }
            }
            Event::Tick => {
                let (next, hedges) = (&mut self.next, &mut self.hedges);
                for (id, group) in &mut self.groups {
                    if let Some(hedge) = hedges.get_mut(&id.service) {
                        group.tick(now, &mut Pool { next, hedge }, out);
                    }
                }
            }
        }
        self.index(&out[from..]);
    }

    /// A group with what it shares with the others of its service.
    fn pooled(&mut self, id: GroupId) -> Option<(&mut Group, Pool<'_>)> {
        let group = self.groups.get_mut(&id)?;
        let hedge = self.hedges.get_mut(&id.service)?;
        Some((group, Pool { next: &mut self.next, hedge }))
    }

    fn group_mut(&mut self, upstream: Upstream) -> Option<&mut Group> {
        self.groups.get_mut(self.upstreams.get(&upstream)?)
    }

    fn ask(
        &mut self,
        now: Millis,
        id: GroupId,
        replicas: &[Upstream],
        leaf: Leaf,
        out: &mut Vec<Action>,
    ) {
        let key = leaf.key;
        let serves = self.groups.get(&id).is_some_and(|g| !g.released());
        if serves {
            self.keys.insert(key, id);
        }
        match self.pooled(id).filter(|_| serves) {
            Some((group, mut pool)) => group.ask(now, replicas, leaf, &mut pool, out),
            None => out.push(Action::Answer {
                key,
                outcome: Outcome::Moved(None),
                stock: None,
                extra: 0,
                waited: Millis::ZERO,
                pressure: 0.0,
            }),
        }
    }

    /// Keeps the look-ups from sendings and requests to groups in step with `actions`.
    fn index(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { ticket, upstream, .. } => {
                    if let Some(group) = self.upstreams.get(upstream) {
                        self.tickets.insert(*ticket, *group);
                    }
                }
                Action::Answer { key, .. } => {
                    self.keys.remove(key);
                }
                Action::Abort { .. } | Action::Note(_) => {}
            }
        }
    }
}
