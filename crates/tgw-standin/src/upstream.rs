//! The stand-in upstream: slots, a connection limit and cost, drain, cold start, shedding,
//! stragglers, the snapshots it holds, misleading health, and late, doubled and crossed replies.

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

const BODY_LIMIT: usize = 1 << 20;
/// Requests that wait for a slot before more are shed, as a multiple of the slots.
const BACKLOG: usize = 2;
/// Spread of the service time's logarithm.
const SIGMA: f64 = 0.35;

/// How the upstream behaves; changed while it runs.
#[derive(Clone, Debug)]
pub struct Knobs {
    /// Median service time in milliseconds.
    pub median_ms: f64,
    /// Every service time is multiplied by this: a straggler has more than one.
    pub slow: f64,
    /// Requests that still take longer because the upstream started cold.
    pub cold: u32,
    /// It refuses new work and says that it leaves.
    pub draining: bool,
    /// It sheds every request.
    pub shedding: bool,
    /// It breaks every connection unanswered.
    pub broken: bool,
    /// Its health and load endpoints say that all is well, whatever is.
    pub misleading: bool,
    /// One in this many searches is answered with what belongs to another one; zero for none.
    pub crossed: u64,
    /// One in this many searches is answered with a truncated body; zero for none.
    pub malformed: u64,
    /// One in this many orders is run and its reply lost; zero for none.
    pub lose_order_replies: u64,
    /// The snapshots it holds.
    pub held: Vec<Snapshot>,
}

/// What the upstream has seen; read by the checker.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Journal {
    /// Searches that were begun.
    pub searches: u64,
    /// Searches that were stopped on request.
    pub cancelled: u64,
    /// Requests shed.
    pub shed: u64,
    /// Work refused because it was draining.
    pub refused_draining: u64,
    /// Most requests in its slots at once.
    pub most_running: usize,
    /// Most connections at once.
    pub most_connections: usize,
    /// Connections accepted.
    pub connections: u64,
    /// Connections refused over the limit.
    pub refused_connections: u64,
    /// How often each order ran, by its key.
    pub orders: BTreeMap<String, u32>,
}

struct Shared {
    node: UpstreamEntry,
    shards: BTreeMap<Layout, u64>,
    connect: Duration,
    incarnation: u64,
    knobs: Mutex<Knobs>,
    journal: Mutex<Journal>,
    /// Searches that can be stopped, by their request.
    stops: Mutex<BTreeMap<u64, Arc<Notify>>>,
}

/// A running stand-in upstream.
#[derive(Clone)]
pub struct Upstream(Arc<Shared>);

/// The part that lives on the serving thread.
struct Local {
    shared: Arc<Shared>,
    slots: Semaphore,
    waiting: Cell<usize>,
    running: Cell<usize>,
    connections: Cell<usize>,
    count: Cell<u64>,
    rng: std::cell::RefCell<SmallRng>,
}

impl Upstream {
    /// An upstream described by `node` of `catalog`, not serving yet.
    pub fn new(catalog: &Catalog, node: &UpstreamEntry, connect: Millis, seed: u64) -> Self {
        let entry = catalog.services.get(&node.service);
        let shards = entry.iter().flat_map(|e| &e.layouts);
        let shards = shards.map(|l| (l.id, l.shards.len() as u64)).collect();
        let held = entry.map(|e| e.snapshots.clone()).unwrap_or_default();
        Self(Arc::new(Shared {
            node: node.clone(),
            shards,
            connect: connect.into(),
            incarnation: seed,
            knobs: Mutex::new(Knobs::holding(held)),
            journal: Mutex::default(),
            stops: Mutex::default(),
        }))
    }

    /// Changes how it behaves.
    pub fn set(&self, change: impl FnOnce(&mut Knobs)) {
        change(&mut lock(&self.0.knobs));
    }

    /// What it has seen.
    pub fn journal(&self) -> Journal {
        lock(&self.0.journal).clone()
    }

    /// Its description.
    pub fn node(&self) -> &UpstreamEntry {
        &self.0.node
    }

    /// Serves on `listener` within the current `LocalSet` for as long as it is polled.
    pub async fn serve(&self, listener: TcpListener) -> io::Result<()> {
        let local = Rc::new(Local {
            slots: Semaphore::new(usize::from(self.0.node.max_concurrency)),
            waiting: Cell::new(0),
            running: Cell::new(0),
            connections: Cell::new(0),
            count: Cell::new(0),
            rng: SmallRng::seed_from_u64(self.0.incarnation).into(),
            shared: self.0.clone(),
        });
        http::accept(listener, |stream| local.clone().admit(stream)).await.map(|_| ())
    }
}

