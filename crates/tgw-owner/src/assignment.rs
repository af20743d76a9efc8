use crate::{Directory, directory::Member};
use smallvec::SmallVec;
use std::{cell::RefCell, collections::BTreeMap, sync::Arc};
use tgw_topology::{Group, Place, Vm};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of consecutive instances that share an owner, so that one frame carries several shards
/// of a query. Large enough for batching, small enough to spread a service over many VMs.
const INSTANCES_PER_BUNDLE: u16 = 4;

/// The rendezvous score of a VM for a group; the lowest wins.
pub type Score = u64;

/// The owners of groups as one VM sees them.
#[derive(Clone, Debug)]
pub struct Assignment {
    directory: Arc<Directory>,
    /// Owner and stand-in by group; cleared when the directory changes.
    cache: RefCell<BTreeMap<Group, SmallVec<[Vm; 2]>>>,
}

impl Assignment {
    /// Assigns groups to the VMs of `directory`.
    pub fn new(directory: Arc<Directory>) -> Self {
        Self { directory, cache: RefCell::default() }
    }

    /// Replaces the directory.
    pub fn set(&mut self, directory: Arc<Directory>) {
        self.directory = directory;
        self.cache.borrow_mut().clear();
    }

    /// The directory in use.
    pub fn directory(&self) -> &Arc<Directory> {
        &self.directory
    }

    /// The owner of a group, followed by its stand-in. `place` is the location of the group's
    /// upstreams.
    pub fn owners(&self, group: Group, place: Place) -> SmallVec<[Vm; 2]> {
        if let Some(owners) = self.cache.borrow().get(&group) {
            return owners.clone();
        }
        let owners = self.rank(group, place);
        self.cache.borrow_mut().insert(group, owners.clone());
        owners
    }

    /// The VM that claims the orders of a bucket. Distance is ignored, since all VMs must select the
    /// same VM.
    pub fn claims_owner(&self, bucket: u64) -> Option<Vm> {
        let score = |vm: Vm| xxh3_64_with_seed(&bucket.to_le_bytes(), vm.0);
        self.directory.owners().map(|(vm, _)| vm).min_by_key(|vm| score(*vm))
    }

    fn rank(&self, group: Group, place: Place) -> SmallVec<[Vm; 2]> {
        let owners = best_two(self.directory.owners(), group, place);
        if owners.is_empty() {
            // All remaining VMs are leaving; they still have to finish their own queries.
            return best_two(self.directory.leaving(), group, place);
        }
        owners
    }
}

/// The two VMs that rank first for a group.
fn best_two<'a>(
    vms: impl Iterator<Item = (Vm, &'a Member)>,
    group: Group,
    place: Place,
) -> SmallVec<[Vm; 2]> {
    let mut best: SmallVec<[(u8, Score, Vm); 4]> = SmallVec::new();
    for (vm, member) in vms {
        best.push((distance(member, place), score(group, vm), vm));
        best.sort_unstable();
        best.truncate(2);
    }
    best.into_iter().map(|(_, _, vm)| vm).collect()
}
/// The distance of a VM from a group: 0 in the same domain, 1 in the same region, 2 elsewhere.
fn distance(member: &Member, place: Place) -> u8 {
    match (member.place.domain == place.domain, member.place.region == place.region) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    }
}

fn score(group: Group, vm: Vm) -> Score {
    let bundle = group.instance / INSTANCES_PER_BUNDLE;
    let key =
        u64::from(group.service.0) << 32 | u64::from(bundle) << 16 | u64::from(group.domain.0);
    xxh3_64_with_seed(&key.to_le_bytes(), vm.0)
}
