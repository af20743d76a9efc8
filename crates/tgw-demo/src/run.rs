use crate::{
    Fleet, Report, Size, check,
    fault::Fault,
    fleet::ADMIN_TOKEN,
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

/// An order is sent with one in this many queries.
const QUERIES_PER_ORDER: u64 = 10;
/// Names of a VM's threads, one for each role.
const THREAD_NAMES: [&str; 6] = ["callers", "queries", "upstreams", "peers", "config", "operators"];
/// Suffix of the name of a VM that replaced another.
const REPLACED_SUFFIX: &str = "-r";
/// Pause before a fault starts and before it ends.
const FAULT_STEP_PAUSE: Duration = Duration::from_millis(1500);

/// Options of a demo.
#[derive(Clone, Debug)]
pub struct Options {
    /// Size of the demo.
    pub size: Size,
    /// Number of queries to send.
    pub queries: u64,
    /// Queries per second.
    pub per_second: f64,
    /// Faults to inject, in this order.
    pub faults: Vec<Fault>,
}

/// Addresses and token of a fleet that serves, as passed on by `hold`.
#[derive(Debug, Serialize)]
pub struct Ready {
    /// Callers' address of each VM.
    pub entry: Vec<String>,
    /// Address of the platform.
    pub platform: String,
    /// The operators' token.
    pub admin_token: String,
    /// Operators' address of each VM.
    pub operators: Vec<String>,
}

/// Runs a demo to its end.
pub fn run(options: &Options) -> anyhow::Result<Report> {
    let mut fleet = Fleet::open(options.size.clone())?;
    let entries = Arc::new(RwLock::new(fleet.entries()));
    let user = options.size.user;
    let caller_delay_ms = if options.size.distances { user.caller_delay_ms() } else { 0.0 };
    let load = Load {
        queries: options.queries,
        per_second: options.per_second,
        seed: options.size.seed,
        catalog: fleet.catalog.clone(),
        entries: entries.clone(),
        caller_delay: Duration::from_secs_f64(caller_delay_ms / 1000.0),
        order_interval: QUERIES_PER_ORDER,
        order_services: services_with_orders(&options.size),
    };
    let cpu = cpu_by_thread();
    let load_thread = std::thread::Builder::new().name("load".into()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(&runtime, load::run(load))
    })?;
    let started = Instant::now();
    let mut faults = Vec::new();
    for fault in &options.faults {
        std::thread::sleep(FAULT_STEP_PAUSE);
        faults.push(format!("{:.1} s: {fault}", started.elapsed().as_secs_f64()));
        start_fault(&mut fleet, *fault, &entries)?;
        std::thread::sleep(FAULT_STEP_PAUSE);
        end_fault(&mut fleet, *fault, &entries)?;
        faults.push(format!("{:.1} s: {fault} ended", started.elapsed().as_secs_f64()));
    }
    let summary = load_thread.join().map_err(|_| anyhow::anyhow!("the load thread panicked"))??;
    let cpu = cpu_per_leaf(&cpu, &cpu_by_thread(), summary.shards);
    let report = report(options, &fleet, &summary, faults, cpu);
    let unfinished = fleet.close();
    let mut report = report;
    for vm in unfinished {
        report.broken_promises.push(crate::check::Violation {
            promise: "a graceful shutdown cuts no request",
            query: vm,
            seen: "requests were left when the VM had to stop".into(),
        });
    }
    Ok(report)
}

/// Starts a fleet, calls `ready` with its addresses and serves until `stop` returns.
pub fn hold(size: Size, ready: impl FnOnce(&Ready), stop: impl FnOnce()) -> anyhow::Result<()> {
    let fleet = Fleet::open(size)?;
    let operators = fleet.vms.iter().filter_map(|vm| vm.handle.as_ref());
    ready(&Ready {
        entry: fleet.entries().iter().map(|a| format!("http://{a}")).collect(),
        platform: format!("http://{}", fleet.platform_addr),
        admin_token: ADMIN_TOKEN.into(),
        operators: operators.map(|h| format!("http://{}", h.operators_addr())).collect(),
    });
    stop();
    fleet.close();
    Ok(())
}

