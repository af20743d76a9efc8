use crate::{
    Client,
    check::{self, Violation},
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

/// Time a caller waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Highest latency that the histogram can record.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Load of a demo: open loop, so that a slow answer does not delay later queries.
pub(crate) struct Load {
    pub(crate) queries: u64,
    pub(crate) per_second: f64,
    pub(crate) seed: u64,
    pub(crate) catalog: Catalog,
    pub(crate) entries: Arc<RwLock<Vec<SocketAddr>>>,
    /// One-way network delay between callers and the tier.
    pub(crate) caller_delay: Duration,
    /// An order is sent with one in this many queries.
    pub(crate) order_interval: u64,
    /// Services that accept orders.
    pub(crate) order_services: Vec<Service>,
}

/// Results of all queries and orders.
pub(crate) struct Summary {
    pub(crate) latency: Histogram<u64>,
    pub(crate) complete: u64,
    pub(crate) partial: u64,
    pub(crate) below_least_coverage: u64,
    pub(crate) refused: u64,
    pub(crate) failed: u64,
    pub(crate) shards: u64,
    pub(crate) covered: u64,
    pub(crate) violations: Vec<Violation>,
    pub(crate) order_replies: Vec<OrderReply>,
}

/// Outcome reported to a caller for one request that carried an order.
#[derive(Clone, Debug)]
pub(crate) struct OrderReply {
    /// Key of the order as sent to upstreams.
    pub(crate) name: String,
    pub(crate) outcome: String,
}

impl Summary {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
            complete: 0,
            partial: 0,
            below_least_coverage: 0,
            refused: 0,
            failed: 0,
            shards: 0,
            covered: 0,
            violations: Vec::new(),
            order_replies: Vec::new(),
        })
    }
}

/// Sends all queries and orders; must run within a `LocalSet`.
pub(crate) async fn run(load: Load) -> anyhow::Result<Summary> {
    let summary = Rc::new(RefCell::new(Summary::new()?));
    let load = Rc::new(load);
    let client = Client::default();
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let gap = Exp::new(load.per_second)?;
    let mut due = Instant::now();
    let mut tasks = Vec::with_capacity(load.queries as usize);
    for number in 0..load.queries {
        due += Duration::from_secs_f64(gap.sample(&mut rng));
        tokio::time::sleep_until(due.into()).await;
        let entry = load.random_entry(&mut rng);
        if number.is_multiple_of(load.order_interval) && !load.order_services.is_empty() {
            let service = load.order_services[rng.random_range(0..load.order_services.len())];
            let (load, client) = (load.clone(), client.clone());
            let order = Order { load: load.clone(), client, number, service };
            let second_entry = rng.random_bool(0.2).then(|| load.random_entry(&mut rng));
            tasks.push(spawn_local(order.run(entry, second_entry, summary.clone())));
        }
        let service = Service(rng.random_range(0..load.catalog.services.len() as u16));
        let query =
            Query { load: load.clone(), client: client.clone(), number, service, entry, due };
        tasks.push(spawn_local(query.run(summary.clone())));
    }
    for task in tasks {
        let _ = task.await;
    }
    let summary =
        Rc::try_unwrap(summary).map_err(|_| anyhow::anyhow!("a query is still running"))?;
    Ok(summary.into_inner())
}

impl Load {
    fn random_entry(&self, rng: &mut SmallRng) -> SocketAddr {
        let entries = self.entries.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        entries[rng.random_range(0..entries.len())]
    }
}

/// An order to send.
struct Order {
    load: Rc<Load>,
    client: Client,
    number: u64,
    service: Service,
}

