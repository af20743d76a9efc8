//! What one VM makes of what it saw and heard.

use tgw_clock::Millis;
use tgw_quarantine::{
    Fingerprint, Ledger,
    ledger::{Change, RECORDS, Verdict, name},
    message::{End, Seen},
};

const PRINT: Fingerprint = Fingerprint { content: 7, caller: 1 };
const OTHER: Fingerprint = Fingerprint { content: 7, caller: 2 };
/// Longer than a request is pending before it is decided.
const LATER: Millis = Millis::new(1_000);

pub(crate) fn end(print: Fingerprint, service: &str, upstream: u32, seen: Seen) -> End {
    End { print, service: name(service), upstream, seen }
}

/// An upstream of `service` ends under a send that this ledger allowed.
fn ends(ledger: &mut Ledger, service: &str, upstream: u32) -> Change {
    let seen = ledger.known(PRINT, service);
    ledger.ended(Millis::ZERO, &end(PRINT, service, upstream, seen))
}

/// One that upstreams of three services ended under, one after the other.
fn deadly() -> Ledger {
    let mut ledger = Ledger::default();
    for number in 0..3 {
        ends(&mut ledger, &format!("s{number}"), number);
    }
    ledger
}

// A rack loses power while a search is at ten of its upstreams. None of these sends knew of another: that is one
// round, and the search goes on, with care.
#[test]
fn upstreams_that_end_at_once_make_one_round() {
    let mut ledger = Ledger::default();
    for upstream in 0..10 {
        let end = end(PRINT, &format!("s{upstream}"), upstream, Seen::default());
        assert_eq!(ledger.ended(Millis::ZERO, &end), Change::Ended);
    }
    assert_eq!(ledger.verdict(LATER, PRINT), Verdict::Careful(1));
    assert!(!ledger.answered(LATER, PRINT, "s0"));
    assert_eq!(ledger.verdict(LATER, PRINT), Verdict::Free);
}

#[test]
fn the_third_round_holds_it_back_and_says_when_to_return() {
    let mut ledger = Ledger::default();
    assert_eq!(ends(&mut ledger, "s0", 0), Change::Ended);
    assert_eq!(ends(&mut ledger, "s1", 1), Change::Ended);
    assert_eq!(ends(&mut ledger, "s2", 2), Change::Held { all: true });
    assert!(matches!(ledger.verdict(LATER, PRINT), Verdict::Held(wait) if wait > LATER));
    assert_eq!(ledger.list(LATER).len(), 1);
}

// A popular search is always in flight. Racks go one after the other, ten of them, and each ends upstreams under it.
// It is answered between: nothing that it ended under adds up.
#[test]
fn a_popular_request_goes_on_while_rack_after_rack_goes() {
    let mut ledger = Ledger::default();
    for rack in 0..10 {
        ends(&mut ledger, "s0", rack);
        assert!(matches!(ledger.verdict(LATER, PRINT), Verdict::Careful(1)));
        ledger.answered(LATER, PRINT, "s0");
        assert_eq!(ledger.verdict(LATER, PRINT), Verdict::Free);
    }
}

// One shard holds a document under which its upstreams end; all others answer. The search goes on without that part.
#[test]
fn a_request_that_one_service_does_not_bear_is_held_back_there_only() {
    let mut ledger = Ledger::default();
    for upstream in 0..3 {
        ends(&mut ledger, "bad", upstream);
        ledger.answered(LATER, PRINT, "good");
    }
    assert!(matches!(ledger.part(LATER, PRINT, "bad"), Verdict::Held(_)));
    assert_eq!(ledger.part(LATER, PRINT, "good"), Verdict::Free);
    assert_eq!(ledger.verdict(LATER, PRINT), Verdict::Free);
}

// Two callers send the same search. What it ended for one is no reason to turn the other away, and reason enough to
// send it to one upstream at a time: upstreams do not see who asks.
#[test]
fn another_callers_request_is_sent_with_care_and_not_held_back() {
    let mut ledger = deadly();
    assert_eq!(ledger.verdict(LATER, OTHER), Verdict::Careful(2));
    let seen = ledger.known(OTHER, "s0");
    let change = ledger.ended(LATER, &end(OTHER, "s0", 9, seen));
    assert_eq!(change, Change::Held { all: true }, "one upstream, not three rounds more");
}

// A search comes from many addresses: a team's hosts, or callers behind a balancer. Each was taken for another caller's
// and ended one upstream more, for as long as new addresses came. What two of them have shown holds for all.
#[test]
fn what_two_callers_have_shown_holds_a_request_back_for_all() {
    let mut ledger = deadly();
    ledger.ended(LATER, &end(OTHER, "s0", 9, ledger.known(OTHER, "s0")));
    let third = Fingerprint { caller: 3, ..PRINT };
    assert!(matches!(ledger.verdict(LATER + LATER, third), Verdict::Held(_)));
    assert!(ledger.holds(third));
    let another = Fingerprint { content: 8, ..PRINT };
    assert_eq!(ledger.verdict(LATER, another), Verdict::Free);
}

