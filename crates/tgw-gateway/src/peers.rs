use crate::{
    hop::{self, Hosts},
    note,
    packets::PACKET,
    quarantine::{self, Rounds},
    shared::Shared,
    tell::Tell,
};
use rand::seq::SliceRandom;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime},
};
use tgw_clock::Millis;
use tgw_forward::{
    core::Vms,
    upstream::Word,
    warmup::{REMEMBERED, Roster, Seat},
};
use tgw_member::{Action, Event, Member};
use tgw_owner::{Directory, State};
use tgw_spread::{
    Message,
    message::{Datagram, Late, Versions},
    start::{self, Found},
};
use tgw_topology::Vm;
use tgw_wire::Error;
use tokio::{
    net::TcpListener,
    time::{MissedTickBehavior, interval, sleep},
};

/// Time in ms between looks at membership's timers, which lie 100 ms apart and more.
const TICK: Duration = Duration::from_millis(100);
/// VMs that are told of a late upstream: those of a region today. In a larger region each tells as
/// many, drawn anew each time, so that the load of a VM does not grow with the fleet.
const TOLD: usize = 32;
/// Time between looks at the timers of a VM that starts.
const START_TICK: Duration = Duration::from_millis(25);
/// Time in ms between two looks at which VMs there are. While 295 start at once each hears of the others within
/// 250 ms, one by one; counted at each of these, that was 26,000 counts over lists of 295.
const COUNT: Millis = Millis::new(50);
/// Time after the start until this VM may hold itself for a relay: by then it knows its peers.
const SETTLE: Millis = Millis::new(1_500);
/// The same for a VM that knows only itself, and so is the first of its domain: the platform names
/// seeds up to 3 s late.
const SETTLE_ALONE: Millis = Millis::new(4_500);

/// Versions above any: of a VM that was named by another as one that holds the state.
const ANY: Versions = Versions { config: u64::MAX, upstreams: u64::MAX, evacuations: u64::MAX };

/// Membership and the spread of news, with their sockets.
pub(crate) struct Peers {
    pub(crate) shared: Rc<Shared>,
    member: RefCell<Member>,
    /// Where the other live VMs of the region are reached.
    near: RefCell<Vec<SocketAddr>>,
    /// Where all other live VMs are reached.
    pub(crate) others: RefCell<Vec<SocketAddr>>,
    pub(crate) rounds: Rounds,
    addr: SocketAddr,
    pub(crate) tell: Tell,
    /// Which VMs there are has changed since they were counted.
    changed: Cell<bool>,
    counted: Cell<Millis>,
}

/// This process's life: higher than that of an earlier one of the VM, if the time of day allows; if
/// it was set back, the VM hears of its earlier life and takes a higher one.
fn life() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or_default())
}

impl Peers {
    /// Starts the tasks. Errors: the listener has no address.
    pub(crate) fn spawn(shared: Rc<Shared>, tcp: TcpListener) -> anyhow::Result<Rc<Self>> {
        let addr = tcp.local_addr()?;
        let peer = &shared.settings.peer;
        let options = tgw_member::Options {
            vm: Vm::named(&shared.settings.vm),
            name: shared.settings.vm.clone(),
            incarnation: life(),
            place: peer.place,
            addr,
            seeds: peer.seeds.clone(),
            seed: rand::random(),
        };
        let member = RefCell::new(Member::new(options));
        let peers = Rc::new(Self {
            shared,
            member,
            near: RefCell::default(),
            others: RefCell::default(),
            rounds: Rounds::default(),
            addr,
            tell: Tell::default(),
            changed: Cell::new(false),
            counted: Cell::new(Millis::ZERO),
        });
        tokio::task::spawn_local(peers.clone().run());
        tokio::task::spawn_local(peers.clone().find_state());
        tokio::task::spawn_local(peers.clone().accept(tcp));
        Ok(peers)
    }

    /// Where it listens.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Tells the others that this VM leaves.
    pub(crate) fn leave(self: &Rc<Self>) {
        self.on(Event::Leave);
    }

    /// Whether no other VM is known to live.
    pub(crate) fn alone(&self) -> bool {
        self.member.borrow().directory().owners().count() <= 1
    }

    /// Names further VMs to ask.
    pub(crate) fn seeds(self: &Rc<Self>, seeds: Vec<SocketAddr>) {
        self.on(Event::Seeds(seeds));
    }

