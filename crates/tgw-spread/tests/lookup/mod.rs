//! VMs that start while no seed answers find one another through the store.

use test_case::test_case;
use tgw_clock::Millis;
use tgw_spread::Lookup;

/// A VM that has published its address and then lists each second: at which of `lists` the store answers.
fn listed(lists: &[bool]) -> Lookup {
    let mut vm = Lookup::default();
    vm.record_publication(true);
    for (second, is_answered) in lists.iter().enumerate() {
        vm.record_list(Millis::new(1_000 * second as u64), *is_answered);
    }
    vm
}

const ANSWERED: [bool; 7] = [true; 7];

// Guards against a VM that takes itself for the only one before the others can have called it: they have to notice that the
// one of them that watched the store is gone, or that its connection is. Whom the store names tells nothing: dead VMs, or no
// VM that lives.
#[test_case(&ANSWERED[..6], false; "the others may still call")]
#[test_case(&ANSWERED, true; "nobody calls")]
#[test_case(&[false; 3_600], false; "the store is silent for an hour")]
#[test_case(&[true, true, true, false, true, true, true, true, true], false; "a silence starts the wait anew")]
#[test_case(&[false, true, true, true, true, true, true, true], true; "an outage ends")]
fn a_vm_is_alone_if_nobody_calls_while_the_store_answers(lists: &[bool], is_alone: bool) {
    assert_eq!(listed(lists).is_alone(), is_alone);
}

// Two VMs start, one some time after the other, and neither finds a seed. Whatever the order of their calls, they must not
// both take themselves for the only one: at least one is named in a list of the other, and is asked.
#[test]
fn of_two_vms_at_least_one_finds_the_other() {
    const STEP_MS: u64 = 100;
    for (first_at, second_at) in
        (0..200).flat_map(|step| [(0, step * STEP_MS), (step * STEP_MS, 0)])
    {
        let starts = [first_at, second_at];
        let (mut published, mut vms, mut met) = ([false; 2], [Lookup::default(); 2], false);
        for now in (0..60_000).step_by(STEP_MS as usize) {
            for at in 0..2 {
                // Each VM publishes itself when it starts, and then lists each second.
                if now < starts[at] || !(now - starts[at]).is_multiple_of(1_000) {
                    continue;
                }
                if published[at] {
                    vms[at].record_list(Millis::new(now), true);
                    met |= published[1 - at];
                } else {
                    published[at] = true;
                    vms[at].record_publication(true);
                }
            }
            assert!(met || !vms.iter().all(Lookup::is_alone), "{starts:?} at {now}");
        }
        assert!(met, "{starts:?}");
    }
}

// A list that was answered before this VM's address was acknowledged says nothing: nobody could call it.
#[test]
fn lists_before_the_publication_are_no_evidence() {
    let mut vm = Lookup::default();
    assert!(vm.has_to_publish(false, true) && !vm.has_to_publish(false, false));
    for second in 0..60 {
        vm.record_publication(false);
        vm.record_list(Millis::new(1_000 * second), true);
    }
    assert!(!vm.is_alone() && vm.has_to_publish(false, true));
    vm.record_publication(true);
    vm.record_list(Millis::new(60_000), true);
    assert!(!vm.is_alone() && !vm.has_to_publish(true, true));
    vm.record_list(Millis::new(66_000), true);
    assert!(vm.is_alone());
}

// A VM that is the only one by evidence does not stop to serve in a later outage.
#[test]
fn a_later_silence_takes_nothing_back() {
    let mut vm = listed(&ANSWERED);
    vm.record_list(Millis::new(7_000), false);
    assert!(vm.is_alone() && vm.has_failed());
}
