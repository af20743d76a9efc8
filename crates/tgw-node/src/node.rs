use crate::{
    groups::{Groups, HALF, Step},
    message::{Ask, Message, Told},
    orders::{self, ORDERS, Orders},
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use tgw_clock::Millis;
use tgw_dispatch::{
    Leaf, Owner, Rank,
    leaf::{Failure, Held, Outcome, Reply, Work},
    owner::{self, Ticket},
    pick::{Late, Policy},
};
use tgw_owner::{Directory, Map, State};
use tgw_query::{
    Action, Answer, Entry, Event, Owners, Stats, View,
    answer::{Cause, Refusal},
    step::{Note as EntryNote, Token},
};
use tgw_table::Document;
use tgw_topology::{
    Catalog, Group, Place, Service, Upstream, Vm,
    catalog::{Index, Node as Described},
    place::{Distance, Domain},
};

/// What a caller whose order was refused is told to wait.
const RETRY_AFTER: Millis = Millis::new(500);
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

/// How the core works.
pub struct Options {
    /// The entry's options.
    pub entry: tgw_query::Options,
    /// Where the VM lies.
    pub place: Place,
    /// Network delays that estimates start from.
    pub distance: Distance,
    /// How upstreams are chosen in a group.
    pub policy: Box<dyn Fn(Group) -> Box<dyn Policy> + Send>,
    /// How groups are dispatched to; budgets are taken from the table's rows.
    pub dispatch: owner::Options,
}

/// Who a core is and how it is set up: with its inputs, all that its decisions depend on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Identity {
    /// The VM.
    pub vm: Vm,
    /// This life of the VM.
    pub incarnation: u64,
    /// Where it lies.
    pub place: Place,
    /// Network delays that estimates start from.
    pub distance: Distance,
    /// Queries that run at once over all services.
    pub places: u32,
    /// One in this many queries has its decisions logged.
    pub sample: u64,
}

impl Options {
    /// The core as it ships.
    pub fn shipped(identity: &Identity) -> Self {
        let Identity { vm, incarnation, place, distance, places, sample } = identity.clone();
        Self {
            entry: tgw_query::Options { vm, incarnation, places, adapt: true, sample, hedge: true },
            place,
            distance,
            policy: Box::new(|_| Box::new(Late)),
            dispatch: owner::Options { hedge: 1.0, ramp: true, ..owner::Options::default() },
        }
    }
}

/// A caller's order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Intake {
    /// Names the caller's request.
    pub token: Token,
    /// The caller's key.
    pub key: tgw_order::Key,
    /// Seconds since the key was made; `None` if it is from the future.
    pub age_s: Option<u64>,
    /// Time that the caller gives, if less than the row's.
    pub within: Option<Millis>,
    /// What is ordered.
    #[serde(with = "tgw_topology::text")]
    pub body: bytes::Bytes,
}

/// Listens to all that a core is told and does, as for a trace.
pub trait Tap: Send {
    /// The core is told something.
    fn input(&mut self, now: Millis, input: &Input);
    /// What it does about that.
    fn outputs(&mut self, outputs: &[Output]);
}

/// What the core is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Input {
    /// A caller's search.
    Submit {
        /// Names the caller's request.
        token: Token,
        /// The service.
        service: Service,
        /// Time that the caller gives, if less than the row's.
        within: Option<Millis>,
        /// What is searched for.
        #[serde(with = "tgw_topology::text")]
        body: bytes::Bytes,
    },
    /// The caller went away.
    Abandon(Token),
    /// A message from another VM.
    Peer(Vm, Message),
    /// The connection to a VM broke, or it is dead.
    Lost(Vm),
    /// A sending to an upstream has ended.
    Done {
        /// The sending.
        ticket: Ticket,
        /// The reply, or why there is none.
        result: Result<Reply, Failure>,
        /// The snapshots that the upstream says it holds.
        held: Option<Held>,
    },
    /// The upstream's own word, or the platform's, that it leaves.
    Leaving(Upstream),
    /// An upstream answers with another incarnation than before.
    Restarted(Upstream),
    /// An upstream's own word on the snapshots it holds.
    Held(Upstream, Held),
    /// A caller's order.
    Order(Intake),
    /// The store's answer to a call of the clerk.
    Store(tgw_order::Event),
    /// Services and upstreams as the platform describes them now.
    Catalog(Arc<Catalog>),
    /// A newer edition of the table.
    Table(Arc<Document>),
    /// The VMs as membership sees them now.
    Directory(Arc<Directory>),
    /// The VM was paused: others may have taken over what it owned.
    Paused,
    /// The VM leaves: refuse new queries, finish the rest.
    Drain,
    /// Time has passed.
    Tick,
}

