//! Tests of sends through peers, of parts that find no room, and of what VMs tell each other.

use super::{
    one,
    world::{FAR, World, entry, record, route, shards},
};
use test_case::test_case;
use tgw_clock::Millis;
use tgw_forward::{
    Scope,
    core::{Budget, Vms, Way},
    fleet::Hop,
    plan::{Answer, Ended, Why},
    upstream::Sign,
};
use tgw_route::{Safety, Target};

// Half of the hedges began with a connection to another region that had to be made first, 30 ms long, and
// most queries waited for one. Where another VM lives there, its connections are used.
#[test_case("r2", &shards(1), Hop::Peer; "a VM lives there")]
#[test_case("r1", &shards(1), Hop::Direct; "none does")]
#[test_case("r2", &one(), Hop::Direct; "a reply that is passed on whole")]
fn parts_from_other_regions_come_through_peers(manned: &str, target: &Target, expected: Hop) {
    let mut world = World::new(1);
    world.core.fleet.set_manned([manned.into()].into());
    world.start(&route(target.clone(), Safety::Idempotent));
    world.wake();
    assert_eq!((&*world.upstream(1), world.orders[1].hop), ("s0-far", expected));
}

#[test]
fn sends_through_peers_to_one_upstream_are_bounded() {
    let mut world = World::new(1);
    world.core.fleet.remove("s0-near");
    world.core.fleet.set_manned(["r2".into()].into());
    let most = world.core.most("s0", Way::Peers);
    let mut sends = 0;
    while let Some(choice) = world.core.fleet.pick(world.now, "s0", most, &[], Scope::default()) {
        world.core.fleet.send(world.now, choice.key);
        sends += 1;
    }
    assert_eq!(sends, most.peer);
}

// A VM is asked to send for another one to an upstream that has just stopped. It knows, as its own
// request waits there; the VM that asks would learn it much later and is better told at once.
#[test]
fn an_upstream_with_an_overdue_send_is_doubtful() {
    let mut world = World::new(1);
    world.start(&route(one(), Safety::Idempotent));
    let key = world.orders[0].ticket.upstream;
    assert!(!world.core.fleet.get(key).unwrap().doubtful(world.now));
    world.pass(100);
    assert!(world.core.fleet.get(key).unwrap().doubtful(world.now));
}

// One region's upstream of a shard pauses, and the VM asked to send to the other doubts that one. With
// the part given up there, queries failed that lacked nothing else: the last upstream is insisted on.
#[test]
fn the_last_upstream_is_insisted_on() {
    let mut world = World::new(1);
    world.core.fleet.set_manned(["r2".into()].into());
    world.start(&route(shards(1), Safety::Idempotent));
    world.wake();
    assert_eq!((&*world.upstream(1), world.orders[1].insist), ("s0-far", false));
    assert!(world.end(1, Ended::Busy, Sign::Busy).is_none());
    assert_eq!((&*world.upstream(2), world.orders[2].insist), ("s0-far", true));
    world.core.fleet.put(world.now, entry("s0-third", "s0", FAR));
    world.end(2, Ended::Busy, Sign::Busy);
    assert_eq!((&*world.upstream(3), world.orders[3].insist), ("s0-third", false));
}

// All connections of a shard's upstreams are in use for a moment when a query arrives. Its other parts
// take 60 ms in any case: the part is tried again meanwhile, and the answer is whole.
#[test]
fn a_part_without_a_connection_is_tried_again_while_the_answer_waits() {
    let mut world = World::new(4);
    world.core.fleet.remove("s0-far");
    world.core.set_vms(Vms { all: 32, near: 32 });
    let most = world.core.most("s0", Way::Peers);
    let key = world.core.fleet.pick(world.now, "s0", most, &[], Scope::default()).unwrap().key;
    let busy = world.core.fleet.send(world.now, key);
    world.start(&route(shards(4), Safety::Idempotent));
    assert_eq!(world.orders.len(), 3);
    world.core.fleet.end(world.now, busy, Sign::Reply);
    assert!(world.wake().is_none());
    assert_eq!((&*world.upstream(3), world.orders[3].why), ("s0-near", Why::First));
    let answers: Vec<_> = (0..4).filter_map(|index| world.reply(index, &record(1))).collect();
    assert!(matches!(answers[..], [Answer::Merged { missing: 0, .. }]), "{answers:?}");
}