impl Knobs {
    /// A well upstream that holds these snapshots.
    pub fn holding(held: Vec<Snapshot>) -> Self {
        Self {
            median_ms: 4.0,
            slow: 1.0,
            cold: 0,
            draining: false,
            shedding: false,
            broken: false,
            misleading: false,
            crossed: 0,
            malformed: 0,
            lose_order_replies: 0,
            held,
        }
    }
}

impl Local {
    async fn admit(self: Rc<Self>, stream: TcpStream) {
        let limit = usize::from(self.shared.node.max_connections);
        let open = self.connections.get();
        {
            let mut journal = lock(&self.shared.journal);
            if open >= limit {
                journal.refused_connections += 1;
                return;
            }
            journal.connections += 1;
            journal.most_connections = journal.most_connections.max(open + 1);
        }
        self.connections.set(open + 1);
        sleep(self.shared.connect).await;
        let this = self.clone();
        let handler = Rc::new(move |request| this.clone().handle(request));
        http::connection(stream, handler).await;
        self.connections.set(self.connections.get() - 1);
    }

    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Reply {
        let knobs = lock(&self.shared.knobs).clone();
        if knobs.broken {
            return None;
        }
        let (head, body) = request.into_parts();
        let body = Limited::new(body, BODY_LIMIT).collect().await.ok()?.to_bytes();
        match head.uri.path() {
            protocol::SEARCH => Some(self.search(&head.headers, &body, &knobs).await),
            protocol::ORDER => self.order(&head.headers, &body, &knobs).await,
            protocol::CANCEL => Some(self.cancel(&head.headers)),
            protocol::HEALTH | protocol::LOAD => Some(self.load(&knobs)),
            _ => Some(self.refuse(404, "unknown path", &knobs)),
        }
    }

    fn refuse(&self, status: u16, reason: &str, knobs: &Knobs) -> Response<Full<Bytes>> {
        let mut response = http::json(status, Bytes::new());
        self.mark(&mut response, knobs);
        put(&mut response, protocol::REASON, reason);
        response
    }

    /// Adds what every reply tells: the snapshots held and the process's life.
    fn mark(&self, response: &mut Response<Full<Bytes>>, knobs: &Knobs) {
        put(response, protocol::HELD, &protocol::write_held(&knobs.held));
        put(response, protocol::INCARNATION, &self.shared.incarnation.to_string());
    }

    fn load(&self, knobs: &Knobs) -> Response<Full<Bytes>> {
        let load = serde_json::json!({
            "slots": self.shared.node.max_concurrency,
            "running": self.running.get(),
        });
        let mut response = http::json(200, load.to_string());
        self.mark(&mut response, knobs);
        if knobs.draining && !knobs.misleading {
            put(&mut response, protocol::REASON, protocol::DRAINING);
        }
        response
    }

    fn cancel(&self, headers: &HeaderMap) -> Response<Full<Bytes>> {
        let request = header(headers, protocol::REQUEST).and_then(|r| r.parse().ok());
        let stop = request.and_then(|r: u64| lock(&self.shared.stops).remove(&r));
        if let Some(stop) = stop {
            stop.notify_one();
        }
        http::json(200, "{}")
    }

    async fn search(
        &self,
        headers: &HeaderMap,
        body: &[u8],
        knobs: &Knobs,
    ) -> Response<Full<Bytes>> {
        let snapshot = header(headers, protocol::SNAPSHOT).and_then(protocol::read_snapshot);
        let shard = header(headers, protocol::SHARD).and_then(|s| s.parse().ok()).map(Shard);
        let (Some(snapshot), Some(shard)) = (snapshot, shard) else {
            return self.refuse(400, "malformed", knobs);
        };
        if let Some(reason) = self.closed(knobs) {
            return self.refuse(503, reason, knobs);
        }
        if !knobs.held.contains(&snapshot) {
            return self.refuse(409, protocol::GONE, knobs);
        }
        let left = header(headers, protocol::DEADLINE).and_then(|d| d.parse().ok());
        let request = header(headers, protocol::REQUEST).and_then(|r| r.parse().ok());
        let left = Duration::from_millis(left.unwrap_or(60_000));
        let worked = timeout(left, self.work(request.unwrap_or(0), knobs)).await;
        lock(&self.shared.stops).remove(&request.unwrap_or(0));
        match worked {
            Ok(true) => self.found(snapshot, shard, body, knobs),
            Ok(false) => self.refuse(499, protocol::CANCELLED, knobs),
            Err(_) => self.refuse(408, protocol::EXPIRED, knobs),
        }
    }

