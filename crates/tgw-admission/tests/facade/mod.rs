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
