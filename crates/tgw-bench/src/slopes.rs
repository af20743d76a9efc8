//! Costs of one unit of state or work, measured on the production code; `docs/CAPACITY.md` is
//! derived from them.

use crate::{Policy, Setup, forward, members, run};
use serde::Serialize;
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::Arc,
    time::Instant,
};
use tgw_admission::queue::{Entry, Queue};
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Key, Operation, Outcome};
use tgw_node::{
    Message,
    message::{Completion, Request},
};
use tgw_owner::{Assignment, Directory, Member, State};
use tgw_standin::size::{Spread, User};
use tgw_topology::{
    Catalog, Group, Layout, Place, Query, Service, Shard, Snapshot, Upstream, Vm,
    catalog::{LayoutEntry, ServiceEntry, UpstreamEntry},
    place::{Domain, Region},
};
use tgw_wire::Keys;

/// One measured cost.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    /// What was measured.
    pub what: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// Values by size: (size, value).
    pub values: Vec<(String, f64)>,
}

/// Measures all costs; takes about a minute.
pub fn measure() -> Vec<Cost> {
    let mut costs = membership();
    costs.push(core());
    costs.extend(ownership());
    costs.extend(forward::costs());
    costs.extend(frames());
    costs.extend(documents());
    costs.extend(waiting());
    costs
}

/// Sizes at which membership is measured: failure domains, and VMs per domain.
const SIZES: [(usize, usize); 7] = [(1, 7), (1, 50), (1, 150), (1, 312), (6, 7), (17, 7), (17, 20)];
const SETTLE_MS: Millis = Millis::new(60_000);
const MEASURED_MS: Millis = Millis::new(40_000);

fn membership() -> Vec<Cost> {
    let costs = members::costs(&SIZES, SETTLE_MS, MEASURED_MS);
    let of = |what, unit, value: fn(&(members::Cost, members::Cost)) -> f64| Cost {
        what,
        unit,
        values: costs
            .iter()
            .map(|c| (format!("{} x {}", c.0.domains, c.0.members), value(c)))
            .collect(),
    };
    vec![
        of("membership, sent by a VM, quiet", "bytes/s", |c| c.0.bytes_per_s),
        of("membership, sent by the busiest VM, quiet", "bytes/s", |c| c.0.most_bytes_per_s),
        of("membership, sent by a VM, busy day", "bytes/s", |c| c.1.bytes_per_s),
        of("membership, sent by the busiest VM, busy day", "bytes/s", |c| c.1.most_bytes_per_s),
        of("membership, packets sent by a VM, busy day", "1/s", |c| c.1.packets_per_s),
        of("membership, processor of a VM, busy day", "% of a core", |c| c.1.processor * 100.0),
        of("membership, all records", "bytes", |c| c.1.state_bytes as f64),
    ]
}

/// Processor time of a whole fleet per leaf request, including the model of the upstreams.
fn core() -> Cost {
    let value = |(user, load): (User, f64)| {
        let setup = Setup {
            user,
            vms: 6,
            spread: Spread::Together,
            network_delays: true,
            seed: 1,
            load,
            warm_up: Millis::new(500),
            measured: Millis::new(4000),
            max_running: 100_000,
            table: user.table(),
            faults: Vec::new(),
            record: None,
        };
        let start = Instant::now();
        let figures = run(&setup, Policy::Tier);
        let spent = start.elapsed().as_secs_f64() * 1e6;
        let shards: f64 = user.catalog(Spread::Together).services.values().map(mean_shards).sum();
        let leafs = figures.queries as f64 * shards / 4.0;
        (format!("{user} at load {load}"), spent / leafs)
    };
    let sizes = [(User::Coimbra, 0.3), (User::Coimbra, 0.5), (User::Aspen, 0.5)];
    let values = sizes.into_iter().map(value).collect();
    Cost { what: "decision core, entry and owner together", unit: "µs a leaf request", values }
}

fn mean_shards(entry: &ServiceEntry) -> f64 {
    entry.layouts.first().map_or(0.0, |l| l.shards.len() as f64)
}

fn addr() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 7802))
}

fn directory(vms: usize) -> Directory {
    let place = Place { region: Region(0), domain: Domain(0) };
    let member = |index: usize| {
        let name = format!("vm-{index}");
        let entry = Member {
            name,
            incarnation: 1,
            place,
            addr: addr(),
            state: State::Alive,
            platform_unreachable: false,
            platform_losses: 0,
            power: 0,
        };
        (Vm::from_name(&format!("vm-{index}")), entry)
    };
    Directory { members: (0..vms).map(member).collect(), ..Directory::default() }
}

