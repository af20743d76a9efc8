//! Decisions of one VM, by what it saw and what other VMs reported.

use tgw_clock::Millis;
use tgw_quarantine::{
    Fingerprint, Ledger,
    ledger::{Change, MAX_RECORDS, Verdict, name},
    message::{End, Seen},
};

const FINGERPRINT: Fingerprint = Fingerprint { content: 7, caller: 1 };
const OTHER_CALLER: Fingerprint = Fingerprint { content: 7, caller: 2 };
/// Longer than a request waits for the send that decides on its quarantine.
const LATER: Millis = Millis::new(1_000);

pub(crate) fn end(fingerprint: Fingerprint, service: &str, upstream: u32, seen: Seen) -> End {
    End { print: fingerprint, service: name(service), upstream, seen }
}

/// Ends an upstream of `service` under a send that this ledger allowed.
fn end_upstream(ledger: &mut Ledger, service: &str, upstream: u32) -> Change {
    let seen = ledger.known(FINGERPRINT, service);
    ledger.ended(Millis::ZERO, &end(FINGERPRINT, service, upstream, seen))
}

/// A ledger with one quarantined request: upstreams of three services ended under it, one after the other.
fn quarantined_ledger() -> Ledger {
    let mut ledger = Ledger::default();
    for number in 0..3 {
        end_upstream(&mut ledger, &format!("s{number}"), number);
    }
    ledger
}

// A rack loses power while a search runs on ten of its upstreams. None of these sends knew of another, so they count
// as one round: the search is limited to one upstream at a time, not quarantined.
#[test]
fn simultaneous_upstream_ends_make_one_round() {
    let mut ledger = Ledger::default();
    for upstream in 0..10 {
        let end = end(FINGERPRINT, &format!("s{upstream}"), upstream, Seen::default());
        assert_eq!(ledger.ended(Millis::ZERO, &end), Change::Ended);
    }
    assert_eq!(ledger.verdict(LATER, FINGERPRINT), Verdict::Careful(1));
    assert!(!ledger.answered(LATER, FINGERPRINT, "s0"));
    assert_eq!(ledger.verdict(LATER, FINGERPRINT), Verdict::Free);
}

#[test]
fn third_round_quarantines_a_request_and_gives_a_retry_time() {
    let mut ledger = Ledger::default();
    assert_eq!(end_upstream(&mut ledger, "s0", 0), Change::Ended);
    assert_eq!(end_upstream(&mut ledger, "s1", 1), Change::Ended);
    assert_eq!(end_upstream(&mut ledger, "s2", 2), Change::Held { all: true });
    assert!(matches!(ledger.verdict(LATER, FINGERPRINT), Verdict::Held(wait) if wait > LATER));
    assert_eq!(ledger.list(LATER).len(), 1);
}

// A popular search is always in flight while ten racks fail one after the other, each with upstreams that run it. The
// answers in between clear the rounds, so that they do not add up to a quarantine.
#[test]
fn answers_between_rack_failures_keep_a_popular_request_allowed() {
    let mut ledger = Ledger::default();
    for rack in 0..10 {
        end_upstream(&mut ledger, "s0", rack);
        assert!(matches!(ledger.verdict(LATER, FINGERPRINT), Verdict::Careful(1)));
        ledger.answered(LATER, FINGERPRINT, "s0");
        assert_eq!(ledger.verdict(LATER, FINGERPRINT), Verdict::Free);
    }
}

// One shard holds a document that ends its upstreams; all others answer. Only the part at that shard is quarantined,
// and the search goes on without it.
#[test]
fn request_that_ends_one_service_is_quarantined_only_there() {
    let mut ledger = Ledger::default();
    for upstream in 0..3 {
        end_upstream(&mut ledger, "bad", upstream);
        ledger.answered(LATER, FINGERPRINT, "good");
    }
    assert!(matches!(ledger.part(LATER, FINGERPRINT, "bad"), Verdict::Held(_)));
    assert_eq!(ledger.part(LATER, FINGERPRINT, "good"), Verdict::Free);
    assert_eq!(ledger.verdict(LATER, FINGERPRINT), Verdict::Free);
}

// Two callers send the same search, which is quarantined for one. The other's is not rejected, but sent to one upstream
// at a time, as upstreams do not see the caller.
#[test]
fn other_callers_request_is_limited_but_not_quarantined() {
    let mut ledger = quarantined_ledger();
    assert_eq!(ledger.verdict(LATER, OTHER_CALLER), Verdict::Careful(2));
    let seen = ledger.known(OTHER_CALLER, "s0");
    let change = ledger.ended(LATER, &end(OTHER_CALLER, "s0", 9, seen));
    assert_eq!(
        change,
        Change::Held { all: true },
        "after one more upstream, not three more rounds"
    );
}

// A search comes from many addresses: a team's hosts, or callers behind a load balancer. If each address counted as
// another caller, each new one would end one more upstream. Quarantines of two callers apply to all.
#[test]
fn two_quarantined_callers_quarantine_a_request_for_all() {
    let mut ledger = quarantined_ledger();
    ledger.ended(LATER, &end(OTHER_CALLER, "s0", 9, ledger.known(OTHER_CALLER, "s0")));
    let third = Fingerprint { caller: 3, ..FINGERPRINT };
    assert!(matches!(ledger.verdict(LATER + LATER, third), Verdict::Held(_)));
    assert!(ledger.holds(third));
    let another = Fingerprint { content: 8, ..FINGERPRINT };
    assert_eq!(ledger.verdict(LATER, another), Verdict::Free);
}

