//! What one unit of state or work costs, measured on the real code, from which `docs/CAPACITY.md` is
//! worked out.

use crate::{Policy, Setup, forward, members, run};
use serde::Serialize;
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Instant,
};
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Key, Operation, Outcome};
use tgw_node::{
    Message,
    message::{Completion, Request},
};
use tgw_owner::{Directory, Map, Member, State};
use tgw_standin::size::{Spread, User};
use tgw_topology::{
    Catalog, Group, Layout, Place, Query, Service, Shard, Snapshot, Upstream, Vm,
    catalog::{Entry, Node, Partition},
    place::{Domain, Region},
};
use tgw_wire::Keys;

/// One measured cost.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What was measured.
    pub what: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// Values by size: (size, value).
    pub values: Vec<(String, f64)>,
}

/// Measures everything; takes about a minute.
pub fn measure() -> Vec<Slope> {
    let mut slopes = membership();
    slopes.push(core());
    slopes.extend(ownership());
    slopes.extend(forward::slopes());
    slopes.extend(frames());
    slopes.extend(documents());
    slopes
}

/// The sizes at which membership is measured: failure domains and VMs of each.
const SIZES: [(usize, usize); 7] = [(1, 7), (1, 50), (1, 150), (1, 312), (6, 7), (17, 7), (17, 20)];
const SETTLE: Millis = Millis::new(60_000);
const TIME: Millis = Millis::new(40_000);

