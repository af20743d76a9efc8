use std::rc::Rc;
use tgw_admission::{Admission, Decision, Outcome, Query};
use tgw_clock::Millis;

/// Guards against a query that waits or is rejected on a VM that has seen no overload.
#[test]
fn queries_are_admitted_without_evidence_of_overload() {
    let mut admission = Admission::default();
    let services: Vec<Rc<str>> = vec!["s0".into(), "s1".into()];
    for number in 0..200 {
        let now = Millis::new(number);
        let query = Query {
            group: 1,
            route: "full".into(),
            priority: 1,
            tenant: None,
            arrived: now,
            answer_by: now + Millis::new(100),
            deadline: now + Millis::new(500),
            max_missing: 0,
            retry_spread: 0,
        };
        let Decision::Admitted(permit) = admission.request(now, query, &services) else {
            panic!("not admitted: query {number}");
        };
        if number % 2 == 0 {
            admission.finish(now, permit, Outcome::InTime);
        }
    }
}

fn query(now: Millis, priority: u32) -> Query {
    Query {
        group: 1,
        route: "full".into(),
        priority,
        tenant: None,
        arrived: now,
        answer_by: now + Millis::new(100),
        deadline: now + Millis::new(500),
        max_missing: 0,
        retry_spread: 0,
    }
}

/// Guards against rounding that rejects the last of several priorities while no limit is in force.
#[test]
fn no_priority_is_rejected_without_evidence_of_overload() {
    let mut admission = Admission::default();
    let services: Vec<Rc<str>> = vec!["s0".into()];
    for number in 0..2_000 {
        let now = Millis::new(number);
        let priority = [17, 34, 34, 1, 255][number as usize % 5];
        let decision = admission.request(now, query(now, priority), &services);
        assert!(matches!(decision, Decision::Admitted(_)), "{decision:?} of query {number}");
    }
}

/// Guards against retries that cannot be in time any more and take the place of queries that can.
#[test]
fn a_timeout_below_the_usual_ones_shows_a_retry() {
    let mut admission = Admission::default();
    let route: Rc<str> = "full".into();
    for number in 0..200 {
        let stated = if number % 4 == 3 { 500 } else { 1_500 };
        admission.elapsed(&route, Millis::new(stated));
    }
    let mut elapsed = |stated| admission.elapsed(&route, Millis::new(stated)).as_f64();
    assert_eq!(elapsed(1_500), 0.0);
    assert_eq!(elapsed(500), 0.0, "many callers begin with that timeout");
    assert_eq!(elapsed(1_100), 400.0);
    assert_eq!(elapsed(430), 70.0);
    assert_eq!(elapsed(9_000), 0.0, "longer than any usual timeout");
    for stated in 0..1_000 {
        elapsed(2_000 + stated);
    }
    assert_eq!(elapsed(700), 0.0, "no timeout is usual");
}
