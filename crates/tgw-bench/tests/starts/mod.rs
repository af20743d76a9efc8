//! Simultaneous starts of many VMs.

use test_case::test_case;
use tgw_bench::starts::{self, Setup, play};
use tgw_clock::Millis;

// All VMs start after a power loss. When each read the store for itself, calls grew with the number
// of VMs (4,000 at 295). Now a few read it, all others serve as early as before, and hold what the
// store says a second later.
#[test_case(7)]
#[test_case(50)]
#[test_case(300)]
fn few_vms_read_the_store_after_a_power_loss(vms: usize) {
    for seed in 1..=3 {
        let outcome = play(Setup::healthy(vms, seed));
        assert_eq!(outcome.without, 0);
        assert!(outcome.readers <= 3 + vms / 15, "{outcome:?}");
        assert!(outcome.serves_ms[2] <= 250.0, "{outcome:?}");
        assert!(outcome.holds_ms[2] <= 1_500.0, "{outcome:?}");
    }
}

// On a fleet's first start no callers wait, so that only its seeds read the store.
#[test_case(7)]
#[test_case(50)]
#[test_case(300)]
fn only_seeds_read_the_store_on_a_first_start(vms: usize) {
    let outcome = play(Setup { first_start: true, ..Setup::healthy(vms, 1) });
    assert_eq!((outcome.readers, outcome.without), (3, 0), "{outcome:?}");
}

// Under every fault during the start, each live VM must obtain the state soon after it is
// available.
#[test]
fn every_vm_obtains_the_state_under_any_fault() {
    for seed in 1..=3 {
        for (name, setup) in starts::setups(60, seed) {
            let from = setup.store_from.as_f64();
            let outcome = play(setup);
            assert_eq!(outcome.without, 0, "{name}");
            assert!(outcome.holds_ms[2] <= from + 2_500.0, "{name}: {outcome:?}");
        }
    }
}

// The store is down while all VMs start. At its return they must not overload it with a retry from
// each.
#[test]
fn the_store_is_not_overloaded_after_an_outage() {
    let setup = Setup { store_from: Millis::new(2_000), ..Setup::healthy(300, 1) };
    let outcome = play(setup);
    assert!(outcome.calls <= 300.0 * 4.5, "{outcome:?}");
}
