//! Starting and stopping.

use crate::{
    Dialect, Settings, callers,
    log::Dropped,
    meeting,
    packets::Packets,
    peers::Peers,
    ready,
    shared::{Phase, Shared},
    stale, watch,
};
use anyhow::Context;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tgw_clock::Millis;
use tgw_forward::Policy;
use tgw_platform::Store;
use tgw_wire::Keys;
use tokio::{
    net::TcpListener,
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Time in ms after SIGTERM for which callers are still accepted: the balancer asks once a second
/// and takes a VM out after two misses.
const NOTICE: Millis = Millis::new(2_500);
/// Time in ms that is left before the process is killed when it gives up what still runs.
const RESERVE: Millis = Millis::new(500);
/// Time in ms between looks for idle connections and lapsed entries.
const SWEEP: Duration = Duration::from_millis(1_000);

/// What a process serves with.
pub struct Options {
    /// What it was told.
    pub settings: Settings,
    /// What the platform calls things.
    pub dialect: Box<dyn Dialect>,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Counts log lines that were dropped.
    pub dropped: Option<Dropped>,
    /// What it decides by.
    pub policy: Policy,
}

/// A running process.
pub struct Handle {
    shared: Rc<Shared>,
    peers: Rc<Peers>,
    callers: JoinHandle<()>,
    grace: Millis,
    addresses: Addresses,
}

/// Where a process listens.
#[derive(Copy, Clone, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer and for metrics.
    pub ready: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
}

/// Binds the sockets and starts serving on the current thread. Must run within a local task set.
/// Errors: an address is in use or not this machine's.
pub async fn spawn(options: Options) -> anyhow::Result<Handle> {
    let Options { settings, dialect, store, dropped, policy } = options;
    let callers = bind(settings.callers, "callers").await?;
    let readiness = bind(settings.ready, "readiness").await?;
    let (callers_addr, ready) = (callers.local_addr()?, readiness.local_addr()?);
    let peers = bind(settings.peer.listen, "peers").await?;
    let keys = Keys::new(settings.peer.key, None);
    let packets = Packets::bind(peers.local_addr()?, keys).await?;
    let shared = Shared::new(settings, dialect, packets, dropped, policy)?;
    tracing::info!(vm = shared.settings.vm, callers = %shared.settings.callers,
        seeds = ?shared.settings.peer.seeds, "start");
    tokio::task::spawn_local(watch::configuration(shared.clone(), store.clone()));
    tokio::task::spawn_local(watch::upstreams(shared.clone(), store.clone()));
    tokio::task::spawn_local(watch::evacuations(shared.clone(), store.clone()));
    tokio::task::spawn_local(watch::probe(shared.clone(), store.clone()));
    tokio::task::spawn_local(stale::run(shared.clone(), store.clone()));
    let peers = Peers::spawn(shared.clone(), peers)?;
    let addresses = Addresses { callers: callers_addr, ready, peers: peers.addr() };
    tokio::task::spawn_local(meeting::run(shared.clone(), store, peers.clone()));
    tokio::task::spawn_local(ready::serve(shared.clone(), readiness));
    tokio::task::spawn_local(sweep(shared.clone()));
    let callers = tokio::task::spawn_local(callers::serve(shared.clone(), callers));
    let grace = shared.settings.grace;
    Ok(Handle { shared, peers, callers, grace, addresses })
}

async fn bind(addr: SocketAddr, what: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("cannot listen for {what} at {addr}"))
}

async fn sweep(shared: Rc<Shared>) {
    loop {
        sleep(SWEEP).await;
        let now = shared.now();
        shared.hops.sweep(now);
        let limit = shared.config.borrow().limits.head_timeout;
        let slow = shared.heads.sweep(now, limit);
        if slow > 0 {
            tracing::info!(callers = slow, limit_ms = limit.whole(), "heads took too long");
        }
        shared.core.borrow_mut().quarantine.sweep(now);
        let core = shared.core.borrow();
        shared.pools.sweep(now, |key| core.fleet.get(key).is_some());
    }
}

impl Handle {
    /// Where it listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Whether the balancer may send callers.
    pub fn ready(&self) -> bool {
        self.shared.ready()
    }

    /// Takes over settings that may change while the process runs: seeds, budgets and grace.
    pub fn reload(&mut self, settings: &Settings) {
        tracing::info!(seeds = ?settings.peer.seeds, grace_ms = settings.grace.whole(), "reload");
        self.peers.seeds(settings.peer.seeds.clone());
        self.shared.core.borrow_mut().set_budget(settings.budget);
        self.shared.core.borrow_mut().set_excess(settings.excess);
        self.grace = settings.grace;
    }

    /// Leaves: stops being ready, accepts until the balancer has noticed, finishes what runs.
    /// Returns the number of requests that were still running when the time was over.
    pub async fn drain(self) -> u32 {
        let Self { shared, peers, callers, grace, .. } = self;
        tracing::info!(running = shared.running.get(), "leaving: not ready, still accepting");
        shared.phase.send_replace(Phase::Leaving);
        peers.leave();
        sleep(Duration::from(NOTICE)).await;
        shared.phase.send_replace(Phase::Closing);
        let rest = Duration::from(grace - NOTICE - RESERVE);
        let finished = timeout(rest, callers).await.is_ok();
        let running = shared.running.get();
        tracing::info!(running, finished, "stop");
        running
    }
}
