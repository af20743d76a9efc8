use crate::{
    groups::Groups,
    message::{Ask, Message, Told},
    orders::{ORDERS, Orders},
    step::{Input, Note, Options, Output, Tap},
};
use smallvec::SmallVec;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use tgw_clock::Millis;
use tgw_dispatch::{
    Leaf, Owner, Rank,
    leaf::{Held, Outcome, Work},
    owner,
};
use tgw_owner::{Directory, Map};
use tgw_query::{Action, Entry, Event, Owners, Stats, View};
use tgw_table::Document;
use tgw_topology::{Catalog, Group, Place, Upstream, Vm, catalog::Index, place::Distance};

/// How often rights to groups are looked over.
const GROUPS: Millis = Millis::new(100);
/// How often a VM that works for others says that it lives.
const ALIVE: Millis = Millis::new(20);
/// How often VMs that were silent are asked whether they live.
const PROBE: Millis = Millis::new(100);
/// How long a VM that starts waits to meet the others before it takes what nobody else owns.
const JOIN: Millis = Millis::new(1000);
/// How long an upstream that was told to be leaving stays so without being told again.
const LEAVING: Millis = Millis::new(60_000);

/// Owners as the entry asks for them.
pub(crate) struct Seen<'a> {
    pub(crate) map: &'a Map,
    pub(crate) index: &'a Index,
}

impl Owners for Seen<'_> {
    fn owners(&self, group: Group) -> SmallVec<[Vm; 2]> {
        let place = self.index.get(group).map(|m| m.place);
        place.map(|place| self.map.owners(group, place)).unwrap_or_default()
    }

    fn place(&self, vm: Vm) -> Option<Place> {
        self.map.directory().members.get(&vm).map(|m| m.place)
    }
}

/// The decision core of one VM.
pub struct Node {
    pub(crate) me: Vm,
    pub(crate) place: Place,
    pub(crate) distance: Distance,
    pub(crate) dispatch: owner::Options,
    pub(crate) entry: Entry,
    pub(crate) orders: Orders,
    pub(crate) owner: Owner,
    pub(crate) groups: Groups,
    pub(crate) map: Map,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) index: Index,
    pub(crate) table: Option<Arc<Document>>,
    /// Upstreams known to leave, and since when, whatever else says that they are well.
    pub(crate) leaving: BTreeMap<Upstream, Millis>,
    /// VMs whose requests are worked on.
    pub(crate) working_for: BTreeSet<Vm>,
    pub(crate) looked_over: Millis,
    pub(crate) said_alive: Millis,
    pub(crate) probed: Millis,
    pub(crate) draining: bool,
    /// Whether the VM has met another one, or has waited long enough to count itself alone.
    pub(crate) joined: bool,
    pub(crate) tap: Option<Box<dyn Tap>>,
}

impl Node {
    /// A core that knows nothing of the world yet.
    pub fn new(options: Options) -> Self {
        Self {
            me: options.entry.vm,
            place: options.place,
            distance: options.distance,
            dispatch: options.dispatch,
            orders: Orders::new(options.entry.vm, options.entry.incarnation),
            entry: Entry::new(options.entry),
            owner: Owner::new(options.policy),
            groups: Groups::default(),
            map: Map::new(Arc::default()),
            catalog: Arc::default(),
            index: Index::default(),
            table: None,
            leaving: BTreeMap::new(),
            working_for: BTreeSet::new(),
            looked_over: Millis::ZERO,
            said_alive: Millis::ZERO,
            probed: Millis::ZERO,
            draining: false,
            joined: false,
            tap: None,
        }
    }

    /// Counts of the entry.
    pub fn stats(&self) -> &Stats {
        self.entry.stats()
    }