// A request is quarantined for several callers. It is tried twice in all, not twice per caller, and one answered trial
// releases it for all of them.
#[test]
fn trials_and_release_apply_to_all_callers() {
    let mut ledger = quarantined_ledger();
    ledger.ended(LATER, &end(OTHER_CALLER, "s0", 9, ledger.known(OTHER_CALLER, "s0")));
    let third = Fingerprint { caller: 3, ..FINGERPRINT };
    let trials = |ledger: &mut Ledger, fingerprint| {
        let minutes = (0..600).map(|minute| Millis::new(minute * 60_000));
        minutes.filter(|now| ledger.verdict(*now, fingerprint) == Verdict::Careful(2)).count()
    };
    assert_eq!(trials(&mut ledger, third), 2);
    assert_eq!(trials(&mut ledger, OTHER_CALLER), 0);
    assert!(ledger.answered(LATER, third, "s0"));
    for fingerprint in [FINGERPRINT, OTHER_CALLER, third] {
        assert!(!ledger.holds(fingerprint));
    }
}

// A request has ended two upstreams, one after the other, through a VM that answers its caller; the caller retries at
// another VM at once. The report of the third upstream is in flight: a new start would end a fourth one.
#[test]
fn request_waits_while_the_deciding_send_is_in_flight() {
    let mut ledger = Ledger::default();
    end_upstream(&mut ledger, "s0", 0);
    end_upstream(&mut ledger, "s1", 1);
    assert!(
        matches!(ledger.verdict(Millis::new(10), FINGERPRINT), Verdict::Held(wait) if wait < LATER)
    );
    assert_eq!(ledger.verdict(LATER, FINGERPRINT), Verdict::Careful(2));
}

// The upstreams' next version may be able to run the request. One VM tries it again after minutes, with one send; if
// that ends an upstream, once more after twice the time. After that only operators release it.
#[test]
fn quarantined_request_is_tried_twice_by_one_vm() {
    const DAY_MS: u64 = 86_400_000;
    let (mut first, mut second) = (quarantined_ledger(), quarantined_ledger());
    first.set_vms(1, vec![2]);
    second.set_vms(2, vec![1]);
    let mut trials = Vec::new();
    for minute in 0..300 {
        let now = Millis::new(minute * 60_000);
        for ledger in [&mut first, &mut second] {
            if ledger.verdict(now, FINGERPRINT) == Verdict::Careful(2) {
                trials.push(minute);
            }
        }
        let updates = [first.take_news(), second.take_news()].into_iter().flatten();
        for state in updates.flat_map(|update| update.holds) {
            first.merge(now, &state);
            second.merge(now, &state);
        }
    }
    assert_eq!(trials, [10, 30]);
    let after = first.verdict(Millis::new(DAY_MS), FINGERPRINT);
    assert!(matches!(after, Verdict::Held(wait) if wait > LATER), "{after:?}");
}

// A trial is answered, as the upstreams can run the request now. It is released on all VMs, and late reports of the
// upstreams that ended before do not quarantine it again.
#[test]
fn answered_trial_releases_a_request_on_all_vms() {
    let now = Millis::new(600_000);
    let (mut first, mut second) = (quarantined_ledger(), quarantined_ledger());
    let old: Vec<End> = first.take_news().unwrap().ends;
    assert_eq!(first.verdict(now, FINGERPRINT), Verdict::Careful(2));
    assert!(first.answered(now, FINGERPRINT, "s0"));
    let update = first.take_news().unwrap();
    let changes: Vec<Change> = update.holds.iter().map(|state| second.merge(now, state)).collect();
    assert!(changes.contains(&Change::Released), "{changes:?}");
    for end in old {
        assert_eq!(second.ended(now, &end), Change::None);
    }
    assert_eq!(second.verdict(now, FINGERPRINT), Verdict::Free);
    assert!(second.list(now).is_empty());
}

#[test]
fn operators_release_a_request() {
    let mut ledger = quarantined_ledger();
    assert!(ledger.release(LATER, FINGERPRINT));
    assert!(!ledger.release(LATER, FINGERPRINT));
    assert_eq!(ledger.verdict(LATER, FINGERPRINT), Verdict::Free);
}

// A caller sends ten thousand different requests, each of which ends an upstream. Memory and the report queue stay
// bounded, and the request that is quarantined already is not evicted.
#[test]
fn ten_thousand_distinct_requests_take_bounded_memory() {
    let mut ledger = quarantined_ledger();
    for number in 0..10_000 {
        let fingerprint = Fingerprint { content: 1_000 + u64::from(number), caller: number };
        ledger.ended(LATER, &end(fingerprint, "s", number, Seen::default()));
    }
    assert_eq!(ledger.counts(), (1, MAX_RECORDS));
    assert!(ledger.holds(FINGERPRINT));
    let mut reports = 0;
    while let Some(update) = ledger.take_news() {
        reports += update.ends.len();
    }
    assert!(reports < MAX_RECORDS, "{reports} reports queued");
}

#[test]
fn unused_records_are_evicted() {
    let mut ledger = Ledger::default();
    end_upstream(&mut ledger, "s0", 0);
    ledger.sweep(Millis::new(599_000));
    assert!(!ledger.is_empty());
    ledger.sweep(Millis::new(601_000));
    assert!(ledger.is_empty());
}
