//! Pairs of faults on whole cores under the virtual clock, with fixed seeds. In each, no answer may
//! mix snapshots, duplicate or lose an item, or overstate its coverage, and every query must be
//! answered or refused.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

use test_case::test_case;
use tgw_bench::{Fault, Figures, Policy, Setup, run};
use tgw_clock::Millis;
use tgw_standin::size::{Spread, User};

const fn ms(ms: u64) -> Millis {
    Millis::new(ms)
}

fn figures(user: User, faults: &[(Millis, Fault)]) -> Figures {
    figures_of(user, 6, faults)
}

fn figures_of(user: User, vms: usize, faults: &[(Millis, Fault)]) -> Figures {
    let setup = Setup {
        user,
        vms,
        spread: Spread::Together,
        network_delays: true,
        seed: 11,
        load: 0.05,
        warm_up: ms(300),
        measured: ms(3500),
        max_running: 1000,
        table: user.table(),
        faults: faults.to_vec(),
        record: None,
    };
    run(&setup, Policy::Tier)
}

/// Runs both deployments with a pair of faults; `least` is the least coverage of all shards.
fn check_fault_pair(faults: &[(Millis, Fault)], least: f64) {
    for user in User::ALL {
        let figures = figures(user, faults);
        assert_eq!(
            (figures.mixed, figures.doubled, figures.lost),
            (0, 0, 0),
            "{user}: {figures:?}"
        );
        assert!(figures.queries > 50, "{user}: too few queries to tell");
        assert!(figures.coverage >= least, "{user}: coverage {}", figures.coverage);
    }
}

// The owner of some groups dies during the rollout of an index version. The stand-in does not know
// which replicas hold which snapshot, and a query takes items of two versions.
#[test]
fn owner_killed_while_a_version_arrives() {
    check_fault_pair(&[(ms(500), Fault::VersionRollout(ms(300))), (ms(1000), Fault::KillVm)], 0.99);
}

// The old layout is removed while its owner is paused; the owner resumes and answers for shards
// that no longer exist.
#[test]
fn owner_paused_while_shards_are_repartitioned() {
    let pause = Fault::PauseVm(ms(1200));
    check_fault_pair(&[(ms(500), Fault::Repartition(ms(300))), (ms(900), pause)], 0.99);
}

// Replies for other shards arrive during a version rollout: such a reply is taken for a lost
// snapshot, queries restart without end, or items of two versions are mixed.
#[test]
fn foreign_replies_while_a_version_arrives() {
    check_fault_pair(&[(ms(300), Fault::Mangled), (ms(800), Fault::VersionRollout(ms(300)))], 0.97);
}

// The same with a layout that changes the number of shards.
#[test]
fn foreign_replies_while_shards_are_repartitioned() {
    check_fault_pair(&[(ms(300), Fault::Mangled), (ms(800), Fault::Repartition(ms(300)))], 0.97);
}

// A domain is partitioned while a VM of another domain dies: the stand-in for both cannot reach the
// upstreams, and callers wait for their deadlines.
#[test]
fn owner_killed_during_a_partition() {
    check_fault_pair(&[(ms(600), Fault::Partition(ms(1500))), (ms(1200), Fault::KillVm)], 0.6);
}

// A domain is partitioned during a version rollout: each side knows another set of snapshots.
#[test]
fn version_arrives_during_a_partition() {
    check_fault_pair(
        &[(ms(500), Fault::VersionRollout(ms(300))), (ms(900), Fault::Partition(ms(1500)))],
        0.6,
    );
}

// A paused VM resumes during a partition and acts on ownership that others have taken over.
#[test]
fn owner_paused_during_a_partition() {
    let pause = Fault::PauseVm(ms(1500));
    check_fault_pair(&[(ms(600), Fault::Partition(ms(1500))), (ms(900), pause)], 0.6);
}

// One replica of every shard is lost while stragglers move: the suspected upstream is the last
// replica left, and is kept waiting.
#[test]
fn stragglers_while_a_replica_of_every_shard_is_lost() {
    check_fault_pair(&[(ms(300), Fault::StragglersInTurn), (ms(900), Fault::ReplicaLost)], 0.98);
}

// Cold upstreams return while others straggle; both look overdue, and a group has no upstream left
// that it trusts.
#[test]
fn stragglers_while_a_third_is_cold() {
    check_fault_pair(&[(ms(300), Fault::Stragglers), (ms(900), Fault::ColdRestart)], 0.999);
}

// The owner dies while half of the replicas fail: its stand-in has not learned of any failure, and
// spends every retry on them.
#[test]
fn owner_killed_while_most_replicas_fail() {
    check_fault_pair(
        &[(ms(600), Fault::HalfReplicasLost(ms(1200))), (ms(900), Fault::KillVm)],
        0.85,
    );
}

// A VM is paused while replies arrive duplicated and late: after it resumes, replies to earlier
// sends meet requests that it sends now.
#[test]
fn owner_paused_while_replies_come_late_and_doubled() {
    check_fault_pair(&[(ms(300), Fault::Mangled), (ms(900), Fault::PauseVm(ms(1000)))], 0.95);
}

// A VM is killed while it is paused: it never completes the work that others still expect of it.
#[test]
fn owner_killed_while_paused() {
    check_fault_pair(&[(ms(600), Fault::PauseVm(ms(800))), (ms(1000), Fault::KillVm)], 0.99);
}

#[test_case(User::Coimbra; "coimbra")]
#[test_case(User::Aspen; "aspen")]
fn slots_are_never_exceeded_while_nothing_goes_wrong(user: User) {
    let figures = figures(user, &[]);
    assert_eq!(figures.over_slots, 0);
    assert!((figures.coverage - 1.0).abs() < f64::EPSILON);
}

// Every VM is replaced in turn. While an owner leaves and its groups move to others, a search may
// be cut short, lack a part, or be refused by a VM that should receive no callers.
#[test_case(User::Coimbra)]
#[test_case(User::Aspen)]
fn replacing_every_vm_in_turn_loses_no_part(user: User) {
    let span = ms(900);
    let faults = [0, 1, 2].map(|vm| (ms(500 + 1_100 * vm as u64), Fault::ReplaceVm(vm, span)));
    let figures = figures_of(user, 3, &faults);
    assert!(figures.queries > 50, "too few queries to tell");
    assert_eq!((figures.mixed, figures.doubled, figures.lost), (0, 0, 0), "{figures:?}");
    assert_eq!(figures.whole, figures.queries, "{figures:?}");
}

// An upstream that leaves reports it with its replies alone. As its shard has other replicas, no
// search may lack a part because of it.
#[test_case(User::Coimbra)]
#[test_case(User::Aspen)]
fn a_draining_upstream_loses_no_part(user: User) {
    let figures = figures_of(user, 3, &[(ms(500), Fault::Draining)]);
    assert!(figures.queries > 50, "too few queries to tell");
    assert_eq!((figures.mixed, figures.doubled, figures.lost), (0, 0, 0), "{figures:?}");
    assert_eq!(figures.whole, figures.queries, "{figures:?}");
}
