use crate::{callers::deadly_target, configuration::Trial, fleet::DOMAINS, proxy::Proxy};
use serde_json::{Value, json};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tgw_site_standin::{
    Leaf, Store,
    leaf::{Fault, Run},
    settings as files,
};
use tokio::time::Instant;

pub(crate) const SHARD_COUNT: usize = 6;
/// Maximum number of deadly queries.
pub(crate) const MAX_DEADLY: u8 = 8;
/// Maximum number of records in an answer.
pub(crate) const RESULT_LIMIT: usize = 10;
/// Minimum share of the shards in a successful answer.
pub(crate) const MIN_SHARD_SHARE: f64 = 0.6;
/// Service of the routes that send a request to one upstream.
pub(crate) const SINGLE_SERVICE: &str = "single";
/// The failure domain and region to which requests of the home route are restricted.
pub(crate) const HOME: (&str, &str) = DOMAINS[0];
/// Time during which an upstream is cold after its start.
pub(crate) const WARMUP_TIME: Duration = Duration::from_millis(2_000);
/// Requests per second that a cold upstream can take.
const WARMUP_REQUESTS_PER_S: f64 = 4.0;
/// Maximum requests that a cold upstream may get from all VMs in any second, by their settings: 1.5
/// times the warm-up rate, plus 5.
pub(crate) const MAX_WARMUP_REQUESTS: usize = 11;
/// Time an upstream takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(6);

/// Objects on a page of the store's lists: few enough that the list of upstreams takes several.
const PAGE_OBJECTS: usize = 6;
/// Time in which the store answers.
const STORE_REPLY_DELAY: Duration = Duration::from_millis(4);

/// Time after which the entry of an ended upstream expires and a replacement starts.
const ENTRY_EXPIRY: Duration = Duration::from_millis(1_500);

/// An upstream and the proxy in front of it.
pub(crate) struct Upstream {
    pub(crate) leaf: Leaf,
    pub(crate) proxy: Proxy,
    pub(crate) domain: &'static str,
    /// Heartbeats written.
    heartbeats: u64,
    /// A heartbeat from before it began to drain, which has not taken effect yet.
    delayed: Option<Value>,
    /// Number of the process, written into the entry as its start.
    generation: u64,
    /// When it began to leave.
    pub(crate) left_at: Option<Instant>,
    /// Its entry was removed without notice.
    entry_removed: bool,
    /// When its process was found to have ended.
    ended_at: Option<Instant>,
    /// End of its warm-up.
    cold_until: Instant,
    /// Its entry already says that it is warm.
    reported_warm: bool,
}

/// One process of an upstream.
#[derive(Debug)]
pub(crate) struct Incarnation {
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) domain: &'static str,
    /// When it started, if callers were already sending.
    pub(crate) cold_from: Option<Instant>,
}

/// An upstream that began to leave.
#[derive(Debug)]
pub(crate) struct Departure {
    pub(crate) id: String,
    pub(crate) domain: &'static str,
    /// When the store acknowledged it.
    pub(crate) at: Instant,
}

impl Upstream {
    fn entry(&self) -> Value {
        let (service, addr) = (self.leaf.service(), self.proxy.addr());
        let mut entry = files::entry(service, addr, self.domain, self.left_at.is_some());
        entry["born"] = self.generation.into();
        entry["sequence"] = self.heartbeats.into();
        files::with_warmup_left(entry, self.cold_until.saturating_duration_since(Instant::now()))
    }

    /// Writes the entry, unless it was removed without notice.
    fn write_entry(&mut self, store: &Store) {
        if self.entry_removed {
            return;
        }
        self.heartbeats += 1;
        store.put("servers", self.leaf.id(), &self.entry());
    }
}

