use crate::{fleet::DOMAINS, proxy::Proxy};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tgw_site_standin::{Leaf, Store, leaf::Run, settings as files};
use tokio::time::Instant;

/// Shards of the query route.
pub(crate) const SHARDS: usize = 6;
/// Records of an answer.
pub(crate) const LIMIT: usize = 10;
/// Least share of the shards in an answer.
pub(crate) const LEAST: f64 = 0.6;
/// The service of the routes to one upstream.
pub(crate) const SINGLE: &str = "single";
/// How long an upstream works on a request.
const WORK: Duration = Duration::from_millis(6);

/// An upstream and the way to it.
pub(crate) struct Upstream {
    pub(crate) leaf: Leaf,
    pub(crate) proxy: Proxy,
    domain: &'static str,
    /// When it was said that it leaves.
    pub(crate) left: Option<Instant>,
}

/// The store, the upstreams and the configuration.
pub(crate) struct World {
    pub(crate) store: Store,
    pub(crate) upstreams: Vec<Upstream>,
    version: u64,
    next: u32,
    /// What ran, by the upstream's incarnation.
    pub(crate) runs: BTreeMap<String, Vec<Run>>,
}

/// The services of the query route.
pub(crate) fn shards() -> Vec<String> {
    (0..SHARDS).map(|index| format!("shard-{index}")).collect()
}

impl World {
    pub(crate) async fn new() -> anyhow::Result<Self> {
        let store = Store::bind().await?;
        let (upstreams, runs) = (Vec::new(), BTreeMap::new());
        let mut world = Self { store, upstreams, version: 0, next: 0, runs };
        for service in shards().iter().map(String::as_str).chain([SINGLE]) {
            for domain in DOMAINS {
                world.add(service, domain.0).await?;
            }
        }
        world.configure();
        Ok(world)
    }

    /// Starts an upstream and writes its entry.
    async fn add(&mut self, service: &str, domain: &'static str) -> anyhow::Result<()> {
        self.next += 1;
        let id = format!("i-{}", self.next);
        let leaf = Leaf::bind(service, &id, WORK).await?;
        let proxy = Proxy::bind(leaf.addr()).await?;
        let entry = files::entry(service, proxy.addr(), domain, false);
        self.store.put("servers", &id, &entry);
        self.upstreams.push(Upstream { leaf, proxy, domain, left: None });
        Ok(())
    }

    /// Writes a new version of the configuration.
    pub(crate) fn configure(&mut self) {
        self.version += 3;
        let mut services = shards();
        let mut routes = vec![
            files::shards("all", &services, LIMIT, LEAST),
            files::route("safe", SINGLE, true),
            files::route("once", SINGLE, false),
        ];
        let extra = format!("extra-{}", self.version);
        routes.push(files::route(&extra, SINGLE, true));
        services.push(SINGLE.into());
        self.store.put("config", "main", &files::config(self.version, &routes, &services));
    }

    /// An upstream says that it leaves, and another takes its place.
    pub(crate) async fn replace(&mut self, index: usize) -> anyhow::Result<()> {
        let upstream = &mut self.upstreams[index];
        if upstream.left.is_some() {
            return Ok(());
        }
        let (service, domain) = (upstream.leaf.service().to_owned(), upstream.domain);
        let entry = files::entry(&service, upstream.proxy.addr(), domain, true);
        self.store.put("servers", upstream.leaf.id(), &entry);
        upstream.left = Some(Instant::now());
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
