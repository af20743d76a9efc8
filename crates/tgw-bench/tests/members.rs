//! Tests of membership with many VMs under a virtual clock.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

mod leaving;
mod starts;
mod warmup;

use test_case::test_case;
use tgw_bench::members::World;
use tgw_clock::Millis;
use tgw_owner::State;

const SECOND: Millis = Millis::new(1000);

fn settled(domains: usize, each: usize, seed: u64) -> World {
    let mut world = World::new(domains, each, seed);
    world.until(Millis::new(60_000), World::converged).expect("the fleet meets");
    world
}

#[test_case(1, 7; "seven in one domain")]
#[test_case(6, 1; "one in each of six domains")]
#[test_case(3, 20; "sixty in three domains")]
fn fleet_meets(domains: usize, each: usize) {
    settled(domains, each, 1);
}

// A killed VM goes on being named the owner of its groups. Nobody probed it, or its suspicion was
// never spread, so that some VMs of its domain still send it work after three seconds.
#[test_case(7, 1; "of seven")]
#[test_case(7, 2; "of seven, other seed")]
#[test_case(50, 1; "of fifty")]
fn killed_vm_is_out_of_every_view_of_its_domain_within_three_seconds(each: usize, seed: u64) {
    let mut world = settled(1, each, seed);
    world.kill(each - 1);
    world.run(SECOND.scale(3.0));
    for at in 0..each - 1 {
        assert_eq!(world.state(at, each - 1), Some(State::Dead), "in the view of {at}");
    }
}

// Work is sent for seconds to a VM that has said that it leaves, because only its silence was noticed.
#[test]
fn leaving_vm_is_out_at_once() {
    let mut world = settled(3, 5, 1);
    world.leave(4);
    world.run(Millis::new(60));
    for at in 0..4 {
        assert_eq!(world.state(at, 4), Some(State::Leaving), "in the view of {at}");
    }
    world.run(SECOND);
    for at in 5..15 {
        assert_eq!(world.state(at, 4), Some(State::Leaving), "in the view of {at}");
    }
}

// A network that loses one packet in five makes VMs declare each other dead, ownership moves back and
// forth, and connections are opened and closed without end.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn a_fifth_of_packets_lost_removes_nobody(seed: u64) {
    let mut world = settled(2, 10, seed);
    world.loss = 0.2;
    world.run(SECOND.scale(60.0));
    assert_eq!(world.false_removals, 0);
}

// A VM is frozen for longer than its suspicion, resumes, finds all its timers run out at once, and
// declares everyone else dead; or it goes on as owner beside the one that took over.
#[test]
fn paused_vm_notices_and_judges_nobody() {
    let mut world = settled(1, 7, 1);
    world.freeze(3, true);
    world.run(SECOND.scale(4.0));
    assert_eq!(world.state(0, 3), Some(State::Dead));
    world.freeze(3, false);
    world.run(Millis::new(100));
    assert_eq!(world.pauses, 1, "it must re-check what it owned");
    for of in (0..7).filter(|of| *of != 3) {
        assert_eq!(world.state(3, of), Some(State::Alive), "{of} in the view of the resumed");
    }
    world.until(SECOND.scale(5.0), World::converged).expect("it refutes its death");
}

// A VM is replaced at the same address. Late gossip of its earlier life's death reaches the others
// after the new one has joined, and they remove it.
#[test]
fn restarted_vm_is_told_from_its_earlier_life() {
    let mut world = settled(1, 7, 1);
    world.kill(2);
    world.run(Millis::new(800));
    world.start(2);
    world.until(SECOND.scale(6.0), World::converged).expect("the new life is alive everywhere");
    world.run(SECOND.scale(10.0));
    assert!(world.converged());
}

// Two halves of a fleet declare each other dead during a partition and never meet again, as neither
// probes the dead.
#[test_case(6, 1, 1; "one in each domain")]
#[test_case(3, 6, 1; "six in each domain")]
#[test_case(3, 6, 2; "six in each domain, other seed")]
fn split_and_healed_fleet_converges(domains: usize, each: usize, seed: u64) {
    let mut world = settled(domains, each, seed);
    world.isolate(0, true);
    world.run(SECOND.scale(20.0));
    let unreachable = world.directory(each).unreachable_domains;
    assert!(
        unreachable.iter().any(|d| d.0 == 0),
        "the others see the domain as cut off: {unreachable:?}"
    );
    world.isolate(0, false);
    world.until(SECOND.scale(10.0), World::converged).expect("it meets again");
    assert_eq!(world.false_removals, 0);
}