fn report(
    options: &Options,
    fleet: &Fleet,
    summary: &load::Summary,
    faults: Vec<String>,
    cpu: BTreeMap<String, f64>,
) -> Report {
    let stats: Vec<_> = fleet.upstreams.iter().map(tgw_standin::Upstream::journal).collect();
    let searches: u64 = stats.iter().map(|j| j.searches).sum();
    let calls = fleet.platform.calls();
    let latency_ms = |quantile: f64| summary.latency.value_at_quantile(quantile) as f64 / 1000.0;
    let count_orders =
        |name: &str| summary.order_replies.iter().filter(|o| o.outcome == name).count() as u64;
    let mut violations = summary.violations.clone();
    violations.extend(check::check_orders(&summary.order_replies, &stats));
    Report {
        user: options.size.user.to_string(),
        vms: options.size.vms,
        upstreams: fleet.upstreams.len(),
        queries: options.queries,
        answered: summary.complete,
        partial: summary.partial,
        short: summary.below_least_coverage,
        refused: summary.refused,
        failed: summary.failed,
        orders_ran: count_orders("ran"),
        orders_not_run: count_orders("not_run"),
        orders_unknown: count_orders("unknown") + count_orders("failed"),
        orders_at_upstreams: stats.iter().map(|j| j.orders.len() as u64).sum(),
        platform_writes: calls.writes,
        p50_ms: latency_ms(0.5),
        p99_ms: latency_ms(0.99),
        p999_ms: latency_ms(0.999),
        coverage: summary.covered as f64 / summary.shards.max(1) as f64,
        extra_load: searches as f64 / summary.shards.max(1) as f64 - 1.0,
        connections: stats.iter().map(|j| j.connections).sum(),
        connections_refused: stats.iter().map(|j| j.refused_connections).sum(),
        platform_calls: calls.gets + calls.lists + calls.watches + calls.writes,
        tier_cpu_us_per_leaf: cpu.values().sum(),
        duty_cpu_us_per_leaf: cpu,
        faults,
        broken_promises: violations,
    }
}

/// Services that accept orders.
fn services_with_orders(size: &Size) -> Vec<tgw_topology::Service> {
    let services = size.user.services();
    let with_orders = services.iter().enumerate().filter(|(_, s)| s.takes_orders);
    with_orders.map(|(index, _)| tgw_topology::Service(index as u16)).collect()
}

type Entries = Arc<RwLock<Vec<std::net::SocketAddr>>>;

fn set_entries(fleet: &Fleet, entries: &Entries) {
    *entries.write().unwrap_or_else(std::sync::PoisonError::into_inner) = fleet.entries();
}

fn start_fault(fleet: &mut Fleet, fault: Fault, entries: &Entries) -> anyhow::Result<()> {
    match fault {
        Fault::Straggler => {
            for upstream in fleet.upstreams.iter().step_by(20) {
                upstream.set(|k| k.slowdown = 10.0);
            }
        }
        Fault::ReplicaLost => {
            for upstream in fleet.upstreams.iter().step_by(3) {
                upstream.set(|k| k.aborting = true);
            }
        }
        Fault::Version => roll_out_snapshot(fleet, |s| Snapshot { version: s.version + 1, ..s })?,
        Fault::Repartition => roll_out_snapshot(fleet, |s| Snapshot {
            version: s.version + 1,
            layout: tgw_topology::Layout(3 - s.layout.0),
        })?,
        Fault::Crossed => {
            for upstream in fleet.upstreams.iter().step_by(5) {
                upstream.set(|k| {
                    k.crossed_interval = 7;
                    k.malformed_interval = 11;
                });
            }
        }
        Fault::KillOwner => {
            let victim = fleet.vms.iter_mut().rfind(|vm| vm.handle.is_some());
            if let Some(handle) = victim.and_then(|vm| vm.handle.take()) {
                // Callers stop using the VM before it is killed, as behind a load balancer that has noticed;
                // the other VMs still consider it the owner of its groups.
                set_entries(fleet, entries);
                std::thread::sleep(Duration::from_millis(50));
                handle.abort();
            }
        }
        Fault::PauseOwner => {
            if let Some(vm) = fleet.vms.iter().rfind(|vm| vm.handle.is_some()) {
                vm.freeze.set_paused(true);
            }
        }
        Fault::Replace => replace_vm(fleet, entries)?,
        Fault::StoreDown => fleet.platform.set(|f| f.down = true),
        Fault::Partition => {
            let domain = fleet.vms[0].place.domain;
            fleet.links.isolate(domain, true);
        }
        Fault::Drain => {
            if let Some(upstream) = fleet.upstreams.first() {
                upstream.set(|k| {
                    k.draining = true;
                    k.misreports_load = true;
                });
            }
        }
    }
    Ok(())
}

