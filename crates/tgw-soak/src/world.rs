use crate::{callers::DEADLY, fleet::DOMAINS, proxy::Proxy};
use serde_json::{Value, json};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tgw_site_standin::{
    Leaf, Store,
    leaf::{Fault, Run},
    settings as files,
};
use tokio::time::Instant;

/// Shards of the query route.
pub(crate) const SHARDS: usize = 6;
/// Records of an answer.
pub(crate) const LIMIT: usize = 10;
/// Least share of the shards in an answer.
pub(crate) const LEAST: f64 = 0.6;
/// The service of the routes to one upstream.
pub(crate) const SINGLE: &str = "single";
/// The failure domain and region in which requests with a home may be served.
pub(crate) const HOME: (&str, &str) = DOMAINS[0];
/// How long an upstream is cold after its start.
pub(crate) const COLD: Duration = Duration::from_millis(2_000);
/// Requests a second that it bears meanwhile.
const COLD_RATE: f64 = 4.0;
/// Requests that it may get in any second by the settings of all VMs: 1.5 times that, and 5.
pub(crate) const COLD_MOST: usize = 11;
/// How long an upstream works on a request.
const WORK: Duration = Duration::from_millis(6);

/// Time after which an upstream that ended is replaced, and its entry lapses.
const LAPSE: Duration = Duration::from_millis(1_500);

/// An upstream and the way to it.
pub(crate) struct Upstream {
    pub(crate) leaf: Leaf,
    pub(crate) proxy: Proxy,
    domain: &'static str,
    /// Its process's start, as its entry says it.
    started: u64,
    /// When it was said that it leaves.
    pub(crate) left: Option<Instant>,
    /// Its entry was removed without a word.
    vanished: bool,
    /// When it was found to have ended.
    ended: Option<Instant>,
    /// Until when it is cold.
    cold_until: Instant,
    /// Its entry says that it is warm.
    warm: bool,
}

/// What one process of an upstream was.
#[derive(Debug)]
pub(crate) struct Life {
    pub(crate) id: String,
    pub(crate) domain: &'static str,
    /// When it started, if that was during traffic.
    pub(crate) cold_from: Option<Instant>,
}

impl Upstream {
    fn entry(&self) -> Value {
        let (service, addr) = (self.leaf.service(), self.proxy.addr());
        let mut entry = files::entry(service, addr, self.domain, self.left.is_some());
        entry["born"] = self.started.into();
        files::cold(entry, self.cold_until.saturating_duration_since(Instant::now()))
    }

    /// Writes its entry.
    fn enter(&self, store: &Store) {
        if self.vanished {
            return;
        }
        store.put("servers", self.leaf.id(), &self.entry());
    }
}

/// The store, the upstreams and the configuration.
pub(crate) struct World {
    pub(crate) store: Store,
    pub(crate) upstreams: Vec<Upstream>,
    version: u64,
    next: u32,
    /// What ran, by the upstream's incarnation.
    pub(crate) runs: BTreeMap<String, Vec<Run>>,
    /// From when until when the store was down for all.
    pub(crate) outages: Vec<(Instant, Instant)>,
    /// When upstreams ended under a query.
    pub(crate) ends: Vec<Instant>,
    /// Failure domains that were evacuated, from when until when.
    pub(crate) evacuated: Vec<(&'static str, Instant, Instant)>,
    /// All processes of upstreams so far.
    pub(crate) lives: Vec<Life>,
    /// When the ways to upstreams were disturbed: what was held up arrives together.
    pub(crate) bent: Vec<(String, Instant)>,
    /// Callers are there: what starts now is cold.
    traffic: bool,
}

/// The services of the query route.
pub(crate) fn shards() -> Vec<String> {
    (0..SHARDS).map(|index| format!("shard-{index}")).collect()
}

impl World {
    pub(crate) async fn new() -> anyhow::Result<Self> {
        let store = Store::bind().await?;
        let (upstreams, runs) = (Vec::new(), BTreeMap::new());
        let mut world = Self {
            store,
            upstreams,
            version: 0,
            next: 0,
            runs,
            outages: Vec::new(),
            ends: Vec::new(),
            evacuated: Vec::new(),
            lives: Vec::new(),
            bent: Vec::new(),
            traffic: false,
        };
        for service in shards().iter().map(String::as_str).chain([SINGLE]) {
            for domain in DOMAINS {
                world.add(service, domain.0).await?;
            }
        }
        world.configure();
        world.traffic = true;
        Ok(world)
    }

