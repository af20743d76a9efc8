use crate::{
    frame::{Frame, Payload},
    link::{self, Link, SendError},
    network::{Network, Reachability},
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
use tgw_clock::{Clock, Millis, PauseSwitch};
use tgw_member::{Action, Event, Member, Packet, Record, Rollout};
use tgw_owner::Directory;
use tgw_ring::Receiver;
use tgw_topology::{Vm, place::Domain};
use tgw_wire::Keys;
use tokio::{
    net::{TcpListener, UdpSocket},
    task::LocalSet,
    time::{MissedTickBehavior, interval, sleep},
};

const TICK_INTERVAL_MS: Millis = Millis::new(20);
/// Size of the buffer for received UDP packets.
const MAX_PACKET_BYTES: usize = 64 << 10;
/// Time before a new link is opened to a VM whose link closed.
const RECONNECT_INTERVAL_MS: Millis = Millis::new(200);

/// Options of the worker.
pub struct Options {
    /// Membership's options.
    pub member: tgw_member::Options,
    /// The address to bind for UDP and TCP.
    pub listen: SocketAddr,
    /// The keys that frames are signed with.
    pub keys: Keys,
    /// Reachability and delay of other VMs.
    pub network: Arc<dyn Network>,
    /// The clock that all threads of the process share.
    pub clock: Arc<dyn Clock>,
    /// Blocks the worker while a simulated freeze of the VM lasts.
    pub freeze: PauseSwitch,
}

/// Commands from other threads.
#[derive(Debug)]
pub enum Command {
    /// Send a payload to a VM.
    Send(Vm, Payload),
    /// This VM now uses this edition of the table.
    Edition(u64),
    /// This VM now uses this version of the catalog.
    CatalogVersion(u64),
    /// Addresses of VMs, as listed by the platform, to join the membership through.
    Seeds(Vec<SocketAddr>),
    /// This VM leaves: announce it to all VMs.
    Leave,
}

/// Receives the worker's events. The implementation decides what to do when one of its queues is full.
pub trait Observer: Send + 'static {
    /// A frame from another VM; returned if it cannot be accepted now.
    fn deliver(&self, frame: Frame) -> Result<(), Frame>;
    /// The directory has changed; `relay` says whether this VM watches the platform for its domain.
    fn directory_changed(&self, directory: Arc<Directory>, relay: bool);
    /// The editions in force by failure domain.
    fn rollouts(&self, rollouts: BTreeMap<Domain, Rollout>);
    /// The link to a VM broke.
    fn disconnected(&self, vm: Vm);
    /// A payload could not be queued because the VM does not keep up.
    fn queue_full(&self, vm: Vm, payload: Payload);
    /// A VM has a newer table or catalog.
    fn peer_newer(&self, vm: Vm, edition: u64, catalog_version: u64);
    /// This VM was paused for so long that other VMs may have taken over its groups.
    fn paused(&self, gap: Millis);
}

/// Counts that can be read while the worker runs.
#[derive(Debug, Default)]
pub struct Counts {
    /// UDP bytes sent.
    pub udp_bytes_sent: AtomicU64,
    /// UDP packets rejected as malformed or not signed with a known key.
    pub rejected_packets: AtomicU64,
    /// Frames handed to links, including those that a link rejected.
    pub frames: AtomicU64,
}

/// A running worker.
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

    /// Waits for the thread, which ends when the `stop` channel changes.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Binds UDP and TCP and starts the thread. Fails if the address is in use or not of this machine.
pub fn bind(
    mut options: Options,
    commands: Receiver<Command>,
    observer: Box<dyn Observer>,
    stop: tokio::sync::watch::Receiver<bool>,
) -> anyhow::Result<Handle> {
    let (udp, tcp) = bind_both(options.listen)?;
    let addr = tcp.local_addr().context("peers' address")?;
    options.member.addr = addr;
    let counts = Arc::new(Counts::default());
    let thread_counts = counts.clone();
    let thread = std::thread::Builder::new().name("peers".into()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return };
        let local = LocalSet::new();
        local.block_on(&runtime, async move {
            let worker = Worker::new(options, udp, observer, thread_counts);
            if let Ok(mut worker) = worker {
                worker.run(tcp, commands, stop).await;
            }
        });
    })?;
    Ok(Handle { thread: Some(thread), addr, counts })
}

