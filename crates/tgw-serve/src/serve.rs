use crate::{
    callers::{self, Callers},
    config,
    messages::{Command, ConfigMessage, CoreMessage},
    metrics::{Gauges, Metrics},
    operators::{self, Operators},
    peer_reports::PeerReports,
    queries::{Channels, Queries},
    upstreams,
};
use anyhow::Context;
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread::JoinHandle,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tgw_clock::{Clock, Millis, Monotonic, PauseSwitch};
use tgw_node::{Identity, Node, Observer as CoreObserver};
use tgw_peer::{Command as PeerCommand, Direct, Network};
use tgw_platform::{Http, Store};
use tgw_ring::{Receiver, Sender, channel};
use tgw_settings::Settings;
use tgw_topology::{
    Place, Vm,
    place::{Domain, Latency, Region},
};
use tgw_wire::Keys;
use tokio::sync::watch;

/// Capacity of the ring to the core, in messages.
const CORE_RING_CAPACITY: usize = 1 << 16;
/// Capacity of the ring to the upstreams worker, in commands.
const COMMAND_RING_CAPACITY: usize = 1 << 16;
/// Capacity of the ring to the peers worker, in messages.
const PEERS_RING_CAPACITY: usize = 1 << 14;
/// Capacity of the ring to the configuration worker, in messages.
const CONFIG_RING_CAPACITY: usize = 1 << 12;
/// Low bits of an incarnation below the process's start time, reserved for the increments by which a VM
/// refutes suspicion.
const REFUTATION_BITS: u32 = 16;

/// What a process is started with: its settings, and replacements for parts of it.
pub struct Options {
    /// The settings.
    pub settings: Settings,
    /// The platform's store; by default the one at the address in the settings.
    pub store: Option<Arc<dyn Store>>,
    /// The network to the other VMs; by default the real network without restrictions.
    pub network: Arc<dyn Network>,
    /// Blocks the core, the upstreams worker and the peers worker while set.
    pub pause_switch: PauseSwitch,
    /// Creates an observer of the core's inputs and outputs, such as a trace recorder.
    pub observer_factory: Option<TapFactory>,
}

/// Creates an observer for a core of this identity.
pub type TapFactory = Box<dyn FnOnce(&Identity) -> anyhow::Result<Box<dyn CoreObserver>> + Send>;

impl Options {
    /// Creates options for a process with the defaults for everything but the settings.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            store: None,
            network: Arc::new(Direct),
            pause_switch: PauseSwitch::default(),
            observer_factory: None,
        }
    }
}

/// The workers of a running process.
pub struct Handle {
    callers: SocketAddr,
    operators: SocketAddr,
    peers: tgw_peer::Handle,
    core: Sender<CoreMessage>,
    outgoing: Sender<PeerCommand>,
    gauges: Arc<Gauges>,
    idle: watch::Receiver<bool>,
    /// Stops the HTTP listeners; requests in flight are finished.
    close: watch::Sender<bool>,
    /// Stops all other workers.
    stop: watch::Sender<bool>,
    http_threads: Vec<JoinHandle<()>>,
    threads: Vec<JoinHandle<()>>,
    grace: Duration,
}

