//! Which of the requests that ran on an upstream ended it.

use crate::{answers::deliver, ledger::termination};
use test_case::test_case;
use tgw_clock::Millis;
use tgw_quarantine::{
    Fingerprint, Tracker,
    message::Rounds,
    tracker::{Change, Verdict},
};

const DEADLY: Fingerprint = Fingerprint { content: 7, caller: 1 };
const HARMLESS: Fingerprint = Fingerprint { content: 4, caller: 2 };
/// Longer than a quarantined request rests before it is tried.
const RESTED: Millis = Millis::new(3_000);

/// Ends an upstream of service `s` under requests that know this many rounds.
fn end(tracker: &mut Tracker, now: Millis, upstream: u32, round: u8, running: &[Fingerprint]) {
    let rounds = Rounds { total: round, service: round };
    for fingerprint in running {
        tracker.record_end(now, &termination(*fingerprint, "s", upstream, rounds));
    }
}

/// Two requests ran on three upstreams that ended one after the other.
fn twins() -> Tracker {
    let mut tracker = Tracker::default();
    for round in 0..3 {
        end(&mut tracker, Millis::ZERO, u32::from(round), round, &[DEADLY, HARMLESS]);
    }
    tracker
}

// A harmless search runs on each upstream that a deadly one ends. It would be refused for ten minutes like the deadly
// one; it is tried after a short rest, and its answer releases it.
#[test]
fn a_request_beside_a_deadly_one_is_tried_after_a_rest() {
    let mut tracker = twins();
    assert!(matches!(tracker.verdict(Millis::ZERO, HARMLESS), Verdict::Rejected(_)));
    assert_eq!(tracker.verdict(RESTED, HARMLESS), Verdict::Limited(2));
    assert!(tracker.record_answer(RESTED, HARMLESS, "s"));
    assert_eq!(tracker.verdict(RESTED, HARMLESS), Verdict::Allowed);
}

// The deadly one of the two is tried as well, and ends one more upstream; from then on it is refused for minutes.
#[test]
fn a_trial_that_ends_its_upstream_confirms_the_quarantine() {
    let mut tracker = twins();
    assert_eq!(tracker.verdict(RESTED, DEADLY), Verdict::Limited(2));
    let known = tracker.known_rounds(DEADLY, "s");
    tracker.record_end(RESTED, &termination(DEADLY, "s", 9, known));
    let minutes = (1..9).map(|minute| Millis::new(minute * 60_000));
    for now in minutes {
        assert!(matches!(tracker.verdict(now, DEADLY), Verdict::Rejected(_)), "{now:?}");
    }
    assert_eq!(tracker.take_confirmed(), [DEADLY], "it is confirmed once");
    let shown = tracker.quarantined(RESTED);
    let confirmed: Vec<_> = shown.iter().filter(|request| request.confirmed).collect();
    assert_eq!(confirmed.len(), 1, "operators see which one it is: {shown:?}");
}

// Once the deadly one is known for upstreams that it ended alone, the ends that both share no longer count against the
// harmless one, which needs not wait for its rest.
#[test]
fn a_confirmed_request_explains_the_ends_under_others() {
    let mut tracker = twins();
    tracker.verdict(RESTED, DEADLY);
    let known = tracker.known_rounds(DEADLY, "s");
    tracker.record_end(RESTED, &termination(DEADLY, "s", 9, known));
    tracker.verdict(RESTED + RESTED + RESTED, DEADLY);
    let rounds = Rounds { total: 0, service: 0 };
    let late = Fingerprint { content: 5, caller: 3 };
    let change = tracker.record_end(RESTED, &termination(late, "s", 9, rounds));
    assert_eq!(change, Change::UpstreamEnded);
    assert_eq!(
        tracker.verdict(RESTED, late),
        Verdict::Allowed,
        "its upstream was ended by another"
    );
}

