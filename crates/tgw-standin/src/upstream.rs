//! The stand-in upstream: limited concurrency, a connection limit and connection set-up time, snapshots,
//! and injectable faults: drain, cold start, load shedding, slow service, false health reports, and
//! lost, truncated and mismatched replies.

use crate::{
    corpus,
    http::{self, Reply},
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Request, Response, body::Incoming, header::HeaderName};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, LogNormal};
use serde::Serialize;
use std::{
    cell::Cell,
    collections::BTreeMap,
    io,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tgw_clock::Millis;
use tgw_topology::{Catalog, Layout, Shard, Snapshot, catalog::UpstreamEntry};
use tgw_upstream::protocol;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, Semaphore},
    time::{sleep, timeout},
};

const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum queue length as a multiple of the concurrency limit; requests beyond it are shed.
const MAX_QUEUE_FACTOR: usize = 2;
/// Standard deviation of the logarithm of the service time.
const SERVICE_TIME_LOG_SIGMA: f64 = 0.35;

/// Behaviour of the upstream; may change while it runs.
#[derive(Clone, Debug)]
pub struct Behavior {
    /// Median service time in milliseconds.
    pub median_ms: f64,
    /// Factor on every service time; above one for a straggler.
    pub slowdown: f64,
    /// Number of requests that still take longer because of the cold start.
    pub cold_requests: u32,
    /// Refuses new requests with the reason that it drains.
    pub draining: bool,
    /// Sheds every request.
    pub shedding: bool,
    /// Closes every connection without a response.
    pub aborting: bool,
    /// Reports no drain at the health and load endpoints.
    pub misreports_load: bool,
    /// Answers one in this many searches with another search's result; zero for none.
    pub crossed_interval: u64,
    /// Answers one in this many searches with a truncated body; zero for none.
    pub malformed_interval: u64,
    /// Runs one in this many orders but drops its reply; zero for none.
    pub lost_order_reply_interval: u64,
    /// Snapshots that it can search.
    pub snapshots: Vec<Snapshot>,
}

/// Counters of an upstream, for checks.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Stats {
    /// Searches and orders started.
    pub searches: u64,
    /// Searches and orders cancelled on request.
    pub cancelled: u64,
    /// Requests shed.
    pub shed: u64,
    /// Requests refused because it was draining.
    pub refused_draining: u64,
    /// Maximum number of requests running at once.
    pub most_running: usize,
    /// Maximum number of connections at once.
    pub most_connections: usize,
    /// Connections accepted.
    pub connections: u64,
    /// Connections refused above the limit.
    pub refused_connections: u64,
    /// Number of times that each order ran, by order key.
    pub orders: BTreeMap<String, u32>,
}

struct Shared {
    node: UpstreamEntry,
    shards: BTreeMap<Layout, u64>,
    connect: Duration,
    incarnation: u64,
    behavior: Mutex<Behavior>,
    stats: Mutex<Stats>,
    /// Requests that can be cancelled, by request id.
    cancellations: Mutex<BTreeMap<u64, Arc<Notify>>>,
}

/// A running stand-in upstream.
#[derive(Clone)]
pub struct Upstream(Arc<Shared>);

/// State of the serving thread.
struct Server {
    shared: Arc<Shared>,
    slots: Semaphore,
    waiting: Cell<usize>,
    running: Cell<usize>,
    connections: Cell<usize>,
    search_count: Cell<u64>,
    rng: std::cell::RefCell<SmallRng>,
}

impl Upstream {
    /// Creates the upstream described by `node` of `catalog`; it does not serve yet.
    pub fn new(catalog: &Catalog, node: &UpstreamEntry, connect: Millis, seed: u64) -> Self {
        let entry = catalog.services.get(&node.service);
        let shards = entry.iter().flat_map(|e| &e.layouts);
        let shards = shards.map(|l| (l.id, l.shards.len() as u64)).collect();
        let snapshots = entry.map(|e| e.snapshots.clone()).unwrap_or_default();
        Self(Arc::new(Shared {
            node: node.clone(),
            shards,
            connect: connect.into(),
            incarnation: seed,
            behavior: Mutex::new(Behavior::with_snapshots(snapshots)),
            stats: Mutex::default(),
            cancellations: Mutex::default(),
        }))
    }

    /// Changes the behaviour.
    pub fn set(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut lock(&self.0.behavior));
    }

    /// Returns the counters.
    pub fn journal(&self) -> Stats {
        lock(&self.0.stats).clone()
    }

    /// The upstream's catalog entry.
    pub fn node(&self) -> &UpstreamEntry {
        &self.0.node
    }

    /// Serves on `listener` within the current `LocalSet` for as long as it is polled.
    pub async fn serve(&self, listener: TcpListener) -> io::Result<()> {
        let server = Rc::new(Server {
            slots: Semaphore::new(usize::from(self.0.node.max_concurrency)),
            waiting: Cell::new(0),
            running: Cell::new(0),
            connections: Cell::new(0),
            search_count: Cell::new(0),
            rng: SmallRng::seed_from_u64(self.0.incarnation).into(),
            shared: self.0.clone(),
        });
        http::accept(listener, |stream| server.clone().accept_connection(stream)).await.map(|_| ())
    }
}

