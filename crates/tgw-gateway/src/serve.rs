//! Start and shutdown of the gateway.

use crate::{
    Codec, Settings, callers, discovery,
    log::DropCounter,
    packets::Packets,
    peers::Peers,
    readiness,
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

/// Time after SIGTERM during which callers are still accepted: the balancer checks once a second
/// and removes a VM after two failed checks.
const DRAIN_NOTICE_MS: Millis = Millis::new(2_500);
/// Time left before the process is killed when requests still running are abandoned.
const SHUTDOWN_RESERVE_MS: Millis = Millis::new(500);
/// Interval at which a VM that shuts down checks whether it still makes queries for others.
const GATHERED_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between sweeps of idle connections and expired entries.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// What a gateway is started with.
pub struct Options {
    /// Settings of the process.
    pub settings: Settings,
    /// Translates the platform's names.
    pub codec: Box<dyn Codec>,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Counts dropped log lines.
    pub dropped_lines: Option<DropCounter>,
    /// Parameters of the decision core.
    pub policy: Policy,
}

/// A running gateway.
pub struct Handle {
    shared: Rc<Shared>,
    peers: Rc<Peers>,
    callers: JoinHandle<()>,
    grace_period: Millis,
    addresses: Addresses,
}

/// The addresses on which a gateway listens.
#[derive(Copy, Clone, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's checks and for metrics.
    pub readiness: SocketAddr,
    /// For other VMs.
    pub peers: SocketAddr,
}

/// Binds the sockets and starts serving on the current thread. Must run within a `LocalSet`.
/// Errors: an address is in use or does not belong to this machine.
pub async fn spawn(options: Options) -> anyhow::Result<Handle> {
    let Options { settings, codec, store, dropped_lines, policy } = options;
    let callers = bind(settings.callers_addr, "callers").await?;
    let readiness = bind(settings.readiness_addr, "readiness").await?;
    let (callers_addr, readiness_addr) = (callers.local_addr()?, readiness.local_addr()?);
    let peers = bind(settings.peer.listen_addr, "peers").await?;
    let keys = Keys::new(settings.peer.key, None);
    let packets = Packets::bind(peers.local_addr()?, keys).await?;
    let shared = Shared::new(settings, codec, packets, dropped_lines, policy)?;
    tracing::info!(vm = shared.settings.vm, callers = %shared.settings.callers_addr,
        seeds = ?shared.settings.peer.seeds, "start");
    tokio::task::spawn_local(watch::configuration(shared.clone(), store.clone()));
    tokio::task::spawn_local(watch::upstreams(shared.clone(), store.clone()));
    tokio::task::spawn_local(watch::evacuations(shared.clone(), store.clone()));
    tokio::task::spawn_local(watch::probe::run(shared.clone(), store.clone()));
    tokio::task::spawn_local(stale::run(shared.clone(), store.clone()));
    let peers = Peers::spawn(shared.clone(), peers)?;
    let addresses =
        Addresses { callers: callers_addr, readiness: readiness_addr, peers: peers.addr() };
    tokio::task::spawn_local(watch::vms(peers.clone(), store.clone()));
    tokio::task::spawn_local(discovery::run(shared.clone(), store, peers.clone()));
    tokio::task::spawn_local(readiness::serve(shared.clone(), readiness));
    tokio::task::spawn_local(sweep(shared.clone()));
    let callers = tokio::task::spawn_local(callers::serve(shared.clone(), callers));
    let grace_period = shared.settings.grace_period;
    Ok(Handle { shared, peers, callers, grace_period, addresses })
}

async fn bind(addr: SocketAddr, what: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("cannot listen for {what} at {addr}"))
}

async fn sweep(shared: Rc<Shared>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let now = shared.now();
        shared.hops.sweep(now);
        let limit = shared.config.borrow().limits.head_timeout;
        let slow = shared.request_heads.sweep(now, limit);
        if slow > 0 {
            tracing::info!(
                callers = slow,
                limit_ms = limit.as_whole_ms(),
                "closed connections whose request head took too long"
            );
        }
        shared.core.borrow_mut().quarantine.evict_expired(now);
        let core = shared.core.borrow();
        shared.pools.sweep(now, |key| core.fleet.get(key).is_some());
    }
}

impl Handle {
    /// The addresses on which the gateway listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Applies the settings that may change while the process runs: seeds, budgets and the grace
    /// period.
    pub fn reload(&mut self, settings: &Settings) {
        tracing::info!(seeds = ?settings.peer.seeds, grace_ms = settings.grace_period.as_whole_ms(),
            "reload");
        self.peers.add_seeds(settings.peer.seeds.clone());
        self.shared.core.borrow_mut().set_budget(settings.retry_budget);
        self.shared.core.borrow_mut().set_headroom(settings.warmup_headroom);
        self.shared.admission.set_terms(settings.limit_terms);
        self.grace_period = settings.grace_period;
    }

    /// Drains the gateway: reports not ready, keeps accepting until the balancer has noticed, then
    /// lets running requests finish. Returns the number of requests still running when the grace
    /// period ended.
    pub async fn drain(self) -> u32 {
        let Self { shared, peers, callers, grace_period, .. } = self;
        tracing::info!(running = shared.running.get(), "leaving: not ready, still accepting");
        shared.phase.send_replace(Phase::Draining);
        peers.leave();
        sleep(Duration::from(DRAIN_NOTICE_MS)).await;
        shared.phase.send_replace(Phase::Closing);
        let remaining = Duration::from(grace_period - DRAIN_NOTICE_MS - SHUTDOWN_RESERVE_MS);
        let finish = async {
            // An error means that the task has ended as well.
            let _ = callers.await;
            while shared.gathered.held() > 0 {
                sleep(GATHERED_CHECK_INTERVAL).await;
            }
        };
        let finished = timeout(remaining, finish).await.is_ok();
        let running = shared.running.get();
        tracing::info!(running, finished, "stop");
        running
    }
}
