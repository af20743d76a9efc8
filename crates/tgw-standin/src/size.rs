//! Sizes of the two users' installations: services, upstreams, table and network delays.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};
use tgw_table::{Document, Row, row::Choice};
use tgw_topology::{
    Catalog, Layout, Place, Service, Snapshot, Upstream,
    catalog::{LayoutEntry, Replicas, ServiceEntry, UpstreamEntry},
    place::{Domain, Latency, Region},
};

/// Failure domains of a region.
pub const DOMAINS_PER_REGION: u8 = 2;
/// Regions of each user.
pub const REGION_COUNT: u8 = 3;
/// Maximum replicas of a shard of a service without instances.
const REPLICA_COUNT: usize = 3;
const FIRST_SNAPSHOT: Snapshot = Snapshot { version: 1, layout: Layout(1) };

/// One of the two users.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum User {
    /// Vegetation records along railways: coverage matters most.
    #[display("coimbra")]
    Coimbra,
    /// Cellar temperature logs: tail latency matters most.
    #[display("aspen")]
    Aspen,
}

/// Placement of an instance's upstreams over failure domains and regions.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spread {
    /// All in one failure domain; instances are assigned to the domains round-robin.
    #[display("together")]
    Together,
    /// Each in a different region.
    #[display("apart")]
    Apart,
}

/// The size of one service.
#[derive(Copy, Clone, Debug)]
pub struct Size {
    /// Name of the service.
    pub name: &'static str,
    /// Number of instances; zero if any upstream may hold any shard.
    pub instances: u16,
    /// Upstreams of each instance, or of the service if it has no instances.
    pub upstreams: u16,
    /// Requests that an upstream runs at once.
    pub max_concurrency: u16,
    /// Connections that an upstream accepts at once.
    pub max_connections: u16,
    /// Time to set up a new connection, in milliseconds.
    pub connect_ms: u64,
    /// Least coverage of a successful answer, in the service's table row.
    pub least_coverage_pct: f64,
    /// Deadline of a query, in the service's table row.
    pub deadline_ms: u32,
    /// Whether the service accepts orders.
    pub takes_orders: bool,
}

impl User {
    /// Both users.
    pub const ALL: [Self; 2] = [Self::Coimbra, Self::Aspen];

    /// The user with this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|u| u.to_string() == name)
    }

    /// One-way network delays.
    pub fn distance(self) -> Latency {
        match self {
            Self::Coimbra => {
                Latency { same_domain_ms: 0.1, cross_domain_ms: 1.5, cross_region_ms: 12.0 }
            }
            Self::Aspen => {
                Latency { same_domain_ms: 0.1, cross_domain_ms: 1.0, cross_region_ms: 20.0 }
            }
        }
    }

    /// One-way delay to callers, in milliseconds.
    pub fn caller_delay_ms(self) -> f64 {
        match self {
            Self::Coimbra => 3.0,
            Self::Aspen => 1.0,
        }
    }

    /// The services, ordered by their number.
    pub fn services(self) -> [Size; 4] {
        let (coverage_pct, deadline) = match self {
            Self::Coimbra => (90.0, 1500),
            Self::Aspen => (60.0, 600),
        };
        let instance = Size {
            name: "inspector-desk",
            instances: 10,
            upstreams: 3,
            max_concurrency: 2,
            max_connections: 25,
            connect_ms: 6,
            least_coverage_pct: coverage_pct,
            deadline_ms: deadline,
            takes_orders: false,
        };
        let without_instances = |name, upstreams, max_concurrency, max_connections| Size {
            name,
            instances: 0,
            upstreams,
            max_concurrency,
            max_connections,
            connect_ms: 1,
            takes_orders: true,
            ..instance
        };
        match self {
            Self::Coimbra => [
                instance,
                Size { name: "crew-roster", instances: 15, ..instance },
                without_instances("permit-office", 8, 4, 100),
                without_instances("herbicide-log", 4, 4, 100),
            ],
            Self::Aspen => [
                instance,
                Size { name: "brewery-tech", instances: 15, ..instance },
                without_instances("publican-panel", 7, 3, 40),
                without_instances("ledger-bridge", 3, 3, 40),
            ],
        }
    }

    /// The user's initial table.
    pub fn table(self) -> Document {
        let row = |size: &Size| Row {
            least_coverage_pct: size.least_coverage_pct,
            deadline_ms: size.deadline_ms,
            orders: size.takes_orders,
            snapshot: Choice::Covered,
            changed_edition: 1,
            ..Row::with_defaults(size.name)
        };
        let rows = self.services().iter().map(|s| (s.name.to_owned(), row(s))).collect();
        Document { edition: 1, rows, removed: BTreeMap::new() }
    }

    /// Services and upstreams; the upstreams' ports are zero until they are started.
    pub fn catalog(self, spread: Spread) -> Catalog {
        let mut catalog = Catalog::default();
        for (index, size) in self.services().iter().enumerate() {
            add(&mut catalog, Service(index as u16), size, spread);
        }
        catalog
    }
}

/// The place of the VM or upstream number `index`: domains round-robin, consecutive ones in different
/// regions.
pub fn place(index: usize) -> Place {
    let domain = (index % usize::from(REGION_COUNT * DOMAINS_PER_REGION)) as u8;
    Place { region: Region(domain % REGION_COUNT), domain: Domain(domain) }
}

fn add(catalog: &mut Catalog, service: Service, size: &Size, spread: Spread) {
    let first = catalog.upstreams.len() as u32;
    let count = size.instances.max(1) * size.upstreams;
    for index in 0..count {
        let (instance, member) = match size.instances {
            0 => (0, index),
            _ => (index / size.upstreams, index % size.upstreams),
        };
        let place = match (size.instances, spread) {
            (0, _) => place(usize::from(index)),
            (_, Spread::Together) => place(usize::from(instance)),
            (_, Spread::Apart) => place(usize::from(instance + member)),
        };
        let id = Upstream(first + u32::from(index));
        let entry = UpstreamEntry {
            id,
            service,
            instance,
            place,
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            max_concurrency: size.max_concurrency,
            max_connections: size.max_connections,
            leaving: false,
        };
        catalog.upstreams.insert(id, entry);
    }
    let parts = if size.instances > 0 { size.instances } else { size.upstreams };
    let layouts = (1..=2)
        .map(|id| LayoutEntry {
            id: Layout(id),
            shards: (0..parts * id as u16).map(|s| replicas(first, size, s % parts)).collect(),
        })
        .collect();
    let entry = ServiceEntry {
        id: service,
        name: size.name.into(),
        snapshots: vec![FIRST_SNAPSHOT],
        layouts,
    };
    catalog.services.insert(service, entry);
}

fn replicas(first: u32, size: &Size, part: u16) -> Replicas {
    let base = u32::from(part);
    let upstreams = u32::from(size.upstreams);
    let ids: SmallVec<[Upstream; 4]> = match size.instances {
        0 => {
            let count = REPLICA_COUNT.min(usize::from(size.upstreams)) as u32;
            (0..count).map(|r| Upstream(first + (base + r) % upstreams)).collect()
        }
        _ => (0..upstreams).map(|r| Upstream(first + base * upstreams + r)).collect(),
    };
    ids
}
