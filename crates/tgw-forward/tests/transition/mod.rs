//! What the log says of upstreams that leave or come back.

use crate::world::{NEAR, World, entry, route, shards};
use tgw_clock::Millis;
use tgw_forward::{
    transition::{Departure, Kind},
    upstream::Entry,
};
use tgw_route::Safety;

fn near(draining: bool) -> Entry {
    Entry { draining, ..entry("s0-near", "s0", NEAR) }
}

// A request reaches an upstream late. The log must tell a request that was written in time and read
// late from one that was written late.
#[test]
fn departure_names_the_last_write_and_the_sends_in_flight() {
    let mut world = World::new(1);
    world.start(&route(shards(1), Safety::Idempotent));
    let ticket = world.orders[0].ticket;
    let started = world.now;
    assert!(world.core.authorize_write(started, None, ticket));
    world.advance(50);
    world.core.fleet.put(world.now, near(true));
    let (last_write, oldest_send) = (Some(started), Some(started));
    let departure = Departure { last_write, oldest_send, in_flight: 1 };
    let transitions = world.core.fleet.take_transitions();
    assert_eq!((&*transitions[0].id, &transitions[0].kind), ("s0-near", &Kind::Left(departure)));
    world.core.fleet.remove("s0-near");
    assert!(world.core.fleet.take_transitions().is_empty(), "it had left before");
}

// An upstream that drains is taken back into service by an older entry: this must show in the log.
#[test]
fn return_of_a_draining_upstream_is_recorded() {
    let mut world = World::new(1);
    world.core.fleet.put(Millis::ZERO, near(true));
    world.core.fleet.put(Millis::ZERO, near(false));
    let kinds: Vec<Kind> =
        world.core.fleet.take_transitions().into_iter().map(|t| t.kind).collect();
    assert_eq!(kinds, [Kind::Left(Departure::default()), Kind::Returned]);
}
