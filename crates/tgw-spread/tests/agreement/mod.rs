//! VMs that read the store and hear of one another come to hold what the store holds.

use crate::upstream;
use proptest::{prelude::*, test_runner::RngSeed};
use std::{collections::BTreeMap, rc::Rc};
use tgw_clock::Millis;
use tgw_forward::{Fleet, upstream::Entry};
use tgw_spread::{
    Upstreams,
    agreement::{Comparison, Reread},
};

const VM_COUNT: usize = 4;
/// Rounds in which each VM asks each other one: more than an update needs to pass through all.
const ROUNDS: usize = 4;

/// One change: its revision, the identity, and the entry unless it was removed.
type Change = (u64, Rc<str>, Option<Entry>);

/// The store's list of upstreams. Its revision also rises by changes of other kinds.
#[derive(Default)]
struct Store {
    revision: u64,
    entries: BTreeMap<Rc<str>, (u64, Entry)>,
    history: Vec<Change>,
}

impl Store {
    fn write(&mut self, name: usize, draining: bool) {
        self.revision += 1;
        let entry = Entry { id: id(name), draining, ..upstream(0) };
        self.entries.insert(id(name), (self.revision, entry.clone()));
        self.history.push((self.revision, id(name), Some(entry)));
    }

    fn remove(&mut self, name: usize) {
        if self.entries.remove(&id(name)).is_some() {
            self.revision += 1;
            self.history.push((self.revision, id(name), None));
        }
    }

    /// Each upstream and whether it is draining.
    fn states(&self) -> Vec<(Rc<str>, bool)> {
        self.entries.iter().map(|(id, (_, entry))| (id.clone(), entry.draining)).collect()
    }
}

fn id(name: usize) -> Rc<str> {
    format!("n{name}").into()
}

#[derive(Default)]
struct Vm {
    list: Upstreams,
    fleet: Fleet,
    /// The revision after which it watches, if it reads the store.
    watches_from: Option<u64>,
}

impl Vm {
    /// Reads the list, or what has changed since.
    fn read(&mut self, store: &Store) {
        match self.watches_from.replace(store.revision) {
            None => {
                let entries = store.entries.values().cloned().collect();
                let version = store.revision;
                self.list.apply_list(Millis::ZERO, version, entries, &[], &mut self.fleet);
            }
            Some(from) => {
                for (revision, id, entry) in store.history.iter().filter(|c| c.0 > from) {
                    self.apply(*revision, id, entry.clone());
                }
            }
        }
    }

    fn apply(&mut self, revision: u64, id: &Rc<str>, entry: Option<Entry>) {
        match entry {
            Some(entry) => {
                self.list.apply_write(Millis::ZERO, revision, entry, &mut self.fleet);
            }
            None => self.list.apply_removal(revision, id, &mut self.fleet),
        }
    }

    fn compare(&self, other: &Self) -> Comparison {
        self.list.digest().compare(other.list.digest())
    }

    fn states(&self) -> Vec<(Rc<str>, bool)> {
        let entry = |id: &Rc<str>| self.fleet.get(self.fleet.key(id)?).map(|u| u.entry.draining);
        let mut states: Vec<_> =
            self.fleet.ids().filter_map(|id| Some((id.clone(), entry(id)?))).collect();
        states.sort();
        states
    }
}

/// Has VM `asking` ask VM `asked` for what is newer there.
fn ask(vms: &mut [Vm], asking: usize, asked: usize) {
    let version = vms[asking].list.version();
    if let Some(update) = vms[asked].list.update_since(Millis::ZERO, version) {
        let vm = &mut vms[asking];
        vm.list.apply_update(Millis::ZERO, update, false, &mut vm.fleet);
    }
}

// A VM reads the list for the first time after an upstream was removed that it never knew. It must not count as being as
// far as one that still has that upstream: nobody would tell that one, which would go on sending there.
#[test]
fn a_vm_that_never_knew_an_upstream_tells_others_of_its_removal() {
    let mut store = Store::default();
    (0..2).for_each(|name| store.write(name, false));
    let mut vms = [Vm::default(), Vm::default()];
    vms[1].read(&store);
    store.remove(1);
    vms[0].read(&store);
    ask(&mut vms, 1, 0);
    assert_eq!(vms[1].states(), store.states());
}

