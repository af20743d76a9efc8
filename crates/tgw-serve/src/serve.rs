use crate::{
    callers::{self, Callers},
    config,
    metrics::{Gauges, Metrics},
    operators::{self, Operators},
    queries::{Ends, Queries},
    upstreams,
    work::{Errand, Notice, Work},
};
use anyhow::Context;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread::JoinHandle,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tgw_clock::{Clock, Freeze, Millis, Monotonic};
use tgw_dispatch::leaf::{Failure, Outcome};
use tgw_member::Force;
use tgw_node::{
    Identity, Message, Node, Observer as CoreObserver,
    message::{Completion, Request},
};
use tgw_owner::Directory;
use tgw_peer::{Command, Direct, Frame, Network, Observer, Payload};
use tgw_platform::{Http, Store};
use tgw_ring::{Receiver, Sender, pair};
use tgw_settings::Settings;
use tgw_topology::{
    Place, Vm,
    place::{Distance, Domain, Region},
};
use tgw_wire::Keys;
use tokio::sync::watch;

/// Work that waits for the core.
const CORE: usize = 1 << 16;
/// Errands that wait for the upstreams' duty.
const ERRANDS: usize = 1 << 16;
/// Commands that wait for the peers' duty.
const PEERS: usize = 1 << 14;
const NOTICES: usize = 1 << 12;
/// Counter bits below a life's start time: room for refutations.
const REFUTATIONS: u32 = 16;

/// What a process is started with besides its settings.
pub struct Options {
    /// The settings.
    pub settings: Settings,
    /// The platform; by default the one that the settings name.
    pub store: Option<Arc<dyn Store>>,
    /// The way to other VMs; by default the network as it is.
    pub network: Arc<dyn Network>,
    /// Stops all duties while the VM counts as frozen.
    pub freeze: Freeze,
    /// Makes what listens to the core, as for a trace.
    pub tap: Option<MakeTap>,
}

/// Makes what listens to a core of this identity.
pub type MakeTap = Box<dyn FnOnce(&Identity) -> anyhow::Result<Box<dyn CoreObserver>> + Send>;

impl Options {
    /// Options of a process that runs on its settings alone.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            store: None,
            network: Arc::new(Direct),
            freeze: Freeze::default(),
            tap: None,
        }
    }
}

/// A running process's duties.
pub struct Handle {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: tgw_peer::Handle,
    core: Sender<Work>,
    outgoing: Sender<Command>,
    gauges: Arc<Gauges>,
    idle: watch::Receiver<bool>,
    /// Ends the HTTP listeners, which finish the requests they have.
    close: watch::Sender<bool>,
    /// Ends all other duties.
    stop: watch::Sender<bool>,
    http: Vec<JoinHandle<()>>,
    threads: Vec<JoinHandle<()>>,
    grace: Duration,
}

impl Handle {
    /// Where callers are served.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where operators are served.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Where peers reach the VM.
    pub fn peers(&self) -> SocketAddr {
        self.peers.addr()
    }

    /// Whether new queries are taken.
    pub fn ready(&self) -> bool {
        self.gauges.accepting()
    }

    /// VMs that may own groups, as this one sees them.
    pub fn members(&self) -> u64 {
        self.gauges.members.load(Ordering::Relaxed)
    }

    /// Bytes of membership packets sent since the start.
    pub fn udp_sent(&self) -> u64 {
        self.peers.counts().udp_bytes_sent.load(Ordering::Relaxed)
    }

