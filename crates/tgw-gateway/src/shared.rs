use crate::{
    Codec, Settings,
    admission::Admission,
    agreement::{Agreement, Hex},
    authentication::NewestCheck,
    broken::Sends,
    gather::Gathered,
    headers,
    hop::Hops,
    log::DropCounter,
    log_limiter::Limiter,
    memory::Budget,
    metrics::Metrics,
    packets::Packets,
    pool::Pools,
    request_heads::RequestHeads,
    telemetry,
    waiting::Waiting,
    watch::probe::StoreReports,
};
use http::{HeaderMap, Uri};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::atomic::{AtomicU64, Ordering},
};
use tgw_clock::{Clock, Millis, Monotonic};
use tgw_forward::{Core, Policy, fleet::Key, upstream::PeerReport};
use tgw_quarantine::fingerprint::Hasher;
use tgw_route::{Config, Limits, Route, Table};
use tgw_spread::{
    Bootstrap, ReplicatedState, message,
    reachability::Reachability,
    start::{self, Event},
};
use tgw_tenant::{Directory, Principal};
use tokio::sync::{Notify, watch};

/// Phase of the process from start to shutdown.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Normal operation.
    Serving,
    /// Shutdown was requested: not ready, but still accepting until the balancer has noticed.
    Draining,
    /// No longer accepting; running requests are finished.
    Closing,
}

/// Whether queries compete for upstreams on this VM.
#[derive(Copy, Clone, Debug, Default)]
pub(crate) struct Overload {
    pub(crate) is_overloaded: bool,
    /// When that last changed.
    pub(crate) since: Millis,
}

/// What this VM reads from the store without errors.
#[derive(Debug, Default)]
pub(crate) struct StoreReads {
    pub(crate) config: Cell<bool>,
    pub(crate) upstreams: Cell<bool>,
}

impl StoreReads {
    /// Whether this VM reads anything from the store.
    pub(crate) fn any(&self) -> bool {
        self.config.get() || self.upstreams.get()
    }

    /// Whether this VM reads both the configuration and the upstreams.
    pub(crate) fn all(&self) -> bool {
        self.config.get() && self.upstreams.get()
    }
}

/// The configuration in force.
#[derive(Debug, Default)]
pub(crate) struct ActiveConfig {
    /// Version of the configuration; `None` until one is known.
    pub(crate) version: Option<u64>,
    pub(crate) table: Table,
    pub(crate) limits: Limits,
    /// The tenants; `None` where requests need no API key.
    pub(crate) tenants: Option<Directory>,
    /// Time at which the configuration came into force.
    pub(crate) since: Millis,
}

impl ActiveConfig {
    /// The route that matches a request.
    pub(crate) fn route(&self, uri: &Uri, headers: &HeaderMap) -> Option<&Rc<Route>> {
        self.table.find(headers::host(uri, headers)?, uri.path())
    }
}