/// What must be done.
#[derive(Debug)]
pub enum Output {
    /// Send a message to another VM.
    Tell(Vm, Message),
    /// Send a request to an upstream.
    Send {
        /// Names the sending in [`Input::Done`].
        ticket: Ticket,
        /// The upstream.
        upstream: Upstream,
        /// The request.
        leaf: Leaf,
    },
    /// Ask an upstream to stop.
    Abort {
        /// The sending.
        ticket: Ticket,
        /// The upstream.
        upstream: Upstream,
    },
    /// Answer a caller.
    Answer(Token, Answer),
    /// Tell a caller that the query was not run.
    Refuse(Token, Refusal),
    /// Tell a caller what came of an order.
    Ordered(Token, tgw_order::Outcome),
    /// A call of the platform's store for the clerk, answered by [`Input::Store`].
    Store(tgw_order::Action),
    /// Dispatching to these upstreams begins: connect to them.
    Connect(SmallVec<[Upstream; 4]>),
    /// Dispatching to these upstreams has ended: close their connections.
    Disconnect(SmallVec<[Upstream; 4]>),
    /// A decision for the log.
    Note(Note),
}

/// A decision for the log.
#[derive(Clone, Debug)]
pub enum Note {
    /// About a query, at its entry.
    Entry(EntryNote),
    /// About a leaf request or an upstream, at the owner.
    Dispatch(owner::Note),
    /// About a group.
    Placement(Placement),
}

/// A move of a group between VMs.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The group.
    pub group: Group,
    /// Its upstreams.
    pub upstreams: SmallVec<[Upstream; 4]>,
    /// Its owner now, as this VM sees it.
    pub owner: Option<Vm>,
    /// What this VM does, and why.
    pub what: &'static str,
}

