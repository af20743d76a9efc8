use crate::{Group, Layout, Place, Service, Shard, Snapshot, Upstream};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{collections::BTreeMap, net::SocketAddr};

/// The replicas of a shard, nearly always three.
pub type Replicas = SmallVec<[Upstream; 4]>;

/// One upstream as the platform describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Its number.
    pub id: Upstream,
    /// The service it serves.
    pub service: Service,
    /// Its instance; zero for a service without instances.
    pub instance: u16,
    /// Where it lies.
    pub place: Place,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Requests it works on at once.
    pub slots: u16,
    /// Connections it accepts from all VMs together.
    pub connections: u16,
    /// The platform says that it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

impl Node {
    /// The replica group that the upstream belongs to.
    pub fn group(&self) -> Group {
        Group { service: self.service, instance: self.instance, domain: self.place.domain }
    }
}

/// One partitioning: the replicas of each shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Partition {
    /// Its number.
    pub id: Layout,
    /// Replicas by shard number.
    pub shards: Vec<Replicas>,
}

/// One service: its snapshots and layouts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its number.
    pub id: Service,
    /// The name that callers use.
    pub name: String,
    /// Snapshots that may be served, newest first.
    pub snapshots: Vec<Snapshot>,
    /// Every layout that a snapshot names.
    pub layouts: Vec<Partition>,
}

/// A version of the platform's store; zero before anything was read.
pub type Version = u64;

/// One service with its upstreams, as it is kept in one object and sent between VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub entry: Entry,
    /// Its upstreams.
    pub upstreams: Vec<Node>,
    /// The version of the store in which it last changed.
    #[serde(default)]
    pub changed: Version,
}

/// All services and upstreams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The version of the store that it is as new as.
    pub version: Version,
    /// When each service last changed.
    pub changed: BTreeMap<Service, Version>,
    /// Services by number.
    pub services: BTreeMap<Service, Entry>,
    /// Upstreams by number.
    pub upstreams: BTreeMap<Upstream, Node>,
}

impl Catalog {
    /// The service that callers know as `name`.
    pub fn service(&self, name: &str) -> Option<&Entry> {
        self.services.values().find(|s| s.name == name)
    }

    /// The partition that a snapshot of `service` names.
    pub fn partition(&self, service: Service, layout: Layout) -> Option<&Partition> {
        self.services.get(&service)?.layouts.iter().find(|l| l.id == layout)
    }

    /// The replicas of one shard; empty when the layout does not have it.
    pub fn replicas(&self, service: Service, layout: Layout, shard: Shard) -> &[Upstream] {
        self.partition(service, layout)
            .and_then(|p| p.shards.get(usize::from(shard.0)))
            .map_or(&[], |r| r.as_slice())
    }

    /// The services that changed after `since`, each with its upstreams.
    pub fn since(&self, since: Version) -> Vec<Part> {
        let changed = |id: &Service| self.changed.get(id).copied().unwrap_or(0);
        let newer = self.services.values().filter(|e| changed(&e.id) > since);
        let part = |entry: &Entry| Part {
            entry: entry.clone(),
            upstreams: self.upstreams.values().filter(|u| u.service == entry.id).cloned().collect(),
            changed: changed(&entry.id),
        };
        newer.map(part).collect()
    }

    /// Takes parts in that are newer than what is known; true if any was.
    pub fn merge(&mut self, version: Version, parts: Vec<Part>) -> bool {
        let mut news = false;
        for part in parts {
            let id = part.entry.id;
            let known = self.changed.get(&id).copied().unwrap_or(0);
            if part.changed <= known && self.services.contains_key(&id) {
                continue;
            }
            news = true;
            self.upstreams.retain(|_, u| u.service != id);
            self.upstreams.extend(part.upstreams.into_iter().map(|u| (u.id, u)));
            self.services.insert(id, part.entry);
            self.changed.insert(id, part.changed);
        }
        news |= version > self.version;
        self.version = self.version.max(version);
        news
    }
}

/// One replica group, as the catalog describes it.
#[derive(Clone, Debug)]
pub struct Members {
    /// Its upstreams.
    pub upstreams: SmallVec<[Upstream; 4]>,
    /// Those that the platform does not call leaving.
    pub staying: u16,
    /// Slots of all of them.
    pub slots: u32,
    /// Where they lie.
    pub place: Place,
}

/// The replica groups of a catalog, for look-ups on the way of each query.
#[derive(Clone, Debug, Default)]
pub struct Index {
    groups: BTreeMap<Group, Members>,
}

impl Index {
    /// The groups of `catalog`.
    pub fn new(catalog: &Catalog) -> Self {
        let mut groups: BTreeMap<Group, Members> = BTreeMap::new();
        for node in catalog.upstreams.values() {
            let empty =
                || Members { upstreams: SmallVec::new(), staying: 0, slots: 0, place: node.place };
            let members = groups.entry(node.group()).or_insert_with(empty);
            members.upstreams.push(node.id);
            members.slots += u32::from(node.slots);
            members.staying += u16::from(!node.leaving);
        }
        Self { groups }
    }

    /// One group.
    pub fn get(&self, group: Group) -> Option<&Members> {
        self.groups.get(&group)
    }

    /// All groups.
    pub fn iter(&self) -> impl Iterator<Item = (Group, &Members)> {
        self.groups.iter().map(|(group, members)| (*group, members))
    }
}
