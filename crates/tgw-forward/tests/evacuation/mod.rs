//! Upstreams of a failure domain that is evacuated.

use super::{
    one_service,
    world::{FAR, NEAR, World, route, shards},
};
use test_case::test_case;
use tgw_forward::{
    hosting::{Refusal, Request},
    plan::{Answer, Cause, SendResult},
    upstream::SendOutcome,
};
use tgw_route::Safety;

fn evacuate(world: &mut World, domains: &[&str]) {
    world
        .core
        .fleet
        .set_evacuated(world.now, domains.iter().map(|domain| (*domain).into()).collect());
}

// A domain is evacuated: requests go elsewhere at once, and return when the evacuation ends.
#[test]
fn evacuated_domain_gets_no_requests_until_evacuation_ends() {
    let mut world = World::new(1);
    evacuate(&mut world, &[NEAR]);
    world.start(&route(one_service(), Safety::AtMostOnce));
    assert_eq!(&*world.upstream(0), "s0-far");
    world.advance(60);
    world.reply(0, &[]);
    evacuate(&mut world, &[]);
    world.start(&route(one_service(), Safety::AtMostOnce));
    assert_eq!(&*world.upstream(0), "s0-near");
}

// A send waits for its connection while its domain is evacuated, and another VM has requested a
// send there. Neither may be made.
#[test]
fn waiting_send_to_evacuated_domain_is_not_made() {
    let mut world = World::new(1);
    let request = route(one_service(), Safety::AtMostOnce);
    world.start(&request);
    let upstream = world.orders[0].ticket.upstream;
    assert!(world.core.permits(Some(&request), upstream));
    evacuate(&mut world, &[NEAR]);
    assert!(!world.core.permits(Some(&request), upstream));
    let hosted =
        Request { upstream: "s0-near", started: 0, fallback: true, lent: false, route: None };
    assert_eq!(world.core.host(world.now, hosted), Err(Refusal::Busy));
    world.end(0, SendResult::NotConnected, SendOutcome::Unreachable);
    assert_eq!(&*world.upstream(1), "s0-far");
}

// Requests in flight in an evacuated domain continue, and their replies are accepted.
#[test]
fn part_in_flight_may_answer() {
    let mut world = World::new(1);
    world.start(&route(shards(1), Safety::Idempotent));
    evacuate(&mut world, &[NEAR, FAR]);
    let answer = world.reply(0, &[]);
    assert!(matches!(answer, Some(Answer::Merged { missing: 0, .. })), "{answer:?}");
    assert_eq!(world.orders.len(), 1);
}

// All domains are evacuated, or one that is unknown.
#[test_case(&[NEAR, FAR], 0; "all")]
#[test_case(&["nowhere"], 1; "an unknown one")]
fn request_without_remaining_domain_is_refused_at_once(domains: &[&str], sends: usize) {
    let mut world = World::new(1);
    evacuate(&mut world, domains);
    let answer = world.start(&route(one_service(), Safety::AtMostOnce));
    assert_eq!(world.orders.len(), sends);
    let refused = matches!(answer, Some(Answer::Refused { cause: Cause::NoUpstream, .. }));
    assert_eq!(refused, sends == 0);
}
