use crate::{
    Client,
    check::{self, Broken},
};
use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::{Method, StatusCode};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp};
use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, RwLock},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tgw_order::Key;
use tgw_topology::{Catalog, Service};
use tokio::task::spawn_local;

/// Time that a caller waits for a response.
const LIMIT: Duration = Duration::from_secs(10);
/// Highest latency that the histogram tells apart, in µs.
const HIGHEST_US: u64 = 60_000_000;

/// The load of one demo: open loop, so that a slow answer does not hold later queries back.
pub(crate) struct Load {
    pub(crate) queries: u64,
    pub(crate) per_second: f64,
    pub(crate) seed: u64,
    pub(crate) catalog: Catalog,
    pub(crate) entries: Arc<RwLock<Vec<SocketAddr>>>,
    /// One-way delay between callers and the tier.
    pub(crate) to_callers: Duration,
    /// With one in this many queries an order is sent.
    pub(crate) orders: u64,
    /// The services that take orders.
    pub(crate) ordering: Vec<Service>,
}

/// What came of the load.
pub(crate) struct Result {
    pub(crate) latency: Histogram<u64>,
    pub(crate) whole: u64,
    pub(crate) partial: u64,
    pub(crate) short: u64,
    pub(crate) refused: u64,
    pub(crate) failed: u64,
    pub(crate) shards: u64,
    pub(crate) covered: u64,
    pub(crate) broken: Vec<Broken>,
    pub(crate) orders: Vec<Placed>,
}

/// What a caller was told of one sending of an order.
#[derive(Clone, Debug)]
pub(crate) struct Placed {
    /// The order's name towards upstreams.
    pub(crate) name: String,
    pub(crate) outcome: String,
}

impl Result {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            latency: Histogram::new_with_bounds(1, HIGHEST_US, 3)?,
            whole: 0,
            partial: 0,
            short: 0,
            refused: 0,
            failed: 0,
            shards: 0,
            covered: 0,
            broken: Vec::new(),
            orders: Vec::new(),
        })
    }
}

/// Sends the queries; must run within a `LocalSet`.
pub(crate) async fn run(load: Load) -> anyhow::Result<Result> {
    let result = Rc::new(RefCell::new(Result::new()?));
    let load = Rc::new(load);
    let client = Client::default();
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let gap = Exp::new(load.per_second)?;
    let mut due = Instant::now();
    let mut tasks = Vec::with_capacity(load.queries as usize);
    for number in 0..load.queries {
        due += Duration::from_secs_f64(gap.sample(&mut rng));
        tokio::time::sleep_until(due.into()).await;
        let entry = load.entry(&mut rng);
        if number.is_multiple_of(load.orders) && !load.ordering.is_empty() {
            let service = load.ordering[rng.random_range(0..load.ordering.len())];
            let (load, client) = (load.clone(), client.clone());
            let order = Order { load: load.clone(), client, number, service };
            let twice = rng.random_bool(0.2).then(|| load.entry(&mut rng));
            tasks.push(spawn_local(order.run(entry, twice, result.clone())));
        }
        let service = Service(rng.random_range(0..load.catalog.services.len() as u16));
        let query = One { load: load.clone(), client: client.clone(), number, service, entry, due };
        tasks.push(spawn_local(query.run(result.clone())));
    }
    for task in tasks {
        let _ = task.await;
    }
    let result = Rc::try_unwrap(result).map_err(|_| anyhow::anyhow!("a query is still running"))?;
    Ok(result.into_inner())
}

impl Load {
    fn entry(&self, rng: &mut SmallRng) -> SocketAddr {
        let entries = self.entries.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        entries[rng.random_range(0..entries.len())]
    }
}

/// One order.
struct Order {
    load: Rc<Load>,
    client: Client,
    number: u64,
    service: Service,
}

impl Order {
    /// Sends the order, and perhaps sends it at a second VM at the same time.
    async fn run(self, entry: SocketAddr, twice: Option<SocketAddr>, result: Rc<RefCell<Result>>) {
        let now_s = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let text = format!("{now_s}-{}-{}", self.load.seed, self.number);
        let Ok(key) = Key::parse(self.service, &text, now_s) else { return };
        let first = self.send(entry, &text);
        let outcomes = match twice {
            Some(other) => {
                let (first, second) = tokio::join!(first, self.send(other, &text));
                vec![first, second]
            }
            None => vec![first.await],
        };
        let mut result = result.borrow_mut();
        for outcome in outcomes {
            result.orders.push(Placed { name: key.claim_name(), outcome });
        }
    }

    async fn send(&self, entry: SocketAddr, key: &str) -> String {
        let name = self.load.catalog.services.get(&self.service).map(|s| s.name.clone());
        let path = format!("/v1/{}/order", name.unwrap_or_default());
        let headers = [("idempotency-key", key)];
        let body = Bytes::from_static(b"{\"do\":\"cut\"}");
        let called = self.client.call(Method::POST, entry, &path, &headers, body, LIMIT).await;
        let outcome = called.ok().and_then(|(_, body)| {
            let value: serde_json::Value = serde_json::from_slice(&body).ok()?;
            Some(value.get("outcome")?.as_str()?.to_owned())
        });
        outcome.unwrap_or_else(|| "failed".into())
    }
}

/// One query.
struct One {
    load: Rc<Load>,
    client: Client,
    number: u64,
    service: Service,
    entry: SocketAddr,
    /// When it was due: latency counts from here, however late it was sent.
    due: Instant,
}

impl One {
    async fn run(self, result: Rc<RefCell<Result>>) {
        let label = format!("demo-{}-{}", self.load.seed, self.number);
        let text = format!("{{\"text\":\"section {}\",\"n\":{}}}", self.number % 97, self.number);
        let body = Bytes::from(text);
        let Some(name) = self.load.catalog.services.get(&self.service).map(|s| s.name.clone())
        else {
            return;
        };
        let path = format!("/v1/{name}/search");
        tokio::time::sleep(self.load.to_callers).await;
        let headers = [("x-query-id", label.as_str())];
        let called =
            self.client.call(Method::POST, self.entry, &path, &headers, body.clone(), LIMIT).await;
        tokio::time::sleep(self.load.to_callers).await;
        let took = self.due.elapsed().as_micros() as u64;
        let mut result = result.borrow_mut();
        let Ok((status, reply)) = called else {
            result.failed += 1;
            return;
        };
        match status {
            StatusCode::OK | StatusCode::GATEWAY_TIMEOUT => {
                self.answered(&mut result, status, &reply, &body, &label, took);
            }
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => result.refused += 1,
            _ => result.failed += 1,
        }
    }

    fn answered(
        &self,
        result: &mut Result,
        status: StatusCode,
        reply: &[u8],
        body: &[u8],
        label: &str,
        took: u64,
    ) {
        let answer: check::Answer = match serde_json::from_slice(reply) {
            Ok(answer) => answer,
            Err(e) => {
                let seen = format!("unreadable answer: {e}");
                let promise = "whole answer to its own caller";
                result.broken.push(Broken { promise, query: label.into(), seen });
                result.failed += 1;
                return;
            }
        };
        let found = check::answer(&self.load.catalog, self.service, body, label, &answer);
        result.broken.extend(found);
        result.shards += answer.coverage.shards;
        result.covered += answer.coverage.answered;
        let _ = result.latency.record(took.max(1));
        match (status, answer.coverage.missing.is_empty()) {
            (StatusCode::OK, true) => result.whole += 1,
            (StatusCode::OK, false) => result.partial += 1,
            _ => result.short += 1,
        }
    }
}