impl Order {
    /// Sends the order to `entry` and, if there is a second VM, to that one at the same time.
    async fn run(
        self,
        entry: SocketAddr,
        second_entry: Option<SocketAddr>,
        summary: Rc<RefCell<Summary>>,
    ) {
        let now_s = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let text = format!("{now_s}-{}-{}", self.load.seed, self.number);
        let Ok(key) = Key::parse(self.service, &text, now_s) else { return };
        let first = self.send(entry, &text);
        let outcomes = match second_entry {
            Some(other) => {
                let (first, second) = tokio::join!(first, self.send(other, &text));
                vec![first, second]
            }
            None => vec![first.await],
        };
        let mut summary = summary.borrow_mut();
        for outcome in outcomes {
            summary.order_replies.push(OrderReply { name: key.claim_name(), outcome });
        }
    }

    async fn send(&self, entry: SocketAddr, key: &str) -> String {
        let name = self.load.catalog.services.get(&self.service).map(|s| s.name.clone());
        let path = format!("/v1/{}/order", name.unwrap_or_default());
        let headers = [("idempotency-key", key)];
        let body = Bytes::from_static(b"{\"do\":\"cut\"}");
        let response =
            self.client.call(Method::POST, entry, &path, &headers, body, RESPONSE_TIMEOUT).await;
        let outcome = response.ok().and_then(|(_, body)| {
            let value: serde_json::Value = serde_json::from_slice(&body).ok()?;
            Some(value.get("outcome")?.as_str()?.to_owned())
        });
        outcome.unwrap_or_else(|| "failed".into())
    }
}

/// A query to send.
struct Query {
    load: Rc<Load>,
    client: Client,
    number: u64,
    service: Service,
    entry: SocketAddr,
    /// Scheduled send time. Latency is measured from here even if the query was sent late.
    due: Instant,
}

impl Query {
    async fn run(self, summary: Rc<RefCell<Summary>>) {
        let query_id = format!("demo-{}-{}", self.load.seed, self.number);
        let text = format!("{{\"text\":\"section {}\",\"n\":{}}}", self.number % 97, self.number);
        let body = Bytes::from(text);
        let Some(name) = self.load.catalog.services.get(&self.service).map(|s| s.name.clone())
        else {
            return;
        };
        let path = format!("/v1/{name}/search");
        tokio::time::sleep(self.load.caller_delay).await;
        let headers = [("x-query-id", query_id.as_str())];
        let response = self
            .client
            .call(Method::POST, self.entry, &path, &headers, body.clone(), RESPONSE_TIMEOUT)
            .await;
        tokio::time::sleep(self.load.caller_delay).await;
        let latency_us = self.due.elapsed().as_micros() as u64;
        let mut summary = summary.borrow_mut();
        let Ok((status, reply)) = response else {
            summary.failed += 1;
            return;
        };
        match status {
            StatusCode::OK | StatusCode::GATEWAY_TIMEOUT => {
                self.record_answer(&mut summary, status, &reply, &body, &query_id, latency_us);
            }
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => summary.refused += 1,
            _ => summary.failed += 1,
        }
    }

    fn record_answer(
        &self,
        summary: &mut Summary,
        status: StatusCode,
        reply: &[u8],
        body: &[u8],
        query_id: &str,
        latency_us: u64,
    ) {
        let answer: check::Answer = match serde_json::from_slice(reply) {
            Ok(answer) => answer,
            Err(e) => {
                let seen = format!("unreadable answer: {e}");
                let promise = "whole answer to its own caller";
                summary.violations.push(Violation { promise, query: query_id.into(), seen });
                summary.failed += 1;
                return;
            }
        };
        let violations =
            check::check_answer(&self.load.catalog, self.service, body, query_id, &answer);
        summary.violations.extend(violations);
        summary.shards += answer.coverage.shards;
        summary.covered += answer.coverage.answered;
        let _ = summary.latency.record(latency_us.max(1));
        match (status, answer.coverage.missing.is_empty()) {
            (StatusCode::OK, true) => summary.complete += 1,
            (StatusCode::OK, false) => summary.partial += 1,
            _ => summary.below_least_coverage += 1,
        }
    }
}
