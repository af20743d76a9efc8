//! Tests of sends through peers, of parts that find no room, and of reports between VMs.

use super::{
    one_service,
    world::{FAR, World, entry, record, route, shards},
};
use test_case::test_case;
use tgw_clock::Millis;
use tgw_forward::{
    Scope,
    core::{Budget, SendMode, Vms},
    fleet::Hop,
    plan::{Answer, SendResult, Trigger},
    upstream::SendOutcome,
};
use tgw_route::{Safety, Target};

// Half of the hedges had to make a connection to another region first, which took 30 ms, and most
// queries waited for one. Where another VM is in that region, its connections are used.
#[test_case("r2", &shards(1), Hop::Peer; "a VM in the region")]
#[test_case("r1", &shards(1), Hop::Direct; "no VM in the region")]
#[test_case("r2", &one_service(), Hop::Direct; "a reply forwarded unchanged")]
fn parts_from_other_regions_come_through_peers(peer_region: &str, target: &Target, expected: Hop) {
    let mut world = World::new(1);
    world.core.fleet.set_peer_regions([peer_region.into()].into());
    world.start(&route(target.clone(), Safety::Idempotent));
    world.wake();
    assert_eq!((&*world.upstream(1), world.orders[1].hop), ("s0-far", expected));
}

#[test]
fn sends_through_peers_to_one_upstream_are_limited() {
    let mut world = World::new(1);
    world.core.fleet.remove("s0-near");
    world.core.fleet.set_peer_regions(["r2".into()].into());
    let limits = world.core.send_limits("s0", SendMode::Peers);
    let mut sends = 0;
    while let Some(choice) = world.core.fleet.pick(world.now, "s0", limits, &[], Scope::default()) {
        world.core.fleet.record_send(world.now, choice.key);
        sends += 1;
    }
    assert_eq!(sends, limits.peer);
}

// A VM is asked to send to an upstream that has just paused. Its own send there is overdue, so it
// refuses at once, rather than let the requesting VM find out much later.
#[test]
fn upstream_with_overdue_send_is_suspected() {
    let mut world = World::new(1);
    world.start(&route(one_service(), Safety::Idempotent));
    let key = world.orders[0].ticket.upstream;
    assert!(!world.core.fleet.get(key).unwrap().is_suspected(world.now));
    world.advance(100);
    assert!(world.core.fleet.get(key).unwrap().is_suspected(world.now));
}

// One upstream of a shard pauses, and the VM asked to send to the other suspects that one. Giving
// the part up here failed queries that lacked nothing else, so a fallback send goes to the last
// upstream.
#[test]
fn fallback_send_goes_to_last_upstream() {
    let mut world = World::new(1);
    world.core.fleet.set_peer_regions(["r2".into()].into());
    world.start(&route(shards(1), Safety::Idempotent));
    world.wake();
    assert_eq!((&*world.upstream(1), world.orders[1].fallback), ("s0-far", false));
    assert!(world.end(1, SendResult::PeerRefused, SendOutcome::PeerRefused).is_none());
    assert_eq!((&*world.upstream(2), world.orders[2].fallback), ("s0-far", true));
    world.core.fleet.put(world.now, entry("s0-third", "s0", FAR));
    world.end(2, SendResult::PeerRefused, SendOutcome::PeerRefused);
    assert_eq!((&*world.upstream(3), world.orders[3].fallback), ("s0-third", false));
}

// All connections of a shard's upstreams are briefly in use when a query arrives. Its other parts
// take 60 ms in any case: the part is tried again meanwhile, and the answer is complete.
#[test]
fn part_without_connection_is_deferred_while_answer_waits() {
    let mut world = World::new(4);
    world.core.fleet.remove("s0-far");
    world.core.set_vms(Vms { all: 32, in_region: 32 });
    let limits = world.core.send_limits("s0", SendMode::Peers);
    let key = world.core.fleet.pick(world.now, "s0", limits, &[], Scope::default()).unwrap().key;
    let busy = world.core.fleet.record_send(world.now, key);
    world.start(&route(shards(4), Safety::Idempotent));
    assert_eq!(world.orders.len(), 3);
    world.core.fleet.record_outcome(world.now, busy, SendOutcome::Reply);
    assert!(world.wake().is_none());
    assert_eq!((&*world.upstream(3), world.orders[3].trigger), ("s0-near", Trigger::First));
    let answers: Vec<_> = (0..4).filter_map(|index| world.reply(index, &record(1))).collect();
    assert!(matches!(answers[..], [Answer::Merged { missing: 0, .. }]), "{answers:?}");
}