// An upstream is removed and written again, and a VM hears of the second write from a peer before its own watch
// reports the removal. The watch must not remove it for good.
#[test]
fn a_late_report_of_a_removal_does_not_undo_a_later_write() {
    let mut store = Store::default();
    (0..2).for_each(|name| store.write(name, false));
    let mut vms = [Vm::default(), Vm::default()];
    vms[0].read(&store);
    store.remove(1);
    store.write(1, false);
    vms[1].read(&store);
    ask(&mut vms, 0, 1);
    store.write(0, true);
    vms[0].read(&store);
    assert_eq!(vms[0].states(), store.states());
}

// Two VMs missed that an upstream left, for whatever cause, and learned of a later change. They count as being as far as
// one that has read the list since. The digests must tell, and one VM that then reads the list must correct the other,
// which asks it: both would go on sending to the upstream.
#[test]
fn vms_that_missed_a_change_differ_and_are_corrected() {
    let mut store = Store::default();
    (0..3).for_each(|name| store.write(name, false));
    let mut vms: Vec<Vm> = (0..3).map(|_| Vm::default()).collect();
    vms[..2].iter_mut().for_each(|vm| vm.read(&store));
    store.write(1, true);
    vms[..2].iter_mut().for_each(|vm| vm.watches_from = Some(store.revision));
    store.write(2, true);
    vms.iter_mut().for_each(|vm| vm.read(&store));
    assert_eq!(vms[0].compare(&vms[1]), Comparison::Equal);
    assert_eq!(vms[0].compare(&vms[2]), Comparison::Different);
    store.write(0, true);
    vms[0].watches_from = None;
    vms[0].list.mark_disputed();
    vms[0].read(&store);
    ask(&mut vms, 1, 0);
    assert_eq!(vms[1].states(), store.states());
    ask(&mut vms, 2, 0);
    assert_eq!(vms[0].compare(&vms[2]), Comparison::Equal);
}

// A VM of another release holds what nobody else does. The others must not read the store all the time for it.
#[test]
fn a_lasting_difference_is_read_for_less_and_less_often() {
    let mut reread = Reread::default();
    let times = (0..600).map(|second| Millis::new(second * 1_000));
    let reads: Vec<u64> = times
        .filter(|now| reread.record(*now, Comparison::Different))
        .map(|now| now.as_whole_ms() / 1_000)
        .collect();
    assert_eq!(reads[..7], [0, 2, 6, 14, 30, 62, 126]);
    assert!(reads.len() <= 15, "{reads:?}");
    assert!(!reread.record(Millis::new(600_000), Comparison::Equal));
    assert!(reread.record(Millis::new(700_000), Comparison::Different));
    assert!(reread.record(Millis::new(702_000), Comparison::Different), "the first interval again");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(40),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // One VM of several goes on sending to an upstream that has left, or sends to one no more that is back: it
    // takes itself to be as far as the others, and so never asks them. VMs list and watch the store, stop doing
    // so, and ask one another, in any order; then one reads the store to its end.
    #[test]
    fn vms_that_hear_of_one_another_hold_what_the_store_holds(
        steps in prop::collection::vec((0..6_u8, 0..VM_COUNT, 0..7_usize), 1..60)
    ) {
        let mut store = Store::default();
        (0..5).for_each(|name| store.write(name, false));
        let mut vms: Vec<Vm> = (0..VM_COUNT).map(|_| Vm::default()).collect();
        for (kind, vm, name) in steps {
            match kind {
                0 => store.write(name, false),
                1 => store.write(name, true),
                2 => store.remove(name),
                3 => vms[vm].read(&store),
                4 => vms[vm].watches_from = None,
                _ => ask(&mut vms, vm, name % VM_COUNT),
            }
            for (one, other) in vms.iter().zip(&vms[1..]) {
                prop_assert_ne!(one.compare(other), Comparison::Different);
            }
        }
        vms[0].read(&store);
        for _ in 0..ROUNDS {
            (0..VM_COUNT * VM_COUNT).for_each(|n| ask(&mut vms, n / VM_COUNT, n % VM_COUNT));
        }
        for (number, vm) in vms.iter().enumerate() {
            prop_assert_eq!(vm.states(), store.states(), "VM {}", number);
        }
    }
}