    /// Notes the start of an upstream's process; until when it is cold.
    fn born(&mut self, id: &str, domain: &'static str) -> Instant {
        let now = Instant::now();
        let cold_from = self.traffic.then_some(now);
        self.lives.push(Life { id: id.into(), domain, cold_from });
        if self.traffic { now + COLD } else { now }
    }

    /// Upstreams that have become warm say so.
    pub(crate) fn warm(&mut self) {
        let now = Instant::now();
        let store = self.store.clone();
        for upstream in self.upstreams.iter_mut().filter(|u| !u.warm && u.cold_until <= now) {
            upstream.warm = true;
            if !upstream.leaf.ended() {
                upstream.enter(&store);
            }
        }
    }

    /// Evacuates a failure domain for a while.
    pub(crate) fn evacuate(&mut self, domain: &'static str, until: Instant) {
        self.store.put("evacuations", domain, &json!({}));
        self.evacuated.push((domain, Instant::now(), until));
    }

    /// Takes a failure domain back.
    pub(crate) fn take_back(&mut self, domain: &str) {
        self.store.remove("evacuations", domain);
        for evacuated in self.evacuated.iter_mut().filter(|e| e.0 == domain) {
            evacuated.2 = evacuated.2.min(Instant::now());
        }
    }

    /// Starts an upstream and writes its entry.
    async fn add(&mut self, service: &str, domain: &'static str) -> anyhow::Result<()> {
        self.next += 1;
        let id = format!("i-{}", self.next);
        let (leaf, proxy) = start(service, &id).await?;
        let started = u64::from(self.next);
        let (left, ended) = (None, None);
        let cold_until = self.born(&id, domain);
        let warm = !self.traffic;
        let vanished = false;
        let upstream =
            Upstream { leaf, proxy, domain, started, left, vanished, ended, cold_until, warm };
        upstream.enter(&self.store);
        self.upstreams.push(upstream);
        Ok(())
    }

    /// An upstream ends, and another process starts under its identity. The last heartbeat of the one before
    /// takes effect after the first one of its successor, which writes again.
    pub(crate) async fn restart(&mut self, index: usize) -> anyhow::Result<()> {
        let lives = |u: &&Upstream| u.left.is_none() && !u.leaf.ended();
        let Some(upstream) = self.upstreams.get(index).filter(lives) else { return Ok(()) };
        // Its connections end with it, and nothing begins to run any more.
        upstream.proxy.reset();
        self.collect();
        self.next += 1;
        let upstream = &mut self.upstreams[index];
        let before = upstream.entry();
        let (service, id) = (upstream.leaf.service().to_owned(), upstream.leaf.id().to_owned());
        (upstream.leaf, upstream.proxy) = start(&service, &id).await?;
        upstream.started = u64::from(self.next);
        let domain = upstream.domain;
        let cold_until = self.born(&id, domain);
        let upstream = &mut self.upstreams[index];
        (upstream.cold_until, upstream.warm) = (cold_until, false);
        upstream.enter(&self.store);
        self.store.put("servers", &id, &before);
        upstream.enter(&self.store);
        Ok(())
    }

    /// Overwrites an upstream's entry with what nobody can read; its identity.
    pub(crate) fn overwrite(&mut self, index: usize) -> Option<String> {
        let upstream = self.upstreams.get(index).filter(|u| !u.vanished)?;
        let id = upstream.leaf.id().to_owned();
        let foreign = json!({ "meta": { "name": id, "revision": "none" }, "spec": ["service"] });
        self.store.put_foreign("servers", &id, foreign.to_string().as_bytes());
        Some(id)
    }

