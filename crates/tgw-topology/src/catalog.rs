use crate::{Group, Layout, Place, Service, Shard, Snapshot, Upstream};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{collections::BTreeMap, net::SocketAddr};

/// The replicas of a shard, usually three.
pub type Replicas = SmallVec<[Upstream; 4]>;

/// One upstream, as the platform describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The upstream's number.
    pub id: Upstream,
    /// The service that it serves.
    pub service: Service,
    /// Its instance; zero for a service without instances.
    pub instance: u16,
    /// Its region and failure domain.
    pub place: Place,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// The number of requests that it processes concurrently.
    #[serde(rename = "slots")]
    pub max_concurrency: u16,
    /// The number of connections that it accepts from all VMs together.
    #[serde(rename = "connections")]
    pub max_connections: u16,
    /// Whether the platform marks it as leaving.
    #[serde(default)]
    pub leaving: bool,
}

impl UpstreamEntry {
    /// The replica group that the upstream belongs to.
    pub fn group(&self) -> Group {
        Group { service: self.service, instance: self.instance, domain: self.place.domain }
    }
}

/// One layout: the replicas of each shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LayoutEntry {
    /// The layout's number.
    pub id: Layout,
    /// Replicas by shard number.
    pub shards: Vec<Replicas>,
}

/// One service with its snapshots and layouts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// The service's number.
    pub id: Service,
    /// The name by which callers address it.
    pub name: String,
    /// The snapshots that may be served, newest first.
    pub snapshots: Vec<Snapshot>,
    /// The layouts of these snapshots.
    pub layouts: Vec<LayoutEntry>,
}

/// A version of the platform's store; zero before the first read.
pub type Version = u64;

/// One service with its upstreams: the unit that is stored in one object and sent between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceUpdate {
    /// The service.
    pub entry: ServiceEntry,
    /// Its upstreams.
    pub upstreams: Vec<UpstreamEntry>,
    /// The version of the store in which the service last changed.
    #[serde(default, rename = "changed")]
    pub changed_version: Version,
}

/// All services and upstreams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The version of the store that it reflects.
    pub version: Version,
    /// The version of the store in which each service last changed.
    #[serde(rename = "changed")]
    pub changed_versions: BTreeMap<Service, Version>,
    /// Services by number.
    pub services: BTreeMap<Service, ServiceEntry>,
    /// Upstreams by number.
    pub upstreams: BTreeMap<Upstream, UpstreamEntry>,
}

impl Catalog {
    /// The service that callers address as `name`.
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.values().find(|s| s.name == name)
    }

    /// The layout of a service, by its number.
    pub fn layout(&self, service: Service, layout: Layout) -> Option<&LayoutEntry> {
        self.services.get(&service)?.layouts.iter().find(|l| l.id == layout)
    }

    /// The replicas of one shard; empty if the layout lacks the shard.
    pub fn replicas(&self, service: Service, layout: Layout, shard: Shard) -> &[Upstream] {
        self.layout(service, layout)
            .and_then(|l| l.shards.get(usize::from(shard.0)))
            .map_or(&[], |r| r.as_slice())
    }

    /// The services that changed after `since`, each with its upstreams.
    pub fn changed_since(&self, since: Version) -> Vec<ServiceUpdate> {
        let changed_version = |id: &Service| self.changed_versions.get(id).copied().unwrap_or(0);
        let newer = self.services.values().filter(|e| changed_version(&e.id) > since);
        let update = |entry: &ServiceEntry| ServiceUpdate {
            entry: entry.clone(),
            upstreams: self.upstreams.values().filter(|u| u.service == entry.id).cloned().collect(),
            changed_version: changed_version(&entry.id),
        };
        newer.map(update).collect()
    }

    /// Merges services that are newer than the known ones; true if anything changed.
    pub fn merge(&mut self, version: Version, updates: Vec<ServiceUpdate>) -> bool {
        let mut updated = false;
        for update in updates {
            let id = update.entry.id;
            let known = self.changed_versions.get(&id).copied().unwrap_or(0);
            if update.changed_version <= known && self.services.contains_key(&id) {
                continue;
            }
            updated = true;
            self.upstreams.retain(|_, u| u.service != id);
            self.upstreams.extend(update.upstreams.into_iter().map(|u| (u.id, u)));
            self.services.insert(id, update.entry);
            self.changed_versions.insert(id, update.changed_version);
        }
        updated |= version > self.version;
        self.version = self.version.max(version);
        updated
    }
}

/// One replica group of a catalog.
#[derive(Clone, Debug)]
pub struct GroupEntry {
    /// The upstreams of the group.
    pub upstreams: SmallVec<[Upstream; 4]>,
    /// The number of upstreams that are not leaving.
    pub not_leaving: u16,
    /// The total number of requests that the upstreams process concurrently.
    pub max_concurrency: u32,
    /// Their region and failure domain.
    pub place: Place,
}

/// The replica groups of a catalog, indexed for a lookup on each query.
#[derive(Clone, Debug, Default)]
pub struct Index {
    groups: BTreeMap<Group, GroupEntry>,
}

impl Index {
    /// Indexes the groups of `catalog`.
    pub fn new(catalog: &Catalog) -> Self {
        let mut groups: BTreeMap<Group, GroupEntry> = BTreeMap::new();
        for entry in catalog.upstreams.values() {
            let empty = || GroupEntry {
                upstreams: SmallVec::new(),
                not_leaving: 0,
                max_concurrency: 0,
                place: entry.place,
            };
            let group = groups.entry(entry.group()).or_insert_with(empty);
            group.upstreams.push(entry.id);
            group.max_concurrency += u32::from(entry.max_concurrency);
            group.not_leaving += u16::from(!entry.leaving);
        }
        Self { groups }
    }

    /// One group.
    pub fn get(&self, group: Group) -> Option<&GroupEntry> {
        self.groups.get(&group)
    }

    /// All groups.
    pub fn iter(&self) -> impl Iterator<Item = (Group, &GroupEntry)> {
        self.groups.iter().map(|(group, entry)| (*group, entry))
    }
}