    /// Why no work is taken now, if so.
    fn closed(&self, knobs: &Knobs) -> Option<&'static str> {
        let mut journal = lock(&self.shared.journal);
        if knobs.draining {
            journal.refused_draining += 1;
            return Some(protocol::DRAINING);
        }
        let full = self.waiting.get() >= usize::from(self.shared.node.max_concurrency) * BACKLOG;
        if knobs.shedding || full {
            journal.shed += 1;
            return Some(protocol::SHED);
        }
        None
    }

    /// Waits for a slot and works in it; false if asked to stop.
    async fn work(&self, request: u64, knobs: &Knobs) -> bool {
        let stop = Arc::new(Notify::new());
        lock(&self.shared.stops).insert(request, stop.clone());
        let work = async {
            let waits = Count::add(&self.waiting);
            let Ok(_slot) = self.slots.acquire().await else { return };
            drop(waits);
            let _runs = Count::add(&self.running);
            {
                let mut journal = lock(&self.shared.journal);
                journal.searches += 1;
                journal.most_running = journal.most_running.max(self.running.get());
            }
            sleep(self.service_time(knobs)).await;
        };
        tokio::select! {
            () = work => true,
            () = stop.notified() => {
                lock(&self.shared.journal).cancelled += 1;
                false
            }
        }
    }

    fn service_time(&self, knobs: &Knobs) -> Duration {
        let mut factor = knobs.slow;
        let mut shared = lock(&self.shared.knobs);
        if shared.cold > 0 {
            shared.cold -= 1;
            factor *= 5.0;
        }
        drop(shared);
        let normal = LogNormal::new(knobs.median_ms.max(0.001).ln(), SIGMA).ok();
        let ms = normal.map_or(knobs.median_ms, |n| n.sample(&mut *self.rng.borrow_mut()));
        Millis::from_f64(ms * factor).into()
    }

    fn found(
        &self,
        snapshot: Snapshot,
        shard: Shard,
        body: &[u8],
        knobs: &Knobs,
    ) -> Response<Full<Bytes>> {
        let count = self.count.get() + 1;
        self.count.set(count);
        let crossed = knobs.crossed > 0 && count.is_multiple_of(knobs.crossed);
        let malformed = knobs.malformed > 0 && count.is_multiple_of(knobs.malformed);
        // A crossed reply is that of another request: here, of the next shard.
        let shard = if crossed { Shard(shard.0 + 1) } else { shard };
        let shards = self.shared.shards.get(&snapshot.layout).copied().unwrap_or(1);
        let items = corpus::items(self.shared.node.service, snapshot, shards, shard, body);
        let mut text = serde_json::to_string(&items).unwrap_or_default();
        if malformed {
            text.pop();
        }
        let mut response = http::json(200, text);
        self.mark(&mut response, knobs);
        put(&mut response, protocol::SNAPSHOT, &protocol::write_snapshot(snapshot));
        put(&mut response, protocol::SHARD, &shard.0.to_string());
        response
    }

    async fn order(&self, headers: &HeaderMap, _body: &[u8], knobs: &Knobs) -> Reply {
        if let Some(reason) = self.closed(knobs) {
            return Some(self.refuse(503, reason, knobs));
        }
        let key = header(headers, protocol::ORDER_KEY).unwrap_or_default().to_owned();
        let request = self.rng.borrow_mut().random();
        self.work(request, knobs).await;
        let count = {
            let mut journal = lock(&self.shared.journal);
            let runs = journal.orders.entry(key.clone()).or_default();
            *runs += 1;
            journal.orders.len() as u64
        };
        if knobs.lose_order_replies > 0 && count.is_multiple_of(knobs.lose_order_replies) {
            return None;
        }
        let done = serde_json::json!({ "order": key, "service": self.shared.node.service.0 });
        let mut response = http::json(200, done.to_string());
        self.mark(&mut response, knobs);
        Some(response)
    }
}

/// Counts something for as long as it lives.
struct Count<'a>(&'a Cell<usize>);

impl<'a> Count<'a> {
    fn add(cell: &'a Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Self(cell)
    }
}

impl Drop for Count<'_> {
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

fn put(response: &mut Response<Full<Bytes>>, name: HeaderName, value: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