    /// Leaves in order: tells the others, goes on accepting while the balancer lags, finishes all
    /// requests, then stops. Returns whether nothing was left undone within `limit`.
    pub fn drain(mut self, limit: Duration) -> bool {
        let _ = self.outgoing.push(Command::Leave);
        self.gauges.leaving.store(true, Ordering::Relaxed);
        std::thread::sleep(self.grace);
        let _ = self.core.push(Work::Drain);
        // The listeners close first and finish what they have; only then may the core count as idle.
        let _ = self.close.send(true);
        for thread in self.http.drain(..) {
            let _ = thread.join();
        }
        let until = std::time::Instant::now() + limit;
        let mut idle = *self.idle.borrow();
        while !idle && std::time::Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
            idle = *self.idle.borrow();
        }
        self.kill();
        idle
    }

    /// Stops at once, as a crash would.
    pub fn kill(mut self) {
        let _ = self.close.send(true);
        let _ = self.stop.send(true);
        self.peers.join();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Passes on to the core and to the configuration duty what the peers' duty reports.
struct Sink {
    core: Sender<Work>,
    notices: Sender<Notice>,
}

impl Observer for Sink {
    fn deliver(&self, frame: Frame) -> Result<(), Frame> {
        let Frame { from, incarnation, payload } = frame;
        let notice = match payload {
            Payload::Messages(messages) => {
                let back = self.core.push(Work::Messages(from, messages));
                return back.map_err(|work| match work {
                    Work::Messages(from, messages) => {
                        Frame { from, incarnation, payload: Payload::Messages(messages) }
                    }
                    _ => Frame { from, incarnation, payload: Payload::Messages(Vec::new()) },
                });
            }
            Payload::RequestUpdates { edition: edit, catalog_version: world } => {
                Notice::Asked { from, edit, world }
            }
            Payload::TableUpdate(delta) => Notice::Table(delta),
            Payload::CatalogUpdate { version, updates: parts } => Notice::World { version, parts },
            Payload::Records(_) => return Ok(()),
        };
        // Versions are told again with every packet, so a lost notice is made up for.
        let _ = self.notices.push(notice);
        Ok(())
    }

    fn directory_changed(&self, directory: Arc<Directory>, relay: bool) {
        let _ = self.core.push(Work::Directory(directory));
        let _ = self.notices.push(Notice::Relay(relay));
    }

    fn rollouts(&self, rollouts: BTreeMap<Domain, Force>) {
        let _ = self.core.push(Work::Forces(rollouts));
    }

    fn disconnected(&self, vm: Vm) {
        let _ = self.core.push(Work::Lost(vm));
    }

    fn queue_full(&self, vm: Vm, payload: Payload) {
        // The VM does not keep up. What it was asked is answered as failed, so that the entry can
        // try elsewhere; outcomes and cancellations are lost, and the asker's timers deal with it.
        let Payload::Messages(messages) = payload else { return };
        let failed = messages.into_iter().filter_map(|message| match message {
            Message::Request(Request { key, .. }) => {
                Some(Message::Outcome(Completion::unqueued(key, Outcome::Failed(Failure::Closed))))
            }
            _ => None,
        });
        let _ = self.core.push(Work::Messages(vm, failed.collect()));
    }

    fn peer_newer(&self, vm: Vm, _edition: u64, _catalog_version: u64) {
        let _ = self.notices.push(Notice::Newer(vm));
    }

    fn paused(&self, gap: Millis) {
        let _ = self.core.push(Work::Paused(gap));
    }
}

/// Starts all duties. Errors: an address cannot be bound.
pub fn spawn(options: Options) -> anyhow::Result<Handle> {
    let Options { settings, store, network, freeze, tap } = options;
    let clock: Arc<dyn Clock> = Arc::new(Monotonic::default());
    let gauges = Arc::new(Gauges::default());
    let metrics = Arc::new(Metrics::open(&gauges)?);
    let vm = Vm::named(&settings.vm.name);
    let incarnation = incarnation();
    let place = Place { region: Region(settings.vm.region), domain: Domain(settings.vm.domain) };
    let (core, work) = pair(CORE);
    let (errands, errands_out) = pair(ERRANDS);
    let (outgoing, outgoing_out) = pair(PEERS);
    let (notices, notices_out) = pair(NOTICES);
    let (stop, stopped) = watch::channel(false);
    let (close, closed) = watch::channel(false);
    let (idle, idle_seen) = watch::channel(false);

    let sink = Box::new(Sink { core: core.clone(), notices: notices.clone() });
    let mut peer = peer_options(&settings, vm, incarnation, place, network, clock.clone());
    peer.freeze = freeze.clone();
    let peers = tgw_peer::bind(peer, outgoing_out, sink, stopped.clone())?;

    let identity = identity(&settings, vm, incarnation, place);
    let mut node = Node::new(tgw_node::Options::production(&identity));
    if let Some(tap) = tap {
        node.set_observer(tap(&identity)?);
    }
    let ends = Ends { work, depth: core.clone(), errands, peers: outgoing.clone(), notices, idle };
    let (name, place) = (&settings.vm.name, place.to_string());
    let queries = Queries::new(name, &place, node, clock.clone(), gauges.clone(), ends);
    let mut threads = Vec::new();
    let stop_seen = stopped.clone();
    let frozen = freeze.clone();
    threads.push(thread("queries", move || queries.run(&frozen, stop_seen))?);
    threads.push(upstreams_thread(
        &core,
        errands_out,
        &gauges,
        &clock,
        &freeze,
        incarnation,
        &stopped,
    )?);
    let store = store.unwrap_or_else(|| platform(&settings));
    threads.push(config_thread(store, &core, &outgoing, notices_out, &gauges, &clock, &stopped)?);

    let callers = Arc::new(Callers {
        core: core.clone(),
        gauges: gauges.clone(),
        metrics: metrics.clone(),
        body_limit: settings.listen.body_limit as usize,
        read_timeout: Duration::from_millis(settings.listen.read_timeout_ms),
    });
    let read_timeout = callers.read_timeout;
    let (callers_addr, callers_thread) = http(
        "callers",
        settings.listen.callers,
        callers::router(callers),
        read_timeout,
        closed.clone(),
    )?;
    let token = settings.peer.admin_token.0.clone();
    let operators = Arc::new(Operators { core: core.clone(), metrics, token });
    let (operators_addr, operators_thread) = http(
        "operators",
        settings.listen.operators,
        operators::router(operators),
        read_timeout,
        closed,
    )?;
    Ok(Handle {
        callers: callers_addr,
        operators: operators_addr,
        peers,
        core,
        outgoing,
        gauges,
        idle: idle_seen,
        close,
        stop,
        http: vec![callers_thread, operators_thread],
        threads,
        grace: Duration::from_millis(settings.vm.drain_grace_ms),
    })
}

/// This life of the VM: higher than that of any process before, as far as the machine's wall clock
/// goes forward between two starts.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (since.as_millis() as u64) << REFUTATIONS
}

