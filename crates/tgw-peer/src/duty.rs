use crate::{
    link::{self, Link, Refused},
    network::{Network, Way},
    parcel::{Letter, Parcel},
};
use anyhow::Context;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::JoinHandle,
};
use tgw_clock::{Clock, Freeze, Millis};
use tgw_member::{Action, Event, Force, Member, Packet, Record};
use tgw_owner::Directory;
use tgw_ring::Receiver;
use tgw_topology::{Vm, place::Domain};
use tgw_wire::Keys;
use tokio::{
    net::{TcpListener, UdpSocket},
    task::LocalSet,
    time::{MissedTickBehavior, interval, sleep},
};

const TICK: Millis = Millis::new(20);
/// Largest UDP packet that is read.
const PACKET_LIMIT: usize = 64 << 10;
/// Time between two tries to reach a VM whose link closed.
const REDIAL: Millis = Millis::new(200);

/// How the duty works.
pub struct Options {
    /// Membership's options.
    pub member: tgw_member::Options,
    /// The address to bind, UDP and TCP.
    pub listen: SocketAddr,
    /// The keys that frames are signed with.
    pub keys: Keys,
    /// The way to other VMs.
    pub network: Arc<dyn Network>,
    /// The clock shared by all duties.
    pub clock: Arc<dyn Clock>,
    /// Stops the duty while the VM counts as frozen.
    pub freeze: Freeze,
}

/// What other duties ask of this one.
#[derive(Debug)]
pub enum Outgoing {
    /// Send something to a VM.
    Parcel(Vm, Parcel),
    /// This edition of the table is in force here now.
    Edit(u64),
    /// The catalog of this version is in use here now.
    World(u64),
    /// The platform names VMs to ask.
    Seeds(Vec<SocketAddr>),
    /// This VM leaves: tell everyone.
    Leave,
}

/// What this duty tells the others. The sinks decide what a full ring means.
pub trait Report: Send + 'static {
    /// A letter from another VM; given back if it cannot be taken now.
    fn letter(&self, letter: Letter) -> Result<(), Letter>;
    /// The directory has changed; `relay` says whether this VM watches the platform for its domain.
    fn directory(&self, directory: Arc<Directory>, relay: bool);
    /// What the domains have in force.
    fn forces(&self, forces: BTreeMap<Domain, Force>);
    /// The link to a VM broke.
    fn lost(&self, vm: Vm);
    /// A parcel could not be queued for a VM that does not keep up.
    fn refused(&self, vm: Vm, parcel: Parcel);
    /// A VM has a newer table or catalog.
    fn newer(&self, vm: Vm, edit: u64, world: u64);
    /// This VM was paused for so long that others may have taken over.
    fn paused(&self, gap: Millis);
}

/// Counts that can be read while the duty runs.
#[derive(Debug, Default)]
pub struct Counts {
    /// UDP bytes sent.
    pub udp_sent: AtomicU64,
    /// UDP packets refused: malformed, or not signed with a known key.
    pub refused: AtomicU64,
    /// Frames sent on links.
    pub frames: AtomicU64,
}

/// A running duty.
pub struct Handle {
    thread: Option<JoinHandle<()>>,
    addr: SocketAddr,
    counts: Arc<Counts>,
}

impl Handle {
    /// The bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Counts so far.
    pub fn counts(&self) -> &Arc<Counts> {
        &self.counts
    }

    /// Waits for the thread; it ends when its `stop` future does.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Binds UDP and TCP and starts the thread. Errors: an address is in use or not ours.
pub fn bind(
    mut options: Options,
    outgoing: Receiver<Outgoing>,
    report: Box<dyn Report>,
    stop: tokio::sync::watch::Receiver<bool>,
) -> anyhow::Result<Handle> {
    let (udp, tcp) = bind_both(options.listen)?;
    let addr = tcp.local_addr().context("peers' address")?;
    options.member.addr = addr;
    let counts = Arc::new(Counts::default());
    let seen = counts.clone();
    let thread = std::thread::Builder::new().name("peers".into()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return };
        let local = LocalSet::new();
        local.block_on(&runtime, async move {
            let duty = Duty::new(options, udp, report, seen);
            if let Ok(mut duty) = duty {
                duty.run(tcp, outgoing, stop).await;
            }
        });
    })?;
    Ok(Handle { thread: Some(thread), addr, counts })
}

