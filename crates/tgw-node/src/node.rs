use crate::{
    event::{Decision, Input, Observer, Options, Output},
    groups::Groups,
    message::{Message, Request},
    orders::Orders,
};
use smallvec::SmallVec;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use tgw_clock::Millis;
use tgw_dispatch::{Leaf, Owner, Rank, leaf::HeldSnapshots, owner};
use tgw_owner::{Assignment, Directory};
use tgw_query::{Action, Entry, Event, Owners, Stats, View};
use tgw_table::Document;
use tgw_topology::{Catalog, Group, Place, Upstream, Vm, catalog::Index, place::Latency};

/// Interval of checks of the groups served here.
const GROUP_CHECK_INTERVAL_MS: Millis = Millis::new(100);
/// Interval of heartbeats to the VMs whose requests are worked on.
const HEARTBEAT_INTERVAL_MS: Millis = Millis::new(20);
/// Interval of probes to unresponsive VMs.
const PROBE_INTERVAL_MS: Millis = Millis::new(100);
/// How long a VM that starts waits to learn of another VM before it takes over groups without an owner.
const JOIN_TIMEOUT_MS: Millis = Millis::new(1000);
/// How long an upstream stays marked as leaving after the last report that it leaves.
const LEAVING_RETENTION_MS: Millis = Millis::new(60_000);

/// Owners of groups as the query fan-out looks them up.
pub(crate) struct GroupOwners<'a> {
    pub(crate) assignment: &'a Assignment,
    pub(crate) index: &'a Index,
}

impl Owners for GroupOwners<'_> {
    fn owners(&self, group: Group) -> SmallVec<[Vm; 2]> {
        let place = self.index.get(group).map(|m| m.place);
        place.map(|place| self.assignment.owners(group, place)).unwrap_or_default()
    }

    /// The region and failure domain of a VM; `None` if the directory does not list it as a member.
    fn place(&self, vm: Vm) -> Option<Place> {
        self.assignment.directory().members.get(&vm).map(|m| m.place)
    }
}

/// The decision core of one VM.
pub struct Node {
    pub(crate) me: Vm,
    pub(crate) place: Place,
    pub(crate) network_delays: Latency,
    pub(crate) dispatch: owner::Options,
    pub(crate) entry: Entry,
    pub(crate) orders: Orders,
    pub(crate) owner: Owner,
    pub(crate) groups: Groups,
    pub(crate) assignment: Assignment,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) index: Index,
    pub(crate) table: Option<Arc<Document>>,
    /// Upstreams marked as leaving, and when; reports that they are healthy do not clear the mark.
    pub(crate) leaving: BTreeMap<Upstream, Millis>,
    /// VMs whose requests are being worked on.
    pub(crate) working_for: BTreeSet<Vm>,
    pub(crate) groups_checked_at: Millis,
    pub(crate) heartbeats_sent_at: Millis,
    pub(crate) probes_sent_at: Millis,
    pub(crate) draining: bool,
    /// Whether the VM has learned of another VM, or has waited long enough to assume there is none.
    pub(crate) joined: bool,
    pub(crate) observer: Option<Box<dyn Observer>>,
}

impl Node {
    /// A core without catalog, table or directory.
    pub fn new(options: Options) -> Self {
        Self {
            me: options.entry.vm,
            place: options.place,
            network_delays: options.network_delays,
            dispatch: options.dispatch,
            orders: Orders::new(options.entry.vm, options.entry.incarnation),
            entry: Entry::new(options.entry),
            owner: Owner::new(options.policy),
            groups: Groups::default(),
            assignment: Assignment::new(Arc::default()),
            catalog: Arc::default(),
            index: Index::default(),
            table: None,
            leaving: BTreeMap::new(),
            working_for: BTreeSet::new(),
            groups_checked_at: Millis::ZERO,
            heartbeats_sent_at: Millis::ZERO,
            probes_sent_at: Millis::ZERO,
            draining: false,
            joined: false,
            observer: None,
        }
    }

    /// Counts of the query fan-out.
    pub fn stats(&self) -> &Stats {
        self.entry.stats()
    }

