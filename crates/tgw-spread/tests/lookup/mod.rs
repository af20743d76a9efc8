//! VMs that start while no seed answers find one another through the store.

use test_case::test_case;
use tgw_clock::Millis;
use tgw_spread::Lookup;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Call {
    Publish,
    List,
}

/// All orders of the calls of two VMs, each of which publishes and then lists: the number of the VM for each call.
fn orders() -> Vec<[usize; 4]> {
    let all = (0..16_usize).map(|bits| [0, 1, 2, 3].map(|at| bits >> at & 1));
    all.filter(|order| order.iter().sum::<usize>() == 2).collect()
}

// Two VMs start at once, and neither finds a seed. Whatever the order of their calls, they must not both take themselves
// for the only one: both would hold a tenant's whole limit.
#[test]
fn of_two_vms_at_least_one_finds_the_other() {
    assert_eq!(orders().len(), 6);
    for order in orders() {
        let (mut published, mut vms) = ([false; 2], [Lookup::default(); 2]);
        for vm in order {
            let call = if published[vm] { Call::List } else { Call::Publish };
            assert!(!vms[vm].is_over(Millis::new(9_000)), "{order:?}");
            assert_eq!(vms[vm].has_to_publish(false, true), call == Call::Publish);
            match call {
                Call::Publish => {
                    published[vm] = true;
                    vms[vm].record_publication(true);
                }
                Call::List => {
                    let others = usize::from(published[1 - vm]);
                    vms[vm].record_list(Millis::ZERO, Some(others));
                }
            }
        }
        let alone = vms.iter().filter(|vm| vm.is_over(Millis::new(500))).count();
        assert!(alone <= 1, "{order:?}");
    }
}

// A list that began before this VM's address was acknowledged says nothing of VMs that listed meanwhile.
#[test]
fn a_list_before_the_publication_is_no_evidence() {
    let mut vm = Lookup::default();
    vm.record_list(Millis::ZERO, Some(0));
    assert!(!vm.is_over(Millis::new(9_000)));
    vm.record_publication(true);
    assert!(vm.has_to_list(false), "a relay that knows others lists once, too");
    vm.record_list(Millis::ZERO, Some(0));
    assert!(vm.is_over(Millis::ZERO) && !vm.has_to_list(false));
}

// The listed VMs may be dead. A store that does not answer says nothing, however long it takes: a VM that is added during an
// outage would hold a tenant's limit beside all others.
#[test_case(Some(1), 999, false; "listed VMs may still answer")]
#[test_case(Some(1), 1_000, true; "none of them answers")]
#[test_case(None, 0, false; "the store does not answer")]
#[test_case(None, 3_600_000, false; "the store does not answer for an hour")]
fn waiting_for_others_ends(others: Option<usize>, at: u64, is_over: bool) {
    let mut vm = Lookup::default();
    vm.record_publication(true);
    vm.record_list(Millis::ZERO, others);
    assert_eq!(vm.is_over(Millis::new(at)), is_over);
}

// A lone VM lists again and again, and the addresses of dead VMs stay in the store. It must not stop to serve at each list.
#[test]
fn a_later_list_takes_nothing_back() {
    let mut vm = Lookup::default();
    vm.record_publication(true);
    vm.record_list(Millis::ZERO, Some(0));
    vm.record_list(Millis::new(5_000), Some(2));
    assert!(vm.is_over(Millis::new(5_000)));
}

// The store refuses a VM for a moment. Its next answer counts.
#[test]
fn an_answer_of_the_store_replaces_its_silence() {
    let mut vm = Lookup::default();
    vm.record_publication(false);
    vm.record_list(Millis::ZERO, None);
    assert!(vm.has_failed() && !vm.is_over(Millis::ZERO));
    vm.record_publication(true);
    vm.record_list(Millis::new(500), Some(1));
    assert!(!vm.has_failed() && !vm.is_over(Millis::new(600)) && vm.is_over(Millis::new(1_500)));
}
