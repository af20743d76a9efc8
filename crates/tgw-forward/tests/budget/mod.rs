//! Extra sends go first where they make an answer a success.

use crate::world::{World, record, route, shards};
use tgw_clock::Millis;
use tgw_forward::{
    core::{Budget, Vms},
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