/// Time to recompute all owners after a membership change, by groups and VMs of the domain.
fn ownership() -> Vec<Cost> {
    let place = Place { region: Region(0), domain: Domain(0) };
    let value = |(groups, vms): (u16, usize)| {
        let assignment = Assignment::new(Arc::new(directory(vms)));
        let start = Instant::now();
        let mut owned: BTreeMap<Vm, u32> = BTreeMap::new();
        for instance in 0..groups {
            let group = Group { service: Service(instance / 110), instance, domain: Domain(0) };
            if let Some(owner) = assignment.owners(group, place).first() {
                *owned.entry(*owner).or_default() += 1;
            }
        }
        let most = owned.values().max().copied().unwrap_or(0);
        (start.elapsed().as_secs_f64() * 1000.0, f64::from(most))
    };
    let sizes = [(100, 7), (1400, 50), (1400, 312)];
    let found: Vec<(String, (f64, f64))> =
        sizes.iter().map(|s| (format!("{} groups, {} VMs", s.0, s.1), value(*s))).collect();
    let of = |pick: fn(&(f64, f64)) -> f64| {
        found.iter().map(|(size, values)| (size.clone(), pick(values))).collect()
    };
    vec![
        Cost { what: "ownership, all groups anew", unit: "ms", values: of(|v| v.0) },
        Cost { what: "ownership, most groups at one VM", unit: "groups", values: of(|v| v.1) },
    ]
}

fn frames() -> Vec<Cost> {
    let query = Query { incarnation: 1 << 40, number: 1 << 20 };
    let key = Key { from: Vm::from_name("vm"), query, shard: Shard(50), attempt: 0 };
    let request = Message::Request(Request {
        group: Group { service: Service(100), instance: 50, domain: Domain(10) },
        stand_in: false,
        key,
        snapshot: Snapshot { version: 1000, layout: Layout(3) },
        remaining: Millis::new(150),
        queue_timeout: None,
        body: vec![b'x'; 100].into(),
        log_decisions: false,
        operation: Operation::Search,
    });
    let mut reply = Completion::unqueued(key, Outcome::Items(vec![b'x'; 300].into()));
    reply.snapshot_counts =
        Some([(Snapshot { version: 1000, layout: Layout(3) }, 3)].into_iter().collect());
    let outcome = Message::Outcome(reply);
    let keys = Keys::new([1; 32], None);
    let size =
        |messages: &[Message]| tgw_wire::encode(&keys, &messages).map_or(0, |f| f.len()) as f64;
    let time = |messages: &[Message]| {
        const ROUNDS: u32 = 20_000;
        let start = Instant::now();
        for _ in 0..ROUNDS {
            let frame = tgw_wire::encode(&keys, &messages).unwrap_or_default();
            let _: Result<Vec<Message>, _> = tgw_wire::decode(&keys, &frame);
        }
        start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
    };
    let (requests, outcomes) = (vec![request; 4], vec![outcome; 4]);
    let values = |of: &dyn Fn(&[Message]) -> f64| {
        vec![
            ("one request of 100 bytes".to_owned(), of(&requests[..1])),
            ("four of them in one frame".to_owned(), of(&requests)),
            ("one outcome of 300 bytes".to_owned(), of(&outcomes[..1])),
            ("four of them in one frame".to_owned(), of(&outcomes)),
        ]
    };
    vec![
        Cost { what: "frames between VMs", unit: "bytes", values: values(&size) },
        Cost { what: "frames, written and read", unit: "µs", values: values(&time) },
    ]
}

/// Sizes of the table, its deltas and the catalog.
fn documents() -> Vec<Cost> {
    let keys = Keys::new([1; 32], None);
    let table = |services: usize| {
        let mut document = tgw_table::Document::default();
        for index in 0..services {
            let row = tgw_table::Row::with_defaults(&format!("service-{index:04}"));
            document.rows.insert(row.service.clone(), row);
        }
        document
    };
    let whole = |services: usize| {
        let bytes = serde_json::to_vec(&table(services)).map_or(0, |v| v.len());
        (format!("{services} services"), bytes as f64)
    };
    let delta = |services: usize| {
        let old = tgw_table::Document::default().next_edition(&table(services));
        let mut wanted = old.clone();
        if let Some(row) = wanted.rows.values_mut().next() {
            row.weight += 1;
        }
        let delta = old.next_edition(&wanted).delta(old.edition);
        let bytes = tgw_wire::encode(&keys, &delta).map_or(0, |f| f.len());
        (format!("{services} services"), bytes as f64)
    };
    let catalog = |services: u16| {
        let catalog = catalog(services);
        let bytes = tgw_wire::encode(&keys, &catalog.changed_since(0)).map_or(0, |f| f.len());
        (format!("{} upstreams", catalog.upstreams.len()), bytes as f64)
    };
    let part = |services: u16| {
        let parts = catalog_parts(services);
        let most = parts.iter().map(|p| serde_json::to_vec(p).map_or(0, |v| v.len())).max();
        (format!("{} upstreams in a service", 330), most.unwrap_or(0) as f64)
    };
    vec![
        Cost {
            what: "table, object in the platform",
            unit: "bytes",
            values: [10, 100, 212, 2000].into_iter().map(whole).collect(),
        },
        Cost {
            what: "table, delta of one row between VMs",
            unit: "bytes",
            values: [10, 212, 2000].into_iter().map(delta).collect(),
        },
        Cost {
            what: "catalog between VMs",
            unit: "bytes",
            values: [10, 50, 212].into_iter().map(catalog).collect(),
        },
        Cost {
            what: "catalog, one service's object in the platform",
            unit: "bytes",
            values: vec![part(1)],
        },
    ]
}

