use crate::{
    hop::{self, Hosts},
    packets::PACKET,
    shared::Shared,
};
use rand::seq::SliceRandom;
use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime},
};
use tgw_clock::Millis;
use tgw_forward::{core::Vms, upstream::Word};
use tgw_member::{Action, Event, Member};
use tgw_owner::Directory;
use tgw_spread::{
    Message, Update,
    message::{Datagram, Late},
};
use tgw_topology::Vm;
use tgw_wire::{Error, FRAME_LIMIT, LENGTH};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{MissedTickBehavior, interval, sleep, timeout},
};

/// Time in ms between looks at membership's timers, which lie 100 ms apart and more.
const TICK: Duration = Duration::from_millis(100);
/// VMs that are told of a late upstream: those of a region today. In a larger region each tells as
/// many, drawn anew each time, so that the load of a VM does not grow with the fleet.
const TOLD: usize = 32;
/// Time for one exchange with a peer.
const EXCHANGE: Duration = Duration::from_millis(1_500);
/// Pause after a failed accept.
const PAUSE: Duration = Duration::from_millis(50);
/// Time after the start until this VM may hold itself for a relay: by then it knows its peers.
const SETTLE: Millis = Millis::new(1_500);
/// The same for a VM that knows only itself, and so is the first of its domain: the platform names
/// seeds up to 3 s late.
const SETTLE_ALONE: Millis = Millis::new(4_500);

