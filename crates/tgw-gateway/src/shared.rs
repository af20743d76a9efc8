use crate::{
    Dialect, Settings, governor::Governor, headers, heads::Heads, hop::Hops, log::Dropped,
    loss::Breaks, meters::Meters, packets::Packets, pool::Pools, room::Room,
};
use http::{HeaderMap, Uri};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::atomic::{AtomicU64, Ordering},
};
use tgw_clock::{Clock, Millis, Monotonic};
use tgw_forward::{Core, Policy, fleet::Key, upstream::Word};
use tgw_quarantine::fingerprint::Hasher;
use tgw_route::{Config, Limits, Route, Table};
use tgw_spread::{
    Start, World,
    follow::Sight,
    message::Late,
    start::{self, Event},
};
use tokio::sync::{Notify, watch};

/// How far the process is in leaving.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Serving.
    Serving,
    /// Told to stop: not ready, still accepting while the balancer notices.
    Leaving,
    /// Accepting nothing; what runs is finished.
    Closing,
}

/// What this VM reads from the store, without having been refused.
#[derive(Debug, Default)]
pub(crate) struct Reading {
    pub(crate) config: Cell<bool>,
    pub(crate) upstreams: Cell<bool>,
}

impl Reading {
    /// Whether it reads anything.
    pub(crate) fn any(&self) -> bool {
        self.config.get() || self.upstreams.get()
    }

    /// Whether it reads all that a VM needs.
    pub(crate) fn both(&self) -> bool {
        self.config.get() && self.upstreams.get()
    }
}

/// The configuration in force.
#[derive(Debug, Default)]
pub(crate) struct Configured {
    /// Its version; `None` before the first is known.
    pub(crate) version: Option<u64>,
    pub(crate) table: Table,
    pub(crate) limits: Limits,
    /// When it was taken over.
    pub(crate) since: Millis,
}

impl Configured {
    /// The route of a request.
    pub(crate) fn route(&self, uri: &Uri, headers: &HeaderMap) -> Option<&Rc<Route>> {
        self.table.find(headers::host(uri, headers)?, uri.path())
    }
}

