//! Requests of tenants that all VMs admit together.

use test_case::test_case;
use tgw_bench::{
    limits::{Setup, Way, play, setups},
    vm_faults::FaultKind,
};

// One tenant sends six times its usual, and the VMs that count for it are cut off, paused, restarted, or lose packets.
// No window may hold more of its requests than the operators allow.
#[test_case(1)]
#[test_case(2)]
fn no_window_exceeds_a_limit_beside_any_fault(seed: u64) {
    for (name, setup) in setups(9, Way::PerRegion, seed) {
        let outcome = play(setup);
        assert!(outcome.worst_window <= 1.0, "{name}, seed {seed}: {outcome:?}");
    }
}

// Guards against requests within their limits that are refused while nothing is wrong, also where all callers of a
// tenant use one region.
#[test_case(9)]
#[test_case(76)]
fn requests_within_their_limits_are_admitted(vms: usize) {
    let outcome = play(Setup::healthy(vms, Way::PerRegion, 1));
    assert!(outcome.admitted >= 0.98, "{vms} VMs: {outcome:?}");
    assert!(outcome.admitted_beside >= 0.98, "{vms} VMs: {outcome:?}");
}

// Guards against a measure of eager tenants that sees no windows: they would pass at any limit.
#[test]
fn eager_tenants_are_measured() {
    let least = |setup: Setup| play(setup).least_window;
    let healthy = Setup::healthy(9, Way::PerRegion, 1);
    assert!(least(healthy.clone().eager()) > 0.0);
    assert!(
        least(healthy.with_fault(FaultKind::Restarted, 1.0).eager()) < 0.1,
        "no VM runs for 6 s"
    );
}