/// The fake store, the upstreams and the configuration, with a record of what happened to them.
pub(crate) struct Environment {
    pub(crate) store: Store,
    pub(crate) upstreams: Vec<Upstream>,
    /// Tenants of the configuration that trials do not change.
    tenants: Vec<Value>,
    pub(crate) config_version: u64,
    /// A change of the configuration that will be taken back.
    trial: Trial,
    last_number: u32,
    /// Requests that ran, by upstream id.
    pub(crate) runs: BTreeMap<String, Vec<Run>>,
    /// Start and end of the store's outages for all VMs.
    pub(crate) outages: Vec<(Instant, Instant)>,
    /// All upstreams that began to leave.
    pub(crate) departures: Vec<Departure>,
    /// When a query ended an upstream's process.
    pub(crate) deadly_ends: Vec<Instant>,
    /// Evacuated failure domains, each with start and end.
    pub(crate) evacuations: Vec<(&'static str, Instant, Instant)>,
    /// All upstream processes started so far.
    pub(crate) incarnations: Vec<Incarnation>,
    /// When links to upstreams were disturbed, by upstream id: delayed requests arrive in one burst.
    pub(crate) link_faults: Vec<(String, Instant)>,
    /// Whether callers are sending: upstreams that start from then on are cold.
    has_traffic: bool,
}

/// Names of the services of the query route: here, each shard is a service.
pub(crate) fn shards() -> Vec<String> {
    (0..SHARD_COUNT).map(|index| format!("shard-{index}")).collect()
}

impl Environment {
    /// Starts the store and the upstreams, with the configuration of these tenants.
    pub(crate) async fn new(tenants: Vec<Value>) -> anyhow::Result<Self> {
        let store = Store::bind().await?;
        store.set_page_objects(PAGE_OBJECTS);
        store.set_reply_delay(STORE_REPLY_DELAY);
        let (upstreams, runs) = (Vec::new(), BTreeMap::new());
        let mut environment = Self {
            store,
            upstreams,
            tenants,
            config_version: 0,
            trial: Trial::default(),
            last_number: 0,
            runs,
            outages: Vec::new(),
            departures: Vec::new(),
            deadly_ends: Vec::new(),
            evacuations: Vec::new(),
            incarnations: Vec::new(),
            link_faults: Vec::new(),
            has_traffic: false,
        };
        for service in shards().iter().map(String::as_str).chain([SINGLE_SERVICE]) {
            for domain in DOMAINS {
                environment.add_upstream(service, domain.0).await?;
            }
        }
        environment.write_config();
        environment.has_traffic = true;
        Ok(environment)
    }

    /// Records the start of an upstream's process and returns the end of its warm-up.
    fn record_start(&mut self, id: &str, service: &str, domain: &'static str) -> Instant {
        let now = Instant::now();
        let cold_from = self.has_traffic.then_some(now);
        let (id, service) = (id.into(), service.into());
        self.incarnations.push(Incarnation { id, service, domain, cold_from });
        if self.has_traffic { now + WARMUP_TIME } else { now }
    }

    /// Rewrites the entries of upstreams that have become warm.
    pub(crate) fn report_warm(&mut self) {
        let now = Instant::now();
        let store = self.store.clone();
        for upstream in
            self.upstreams.iter_mut().filter(|u| !u.reported_warm && u.cold_until <= now)
        {
            upstream.reported_warm = true;
            if !upstream.leaf.has_exited() {
                upstream.write_entry(&store);
            }
        }
    }

    /// Evacuates a failure domain until `until`.
    pub(crate) fn evacuate(&mut self, domain: &'static str, until: Instant) {
        self.store.put("evacuations", domain, &json!({}));
        self.evacuations.push((domain, Instant::now(), until));
    }

    /// Ends the evacuation of a failure domain.
    pub(crate) fn end_evacuation(&mut self, domain: &str) {
        self.store.remove("evacuations", domain);
        for evacuated in self.evacuations.iter_mut().filter(|e| e.0 == domain) {
            evacuated.2 = evacuated.2.min(Instant::now());
        }
    }