/// Binds the same port for UDP and TCP; with port zero, tries until one is free for both.
fn bind_both(listen: SocketAddr) -> anyhow::Result<(std::net::UdpSocket, std::net::TcpListener)> {
    const TRIES: u32 = 32;
    let mut last = None;
    for _ in 0..TRIES {
        let tcp = std::net::TcpListener::bind(listen)
            .with_context(|| format!("listen.peers: cannot bind TCP {listen}"))?;
        let addr = tcp.local_addr()?;
        match std::net::UdpSocket::bind(addr) {
            Ok(udp) => return Ok((udp, tcp)),
            Err(e) if listen.port() == 0 => last = Some(e),
            Err(e) => {
                return Err(e).with_context(|| format!("listen.peers: cannot bind UDP {addr}"));
            }
        }
    }
    Err(anyhow::anyhow!("no port is free for both UDP and TCP: {last:?}"))
}

struct Duty {
    vm: Vm,
    incarnation: u64,
    keys: Rc<Keys>,
    network: Arc<dyn Network>,
    clock: Arc<dyn Clock>,
    freeze: Freeze,
    member: Member,
    udp: Rc<UdpSocket>,
    links: BTreeMap<Vm, (SocketAddr, Link)>,
    /// Links that ended, to be taken out.
    ended: Rc<RefCell<Vec<Vm>>>,
    redial: BTreeMap<Vm, Millis>,
    report: Rc<Box<dyn Report>>,
    records: Rc<RefCell<Vec<Vec<Record>>>>,
    counts: Arc<Counts>,
    relay: Cell<bool>,
}

impl Duty {
    fn new(
        options: Options,
        udp: std::net::UdpSocket,
        report: Box<dyn Report>,
        counts: Arc<Counts>,
    ) -> anyhow::Result<Self> {
        udp.set_nonblocking(true)?;
        Ok(Self {
            vm: options.member.vm,
            incarnation: options.member.incarnation,
            keys: Rc::new(options.keys),
            network: options.network,
            clock: options.clock,
            freeze: options.freeze,
            member: Member::new(options.member),
            udp: Rc::new(UdpSocket::from_std(udp)?),
            links: BTreeMap::new(),
            ended: Rc::default(),
            redial: BTreeMap::new(),
            report: Rc::new(report),
            records: Rc::default(),
            counts,
            relay: Cell::new(false),
        })
    }

