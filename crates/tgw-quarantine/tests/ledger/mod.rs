//! Decisions of one VM, by what it saw and what other VMs reported.

use tgw_clock::Millis;
use tgw_quarantine::{
    Fingerprint, Tracker,
    message::{Rounds, Termination},
    tracker::{Change, MAX_RECORDS, Verdict, hash_name},
};

const FINGERPRINT: Fingerprint = Fingerprint { content: 7, caller: 1 };
const OTHER_CALLER: Fingerprint = Fingerprint { content: 7, caller: 2 };
/// Longer than a request waits for the send that decides on its quarantine.
const LATER: Millis = Millis::new(1_000);

pub(crate) fn termination(
    fingerprint: Fingerprint,
    service: &str,
    upstream: u32,
    rounds: Rounds,
) -> Termination {
    Termination { fingerprint, service: hash_name(service), upstream, rounds }
}

/// Ends an upstream of `service` under a send that this tracker allowed.
fn end_upstream(tracker: &mut Tracker, service: &str, upstream: u32) -> Change {
    let rounds = tracker.known_rounds(FINGERPRINT, service);
    tracker.record_end(Millis::ZERO, &termination(FINGERPRINT, service, upstream, rounds))
}

/// A tracker with one quarantined request: upstreams of three services ended under it, one after the other.
fn quarantined_tracker() -> Tracker {
    let mut tracker = Tracker::default();
    for number in 0..3 {
        end_upstream(&mut tracker, &format!("s{number}"), number);
    }
    tracker
}

// A rack loses power while a search runs on ten of its upstreams. None of these sends knew of another, so they count
// as one round: the search is limited to one upstream at a time, not quarantined.
#[test]
fn simultaneous_upstream_ends_make_one_round() {
    let mut tracker = Tracker::default();
    for upstream in 0..10 {
        let termination =
            termination(FINGERPRINT, &format!("s{upstream}"), upstream, Rounds::default());
        assert_eq!(tracker.record_end(Millis::ZERO, &termination), Change::UpstreamEnded);
    }
    assert_eq!(tracker.verdict(LATER, FINGERPRINT), Verdict::Limited(1));
    assert!(!tracker.record_answer(LATER, FINGERPRINT, "s0"));
    assert_eq!(tracker.verdict(LATER, FINGERPRINT), Verdict::Allowed);
}

#[test]
fn third_round_quarantines_a_request_and_gives_a_retry_time() {
    let mut tracker = Tracker::default();
    assert_eq!(end_upstream(&mut tracker, "s0", 0), Change::UpstreamEnded);
    assert_eq!(end_upstream(&mut tracker, "s1", 1), Change::UpstreamEnded);
    assert_eq!(end_upstream(&mut tracker, "s2", 2), Change::Quarantined { everywhere: true });
    assert!(matches!(tracker.verdict(LATER, FINGERPRINT), Verdict::Rejected(wait) if wait > LATER));
    assert_eq!(tracker.quarantined(LATER).len(), 1);
}

// A popular search is always in flight while ten racks fail one after the other, each with upstreams that run it. The
// answers in between clear the rounds, so that they do not add up to a quarantine.
#[test]
fn answers_between_rack_failures_keep_a_popular_request_allowed() {
    let mut tracker = Tracker::default();
    for rack in 0..10 {
        end_upstream(&mut tracker, "s0", rack);
        assert!(matches!(tracker.verdict(LATER, FINGERPRINT), Verdict::Limited(1)));
        tracker.record_answer(LATER, FINGERPRINT, "s0");
        assert_eq!(tracker.verdict(LATER, FINGERPRINT), Verdict::Allowed);
    }
}

// One shard holds a document that ends its upstreams; all others answer. Only the part at that shard is quarantined,
// and the search goes on without it.
#[test]
fn request_that_ends_one_service_is_quarantined_only_there() {
    let mut tracker = Tracker::default();
    for upstream in 0..3 {
        end_upstream(&mut tracker, "bad", upstream);
        tracker.record_answer(LATER, FINGERPRINT, "good");
    }
    assert!(matches!(tracker.part_verdict(LATER, FINGERPRINT, "bad"), Verdict::Rejected(_)));
    assert_eq!(tracker.part_verdict(LATER, FINGERPRINT, "good"), Verdict::Allowed);
    assert_eq!(tracker.verdict(LATER, FINGERPRINT), Verdict::Allowed);
}

// Two callers send the same search, which is quarantined for one. The other's is not rejected, but sent to one upstream
// at a time, as upstreams do not see the caller.
#[test]
fn other_callers_request_is_limited_but_not_quarantined() {
    let mut tracker = quarantined_tracker();
    assert_eq!(tracker.verdict(LATER, OTHER_CALLER), Verdict::Limited(2));
    let rounds = tracker.known_rounds(OTHER_CALLER, "s0");
    let change = tracker.record_end(LATER, &termination(OTHER_CALLER, "s0", 9, rounds));
    assert_eq!(
        change,
        Change::Quarantined { everywhere: true },
        "after one more upstream, not three more rounds"
    );
}

// A search comes from many addresses: a team's hosts, or callers behind a load balancer. If each address counted as
// another caller, each new one would end one more upstream. Quarantines of two callers apply to all.
#[test]
fn two_quarantined_callers_quarantine_a_request_for_all() {
    let mut tracker = quarantined_tracker();
    tracker.record_end(
        LATER,
        &termination(OTHER_CALLER, "s0", 9, tracker.known_rounds(OTHER_CALLER, "s0")),
    );
    let third = Fingerprint { caller: 3, ..FINGERPRINT };
    assert!(matches!(tracker.verdict(LATER + LATER, third), Verdict::Rejected(_)));
    assert!(tracker.is_quarantined(third));
    let another = Fingerprint { content: 8, ..FINGERPRINT };
    assert_eq!(tracker.verdict(LATER, another), Verdict::Allowed);
}

