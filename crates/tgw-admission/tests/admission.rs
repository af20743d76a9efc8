//! Tests of admission control.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

mod facade;
mod load;
mod queue;
mod region;

use load::Load;
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
