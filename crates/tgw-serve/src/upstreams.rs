use crate::{
    messages::{Command, CoreMessage},
    metrics::Gauges,
};
use rand::Rng;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
};
use tgw_clock::{Clock, Millis, PauseSwitch};
use tgw_dispatch::{
    Leaf,
    leaf::{Failure, Operation, Reply},
};
use tgw_ring::{Receiver, Sender};
use tgw_topology::Upstream;
use tgw_upstream::{Client, OrderOutcome, Search};
use tokio::{
    sync::watch,
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// Connections beyond the upstream's concurrency: one for load probes, one for cancellations.
const CONTROL_CONNECTIONS: u32 = 2;
/// Interval of load probes to an upstream, with a jitter of 20 %.
const PROBE_INTERVAL_MS: Millis = Millis::new(1000);
/// Time limit for a load probe.
const PROBE_TIMEOUT_MS: Millis = Millis::new(1000);

/// An upstream that this VM dispatches to.
struct Entry {
    client: Client,
    incarnation: Option<u64>,
    /// Stops the probe task when dropped.
    _stop_probe: watch::Sender<()>,
}

struct Worker {
    core: Sender<CoreMessage>,
    gauges: Arc<Gauges>,
    clock: Arc<dyn Clock>,
    /// Added to send identifiers, so that the requests of different VMs to one upstream differ.
    request_id_base: u64,
    upstreams: RefCell<BTreeMap<Upstream, Entry>>,
    closing: RefCell<Vec<Client>>,
}

/// Runs the worker, which carries out the core's commands on upstreams, such as sending and cancelling
/// requests, on the current thread until `stop` changes.
pub(crate) fn run(
    core: Sender<CoreMessage>,
    commands: Receiver<Command>,
    gauges: Arc<Gauges>,
    clock: Arc<dyn Clock>,
    pause_switch: &PauseSwitch,
    request_id_base: u64,
    mut stop: watch::Receiver<bool>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return };
    let worker = Rc::new(Worker {
        core,
        gauges,
        clock,
        request_id_base,
        upstreams: RefCell::default(),
        closing: RefCell::default(),
    });
    LocalSet::new().block_on(&runtime, async move {
        loop {
            tokio::select! {
                _ = stop.changed() => return,
                () = commands.ready() => {}
            }
            while let Some(command) = commands.pop() {
                worker.clone().handle(command);
            }
            pause_switch.wait_while_paused();
        }
    });
}

impl Worker {
    fn handle(self: Rc<Self>, command: Command) {
        match command {
            Command::Send { send_id, upstream, leaf } => {
                spawn_local(self.send(send_id, upstream, leaf));
            }
            Command::Cancel { send_id, upstream } => {
                let client = self.upstreams.borrow().get(&upstream).map(|e| e.client.clone());
                if let Some(client) = client {
                    let request = self.request_id(send_id);
                    spawn_local(async move { client.cancel(request).await });
                }
            }
            Command::Connect { upstream, addr, max_concurrency } => {
                self.connect(upstream, addr, max_concurrency);
            }
            Command::Disconnect(upstream) => {
                if let Some(entry) = self.upstreams.borrow_mut().remove(&upstream) {
                    entry.client.close_idle();
                    self.closing.borrow_mut().push(entry.client);
                }
                self.publish_connections();
            }
        }
    }

    fn request_id(&self, send_id: u64) -> u64 {
        self.request_id_base.wrapping_add(send_id)
    }

    fn connect(
        self: Rc<Self>,
        upstream: Upstream,
        addr: std::net::SocketAddr,
        max_concurrency: u16,
    ) {
        if self.upstreams.borrow().contains_key(&upstream) {
            return;
        }
        let client = Client::new(addr, u32::from(max_concurrency) + CONTROL_CONNECTIONS);
        let (stop_probe, stopped) = watch::channel(());
        let entry = Entry { client: client.clone(), incarnation: None, _stop_probe: stop_probe };
        self.upstreams.borrow_mut().insert(upstream, entry);
        spawn_local(self.probe(upstream, client, u32::from(max_concurrency) + 1, stopped));
    }