impl Handle {
    /// The address that serves callers.
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers
    }

    /// The address that serves operators.
    pub fn operators_addr(&self) -> SocketAddr {
        self.operators
    }

    /// The address that receives peer traffic.
    pub fn peers_addr(&self) -> SocketAddr {
        self.peers.addr()
    }

    /// Whether the readiness check tells the load balancer that this VM takes new queries.
    pub fn is_ready(&self) -> bool {
        self.gauges.accepting()
    }

    /// Number of VMs that may own groups, as seen by this VM.
    pub fn owner_candidates(&self) -> u64 {
        self.gauges.members.load(Ordering::Relaxed)
    }

    /// Bytes of membership packets sent since the process started.
    pub fn udp_bytes_sent(&self) -> u64 {
        self.peers.counts().udp_bytes_sent.load(Ordering::Relaxed)
    }

    /// Shuts down gracefully: announces the departure to the other VMs, accepts requests for the grace
    /// period (until the load balancer has noticed), finishes all requests, then stops. Returns whether
    /// all requests were finished within `limit`.
    pub fn drain(mut self, limit: Duration) -> bool {
        let _ = self.outgoing.push(PeerCommand::Leave);
        self.gauges.leaving.store(true, Ordering::Relaxed);
        std::thread::sleep(self.grace);
        let _ = self.core.push(CoreMessage::Drain);
        // The listeners close first and finish their requests; before that the core must not count as
        // idle.
        let _ = self.close.send(true);
        for thread in self.http_threads.drain(..) {
            let _ = thread.join();
        }
        let until = std::time::Instant::now() + limit;
        let mut idle = *self.idle.borrow();
        while !idle && std::time::Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
            idle = *self.idle.borrow();
        }
        self.abort();
        idle
    }

    /// Stops immediately without finishing requests, like a crash.
    pub fn abort(mut self) {
        let _ = self.close.send(true);
        let _ = self.stop.send(true);
        self.peers.join();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Starts all workers. Fails if an address cannot be bound, a thread cannot be started, or the metrics
/// or the observer cannot be created.
pub fn spawn(options: Options) -> anyhow::Result<Handle> {
    let Options { settings, store, network, pause_switch, observer_factory } = options;
    let clock: Arc<dyn Clock> = Arc::new(Monotonic::default());
    let gauges = Arc::new(Gauges::default());
    let metrics = Arc::new(Metrics::new(&gauges)?);
    let vm = Vm::from_name(&settings.vm.name);
    let incarnation = incarnation();
    let place = Place { region: Region(settings.vm.region), domain: Domain(settings.vm.domain) };
    let (core, core_receiver) = channel(CORE_RING_CAPACITY);
    let (commands, command_receiver) = channel(COMMAND_RING_CAPACITY);
    let (outgoing, outgoing_receiver) = channel(PEERS_RING_CAPACITY);
    let (config, config_receiver) = channel(CONFIG_RING_CAPACITY);
    let (stop, stopped) = watch::channel(false);
    let (close, closed) = watch::channel(false);
    let (idle, idle_receiver) = watch::channel(false);

    let peer_reports = Box::new(PeerReports { core: core.clone(), config: config.clone() });
    let mut peer = peer_options(&settings, vm, incarnation, place, network, clock.clone());
    peer.freeze = pause_switch.clone();
    let peers = tgw_peer::bind(peer, outgoing_receiver, peer_reports, stopped.clone())?;

    let identity = identity(&settings, vm, incarnation, place);
    let mut node = Node::new(tgw_node::Options::production(&identity));
    if let Some(observer_factory) = observer_factory {
        node.set_observer(observer_factory(&identity)?);
    }
    let channels = Channels {
        receiver: core_receiver,
        core_sender: core.clone(),
        commands,
        peers: outgoing.clone(),
        config,
        idle,
    };
    let (name, place) = (&settings.vm.name, place.to_string());
    let queries = Queries::new(name, &place, node, clock.clone(), gauges.clone(), channels);
    let mut threads = Vec::new();
    let stop_receiver = stopped.clone();
    let frozen = pause_switch.clone();
    threads.push(spawn_thread("queries", move || queries.run(&frozen, stop_receiver))?);
    threads.push(spawn_upstreams(
        &core,
        command_receiver,
        &gauges,
        &clock,
        &pause_switch,
        incarnation,
        &stopped,
    )?);
    let store = store.unwrap_or_else(|| http_store(&settings));
    threads.push(spawn_config(
        store,
        &core,
        &outgoing,
        config_receiver,
        &gauges,
        &clock,
        &stopped,
    )?);

    let callers = Arc::new(Callers {
        core: core.clone(),
        gauges: gauges.clone(),
        metrics: metrics.clone(),
        body_limit: settings.listen.body_limit as usize,
        read_timeout: Duration::from_millis(settings.listen.read_timeout_ms),
    });
    let read_timeout = callers.read_timeout;
    let (callers_addr, callers_thread) = serve_http(
        "callers",
        settings.listen.callers,
        callers::router(callers),
        read_timeout,
        closed.clone(),
    )?;
    let token = settings.peer.admin_token.0.clone();
    let operators = Arc::new(Operators { core: core.clone(), metrics, token });
    let (operators_addr, operators_thread) = serve_http(
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
        idle: idle_receiver,
        close,
        stop,
        http_threads: vec![callers_thread, operators_thread],
        threads,
        grace: Duration::from_millis(settings.vm.drain_grace_ms),
    })
}