    /// The entry, for its figures.
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
        self.map.directory()
    }

    /// Whether the VM has met another one, or has counted itself alone, so that ownership is settled.
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// The owner of a group as this VM sees it.
    pub fn owner_of(&self, group: Group) -> Option<Vm> {
        Seen { map: &self.map, index: &self.index }.owners(group).first().copied()
    }

    /// The groups that this VM owns.
    pub fn owned(&self) -> Vec<Group> {
        self.groups.owned().collect()
    }

    /// Requests running on an upstream from here.
    pub fn running(&self, upstream: Upstream) -> usize {
        self.owner.running(upstream)
    }

    /// What the owner believes of an upstream, if this VM dispatches to it.
    pub fn belief(&self, now: Millis, upstream: Upstream) -> Option<(Rank, Option<&Held>, f64)> {
        self.owner.belief(now, upstream)
    }

    /// Whether an upstream is known to leave.
    pub fn is_leaving(&self, upstream: Upstream) -> bool {
        self.leaving.contains_key(&upstream)
    }

    /// Counts of the clerk.
    pub fn clerk_stats(&self) -> &tgw_order::Stats {
        self.orders.stats()
    }

    /// Whether nothing is left to finish.
    pub fn idle(&self) -> bool {
        self.entry.pending() == 0 && self.owner.pending() == 0 && self.orders.pending() == 0
    }

    /// Listens to all that goes in and comes out from now on.
    pub fn tap(&mut self, tap: Box<dyn Tap>) {
        self.tap = Some(tap);
    }

    /// Handles one input at `now` and appends what must be done.
    pub fn on(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) {
        let from = out.len();
        if let Some(tap) = &mut self.tap {
            tap.input(now, &input);
        }
        self.handle(now, input, out);
        if let Some(tap) = &mut self.tap {
            tap.outputs(&out[from..]);
        }
    }

    pub(crate) fn handle(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Submit { token, service, within, body } => {
                self.at_entry(now, Event::Submit { token, service, within, body }, out);
            }
            Input::Abandon(token) => self.at_entry(now, Event::Abandon(token), out),
            Input::Peer(from, message) => self.peer(now, from, message, out),
            Input::Lost(vm) => self.lost(now, vm, out),
            Input::Done { ticket, result, held } => {
                self.at_owner(now, owner::Event::Done { ticket, result, held }, out);
            }
            Input::Leaving(upstream) => self.upstream_leaves(now, upstream, true, out),
            Input::Restarted(upstream) => {
                self.leaving.remove(&upstream);
                self.at_owner(now, owner::Event::Restarted(upstream), out);
            }
            Input::Held(upstream, held) => {
                self.at_owner(now, owner::Event::Held(upstream, held), out);
            }
            Input::Order(intake) => self.order(now, intake, out),
            Input::Store(event) => {
                let steps = self.orders.clerk(now, event);
                self.order_steps(now, steps, out);
            }
            Input::Catalog(catalog) => self.set_catalog(now, catalog, out),
            Input::Table(table) => {
                self.table = Some(table);
                self.describe();
            }
            Input::Directory(directory) => self.set_directory(now, directory, out),
            Input::Paused => self.resume(now, out),
            Input::Drain => {
                self.draining = true;
                self.entry.drain();
            }
            Input::Tick => self.tick(now, out),
        }
    }

    pub(crate) fn peer(&mut self, now: Millis, from: Vm, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Ask(ask) => self.asked(now, from, ask, out),
            Message::Cancel(key) => self.at_owner(now, owner::Event::Cancel(key), out),
            Message::Outcome(told) if told.key.query.number >= ORDERS => {
                let steps = self.orders.outcome(now, &told);
                self.order_steps(now, steps, out);
            }
            Message::Order(order) => {
                let steps = self.orders.asked(now, from, order);
                self.order_steps(now, steps, out);
            }
            Message::Ordered(number, outcome) => {
                if let Some(token) = self.orders.told(number) {
                    out.push(Output::Ordered(token, outcome));
                }
            }
            Message::Outcome(Told { key, outcome, stock, extra, waited, pressure }) => {
                let event = Event::Outcome { from, key, outcome, stock, extra, waited, pressure };
                self.at_entry(now, event, out);
            }
            Message::Probe => out.push(Output::Tell(from, Message::Alive)),
            Message::Alive => self.at_entry(now, Event::Heard(from), out),
            Message::Leaving(upstream) => self.upstream_leaves(now, upstream, false, out),
        }
    }

    pub(crate) fn asked(&mut self, now: Millis, from: Vm, ask: Ask, out: &mut Vec<Output>) {
        if from != self.me {
            self.working_for.insert(from);
        }
        let Ask { group, stand_in, key, snapshot, left, patience, body, traced, work } = ask;
        if stand_in {
            let steps = self.groups.stand_in(now, group);
            self.carry_out(now, group, steps, "stands in: the owner is silent", out);
        }
        if !self.groups.serves(group) {
            let outcome = Outcome::Moved(self.owner_of(group).filter(|vm| *vm != self.me));
            return self.tell(now, from, Message::Outcome(Told::bare(key, outcome)), out);
        }
        let replicas = match &work {
            Work::Search => self.catalog.replicas(group.service, snapshot.layout, key.shard).into(),
            Work::Order(_) => self.upstreams(group),
        };
        let give_back = patience.map(|p| now + p);
        let leaf = Leaf { key, snapshot, deadline: now + left, give_back, body, traced, work };
        self.at_owner(now, owner::Event::Ask { group, replicas, leaf }, out);
    }

    /// Works with the entry and what it reads.
    pub(crate) fn with_view<T>(&mut self, work: impl FnOnce(&mut Entry, &View<'_>) -> T) -> T {
        let seen = Seen { map: &self.map, index: &self.index };
        let view = View {
            catalog: &self.catalog,
            index: &self.index,
            table: self.table.as_deref(),
            owners: &seen,
            here: self.place,
            distance: self.distance,
        };
        work(&mut self.entry, &view)
    }

    pub(crate) fn at_entry(&mut self, now: Millis, event: Event, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.with_view(|entry, view| entry.on(now, event, view, &mut actions));
        for action in actions {
            match action {
                Action::Ask { to, group, stand_in, leaf } => {
                    let Leaf { key, snapshot, deadline, give_back, body, traced, work } = leaf;
                    let left = deadline - now;
                    let patience = give_back.map(|at| at - now);
                    let ask =
                        Ask { group, stand_in, key, snapshot, left, patience, body, traced, work };
                    self.tell(now, to, Message::Ask(ask), out);
                }
                Action::Cancel { to, key } => self.tell(now, to, Message::Cancel(key), out),
                Action::Answer { token, answer } => out.push(Output::Answer(token, answer)),
                Action::Refuse { token, refusal } => out.push(Output::Refuse(token, refusal)),
                Action::Note(note) => out.push(Output::Note(Note::Entry(note))),
            }
        }
    }

    pub(crate) fn at_owner(&mut self, now: Millis, event: owner::Event, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.owner.on(now, event, &mut actions);
        for action in actions {
            match action {
                owner::Action::Send { ticket, upstream, leaf } => {
                    out.push(Output::Send { ticket, upstream, leaf });
                }
                owner::Action::Abort { ticket, upstream } => {
                    out.push(Output::Abort { ticket, upstream });
                }
                owner::Action::Answer { key, outcome, stock, extra, waited, pressure } => {
                    let told = Told { key, outcome, stock, extra, waited, pressure };
                    self.tell(now, key.from, Message::Outcome(told), out);
                }
                owner::Action::Note(note) => {
                    if note.what == owner::What::Leaving {
                        self.upstream_leaves(now, note.upstream, true, out);
                    }
                    out.push(Output::Note(Note::Dispatch(note)));
                }
            }
        }
    }

    /// Sends a message; one to this VM itself is handled at once.
    pub(crate) fn tell(&mut self, now: Millis, to: Vm, message: Message, out: &mut Vec<Output>) {
        if to == self.me {
            self.peer(now, to, message, out);
        } else {
            out.push(Output::Tell(to, message));
        }
    }

    pub(crate) fn lost(&mut self, now: Millis, vm: Vm, out: &mut Vec<Output>) {
        self.working_for.remove(&vm);
        self.at_entry(now, Event::Lost(vm), out);
        let steps = self.orders.lost(now, vm);
        self.order_steps(now, steps, out);
    }

    pub(crate) fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.at_entry(now, Event::Tick, out);
        self.at_owner(now, owner::Event::Tick, out);
        let steps = self.orders.tick(now, &self.map);
        self.order_steps(now, steps, out);
        if now - self.looked_over >= GROUPS {
            self.looked_over = now;
            if !self.joined && now >= JOIN {
                self.joined = true;
                self.settle_all(now, "no other VM was met", out);
            }
            self.leaving.retain(|_, since| now - *since < LEAVING);
            for (group, step) in self.groups.tick(now) {
                self.carry_out(now, group, vec![step], "time is up", out);
            }
        }
        if now - self.said_alive >= ALIVE {
            self.said_alive = now;
            if self.owner.pending() == 0 {
                self.working_for.clear();
            }
            for vm in &self.working_for {
                out.push(Output::Tell(*vm, Message::Alive));
            }
        }
        if now - self.probed >= PROBE {
            self.probed = now;
            for vm in self.entry.silent() {
                out.push(Output::Tell(vm, Message::Probe));
            }
        }
    }
}
