//! Starts of many VMs at once.

use test_case::test_case;
use tgw_bench::starts::{self, Setup, play};
use tgw_clock::Millis;

// All VMs lose power. Each read the store for itself, so that calls grew with VMs (4,000 at 295); a few read it
// now, and all others serve as early as before and hold what the store says a second later.
#[test_case(7)]
#[test_case(50)]
#[test_case(300)]
fn few_read_the_store_after_a_loss_of_power(vms: usize) {
    for seed in 1..=3 {
        let outcome = play(Setup::of(vms, seed));
        assert_eq!(outcome.without, 0);
        assert!(outcome.readers <= 3 + vms / 15, "{outcome:?}");
        assert!(outcome.serves_ms[2] <= 250.0, "{outcome:?}");
        assert!(outcome.holds_ms[2] <= 1_500.0, "{outcome:?}");
    }
}

// A fleet starts for the first time: nobody waits for it, so that only its seeds read the store.
#[test_case(7)]
#[test_case(50)]
#[test_case(300)]
fn seeds_alone_read_the_store_the_first_time(vms: usize) {
    let outcome = play(Setup { first: true, ..Setup::of(vms, 1) });
    assert_eq!((outcome.readers, outcome.without), (3, 0), "{outcome:?}");
}

// Whatever is wrong beside the start, every VM that lives holds the state in the end, and soon after it can be had.
#[test]
fn all_hold_the_state_whatever_else_is_wrong() {
    for seed in 1..=3 {
        for (name, setup) in starts::setups(60, seed) {
            let from = setup.store_from.as_f64();
            let outcome = play(setup);
            assert_eq!(outcome.without, 0, "{name}");
            assert!(outcome.holds_ms[2] <= from + 2_500.0, "{name}: {outcome:?}");
        }
    }
}

// The store is away while all VMs start. They must not keep it busy at its return with tries of each.
#[test]
fn an_outage_is_not_answered_by_all() {
    let setup = Setup { store_from: Millis::new(2_000), ..Setup::of(300, 1) };
    let outcome = play(setup);
    assert!(outcome.calls <= 300.0 * 4.5, "{outcome:?}");
}