/// State shared by the tasks of the serving thread. Borrows must not be held across an await.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) codec: Box<dyn Codec>,
    pub(crate) clock: Monotonic,
    pub(crate) core: RefCell<Core>,
    pub(crate) pools: Pools,
    pub(crate) packets: Packets,
    pub(crate) hops: Hops,
    pub(crate) gathered: Gathered,
    pub(crate) request_heads: RequestHeads,
    pub(crate) memory: Budget,
    pub(crate) hasher: Hasher,
    pub(crate) broken_sends: Sends,
    pub(crate) config: RefCell<ActiveConfig>,
    /// State that is replicated between VMs.
    pub(crate) world: RefCell<ReplicatedState>,
    /// The list of upstreams is known.
    pub(crate) upstreams_known: Cell<bool>,
    /// Evacuations were read or received from a peer, or cannot be read at the moment. Before that,
    /// a request could be sent to an evacuated failure domain.
    pub(crate) evacuations_checked: Cell<bool>,
    /// Upstreams are known only from a copy of the store, which may be out of date.
    pub(crate) upstreams_stale: Cell<bool>,
    /// Whether this VM is a relay, which watches the store for its failure domain; `None` until
    /// decided.
    pub(crate) relay: watch::Sender<Option<bool>>,
    /// Decides whether this VM reads the store at its start, and which VMs it asks before.
    pub(crate) start: RefCell<Bootstrap>,
    /// What this VM currently reads from the store.
    pub(crate) store_reads: StoreReads,
    /// Whether this VM's configuration is the newest.
    pub(crate) newest_check: NewestCheck,
    /// Admission of tenants' requests.
    pub(crate) admission: Admission,
    /// Queries that wait for admission on this VM.
    pub(crate) waiting: Waiting,
    /// The level of overload as of the last tick.
    pub(crate) overload: Cell<Overload>,
    /// Comparison of this VM's lists with those of other VMs.
    pub(crate) agreement: Agreement,
    /// Whether this VM can reach the store.
    pub(crate) reachability: RefCell<Reachability>,
    /// Number of VMs of this domain that cannot reach the store.
    pub(crate) peers_without_store: Cell<usize>,
    pub(crate) store_reports: StoreReports,
    /// Reports on slow upstreams that are still to be sent to other VMs.
    pub(crate) pending_reports: RefCell<Vec<message::PeerReport>>,
    /// Notified when there is an update for other VMs.
    pub(crate) update_ready: Notify,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) log_limiter: Limiter,
    pub(crate) dropped_lines: Option<DropCounter>,
    pub(crate) metrics: Metrics,
    pub(crate) running: Cell<u32>,
    last_request: Cell<u32>,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        codec: Box<dyn Codec>,
        packets: Packets,
        dropped_lines: Option<DropCounter>,
        policy: Policy,
    ) -> anyhow::Result<Rc<Self>> {
        let memory = Budget::new(settings.body_memory_bytes);
        let hasher = Hasher::new(&settings.peer.key);
        let clock = Monotonic::default();
        let start = Bootstrap::new(
            clock.now(),
            start::Options {
                is_seed: settings.peer.is_seed,
                first_start: settings.first_fleet_start,
                seeds: settings.peer.seeds.clone(),
                timeouts: settings.peer.start_timeouts,
                rng_seed: rand::random(),
            },
        );
        let admission = Admission::new(settings.limit_terms);
        let world = ReplicatedState::new(settings.heartbeat_interval);
        let mut core = Core::new(settings.place.clone(), settings.retry_budget, policy);
        core.set_headroom(settings.warmup_headroom);
        let gathered = Gathered::new(settings.peer.power);
        Ok(Rc::new(Self {
            core: RefCell::new(core),
            settings,
            codec,
            clock,
            pools: Pools::default(),
            packets,
            hops: Hops::default(),
            gathered,
            request_heads: RequestHeads::default(),
            memory,
            hasher,
            broken_sends: Sends::default(),
            config: RefCell::default(),
            world: RefCell::new(world),
            upstreams_known: Cell::new(false),
            evacuations_checked: Cell::new(false),
            upstreams_stale: Cell::new(false),
            relay: watch::Sender::new(None),
            start: RefCell::new(start),
            store_reads: StoreReads::default(),
            newest_check: NewestCheck::default(),
            admission,
            waiting: Waiting::default(),
            overload: Cell::default(),
            agreement: Agreement::default(),
            reachability: RefCell::default(),
            peers_without_store: Cell::new(0),
            store_reports: StoreReports::default(),
            pending_reports: RefCell::default(),
            update_ready: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            log_limiter: Limiter::default(),
            dropped_lines,
            running: Cell::new(0),
            last_request: Cell::new(rand::random()),
            metrics: Metrics::new()?,
        }))
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// The priority of a request: that of its tenant if the configuration states one, or else of its route.
    pub(crate) fn priority(&self, route: &Route, principal: Option<&Principal>) -> u32 {
        let config = self.config.borrow();
        let tenants = config.tenants.as_ref();
        let tenant = principal.and_then(|principal| tenants?.tenant(&principal.tenant));
        tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority)
    }

    /// Whether the balancer may send new callers here.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.upstreams_known.get()
            && self.evacuations_checked.get()
            && self.config.borrow().version.is_some()
    }

    /// Passes an event that calls for no action to the start-up logic.
    pub(crate) fn notify_start(&self, event: Event<'_>) {
        self.start.borrow_mut().handle(self.now(), event, &mut Vec::new());
    }

    /// Passes the versions held by this VM to the start-up logic.
    pub(crate) fn record_versions(&self) {
        let world = self.world.borrow();
        let (config, upstreams) = (world.configuration.version(), world.upstreams.version());
        if upstreams > 0 {
            self.upstreams_known.set(true);
        }
        self.notify_start(Event::OwnVersions { config, upstreams });
    }

    /// Puts a configuration into force that was accepted into the replicated state.
    pub(crate) fn apply_config(&self, config: &Config, source: &str) {
        let mut active = self.config.borrow_mut();
        tracing::info!(
            config = config.version,
            before = active.version,
            routes = config.routes.len(),
            services = config.services.len(),
            tenants = config.tenants.as_ref().map(Vec::len),
            digest = %Hex(self.world.borrow().configuration.digest().hash),
            source,
            "configuration in force"
        );
        self.core.borrow_mut().configure(config);
        *active = ActiveConfig {
            version: Some(config.version),
            table: Table::new(config),
            limits: config.limits,
            tenants: config.tenants.as_ref().map(|t| Directory::new(config.version, t)),
            since: self.now(),
        };
        self.newest_check.config_changed();
        self.update_ready.notify_one();
    }

    /// Stops sending to upstreams in the failure domains that are evacuated according to the
    /// replicated state.
    pub(crate) fn apply_evacuations(&self, source: &str) {
        let world = self.world.borrow();
        let domains = world.evacuations.domains();
        let version = world.evacuations.version();
        tracing::info!(?domains, version, source, "evacuations in force");
        for unknown in domains.iter().filter(|d| self.settings.place.region(d).is_none()) {
            tracing::warn!(
                domain = &**unknown,
                "evacuated failure domain is not in the settings of this VM"
            );
        }
        self.core.borrow_mut().fleet.set_evacuated(self.now(), domains.clone());
        self.update_ready.notify_one();
    }

    /// Whether a request that was accepted for a principal may still be sent.
    pub(crate) fn permits(&self, principal: Option<&Principal>) -> bool {
        let config = self.config.borrow();
        let permits = |principal| config.tenants.as_ref().is_none_or(|t| t.permits(principal));
        principal.is_none_or(permits)
    }

    /// Queues reports on late or slow upstreams for other VMs.
    pub(crate) fn queue_reports(&self, now: Millis, keys: &[Key]) {
        let mut core = self.core.borrow_mut();
        let mut reports = self.pending_reports.borrow_mut();
        for key in keys {
            let Some((entry, PeerReport { overdue, expected_latency_ms })) =
                core.fleet.take_report(now, *key)
            else {
                continue;
            };
            let (upstream, started) = (entry.id.clone(), entry.started);
            reports.push(message::PeerReport {
                upstream,
                started,
                overdue,
                expected_latency_ms: expected_latency_ms as f32,
            });
        }
        if !reports.is_empty() {
            self.update_ready.notify_one();
        }
    }

    /// Periodic work, each 100 ms: wakes queries that time alone admits or rejects, and logs a change of the level of
    /// overload.
    pub(crate) fn check_overload(&self) {
        self.waiting.notify(self);
        let now = self.now();
        let is_overloaded = self.core.borrow().admission.is_overloaded(now);
        let before = self.overload.get();
        if is_overloaded != before.is_overloaded {
            self.overload.set(Overload { is_overloaded, since: now });
            telemetry::overload_changed(self, now, is_overloaded, now - before.since);
        }
    }

    /// Updates the gauges.
    pub(crate) fn update_gauges(&self) {
        let gauges = &self.metrics.gauges;
        let set = |gauge: &AtomicU64, value: u64| gauge.store(value, Ordering::Relaxed);
        let config = self.config.borrow();
        set(&gauges.config, config.version.unwrap_or_default());
        set(&gauges.config_since, config.since.as_whole_ms());
        let core = self.core.borrow();
        set(&gauges.upstreams, core.fleet.len() as u64);
        set(&gauges.vms, u64::from(core.vms().all));
        set(&gauges.running, u64::from(self.running.get()));
        set(&gauges.config_agreed, self.agreement.configuration.agreed_at().as_whole_ms());
        set(&gauges.upstreams_agreed, self.agreement.upstreams.agreed_at().as_whole_ms());
        set(&gauges.idle_connections, self.pools.len() as u64);
        set(&gauges.lines_left_out, self.log_limiter.left_out());
        set(&gauges.lines_dropped, self.dropped_lines.as_ref().map_or(0, DropCounter::count));
        set(&gauges.free_memory_bytes, self.memory.free_bytes() as u64);
        set(&gauges.gathered, self.gathered.held() as u64);
        set(&gauges.limit_accounts, self.admission.accounts() as u64);
        set(&gauges.hosted, self.hops.hosted() as u64);
        let (quarantined, suspected) = core.quarantine.counts();
        set(&gauges.quarantined, quarantined as u64);
        set(&gauges.suspected, suspected as u64);
        set(&gauges.knowledge, self.admission.knowledge() as u64);
        set(&gauges.overloaded, u64::from(self.overload.get().is_overloaded));
        set(&gauges.ready, u64::from(self.is_ready()));
    }

    /// A number that differs from request to request.
    pub(crate) fn next_number(&self) -> u32 {
        let number = self.last_request.get().wrapping_add(1);
        self.last_request.set(number);
        number
    }
}
