//! Membership of many VMs under a virtual clock.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

mod leaving;
mod limits;
mod starts;
mod warmup;

use test_case::test_case;
use tgw_bench::members::Simulation;
use tgw_clock::Millis;
use tgw_owner::State;

const SECOND: Millis = Millis::new(1000);

fn settled(domains: usize, each: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(domains, each, seed);
    simulation.run_until(Millis::new(60_000), Simulation::converged).expect("the fleet converges");
    simulation
}

#[test_case(1, 7; "seven in one domain")]
#[test_case(6, 1; "one in each of six domains")]
#[test_case(3, 20; "sixty in three domains")]
fn fleet_converges(domains: usize, each: usize) {
    settled(domains, each, 1);
}

// A killed VM remains listed as the owner of its groups: if it is not probed, or its suspicion is
// not spread, VMs of its domain still send it work after three seconds.
#[test_case(7, 1; "of seven")]
#[test_case(7, 2; "of seven, other seed")]
#[test_case(50, 1; "of fifty")]
fn killed_vm_is_dead_in_every_view_of_its_domain_within_three_seconds(each: usize, seed: u64) {
    let mut simulation = settled(1, each, seed);
    simulation.kill(each - 1);
    simulation.run(SECOND.mul_f64(3.0));
    for at in 0..each - 1 {
        assert_eq!(simulation.state(at, each - 1), Some(State::Dead), "in the view of {at}");
    }
}

// Work is sent for seconds to a VM that has announced that it leaves, if only its missing
// heartbeats are noticed.
#[test]
fn leaving_vm_is_seen_as_leaving_without_a_timeout() {
    let mut simulation = settled(3, 5, 1);
    simulation.leave(4);
    simulation.run(Millis::new(60));
    for at in 0..4 {
        assert_eq!(simulation.state(at, 4), Some(State::Leaving), "in the view of {at}");
    }
    simulation.run(SECOND);
    for at in 5..15 {
        assert_eq!(simulation.state(at, 4), Some(State::Leaving), "in the view of {at}");
    }
}

// With one packet in five lost, VMs declare each other dead, ownership moves back and forth, and
// connections are opened and closed without end.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn no_vm_is_declared_dead_with_a_fifth_of_packets_lost(seed: u64) {
    let mut simulation = settled(2, 10, seed);
    simulation.loss = 0.2;
    simulation.run(SECOND.mul_f64(60.0));
    assert_eq!(simulation.false_removals, 0);
}

// A VM that was paused for longer than its suspicion timeout resumes, finds all its timers expired
// and declares all others dead, or continues as owner beside the VM that took over.
#[test]
fn resumed_vm_detects_its_pause_and_declares_no_vm_dead() {
    let mut simulation = settled(1, 7, 1);
    simulation.set_paused(3, true);
    simulation.run(SECOND.mul_f64(4.0));
    assert_eq!(simulation.state(0, 3), Some(State::Dead));
    simulation.set_paused(3, false);
    simulation.run(Millis::new(100));
    assert_eq!(simulation.pauses, 1, "it must re-check what it owned");
    for of in (0..7).filter(|of| *of != 3) {
        assert_eq!(
            simulation.state(3, of),
            Some(State::Alive),
            "{of} in the view of the resumed VM"
        );
    }
    simulation
        .run_until(SECOND.mul_f64(5.0), Simulation::converged)
        .expect("the VM refutes its death");
}

// A VM is replaced at the same address. Late gossip of its previous incarnation's death reaches the
// others after the new one has joined, and they remove it.
#[test]
fn restarted_vm_is_distinguished_from_its_previous_incarnation() {
    let mut simulation = settled(1, 7, 1);
    simulation.kill(2);
    simulation.run(Millis::new(800));
    simulation.start(2);
    simulation
        .run_until(SECOND.mul_f64(6.0), Simulation::converged)
        .expect("the new incarnation is alive in every view");
    simulation.run(SECOND.mul_f64(10.0));
    assert!(simulation.converged());
}

// The two sides of a partition declare each other dead and never rejoin if neither probes dead VMs.
#[test_case(6, 1, 1; "one in each domain")]
#[test_case(3, 6, 1; "six in each domain")]
#[test_case(3, 6, 2; "six in each domain, other seed")]
fn fleet_converges_after_a_partition_heals(domains: usize, each: usize, seed: u64) {
    let mut simulation = settled(domains, each, seed);
    simulation.set_partitioned(0, true);
    simulation.run(SECOND.mul_f64(20.0));
    let unreachable = simulation.directory(each).unreachable_domains;
    assert!(
        unreachable.iter().any(|d| d.0 == 0),
        "the others see the domain as unreachable: {unreachable:?}"
    );
    simulation.set_partitioned(0, false);
    simulation
        .run_until(SECOND.mul_f64(10.0), Simulation::converged)
        .expect("the fleet converges again");
    assert_eq!(simulation.false_removals, 0);
}

// A domain loses its only VM. If no VM outside the domain notices, its upstreams have no owner.
#[test]
fn death_of_a_domains_only_vm_is_detected_by_other_domains() {
    let mut simulation = settled(6, 1, 1);
    simulation.kill(5);
    simulation.run(SECOND.mul_f64(5.0));
    for at in 0..5 {
        let owners: Vec<_> =
            simulation.directory(at).owners().map(|(_, m)| m.name.clone()).collect();
        assert_eq!(owners.len(), 5, "owners in the view of {at}: {owners:?}");
    }
}