/// Membership and the spread of news, with their sockets.
pub(crate) struct Peers {
    shared: Rc<Shared>,
    member: RefCell<Member>,
    /// Where the other live VMs of the region are reached.
    near: RefCell<Vec<SocketAddr>>,
    addr: SocketAddr,
    /// A peer is being asked for what is newer there.
    asking: std::cell::Cell<bool>,
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
        let asking = std::cell::Cell::new(false);
        let peers = Rc::new(Self { shared, member, near: RefCell::default(), addr, asking });
        tokio::task::spawn_local(peers.clone().run());
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
                    self.settle();
                }
            }
        }
    }

    /// Passes on what this VM learned.
    fn told(self: &Rc<Self>) {
        let (config, upstreams) = self.versions();
        self.tell_late();
        self.on(Event::Edit(config));
        self.on(Event::World(upstreams));
        self.on(Event::Blind(self.shared.blind.get()));
    }

    fn versions(&self) -> (u64, u64) {
        let world = self.shared.world.borrow();
        (world.config(), world.upstreams_version())
    }

    fn packet(self: &Rc<Self>, packet: Result<Datagram, Error>, from: SocketAddr) {
        match packet {
            Ok(Datagram::Member(packet)) => self.on(Event::Packet(from, packet)),
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
            Err(error) => tracing::debug!(%error, %from, "packet refused"),
        }
    }

    fn on(self: &Rc<Self>, event: Event) {
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
                Action::Changed => self.changed(),
                Action::Newer { addr, edit, world, .. } => self.ask(addr, edit, world),
                Action::Paused(gap) => tracing::warn!(gap_ms = gap.whole(), "this VM was paused"),
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

    fn changed(&self) {
        let directory = self.member.borrow().directory();
        self.reach(&directory);
        let own = Vm::named(&self.shared.settings.vm);
        let here = directory.members.get(&own).map(|m| m.place.region);
        let all = directory.owners().count();
        let others: Vec<SocketAddr> = directory
            .owners()
            .filter(|(vm, m)| *vm != own && Some(m.place.region) == here)
            .map(|(_, m)| m.addr)
            .collect();
        let near = others.len() + 1;
        self.near.replace(others);
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let vms = Vms { all: count(all), near: count(near) };
        // At its start a VM knows only itself, and would take all connections for its own.
        if !self.settled() && vms.all <= self.shared.core.borrow().vms().all {
            return;
        }
        let mut core = self.shared.core.borrow_mut();
        if core.vms() != vms {
            tracing::info!(vms = vms.all, near = vms.near, before = core.vms().all, "VMs counted");
            core.set_vms(vms);
        }
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

    fn settle(&self) {
        if self.shared.relay.borrow().is_none() && !self.settled() {
            return;
        }
        if self.shared.relay.borrow().is_none() {
            self.changed();
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

    /// Asks a peer for what is newer there.
    fn ask(self: &Rc<Self>, addr: SocketAddr, config: u64, upstreams: u64) {
        let (own_config, own_upstreams) = self.versions();
        let newer = config > own_config || upstreams > own_upstreams;
        // Each packet of a peer that is further says so again; one question at a time is enough.
        if !newer || self.asking.replace(true) {
            return;
        }
        let peers = self.clone();
        tokio::task::spawn_local(async move {
            let message = Message::Ask { config: own_config, upstreams: own_upstreams };
            match peers.exchange(addr, &message, true).await {
                Ok(Some(Message::News(news))) => peers.learn(addr, *news),
                Ok(_) => tracing::warn!(%addr, "a peer answered something else"),
                Err(error) => tracing::debug!(%error, %addr, "peer not asked"),
            }
            peers.asking.set(false);
        });
    }

    fn learn(&self, from: SocketAddr, news: tgw_spread::message::News) {
        let Update { config, upstreams } = self.shared.world.borrow_mut().apply(news);
        if let Some(config) = config {
            self.shared.adopt(&config, "peer");
        }
        let now = self.shared.now();
        let mut core = self.shared.core.borrow_mut();
        let mut catalog = self.shared.catalog.borrow_mut();
        for id in upstreams.removed {
            tracing::info!(upstream = &*id, %from, "upstream removed");
            catalog.removed(now, &id, &mut core.fleet);
        }
        for entry in upstreams.changed {
            tracing::info!(upstream = &*entry.id, service = &*entry.service, addr = %entry.addr,
                draining = entry.draining, %from, "upstream changed");
            catalog.changed(now, entry, &mut core.fleet);
        }
        self.shared.news.notify_one();
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                sleep(PAUSE).await;
                continue;
            };
            let peers = self.clone();
            tokio::task::spawn_local(async move {
                match timeout(EXCHANGE, peers.answer(stream)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => tracing::debug!(%error, %from, "peer not answered"),
                    Err(_) => tracing::debug!(%from, "a peer asked too slowly"),
                }
            });
        }
    }

    async fn answer(self: &Rc<Self>, mut stream: TcpStream) -> anyhow::Result<()> {
        match self.read(&mut stream).await? {
            Message::Records(records) => self.on(Event::Records(records)),
            Message::Ask { config, upstreams } => {
                let news = self.shared.world.borrow().news(config, upstreams);
                self.write(&mut stream, &Message::News(Box::new(news))).await?;
            }
            Message::News(_) => anyhow::bail!("news that nobody asked for"),
        }
        Ok(())
    }

    /// Sends a message to a peer, and waits for its answer if there is one.
    async fn exchange(
        &self,
        to: SocketAddr,
        message: &Message,
        answered: bool,
    ) -> anyhow::Result<Option<Message>> {
        let exchange = async {
            let mut stream = TcpStream::connect(to).await?;
            self.write(&mut stream, message).await?;
            if !answered {
                return Ok(None);
            }
            self.read(&mut stream).await.map(Some)
        };
        timeout(EXCHANGE, exchange).await?
    }

    async fn write(&self, stream: &mut TcpStream, message: &Message) -> anyhow::Result<()> {
        let frame = tgw_wire::seal(self.shared.packets.keys(), message)?;
        let mut bytes = u32::try_from(frame.len())?.to_le_bytes().to_vec();
        bytes.extend(frame);
        stream.write_all(&bytes).await?;
        Ok(())
    }

    async fn read(&self, stream: &mut TcpStream) -> anyhow::Result<Message> {
        let mut length = [0; LENGTH];
        stream.read_exact(&mut length).await?;
        let length = u32::from_le_bytes(length) as usize;
        anyhow::ensure!(length <= FRAME_LIMIT, "a frame of {length} bytes");
        let mut frame = Vec::new();
        // Read as it comes: a length alone must not make this VM set memory aside.
        stream.take(length as u64).read_to_end(&mut frame).await?;
        Ok(tgw_wire::open(self.shared.packets.keys(), &frame)?)
    }
}
