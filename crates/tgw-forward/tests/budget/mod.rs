//! Extra sends are spent first where they make an answer a success.

use crate::world::{World, record, route, shards};
use tgw_clock::Millis;
use tgw_forward::{
    core::{Budget, Vms},
    fleet::Hop,
    plan::{Answer, SendResult, Trigger},
    upstream::SendOutcome,
};
use tgw_route::Safety;

/// One VM with a budget of `extra` extra sends per service and window.
fn world_with_extra(extra: f64) -> World {
    let mut world = World::with_budget(4, Budget { share: 0.0, constant: extra / 0.92 + 0.1 });
    world.core.set_vms(Vms { all: 1, in_region: 1 });
    world
}

fn decline(world: &mut World, index: usize) -> Option<Answer> {
    world.end(index, SendResult::Declined, SendOutcome::Shed)
}

// Most upstreams of a shard shed half of their requests. A part that was declined twice was not
// executed anywhere: it is tried again while the query waits, though the route allows two attempts.
#[test]
fn declined_send_is_no_attempt() {
    let mut world = world_with_extra(10.0);
    world.start(&route(shards(1), Safety::Idempotent));
    assert!(decline(&mut world, 0).is_none());
    assert!(decline(&mut world, 1).is_none());
    assert_eq!(world.orders.len(), 2, "all upstreams of the shard have just declined");
    assert!(world.wake().is_none());
    assert_eq!(world.orders.len(), 3);
    assert!(matches!(world.reply(2, &record(1)), Some(Answer::Merged { missing: 0, .. })));
}

// Sends that may have been executed use up the route's attempts, however many were declined in
// between.
#[test]
fn declined_sends_do_not_extend_attempts() {
    let mut world = world_with_extra(10.0);
    world.start(&route(shards(1), Safety::Idempotent));
    assert!(world.end(0, SendResult::Broken, SendOutcome::Broken).is_none());
    assert!(decline(&mut world, 1).is_none());
    assert!(world.wake().is_none());
    let answer = world.end(2, SendResult::Broken, SendOutcome::Broken);
    assert!(matches!(answer, Some(Answer::Failed(_))), "{answer:?}");
    assert_eq!(world.orders.len(), 3);
}

// No upstream of a shard has room before the latency target, and the query fails without that part.
// The query continues, as a late answer is still a success, until its deadline.
#[test]
fn insufficient_query_continues_after_latency_target() {
    let mut world = world_with_extra(10.0);
    world.start(&route(shards(1), Safety::Idempotent));
    decline(&mut world, 0);
    decline(&mut world, 1);
    world.advance(200);
    assert!(world.tick().is_none());
    assert_eq!(world.orders.len(), 3, "tried again after the latency target of 150 ms");
    assert!(matches!(world.reply(2, &record(1)), Some(Answer::Merged { missing: 0, .. })));
}

// Three of four parts are sufficient, so the query ends at its latency target.
#[test]
fn sufficient_query_ends_at_latency_target() {
    let mut world = world_with_extra(0.0);
    world.start(&route(shards(4), Safety::Idempotent));
    for index in 0..3 {
        assert!(world.reply(index, &record(1)).is_none());
    }
    assert!(decline(&mut world, 3).is_none());
    assert!(matches!(world.run_to_answer(), Answer::Merged { missing: 1, .. }));
    assert!(world.now <= Millis::new(1_000 + 150), "at {}", world.now);
}

// Upstreams of two shards shed load at once. Queries that miss one part of four succeed without it,
// those that miss two fail. While some fail, the rest of the budget is reserved for them.
#[test]
fn optional_parts_leave_budget_to_required_ones() {
    let mut world = world_with_extra(8.0);
    let route = route(shards(4), Safety::Idempotent);
    // The first part's send breaks; if `both`, the second part is declined by all upstreams and
    // deferred.
    let mut retried = |both: bool| {
        world.start(&route);
        let first = usize::from(both);
        for index in 1 + first..4 {
            world.reply(index, &record(1));
        }
        if both {
            decline(&mut world, 1);
            decline(&mut world, 4);
        }
        world.end(0, SendResult::Broken, SendOutcome::Broken);
        let retries =
            |o: &usize| world.orders[*o].part == 0 && world.orders[*o].trigger == Trigger::Retry;
        let retries: Vec<usize> = (0..world.orders.len()).filter(retries).collect();
        retries.iter().for_each(|index| drop(world.reply(*index, &record(1))));
        retries.len()
    };
    assert_eq!(retried(false), 1, "no query fails: a retry may raise coverage");
    assert_eq!(retried(true), 1, "the retry makes it a success");
    assert_eq!(retried(false), 0, "queries fail: no budget for optional parts");
    assert_eq!(retried(true), 1);
}

/// A VM with a peer in the other region and a budget of `extra` extra sends.
fn world_with_peer(extra: f64) -> World {
    let mut world = world_with_extra(extra);
    world.core.fleet.set_peer_regions(["r2".into()].into());
    world
}

/// Starts a query over one shard and breaks its first send; whether the retry is charged to another
/// VM.
fn retry_is_lent(world: &mut World) -> bool {
    world.start(&route(shards(1), Safety::Idempotent));
    world.end(0, SendResult::Broken, SendOutcome::Broken);
    world.orders[1].lent
}

// 295 VMs have two extra sends each for a service in ten seconds. A VM with four queries over a
// shard that sheds load would fail two of them, while other VMs need none. The VM that would make
// the send has a budget of its own.
#[test]
fn retry_is_charged_to_peer_when_own_budget_is_exhausted() {
    let mut world = world_with_peer(1.0);
    assert!(!retry_is_lent(&mut world), "its own budget is spent first");
    assert!(retry_is_lent(&mut world));
    assert_eq!(world.orders[1].hop, Hop::Peer);
}

// Parts that only raise an answer's coverage, and hedges, do not use another VM's budget: it would
// be missing where an answer fails without it.
#[test]
fn only_required_retries_are_lent() {
    let mut world = world_with_peer(0.0);
    world.start(&route(shards(4), Safety::Idempotent));
    (0..3).for_each(|index| assert!(world.reply(index, &record(1)).is_none()));
    world.end(3, SendResult::Broken, SendOutcome::Broken);
    assert_eq!(world.orders.len(), 4, "an answer without it is a success");
    world.start(&route(shards(1), Safety::Idempotent));
    world.wake();
    assert_eq!(world.orders.len(), 1, "late, not failed");
}

// The VM that should lend had no budget left and refused. Refunding that send as one of this VM's
// own would return it to a budget that was never charged, and break the operators' bound.
#[test]
fn refused_lent_send_refunds_nothing() {
    let mut world = world_with_peer(1.0);
    assert!(!retry_is_lent(&mut world));
    assert!(retry_is_lent(&mut world));
    world.end(1, SendResult::PeerRefused, SendOutcome::PeerRefused);
    assert!(retry_is_lent(&mut world), "its own budget is still exhausted");
}

// Each VM lends from its own share. However much VMs borrow from each other, the total stays below
// the operators' budget.
#[test]
fn total_lent_stays_within_budget() {
    const VMS: u32 = 20;
    let lent = || {
        let mut world = World::with_budget(1, Budget { share: 0.0, constant: 60.0 });
        world.core.set_vms(Vms { all: VMS, in_region: 5 });
        (0..100).filter(|_| world.core.lend(world.now, &"s0".into())).count()
    };
    let sum: usize = (0..VMS).map(|_| lent()).sum();
    assert!((20..=60).contains(&sum), "{sum}");
}
