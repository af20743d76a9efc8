//! Extra sends go first where they make an answer a success.

use crate::world::{World, record, route, shards};
use tgw_clock::Millis;
use tgw_forward::{
    core::{Budget, Vms},
    fleet::Hop,
    plan::{Answer, Ended, Why},
    upstream::Sign,
};
use tgw_route::Safety;

/// One VM whose budget for each service is so many extra sends in a window.
fn world(extra: f64) -> World {
    let mut world = World::with_budget(4, Budget { share: 0.0, constant: extra / 0.92 + 0.1 });
    world.core.set_vms(Vms { all: 1, near: 1 });
    world
}

fn decline(world: &mut World, index: usize) -> Option<Answer> {
    world.end(index, Ended::Declined, Sign::Shed)
}

// Most upstreams of a shard turn half of their requests away. A part that was declined twice has run
// nowhere: it is asked again while the query waits, though the route allows two attempts.
#[test]
fn a_declined_send_is_no_attempt() {
    let mut world = world(10.0);
    world.start(&route(shards(1), Safety::Idempotent));
    assert!(decline(&mut world, 0).is_none());
    assert!(decline(&mut world, 1).is_none());
    assert_eq!(world.orders.len(), 2, "all upstreams of the shard have just said no");
    assert!(world.wake().is_none());
    assert_eq!(world.orders.len(), 3);
    assert!(matches!(world.reply(2, &record(1)), Some(Answer::Merged { missing: 0, .. })));
}

// Where a request may have run twice, the route's attempts are used up, whatever was declined between.
#[test]
fn declined_sends_do_not_add_to_those_that_may_run() {
    let mut world = world(10.0);
    world.start(&route(shards(1), Safety::Idempotent));
    assert!(world.end(0, Ended::Broken, Sign::Broken).is_none());
    assert!(decline(&mut world, 1).is_none());
    assert!(world.wake().is_none());
    let answer = world.end(2, Ended::Broken, Sign::Broken);
    assert!(matches!(answer, Some(Answer::Failed(_))), "{answer:?}");
    assert_eq!(world.orders.len(), 3);
}

// Nothing of a shard's upstreams is free before the aim, and without it the query fails. It goes on: a late
// answer is one, and it ends once that could not come in time either.
#[test]
fn a_query_below_its_least_share_goes_on_after_the_aim() {
    let mut world = world(10.0);
    world.start(&route(shards(1), Safety::Idempotent));
    decline(&mut world, 0);
    decline(&mut world, 1);
    world.pass(200);
    assert!(world.tick().is_none());
    assert_eq!(world.orders.len(), 3, "asked again after the aim of 150 ms");
    assert!(matches!(world.reply(2, &record(1)), Some(Answer::Merged { missing: 0, .. })));
}

// Once three of four parts are in, which is enough, the aim ends it.
#[test]
fn a_query_that_is_a_success_ends_at_its_aim() {
    let mut world = world(0.0);
    world.start(&route(shards(4), Safety::Idempotent));
    for index in 0..3 {
        assert!(world.reply(index, &record(1)).is_none());
    }
    assert!(decline(&mut world, 3).is_none());
    assert!(matches!(world.outwait(), Answer::Merged { missing: 1, .. }));
    assert!(world.now <= Millis::new(1_000 + 150), "at {}", world.now);
}

// Upstreams of two shards shed at once. Queries that miss one part of four are successes without it, those
// that miss two fail. While some fail, what is left of the budget is theirs.
#[test]
fn what_only_raises_an_answer_leaves_the_budget_to_those_that_fail() {
    let mut world = world(8.0);
    let route = route(shards(4), Safety::Idempotent);
    // The first part's send breaks; the second part is declined everywhere and waits, if `both`.
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
        world.end(0, Ended::Broken, Sign::Broken);
        let retries = |o: &usize| world.orders[*o].part == 0 && world.orders[*o].why == Why::Retry;
        let retries: Vec<usize> = (0..world.orders.len()).filter(retries).collect();
        retries.iter().for_each(|index| drop(world.reply(*index, &record(1))));
        retries.len()
    };
    assert_eq!(retried(false), 1, "nobody fails: a retry may raise an answer");
    assert_eq!(retried(true), 1, "the retry makes it a success");
    assert_eq!(retried(false), 0, "queries fail: nothing is spent on raising one");
    assert_eq!(retried(true), 1);
}

/// A VM beside one of the other region, with so many extra sends.
fn beside_a_peer(extra: f64) -> World {
    let mut world = world(extra);
    world.core.fleet.set_manned(["r2".into()].into());
    world
}

/// Starts a query over one shard and breaks its first send; whether the next is charged to another VM.
fn retry_is_lent(world: &mut World) -> bool {
    world.start(&route(shards(1), Safety::Idempotent));
    world.end(0, Ended::Broken, Sign::Broken);
    world.orders[1].lent
}

// 295 VMs have two extra sends each for a service in ten seconds. One with four queries over a shard that sheds
// fails two of them beside VMs that need none. The VM that would make the send has a budget of its own.
#[test]
fn a_retry_is_charged_to_the_vm_that_makes_it_where_ones_own_budget_is_used_up() {
    let mut world = beside_a_peer(1.0);
    assert!(!retry_is_lent(&mut world), "its own goes first");
    assert!(retry_is_lent(&mut world));
    assert_eq!(world.orders[1].hop, Hop::Peer);
}

// What only raises an answer's share, and a second send of a part that is merely late, are not worth another VM's
// budget: it would lack where an answer fails without it.
#[test]
fn only_what_makes_a_success_is_lent() {
    let mut world = beside_a_peer(0.0);
    world.start(&route(shards(4), Safety::Idempotent));
    (0..3).for_each(|index| assert!(world.reply(index, &record(1)).is_none()));
    world.end(3, Ended::Broken, Sign::Broken);
    assert_eq!(world.orders.len(), 4, "an answer without it is a success");
    world.start(&route(shards(1), Safety::Idempotent));
    world.wake();
    assert_eq!(world.orders.len(), 1, "late, not failed");
}

// A VM that was to lend had nothing left, and said so. Taken for a send of one's own that reached nobody, it would be
// given back to a budget that it never came from, and the operators' bound would not hold.
#[test]
fn a_send_that_was_not_lent_gives_nothing_back() {
    let mut world = beside_a_peer(1.0);
    assert!(!retry_is_lent(&mut world));
    assert!(retry_is_lent(&mut world));
    world.end(1, Ended::Busy, Sign::Busy);
    assert!(retry_is_lent(&mut world), "its own is still used up");
}

// Each VM lends from its own part. However much they ask of one another, the sum stays below the operators' budget.
#[test]
fn what_all_lend_together_stays_within_the_budget() {
    const VMS: u32 = 20;
    let lent = || {
        let mut world = World::with_budget(1, Budget { share: 0.0, constant: 60.0 });
        world.core.set_vms(Vms { all: VMS, near: 5 });
        (0..100).filter(|_| world.core.lend(world.now, &"s0".into())).count()
    };
    let sum: usize = (0..VMS).map(|_| lent()).sum();
    assert!((20..=60).contains(&sum), "{sum}");
}
