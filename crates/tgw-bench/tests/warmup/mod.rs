//! What a cold upstream gets from all VMs together.

use test_case::test_case;
use tgw_bench::warmup::{Setup, What, play, setups};

fn within_the_limit(name: &str, setup: Setup) {
    let (vms, rate, seed) = (setup.vms, setup.rate, setup.seed);
    let outcome = play(setup);
    let kept = outcome.worst as f64 <= outcome.limit;
    assert!(kept, "{name}, {vms} VMs, rate {rate}, seed {seed}: {outcome:?}");
}

// Each of many VMs knows of a cold upstream and of callers that want it, and of none of the others' sends: the upstream
// was sent more than it bears, and crashed. Whatever goes wrong beside, no second holds more than operators allow.
#[test_case(2.0)]
#[test_case(20.0)]
fn no_second_holds_more_than_a_cold_upstream_bears(rate: f64) {
    for seed in 1..=2 {
        for (name, setup) in setups(9, rate, 1, seed) {
            within_the_limit(&name, setup);
        }
    }
}

// The same of many VMs, each of which would hold every right if it believed that it is the last one.
#[test]
fn vms_that_are_cut_off_hold_no_rights() {
    within_the_limit("all alone", Setup::of(82, 4.0, 1).beside(What::Alone, 1.0));
}

// Nothing but cold upstreams is left of a shard: what they bear is used.
#[test_case(9, 2.0)]
#[test_case(9, 20.0)]
#[test_case(82, 4.0)]
fn most_of_what_a_cold_upstream_bears_is_used(vms: usize, rate: f64) {
    let outcome = play(Setup::of(vms, rate, 1));
    assert!(outcome.used >= 0.8, "{vms} VMs, rate {rate}: {outcome:?}");
}