// However many callers' requests are held back, the upstreams are tried twice in all; and the answer to a trial lets
// all of them go.
#[test]
fn what_is_held_back_for_all_is_tried_and_let_go_for_all() {
    let mut ledger = deadly();
    ledger.ended(LATER, &end(OTHER, "s0", 9, ledger.known(OTHER, "s0")));
    let third = Fingerprint { caller: 3, ..PRINT };
    let tried = |ledger: &mut Ledger, print| {
        let minutes = (0..600).map(|minute| Millis::new(minute * 60_000));
        minutes.filter(|now| ledger.verdict(*now, print) == Verdict::Careful(2)).count()
    };
    assert_eq!(tried(&mut ledger, third), 2);
    assert_eq!(tried(&mut ledger, OTHER), 0);
    assert!(ledger.answered(LATER, third, "s0"));
    for print in [PRINT, OTHER, third] {
        assert!(!ledger.holds(print));
    }
}

// A caller is answered by the VM at which its request has just ended two upstreams, one after the other, and comes to
// another VM at once. The word of the third is on its way: begun anew, it would end a fourth.
#[test]
fn one_round_before_the_last_it_is_not_begun_anew_for_a_moment() {
    let mut ledger = Ledger::default();
    ends(&mut ledger, "s0", 0);
    ends(&mut ledger, "s1", 1);
    assert!(matches!(ledger.verdict(Millis::new(10), PRINT), Verdict::Held(wait) if wait < LATER));
    assert_eq!(ledger.verdict(LATER, PRINT), Verdict::Careful(2));
}

// The upstreams' next version may bear the request. One VM tries it again, after minutes, with one send; if that ends
// an upstream, once more after twice as long, and then it is for operators to say.
#[test]
fn one_vm_tries_it_again_twice_in_all() {
    const LONG: u64 = 86_400_000;
    let (mut first, mut second) = (deadly(), deadly());
    first.set_vms(1, vec![2]);
    second.set_vms(2, vec![1]);
    let mut trials = Vec::new();
    for minute in 0..300 {
        let now = Millis::new(minute * 60_000);
        for ledger in [&mut first, &mut second] {
            if ledger.verdict(now, PRINT) == Verdict::Careful(2) {
                trials.push(minute);
            }
        }
        let told = [first.take_news(), second.take_news()].into_iter().flatten();
        for hold in told.flat_map(|news| news.holds) {
            first.merge(now, &hold);
            second.merge(now, &hold);
        }
    }
    assert_eq!(trials, [10, 30]);
    let after = first.verdict(Millis::new(LONG), PRINT);
    assert!(matches!(after, Verdict::Held(wait) if wait > LATER), "{after:?}");
}

// Tried again it is answered, as its upstreams bear it now: it is let go at all VMs, and a late word of what it once
// did does not hold it back again.
#[test]
fn an_answer_to_a_trial_lets_it_go_everywhere() {
    let now = Millis::new(600_000);
    let (mut first, mut second) = (deadly(), deadly());
    let old: Vec<End> = first.take_news().unwrap().ends;
    assert_eq!(first.verdict(now, PRINT), Verdict::Careful(2));
    assert!(first.answered(now, PRINT, "s0"));
    let told = first.take_news().unwrap();
    let changes: Vec<Change> = told.holds.iter().map(|hold| second.merge(now, hold)).collect();
    assert!(changes.contains(&Change::Released), "{changes:?}");
    for end in old {
        assert_eq!(second.ended(now, &end), Change::None);
    }
    assert_eq!(second.verdict(now, PRINT), Verdict::Free);
    assert!(second.list(now).is_empty());
}

#[test]
fn operators_let_it_go() {
    let mut ledger = deadly();
    assert!(ledger.release(LATER, PRINT));
    assert!(!ledger.release(LATER, PRINT));
    assert_eq!(ledger.verdict(LATER, PRINT), Verdict::Free);
}

// Somebody sends ten thousand different requests, each of which ends an upstream. Memory is bounded, and the one that
// is held back stays so.
#[test]
fn ten_thousand_different_ones_take_bounded_memory() {
    let mut ledger = deadly();
    for number in 0..10_000 {
        let print = Fingerprint { content: 1_000 + u64::from(number), caller: number };
        ledger.ended(LATER, &end(print, "s", number, Seen::default()));
    }
    assert_eq!(ledger.counts(), (1, RECORDS));
    assert!(ledger.holds(PRINT));
    let mut words = 0;
    while let Some(news) = ledger.take_news() {
        words += news.ends.len();
    }
    assert!(words < RECORDS, "{words} words wait");
}

#[test]
fn what_is_not_asked_for_is_forgotten() {
    let mut ledger = Ledger::default();
    ends(&mut ledger, "s0", 0);
    ledger.sweep(Millis::new(599_000));
    assert!(!ledger.is_empty());
    ledger.sweep(Millis::new(601_000));
    assert!(ledger.is_empty());
}