// `table wait` would return while one VM still serves by the old limits, if a VM that has not
// adopted the edition went unnoticed.
#[test]
fn edition_counts_as_in_force_only_when_every_live_vm_has_it() {
    let mut simulation = settled(3, 4, 1);
    for index in 0..11 {
        simulation.set_edition(index, 7);
    }
    simulation.run(SECOND.mul_f64(10.0));
    assert_ne!(simulation.in_force(0).get(&2), Some(&7), "one VM of domain 2 lacks it");
    simulation.set_edition(11, 7);
    simulation.run(SECOND.mul_f64(10.0));
    for at in 0..12 {
        let rollouts = simulation.in_force(at);
        assert!(rollouts.len() == 3 && rollouts.values().all(|e| *e == 7), "at {at}: {rollouts:?}");
    }
}

// The only VM of a domain is replaced within two seconds. The others know its previous incarnation,
// do not request its records, and learn of the new one only at the next comparison of records: for
// ten seconds its upstreams have no owner.
#[test_case(6, 1, 1; "one in each domain")]
#[test_case(6, 1, 2; "one in each domain, other seed")]
#[test_case(3, 5, 1; "five in each domain")]
fn replaced_vm_is_known_everywhere_within_five_seconds(domains: usize, each: usize, seed: u64) {
    let mut simulation = settled(domains, each, seed);
    let last = domains * each - 1;
    simulation.kill(last);
    simulation.run(Millis::new(1500));
    simulation.move_to_new_address(last);
    simulation.start(last);
    simulation
        .run_until(SECOND.mul_f64(5.0), Simulation::converged)
        .expect("the new incarnation is alive in every view");
}

#[test_case(1, 7, 2; "both relays of the one domain")]
#[test_case(3, 5, 2; "one VM of each of two regions, of three domains")]
#[test_case(6, 5, 3; "one VM of each of three regions, of six domains")]
fn few_vms_watch_the_platform(domains: usize, each: usize, expected: usize) {
    assert_eq!(settled(domains, each, 1).watchers().len(), expected);
}

// The platform refuses the VM that watches it for its domain, and serves the others. Unless that VM
// reports it and another takes over, its whole domain learns of changes late.
#[test]
fn another_vm_takes_over_the_watch_from_one_that_the_platform_refuses() {
    let mut simulation = settled(3, 5, 1);
    let before = simulation.watchers();
    simulation.set_platform_unreachable(before[0], true);
    simulation.run(SECOND);
    let after = simulation.watchers();
    assert_eq!(after.len(), 2, "{after:?}");
    assert!(!after.contains(&before[0]), "{after:?}");
    simulation.set_platform_unreachable(before[0], false);
    simulation.run(SECOND);
    assert_eq!(simulation.watchers(), after, "the watch is not given back");
}

// One of a region's two domains is partitioned from all others, but not from the platform. Unless
// it watches the platform itself, it learns of no change during the partition.
#[test]
fn a_partitioned_domain_watches_the_platform_itself() {
    let mut simulation = settled(4, 5, 1);
    let domains = |simulation: &Simulation| -> Vec<usize> {
        simulation.watchers().iter().map(|f| f / 5).collect()
    };
    assert_eq!(domains(&simulation), [0, 2]);
    simulation.set_partitioned(1, true);
    simulation.run(SECOND.mul_f64(3.5));
    assert_eq!(domains(&simulation), [0, 1, 2]);
    simulation.set_partitioned(1, false);
    simulation.run(SECOND.mul_f64(3.0));
    assert_eq!(domains(&simulation), [0, 2]);
}

/// The time in which some of the `down` VMs, which watch the platform or are next to, are replaced as watchers.
fn time_until_watched(mut simulation: Simulation, down: &[usize], frozen: bool) -> Millis {
    simulation.run_until(Millis::new(60_000), Simulation::converged).expect("the fleet converges");
    let phase = simulation.now().as_whole_ms() % 977;
    simulation.run(Millis::new(1_000 + phase));
    assert_eq!(simulation.watchers(), down[..1]);
    for vm in down {
        if frozen {
            simulation.set_paused(*vm, true);
        } else {
            simulation.kill(*vm);
        }
    }
    let is_watched = |s: &Simulation| s.watchers().iter().any(|vm| !down.contains(vm));
    simulation.run_until(SECOND.mul_f64(10.0), is_watched).expect("another VM watches")
}

// All VMs are in one region, one in each domain, and the one that watches the platform freezes as the configuration changes.
// Nobody of its own domain notices. All others served by the old configuration for up to 4.5 s.
#[test_case(&[0], 6; "one of six")]
#[test_case(&[0, 1], 6; "the next one as well")]
#[test_case(&[0, 1, 2], 4; "all but one")]
#[test_case(&[0], 2; "one of two")]
fn a_watcher_that_is_alone_in_its_domain_is_replaced_within_two_seconds(
    down: &[usize],
    domains: usize,
) {
    for (seed, frozen) in (1..=40).flat_map(|seed| [(seed, true), (seed, false)]) {
        let simulation = Simulation::in_one_region(domains, 1, seed);
        let time = time_until_watched(simulation, down, frozen);
        assert!(time <= SECOND.mul_f64(2.0), "seed {seed}, frozen {frozen}: {time}");
    }
}

// The platform refuses all VMs of the domain that watches it for its region: another domain must
// take over.
#[test]
fn another_domain_takes_over_the_watch_when_one_is_refused_entirely() {
    let mut simulation = settled(4, 3, 1);
    (0..3).for_each(|vm| simulation.set_platform_unreachable(vm, true));
    simulation.run(SECOND.mul_f64(2.0));
    let after = simulation.watchers();
    assert!(after.iter().any(|f| f / 3 == 1), "{after:?}");
}