// A request is quarantined for several callers. It is tried twice in all, not twice per caller, and one answered trial
// releases it for all of them.
#[test]
fn trials_and_release_apply_to_all_callers() {
    let mut tracker = quarantined_tracker();
    tracker.record_end(
        LATER,
        &termination(OTHER_CALLER, "s0", 9, tracker.known_rounds(OTHER_CALLER, "s0")),
    );
    let third = Fingerprint { caller: 3, ..FINGERPRINT };
    let trials = |tracker: &mut Tracker, fingerprint| {
        let minutes = (0..600).map(|minute| Millis::new(minute * 60_000));
        minutes.filter(|now| tracker.verdict(*now, fingerprint) == Verdict::Limited(2)).count()
    };
    assert_eq!(trials(&mut tracker, third), 2);
    assert_eq!(trials(&mut tracker, OTHER_CALLER), 0);
    assert!(tracker.record_answer(LATER, third, "s0"));
    for fingerprint in [FINGERPRINT, OTHER_CALLER, third] {
        assert!(!tracker.is_quarantined(fingerprint));
    }
}

// A request has ended two upstreams, one after the other, through a VM that answers its caller; the caller retries at
// another VM at once. The report of the third upstream is in flight: a new start would end a fourth one.
#[test]
fn request_waits_while_the_deciding_send_is_in_flight() {
    let mut tracker = Tracker::default();
    end_upstream(&mut tracker, "s0", 0);
    end_upstream(&mut tracker, "s1", 1);
    assert!(
        matches!(tracker.verdict(Millis::new(10), FINGERPRINT), Verdict::Rejected(wait) if wait < LATER)
    );
    assert_eq!(tracker.verdict(LATER, FINGERPRINT), Verdict::Limited(2));
}

// The upstreams' next version may be able to run the request. One VM tries it again after minutes, with one send; if
// that ends an upstream, once more after twice the time. After that only operators release it.
#[test]
fn quarantined_request_is_tried_twice_by_one_vm() {
    const DAY_MS: u64 = 86_400_000;
    let (mut first, mut second) = (quarantined_tracker(), quarantined_tracker());
    first.set_vms(1, vec![2]);
    second.set_vms(2, vec![1]);
    let mut trials = Vec::new();
    for minute in 0..300 {
        let now = Millis::new(minute * 60_000);
        for tracker in [&mut first, &mut second] {
            if tracker.verdict(now, FINGERPRINT) == Verdict::Limited(2) {
                trials.push(minute);
            }
        }
        let updates = [first.take_update(), second.take_update()].into_iter().flatten();
        for state in updates.flat_map(|update| update.states) {
            first.merge(now, &state);
            second.merge(now, &state);
        }
    }
    assert_eq!(trials, [10, 30]);
    let after = first.verdict(Millis::new(DAY_MS), FINGERPRINT);
    assert!(matches!(after, Verdict::Rejected(wait) if wait > LATER), "{after:?}");
}

// A trial is answered, as the upstreams can run the request now. It is released on all VMs, and late reports of the
// upstreams that ended before do not quarantine it again.
#[test]
fn answered_trial_releases_a_request_on_all_vms() {
    let now = Millis::new(600_000);
    let (mut first, mut second) = (quarantined_tracker(), quarantined_tracker());
    let old: Vec<Termination> = first.take_update().unwrap().terminations;
    assert_eq!(first.verdict(now, FINGERPRINT), Verdict::Limited(2));
    assert!(first.record_answer(now, FINGERPRINT, "s0"));
    let update = first.take_update().unwrap();
    let changes: Vec<Change> = update.states.iter().map(|state| second.merge(now, state)).collect();
    assert!(changes.contains(&Change::Released), "{changes:?}");
    for termination in old {
        assert_eq!(second.record_end(now, &termination), Change::Unchanged);
    }
    assert_eq!(second.verdict(now, FINGERPRINT), Verdict::Allowed);
    assert!(second.quarantined(now).is_empty());
}

#[test]
fn operators_release_a_request() {
    let mut tracker = quarantined_tracker();
    assert!(tracker.release(LATER, FINGERPRINT));
    assert!(!tracker.release(LATER, FINGERPRINT));
    assert_eq!(tracker.verdict(LATER, FINGERPRINT), Verdict::Allowed);
}

// A caller sends ten thousand different requests, each of which ends an upstream. Memory and the report queue stay
// bounded, and the request that is quarantined already is not evicted.
#[test]
fn ten_thousand_distinct_requests_take_bounded_memory() {
    let mut tracker = quarantined_tracker();
    for number in 0..10_000 {
        let fingerprint = Fingerprint { content: 1_000 + u64::from(number), caller: number };
        tracker.record_end(LATER, &termination(fingerprint, "s", number, Rounds::default()));
    }
    assert_eq!(tracker.counts(), (1, MAX_RECORDS));
    assert!(tracker.is_quarantined(FINGERPRINT));
    let mut reports = 0;
    while let Some(update) = tracker.take_update() {
        reports += update.terminations.len();
    }
    assert!(reports < MAX_RECORDS, "{reports} reports queued");
}

#[test]
fn unused_records_are_evicted() {
    let mut tracker = Tracker::default();
    end_upstream(&mut tracker, "s0", 0);
    tracker.evict_expired(Millis::new(599_000));
    assert!(!tracker.is_empty());
    tracker.evict_expired(Millis::new(601_000));
    assert!(tracker.is_empty());
}
