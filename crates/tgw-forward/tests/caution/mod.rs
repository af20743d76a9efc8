//! Requests under which upstreams end, attempt by attempt.

use crate::world::{World, answered, record, route, shards};
use test_case::test_case;
use tgw_clock::Millis;
use tgw_forward::{
    Policy,
    plan::{Answer, Cause, Ended, Why},
    upstream::Sign,
};
use tgw_quarantine::{
    ledger::name,
    message::{End, Seen},
};
use tgw_route::{Safety, Target};

fn gone(world: &mut World, index: usize) -> Option<Answer> {
    world.end(index, Ended::Gone, Sign::Broken)
}

/// Another VM tells that an upstream of `service` ended under the requests of this world.
fn told(world: &mut World, service: &str, upstream: u32, seen: Seen) {
    let end = End { print: world.print, service: name(service), upstream, seen };
    world.core.quarantine.ended(world.now, &end);
}

/// Three rounds are told of the requests of this world, each at another service.
fn hold(world: &mut World) {
    for round in 0..3 {
        told(world, &format!("s{round}"), u32::from(round), Seen { all: round, service: 0 });
    }
}

// A search is sent to four shards, and each upstream ends that begins to run it. All four second upstreams were tried
// at once. Two are, one after the other and at different shards, and the search ends.
#[test]
fn a_search_ends_two_upstreams_more_than_its_first_sends() {
    let mut world = World::new(4);
    world.start(&route(shards(4), Safety::Idempotent));
    for index in 0..4 {
        assert!(gone(&mut world, index).is_none());
    }
    assert_eq!(world.orders.len(), 5, "one, once all first sends have ended");
    assert!(gone(&mut world, 4).is_none());
    assert_eq!(world.orders.len(), 6);
    assert_ne!(world.orders[5].part, world.orders[4].part);
    let answer = gone(&mut world, 5);
    assert!(matches!(answer, Some(Answer::Failed(_))), "it may have run: {answer:?}");
    assert_eq!(world.orders.len(), 6);
}

// A rack loses power while a search is at all of its upstreams there. The next one is asked alone; it answers, and all
// other parts follow at once.
#[test]
fn a_search_whose_rack_went_goes_on_as_soon_as_one_upstream_answers() {
    let mut world = World::new(4);
    world.start(&route(shards(4), Safety::Idempotent));
    for index in 0..4 {
        gone(&mut world, index);
    }
    assert!(world.reply(4, &record(1)).is_none());
    assert_eq!(world.orders.len(), 8);
    for index in 5..8 {
        assert!(world.orders[index].why == Why::Retry);
    }
    assert!(world.reply(5, &record(2)).is_none());
    assert!(world.reply(6, &record(3)).is_none());
    assert!(matches!(world.reply(7, &record(4)), Some(Answer::Merged { missing: 0, .. })));
}

// One upstream ends under a search, the others answer it. Its retry waits for the first answer only.
#[test]
fn one_upstream_that_ends_costs_a_search_nothing_once_it_was_answered() {
    let mut world = World::new(4);
    world.start(&route(shards(4), Safety::Idempotent));
    gone(&mut world, 0);
    assert_eq!(world.orders.len(), 4);
    world.reply(1, &record(1));
    assert_eq!(world.orders.len(), 5);
    gone(&mut world, 2);
    assert_eq!(world.orders.len(), 6, "answered, it waits for none");
}

// An upstream gives up at the deadline of a search, as another one would have ended a moment later. Its failure says
// nothing for the search: the next part is tried alone as well.
#[test]
fn a_failure_is_no_answer_that_speaks_for_a_search() {
    let mut world = World::new(3);
    world.start(&route(shards(3), Safety::Idempotent));
    for index in 0..3 {
        gone(&mut world, index);
    }
    world.end(3, answered(504, Some("seal"), &[]), Sign::Failure);
    assert_eq!(world.orders.len(), 5);
    gone(&mut world, 4);
    assert_eq!(world.orders.len(), 6);
}

// Replies are lost with their connections, and the upstreams are there. These are retried at once, as ever.
#[test]
fn lost_replies_are_retried_at_once() {
    let mut world = World::new(4);
    world.start(&route(shards(4), Safety::Idempotent));
    for index in 0..4 {
        world.end(index, Ended::Broken, Sign::Broken);
        assert_eq!(world.orders.len(), 5 + index);
    }
}