    /// The query fan-out, for its statistics.
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Services and upstreams in use.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// The table in force.
    pub fn table(&self) -> Option<&Arc<Document>> {
        self.table.as_ref()
    }

    /// The directory in use.
    pub fn directory(&self) -> &Arc<Directory> {
        self.assignment.directory()
    }

    /// Whether groups have owners, as the VM has learned of another VM or assumes that there is none.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// The owner of a group in this VM's view of membership.
    pub fn owner_of(&self, group: Group) -> Option<Vm> {
        GroupOwners { assignment: &self.assignment, index: &self.index }
            .owners(group)
            .first()
            .copied()
    }

    /// The groups that this VM owns.
    pub fn owned_groups(&self) -> Vec<Group> {
        self.groups.owned().collect()
    }

    /// Requests in flight from this VM to an upstream.
    pub fn in_flight(&self, upstream: Upstream) -> usize {
        self.owner.in_flight(upstream)
    }

    /// The health estimate of an upstream, if this VM dispatches to it.
    pub fn estimate(
        &self,
        now: Millis,
        upstream: Upstream,
    ) -> Option<(Rank, Option<&HeldSnapshots>, f64)> {
        self.owner.estimate(now, upstream)
    }

    /// Whether an upstream is marked as leaving.
    pub fn is_leaving(&self, upstream: Upstream) -> bool {
        self.leaving.contains_key(&upstream)
    }

    /// Counts of orders claimed here.
    pub fn order_stats(&self) -> &tgw_order::Stats {
        self.orders.stats()
    }

    /// Whether no query, leaf request or order is pending.
    pub fn is_idle(&self) -> bool {
        self.entry.pending() == 0 && self.owner.pending() == 0 && self.orders.pending() == 0
    }

    /// Passes all further inputs and outputs to an observer.
    pub fn set_observer(&mut self, observer: Box<dyn Observer>) {
        self.observer = Some(observer);
    }

    /// Handles one input at `now` and appends the outputs.
    pub fn handle(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) {
        let from = out.len();
        if let Some(observer) = &mut self.observer {
            observer.input(now, &input);
        }
        self.handle_input(now, input, out);
        if let Some(observer) = &mut self.observer {
            observer.outputs(&out[from..]);
        }
    }