// The same, but no connection becomes free. The answer leaves at the aim without that part, and the
// caller is not held any longer for it.
#[test]
fn a_part_that_finds_no_connection_holds_no_answer_beyond_the_aim() {
    let mut world = World::new(4);
    world.core.fleet.remove("s0-far");
    world.core.set_vms(Vms { all: 32, near: 32 });
    let most = world.core.most("s0", Way::Peers);
    let key = world.core.fleet.pick(world.now, "s0", most, &[], Scope::default()).unwrap().key;
    world.core.fleet.send(world.now, key);
    world.start(&route(shards(4), Safety::Idempotent));
    for index in 0..3 {
        assert!(world.reply(index, &record(1)).is_none());
    }
    let answer = world.outwait();
    assert!(matches!(answer, Answer::Merged { missing: 1, .. }), "{answer:?}");
    assert!(world.now <= Millis::new(1_000 + 150), "at {}", world.now);
}

// A shard has no upstream left at all. Nothing can come for it, so the answer does not wait.
#[test]
fn a_part_without_any_upstream_is_not_waited_for() {
    let mut world = World::new(4);
    world.core.fleet.remove("s0-far");
    world.core.fleet.remove("s0-near");
    world.start(&route(shards(4), Safety::Idempotent));
    let answers: Vec<_> = (0..3).filter_map(|index| world.reply(index, &record(1))).collect();
    assert!(matches!(answers[..], [Answer::Merged { missing: 1, .. }]), "{answers:?}");
}

// A peer doubts an upstream and sends nothing, again and again. Were the operators' budget charged for
// that, nothing would be left for a reply that is lost.
#[test]
fn what_reached_no_upstream_is_not_charged_to_the_budget() {
    let mut world = World::with_budget(1, Budget { share: 0.0, constant: 10.0 });
    world.core.set_vms(Vms { all: 1, near: 1 });
    world.core.fleet.set_manned(["r2".into()].into());
    for _ in 0..40 {
        world.start(&route(shards(1), Safety::Idempotent));
        world.wake();
        assert_eq!(world.orders[1].why, Why::Hedge, "the budget is used up");
        let mut index = 1;
        while index < world.orders.len() {
            world.end(index, Ended::Busy, Sign::Busy);
            index += 1;
        }
        world.reply(0, &[]);
        world.pass(100);
    }
}

// An upstream works ten times as long for seconds. It replies, so nothing is overdue, and each of thirty
// VMs found out for itself, one late query each, again and again. What one has measured spares the others.
#[test]
fn a_slow_upstream_that_replies_is_told_and_passed_over() {
    let (mut one_vm, mut other) = (World::new(1), World::new(1));
    let route = route(one(), Safety::Idempotent);
    for world in [&mut one_vm, &mut other] {
        world.start(&route);
        world.pass(10);
        world.reply(0, &[]);
    }
    for _ in 0..8 {
        one_vm.start(&route);
        one_vm.pass(100);
        one_vm.reply(0, &[]);
    }
    let near = one_vm.core.fleet.key("s0-near").unwrap();
    let (entry, word) = one_vm.core.fleet.tell(one_vm.now, near).unwrap();
    assert!(!word.overdue && word.expected > 45.0, "{word:?}");
    other.pass(800);
    other.core.fleet.told(other.now, &entry.id, entry.started, word);
    other.start(&route);
    assert_eq!(&*other.upstream(0), "s0-far");
}

// Two sends of a part are under way when the peer asked for the first says that it did not send. The
// part must not go a second time to the upstream of the other send, which is at work on it.
#[test]
fn the_upstream_that_was_passed_over_is_the_one_that_may_be_asked_again() {
    let mut world = World::new(1);
    world.core.fleet.remove("s0-near");
    world.core.fleet.put(world.now, entry("s0-second", "s0", FAR));
    world.core.fleet.set_manned(["r2".into()].into());
    world.start(&route(shards(1), Safety::Idempotent));
    world.wake();
    let (first, second) = (world.upstream(0), world.upstream(1));
    assert_ne!(first, second);
    world.end(0, Ended::Busy, Sign::Busy);
    assert_eq!((world.upstream(2), world.orders[2].insist), (first, true));
}