    /// Keeps connections open and probes the load until the upstream is disconnected.
    async fn probe(
        self: Rc<Self>,
        upstream: Upstream,
        client: Client,
        warm: u32,
        mut stopped: watch::Receiver<()>,
    ) {
        loop {
            client.prewarm(warm).await;
            let probe = client.load(PROBE_TIMEOUT_MS).await;
            if let Some(snapshots) = probe.held_snapshots {
                let _ = self.core.push(CoreMessage::SnapshotsReported(upstream, snapshots));
            }
            self.record_incarnation(upstream, probe.incarnation);
            // A load endpoint may report stale or wrong data: a report that the upstream is draining
            // is trusted, a report that it is healthy is not.
            if probe.result == Ok(true) {
                let _ = self.core.push(CoreMessage::Leaving(upstream));
            }
            self.publish_connections();
            let interval = PROBE_INTERVAL_MS.mul_f64(rand::rng().random_range(0.8..1.2));
            tokio::select! {
                _ = stopped.changed() => return,
                () = sleep(interval.into()) => {}
            }
        }
    }

    /// Reports a restart when the upstream's process is not the one seen before.
    fn record_incarnation(&self, upstream: Upstream, incarnation: Option<u64>) {
        let mut upstreams = self.upstreams.borrow_mut();
        let Some(entry) = upstreams.get_mut(&upstream) else { return };
        let Some(new) = incarnation else { return };
        if entry.incarnation.replace(new).is_some_and(|old| old != new) {
            let _ = self.core.push(CoreMessage::Restarted(upstream));
        }
    }

    async fn send(self: Rc<Self>, send_id: u64, upstream: Upstream, leaf: Leaf) {
        let client = self.upstreams.borrow().get(&upstream).map(|e| e.client.clone());
        let done = match client {
            Some(client) if leaf.is_order() => self.order(client, send_id, leaf).await,
            Some(client) => {
                let search = Search {
                    request_id: self.request_id(send_id),
                    snapshot: leaf.snapshot,
                    shard: leaf.key.shard,
                    time_left: leaf.deadline - self.clock.now(),
                    body: leaf.body,
                };
                let probe = client.search(&search).await;
                self.record_incarnation(upstream, probe.incarnation);
                CoreMessage::SendEnded {
                    send_id,
                    result: probe.result,
                    snapshots: probe.held_snapshots,
                }
            }
            None => {
                CoreMessage::SendEnded { send_id, result: Err(Failure::Connect), snapshots: None }
            }
        };
        self.push_result(done).await;
    }

    async fn order(&self, client: Client, send_id: u64, leaf: Leaf) -> CoreMessage {
        let Operation::Order(name) = &leaf.operation else {
            return CoreMessage::SendEnded {
                send_id,
                result: Err(Failure::Connect),
                snapshots: None,
            };
        };
        // A VM that was paused can reach this line long after the deadline, when the caller has already
        // been told that the outcome is unknown. The clock is therefore read last, and nothing is sent
        // after the deadline.
        let left = leaf.deadline - self.clock.now();
        let ordered = if left == Millis::ZERO {
            OrderOutcome::NotSent
        } else {
            client.order(name, leaf.body.clone(), left).await
        };
        let result = match ordered {
            OrderOutcome::Ran(body) => Ok(Reply::Ran(body)),
            OrderOutcome::NotRun => Ok(Reply::Shed),
            OrderOutcome::NotSent => Err(Failure::Connect),
            OrderOutcome::Unknown => Err(Failure::Closed),
        };
        CoreMessage::SendEnded { send_id, result, snapshots: None }
    }

    /// Sends a result to the core. A result is never sent twice, so this waits for space in the ring;
    /// the number of waiting results is bounded by the concurrency of the upstreams.
    async fn push_result(&self, mut message: CoreMessage) {
        while let Err(rejected) = self.core.push(message) {
            message = rejected;
            sleep(Millis::new(1).into()).await;
        }
    }

    fn publish_connections(&self) {
        self.closing.borrow_mut().retain(|client| client.open_connections() > 0);
        let upstreams = self.upstreams.borrow();
        let open: u32 = upstreams.values().map(|e| e.client.open_connections()).sum();
        let opened: u64 = upstreams.values().map(|e| e.client.connections_opened()).sum();
        self.gauges.connections.store(open.into(), Ordering::Relaxed);
        self.gauges.connections_opened.store(opened, Ordering::Relaxed);
    }
}