/// Time to order queries that wait for admission, by entries and tenants.
fn waiting() -> Vec<Cost> {
    let value = |(entries, tenants): (u64, u64)| {
        (format!("{entries} entries, {tenants} tenants"), queue_times(entries, tenants))
    };
    let found = [(16, 16), (256, 80), (256, 4096)].map(value);
    let of = |what, pick: usize| Cost {
        what,
        unit: "µs",
        values: found.iter().map(|(size, times)| (size.clone(), times[pick])).collect(),
    };
    vec![
        of("waiting queries, push and pop", 0),
        of("waiting queries, work ahead of one", 1),
        of("waiting queries, push to a full queue", 2),
    ]
}

/// The µs of a push with a pop, and of asking for the work ahead, in a queue that stays at `entries`; of a push that
/// displaces another entry.
fn queue_times(entries: u64, tenants: u64) -> [f64; 3] {
    const ROUNDS: u64 = 100_000;
    let entry = |number: u64| Entry {
        number,
        priority: (number % 3) as u32,
        tenant: Some(Rc::from(format!("tenant-{}", number * 7 % tenants))),
        queued_at: Millis::new(number),
        start_by: Millis::new(number + 2000 + number * 13 % 200),
        cost: 1.0,
    };
    let mut queue = Queue::default();
    for entry in (1..entries).map(entry) {
        queue.push(entry.queued_at, entry);
    }
    let (mut turns, mut ahead) = (0.0, 0.0);
    for entry in (entries..entries + ROUNDS).map(entry) {
        let now = entry.queued_at;
        let start = Instant::now();
        std::hint::black_box(queue.cost_ahead(now, &entry));
        ahead += start.elapsed().as_secs_f64();
        let start = Instant::now();
        queue.push(now, entry);
        std::hint::black_box(queue.pop(now));
        turns += start.elapsed().as_secs_f64();
    }
    let now = Millis::new(entries + ROUNDS);
    let mut displacing = 0.0;
    for entry in (entries + ROUNDS..entries + 2 * ROUNDS).map(entry) {
        let start = Instant::now();
        std::hint::black_box(queue.push(now, entry));
        displacing += start.elapsed().as_secs_f64();
    }
    [turns, ahead, displacing].map(|spent| spent * 1e6 / ROUNDS as f64)
}

fn catalog_parts(services: u16) -> Vec<tgw_topology::catalog::ServiceUpdate> {
    catalog(services).changed_since(0)
}

/// A catalog of services of 110 shards with three replicas each, one shard per instance.
fn catalog(services: u16) -> Catalog {
    const SHARDS: u16 = 110;
    let mut catalog = Catalog { version: 1, ..Catalog::default() };
    for service in 0..services {
        let id = Service(service);
        let mut shards = Vec::new();
        for instance in 0..SHARDS {
            let domain = ((service + instance) % 17) as u8;
            let place = Place { region: Region(domain / 3), domain: Domain(domain) };
            let first = (u32::from(service) * u32::from(SHARDS) + u32::from(instance)) * 3;
            for replica in 0..3 {
                let id_ = Upstream(first + replica);
                let node = UpstreamEntry {
                    id: id_,
                    service: id,
                    instance,
                    place,
                    addr: addr(),
                    max_concurrency: 8,
                    max_connections: 100,
                    leaving: false,
                };
                catalog.upstreams.insert(id_, node);
            }
            shards.push((0..3).map(|r| Upstream(first + r)).collect());
        }
        let layout = LayoutEntry { id: Layout(1), shards };
        let snapshots = vec![Snapshot { version: 1, layout: Layout(1) }];
        let name = format!("service-{service}");
        catalog.services.insert(id, ServiceEntry { id, name, snapshots, layouts: vec![layout] });
        catalog.changed_versions.insert(id, 1);
    }
    catalog
}

/// Formats the costs as a table.
pub fn text(costs: &[Cost]) -> String {
    let mut out = String::new();
    for slope in costs {
        out += &format!("{} ({})\n", slope.what, slope.unit);
        for (size, value) in &slope.values {
            out += &format!("  {size:<28} {value:>12.2}\n");
        }
    }
    out
}