// A domain of one VM loses it. Its upstreams have no owner, as no VM of the domain is left to say so.
#[test]
fn lone_vm_of_a_domain_is_missed_by_the_others() {
    let mut world = settled(6, 1, 1);
    world.kill(5);
    world.run(SECOND.scale(5.0));
    for at in 0..5 {
        let owners: Vec<_> = world.directory(at).owners().map(|(_, m)| m.name.clone()).collect();
        assert_eq!(owners.len(), 5, "owners in the view of {at}: {owners:?}");
    }
}

// `table wait` returns while one VM still serves by the old limits, because nobody noticed that it had
// not adopted the edition.
#[test]
fn edition_counts_as_in_force_only_when_every_live_vm_has_it() {
    let mut world = settled(3, 4, 1);
    for index in 0..11 {
        world.edit(index, 7);
    }
    world.run(SECOND.scale(10.0));
    assert_ne!(world.in_force(0).get(&2), Some(&7), "one VM of domain 2 lacks it");
    world.edit(11, 7);
    world.run(SECOND.scale(10.0));
    for at in 0..12 {
        let rollouts = world.in_force(at);
        assert!(rollouts.len() == 3 && rollouts.values().all(|e| *e == 7), "at {at}: {rollouts:?}");
    }
}

// A VM that is alone in its domain is replaced within two seconds. The others know it from its earlier
// life, do not ask for its records, and hear of the new one only when records are next compared: for ten
// seconds its upstreams have no owner.
#[test_case(6, 1, 1; "one in each domain")]
#[test_case(6, 1, 2; "one in each domain, other seed")]
#[test_case(3, 5, 1; "five in each domain")]
fn replaced_vm_is_known_everywhere_within_five_seconds(domains: usize, each: usize, seed: u64) {
    let mut world = settled(domains, each, seed);
    let last = domains * each - 1;
    world.kill(last);
    world.run(Millis::new(1500));
    world.move_to_new_address(last);
    world.start(last);
    world.until(SECOND.scale(5.0), World::converged).expect("the new life is alive everywhere");
}

#[test_case(1, 7, 2; "both relays of the one domain")]
#[test_case(3, 5, 2; "one VM of each of two regions, of three domains")]
#[test_case(6, 5, 3; "one VM of each of three regions, of six domains")]
fn few_vms_follow_the_platform(domains: usize, each: usize, expected: usize) {
    assert_eq!(settled(domains, each, 1).followers().len(), expected);
}

// The platform turns away the VM that follows it for its domain and serves the others. Unless it says
// so and another takes over, its whole domain learns of changes late.
#[test]
fn another_vm_follows_the_platform_for_one_that_is_turned_away() {
    let mut world = settled(3, 5, 1);
    let before = world.followers();
    world.blind(before[0], true);
    world.run(SECOND);
    let after = world.followers();
    assert_eq!(after.len(), 2, "{after:?}");
    assert!(!after.contains(&before[0]), "{after:?}");
    world.blind(before[0], false);
    world.run(SECOND);
    assert_eq!(world.followers().len(), 2);
}

// One of a region's two domains is cut off from all others, not from the platform. Unless it follows the
// platform itself, it learns of no change for as long as the cut lasts.
#[test]
fn a_domain_that_is_cut_off_follows_the_platform_itself() {
    let mut world = settled(4, 5, 1);
    let domains =
        |world: &World| -> Vec<usize> { world.followers().iter().map(|f| f / 5).collect() };
    assert_eq!(domains(&world), [0, 2]);
    world.isolate(1, true);
    world.run(SECOND.scale(3.5));
    assert_eq!(domains(&world), [0, 1, 2]);
    world.isolate(1, false);
    world.run(SECOND.scale(3.0));
    assert_eq!(domains(&world), [0, 2]);
}

// The platform turns away all VMs of the domain that follows it for its region. Another domain takes over.
#[test]
fn another_domain_follows_where_one_is_turned_away_as_a_whole() {
    let mut world = settled(4, 3, 1);
    (0..3).for_each(|vm| world.blind(vm, true));
    world.run(SECOND.scale(2.0));
    let after = world.followers();
    assert!(after.iter().any(|f| f / 3 == 1), "{after:?}");
}