    async fn run(
        &mut self,
        tcp: std::net::TcpListener,
        outgoing: Receiver<Outgoing>,
        mut stop: tokio::sync::watch::Receiver<bool>,
    ) {
        let listener = tcp.set_nonblocking(true).and_then(|()| TcpListener::from_std(tcp));
        let Ok(listener) = listener else { return };
        self.accept(listener);
        let mut tick = interval(TICK.into());
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut buffer = vec![0; PACKET_LIMIT];
        let udp = self.udp.clone();
        loop {
            tokio::select! {
                _ = stop.changed() => return,
                _ = tick.tick() => self.tick(),
                () = outgoing.ready() => {
                    while let Some(item) = outgoing.pop() {
                        self.outgoing(item);
                    }
                }
                received = udp.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        self.packet(&buffer[..length], from);
                    }
                }
            }
            self.freeze.hold();
            self.reap();
        }
    }

    /// Accepts links and passes their letters on.
    fn accept(&self, listener: TcpListener) {
        let (keys, report, records) =
            (self.keys.clone(), self.report.clone(), self.records.clone());
        tokio::task::spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(TICK.into()).await;
                    continue;
                };
                let (report, records) = (report.clone(), records.clone());
                let take = move |letter: Letter| match letter.parcel {
                    Parcel::Records(list) => {
                        records.borrow_mut().push(list);
                        Ok(())
                    }
                    _ => report.letter(letter),
                };
                tokio::task::spawn_local(link::read(stream, keys.clone(), take));
            }
        });
    }

    fn packet(&mut self, bytes: &[u8], from: SocketAddr) {
        match tgw_wire::open::<Packet>(&self.keys, bytes) {
            Ok(packet) => self.on(Event::Packet(from, Box::new(packet))),
            Err(error) => {
                self.counts.refused.fetch_add(1, Ordering::Relaxed);
                tracing::debug!(target: "tgw::peer", %error, %from, "packet refused");
            }
        }
    }

    fn tick(&mut self) {
        let lists = std::mem::take(&mut *self.records.borrow_mut());
        for list in lists {
            self.on(Event::Records(list));
        }
        self.on(Event::Tick);
        self.report.forces(self.member.forces().clone());
    }

    fn on(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.member.on(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Send(to, packet) => self.send_packet(to, &packet),
                Action::Sync(to, records) => self.sync(to, records),
                Action::Changed => self.changed(),
                Action::Newer { vm, edit, world, .. } => self.report.newer(vm, edit, world),
                Action::Paused(gap) => self.report.paused(gap),
            }
        }
    }

    fn changed(&mut self) {
        let directory = Arc::new(self.member.directory());
        let live: BTreeSet<Vm> = directory
            .members
            .iter()
            .filter(|(_, m)| m.state != tgw_owner::State::Dead)
            .map(|(vm, _)| *vm)
            .collect();
        self.links.retain(|vm, _| live.contains(vm));
        self.relay.set(self.member.is_relay());
        self.report.directory(directory, self.relay.get());
    }

    fn send_packet(&self, to: SocketAddr, packet: &Packet) {
        let Way::Open(delay) = self.network.way(to) else { return };
        let Ok(frame) = tgw_wire::seal(&self.keys, packet) else { return };
        self.counts.udp_sent.fetch_add(frame.len() as u64, Ordering::Relaxed);
        if delay == Millis::ZERO {
            // A full socket buffer loses the packet, as the network may.
            let _ = self.udp.try_send_to(&frame, to);
            return;
        }
        let udp = self.udp.clone();
        tokio::task::spawn_local(async move {
            sleep(delay.into()).await;
            let _ = udp.try_send_to(&frame, to);
        });
    }

    /// Sends records on a link of their own: the other VM may not be known yet.
    fn sync(&self, to: SocketAddr, records: Vec<Record>) {
        let link = Link::open(to, self.network.clone(), || {});
        let letter = self.letter(Parcel::Records(records));
        if let (Ok(frame), Way::Open(delay)) =
            (tgw_wire::seal(&self.keys, &letter), self.network.way(to))
        {
            let _ = link.send(delay, frame);
        }
    }

    fn letter(&self, parcel: Parcel) -> Letter {
        Letter { from: self.vm, incarnation: self.incarnation, parcel }
    }

    fn outgoing(&mut self, item: Outgoing) {
        match item {
            Outgoing::Parcel(to, parcel) => self.post(to, parcel),
            Outgoing::Edit(edit) => self.on(Event::Edit(edit)),
            Outgoing::World(version) => self.on(Event::World(version)),
            Outgoing::Seeds(seeds) => self.on(Event::Seeds(seeds)),
            Outgoing::Leave => self.on(Event::Leave),
        }
    }

    fn post(&mut self, to: Vm, parcel: Parcel) {
        let letter = self.letter(parcel);
        let Ok(frame) = tgw_wire::seal(&self.keys, &letter) else { return };
        let sent = match self.link(to) {
            Some((addr, link)) => match self.network.way(addr) {
                Way::Open(delay) => link.send(delay, frame),
                Way::Cut => Err(Refused::Closed),
            },
            None => Err(Refused::Closed),
        };
        self.counts.frames.fetch_add(1, Ordering::Relaxed);
        match sent {
            Ok(()) => {}
            Err(Refused::Full) => self.report.refused(to, letter.parcel),
            Err(Refused::Closed) => {
                self.links.remove(&to);
                self.report.lost(to);
            }
        }
    }

    /// The link to a VM, made if there is none; `None` if it is unknown or broke just now.
    fn link(&mut self, to: Vm) -> Option<(SocketAddr, Link)> {
        let now = self.clock.now();
        let addr = self.member.directory_addr(to)?;
        let known = self.links.get(&to).filter(|(known, _)| *known == addr);
        if let Some((_, link)) = known {
            return Some((addr, link.clone()));
        }
        if self.redial.get(&to).is_some_and(|since| now - *since < REDIAL) {
            return None;
        }
        let ended = self.ended.clone();
        let closed = move || ended.borrow_mut().push(to);
        let link = Link::open(addr, self.network.clone(), closed);
        self.links.insert(to, (addr, link.clone()));
        Some((addr, link))
    }

    /// Takes out links that ended and tells of them.
    fn reap(&mut self) {
        let ended = std::mem::take(&mut *self.ended.borrow_mut());
        let now = self.clock.now();
        for vm in ended {
            self.links.remove(&vm);
            self.redial.insert(vm, now);
            self.report.lost(vm);
        }
    }
}