/// Owners as the entry asks for them.
struct Seen<'a> {
    map: &'a Map,
    index: &'a Index,
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
    me: Vm,
    place: Place,
    distance: Distance,
    dispatch: owner::Options,
    entry: Entry,
    orders: Orders,
    owner: Owner,
    groups: Groups,
    map: Map,
    catalog: Arc<Catalog>,
    index: Index,
    table: Option<Arc<Document>>,
    /// Upstreams known to leave, and since when, whatever else says that they are well.
    leaving: BTreeMap<Upstream, Millis>,
    /// VMs whose requests are worked on.
    working_for: BTreeSet<Vm>,
    looked_over: Millis,
    said_alive: Millis,
    probed: Millis,
    draining: bool,
    /// Whether the VM has met another one, or has waited long enough to count itself alone.
    joined: bool,
    tap: Option<Box<dyn Tap>>,
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

    fn handle(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) {
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

    fn peer(&mut self, now: Millis, from: Vm, message: Message, out: &mut Vec<Output>) {
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

    fn asked(&mut self, now: Millis, from: Vm, ask: Ask, out: &mut Vec<Output>) {
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

    fn order(&mut self, now: Millis, intake: Intake, out: &mut Vec<Output>) {
        let Intake { token, key, age_s, within, body } = intake;
        let name = self.catalog.services.get(&key.service).map(|s| &s.name);
        let row = name.and_then(|n| self.table.as_ref()?.rows.get(n));
        let refusal = match row {
            _ if self.draining => Some(Cause::Draining),
            None if self.table.is_none() => Some(Cause::NotReady),
            None => Some(Cause::UnknownService),
            Some(row) if !row.orders => Some(Cause::NoOrders),
            Some(_) => None,
        };
        if let Some(reason) = refusal {
            let retry_after = RETRY_AFTER;
            return out.push(Output::Refuse(token, Refusal { reason, retry_after }));
        }
        let deadline = row.map_or(Millis::ZERO, tgw_table::Row::deadline);
        let deadline = now + within.map_or(deadline, |w| w.min(deadline));
        let order = orders::Taken { token, key, age_s, deadline, body };
        let steps = self.orders.take(now, order, &self.map);
        self.order_steps(now, steps, out);
    }

    fn order_steps(&mut self, now: Millis, steps: Vec<orders::Step>, out: &mut Vec<Output>) {
        for step in steps {
            match step {
                orders::Step::Tell(to, message) => self.tell(now, to, message, out),
                orders::Step::Answer(token, outcome) => out.push(Output::Ordered(token, outcome)),
                orders::Step::Store(action) => out.push(Output::Store(action)),
                orders::Step::Run(run) => {
                    let steps = self.run_order(now, run);
                    self.order_steps(now, steps, out);
                }
            }
        }
    }

    /// Sends a claimed order to the owner of the group that promises it the earliest slot, leaving
    /// out groups that were tried.
    fn run_order(&mut self, now: Millis, run: orders::Run) -> Vec<orders::Step> {
        let seen = Seen { map: &self.map, index: &self.index };
        let view = View {
            catalog: &self.catalog,
            index: &self.index,
            table: self.table.as_deref(),
            owners: &seen,
            here: self.place,
            distance: self.distance,
        };
        let groups = self.index.iter().map(|(group, _)| group);
        let own: Vec<Group> = groups.filter(|g| g.service == run.key.service).collect();
        let best = self.entry.best_group(now, &own, &run.tried, &view);
        self.orders.send(now, run, best)
    }

    fn at_entry(&mut self, now: Millis, event: Event, out: &mut Vec<Output>) {
        let seen = Seen { map: &self.map, index: &self.index };
        let view = View {
            catalog: &self.catalog,
            index: &self.index,
            table: self.table.as_deref(),
            owners: &seen,
            here: self.place,
            distance: self.distance,
        };
        let mut actions = Vec::new();
        self.entry.on(now, event, &view, &mut actions);
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

    fn at_owner(&mut self, now: Millis, event: owner::Event, out: &mut Vec<Output>) {
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
    fn tell(&mut self, now: Millis, to: Vm, message: Message, out: &mut Vec<Output>) {
        if to == self.me {
            self.peer(now, to, message, out);
        } else {
            out.push(Output::Tell(to, message));
        }
    }

    /// The first word that an upstream leaves wins and is passed on; any later word that it is well
    /// does not count, as health and platform lag behind. Only a restart makes it well again.
    fn upstream_leaves(
        &mut self,
        now: Millis,
        upstream: Upstream,
        first_hand: bool,
        out: &mut Vec<Output>,
    ) {
        if self.leaving.insert(upstream, now).is_some() {
            return;
        }
        self.at_owner(now, owner::Event::Leaving(upstream), out);
        let domain = self.catalog.upstreams.get(&upstream).map(|u| u.place.domain);
        if !first_hand {
            return;
        }
        // Only VMs that may own the upstream's group place work on it: those of its domain, and the
        // owner and stand-in that replace them where the domain has no VM.
        let mut told: BTreeSet<Vm> = self
            .map
            .directory()
            .owners()
            .filter(|(_, m)| Some(m.place.domain) == domain)
            .map(|o| o.0)
            .collect();
        if let Some(node) = self.catalog.upstreams.get(&upstream) {
            told.extend(self.map.owners(node.group(), node.place));
        }
        for vm in told.into_iter().filter(|vm| *vm != self.me) {
            out.push(Output::Tell(vm, Message::Leaving(upstream)));
        }
    }

    fn set_catalog(&mut self, now: Millis, catalog: Arc<Catalog>, out: &mut Vec<Output>) {
        self.index = Index::new(&catalog);
        self.catalog = catalog;
        self.map.set(self.map.directory().clone());
        let leaving: Vec<Upstream> =
            self.catalog.upstreams.values().filter(|u| u.leaving).map(|u| u.id).collect();
        for upstream in leaving {
            self.upstream_leaves(now, upstream, true, out);
        }
        self.describe();
        self.settle_all(now, "the catalog changed", out);
    }

    fn set_directory(&mut self, now: Millis, directory: Arc<Directory>, out: &mut Vec<Output>) {
        let gone: Vec<Vm> = {
            let old = self.map.directory();
            let usable: BTreeSet<Vm> = directory.owners().map(|(vm, _)| vm).collect();
            old.owners().map(|(vm, _)| vm).filter(|vm| !usable.contains(vm)).collect()
        };
        self.joined |= directory.owners().any(|(vm, _)| vm != self.me);
        self.map.set(directory);
        self.orders.settle(now, &self.map);
        self.settle_all(now, "membership changed", out);
        for vm in gone {
            // A leaving VM finishes what it was asked; a dead or unreachable one does not.
            if vm != self.me && !self.finishes(vm) {
                self.lost(now, vm, out);
            }
        }
    }

    fn lost(&mut self, now: Millis, vm: Vm, out: &mut Vec<Output>) {
        self.working_for.remove(&vm);
        self.at_entry(now, Event::Lost(vm), out);
        let steps = self.orders.lost(now, vm);
        self.order_steps(now, steps, out);
    }

    /// Whether a VM has said that it leaves and can still be reached.
    fn finishes(&self, vm: Vm) -> bool {
        let directory = self.map.directory();
        directory
            .members
            .get(&vm)
            .is_some_and(|m| m.state == State::Leaving && !directory.cut.contains(&m.place.domain))
    }

    /// After a pause the groups owned before may have new owners, who use all slots by now. What is
    /// owned still is taken again with half of the slots, as by any new owner.
    fn resume(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.orders.resume(now);
        for group in self.groups.renew(now) {
            self.owner.share(group, HALF);
            self.placement(group, "resumed after a pause with half of the slots", out);
        }
    }

    /// Compares every group's owner with the rights held here.
    fn settle_all(&mut self, now: Millis, why: &'static str, out: &mut Vec<Output>) {
        // A VM that starts knows only itself. If it took all groups at once, each start would open
        // connections to every upstream of the fleet and close them again a moment later.
        if !self.joined {
            return;
        }
        let places: Vec<(Group, Place)> = self.index.iter().map(|(g, m)| (g, m.place)).collect();
        let directory = self.map.directory();
        let sole = directory.owners().count() <= 1;
        let covered: BTreeSet<Domain> = directory.owners().map(|(_, m)| m.place.domain).collect();
        // Ranking all VMs for all groups of the fleet at each change of membership anywhere would stop
        // the thread for longer than a deadline. Only a VM of a group's own domain can own it, unless
        // the domain has none.
        let concerns = |group: Group| {
            group.domain == self.place.domain
                || !covered.contains(&group.domain)
                || self.groups.has(group)
        };
        let places: Vec<(Group, Place)> =
            places.into_iter().filter(|(group, _)| concerns(*group)).collect();
        for (group, place) in places {
            let owner = self.map.owners(group, place).first().copied();
            let steps = self.groups.settle(now, group, owner, self.me, sole);
            self.carry_out(now, group, steps, why, out);
        }
    }

    fn carry_out(
        &mut self,
        now: Millis,
        group: Group,
        steps: Vec<Step>,
        why: &'static str,
        out: &mut Vec<Output>,
    ) {
        for step in steps {
            match step {
                Step::Take => {
                    self.take(now, group, out);
                    self.placement(group, why, out);
                }
                Step::Share(share) => self.owner.share(group, share),
                Step::HandOver(to) => {
                    let mut actions = Vec::new();
                    self.owner.hand_over(group, to, &mut actions);
                    for action in actions {
                        if let owner::Action::Answer {
                            key,
                            outcome,
                            stock,
                            extra,
                            waited,
                            pressure,
                        } = action
                        {
                            let told = Told { key, outcome, stock, extra, waited, pressure };
                            self.tell(now, key.from, Message::Outcome(told), out);
                        }
                    }
                    self.placement(group, why, out);
                }
                Step::Forget => {
                    if self.owner.forget(group) {
                        self.groups.forget(group);
                        out.push(Output::Disconnect(self.upstreams(group)));
                    }
                }
            }
        }
    }

    fn take(&mut self, now: Millis, group: Group, out: &mut Vec<Output>) {
        let options = self.options(group);
        let upstreams = self.upstreams(group);
        let catalog = self.catalog.clone();
        let nodes: Vec<&Described> =
            upstreams.iter().filter_map(|u| catalog.upstreams.get(u)).collect();
        self.owner.take(group, &nodes, &options);
        let known: Vec<Upstream> =
            upstreams.iter().copied().filter(|u| self.leaving.contains_key(u)).collect();
        for upstream in known {
            self.at_owner(now, owner::Event::Leaving(upstream), out);
        }
        out.push(Output::Connect(self.upstreams(group)));
    }

    /// Takes the table's and the catalog's newer description into the groups served here.
    fn describe(&mut self) {
        let served: Vec<Group> =
            self.index.iter().map(|(group, _)| group).filter(|g| self.groups.serves(*g)).collect();
        for group in served {
            let options = self.options(group);
            let upstreams = self.upstreams(group);
            let catalog = self.catalog.clone();
            let nodes: Vec<&Described> =
                upstreams.iter().filter_map(|u| catalog.upstreams.get(u)).collect();
            self.owner.take(group, &nodes, &options);
        }
    }

    fn options(&self, group: Group) -> owner::Options {
        let mut options = self.dispatch.clone();
        let name = self.catalog.services.get(&group.service).map(|s| &s.name);
        let row = name.and_then(|n| self.table.as_ref()?.rows.get(n));
        if let Some(row) = row {
            options.hedge = options.hedge.min(row.hedge_pct / 100.0);
            options.retry = row.retry_pct / 100.0;
            options.attempts = row.attempts;
        }
        options
    }

    fn upstreams(&self, group: Group) -> SmallVec<[Upstream; 4]> {
        self.index.get(group).map(|m| m.upstreams.clone()).unwrap_or_default()
    }

    fn placement(&self, group: Group, what: &'static str, out: &mut Vec<Output>) {
        let owner = self.owner_of(group);
        let upstreams = self.upstreams(group);
        out.push(Output::Note(Note::Placement(Placement { group, upstreams, owner, what })));
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
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