fn membership() -> Vec<Slope> {
    let costs = members::slopes(&SIZES, SETTLE, TIME);
    let of = |what, unit, value: fn(&(members::Cost, members::Cost)) -> f64| Slope {
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

/// Processor time of all cores of a fleet for a leaf request, the upstreams' models included.
fn core() -> Slope {
    let value = |(user, load): (User, f64)| {
        let setup = Setup {
            user,
            vms: 6,
            spread: Spread::Together,
            hops: true,
            seed: 1,
            load,
            warm_up: Millis::new(500),
            measured: Millis::new(4000),
            places: 100_000,
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
    Slope { what: "decision core, entry and owner together", unit: "µs a leaf request", values }
}

fn mean_shards(entry: &Entry) -> f64 {
    entry.layouts.first().map_or(0.0, |l| l.shards.len() as f64)
}

fn addr() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 7802))
}

fn directory(vms: usize) -> Directory {
    let place = Place { region: Region(0), domain: Domain(0) };
    let member = |index: usize| {
        let name = format!("vm-{index}");
        let entry =
            Member { name, incarnation: 1, place, addr: addr(), state: State::Alive, blind: false };
        (Vm::named(&format!("vm-{index}")), entry)
    };
    Directory { members: (0..vms).map(member).collect(), ..Directory::default() }
}

/// Time to find all owners anew after a change of membership, by groups of the domain and its VMs.
fn ownership() -> Vec<Slope> {
    let place = Place { region: Region(0), domain: Domain(0) };
    let value = |(groups, vms): (u16, usize)| {
        let map = Map::new(Arc::new(directory(vms)));
        let start = Instant::now();
        let mut owned: BTreeMap<Vm, u32> = BTreeMap::new();
        for instance in 0..groups {
            let group = Group { service: Service(instance / 110), instance, domain: Domain(0) };
            if let Some(owner) = map.owners(group, place).first() {
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
        Slope { what: "ownership, all groups anew", unit: "ms", values: of(|v| v.0) },
        Slope { what: "ownership, most groups at one VM", unit: "groups", values: of(|v| v.1) },
    ]
}

fn frames() -> Vec<Slope> {
    let query = Query { incarnation: 1 << 40, number: 1 << 20 };
    let key = Key { from: Vm::named("vm"), query, shard: Shard(50), attempt: 0 };
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
    let mut completion = Completion::unqueued(key, Outcome::Items(vec![b'x'; 300].into()));
    completion.snapshot_counts =
        Some([(Snapshot { version: 1000, layout: Layout(3) }, 3)].into_iter().collect());
    let outcome = Message::Outcome(completion);
    let keys = Keys::new([1; 32], None);
    let size =
        |messages: &[Message]| tgw_wire::seal(&keys, &messages).map_or(0, |f| f.len()) as f64;
    let time = |messages: &[Message]| {
        const ROUNDS: u32 = 20_000;
        let start = Instant::now();
        for _ in 0..ROUNDS {
            let frame = tgw_wire::seal(&keys, &messages).unwrap_or_default();
            let _: Result<Vec<Message>, _> = tgw_wire::open(&keys, &frame);
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
        Slope { what: "frames between VMs", unit: "bytes", values: values(&size) },
        Slope { what: "frames, written and read", unit: "µs", values: values(&time) },
    ]
}

/// Sizes of the table, its deltas and the catalog.
fn documents() -> Vec<Slope> {
    let keys = Keys::new([1; 32], None);
    let table = |services: usize| {
        let mut document = tgw_table::Document::default();
        for index in 0..services {
            let row = tgw_table::Row::named(&format!("service-{index:04}"));
            document.rows.insert(row.service.clone(), row);
        }
        document
    };
    let whole = |services: usize| {
        let bytes = serde_json::to_vec(&table(services)).map_or(0, |v| v.len());
        (format!("{services} services"), bytes as f64)
    };
    let delta = |services: usize| {
        let old = tgw_table::Document::default().next(&table(services));
        let mut wanted = old.clone();
        if let Some(row) = wanted.rows.values_mut().next() {
            row.weight += 1;
        }
        let delta = old.next(&wanted).delta(old.edit);
        let bytes = tgw_wire::seal(&keys, &delta).map_or(0, |f| f.len());
        (format!("{services} services"), bytes as f64)
    };
    let catalog = |services: u16| {
        let catalog = catalog(services);
        let bytes = tgw_wire::seal(&keys, &catalog.since(0)).map_or(0, |f| f.len());
        (format!("{} upstreams", catalog.upstreams.len()), bytes as f64)
    };
    let part = |services: u16| {
        let parts = catalog_parts(services);
        let most = parts.iter().map(|p| serde_json::to_vec(p).map_or(0, |v| v.len())).max();
        (format!("{} upstreams in a service", 330), most.unwrap_or(0) as f64)
    };
    vec![
        Slope {
            what: "table, object in the platform",
            unit: "bytes",
            values: [10, 100, 212, 2000].into_iter().map(whole).collect(),
        },
        Slope {
            what: "table, delta of one row between VMs",
            unit: "bytes",
            values: [10, 212, 2000].into_iter().map(delta).collect(),
        },
        Slope {
            what: "catalog between VMs",
            unit: "bytes",
            values: [10, 50, 212].into_iter().map(catalog).collect(),
        },
        Slope {
            what: "catalog, one service's object in the platform",
            unit: "bytes",
            values: vec![part(1)],
        },
    ]
}

fn catalog_parts(services: u16) -> Vec<tgw_topology::catalog::Part> {
    catalog(services).since(0)
}

/// Services of 110 shards with three replicas each, one shard an instance.
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
                let node = Node {
                    id: id_,
                    service: id,
                    instance,
                    place,
                    addr: addr(),
                    slots: 8,
                    connections: 100,
                    leaving: false,
                };
                catalog.upstreams.insert(id_, node);
            }
            shards.push((0..3).map(|r| Upstream(first + r)).collect());
        }
        let layout = Partition { id: Layout(1), shards };
        let snapshots = vec![Snapshot { version: 1, layout: Layout(1) }];
        let name = format!("service-{service}");
        catalog.services.insert(id, Entry { id, name, snapshots, layouts: vec![layout] });
        catalog.changed.insert(id, 1);
    }
    catalog
}

/// The slopes as a table for people.
pub fn text(slopes: &[Slope]) -> String {
    let mut out = String::new();
    for slope in slopes {
        out += &format!("{} ({})\n", slope.what, slope.unit);
        for (size, value) in &slope.values {
            out += &format!("  {size:<28} {value:>12.2}\n");
        }
    }
    out
}
