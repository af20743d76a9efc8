//! Upstreams of a failure domain that is evacuated.

use super::{
    one,
    world::{FAR, NEAR, World, route, shards},
};
use test_case::test_case;
use tgw_forward::{
    hosting::{Refusal, Request},
    plan::{Answer, Cause, Ended},
    upstream::Sign,
};
use tgw_route::Safety;

fn evacuate(world: &mut World, domains: &[&str]) {
    world
        .core
        .fleet
        .set_evacuated(world.now, domains.iter().map(|domain| (*domain).into()).collect());
}

// A domain is evacuated; requests go elsewhere at once, and back once it is taken back.
#[test]
fn an_evacuated_domain_gets_nothing_until_it_is_taken_back() {
    let mut world = World::new(1);
    evacuate(&mut world, &[NEAR]);
    world.start(&route(one(), Safety::Once));
    assert_eq!(&*world.upstream(0), "s0-far");
    world.pass(60);
    world.reply(0, &[]);
    evacuate(&mut world, &[]);
    world.start(&route(one(), Safety::Once));
    assert_eq!(&*world.upstream(0), "s0-near");
}

// A send waits for its connection while its domain is evacuated, and another VM has asked for one that is under way.
#[test]
fn a_send_that_waits_is_not_made_any_more() {
    let mut world = World::new(1);
    let request = route(one(), Safety::Once);
    world.start(&request);
    let upstream = world.orders[0].ticket.upstream;
    assert!(world.core.permits(Some(&request), upstream));
    evacuate(&mut world, &[NEAR]);
    assert!(!world.core.permits(Some(&request), upstream));
    let asked = Request { upstream: "s0-near", started: 0, insist: true, lent: false, route: None };
    assert_eq!(world.core.host(world.now, asked), Err(Refusal::Busy));
    world.end(0, Ended::Unsent, Sign::Unreachable);
    assert_eq!(&*world.upstream(1), "s0-far");
}

// What runs in the domain goes on, and its reply is taken.
#[test]
fn a_part_that_is_under_way_may_answer() {
    let mut world = World::new(1);
    world.start(&route(shards(1), Safety::Idempotent));
    evacuate(&mut world, &[NEAR, FAR]);
    let answer = world.reply(0, &[]);
    assert!(matches!(answer, Some(Answer::Merged { missing: 0, .. })), "{answer:?}");
    assert_eq!(world.orders.len(), 1);
}

// All domains are evacuated, or one that nobody knows.
#[test_case(&[NEAR, FAR], 0; "all")]
#[test_case(&["nowhere"], 1; "an unknown one")]
fn what_no_domain_is_left_for_is_refused_at_once(domains: &[&str], sends: usize) {
    let mut world = World::new(1);
    evacuate(&mut world, domains);
    let answer = world.start(&route(one(), Safety::Once));
    assert_eq!(world.orders.len(), sends);
    let refused = matches!(answer, Some(Answer::Refused { cause: Cause::NoUpstream, .. }));
    assert_eq!(refused, sends == 0);
}