impl Behavior {
    /// Behaviour without faults, with these snapshots.
    pub fn with_snapshots(snapshots: Vec<Snapshot>) -> Self {
        Self {
            median_ms: 4.0,
            slowdown: 1.0,
            cold_requests: 0,
            draining: false,
            shedding: false,
            aborting: false,
            misreports_load: false,
            crossed_interval: 0,
            malformed_interval: 0,
            lost_order_reply_interval: 0,
            snapshots,
        }
    }
}

impl Server {
    async fn accept_connection(self: Rc<Self>, stream: TcpStream) {
        let limit = usize::from(self.shared.node.max_connections);
        let connections = self.connections.get();
        {
            let mut stats = lock(&self.shared.stats);
            if connections >= limit {
                stats.refused_connections += 1;
                return;
            }
            stats.connections += 1;
            stats.most_connections = stats.most_connections.max(connections + 1);
        }
        self.connections.set(connections + 1);
        sleep(self.shared.connect).await;
        let server = self.clone();
        let handler = Rc::new(move |request| server.clone().handle(request));
        http::serve_connection(stream, handler).await;
        self.connections.set(self.connections.get() - 1);
    }

    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let behavior = lock(&self.shared.behavior).clone();
        if behavior.aborting {
            return None;
        }
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?.to_bytes();
        match head.uri.path() {
            protocol::SEARCH => Some(self.search(&head.headers, &body, &behavior).await),
            protocol::ORDER => self.order(&head.headers, &body, &behavior).await,
            protocol::CANCEL => Some(self.cancel(&head.headers)),
            protocol::HEALTH | protocol::LOAD => Some(self.load(&behavior)),
            _ => Some(self.refusal(404, "unknown path", &behavior)),
        }
    }

    fn refusal(&self, status: u16, reason: &str, behavior: &Behavior) -> Response<Full<Bytes>> {
        let mut response = http::json_response(status, Bytes::new());
        self.add_state_headers(&mut response, behavior);
        insert_header(&mut response, protocol::REASON, reason);
        response
    }

    /// Adds the headers of every reply: the snapshots and the process's incarnation.
    fn add_state_headers(&self, response: &mut Response<Full<Bytes>>, behavior: &Behavior) {
        insert_header(
            response,
            protocol::HELD_SNAPSHOTS,
            &protocol::write_snapshots(&behavior.snapshots),
        );
        insert_header(response, protocol::INCARNATION, &self.shared.incarnation.to_string());
    }

    fn load(&self, behavior: &Behavior) -> Response<Full<Bytes>> {
        let load = serde_json::json!({ "slots": self.shared.node.max_concurrency, "running": self.running.get() });
        let mut response = http::json_response(200, load.to_string());
        self.add_state_headers(&mut response, behavior);
        if behavior.draining && !behavior.misreports_load {
            insert_header(&mut response, protocol::REASON, protocol::DRAINING);
        }
        response
    }

    fn cancel(&self, headers: &HeaderMap) -> Response<Full<Bytes>> {
        let request = header(headers, protocol::REQUEST_ID).and_then(|r| r.parse().ok());
        let cancellation = request.and_then(|r: u64| lock(&self.shared.cancellations).remove(&r));
        if let Some(cancellation) = cancellation {
            cancellation.notify_one();
        }
        http::json_response(200, "{}")
    }

    async fn search(
        &self,
        headers: &HeaderMap,
        body: &[u8],
        behavior: &Behavior,
    ) -> Response<Full<Bytes>> {
        let snapshot = header(headers, protocol::SNAPSHOT).and_then(protocol::read_snapshot);
        let shard = header(headers, protocol::SHARD).and_then(|s| s.parse().ok()).map(Shard);
        let (Some(snapshot), Some(shard)) = (snapshot, shard) else {
            return self.refusal(400, "malformed", behavior);
        };
        if let Some(reason) = self.refusal_reason(behavior) {
            return self.refusal(503, reason, behavior);
        }
        if !behavior.snapshots.contains(&snapshot) {
            return self.refusal(409, protocol::GONE, behavior);
        }
        let time_left = header(headers, protocol::DEADLINE).and_then(|d| d.parse().ok());
        let request = header(headers, protocol::REQUEST_ID).and_then(|r| r.parse().ok());
        let time_left = Duration::from_millis(time_left.unwrap_or(60_000));
        let outcome = timeout(time_left, self.run(request.unwrap_or(0), behavior)).await;
        lock(&self.shared.cancellations).remove(&request.unwrap_or(0));
        match outcome {
            Ok(true) => self.answer(snapshot, shard, body, behavior),
            Ok(false) => self.refusal(499, protocol::CANCELLED, behavior),
            Err(_) => self.refusal(408, protocol::EXPIRED, behavior),
        }
    }

    /// The reason to refuse a request, if any.
    fn refusal_reason(&self, behavior: &Behavior) -> Option<&'static str> {
        let mut stats = lock(&self.shared.stats);
        if behavior.draining {
            stats.refused_draining += 1;
            return Some(protocol::DRAINING);
        }
        let full =
            self.waiting.get() >= usize::from(self.shared.node.max_concurrency) * MAX_QUEUE_FACTOR;
        if behavior.shedding || full {
            stats.shed += 1;
            return Some(protocol::SHED);
        }
        None
    }

    /// Queues and runs a request; returns false if it is cancelled.
    async fn run(&self, request: u64, behavior: &Behavior) -> bool {
        let cancellation = Arc::new(Notify::new());
        lock(&self.shared.cancellations).insert(request, cancellation.clone());
        let run = async {
            let queued = CountGuard::add(&self.waiting);
            let Ok(_slot) = self.slots.acquire().await else { return };
            drop(queued);
            let _running = CountGuard::add(&self.running);
            {
                let mut stats = lock(&self.shared.stats);
                stats.searches += 1;
                stats.most_running = stats.most_running.max(self.running.get());
            }
            sleep(self.service_time(behavior)).await;
        };
        tokio::select! {
            () = run => true,
            () = cancellation.notified() => {
                lock(&self.shared.stats).cancelled += 1;
                false
            }
        }
    }

    fn service_time(&self, behavior: &Behavior) -> Duration {
        let mut factor = behavior.slowdown;
        let mut current = lock(&self.shared.behavior);
        if current.cold_requests > 0 {
            current.cold_requests -= 1;
            factor *= 5.0;
        }
        drop(current);
        let normal =
            LogNormal::new(behavior.median_ms.max(0.001).ln(), SERVICE_TIME_LOG_SIGMA).ok();
        let ms = normal.map_or(behavior.median_ms, |n| n.sample(&mut *self.rng.borrow_mut()));
        Millis::from_f64(ms * factor).into()
    }

    fn answer(
        &self,
        snapshot: Snapshot,
        shard: Shard,
        body: &[u8],
        behavior: &Behavior,
    ) -> Response<Full<Bytes>> {
        let search_count = self.search_count.get() + 1;
        self.search_count.set(search_count);
        let is_crossed =
            behavior.crossed_interval > 0 && search_count.is_multiple_of(behavior.crossed_interval);
        let is_malformed = behavior.malformed_interval > 0
            && search_count.is_multiple_of(behavior.malformed_interval);
        // A mismatched reply belongs to another request, here one for the next shard.
        let shard = if is_crossed { Shard(shard.0 + 1) } else { shard };
        let shards = self.shared.shards.get(&snapshot.layout).copied().unwrap_or(1);
        let items = corpus::items(self.shared.node.service, snapshot, shards, shard, body);
        let mut text = serde_json::to_string(&items).unwrap_or_default();
        if is_malformed {
            text.pop();
        }
        let mut response = http::json_response(200, text);
        self.add_state_headers(&mut response, behavior);
        insert_header(&mut response, protocol::SNAPSHOT, &protocol::write_snapshot(snapshot));
        insert_header(&mut response, protocol::SHARD, &shard.0.to_string());
        response
    }

    async fn order(&self, headers: &HeaderMap, _body: &[u8], behavior: &Behavior) -> Reply {
        if let Some(reason) = self.refusal_reason(behavior) {
            return Some(self.refusal(503, reason, behavior));
        }
        let key = header(headers, protocol::ORDER_KEY).unwrap_or_default().to_owned();
        let request = self.rng.borrow_mut().random();
        self.run(request, behavior).await;
        let order_count = {
            let mut stats = lock(&self.shared.stats);
            let runs = stats.orders.entry(key.clone()).or_default();
            *runs += 1;
            stats.orders.len() as u64
        };
        if behavior.lost_order_reply_interval > 0
            && order_count.is_multiple_of(behavior.lost_order_reply_interval)
        {
            return None;
        }
        let done = serde_json::json!({ "order": key, "service": self.shared.node.service.0 });
        let mut response = http::json_response(200, done.to_string());
        self.add_state_headers(&mut response, behavior);
        Some(response)
    }
}

/// Increments a counter until dropped.
struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn add(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Self(cell)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn header(headers: &HeaderMap, name: HeaderName) -> Option<&str> {
    headers.get(name)?.to_str().ok()
}

fn insert_header(response: &mut Response<Full<Bytes>>, name: HeaderName, value: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