    /// Starts an upstream and writes its entry.
    async fn add_upstream(&mut self, service: &str, domain: &'static str) -> anyhow::Result<()> {
        self.last_number += 1;
        let id = format!("i-{}", self.last_number);
        let (leaf, proxy) = start_upstream(service, &id).await?;
        let generation = u64::from(self.last_number);
        let (left_at, ended_at) = (None, None);
        let cold_until = self.record_start(&id, service, domain);
        let reported_warm = !self.has_traffic;
        let entry_removed = false;
        let mut upstream = Upstream {
            leaf,
            proxy,
            domain,
            heartbeats: 0,
            delayed: None,
            generation,
            left_at,
            entry_removed,
            ended_at,
            cold_until,
            reported_warm,
        };
        upstream.write_entry(&self.store);
        self.upstreams.push(upstream);
        Ok(())
    }

    /// Ends an upstream's process and starts another under the same id. The last heartbeat of the old
    /// process takes effect after the first one of the new process, which then writes its entry again.
    pub(crate) async fn restart_upstream(&mut self, index: usize) -> anyhow::Result<()> {
        let is_live = |u: &&Upstream| u.left_at.is_none() && !u.leaf.has_exited();
        let Some(upstream) = self.upstreams.get(index).filter(is_live) else { return Ok(()) };
        // Its connections end with the process, and no further request starts to run.
        upstream.proxy.reset_connections();
        self.collect_runs();
        self.last_number += 1;
        let upstream = &mut self.upstreams[index];
        let before = upstream.entry();
        let (service, id) = (upstream.leaf.service().to_owned(), upstream.leaf.id().to_owned());
        (upstream.leaf, upstream.proxy) = start_upstream(&service, &id).await?;
        upstream.generation = u64::from(self.last_number);
        let domain = upstream.domain;
        let cold_until = self.record_start(&id, &service, domain);
        let upstream = &mut self.upstreams[index];
        (upstream.cold_until, upstream.reported_warm) = (cold_until, false);
        upstream.write_entry(&self.store);
        self.store.put("servers", &id, &before);
        upstream.write_entry(&self.store);
        Ok(())
    }

    /// Overwrites an upstream's entry with a malformed document and returns the upstream's id.
    pub(crate) fn overwrite_entry(&mut self, index: usize) -> Option<String> {
        let upstream = self.upstreams.get(index).filter(|u| !u.entry_removed)?;
        let id = upstream.leaf.id().to_owned();
        let foreign = json!({ "meta": { "name": id, "revision": "none" }, "spec": ["service"] });
        self.store.put_raw("servers", &id, foreign.to_string().as_bytes());
        Some(id)
    }

    /// Writes an upstream's entry again.
    pub(crate) fn write_entry(&mut self, id: &str) {
        if let Some(upstream) = self.upstreams.iter_mut().find(|u| u.leaf.id() == id) {
            upstream.write_entry(&self.store);
        }
    }

    /// Has the delayed heartbeat of a draining upstream take effect, and returns the upstream's id.
    pub(crate) fn write_delayed(&mut self, index: usize) -> Option<String> {
        let upstream = self.upstreams.get_mut(index)?;
        let delayed = upstream.delayed.take()?;
        let id = upstream.leaf.id().to_owned();
        self.store.put("servers", &id, &delayed);
        Some(id)
    }

    /// Writes a new version of the configuration.
    pub(crate) fn write_config(&mut self) {
        self.config_version += 3;
        let mut services = shards();
        let mut routes = vec![
            files::fanout_route("all", &services, RESULT_LIMIT, MIN_SHARD_SHARE),
            files::route("safe", SINGLE_SERVICE, true),
            files::route("once", SINGLE_SERVICE, false),
            files::with_serving_regions(files::route("home", SINGLE_SERVICE, true), &[HOME.1]),
        ];
        let extra = format!("extra-{}", self.config_version);
        routes.push(files::route(&extra, SINGLE_SERVICE, true));
        routes.extend(self.trial.routes());
        services.push(SINGLE_SERVICE.into());
        let mut document = files::config(self.config_version, &routes, &services);
        if let Some(services) = document["services"].as_array_mut() {
            for service in services {
                *service = files::with_warmup_limit(
                    service.take(),
                    WARMUP_TIME.as_secs_f64(),
                    WARMUP_REQUESTS_PER_S,
                );
            }
        }
        let tenants = [self.trial.tenants(), self.tenants.clone()].concat();
        let document = files::with_tenants(document, &tenants);
        self.store.put("config", "main", &document);
    }

