//! Reports about upstreams between the VMs of a region.

use crate::world::{NEAR, World, entry, route};
use tgw_forward::upstream::{PeerReport, SendOutcome};
use tgw_route::{Safety, Target};

fn one_service() -> Target {
    Target::Single("s0".into())
}

// One VM of a region detects a paused upstream. Another VM, which has sent it nothing for a second,
// avoids it as soon as it gets the report, and returns to it when the report has expired.
#[test]
fn report_of_overdue_send_counts_until_it_expires() {
    let mut world = World::new(1);
    world.core.fleet.put(world.now, entry("s0-spare", "s0", NEAR));
    let route = route(one_service(), Safety::Idempotent);
    world.core.fleet.apply_report(
        world.now,
        "s0-near",
        0,
        PeerReport { overdue: true, expected_latency_ms: 12.0 },
    );
    world.start(&route);
    assert_eq!(&*world.upstream(0), "s0-spare");
    world.reply(0, &[]);
    world.core.fleet.remove("s0-spare");
    world.advance(160);
    world.start(&route);
    assert_eq!(&*world.upstream(0), "s0-near");
}

// A service's requests take 160 ms each. Against the baseline of a faster service, every upstream
// of it would be slow and reported to all VMs of the region with each reply.
#[test]
fn upstream_as_fast_as_its_service_is_not_reported_slow() {
    let mut world = World::new(1);
    let route = route(one_service(), Safety::Idempotent);
    for id in ["s0-near", "s0-far"] {
        let key = world.core.fleet.key(id).unwrap();
        for _ in 0..4 {
            let ticket = world.core.fleet.record_send(world.now, key);
            world.advance(160);
            world.core.fleet.record_outcome(world.now, ticket, SendOutcome::Reply);
        }
        assert!(world.core.fleet.take_report(world.now, key).is_none(), "{id}");
    }
    world.core.fleet.put(world.now, entry("s0-new", "s0", NEAR));
    world.start(&route);
    world.advance(160);
    world.reply(0, &[]);
    let new = world.core.fleet.key("s0-new").unwrap();
    let near = world.core.fleet.key("s0-near").unwrap();
    let expected = |key| world.core.fleet.get(key).unwrap().expected_latency_ms(world.now);
    assert!(expected(new) > expected(near) * 0.8, "not considered the fastest: {}", expected(new));
}

#[test]
fn reports_about_late_upstream_are_rate_limited() {
    let mut world = World::new(1);
    world.start(&route(one_service(), Safety::Idempotent));
    let key = world.orders[0].ticket.upstream;
    assert!(world.core.fleet.take_report(world.now, key).is_none(), "reported before it was late");
    world.advance(80);
    let (entry, _) = world.core.fleet.take_report(world.now, key).unwrap();
    assert_eq!(&*entry.id, "s0-near");
    world.advance(50);
    assert!(world.core.fleet.take_report(world.now, key).is_none(), "reported again at once");
}