    /// An upstream writes its entry again.
    pub(crate) fn enter(&self, id: &str) {
        if let Some(upstream) = self.upstreams.iter().find(|u| u.leaf.id() == id) {
            upstream.enter(&self.store);
        }
    }

    /// Writes a new version of the configuration.
    pub(crate) fn configure(&mut self) {
        self.version += 3;
        let mut services = shards();
        let mut routes = vec![
            files::shards("all", &services, LIMIT, LEAST),
            files::route("safe", SINGLE, true),
            files::route("once", SINGLE, false),
            files::at_home(files::route("home", SINGLE, true), &[HOME.1]),
        ];
        let extra = format!("extra-{}", self.version);
        routes.push(files::route(&extra, SINGLE, true));
        services.push(SINGLE.into());
        let mut document = files::config(self.version, &routes, &services);
        if let Some(services) = document["services"].as_array_mut() {
            for service in services {
                *service = files::limited(service.take(), COLD.as_secs_f64(), COLD_RATE);
            }
        }
        self.store.put("config", "main", &document);
    }

    /// An upstream leaves, with a word of it or without, and another takes its place.
    pub(crate) async fn replace(&mut self, index: usize, tells: bool) -> anyhow::Result<()> {
        let lives = |u: &&mut Upstream| u.left.is_none() && !u.leaf.ended();
        let Some(upstream) = self.upstreams.get_mut(index).filter(lives) else { return Ok(()) };
        let (service, domain) = (upstream.leaf.service().to_owned(), upstream.domain);
        upstream.left = Some(Instant::now());
        if tells {
            upstream.enter(&self.store);
        } else {
            upstream.vanished = true;
            self.store.remove("servers", upstream.leaf.id());
        }
        self.add(&service, domain).await
    }

    /// Upstreams that were leaving are gone, and their entries with them.
    pub(crate) fn retire(&mut self, after: Duration) {
        self.collect();
        let store = self.store.clone();
        self.upstreams.retain(|upstream| {
            let gone = upstream.left.is_some_and(|at| at.elapsed() > after);
            if gone {
                store.remove("servers", upstream.leaf.id());
            }
            !gone
        });
    }

    /// Upstreams that ended under a query lose their entries after a while, and others start in their place.
    pub(crate) async fn revive(&mut self) -> anyhow::Result<()> {
        self.collect();
        let mut gone = Vec::new();
        let (store, ends) = (self.store.clone(), &mut self.ends);
        self.upstreams.retain_mut(|upstream| {
            if upstream.leaf.ended() && upstream.ended.is_none() {
                upstream.ended = Some(Instant::now());
                ends.push(Instant::now());
            }
            let over = upstream.ended.is_some_and(|at| at.elapsed() > LAPSE);
            if over {
                store.remove("servers", upstream.leaf.id());
                gone.push((upstream.leaf.service().to_owned(), upstream.domain));
            }
            !over
        });
        for (service, domain) in gone {
            self.add(&service, domain).await?;
        }
        Ok(())
    }

    /// Takes over what ran.
    pub(crate) fn collect(&mut self) {
        for upstream in &self.upstreams {
            let runs = upstream.leaf.take_runs();
            self.runs.entry(upstream.leaf.id().to_owned()).or_default().extend(runs);
        }
    }

    /// Where the store listens.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.store.addr()
    }
}

/// Starts an upstream's process and the way to it, which ends with it.
async fn start(service: &str, id: &str) -> anyhow::Result<(Leaf, Proxy)> {
    let leaf = Leaf::bind(service, id, WORK).await?;
    let proxy = Proxy::bind(leaf.addr()).await?;
    leaf.fail_at(DEADLY, Fault::Ends);
    leaf.ends_with(proxy.task());
    Ok((leaf, proxy))
}
