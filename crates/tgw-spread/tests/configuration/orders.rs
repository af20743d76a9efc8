//! Random orders of events.

use super::model::{Contents, Store, USUAL, Vm, ask, check, compare};
use proptest::{prelude::*, test_runner::RngSeed};
use tgw_spread::agreement::Comparison;

/// Rounds in which each VM asks each other one: more than an update needs to pass through all.
const ROUNDS: usize = 4;
const MAX_VMS: usize = 4;

/// One step of a random order of events.
#[derive(Clone, Copy, Debug)]
enum Step {
    Edit {
        part: u8,
        at: usize,
        number: u8,
    },
    Rollback {
        back: usize,
    },
    Read {
        vm: usize,
    },
    Ask {
        vm: usize,
        other: usize,
    },
    /// The answer of `other` to `vm` is under way.
    Send {
        vm: usize,
        other: usize,
    },
    /// The answer that has been under way for the longest time arrives.
    Deliver,
    Restart {
        vm: usize,
    },
    /// An older build tells the VM other contents under the version that it names.
    Corrupt {
        vm: usize,
        number: u8,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let vm = || 0..MAX_VMS;
    prop_oneof![
        3 => (0..10_u8, 0..3_usize, 0..5_u8)
            .prop_map(|(part, at, number)| Step::Edit { part, at, number }),
        3 => (1..4_usize).prop_map(|back| Step::Rollback { back }),
        5 => vm().prop_map(|vm| Step::Read { vm }),
        5 => (vm(), vm()).prop_map(|(vm, other)| Step::Ask { vm, other }),
        2 => (vm(), vm()).prop_map(|(vm, other)| Step::Send { vm, other }),
        2 => Just(Step::Deliver),
        1 => vm().prop_map(|vm| Step::Restart { vm }),
    ]
}

/// All steps, and VMs that hold wrong contents among them.
fn step_or_corruption() -> impl Strategy<Value = Step> {
    let corrupt = (0..MAX_VMS, 0..5_u8).prop_map(|(vm, number)| Step::Corrupt { vm, number });
    prop_oneof![9 => step(), 1 => corrupt]
}

/// Plays an order of events; then one VM reads the store and all ask all. `check` sees the VMs that changed after each
/// event.
fn play(count: usize, steps: &[Step], check: impl Fn(&Vm, &Store)) -> (Vec<Vm>, Store) {
    let mut store = Store::new();
    let mut vms: Vec<Vm> = (0..count).map(|_| Vm::default()).collect();
    let mut under_way = Vec::new();
    vms.iter_mut().for_each(|vm| vm.read(&store));
    for step in steps {
        match *step {
            Step::Edit { part, at, number } => {
                let contents = store.newest().1.edited(part, at, number);
                store.write(contents);
            }
            Step::Rollback { back } => {
                let at = store.versions.len().saturating_sub(1 + back);
                store.write(store.versions[at].1);
            }
            Step::Read { vm } => vms[vm % count].read(&store),
            Step::Ask { vm, other } => ask(&mut vms, vm % count, other % count),
            Step::Send { vm, other } => {
                let (vm, other) = (vm % count, other % count);
                under_way.push((vm, vms[other].answer(vms[vm].version())));
            }
            Step::Deliver if under_way.is_empty() => {}
            Step::Deliver => {
                let (vm, update) = under_way.remove(0);
                vms[vm].apply(update);
            }
            Step::Restart { vm } => vms[vm % count] = Vm::default(),
            Step::Corrupt { vm, number } => {
                let vm = &mut vms[vm % count];
                let wrong = Contents { routes: [number; 3], ..USUAL };
                let document = wrong.document(vm.version());
                *vm = Vm::default();
                vm.state.apply_document(&document);
            }
        }
        vms.iter().filter(|vm| vm.changed.take()).for_each(|vm| check(vm, &store));
    }
    vms[0].read(&store);
    ask_all(&mut vms);
    (vms, store)
}

/// Has all VMs ask all until nothing is left to be told.
fn ask_all(vms: &mut [Vm]) {
    let count = vms.len();
    for _ in 0..ROUNDS {
        (0..count * count).for_each(|n| ask(vms, n / count, n % count));
    }
}

/// Has two VMs compare their digests and read the store if they differ.
fn compare_and_read(vms: &mut [Vm], one: usize, other: usize, store: &Store) {
    if compare(&vms[one], &vms[other]) == Comparison::Different {
        for vm in [one, other] {
            vms[vm].state.mark_disputed();
            vms[vm].read(store);
        }
    }
}

/// Checks that all VMs do what the store's newest version says, and know that they agree.
fn check_newest(vms: &[Vm], store: &Store) {
    for vm in vms {
        assert_eq!(compare(vm, &vms[0]), Comparison::Equal);
        assert_eq!(vm.version(), store.newest().0);
        check(vm, store);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(56),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // VMs read versions of the configuration from the store or from one another, miss some, start anew, and get
    // answers late, in any order. Whatever version a VM names, it must do what that version says.
    #[test]
    fn vm_does_what_the_version_that_it_names_says(
        count in 2..=MAX_VMS,
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let (vms, store) = play(count, &steps, check);
        check_newest(&vms, &store);
    }

    // Some VMs were told wrong contents under a right version, and pass them on, in any order. Those that read the
    // store because their digests differ, and those that they tell later, do what the store's version says.
    #[test]
    fn vms_that_differ_are_mended_from_the_store(
        count in 2..=MAX_VMS,
        steps in prop::collection::vec(step_or_corruption(), 1..40),
    ) {
        let (mut vms, mut store) = play(count, &steps, |_, _| ());
        for one in 0..count {
            (0..count).for_each(|other| compare_and_read(&mut vms, one, other, &store));
        }
        check_newest(&vms, &store);
        store.write(store.newest().1.edited(0, 0, 3));
        vms[0].read(&store);
        ask_all(&mut vms);
        check_newest(&vms, &store);
    }
}
