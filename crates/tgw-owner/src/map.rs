use crate::{Directory, directory::Member};
use smallvec::SmallVec;
use std::{cell::RefCell, collections::BTreeMap, sync::Arc};
use tgw_topology::{Group, Place, Vm};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Neighbouring instances that have the same owner, so that one frame carries several shards of a
/// query. Large enough to batch, small enough to spread a service over many VMs.
const BUNDLE: u16 = 4;

/// The rank of a VM for a group.
pub type Hash = u64;

/// Owners of groups as one VM sees them.
#[derive(Clone, Debug)]
pub struct Map {
    directory: Arc<Directory>,
    /// Owner and stand-in by group; emptied when the directory changes.
    known: RefCell<BTreeMap<Group, SmallVec<[Vm; 2]>>>,
}

impl Map {
    /// Owners by what `directory` holds.
    pub fn new(directory: Arc<Directory>) -> Self {
        Self { directory, known: RefCell::default() }
    }

    /// Takes a newer directory in.
    pub fn set(&mut self, directory: Arc<Directory>) {
        self.directory = directory;
        self.known.borrow_mut().clear();
    }

    /// The directory in use.
    pub fn directory(&self) -> &Arc<Directory> {
        &self.directory
    }

    /// The owner of a group first, then its stand-in. `place` is where the group's upstreams lie.
    pub fn owners(&self, group: Group, place: Place) -> SmallVec<[Vm; 2]> {
        if let Some(known) = self.known.borrow().get(&group) {
            return known.clone();
        }
        let owners = self.rank(group, place);
        self.known.borrow_mut().insert(group, owners.clone());
        owners
    }

    /// The VM that claims the orders of a bucket; nearness does not count, as any two VMs must name
    /// the same one.
    pub fn clerk(&self, bucket: u64) -> Option<Vm> {
        let rank = |vm: Vm| xxh3_64_with_seed(&bucket.to_le_bytes(), vm.0);
        self.directory.owners().map(|(vm, _)| vm).min_by_key(|vm| rank(*vm))
    }

    fn rank(&self, group: Group, place: Place) -> SmallVec<[Vm; 2]> {
        let owning = best(self.directory.owners(), group, place);
        if owning.is_empty() {
            // The last VM of the fleet leaves: it still has to finish its own queries.
            return best(self.directory.leaving(), group, place);
        }
        owning
    }
}

/// The two VMs that rank first for a group.
fn best<'a>(
    vms: impl Iterator<Item = (Vm, &'a Member)>,
    group: Group,
    place: Place,
) -> SmallVec<[Vm; 2]> {
    let mut best: SmallVec<[(u8, Hash, Vm); 4]> = SmallVec::new();
    for (vm, member) in vms {
        best.push((distance(member, place), hash(group, vm), vm));
        best.sort_unstable();
        best.truncate(2);
    }
    best.into_iter().map(|(_, _, vm)| vm).collect()
}
/// Nearer VMs come first: the group's domain, its region, the rest.
fn distance(member: &Member, place: Place) -> u8 {
    match (member.place.domain == place.domain, member.place.region == place.region) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    }
}

fn hash(group: Group, vm: Vm) -> Hash {
    let bundle = group.instance / BUNDLE;
    let key =
        u64::from(group.service.0) << 32 | u64::from(bundle) << 16 | u64::from(group.domain.0);
    xxh3_64_with_seed(&key.to_le_bytes(), vm.0)
}