/// Binds the same port for UDP and TCP; with port zero, retries until a port is free for both.
fn bind_both(listen: SocketAddr) -> anyhow::Result<(std::net::UdpSocket, std::net::TcpListener)> {
    const MAX_ATTEMPTS: u32 = 32;
    let mut last = None;
    for _ in 0..MAX_ATTEMPTS {
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

struct Worker {
    vm: Vm,
    incarnation: u64,
    keys: Rc<Keys>,
    network: Arc<dyn Network>,
    clock: Arc<dyn Clock>,
    freeze: PauseSwitch,
    member: Member,
    udp: Rc<UdpSocket>,
    links: BTreeMap<Vm, (SocketAddr, Link)>,
    /// VMs whose links have ended but are not removed yet.
    ended: Rc<RefCell<Vec<Vm>>>,
    closed_at: BTreeMap<Vm, Millis>,
    observer: Rc<Box<dyn Observer>>,
    records: Rc<RefCell<Vec<Vec<Record>>>>,
    counts: Arc<Counts>,
    relay: Cell<bool>,
}

impl Worker {
    fn new(
        options: Options,
        udp: std::net::UdpSocket,
        observer: Box<dyn Observer>,
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
            closed_at: BTreeMap::new(),
            observer: Rc::new(observer),
            records: Rc::default(),
            counts,
            relay: Cell::new(false),
        })
    }

    async fn run(
        &mut self,
        tcp: std::net::TcpListener,
        commands: Receiver<Command>,
        mut stop: tokio::sync::watch::Receiver<bool>,
    ) {
        let listener = tcp.set_nonblocking(true).and_then(|()| TcpListener::from_std(tcp));
        let Ok(listener) = listener else { return };
        self.accept(listener);
        let mut tick = interval(TICK_INTERVAL_MS.into());
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut buffer = vec![0; MAX_PACKET_BYTES];
        let udp = self.udp.clone();
        loop {
            tokio::select! {
                _ = stop.changed() => return,
                _ = tick.tick() => self.tick(),
                () = commands.ready() => {
                    while let Some(command) = commands.pop() {
                        self.handle_command(command);
                    }
                }
                received = udp.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        self.handle_packet(&buffer[..length], from);
                    }
                }
            }
            self.freeze.wait_while_paused();
            self.remove_ended_links();
        }
    }

    /// Accepts links and delivers their frames.
    fn accept(&self, listener: TcpListener) {
        let (keys, observer, records) =
            (self.keys.clone(), self.observer.clone(), self.records.clone());
        tokio::task::spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(TICK_INTERVAL_MS.into()).await;
                    continue;
                };
                let (observer, records) = (observer.clone(), records.clone());
                let deliver = move |frame: Frame| match frame.payload {
                    Payload::Records(batch) => {
                        records.borrow_mut().push(batch);
                        Ok(())
                    }
                    _ => observer.deliver(frame),
                };
                tokio::task::spawn_local(link::read_frames(stream, keys.clone(), deliver));
            }
        });
    }

    fn handle_packet(&mut self, bytes: &[u8], from: SocketAddr) {
        match tgw_wire::decode::<Packet>(&self.keys, bytes) {
            Ok(packet) => self.handle_event(Event::Packet(from, Box::new(packet))),
            Err(error) => {
                self.counts.rejected_packets.fetch_add(1, Ordering::Relaxed);
                tracing::debug!(target: "tgw::peer", %error, %from, "packet malformed or signature invalid");
            }
        }
    }

    fn tick(&mut self) {
        let batches = std::mem::take(&mut *self.records.borrow_mut());
        for batch in batches {
            self.handle_event(Event::Records(batch));
        }
        self.handle_event(Event::Tick);
        self.observer.rollouts(self.member.rollouts().clone());
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.member.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Send(to, packet) => self.send_packet(to, &packet),
                Action::SendRecords(to, records) => self.send_records(to, records),
                Action::DirectoryChanged => self.publish_directory(),
                Action::PeerNewer { vm, edition, catalog_version, .. } => {
                    self.observer.peer_newer(vm, edition, catalog_version);
                }
                Action::Paused(gap) => self.observer.paused(gap),
            }
        }
    }

    fn publish_directory(&mut self) {
        let directory = Arc::new(self.member.directory());
        let live: BTreeSet<Vm> = directory
            .members
            .iter()
            .filter(|(_, m)| m.state != tgw_owner::State::Dead)
            .map(|(vm, _)| *vm)
            .collect();
        self.links.retain(|vm, _| live.contains(vm));
        self.relay.set(self.member.is_relay());
        self.observer.directory_changed(directory, self.relay.get());
    }

    fn send_packet(&self, to: SocketAddr, packet: &Packet) {
        let Reachability::Reachable(delay) = self.network.reachability(to) else { return };
        let Ok(bytes) = tgw_wire::encode(&self.keys, packet) else { return };
        self.counts.udp_bytes_sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if delay == Millis::ZERO {
            // A packet dropped by a full socket buffer is handled like one lost by the network.
            let _ = self.udp.try_send_to(&bytes, to);
            return;
        }
        let udp = self.udp.clone();
        tokio::task::spawn_local(async move {
            sleep(delay.into()).await;
            let _ = udp.try_send_to(&bytes, to);
        });
    }

    /// Sends records over a separate link, as the other VM may not be known yet.
    fn send_records(&self, to: SocketAddr, records: Vec<Record>) {
        let link = Link::open(to, self.network.clone(), || {});
        let frame = self.frame(Payload::Records(records));
        if let (Ok(bytes), Reachability::Reachable(delay)) =
            (tgw_wire::encode(&self.keys, &frame), self.network.reachability(to))
        {
            let _ = link.send(delay, bytes);
        }
    }

    fn frame(&self, payload: Payload) -> Frame {
        Frame { from: self.vm, incarnation: self.incarnation, payload }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Send(to, payload) => self.send_frame(to, payload),
            Command::Edition(edition) => self.handle_event(Event::Edition(edition)),
            Command::CatalogVersion(version) => self.handle_event(Event::CatalogVersion(version)),
            Command::Seeds(seeds) => self.handle_event(Event::Seeds(seeds)),
            Command::Leave => self.handle_event(Event::Leave),
        }
    }

    fn send_frame(&mut self, to: Vm, payload: Payload) {
        let frame = self.frame(payload);
        let Ok(bytes) = tgw_wire::encode(&self.keys, &frame) else { return };
        let sent = match self.link(to) {
            Some((addr, link)) => match self.network.reachability(addr) {
                Reachability::Reachable(delay) => link.send(delay, bytes),
                Reachability::Unreachable => Err(SendError::Closed),
            },
            None => Err(SendError::Closed),
        };
        self.counts.frames.fetch_add(1, Ordering::Relaxed);
        match sent {
            Ok(()) => {}
            Err(SendError::Full) => self.observer.queue_full(to, frame.payload),
            Err(SendError::Closed) => {
                self.links.remove(&to);
                self.observer.disconnected(to);
            }
        }
    }

    /// Returns the link to a VM and opens it if needed; `None` if the VM is unknown or its link closed
    /// too recently.
    fn link(&mut self, to: Vm) -> Option<(SocketAddr, Link)> {
        let now = self.clock.now();
        let addr = self.member.peer_addr(to)?;
        let known = self.links.get(&to).filter(|(linked, _)| *linked == addr);
        if let Some((_, link)) = known {
            return Some((addr, link.clone()));
        }
        if self.closed_at.get(&to).is_some_and(|closed| now - *closed < RECONNECT_INTERVAL_MS) {
            return None;
        }
        let ended = self.ended.clone();
        let on_close = move || ended.borrow_mut().push(to);
        let link = Link::open(addr, self.network.clone(), on_close);
        self.links.insert(to, (addr, link.clone()));
        Some((addr, link))
    }

    /// Removes links that ended and reports their VMs as disconnected.
    fn remove_ended_links(&mut self) {
        let ended = std::mem::take(&mut *self.ended.borrow_mut());
        let now = self.clock.now();
        for vm in ended {
            self.links.remove(&vm);
            self.closed_at.insert(vm, now);
            self.observer.disconnected(vm);
        }
    }
}