/// What the tasks of the serving thread share. Borrows never span an await.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) dialect: Box<dyn Dialect>,
    pub(crate) clock: Monotonic,
    pub(crate) core: RefCell<Core>,
    pub(crate) pools: Pools,
    pub(crate) packets: Packets,
    pub(crate) hops: Hops,
    pub(crate) heads: Heads,
    pub(crate) room: Room,
    pub(crate) hasher: Hasher,
    pub(crate) breaks: Breaks,
    pub(crate) config: RefCell<Configured>,
    /// What is told to other VMs.
    pub(crate) world: RefCell<World>,
    /// The list of upstreams is known.
    pub(crate) listed: Cell<bool>,
    /// Evacuations were read or told, or cannot be read now: until then what is sent may go where nothing may be sent.
    pub(crate) evacuations_asked: Cell<bool>,
    /// Upstreams are known from a copy of the store, which may be old, and from nothing better.
    pub(crate) stale: Cell<bool>,
    /// This VM watches the store for its failure domain; `None` until that is known.
    pub(crate) relay: watch::Sender<Option<bool>>,
    /// Whether this VM reads the store at its start, and whom it asks before.
    pub(crate) start: RefCell<Start>,
    /// What this VM reads from the store now.
    pub(crate) reading: Reading,
    /// Whether the store answers this VM.
    pub(crate) sight: RefCell<Sight>,
    /// VMs of this domain that the store does not answer.
    pub(crate) blind_near: Cell<usize>,
    /// Upstreams that were found late, to be told to other VMs.
    pub(crate) late: RefCell<Vec<Late>>,
    /// Something is to be told to other VMs.
    pub(crate) news: Notify,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) governor: Governor,
    pub(crate) dropped: Option<Dropped>,
    pub(crate) meters: Meters,
    pub(crate) running: Cell<u32>,
    requests: Cell<u32>,
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        dialect: Box<dyn Dialect>,
        packets: Packets,
        dropped: Option<Dropped>,
        policy: Policy,
    ) -> anyhow::Result<Rc<Self>> {
        let room = Room::new(settings.bodies);
        let hasher = Hasher::new(&settings.peer.key);
        let clock = Monotonic::default();
        let start = Start::new(
            clock.now(),
            start::Options {
                seed: settings.peer.seed,
                first: settings.first,
                seeds: settings.peer.seeds.clone(),
                waits: settings.peer.waits,
                random: rand::random(),
            },
        );
        let world = World::new(settings.heartbeat);
        let mut core = Core::new(settings.place.clone(), settings.budget, policy);
        core.set_excess(settings.excess);
        Ok(Rc::new(Self {
            core: RefCell::new(core),
            settings,
            dialect,
            clock,
            pools: Pools::default(),
            packets,
            hops: Hops::default(),
            heads: Heads::default(),
            room,
            hasher,
            breaks: Breaks::default(),
            config: RefCell::default(),
            world: RefCell::new(world),
            listed: Cell::new(false),
            evacuations_asked: Cell::new(false),
            stale: Cell::new(false),
            relay: watch::Sender::new(None),
            start: RefCell::new(start),
            reading: Reading::default(),
            sight: RefCell::default(),
            blind_near: Cell::new(0),
            late: RefCell::default(),
            news: Notify::new(),
            phase: watch::Sender::new(Phase::Serving),
            governor: Governor::default(),
            dropped,
            running: Cell::new(0),
            requests: Cell::new(rand::random()),
            meters: Meters::open()?,
        }))
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Whether the balancer may send new callers.
    pub(crate) fn ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.listed.get()
            && self.evacuations_asked.get()
            && self.config.borrow().version.is_some()
    }

    /// Tells what decides the start of this VM something that calls for no action.
    pub(crate) fn tell_start(&self, event: Event<'_>) {
        self.start.borrow_mut().on(self.now(), event, &mut Vec::new());
    }

    /// Takes note of the versions that this VM holds now.
    pub(crate) fn note_held(&self) {
        let world = self.world.borrow();
        let (config, upstreams) = (world.config(), world.upstreams.version());
        if upstreams > 0 {
            self.listed.set(true);
        }
        self.tell_start(Event::Holds { config, upstreams });
    }

    /// Puts a configuration in force that the world has taken over.
    pub(crate) fn adopt(&self, config: &Config, source: &str) {
        let mut configured = self.config.borrow_mut();
        tracing::info!(
            config = config.version,
            before = configured.version,
            routes = config.routes.len(),
            services = config.services.len(),
            source,
            "configuration in force"
        );
        self.core.borrow_mut().configure(config);
        *configured = Configured {
            version: Some(config.version),
            table: Table::new(config),
            limits: config.limits,
            since: self.now(),
        };
        self.news.notify_one();
    }

    /// Sends nothing more to the upstreams of the failure domains that the world says are evacuated.
    pub(crate) fn evacuate(&self, source: &str) {
        let world = self.world.borrow();
        let domains = world.evacuations.domains();
        let version = world.evacuations.version();
        tracing::info!(?domains, version, source, "evacuations in force");
        for unknown in domains.iter().filter(|d| self.settings.place.region(d).is_none()) {
            tracing::warn!(domain = &**unknown, "an evacuated failure domain is not known here");
        }
        self.core.borrow_mut().fleet.set_evacuated(self.now(), domains.clone());
        self.news.notify_one();
    }

    /// Tells other VMs of upstreams that are late or slow.
    pub(crate) fn tell_late(&self, now: Millis, keys: &[Key]) {
        let mut core = self.core.borrow_mut();
        let mut late = self.late.borrow_mut();
        for key in keys {
            let Some((entry, Word { overdue, expected })) = core.fleet.tell(now, *key) else {
                continue;
            };
            let (upstream, started) = (entry.id.clone(), entry.started);
            late.push(Late { upstream, started, overdue, expected: expected as f32 });
        }
        if !late.is_empty() {
            self.news.notify_one();
        }
    }

    /// Sets the metrics that are read, not counted.
    pub(crate) fn measure(&self) {
        let gauges = &self.meters.gauges;
        let set = |gauge: &AtomicU64, value: u64| gauge.store(value, Ordering::Relaxed);
        let config = self.config.borrow();
        set(&gauges.config, config.version.unwrap_or_default());
        set(&gauges.config_since, config.since.whole());
        let core = self.core.borrow();
        set(&gauges.upstreams, core.fleet.len() as u64);
        set(&gauges.vms, u64::from(core.vms().all));
        set(&gauges.running, u64::from(self.running.get()));
        set(&gauges.idle, self.pools.len() as u64);
        set(&gauges.lines_left_out, self.governor.left_out());
        set(&gauges.lines_dropped, self.dropped.as_ref().map_or(0, Dropped::count));
        set(&gauges.room, self.room.free() as u64);
        set(&gauges.hosted, self.hops.hosted() as u64);
        let (held, suspected) = core.quarantine.counts();
        set(&gauges.held, held as u64);
        set(&gauges.suspected, suspected as u64);
        set(&gauges.ready, u64::from(self.ready()));
    }

    /// A number that differs from request to request.
    pub(crate) fn number(&self) -> u32 {
        let number = self.requests.get().wrapping_add(1);
        self.requests.set(number);
        number
    }
}