    pub(crate) fn handle_input(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Submit { token, service, timeout, body } => {
                self.handle_entry_event(now, Event::Submit { token, service, timeout, body }, out);
            }
            Input::CallerDisconnected(token) => {
                self.handle_entry_event(now, Event::Abandon(token), out);
            }
            Input::MessageReceived(from, message) => self.handle_message(now, from, message, out),
            Input::Disconnected(vm) => self.handle_vm_lost(now, vm, out),
            Input::SendEnded { send_id, result, snapshots } => {
                self.handle_owner_event(
                    now,
                    owner::Event::SendEnded { send_id, result, snapshots },
                    out,
                );
            }
            Input::Leaving(upstream) => self.mark_leaving(now, upstream, true, out),
            Input::Restarted(upstream) => {
                self.leaving.remove(&upstream);
                self.handle_owner_event(now, owner::Event::Restarted(upstream), out);
            }
            Input::SnapshotsReported(upstream, snapshots) => {
                self.handle_owner_event(
                    now,
                    owner::Event::SnapshotsReported(upstream, snapshots),
                    out,
                );
            }
            Input::Order(incoming) => self.submit_order(now, incoming, out),
            Input::StoreAnswered(event) => {
                let effects = self.orders.run_worker(now, event);
                self.apply_order_effects(now, effects, out);
            }
            Input::Catalog(catalog) => self.set_catalog(now, catalog, out),
            Input::Table(table) => {
                self.table = Some(table);
                self.update_served_groups();
            }
            Input::Directory(directory) => self.set_directory(now, directory, out),
            Input::Paused => self.handle_pause(now, out),
            Input::Drain => {
                self.draining = true;
                self.entry.drain();
            }
            Input::Tick => self.tick(now, out),
        }
    }

    pub(crate) fn with_view<T>(&mut self, work: impl FnOnce(&mut Entry, &View<'_>) -> T) -> T {
        let owners = GroupOwners { assignment: &self.assignment, index: &self.index };
        let view = View {
            catalog: &self.catalog,
            index: &self.index,
            table: self.table.as_deref(),
            owners: &owners,
            local_place: self.place,
            network_delays: self.network_delays,
        };
        work(&mut self.entry, &view)
    }

    pub(crate) fn handle_entry_event(&mut self, now: Millis, event: Event, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.with_view(|entry, view| entry.handle(now, event, view, &mut actions));
        for action in actions {
            match action {
                Action::Request { to, group, stand_in, leaf } => {
                    let Leaf { key, snapshot, deadline, queue_deadline, body, traced, operation } =
                        leaf;
                    let remaining = deadline - now;
                    let queue_timeout = queue_deadline.map(|at| at - now);
                    let request = Request {
                        group,
                        stand_in,
                        key,
                        snapshot,
                        remaining,
                        queue_timeout,
                        body,
                        log_decisions: traced,
                        operation,
                    };
                    self.send_message(now, to, Message::Request(request), out);
                }
                Action::Cancel { to, key } => self.send_message(now, to, Message::Cancel(key), out),
                Action::Answer { token, answer } => out.push(Output::Answer(token, answer)),
                Action::Refuse { token, refusal } => out.push(Output::Refuse(token, refusal)),
                Action::LogDecision(decision) => {
                    out.push(Output::LogDecision(Decision::Query(decision)));
                }
            }
        }
    }

    pub(crate) fn handle_owner_event(
        &mut self,
        now: Millis,
        event: owner::Event,
        out: &mut Vec<Output>,
    ) {
        let mut actions = Vec::new();
        self.owner.handle(now, event, &mut actions);
        for action in actions {
            match action {
                owner::Action::Send { send_id, upstream, leaf } => {
                    out.push(Output::Send { send_id, upstream, leaf });
                }
                owner::Action::Cancel { send_id, upstream } => {
                    out.push(Output::Cancel { send_id, upstream });
                }
                answer @ owner::Action::Answer { .. } => self.send_outcome(now, answer, out),
                owner::Action::LogDecision(decision) => {
                    if decision.kind == owner::DecisionKind::Leaving {
                        self.mark_leaving(now, decision.upstream, true, out);
                    }
                    out.push(Output::LogDecision(Decision::Dispatch(decision)));
                }
            }
        }
    }

    pub(crate) fn handle_vm_lost(&mut self, now: Millis, vm: Vm, out: &mut Vec<Output>) {
        self.working_for.remove(&vm);
        self.handle_entry_event(now, Event::Disconnected(vm), out);
        let effects = self.orders.handle_vm_lost(now, vm);
        self.apply_order_effects(now, effects, out);
    }

    pub(crate) fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.handle_entry_event(now, Event::Tick, out);
        self.handle_owner_event(now, owner::Event::Tick, out);
        let effects = self.orders.tick(now, &self.assignment);
        self.apply_order_effects(now, effects, out);
        if now - self.groups_checked_at >= GROUP_CHECK_INTERVAL_MS {
            self.groups_checked_at = now;
            if !self.joined && now >= JOIN_TIMEOUT_MS {
                self.joined = true;
                self.reconcile_groups(now, "no other VM was met", out);
            }
            self.leaving.retain(|_, since| now - *since < LEAVING_RETENTION_MS);
            for (group, effect) in self.groups.tick(now) {
                self.apply_group_effects(now, group, vec![effect], "time is up", out);
            }
        }
        if now - self.heartbeats_sent_at >= HEARTBEAT_INTERVAL_MS {
            self.heartbeats_sent_at = now;
            if self.owner.pending() == 0 {
                self.working_for.clear();
            }
            for vm in &self.working_for {
                out.push(Output::SendMessage(*vm, Message::Heartbeat));
            }
        }
        if now - self.probes_sent_at >= PROBE_INTERVAL_MS {
            self.probes_sent_at = now;
            for vm in self.entry.unresponsive_vms() {
                out.push(Output::SendMessage(vm, Message::Probe));
            }
        }
    }
}
