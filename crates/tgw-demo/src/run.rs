use crate::{
    Fleet, Report, Size, check,
    fault::Fault,
    fleet::TOKEN,
    load::{self, Load},
};
use serde::Serialize;
use std::{
    collections::BTreeMap,
    sync::{Arc, RwLock},
    time::{Duration, Instant},
};
use tgw_topology::Snapshot;
use tokio::task::LocalSet;

/// With one in this many queries an order is sent.
const ORDERS: u64 = 10;
/// The tier's duties, as their threads are named.
const DUTIES: [&str; 6] = ["callers", "queries", "upstreams", "peers", "config", "operators"];
/// What the name of a replaced VM ends with.
const REPLACED: &str = "-r";
/// Pause between two faults.
const PAUSE: Duration = Duration::from_millis(1500);

/// What one demo does.
#[derive(Clone, Debug)]
pub struct Options {
    /// How large it is.
    pub size: Size,
    /// Queries to be sent.
    pub queries: u64,
    /// Queries a second.
    pub per_second: f64,
    /// Faults to be brought about, in this order.
    pub faults: Vec<Fault>,
}

/// What `hold` prints once the fleet serves.
#[derive(Debug, Serialize)]
pub struct Ready {
    /// One address a VM.
    pub entry: Vec<String>,
    /// The platform.
    pub platform: String,
    /// The operators' token.
    pub admin_token: String,
    /// One operators' address a VM.
    pub operators: Vec<String>,
}

/// Runs one demo to its end.
pub fn run(options: &Options) -> anyhow::Result<Report> {
    let mut fleet = Fleet::open(options.size.clone())?;
    let entries = Arc::new(RwLock::new(fleet.entries()));
    let user = options.size.user;
    let to_callers = if options.size.distances { user.to_callers() } else { 0.0 };
    let load = Load {
        queries: options.queries,
        per_second: options.per_second,
        seed: options.size.seed,
        catalog: fleet.catalog.clone(),
        entries: entries.clone(),
        to_callers: Duration::from_secs_f64(to_callers / 1000.0),
        orders: ORDERS,
        ordering: ordering(&options.size),
    };
    let cpu = cpu_by_thread();
    let loading = std::thread::Builder::new().name("load".into()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, load::run(load))
    })?;
    let began = Instant::now();
    let mut faults = Vec::new();
    for fault in &options.faults {
        std::thread::sleep(PAUSE);
        faults.push(format!("{:.1} s: {fault}", began.elapsed().as_secs_f64()));
        begin(&mut fleet, *fault, &entries)?;
        std::thread::sleep(PAUSE);
        end(&mut fleet, *fault, &entries)?;
        faults.push(format!("{:.1} s: {fault} ended", began.elapsed().as_secs_f64()));
    }
    let result = loading.join().map_err(|_| anyhow::anyhow!("the load failed"))??;
    let cpu = cpu_per_leaf(&cpu, &cpu_by_thread(), result.shards);
    let report = report(options, &fleet, &result, faults, cpu);
    let undone = fleet.close();
    let mut report = report;
    for vm in undone {
        report.broken_promises.push(crate::check::Broken {
            promise: "a graceful shutdown cuts no request",
            query: vm,
            seen: "requests were left when the VM had to stop".into(),
        });
    }
    Ok(report)
}

/// Starts a fleet and keeps serving until `stop` returns.
pub fn hold(size: Size, ready: impl FnOnce(&Ready), stop: impl FnOnce()) -> anyhow::Result<()> {
    let fleet = Fleet::open(size)?;
    let operators = fleet.vms.iter().filter_map(|vm| vm.handle.as_ref());
    ready(&Ready {
        entry: fleet.entries().iter().map(|a| format!("http://{a}")).collect(),
        platform: format!("http://{}", fleet.platform_addr),
        admin_token: TOKEN.into(),
        operators: operators.map(|h| format!("http://{}", h.operators())).collect(),
    });
    stop();
    fleet.close();
    Ok(())
}