/// The incarnation of this process: higher than that of every earlier process of the VM, provided that
/// the machine's wall clock does not go back between two starts.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    (since.as_millis() as u64) << REFUTATION_BITS
}

fn http_store(settings: &Settings) -> Arc<dyn Store> {
    Arc::new(Http::new(settings.platform.addr, Millis::new(settings.platform.timeout_ms)))
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
            rng_seed: incarnation,
            power: 0,
        },
        listen: settings.listen.peers,
        keys: Keys::new(peer.key.0, peer.old_key.map(|k| k.0)),
        network,
        clock,
        freeze: PauseSwitch::default(),
    }
}

fn identity(settings: &Settings, vm: Vm, incarnation: u64, place: Place) -> Identity {
    let micros_as_ms = |micros: u64| Millis::from_micros(micros).as_f64();
    let network = settings.network;
    let network_delays = Latency {
        same_domain_ms: micros_as_ms(network.local_us),
        cross_domain_ms: micros_as_ms(network.domains_us),
        cross_region_ms: micros_as_ms(network.regions_us),
    };
    let (max_running, log_sample_interval) =
        (settings.listen.concurrency as u32, settings.log.sample);
    Identity { vm, incarnation, place, network_delays, max_running, log_sample_interval }
}

fn spawn_thread(name: &str, run: impl FnOnce() + Send + 'static) -> anyhow::Result<JoinHandle<()>> {
    let builder = std::thread::Builder::new().name(name.into());
    builder.spawn(run).with_context(|| format!("cannot start the thread {name}"))
}

fn spawn_upstreams(
    core: &Sender<CoreMessage>,
    commands: Receiver<Command>,
    gauges: &Arc<Gauges>,
    clock: &Arc<dyn Clock>,
    pause_switch: &PauseSwitch,
    request_id_base: u64,
    stop: &watch::Receiver<bool>,
) -> anyhow::Result<JoinHandle<()>> {
    let (core, gauges, clock) = (core.clone(), gauges.clone(), clock.clone());
    let (pause_switch, stop) = (pause_switch.clone(), stop.clone());
    spawn_thread("upstreams", move || {
        upstreams::run(core, commands, gauges, clock, &pause_switch, request_id_base, stop);
    })
}

fn spawn_config(
    store: Arc<dyn Store>,
    core: &Sender<CoreMessage>,
    peers: &Sender<PeerCommand>,
    messages: Receiver<ConfigMessage>,
    gauges: &Arc<Gauges>,
    clock: &Arc<dyn Clock>,
    stop: &watch::Receiver<bool>,
) -> anyhow::Result<JoinHandle<()>> {
    let (core, peers, gauges) = (core.clone(), peers.clone(), gauges.clone());
    let (clock, stop) = (clock.clone(), stop.clone());
    spawn_thread("config", move || config::run(store, core, peers, messages, gauges, clock, stop))
}

/// Binds an HTTP listener and serves `router` on its own thread until `close` changes. Requests in
/// flight are then finished.
fn serve_http(
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
    Ok((addr, spawn_thread(name, run)?))
}
