//! Load that upstreams report.

use super::{
    one_service,
    world::{NEAR, World, entry, route},
};
use test_case::test_case;
use tgw_clock::Millis;
use tgw_forward::{fleet::Key, load::Load, upstream::SendOutcome};
use tgw_route::Safety;

const USUAL_LOAD: Load = Load { running: 1, waiting: 0, slots: 4, pace: 1.0 };

/// Two equally near upstreams, both known to answer in 12 ms.
fn two_upstreams() -> (World, Key, Key) {
    let mut world = World::new(1);
    world.core.fleet.remove("s0-far");
    world.core.fleet.put(world.now, entry("s0-other", "s0", NEAR));
    let key = |id| world.core.fleet.key(id).unwrap();
    let (first, other) = (key("s0-near"), key("s0-other"));
    for _ in 0..8 {
        reply(&mut world, first, 12, None);
        reply(&mut world, other, 13, None);
    }
    (world, first, other)
}

/// An upstream replies after `ms`.
fn reply(world: &mut World, key: Key, ms: u64, load: Option<Load>) {
    let ticket = world.core.fleet.record_send(world.now, key);
    world.now += Millis::new(ms);
    if let Some(load) = load {
        world.core.fleet.record_load(world.now, key, load);
    }
    world.core.fleet.record_outcome(world.now, ticket, SendOutcome::Reply);
}

fn chosen_upstream(world: &mut World) -> Key {
    world.start(&route(one_service(), Safety::AtMostOnce));
    let key = world.orders[0].ticket.upstream;
    world.reply(0, &[]);
    key
}

// An upstream's machine becomes nine times slower. From latencies alone each VM needed several late
// replies to detect it.
#[test]
fn one_load_report_reveals_slow_upstream() {
    let (mut world, slow, other) = two_upstreams();
    reply(&mut world, slow, 12, Some(Load { pace: 9.0, ..USUAL_LOAD }));
    assert_eq!(chosen_upstream(&mut world), other);
    let report = world.core.fleet.take_report(world.now, slow);
    assert!(report.is_some(), "the upstream is reported to the other VMs of the region");
}

// A request to an upstream of usual speed takes long by itself: the reported pace shows that the
// next one need not.
#[test]
fn one_long_request_does_not_make_an_upstream_slow() {
    let (mut world, first, _) = two_upstreams();
    let expected =
        |world: &World| world.core.fleet.get(first).unwrap().expected_latency_ms(world.now);
    let mut unreported = two_upstreams().0;
    reply(&mut unreported, first, 60, None);
    reply(&mut world, first, 60, Some(USUAL_LOAD));
    assert!(expected(&world) < expected(&unreported));
}

// The latency of a slow upstream decays within seconds, so that it is tried again.
#[test]
fn reported_load_decays() {
    let (mut world, slow, _) = two_upstreams();
    let expected =
        |world: &World| world.core.fleet.get(slow).unwrap().expected_latency_ms(world.now);
    let before = expected(&world);
    reply(&mut world, slow, 12, Some(Load { pace: 9.0, ..USUAL_LOAD }));
    world.advance(20_000);
    assert!(expected(&world) < before * 1.5);
}

// An upstream reports a false load, or something between corrupts the report: it is ignored.
#[test_case(Load { slots: 0, ..USUAL_LOAD }; "no slots")]
#[test_case(Load { pace: 0.0, ..USUAL_LOAD }; "no pace")]
#[test_case(Load { pace: 1e9, ..USUAL_LOAD }; "an absurd pace")]
#[test_case(Load { running: u32::MAX, ..USUAL_LOAD }; "absurd numbers")]
fn implausible_load_is_ignored(load: Load) {
    let (mut world, first, _) = two_upstreams();
    let mut unreported = two_upstreams().0;
    reply(&mut world, first, 12, Some(load));
    reply(&mut unreported, first, 12, None);
    let expected =
        |world: &World| world.core.fleet.get(first).unwrap().expected_latency_ms(world.now);
    assert_eq!(expected(&world), expected(&unreported));
}

// A load reported before a send does not apply to its reply.
#[test]
fn load_reported_before_send_does_not_apply() {
    let (mut world, first, _) = two_upstreams();
    world.core.fleet.record_load(world.now, first, Load { pace: 9.0, ..USUAL_LOAD });
    world.advance(100);
    let before = world.core.fleet.get(first).unwrap().expected_latency_ms(world.now);
    reply(&mut world, first, 12, None);
    let after = world.core.fleet.get(first).unwrap().expected_latency_ms(world.now);
    assert!(after <= before + 1.0);
}