// A deadly search runs beside a popular one, which was answered before, or beside others that are answered elsewhere
// meanwhile. What it shares with these leaves no doubt: no trial is needed, which would end one upstream more.
#[test_case(true; "answered before")]
#[test_case(false; "answered since")]
fn answered_requests_leave_no_doubt(before: bool) {
    let mut tracker = Tracker::default();
    if before {
        tracker.record_answer(Millis::ZERO, HARMLESS, "s");
    }
    for round in 0..3 {
        end(&mut tracker, Millis::ZERO, u32::from(round), round, &[DEADLY, HARMLESS]);
    }
    if !before {
        tracker.record_answer(Millis::ZERO, HARMLESS, "s");
    }
    assert_eq!(
        tracker.verdict(RESTED, HARMLESS),
        if before { Verdict::Limited(2) } else { Verdict::Allowed }
    );
    let verdict = tracker.verdict(RESTED, DEADLY);
    assert!(
        matches!(verdict, Verdict::Rejected(wait) if wait > Millis::new(500_000)),
        "{verdict:?}"
    );
}

// Two searches ran on the same two upstreams. Sent again at once, both would reach the next upstream together, and its
// end would quarantine both. One goes first, whichever VM it waits at; once it is answered, the other needs not wait.
#[test]
fn requests_that_ran_on_the_same_upstreams_go_one_after_the_other() {
    let (mut tracker, mut other) = (Tracker::default(), Tracker::default());
    for round in 0..2 {
        end(&mut tracker, Millis::ZERO, u32::from(round), round, &[DEADLY]);
        end(&mut other, Millis::ZERO, u32::from(round), round, &[HARMLESS]);
    }
    deliver(Millis::ZERO, &mut tracker, &mut other);
    deliver(Millis::ZERO, &mut other, &mut tracker);
    let (first, second) = (other.turn(HARMLESS, "s").unwrap(), tracker.turn(DEADLY, "s").unwrap());
    assert!(first + Millis::new(50) < second, "{first:?} and {second:?}");
    other.record_answer(first, HARMLESS, "s");
    deliver(first, &mut other, &mut tracker);
    assert_eq!(tracker.turn(DEADLY, "s"), Some(first));
    assert_eq!(other.turn(HARMLESS, "s"), None);
}

/// The harmless one of two requests is confirmed by ends of its own, and the operators release it.
fn released_by_operators() -> Tracker {
    let mut tracker = Tracker::default();
    for round in 0..3 {
        end(&mut tracker, Millis::ZERO, 100 + u32::from(round), round, &[HARMLESS]);
    }
    tracker.verdict(RESTED, HARMLESS);
    assert_eq!(tracker.take_confirmed(), [HARMLESS]);
    assert!(tracker.release(RESTED, HARMLESS));
    tracker
}

// Operators release a search once its upstreams are mended, or another VM does. Later it runs beside a deadly one: what
// ended under it before the release would prove it guilty at once.
#[test_case(false; "here")]
#[test_case(true; "at another VM")]
fn ends_from_before_a_release_prove_nothing(elsewhere: bool) {
    let mut tracker = released_by_operators();
    if elsewhere {
        let mut other = Tracker::default();
        for round in 0..3 {
            end(&mut other, Millis::ZERO, 100 + u32::from(round), round, &[HARMLESS]);
        }
        deliver(RESTED, &mut tracker, &mut other);
        tracker = other;
    }
    let again = RESTED + RESTED + RESTED;
    for round in 0..3 {
        end(&mut tracker, again, u32::from(round), round, &[DEADLY, HARMLESS]);
    }
    assert_eq!(tracker.verdict(again + RESTED, HARMLESS), Verdict::Limited(2), "it is tried");
}

// The caller of a popular search reaches any of many VMs, and the one whose trial is due may get none of its requests:
// ever more VMs may try one that is not confirmed.
#[test]
fn an_unconfirmed_request_is_tried_wherever_it_comes() {
    let mut vms: Vec<Tracker> = (0..76).map(|_| twins()).collect();
    for (number, tracker) in vms.iter_mut().enumerate() {
        let others = (0..76).filter(|other| *other != number as u64).collect();
        tracker.set_vms(number as u64, others);
    }
    let mut tried = |now: Millis| {
        let verdicts = vms.iter_mut().map(|tracker| tracker.verdict(now, HARMLESS));
        verdicts.filter(|verdict| *verdict == Verdict::Limited(2)).count()
    };
    assert_eq!(tried(Millis::new(2_000)), 1, "one at first");
    let later: usize = (3..10).map(|second| tried(Millis::new(second * 1_000))).sum();
    assert!(later >= 75, "{later} more within some seconds");
}