    async fn run(self: Rc<Self>) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut buffer = vec![0; PACKET];
        loop {
            tokio::select! {
                received = self.shared.packets.receive(&mut buffer) => match received {
                    Ok((packet, from)) => self.packet(packet, from),
                    Err(error) => tracing::debug!(%error, "packet not received"),
                },
                () = self.shared.news.notified() => self.told(),
                _ = tick.tick() => {
                    self.on(Event::Tick);
                    self.give_up();
                    self.settle();
                    self.pass_on();
                    self.repeat();
                }
            }
            self.count_changed();
        }
    }

    /// Gives up upstreams whose entries stayed missing. Done by a timer of its own: where it waited for a pause between
    /// news, a steady stream of these kept upstreams that had left for good.
    fn give_up(&self) {
        let mut core = self.shared.core.borrow_mut();
        let gone =
            self.shared.world.borrow_mut().upstreams.tick(self.shared.now(), &mut core.fleet);
        drop(core);
        if gone {
            note::doubts(&self.shared);
        }
    }

    /// Asks other VMs for the state until this one holds it.
    async fn find_state(self: Rc<Self>) {
        while !self.shared.start.borrow().is_over() {
            self.on_start(start::Event::Tick);
            sleep(START_TICK).await;
        }
        tracing::info!("start is over: configuration and upstreams are known");
    }

    /// Tells what decides the start of this VM.
    pub(crate) fn on_start(self: &Rc<Self>, event: start::Event<'_>) {
        let there = match &event {
            start::Event::Found(_, Found { config, upstreams, .. }) => {
                Versions { config: *config, upstreams: *upstreams, evacuations: 0 }
            }
            _ => ANY,
        };
        let mut actions = Vec::new();
        self.shared.start.borrow_mut().on(self.shared.now(), event, &mut actions);
        for action in actions {
            match action {
                start::Action::Seek(addr) => self.shared.packets.send(addr, &Datagram::Seek),
                start::Action::Ask(addr) => self.ask(addr, there),
            }
        }
    }

    /// Passes on what this VM learned.
    fn told(self: &Rc<Self>) {
        let Versions { config, upstreams, evacuations } = self.versions();
        self.shared.note_held();
        self.tell_late();
        self.pass_on();
        self.on(Event::Edit(config));
        self.on(Event::World(upstreams));
        self.on(Event::Evacuations(evacuations));
        self.on(Event::Blind(self.shared.sight.borrow().is_blind()));
    }

    pub(crate) fn versions(&self) -> Versions {
        self.shared.world.borrow().versions()
    }

    fn packet(self: &Rc<Self>, packet: Result<Datagram, Error>, from: SocketAddr) {
        match packet {
            Ok(Datagram::Member(packet)) => {
                self.shared.core.borrow_mut().fleet.heard(self.shared.now());
                self.on(Event::Packet(from, packet));
            }
            Ok(Datagram::Late(upstreams)) => {
                let now = self.shared.now();
                let mut core = self.shared.core.borrow_mut();
                for late in upstreams {
                    let Late { upstream, started, overdue, expected } = late;
                    let word = Word { overdue, expected: f64::from(expected) };
                    core.fleet.told(now, &upstream, started, word);
                }
            }
            Ok(Datagram::Hop(request)) => hop::host(&self.shared, from, *request),
            Ok(Datagram::HopEnded(reply)) => self.shared.hops.ended(from, *reply),
            Ok(Datagram::HopCancelled(number)) => self.shared.hops.cancel(from, number),
            Ok(Datagram::Seek) => {
                self.shared.packets.send(from, &Datagram::Found(self.found()));
                if let Some(news) = self.held() {
                    self.shared.packets.send(from, &Datagram::Quarantine(news));
                }
            }
            Ok(Datagram::Quarantine(news)) => quarantine::hear(&self.shared, from, &news),
            Ok(Datagram::Found(found)) => self.on_start(start::Event::Found(from, found)),
            Err(error) => tracing::debug!(%error, %from, "packet refused"),
        }
    }

    /// How far this VM is.
    fn found(&self) -> Found {
        let Versions { config, upstreams, .. } = self.versions();
        Found { config, upstreams, reads: self.shared.reading.both() }
    }

    pub(crate) fn on(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.member.borrow_mut().on(self.shared.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Send(to, packet) => self.shared.packets.send(to, &Datagram::Member(packet)),
                Action::Sync(to, records) => {
                    let peers = self.clone();
                    tokio::task::spawn_local(async move {
                        let message = Message::Records(records);
                        if let Err(error) = peers.exchange(to, &message, false).await {
                            tracing::debug!(%error, %to, "records not sent");
                        }
                    });
                }
                Action::Changed => self.changed.set(true),
                Action::Newer { addr, edit, world, evacuations, .. } => {
                    self.ask(addr, Versions { config: edit, upstreams: world, evacuations });
                }
                Action::Paused(gap) => {
                    tracing::warn!(gap_ms = gap.whole(), "this VM was paused");
                    self.shared.world.borrow_mut().upstreams.paused(gap);
                }
            }
        }
    }

    /// Tells VMs of the region which upstreams are late.
    fn tell_late(&self) {
        let late = self.shared.late.take();
        if late.is_empty() {
            return;
        }
        let mut near = self.near.borrow().clone();
        near.shuffle(&mut rand::rng());
        let datagram = Datagram::Late(late);
        near.into_iter().take(TOLD).for_each(|to| self.shared.packets.send(to, &datagram));
    }

    /// Counts the VMs anew if there are others than before, at most once in a while.
    fn count_changed(self: &Rc<Self>) {
        let now = self.shared.now();
        if self.changed.get() && now - self.counted.get() >= COUNT {
            self.changed.set(false);
            self.counted.set(now);
            self.count();
        }
    }

    fn count(self: &Rc<Self>) {
        let directory = self.member.borrow().directory();
        self.shared.blind_near.set(self.member.borrow().blind_near());
        self.reach(&directory);
        let own = Vm::named(&self.shared.settings.vm);
        let here = directory.members.get(&own).map(|m| m.place.region);
        let all = directory.owners().count();
        let others = || directory.owners().filter(|(vm, _)| *vm != own);
        let beside = others().filter(|(_, m)| Some(m.place.region) == here);
        let beside: Vec<SocketAddr> = beside.map(|(_, m)| m.addr).collect();
        let near = beside.len() + 1;
        self.on_start(start::Event::Peers(&beside));
        self.near.replace(beside);
        self.others.replace(others().map(|(_, m)| m.addr).collect());
        let numbers = others().map(|(vm, _)| vm.0).collect();
        self.shared.core.borrow_mut().quarantine.set_vms(own.0, numbers);
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let vms = Vms { all: count(all), near: count(near) };
        // At its start a VM knows only itself, and would take all connections for its own.
        if !self.settled() && vms.all <= self.shared.core.borrow().vms().all {
            return;
        }
        let mut core = self.shared.core.borrow_mut();
        if self.settled() {
            core.fleet.set_roster(self.roster(&directory));
        }
        if core.vms() != vms {
            tracing::info!(vms = vms.all, near = vms.near, before = core.vms().all, "VMs counted");
            core.set_vms(vms);
        }
    }

    /// The VMs among which rights to send to cold upstreams are held. One that leaves gives its rights up by itself.
    fn roster(&self, directory: &Directory) -> Roster {
        let member = self.member.borrow();
        let mut domains: BTreeMap<Rc<str>, Vec<Seat>> = BTreeMap::new();
        for (vm, entry) in &directory.members {
            let Some(domain) = self.shared.settings.place.numbered(entry.place.domain.0) else {
                continue;
            };
            if entry.state == State::Leaving {
                continue;
            }
            let dead_until = member.dead_since(*vm).map(|at| at + REMEMBERED);
            let seat = Seat { vm: vm.0, addr: entry.addr, dead_until };
            domains.entry(domain.into()).or_default().push(seat);
        }
        Roster::new(Vm::named(&self.shared.settings.vm).0, domains)
    }

    /// Takes over where the live VMs of other regions are.
    fn reach(&self, directory: &Directory) {
        let place = &self.shared.settings.place;
        let mut hosts = Hosts::default();
        for (_, member) in directory.owners() {
            let Some(domain) = place.numbered(member.place.domain.0) else { continue };
            let Some(region) = place.regions.get(domain) else { continue };
            hosts.domains.entry(domain.into()).or_default().push(member.addr);
            hosts.regions.entry(region.clone()).or_default().push(member.addr);
        }
        if let Some(own) = place.regions.get(&place.domain) {
            hosts.regions.remove(own);
        }
        let manned = hosts.regions.keys().cloned().collect();
        self.shared.core.borrow_mut().fleet.set_manned(manned);
        self.shared.hops.set_hosts(hosts);
    }

    fn settled(&self) -> bool {
        self.shared.now() >= if self.alone() { SETTLE_ALONE } else { SETTLE }
    }

    fn settle(self: &Rc<Self>) {
        if self.shared.relay.borrow().is_none() && !self.settled() {
            return;
        }
        if self.shared.relay.borrow().is_none() {
            self.count();
        }
        let relay = self.member.borrow().follows();
        self.shared.relay.send_if_modified(|known| {
            let differs = *known != Some(relay);
            if differs {
                tracing::info!(relay, "watching the platform's store for the failure domain");
                *known = Some(relay);
            }
            differs
        });
    }
}