// While one part is tried alone, no other upstream is tried for it or for another part, however late it is.
#[test]
fn nothing_is_hedged_before_an_upstream_has_answered() {
    let mut world = World::new(2);
    world.start(&route(shards(2), Safety::Idempotent));
    gone(&mut world, 0);
    gone(&mut world, 1);
    let answer = world.outwait();
    assert_eq!(world.orders.len(), 3);
    assert!(matches!(answer, Answer::Failed(_) | Answer::TimedOut), "{answer:?}");
}

// A search of which other VMs say that upstreams ended under it is begun with one part, and goes on with all as soon
// as that is answered.
#[test]
fn a_search_under_suspicion_begins_with_one_part() {
    let mut world = World::new(3);
    told(&mut world, "s0", 1, Seen::default());
    world.start(&route(shards(3), Safety::Idempotent));
    assert_eq!(world.orders.len(), 1);
    world.reply(0, &record(1));
    assert_eq!(world.orders.len(), 3);
}

// A request that is held back runs nowhere, and its caller is told so at once, with a time to come back.
#[test_case(Target::One("s0".into()), Safety::Idempotent; "a plain one")]
#[test_case(Target::One("s0".into()), Safety::Once; "one that may run once")]
#[test_case(shards(3), Safety::Idempotent; "a search")]
fn what_is_held_back_is_refused_at_once(target: Target, safety: Safety) {
    let mut world = World::new(3);
    hold(&mut world);
    let answer = world.start(&route(target, safety));
    let Some(Answer::Refused { retry_after, cause: Cause::Quarantined }) = answer else {
        panic!("{answer:?}");
    };
    assert!(retry_after > Millis::new(1_000));
    assert!(world.orders.is_empty());
}

// One shard of four does not bear a search. Its answer leaves that part out, and says so.
#[test]
fn a_search_leaves_out_the_shard_that_does_not_bear_it() {
    let mut world = World::new(4);
    for round in 0..3 {
        told(&mut world, "s2", u32::from(round), Seen { all: 0, service: round });
    }
    world.core.quarantine.answered(world.now, world.print, "s0");
    world.start(&route(shards(4), Safety::Idempotent));
    assert_eq!(world.orders.len(), 3);
    world.reply(0, &record(1));
    world.reply(1, &record(2));
    let answer = world.reply(2, &record(3));
    assert!(matches!(answer, Some(Answer::Merged { missing: 1, .. })), "{answer:?}");
}

// Tried again after its time, it is sent to one upstream; that one ends too, and so does the attempt.
#[test]
fn a_trial_is_one_send() {
    let mut world = World::new(3);
    hold(&mut world);
    world.pass(600_000);
    assert!(world.start(&route(shards(3), Safety::Idempotent)).is_none());
    assert_eq!(world.orders.len(), 1);
    let answer = gone(&mut world, 0);
    assert!(matches!(answer, Some(Answer::Failed(Cause::Quarantined))), "{answer:?}");
    assert_eq!(world.orders.len(), 1);
}

#[test]
fn a_trial_that_is_answered_goes_on_with_all_parts() {
    let mut world = World::new(3);
    hold(&mut world);
    world.pass(600_000);
    world.start(&route(shards(3), Safety::Idempotent));
    world.reply(0, &record(1));
    assert_eq!(world.orders.len(), 3);
    assert!(!world.core.quarantine.holds(world.print));
}

// What may run once is sent once, whatever became of it.
#[test]
fn what_may_run_once_is_not_sent_again_when_its_upstream_ends() {
    let mut world = World::new(1);
    world.start(&route(Target::One("s0".into()), Safety::Once));
    let answer = gone(&mut world, 0);
    assert!(matches!(answer, Some(Answer::Failed(Cause::Upstreams))), "{answer:?}");
    assert_eq!(world.orders.len(), 1);
}

#[test]
fn an_experiment_without_quarantine_sends_as_ever() {
    let mut world = World::of(4, Policy { quarantine: false, ..Policy::default() });
    hold(&mut world);
    world.start(&route(shards(4), Safety::Idempotent));
    for index in 0..4 {
        gone(&mut world, index);
    }
    assert_eq!(world.orders.len(), 8);
}
