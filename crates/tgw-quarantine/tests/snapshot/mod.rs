//! Evidence over a restart of all VMs at once.

use crate::ledger::termination;
use test_case::test_case;
use tgw_clock::Millis;
use tgw_quarantine::{Fingerprint, Tracker, message::Rounds, tracker::Verdict};

const DEADLY: Fingerprint = Fingerprint { content: 7, caller: 1 };
/// Downtime of a process that is killed and started again.
const DOWNTIME: Millis = Millis::new(100);

/// Ends an upstream of a service of its own under the request, which knows all rounds before.
fn end(tracker: &mut Tracker, upstream: u32) {
    let service = format!("s{upstream}");
    let rounds = tracker.known_rounds(DEADLY, &service);
    tracker.record_end(Millis::ZERO, &termination(DEADLY, &service, upstream, rounds));
}

/// A tracker of a process that was started after another had ended, with a clock of its own.
fn restarted(before: &Tracker, age: Millis) -> Tracker {
    let mut after = Tracker::default();
    after.restore(Millis::ZERO, age, &before.snapshot(Millis::ZERO));
    after
}

// All VMs are killed at once. None can tell another what was quarantined, and a known deadly query would end upstreams
// of all shards once more.
#[test]
fn a_quarantine_survives_a_restart_of_all_vms() {
    let mut before = Tracker::default();
    (0..3).for_each(|upstream| end(&mut before, upstream));
    let Verdict::Rejected(wait) = before.verdict(Millis::ZERO, DEADLY) else { panic!("unknown") };
    let mut after = restarted(&before, DOWNTIME);
    assert_eq!(after.verdict(Millis::ZERO, DEADLY), Verdict::Rejected(wait));
}

// The same for a query that has ended two upstreams so far: it would be allowed two more, at all shards at once.
#[test]
fn rounds_survive_a_restart_of_all_vms() {
    let mut before = Tracker::default();
    (0..2).for_each(|upstream| end(&mut before, upstream));
    let mut after = restarted(&before, DOWNTIME);
    assert_eq!(after.known_rounds(DEADLY, "s0"), Rounds { total: 2, service: 1 });
    end(&mut after, 2);
    assert!(matches!(after.verdict(Millis::ZERO, DEADLY), Verdict::Rejected(_)));
}

// A request that was answered, and so cleared or released, must not be limited again by what a VM kept of the time before.
#[test_case(1; "one round")]
#[test_case(2; "two rounds")]
#[test_case(3; "quarantined")]
fn an_answered_request_stays_allowed_after_a_restart(rounds: u32) {
    let mut before = Tracker::default();
    (0..rounds).for_each(|upstream| end(&mut before, upstream));
    before.record_answer(Millis::ZERO, DEADLY, "s0");
    assert_eq!(restarted(&before, DOWNTIME).verdict(Millis::ZERO, DEADLY), Verdict::Allowed);
}

// Answers from before the first end outweigh three rounds. Without them a popular harmless search would be quarantined
// by the ends that it had survived.
#[test]
fn earlier_answers_survive_a_restart_of_all_vms() {
    let mut before = Tracker::default();
    before.record_answer(Millis::ZERO, DEADLY, "s0");
    (0..3).for_each(|upstream| end(&mut before, upstream));
    let mut after = restarted(&before, DOWNTIME);
    assert_eq!(after.verdict(Millis::ZERO, DEADLY), before.verdict(Millis::ZERO, DEADLY));
}

// A VM that was down for an hour must not limit requests by upstreams that ended before; a running VM forgets them
// after ten minutes.
#[test]
fn old_rounds_are_not_restored() {
    let mut before = Tracker::default();
    (0..2).for_each(|upstream| end(&mut before, upstream));
    let mut after = restarted(&before, Millis::new(3_600_000));
    assert_eq!(after.verdict(Millis::ZERO, DEADLY), Verdict::Allowed);
}
