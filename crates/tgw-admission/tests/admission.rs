//! Tests of admission control.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

mod facade;
mod load;
mod queue;

use load::Load;
use tgw_admission::Decision;
use tgw_clock::Millis;

/// Guards against overload that goes unnoticed, and a limit that stays after it.
#[test]
fn a_standing_queue_rejects_queries_until_it_is_gone() {
    let mut load = Load::new(4);
    load.run(1_000, 10, |_| 20);
    assert!(!load.admission.is_overloaded(load.now));
    let (_, rejected) = load.run(2_000, 10, |_| 180);
    assert!(rejected > 20, "{rejected} rejected");
    load.run(2_000, 10, |_| 20);
    let (_, rejected) = load.run(2_500, 10, |_| 20);
    assert_eq!(rejected, 0);
    assert!(!load.admission.is_overloaded(load.now));
}

/// Guards against a paused, slow or dead upstream of three that is taken for overload.
#[test]
fn one_slow_upstream_of_three_is_no_overload() {
    let mut load = Load::new(4);
    load.run(1_000, 10, |_| 20);
    let (_, rejected) = load.run(3_000, 10, |number| if number % 3 == 0 { 180 } else { 20 });
    assert_eq!(rejected, 0);
}

/// Guards against one slow upstream that gets all requests of some services and is taken for overload.
#[test]
fn one_slow_upstream_is_no_overload() {
    let mut load = Load::new(4);
    load.run(1_000, 10, |_| 20);
    load.slow = Some((0, 2));
    let (_, rejected) = load.run(3_000, 10, |_| 20);
    assert_eq!(rejected, 0);
}

/// Guards against times that go back, and latencies of zero, that panic or reject queries.
#[test]
fn replies_at_odd_times_are_no_overload() {
    let mut load = Load::new(4);
    load.run(500, 10, |_| 0);
    load.now = Millis::new(100);
    let (_, rejected) = load.run(500, 10, |_| 0);
    assert_eq!(rejected, 0);
}

/// Guards against urgent queries that wait until less urgent ones have ended.
#[test]
fn an_urgent_query_does_not_wait_for_less_urgent_ones() {
    let mut load = Load::new(4);
    load.run(1_000, 10, |_| 20);
    load.run(2_000, 10, |_| 180);
    assert!(load.admission.is_overloaded(load.now));
    let (_, rejected) = load.run(100, 10, |_| 180);
    assert!(rejected > 0);
    load.priority = 0;
    let (admitted, rejected) = load.run(10, 10, |_| 180);
    assert_eq!((admitted, rejected), (1, 0));
}

/// Guards against queries that are rejected for the sake of a less urgent route with a shorter target.
#[test]
fn a_less_urgent_route_does_not_bound_the_wait_of_urgent_ones() {
    let rejected_beside = |priority: u32| {
        let mut load = Load::new(4);
        load.run(1_000, 10, |_| 20);
        load.priority = priority;
        load.route = ("short", Millis::new(100));
        load.run(10, 10, |_| 20);
        (load.priority, load.route) = (1, ("full", Millis::new(200)));
        load.run(3_000, 10, |_| 65).1
    };
    assert_eq!(rejected_beside(2), 0);
    assert!(rejected_beside(0) > 0);
}

/// Guards against state that grows with each version of the configuration.
#[test]
fn routes_and_services_that_are_gone_are_dropped() {
    let mut load = Load::new(4);
    load.run(1_000, 10, |_| 20);
    load.run(2_000, 10, |_| 180);
    load.end_all();
    load.admission.retain(|route| route == "full", |_| true);
    assert!(load.admission.is_overloaded(load.now), "the set of services is still configured");
    load.admission.retain(|_| false, |_| false);
    assert!(!load.admission.is_overloaded(load.now));
}

/// Guards against a VM with few queries that admits none of the last priority for as long as it is overloaded.
#[test]
fn the_last_priority_is_not_starved_on_a_vm_with_few_queries() {
    let mut load = Load::new(4);
    load.run(6_000, 150, |_| 20);
    let mut admitted = [0, 0];
    for number in 0..600 {
        let last = usize::from(number % 4 == 3);
        load.priority = [1, 200][last];
        let (started, _) = load.run(150, 150, |_| 140);
        admitted[last] += if number >= 100 { started } else { 0 };
    }
    assert!(load.admission.is_overloaded(load.now));
    let [urgent, last] = admitted;
    assert!(last > 0 && urgent > 3 * last, "{urgent} urgent, {last} of the last priority");
}

/// Guards against a query that loses its place in the queue because its plan asked before its turn had come.
#[test]
fn a_query_that_asks_too_early_keeps_its_place() {
    let mut load = Load::new(4);
    load.run(1_000, 10, |_| 20);
    while !load.admission.is_overloaded(load.now) {
        load.run(10, 10, |_| 180);
    }
    load.route = ("patient", Millis::new(800));
    let mut ticket = load.ask_until_queued();
    for _ in 0..3 {
        load.now += Millis::new(1);
        let Decision::Queued(kept) = load.admission.poll(load.now, ticket) else {
            panic!("its turn has come")
        };
        ticket = kept;
    }
    load.end_all();
    assert_eq!(load.admission.take_wakeups()[..], [ticket.number()]);
    let decision = load.admission.poll(load.now, ticket);
    assert!(matches!(decision, Decision::Admitted(_)), "{decision:?}");
}

/// Guards against a query that waits until its caller's deadline and is then answered with a timeout.
#[test]
fn a_query_waits_no_longer_than_its_deadline_allows() {
    let mut load = Load::new(4);
    load.run(1_000, 10, |_| 20);
    while !load.admission.is_overloaded(load.now) {
        load.run(10, 10, |_| 180);
    }
    load.route = ("patient", Millis::new(8_000));
    let arrived = load.now;
    let ticket = load.ask_until_queued();
    assert!(ticket.expires_at() < arrived + Millis::new(1_000));
    load.now = ticket.expires_at();
    let decision = load.admission.poll(load.now, ticket);
    assert!(matches!(decision, Decision::Rejected(_)), "{decision:?}");
}
