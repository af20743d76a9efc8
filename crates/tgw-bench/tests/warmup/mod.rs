//! Requests that a cold upstream receives from all VMs together.

use test_case::test_case;
use tgw_bench::{
    vm_faults::FaultKind,
    warmup::{Setup, play, setups},
};

fn play_within_limit(name: &str, setup: Setup) {
    let (vms, rate, seed) = (setup.vms, setup.rate, setup.seed);
    let outcome = play(setup);
    let kept = outcome.worst as f64 <= outcome.limit;
    assert!(kept, "{name}, {vms} VMs, rate {rate}, seed {seed}: {outcome:?}");
}

// Each of many VMs knows of a cold upstream and its own callers, but not of the other VMs' sends:
// the upstream was sent more than it bears, and crashed. Under every fault no second may hold more
// than the limit.
#[test_case(2.0)]
#[test_case(20.0)]
fn a_cold_upstream_never_exceeds_its_limit(rate: f64) {
    for seed in 1..=2 {
        for (name, setup) in setups(9, rate, 1, seed) {
            play_within_limit(&name, setup);
        }
    }
}

// The same with many VMs, each of which would hold every lease if it took itself for the last VM
// alive.
#[test]
fn partitioned_vms_hold_no_leases() {
    play_within_limit("all alone", Setup::healthy(82, 4.0, 1).with_fault(FaultKind::Isolated, 1.0));
}

// If a shard has only cold upstreams left, most of the rate that they accept must be used.
#[test_case(9, 2.0)]
#[test_case(9, 20.0)]
#[test_case(82, 4.0)]
fn most_of_a_cold_upstreams_rate_is_used(vms: usize, rate: f64) {
    let outcome = play(Setup::healthy(vms, rate, 1));
    assert!(outcome.used >= 0.8, "{vms} VMs, rate {rate}: {outcome:?}");
}
