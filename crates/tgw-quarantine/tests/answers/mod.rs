//! Answers to a request, before and after upstreams end under it, at this VM and at others.

use crate::ledger::termination;
use tgw_clock::Millis;
use tgw_quarantine::{
    Fingerprint, Tracker,
    message::{Rounds, Update},
    tracker::{Change, Verdict},
};

const FINGERPRINT: Fingerprint = Fingerprint { content: 7, caller: 1 };
/// Longer than a request waits for the send that decides on its quarantine.
const LATER: Millis = Millis::new(1_000);

fn round(number: u8) -> Rounds {
    Rounds { total: number, service: 0 }
}

/// Ends one upstream after another under the request, in these rounds.
fn end_upstreams(tracker: &mut Tracker, now: Millis, rounds: std::ops::Range<u8>) {
    for number in rounds {
        let service = format!("s{number}");
        tracker
            .record_end(now, &termination(FINGERPRINT, &service, u32::from(number), round(number)));
    }
}

pub(crate) fn apply(now: Millis, tracker: &mut Tracker, update: &Update) -> Vec<Change> {
    let ends = update.terminations.iter().map(|end| tracker.record_end(now, end));
    let mut changes: Vec<Change> = ends.collect();
    changes.extend(update.answers.iter().map(|answer| tracker.merge_answer(now, answer)));
    changes.extend(update.states.iter().map(|state| tracker.merge(now, state)));
    changes
}

pub(crate) fn deliver(now: Millis, from: &mut Tracker, to: &mut Tracker) {
    while let Some(update) = from.take_update() {
        apply(now, to, &update);
    }
}

// Six shards answer a search, and a moment later three upstreams end under it, one after the other: it would be
// refused for ten minutes although it was answered just now.
#[test]
fn answers_from_before_the_ends_count() {
    let mut tracker = Tracker::default();
    for shard in 0..6 {
        tracker.record_answer(Millis::ZERO, FINGERPRINT, &format!("s{shard}"));
    }
    end_upstreams(&mut tracker, Millis::new(300), 0..3);
    assert_eq!(tracker.verdict(LATER, FINGERPRINT), Verdict::Limited(2));
    assert!(tracker.quarantined(LATER).is_empty());
}

// A search was answered a moment ago, and an upgrade of the upstreams makes it end them from now on: it would be sent
// without end.
#[test]
fn earlier_answers_outweigh_three_rounds_only() {
    let mut tracker = Tracker::default();
    tracker.record_answer(Millis::ZERO, FINGERPRINT, "s0");
    end_upstreams(&mut tracker, Millis::new(300), 0..5);
    assert!(!tracker.is_quarantined(FINGERPRINT));
    end_upstreams(&mut tracker, Millis::new(300), 5..6);
    assert!(tracker.is_quarantined(FINGERPRINT));
}

// A search was last answered ten minutes ago; since then an upgrade may have made it end upstreams.
#[test]
fn old_answers_do_not_count() {
    let mut tracker = Tracker::default();
    tracker.record_answer(Millis::ZERO, FINGERPRINT, "s0");
    end_upstreams(&mut tracker, Millis::new(600_000), 0..3);
    assert!(tracker.is_quarantined(FINGERPRINT));
}

// One VM has answers to a search, another sees three upstreams end under it: without word of the answers it would
// quarantine the search on all VMs.
#[test]
fn answers_at_one_vm_count_at_all() {
    let (mut answered, mut other) = (Tracker::default(), Tracker::default());
    answered.record_answer(Millis::ZERO, FINGERPRINT, "s0");
    end_upstreams(&mut other, Millis::new(300), 0..3);
    assert!(other.is_quarantined(FINGERPRINT));
    deliver(Millis::new(310), &mut other, &mut answered);
    deliver(Millis::new(320), &mut answered, &mut other);
    assert!(!other.is_quarantined(FINGERPRINT));
    deliver(Millis::new(330), &mut other, &mut answered);
    assert!(!answered.is_quarantined(FINGERPRINT));
}

// Two VMs know two rounds of a search, and one of them sees it answered. If it told nobody, one more upstream that ends
// under a send of the other would quarantine the search on all VMs.
#[test]
fn an_answer_clears_the_rounds_of_all_vms() {
    let (mut answered, mut other) = (Tracker::default(), Tracker::default());
    end_upstreams(&mut answered, Millis::ZERO, 0..2);
    deliver(Millis::ZERO, &mut answered, &mut other);
    answered.record_answer(LATER, FINGERPRINT, "s0");
    assert_eq!(answered.verdict(LATER, FINGERPRINT), Verdict::Allowed);
    deliver(LATER, &mut answered, &mut other);
    assert_eq!(other.verdict(LATER, FINGERPRINT), Verdict::Allowed);
    end_upstreams(&mut other, LATER, 2..3);
    assert_eq!(other.verdict(LATER + LATER, FINGERPRINT), Verdict::Limited(1));
}

// A send is under way with two rounds known when the search is answered elsewhere, and its upstream ends: the rounds
// that the answer cleared would come back with it.
#[test]
fn a_send_from_before_an_answer_does_not_bring_its_rounds_back() {
    let mut tracker = Tracker::default();
    end_upstreams(&mut tracker, Millis::ZERO, 0..2);
    tracker.record_answer(LATER, FINGERPRINT, "s0");
    let late = termination(FINGERPRINT, "s5", 9, round(2));
    assert_eq!(tracker.record_end(LATER, &late), Change::UpstreamEnded);
    assert_eq!(tracker.verdict(LATER, FINGERPRINT), Verdict::Limited(1));
}

// Nothing was answered yet: the empty memory must not pass for answers to the request whose hash is zero.
#[test]
fn no_request_counts_as_answered_at_first() {
    let mut tracker = Tracker::default();
    tracker.record_answer(Millis::ZERO, FINGERPRINT, "s0");
    let zero = Fingerprint { content: 0, caller: 1 };
    for number in 0..3 {
        let end = termination(zero, "s0", u32::from(number), round(number));
        tracker.record_end(Millis::ZERO, &end);
    }
    assert!(tracker.is_quarantined(zero));
}