fn report(
    options: &Options,
    fleet: &Fleet,
    result: &load::Result,
    faults: Vec<String>,
    cpu: BTreeMap<String, f64>,
) -> Report {
    let journals: Vec<_> = fleet.upstreams.iter().map(tgw_standin::Upstream::journal).collect();
    let searches: u64 = journals.iter().map(|j| j.searches).sum();
    let calls = fleet.platform.calls();
    let at = |quantile: f64| result.latency.value_at_quantile(quantile) as f64 / 1000.0;
    let told = |name: &str| result.orders.iter().filter(|o| o.outcome == name).count() as u64;
    let mut broken = result.broken.clone();
    broken.extend(check::orders(&result.orders, &journals));
    Report {
        user: options.size.user.to_string(),
        vms: options.size.vms,
        upstreams: fleet.upstreams.len(),
        queries: options.queries,
        answered: result.whole,
        partial: result.partial,
        short: result.short,
        refused: result.refused,
        failed: result.failed,
        orders_ran: told("ran"),
        orders_not_run: told("not_run"),
        orders_unknown: told("unknown") + told("failed"),
        orders_at_upstreams: journals.iter().map(|j| j.orders.len() as u64).sum(),
        platform_writes: calls.writes,
        p50_ms: at(0.5),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        coverage: result.covered as f64 / result.shards.max(1) as f64,
        extra_load: searches as f64 / result.shards.max(1) as f64 - 1.0,
        connections: journals.iter().map(|j| j.connections).sum(),
        connections_refused: journals.iter().map(|j| j.refused_connections).sum(),
        platform_calls: calls.gets + calls.lists + calls.watches + calls.writes,
        tier_cpu_us_per_leaf: cpu.values().sum(),
        duty_cpu_us_per_leaf: cpu,
        faults,
        broken_promises: broken,
    }
}

/// The services that take orders.
fn ordering(size: &Size) -> Vec<tgw_topology::Service> {
    let services = size.user.services();
    let taking = services.iter().enumerate().filter(|(_, s)| s.orders);
    taking.map(|(index, _)| tgw_topology::Service(index as u16)).collect()
}

type Entries = Arc<RwLock<Vec<std::net::SocketAddr>>>;

fn set_entries(fleet: &Fleet, entries: &Entries) {
    *entries.write().unwrap_or_else(std::sync::PoisonError::into_inner) = fleet.entries();
}

fn begin(fleet: &mut Fleet, fault: Fault, entries: &Entries) -> anyhow::Result<()> {
    match fault {
        Fault::Straggler => {
            for upstream in fleet.upstreams.iter().step_by(20) {
                upstream.set(|k| k.slow = 10.0);
            }
        }
        Fault::ReplicaLost => {
            for upstream in fleet.upstreams.iter().step_by(3) {
                upstream.set(|k| k.broken = true);
            }
        }
        Fault::Version => new_snapshot(fleet, |s| Snapshot { version: s.version + 1, ..s })?,
        Fault::Repartition => new_snapshot(fleet, |s| Snapshot {
            version: s.version + 1,
            layout: tgw_topology::Layout(3 - s.layout.0),
        })?,
        Fault::Crossed => {
            for upstream in fleet.upstreams.iter().step_by(5) {
                upstream.set(|k| {
                    k.crossed = 7;
                    k.malformed = 11;
                });
            }
        }
        Fault::KillOwner => {
            let victim = fleet.vms.iter_mut().rfind(|vm| vm.handle.is_some());
            if let Some(handle) = victim.and_then(|vm| vm.handle.take()) {
                // The balancer has noticed; what the VM owned has not.
                set_entries(fleet, entries);
                std::thread::sleep(Duration::from_millis(50));
                handle.kill();
            }
        }
        Fault::PauseOwner => {
            if let Some(vm) = fleet.vms.iter().rfind(|vm| vm.handle.is_some()) {
                vm.freeze.set(true);
            }
        }
        Fault::Replace => replace(fleet, entries)?,
        Fault::StoreDown => fleet.platform.set(|f| f.down = true),
        Fault::Partition => {
            let domain = fleet.vms[0].place.domain;
            fleet.ways.isolate(domain, true);
        }
        Fault::Drain => {
            if let Some(upstream) = fleet.upstreams.first() {
                upstream.set(|k| {
                    k.draining = true;
                    k.misleading = true;
                });
            }
        }
    }
    Ok(())
}

