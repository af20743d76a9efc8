//! What upstreams tell of their load.

use super::{
    one,
    world::{NEAR, World, entry, route},
};
use test_case::test_case;
use tgw_clock::Millis;
use tgw_forward::{fleet::Key, load::Load, upstream::Sign};
use tgw_route::Safety;

const USUAL: Load = Load { running: 1, waiting: 0, slots: 4, pace: 1.0 };

/// Two upstreams side by side, both known to answer in 12 ms.
fn two() -> (World, Key, Key) {
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
    let ticket = world.core.fleet.send(world.now, key);
    world.now += Millis::new(ms);
    if let Some(load) = load {
        world.core.fleet.loaded(world.now, key, load);
    }
    world.core.fleet.end(world.now, ticket, Sign::Reply);
}

fn chosen(world: &mut World) -> Key {
    world.start(&route(one(), Safety::Once));
    let key = world.orders[0].ticket.upstream;
    world.reply(0, &[]);
    key
}

// An upstream's machine has become nine times slower. By latencies alone it took several late replies, at each VM, until
// it was passed over.
#[test]
fn one_reply_tells_that_an_upstream_is_slow() {
    let (mut world, slow, other) = two();
    reply(&mut world, slow, 12, Some(Load { pace: 9.0, ..USUAL }));
    assert_eq!(chosen(&mut world), other);
    let word = world.core.fleet.tell(world.now, slow);
    assert!(word.is_some(), "the others of the region are told");
}

// A request of a usual upstream took long by itself: its pace says that the next one need not.
#[test]
fn one_long_request_does_not_make_an_upstream_slow() {
    let (mut world, first, _) = two();
    let expected = |world: &World| world.core.fleet.get(first).unwrap().expected(world.now);
    let mut unaware = two().0;
    reply(&mut unaware, first, 60, None);
    reply(&mut world, first, 60, Some(USUAL));
    assert!(expected(&world) < expected(&unaware));
}

// A slow upstream is forgotten after some seconds, so that it is asked again.
#[test]
fn what_was_told_loses_its_worth_with_age() {
    let (mut world, slow, _) = two();
    let expected = |world: &World| world.core.fleet.get(slow).unwrap().expected(world.now);
    let before = expected(&world);
    reply(&mut world, slow, 12, Some(Load { pace: 9.0, ..USUAL }));
    world.pass(20_000);
    assert!(expected(&world) < before * 1.5);
}

// An upstream lies, or something between writes nonsense: it is as if nothing was told.
#[test_case(Load { slots: 0, ..USUAL }; "no slots")]
#[test_case(Load { pace: 0.0, ..USUAL }; "no pace")]
#[test_case(Load { pace: 1e9, ..USUAL }; "an absurd pace")]
#[test_case(Load { running: u32::MAX, ..USUAL }; "absurd numbers")]
fn an_absurd_load_counts_for_nothing(load: Load) {
    let (mut world, first, _) = two();
    let mut unaware = two().0;
    reply(&mut world, first, 12, Some(load));
    reply(&mut unaware, first, 12, None);
    let expected = |world: &World| world.core.fleet.get(first).unwrap().expected(world.now);
    assert_eq!(expected(&world), expected(&unaware));
}

// A load that came before belongs to no later reply.
#[test]
fn a_load_told_before_a_send_says_nothing_of_it() {
    let (mut world, first, _) = two();
    world.core.fleet.loaded(world.now, first, Load { pace: 9.0, ..USUAL });
    world.pass(100);
    let before = world.core.fleet.get(first).unwrap().expected(world.now);
    reply(&mut world, first, 12, None);
    let after = world.core.fleet.get(first).unwrap().expected(world.now);
    assert!(after <= before + 1.0);
}
