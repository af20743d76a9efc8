//! When an answer leaves before its latency target.

use crate::world::{World, record, route, shards};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tgw_clock::Millis;
use tgw_forward::{Margin, plan::Answer};
use tgw_route::Safety;

/// Round trip of a caller in ms, and of its connection.
const ROUND_TRIP_MS: u64 = 6;

/// Wake-up delays of a thread: 0 or 1 ms, and `extra_ms` more for one in twenty.
fn wakeup_delays(extra_ms: u64) -> impl FnMut() -> Millis {
    let mut rng = SmallRng::seed_from_u64(1);
    move || {
        let extra = if rng.random_bool(0.05) { extra_ms } else { 0 };
        Millis::new(rng.random_range(0..=1) + extra)
    }
}

// A query over many shards nearly always has a part behind a pause, so its answer leaves at the
// last moment. On a VM whose wake-ups come up to 9 ms late, one answer in seven missed its latency
// target by a few ms, with enough parts in.
#[test]
fn answers_leave_in_time_despite_late_wakeups() {
    let mut margin = Margin::default();
    let mut delay = wakeup_delays(9);
    (0..2_000).for_each(|_| margin.record_timer_delay(delay()));
    let aim = Millis::new(100);
    let late = (0..2_000).filter(|_| {
        let leaves = aim - margin.lead_time(false);
        // One wake-up each to read the request, to handle the timer and to write, and the round
        // trip.
        let answered = Millis::new(ROUND_TRIP_MS) + delay() + leaves + delay() + delay();
        answered > aim
    });
    assert!(late.count() <= 40, "more than two in a hundred late");
    // The time given up by leaving early stays below the time in which a paused upstream's part
    // arrives.
    assert!(margin.lead_time(false) < Millis::new(40), "{}", margin.lead_time(false));
}

// The VM is slowed for a while and recovers. Its answers wait for their last parts as before.
#[test]
fn margin_shrinks_after_a_slow_phase() {
    let mut margin = Margin::default();
    let mut calm = wakeup_delays(0);
    (0..5_000).for_each(|_| margin.record_timer_delay(calm()));
    let before = margin.lead_time(false);
    (0..100).for_each(|_| margin.record_timer_delay(Millis::new(20)));
    assert!(margin.lead_time(false) > before + Millis::new(30));
    (0..5_000).for_each(|_| margin.record_timer_delay(calm()));
    assert!(margin.lead_time(false) <= before + Millis::new(1));
}

// A caller opens a connection for its request, which reaches the VM one round trip after the
// caller's clock started. An answer that leaves as late as on a kept connection misses its latency
// target.
#[test]
fn first_answer_on_connection_leaves_earlier() {
    let margin = Margin::default();
    let gap = margin.lead_time(true) - margin.lead_time(false);
    assert_eq!(gap, Millis::new(6));
}

// A VM pauses for a second at a time. Its margin must not consume the whole latency target, or
// every answer would leave with the few parts that arrive at once.
#[test]
fn margin_takes_at_most_half_of_latency_target() {
    let mut world = World::new(4);
    (0..200).for_each(|_| world.core.margin.record_timer_delay(Millis::new(1_000)));
    let route = route(shards(4), Safety::Idempotent);
    world.start(&route);
    (0..3).for_each(|index| assert!(world.reply(index, &record(1)).is_none()));
    let began = world.now;
    assert!(matches!(world.run_to_answer(), Answer::Merged { missing: 1, .. }));
    assert_eq!(world.now - began, route.target_latency.mul_f64(0.5));
}
