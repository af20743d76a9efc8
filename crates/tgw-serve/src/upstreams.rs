use crate::{
    metrics::Gauges,
    work::{Errand, Work},
};
use rand::Rng;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
};
use tgw_clock::{Clock, Freeze, Millis};
use tgw_dispatch::{
    Leaf,
    leaf::{Failure, Operation, Reply},
};
use tgw_ring::{Receiver, Sender};
use tgw_topology::Upstream;
use tgw_upstream::{Client, Ordered, Search};
use tokio::{
    sync::watch,
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// Connections beyond the slots: one for load probes, one for cancellations.
const CONTROL: u32 = 2;
/// How often an upstream is asked for its load.
const PROBE: Millis = Millis::new(1000);
/// Time for an upstream to answer a load probe.
const PROBE_LIMIT: Millis = Millis::new(1000);

/// One upstream that this VM dispatches to.
struct Served {
    client: Client,
    incarnation: Option<u64>,
    /// Tells the probing task to stop.
    _probing: watch::Sender<()>,
}

struct Duty {
    core: Sender<Work>,
    gauges: Arc<Gauges>,
    clock: Arc<dyn Clock>,
    /// Distinguishes this VM's requests from those of every other at the same upstream.
    salt: u64,
    served: RefCell<BTreeMap<Upstream, Served>>,
    closing: RefCell<Vec<Client>>,
}

/// Runs the duty on the current thread until `stop` changes.
pub(crate) fn run(
    core: Sender<Work>,
    errands: Receiver<Errand>,
    gauges: Arc<Gauges>,
    clock: Arc<dyn Clock>,
    freeze: &Freeze,
    salt: u64,
    mut stop: watch::Receiver<bool>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return };
    let duty = Rc::new(Duty {
        core,
        gauges,
        clock,
        salt,
        served: RefCell::default(),
        closing: RefCell::default(),
    });
    LocalSet::new().block_on(&runtime, async move {
        loop {
            tokio::select! {
                _ = stop.changed() => return,
                () = errands.ready() => {}
            }
            while let Some(errand) = errands.pop() {
                duty.clone().handle(errand);
            }
            freeze.hold();
        }
    });
}

impl Duty {
    fn handle(self: Rc<Self>, errand: Errand) {
        match errand {
            Errand::Send { ticket, upstream, leaf } => {
                spawn_local(self.send(ticket, upstream, leaf));
            }
            Errand::Abort { ticket, upstream } => {
                let client = self.served.borrow().get(&upstream).map(|s| s.client.clone());
                if let Some(client) = client {
                    let request = self.request(ticket);
                    spawn_local(async move { client.cancel(request).await });
                }
            }
            Errand::Connect { upstream, addr, slots } => self.connect(upstream, addr, slots),
            Errand::Disconnect(upstream) => {
                if let Some(served) = self.served.borrow_mut().remove(&upstream) {
                    served.client.close_idle();
                    self.closing.borrow_mut().push(served.client);
                }
                self.count();
            }
        }
    }

    fn request(&self, ticket: u64) -> u64 {
        self.salt.wrapping_add(ticket)
    }

    fn connect(self: Rc<Self>, upstream: Upstream, addr: std::net::SocketAddr, slots: u16) {
        if self.served.borrow().contains_key(&upstream) {
            return;
        }
        let client = Client::open(addr, u32::from(slots) + CONTROL);
        let (probing, stopped) = watch::channel(());
        let served = Served { client: client.clone(), incarnation: None, _probing: probing };
        self.served.borrow_mut().insert(upstream, served);
        spawn_local(self.probe(upstream, client, u32::from(slots) + 1, stopped));
    }

    /// Keeps connections warm and asks for load until the upstream is given up.
    async fn probe(
        self: Rc<Self>,
        upstream: Upstream,
        client: Client,
        warm: u32,
        mut stopped: watch::Receiver<()>,
    ) {
        loop {
            client.warm(warm).await;
            let probe = client.load(PROBE_LIMIT).await;
            if let Some(held) = probe.held {
                let _ = self.core.push(Work::Held(upstream, held));
            }
            self.incarnation(upstream, probe.incarnation);
            // A load endpoint may lag or lie: its word that the upstream leaves is taken, its word
            // that all is well is not.
            if probe.result == Ok(true) {
                let _ = self.core.push(Work::Leaving(upstream));
            }
            self.count();
            let pause = PROBE.scale(rand::rng().random_range(0.8..1.2));
            tokio::select! {
                _ = stopped.changed() => return,
                () = sleep(pause.into()) => {}
            }
        }
    }

    /// Notices that an upstream's process is another one than before.
    fn incarnation(&self, upstream: Upstream, incarnation: Option<u64>) {
        let mut served = self.served.borrow_mut();
        let Some(served) = served.get_mut(&upstream) else { return };
        let Some(new) = incarnation else { return };
        if served.incarnation.replace(new).is_some_and(|old| old != new) {
            let _ = self.core.push(Work::Restarted(upstream));
        }
    }

    async fn send(self: Rc<Self>, ticket: u64, upstream: Upstream, leaf: Leaf) {
        let client = self.served.borrow().get(&upstream).map(|s| s.client.clone());
        let done = match client {
            Some(client) if leaf.is_order() => self.order(client, ticket, leaf).await,
            Some(client) => {
                let search = Search {
                    request: self.request(ticket),
                    snapshot: leaf.snapshot,
                    shard: leaf.key.shard,
                    left: leaf.deadline - self.clock.now(),
                    body: leaf.body,
                };
                let probe = client.search(&search).await;
                self.incarnation(upstream, probe.incarnation);
                Work::Done { ticket, result: probe.result, held: probe.held }
            }
            None => Work::Done { ticket, result: Err(Failure::Connect), held: None },
        };
        self.tell(done).await;
    }

    async fn order(&self, client: Client, ticket: u64, leaf: Leaf) -> Work {
        let Operation::Order(name) = &leaf.operation else {
            return Work::Done { ticket, result: Err(Failure::Connect), held: None };
        };
        // A paused VM can come to this line long after the deadline, when the caller has been told
        // what is not known: the clock is read last, and nothing is sent past it.
        let left = leaf.deadline - self.clock.now();
        let ordered = if left == Millis::ZERO {
            Ordered::NotSent
        } else {
            client.order(name, leaf.body.clone(), left).await
        };
        let result = match ordered {
            Ordered::Ran(body) => Ok(Reply::Ran(body)),
            Ordered::NotRun => Ok(Reply::Shed),
            Ordered::NotSent => Err(Failure::Connect),
            Ordered::Unknown => Err(Failure::Closed),
        };
        Work::Done { ticket, result, held: None }
    }

    /// Hands a result over. It is not repeated by anyone, so it waits for room in the ring; the
    /// number of waiting results is bounded by the upstreams' slots.
    async fn tell(&self, mut work: Work) {
        while let Err(back) = self.core.push(work) {
            work = back;
            sleep(Millis::new(1).into()).await;
        }
    }

    fn count(&self) {
        self.closing.borrow_mut().retain(|client| client.connections() > 0);
        let served = self.served.borrow();
        let open: u32 = served.values().map(|s| s.client.connections()).sum();
        let opened: u64 = served.values().map(|s| s.client.opened()).sum();
        self.gauges.connections.store(open.into(), Ordering::Relaxed);
        self.gauges.connections_opened.store(opened, Ordering::Relaxed);
    }
}