    /// Writes a configuration with this change in place of an earlier one; without any, it is the usual one again.
    pub(crate) fn write_trial(&mut self, trial: Trial) {
        self.trial = trial;
        self.write_config();
    }

    /// Replaces an upstream. If `announced`, its entry says that it drains; otherwise the entry is removed
    /// without notice.
    pub(crate) async fn replace_upstream(
        &mut self,
        index: usize,
        announced: bool,
    ) -> anyhow::Result<()> {
        let is_live = |u: &&mut Upstream| u.left_at.is_none() && !u.leaf.has_exited();
        let Some(upstream) = self.upstreams.get_mut(index).filter(is_live) else { return Ok(()) };
        let (service, domain) = (upstream.leaf.service().to_owned(), upstream.domain);
        if announced {
            upstream.heartbeats += 1;
            upstream.delayed = Some(upstream.entry());
            upstream.left_at = Some(Instant::now());
            upstream.write_entry(&self.store);
        } else {
            upstream.left_at = Some(Instant::now());
            upstream.entry_removed = true;
            self.store.remove("servers", upstream.leaf.id());
        }
        let (id, at) = (upstream.leaf.id().to_owned(), Instant::now());
        self.departures.push(Departure { id, domain, at });
        self.add_upstream(&service, domain).await
    }

    /// Removes upstreams that began to leave longer than `after` ago, and their entries.
    pub(crate) fn remove_departed(&mut self, after: Duration) {
        self.collect_runs();
        let store = self.store.clone();
        self.upstreams.retain(|upstream| {
            let departed = upstream.left_at.is_some_and(|at| at.elapsed() > after);
            if departed {
                store.remove("servers", upstream.leaf.id());
            }
            !departed
        });
    }

    /// Removes the entries of upstreams that a query ended, some time after their end, and starts
    /// replacements.
    pub(crate) async fn replace_ended(&mut self) -> anyhow::Result<()> {
        self.collect_runs();
        let mut removed = Vec::new();
        let (store, ends) = (self.store.clone(), &mut self.deadly_ends);
        self.upstreams.retain_mut(|upstream| {
            if upstream.leaf.has_exited() && upstream.ended_at.is_none() {
                upstream.ended_at = Some(Instant::now());
                ends.push(Instant::now());
            }
            let expired = upstream.ended_at.is_some_and(|at| at.elapsed() > ENTRY_EXPIRY);
            if expired {
                store.remove("servers", upstream.leaf.id());
                removed.push((upstream.leaf.service().to_owned(), upstream.domain));
            }
            !expired
        });
        for (service, domain) in removed {
            self.add_upstream(&service, domain).await?;
        }
        Ok(())
    }

    /// Collects the requests that upstreams have run since the last call.
    pub(crate) fn collect_runs(&mut self) {
        for upstream in &self.upstreams {
            let runs = upstream.leaf.take_runs();
            self.runs.entry(upstream.leaf.id().to_owned()).or_default().extend(runs);
        }
    }

    /// The address of the store.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.store.addr()
    }
}

/// Starts an upstream and its proxy, which stops when the upstream ends.
async fn start_upstream(service: &str, id: &str) -> anyhow::Result<(Leaf, Proxy)> {
    let leaf = Leaf::bind(service, id, SERVICE_TIME).await?;
    let proxy = Proxy::bind(leaf.addr()).await?;
    for number in 0..MAX_DEADLY {
        leaf.inject_fault(&deadly_target(number), Fault::Crashes);
    }
    leaf.abort_on_exit(proxy.abort_handle());
    Ok((leaf, proxy))
}