fn end_fault(fleet: &mut Fleet, fault: Fault, entries: &Entries) -> anyhow::Result<()> {
    match fault {
        Fault::Straggler => fleet.upstreams.iter().for_each(|u| u.set(|k| k.slowdown = 1.0)),
        Fault::ReplicaLost => fleet.upstreams.iter().for_each(|u| u.set(|k| k.aborting = false)),
        Fault::Crossed => fleet.upstreams.iter().for_each(|u| {
            u.set(|k| {
                k.crossed_interval = 0;
                k.malformed_interval = 0;
            });
        }),
        Fault::KillOwner => {
            let index = fleet.vms.iter().rposition(|vm| vm.handle.is_none());
            if let Some(index) = index {
                fleet.vms[index] = fleet.start_vm(index, fleet.vms[index].name.clone())?;
                fleet.wait_ready()?;
                set_entries(fleet, entries);
            }
        }
        Fault::PauseOwner => fleet.vms.iter().for_each(|vm| vm.freeze.set_paused(false)),
        Fault::StoreDown => fleet.platform.set(|f| f.down = false),
        Fault::Partition => {
            let domain = fleet.vms[0].place.domain;
            fleet.links.isolate(domain, false);
        }
        Fault::Version | Fault::Repartition | Fault::Replace | Fault::Drain => {}
    }
    Ok(())
}

/// Rolls out a new snapshot of every service replica by replica, then removes the old one.
fn roll_out_snapshot(fleet: &mut Fleet, next: impl Fn(Snapshot) -> Snapshot) -> anyhow::Result<()> {
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
    for replica in 0..3 {
        for upstream in fleet.upstreams.iter().skip(replica).step_by(3) {
            let held = newest(upstream);
            upstream.set(|k| k.snapshots = held);
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    std::thread::sleep(Duration::from_millis(500));
    for upstream in &fleet.upstreams {
        upstream.set(|k| k.snapshots.truncate(1));
    }
    for entry in fleet.catalog.services.values_mut() {
        entry.snapshots.truncate(1);
    }
    for name in &names {
        fleet.publish_service(name)?;
    }
    Ok(())
}

/// Drains one VM that was not replaced before, after callers have stopped using it, and starts another
/// in its place.
fn replace_vm(fleet: &mut Fleet, entries: &Entries) -> anyhow::Result<()> {
    let not_replaced =
        |vm: &crate::fleet::Vm| vm.handle.is_some() && !vm.name.ends_with(REPLACED_SUFFIX);
    let Some(index) = fleet.vms.iter().position(not_replaced) else { return Ok(()) };
    if let Some(handle) = fleet.vms[index].handle.take() {
        set_entries(fleet, entries);
        handle.drain(Duration::from_secs(10));
    }
    let name = format!("{}{REPLACED_SUFFIX}", fleet.vms[index].name);
    fleet.vms[index] = fleet.start_vm(index, name)?;
    fleet.wait_ready()?;
    set_entries(fleet, entries);
    Ok(())
}

/// CPU time so far of all threads of each name, in seconds. A VM's threads are named after their roles;
/// threads that have ended are no longer counted.
fn cpu_by_thread() -> BTreeMap<String, f64> {
    /// Clock ticks per second in `/proc`, which Linux fixes for user space.
    const TICKS_PER_S: f64 = 100.0;
    let mut sums = BTreeMap::new();
    let tasks = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    for task in tasks {
        let text = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        let Some((name, rest)) = text.split_once('(').and_then(|(_, r)| r.rsplit_once(')')) else {
            continue;
        };
        let fields: Vec<f64> = rest.split_whitespace().map(|f| f.parse().unwrap_or(0.0)).collect();
        let cpu_time = fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0);
        *sums.entry(name.to_owned()).or_default() += cpu_time / TICKS_PER_S;
    }
    sums
}

/// CPU time by thread name between two readings, in µs per leaf request.
fn cpu_per_leaf(
    before: &BTreeMap<String, f64>,
    after: &BTreeMap<String, f64>,
    leafs: u64,
) -> BTreeMap<String, f64> {
    let cpu_time = |duty: &str| {
        let of = |sums: &BTreeMap<String, f64>| sums.get(duty).copied().unwrap_or(0.0);
        (of(after) - of(before)).max(0.0) * 1e6 / leafs.max(1) as f64
    };
    THREAD_NAMES.iter().map(|duty| ((*duty).to_owned(), cpu_time(duty))).collect()
}
