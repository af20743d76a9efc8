//! How long VMs send to upstreams that leave.

use test_case::test_case;
use tgw_bench::leaving::{Outcome, Setup, Subject, What, Whom, play, setups, turned_away};

/// The least time in ms for which operators let requests reach an upstream that leaves, less half a second for what a
/// request takes on its way there and for a VM's turns.
const BOUND_MS: f64 = 3_000.0 - 500.0;

fn within_the_bound(name: &str, setup: Setup) -> Outcome {
    let (vms, seed) = (setup.vms, setup.seed);
    let outcome = play(setup);
    let kept = outcome.never == 0 && outcome.after_ms[2] <= BOUND_MS;
    assert!(kept, "{name}, {vms} VMs, seed {seed}: {outcome:?}");
    outcome
}

// Requests reached an upstream 3.1 s after its entry was removed. The store had turned a VM away for a moment; that VM
// took the store for away, and kept each upstream whose entry was removed after its return.
#[test_case(9)]
#[test_case(76)]
fn an_upstream_removed_after_the_stores_return_is_not_kept(vms: usize) {
    for seed in 1..=3 {
        let again = turned_away(Setup::of(vms, seed));
        let again = again.beside(What::Refused, Whom::Followers, -15_000, -9_000);
        within_the_bound("turned away twice", again);
    }
}

// The store takes the connections of every VM that follows it and says nothing for nine seconds, while it serves all
// others. Nobody else read it for as long as those waited, and no VM heard that upstreams leave.
#[test]
fn a_store_that_is_silent_to_all_followers_is_read_by_others() {
    for seed in 1..=3 {
        let silent = Setup::of(9, seed).beside(What::Silent, Whom::Followers, -500, 8_500);
        within_the_bound("silent to all followers", silent);
    }
}

// All VMs lie in one region, and one of them follows the store for all. The store is silent to that one: no other VM
// tells the fleet what changes.
#[test]
fn one_region_does_not_hang_on_one_vm() {
    for seed in 1..=3 {
        let one = Setup { regions: 1, ..Setup::of(9, seed) };
        let silent = one.beside(What::Silent, Whom::Follower, -500, 8_500);
        within_the_bound("one region, silent to one follower", silent);
    }
}

// Whatever is wrong beside, the sum of all that delays the word of a leaving stays below what operators allow.
#[test]
fn no_trouble_beside_keeps_a_vm_sending() {
    for seed in 1..=3 {
        for (name, setup) in setups(Subject::Upstreams, 9, seed) {
            within_the_bound(&name, setup);
        }
    }
}

// The store was away, and all entries lapsed. Upstreams that live are kept until they had time to write theirs again:
// without that, no VM could send to any of them.
#[test]
fn upstreams_whose_entries_lapsed_while_the_store_was_away_are_kept() {
    for seed in 1..=3 {
        let away = Setup::of(9, seed).beside(What::Away, Whom::Part(1.0), -10_000, -4_000);
        let outcome = within_the_bound("the store away", away);
        assert!(outcome.usable >= 0.95, "seed {seed}: {outcome:?}");
    }
}

/// Time in ms within which an evacuation is known to all VMs, in 99 of 100 cases where nothing is wrong, and at most
/// beside whatever is wrong.
const EVACUATED_MS: f64 = 500.0;
const EVACUATED_MOST_MS: f64 = 2_000.0;

// Operators evacuate failure domains, and take others back: no VM may go on sending to the first, or leave the others out,
// for long.
#[test]
fn an_evacuation_is_known_everywhere_within_half_a_second() {
    for seed in 1..=3 {
        for vms in [9, 82] {
            let outcome = play(Setup::of_evacuations(vms, seed));
            let kept = outcome.never == 0 && outcome.after_ms[1] <= EVACUATED_MS;
            assert!(kept, "{vms} VMs, seed {seed}: {outcome:?}");
        }
    }
}

/// The trouble that has a test of its own.
const HANG: &str = "all watches hang";

fn evacuated_in_time(beside: impl Fn(&str) -> bool) {
    for seed in 1..=3 {
        for (name, setup) in setups(Subject::Evacuations, 9, seed) {
            if !beside(&name) {
                continue;
            }
            let outcome = play(setup);
            let kept = outcome.never == 0 && outcome.after_ms[2] <= EVACUATED_MOST_MS;
            assert!(kept, "{name}, seed {seed}: {outcome:?}");
        }
    }
}

// The same while the store turns VMs away, or says nothing to them, and while VMs stand still, die or are cut off.
#[test]
fn no_trouble_beside_holds_an_evacuation_up() {
    evacuated_in_time(|name| name != HANG);
}

// The connections of all VMs that follow the store go silent at the same moment, right before an evacuation.
#[test]
fn watches_that_all_hang_hold_no_evacuation_up() {
    evacuated_in_time(|name| name == HANG);
}