fn platform(settings: &Settings) -> Arc<dyn Store> {
    Arc::new(Http::open(settings.platform.addr, Millis::new(settings.platform.timeout_ms)))
}

fn peer_options(
    settings: &Settings,
    vm: Vm,
    incarnation: u64,
    place: Place,
    network: Arc<dyn Network>,
    clock: Arc<dyn Clock>,
) -> tgw_peer::Options {
    let peer = &settings.peer;
    tgw_peer::Options {
        member: tgw_member::Options {
            vm,
            name: settings.vm.name.clone(),
            incarnation,
            place,
            addr: settings.listen.peers,
            seeds: peer.seeds.clone(),
            seed: incarnation,
        },
        listen: settings.listen.peers,
        keys: Keys::new(peer.key.0, peer.old_key.map(|k| k.0)),
        network,
        clock,
        freeze: Freeze::default(),
    }
}

fn identity(settings: &Settings, vm: Vm, incarnation: u64, place: Place) -> Identity {
    let us = |micros: u64| Millis::from_micros(micros).as_f64();
    let network = settings.network;
    let network_delays = Distance {
        local: us(network.local_us),
        domains: us(network.domains_us),
        regions: us(network.regions_us),
    };
    let (max_running, log_sample_interval) =
        (settings.listen.concurrency as u32, settings.log.sample);
    Identity { vm, incarnation, place, network_delays, max_running, log_sample_interval }
}

fn thread(name: &str, run: impl FnOnce() + Send + 'static) -> anyhow::Result<JoinHandle<()>> {
    let builder = std::thread::Builder::new().name(name.into());
    builder.spawn(run).with_context(|| format!("cannot start the thread {name}"))
}

fn upstreams_thread(
    core: &Sender<Work>,
    errands: Receiver<Errand>,
    gauges: &Arc<Gauges>,
    clock: &Arc<dyn Clock>,
    freeze: &Freeze,
    salt: u64,
    stop: &watch::Receiver<bool>,
) -> anyhow::Result<JoinHandle<()>> {
    let (core, gauges, clock) = (core.clone(), gauges.clone(), clock.clone());
    let (freeze, stop) = (freeze.clone(), stop.clone());
    thread("upstreams", move || {
        upstreams::run(core, errands, gauges, clock, &freeze, salt, stop);
    })
}

fn config_thread(
    store: Arc<dyn Store>,
    core: &Sender<Work>,
    peers: &Sender<Command>,
    notices: Receiver<Notice>,
    gauges: &Arc<Gauges>,
    clock: &Arc<dyn Clock>,
    stop: &watch::Receiver<bool>,
) -> anyhow::Result<JoinHandle<()>> {
    let (core, peers, gauges) = (core.clone(), peers.clone(), gauges.clone());
    let (clock, stop) = (clock.clone(), stop.clone());
    thread("config", move || config::run(store, core, peers, notices, gauges, clock, stop))
}

/// Binds an HTTP listener and serves `router` on a thread of its own until `close` changes; requests
/// under way are finished.
fn http(
    name: &'static str,
    addr: SocketAddr,
    router: axum::Router,
    head_timeout: Duration,
    mut close: watch::Receiver<bool>,
) -> anyhow::Result<(SocketAddr, JoinHandle<()>)> {
    let listener = std::net::TcpListener::bind(addr)
        .with_context(|| format!("listen.{name}: cannot bind {addr}"))?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime else { return };
        runtime.block_on(async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
            let graceful = hyper_util::server::graceful::GracefulShutdown::new();
            loop {
                let stream = tokio::select! {
                    _ = close.changed() => break,
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => stream,
                        Err(_) => {
                            tokio::time::sleep(Duration::from_millis(5)).await;
                            continue;
                        }
                    },
                };
                let _ = stream.set_nodelay(true);
                let service = hyper_util::service::TowerToHyperService::new(router.clone());
                let connection = hyper::server::conn::http1::Builder::new()
                    .timer(hyper_util::rt::TokioTimer::new())
                    .header_read_timeout(head_timeout)
                    .max_headers(64)
                    .serve_connection(hyper_util::rt::TokioIo::new(stream), service);
                let watched = graceful.watch(connection);
                tokio::spawn(async move {
                    let _ = watched.await;
                });
            }
            drop(listener);
            graceful.shutdown().await;
        });
    };
    Ok((addr, thread(name, run)?))
}