// As above, but no connection becomes free. The answer leaves at its latency target without that
// part.
#[test]
fn deferred_part_does_not_delay_answer_beyond_latency_target() {
    let mut world = World::new(4);
    world.core.fleet.remove("s0-far");
    world.core.set_vms(Vms { all: 32, in_region: 32 });
    let limits = world.core.send_limits("s0", SendMode::Peers);
    let key = world.core.fleet.pick(world.now, "s0", limits, &[], Scope::default()).unwrap().key;
    world.core.fleet.record_send(world.now, key);
    world.start(&route(shards(4), Safety::Idempotent));
    for index in 0..3 {
        assert!(world.reply(index, &record(1)).is_none());
    }
    let answer = world.run_to_answer();
    assert!(matches!(answer, Answer::Merged { missing: 1, .. }), "{answer:?}");
    assert!(world.now <= Millis::new(1_000 + 150), "at {}", world.now);
}

// A shard has no upstream at all. No part can arrive for it, so the answer does not wait.
#[test]
fn part_without_upstream_is_not_waited_for() {
    let mut world = World::new(4);
    world.core.fleet.remove("s0-far");
    world.core.fleet.remove("s0-near");
    world.start(&route(shards(4), Safety::Idempotent));
    let answers: Vec<_> = (0..3).filter_map(|index| world.reply(index, &record(1))).collect();
    assert!(matches!(answers[..], [Answer::Merged { missing: 1, .. }]), "{answers:?}");
}

// A peer suspects an upstream and repeatedly refuses to send. If the operators' budget were charged
// for that, nothing would be left to retry lost replies.
#[test]
fn unsent_request_is_not_charged_to_budget() {
    let mut world = World::with_budget(1, Budget { share: 0.0, constant: 10.0 });
    world.core.set_vms(Vms { all: 1, in_region: 1 });
    world.core.fleet.set_peer_regions(["r2".into()].into());
    for _ in 0..40 {
        world.start(&route(shards(1), Safety::Idempotent));
        world.wake();
        assert_eq!(world.orders[1].trigger, Trigger::Hedge, "the budget is used up");
        let mut index = 1;
        while index < world.orders.len() {
            world.end(index, SendResult::PeerRefused, SendOutcome::PeerRefused);
            index += 1;
        }
        world.reply(0, &[]);
        world.advance(100);
    }
}

// An upstream is ten times slower for seconds. It replies, so nothing is overdue, and each of
// thirty VMs had to detect it by late queries of its own. The report of one VM spares the others
// that.
#[test]
fn slow_upstream_that_replies_is_reported_and_avoided() {
    let (mut sender, mut receiver) = (World::new(1), World::new(1));
    let route = route(one_service(), Safety::Idempotent);
    for world in [&mut sender, &mut receiver] {
        world.start(&route);
        world.advance(10);
        world.reply(0, &[]);
    }
    for _ in 0..8 {
        sender.start(&route);
        sender.advance(100);
        sender.reply(0, &[]);
    }
    let near = sender.core.fleet.key("s0-near").unwrap();
    let (entry, report) = sender.core.fleet.take_report(sender.now, near).unwrap();
    assert!(!report.overdue && report.expected_latency_ms > 45.0, "{report:?}");
    receiver.advance(800);
    receiver.core.fleet.apply_report(receiver.now, &entry.id, entry.started, report);
    receiver.start(&route);
    assert_eq!(&*receiver.upstream(0), "s0-far");
}

// Two sends of a part are in flight when the peer asked for the first reports that it did not send.
// The part must not go a second time to the upstream of the other send, which is executing it.
#[test]
fn only_upstream_refused_by_peer_may_be_asked_again() {
    let mut world = World::new(1);
    world.core.fleet.remove("s0-near");
    world.core.fleet.put(world.now, entry("s0-second", "s0", FAR));
    world.core.fleet.set_peer_regions(["r2".into()].into());
    world.start(&route(shards(1), Safety::Idempotent));
    world.wake();
    let (first, second) = (world.upstream(0), world.upstream(1));
    assert_ne!(first, second);
    world.end(0, SendResult::PeerRefused, SendOutcome::PeerRefused);
    assert_eq!((world.upstream(2), world.orders[2].fallback), (first, true));
}