fn end(fleet: &mut Fleet, fault: Fault, entries: &Entries) -> anyhow::Result<()> {
    match fault {
        Fault::Straggler => fleet.upstreams.iter().for_each(|u| u.set(|k| k.slow = 1.0)),
        Fault::ReplicaLost => fleet.upstreams.iter().for_each(|u| u.set(|k| k.broken = false)),
        Fault::Crossed => fleet.upstreams.iter().for_each(|u| {
            u.set(|k| {
                k.crossed = 0;
                k.malformed = 0;
            });
        }),
        Fault::KillOwner => {
            let index = fleet.vms.iter().rposition(|vm| vm.handle.is_none());
            if let Some(index) = index {
                fleet.vms[index] = fleet.start(index, fleet.vms[index].name.clone())?;
                fleet.wait_ready()?;
                set_entries(fleet, entries);
            }
        }
        Fault::PauseOwner => fleet.vms.iter().for_each(|vm| vm.freeze.set(false)),
        Fault::StoreDown => fleet.platform.set(|f| f.down = false),
        Fault::Partition => {
            let domain = fleet.vms[0].place.domain;
            fleet.ways.isolate(domain, false);
        }
        Fault::Version | Fault::Repartition | Fault::Replace | Fault::Drain => {}
    }
    Ok(())
}

/// Brings a new snapshot of every service to one replica after the other, then lets the older go.
fn new_snapshot(fleet: &mut Fleet, next: impl Fn(Snapshot) -> Snapshot) -> anyhow::Result<()> {
    let names: Vec<String> = fleet.catalog.services.values().map(|s| s.name.clone()).collect();
    for entry in fleet.catalog.services.values_mut() {
        let new = entry.snapshots.first().copied().map(&next);
        entry.snapshots.splice(0..0, new);
    }
    for name in &names {
        fleet.publish_service(name)?;
    }
    let newest = |upstream: &tgw_standin::Upstream| {
        let service = fleet.catalog.services.get(&upstream.node().service);
        service.map(|s| s.snapshots.clone()).unwrap_or_default()
    };
    for third in 0..3 {
        for upstream in fleet.upstreams.iter().skip(third).step_by(3) {
            let held = newest(upstream);
            upstream.set(|k| k.held = held);
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    std::thread::sleep(Duration::from_millis(500));
    for upstream in &fleet.upstreams {
        upstream.set(|k| k.held.truncate(1));
    }
    for entry in fleet.catalog.services.values_mut() {
        entry.snapshots.truncate(1);
    }
    for name in &names {
        fleet.publish_service(name)?;
    }
    Ok(())
}

/// Drains one VM that was not replaced before, after the balancer was told, and starts another in its
/// place.
fn replace(fleet: &mut Fleet, entries: &Entries) -> anyhow::Result<()> {
    let fresh = |vm: &crate::fleet::Vm| vm.handle.is_some() && !vm.name.ends_with(REPLACED);
    let Some(index) = fleet.vms.iter().position(fresh) else { return Ok(()) };
    if let Some(handle) = fleet.vms[index].handle.take() {
        set_entries(fleet, entries);
        handle.drain(Duration::from_secs(10));
    }
    let name = format!("{}{REPLACED}", fleet.vms[index].name);
    fleet.vms[index] = fleet.start(index, name)?;
    fleet.wait_ready()?;
    set_entries(fleet, entries);
    Ok(())
}

/// Processor time so far of the threads of each name, in seconds. The tier's threads bear the names of
/// their duties; those of VMs that have ended are no longer counted.
fn cpu_by_thread() -> BTreeMap<String, f64> {
    /// Ticks a second of the figures in `/proc`, as Linux has fixed them for user space.
    const TICKS: f64 = 100.0;
    let mut sums = BTreeMap::new();
    let tasks = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    for task in tasks {
        let text = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        let Some((name, rest)) = text.split_once('(').and_then(|(_, r)| r.rsplit_once(')')) else {
            continue;
        };
        let fields: Vec<f64> = rest.split_whitespace().map(|f| f.parse().unwrap_or(0.0)).collect();
        let spent = fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0);
        *sums.entry(name.to_owned()).or_default() += spent / TICKS;
    }
    sums
}

/// Processor time of the duties between two readings, in µs for each of `leafs`.
fn cpu_per_leaf(
    before: &BTreeMap<String, f64>,
    after: &BTreeMap<String, f64>,
    leafs: u64,
) -> BTreeMap<String, f64> {
    let spent = |duty: &str| {
        let of = |sums: &BTreeMap<String, f64>| sums.get(duty).copied().unwrap_or(0.0);
        (of(after) - of(before)).max(0.0) * 1e6 / leafs.max(1) as f64
    };
    DUTIES.iter().map(|duty| ((*duty).to_owned(), spent(duty))).collect()
}
