//! What VMs of a region tell each other of upstreams.

use crate::world::{NEAR, World, entry, route};
use tgw_forward::upstream::{Sign, Word};
use tgw_route::{Safety, Target};

fn one() -> Target {
    Target::One("s0".into())
}

// One VM of a region finds a paused upstream out. Another, which has sent it nothing for a second,
// passes it over as soon as it is told, and comes back to it once the word is old.
#[test]
fn what_another_vm_says_of_a_late_upstream_counts_for_a_while() {
    let mut world = World::new(1);
    world.core.fleet.put(world.now, entry("s0-spare", "s0", NEAR));
    let route = route(one(), Safety::Idempotent);
    world.core.fleet.told(world.now, "s0-near", 0, Word { overdue: true, expected: 12.0 });
    world.start(&route);
    assert_eq!(&*world.upstream(0), "s0-spare");
    world.reply(0, &[]);
    world.core.fleet.remove("s0-spare");
    world.pass(160);
    world.start(&route);
    assert_eq!(&*world.upstream(0), "s0-near");
}

// A service's requests take 160 ms each. Judged by the few ms of another service, every upstream of it is
// slow and worth a word to all VMs of the region, with each reply; none of them is.
#[test]
fn an_upstream_as_quick_as_its_service_is_not_told_as_slow() {
    let mut world = World::new(1);
    let route = route(one(), Safety::Idempotent);
    for id in ["s0-near", "s0-far"] {
        let key = world.core.fleet.key(id).unwrap();
        for _ in 0..4 {
            let ticket = world.core.fleet.send(world.now, key);
            world.pass(160);
            world.core.fleet.end(world.now, ticket, Sign::Reply);
        }
        assert!(world.core.fleet.tell(world.now, key).is_none(), "{id}");
    }
    world.core.fleet.put(world.now, entry("s0-new", "s0", NEAR));
    world.start(&route);
    world.pass(160);
    world.reply(0, &[]);
    let new = world.core.fleet.key("s0-new").unwrap();
    let near = world.core.fleet.key("s0-near").unwrap();
    let expected = |key| world.core.fleet.get(key).unwrap().expected(world.now);
    assert!(expected(new) > expected(near) * 0.8, "not taken for the quickest: {}", expected(new));
}

#[test]
fn a_late_upstream_is_told_of_once_in_a_while() {
    let mut world = World::new(1);
    world.start(&route(one(), Safety::Idempotent));
    let key = world.orders[0].ticket.upstream;
    assert!(world.core.fleet.tell(world.now, key).is_none(), "told before it was late");
    world.pass(80);
    let (entry, _) = world.core.fleet.tell(world.now, key).unwrap();
    assert_eq!(&*entry.id, "s0-near");
    world.pass(50);
    assert!(world.core.fleet.tell(world.now, key).is_none(), "told again at once");
}
