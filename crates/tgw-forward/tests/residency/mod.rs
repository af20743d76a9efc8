//! Requests that may be served only in some regions.

use super::{
    one_service,
    world::{FAR, NEAR, World, answered, entry, route, shards},
};
use proptest::prelude::*;
use std::rc::Rc;
use test_case::test_case;
use tgw_clock::Millis;
use tgw_forward::{
    core::Vms,
    fleet::Hop,
    hosting::{Refusal, Request},
    plan::{Answer, Cause, SendResult},
    upstream::SendOutcome,
};
use tgw_route::{Config, Residency, Route, Safety, Service, Target, Warmup, config::Shards};

/// The regions of [`NEAR`] and [`FAR`].
const REGIONS: [&str; 2] = ["r1", "r2"];

fn homes(regions: &[&str]) -> Residency {
    regions.iter().map(|region| Rc::from(*region)).collect()
}

fn route_with_homes(target: Target, safety: Safety, regions: &[&str]) -> Rc<Route> {
    Rc::new(Route { residency: homes(regions), ..(*route(target, safety)).clone() })
}

fn configure(world: &mut World, services: usize, route: &Rc<Route>) {
    let mut config = Config { routes: vec![route.clone()], ..Config::default() };
    for service in 0..services {
        config.services.insert(
            format!("s{service}").into(),
            Service { max_connections: 32, warmup: Warmup::default() },
        );
    }
    world.core.configure(&config);
}

// A request whose only home is another region must not go to an upstream near the VM that accepted
// it.
#[test_case(one_service(), Safety::AtMostOnce; "at most once")]
#[test_case(one_service(), Safety::Idempotent; "repeatable")]
#[test_case(Target::Weighted(vec![("s0".into(), 1.0)]), Safety::AtMostOnce; "weighted")]
#[test_case(shards(1), Safety::Idempotent; "a search")]
fn the_first_send_goes_to_a_home_region(target: Target, safety: Safety) {
    let mut world = World::new(1);
    world.start(&route_with_homes(target, safety, &["r2"]));
    assert_eq!((world.orders.len(), &*world.upstream(0)), (1, "s0-far"));
}

// A send at home is late, broken, declined or refused by a peer, and the only other upstream is in
// a foreign region.
#[test_case(None; "late")]
#[test_case(Some((SendResult::Broken, SendOutcome::Broken)); "broken")]
#[test_case(Some((SendResult::Declined, SendOutcome::Shed)); "declined")]
#[test_case(Some((SendResult::PeerRefused, SendOutcome::PeerRefused)); "refused by a peer")]
#[test_case(Some((SendResult::NotConnected, SendOutcome::Unreachable)); "unreachable")]
fn no_further_send_leaves_the_home_regions(result: Option<(SendResult, SendOutcome)>) {
    let mut world = World::new(1);
    world.core.fleet.set_peer_regions(["r2".into()].into());
    world.start(&route_with_homes(shards(1), Safety::Idempotent, &["r2"]));
    if let Some((result, outcome)) = result {
        world.end(0, result, outcome);
    }
    world.run_to_answer();
    let sent: Vec<_> = (0..world.orders.len()).map(|order| world.upstream(order)).collect();
    assert!(sent.iter().all(|upstream| **upstream == *"s0-far"), "{sent:?}");
}

// A route gets homes while a request waits for its hedge, and the VM asked to send knows it before
// the requesting VM.
#[test]
fn changed_homes_bind_later_sends_of_a_request() {
    let mut world = World::new(1);
    let unrestricted = route(shards(1), Safety::Idempotent);
    world.start(&unrestricted);
    assert_eq!(&*world.upstream(0), "s0-near");
    let far = world.core.fleet.key("s0-far").unwrap();
    assert!(world.core.permits(Some(&unrestricted), far));
    configure(&mut world, 1, &route_with_homes(shards(1), Safety::Idempotent, &["r1"]));
    world.run_to_answer();
    assert_eq!(world.orders.len(), 1);
    assert!(!world.core.permits(Some(&unrestricted), far));
    // This VM's configuration also binds a send for a VM that does not know of it yet.
    let hosted = Request {
        upstream: "s0-far",
        started: 0,
        fallback: true,
        lent: false,
        route: Some(&unrestricted),
    };
    assert_eq!(world.core.host(world.now, hosted), Err(Refusal::Busy));
}

// No upstream in the home regions can serve the request. It is refused at once, unexecuted, with a
// time to retry.
#[test_case(&["nowhere"], one_service(); "an unknown region")]
#[test_case(&["nowhere"], shards(2); "a search of an unknown region")]
#[test_case(&["r2"], one_service(); "a region without upstreams")]
fn request_without_upstream_in_home_regions_is_refused_at_once(regions: &[&str], target: Target) {
    let mut world = World::new(2);
    (0..2).for_each(|shard| {
        world.core.fleet.remove(&format!("s{shard}-far"));
    });
    let answer = world.start(&route_with_homes(target, Safety::Idempotent, regions));
    let Some(Answer::Refused { retry_after, cause: Cause::Residency }) = answer else {
        panic!("{answer:?}");
    };
    assert!(retry_after > Millis::ZERO && world.orders.is_empty());
}

// An upstream's entry names a failure domain that no VM knows: the upstream may be in any region.
#[test]
fn upstream_of_unknown_domain_is_in_no_home_region() {
    let mut world = World::new(1);
    world.core.fleet.remove("s0-far");
    world.core.fleet.put(world.now, entry("s0-lost", "s0", "lost"));
    world.core.fleet.remove("s0-near");
    assert!(world.start(&route_with_homes(one_service(), Safety::AtMostOnce, &["r1"])).is_some());
    assert!(world.start(&route(one_service(), Safety::AtMostOnce)).is_none());
}

fn regions() -> impl Strategy<Value = Vec<&'static str>> {
    prop::sample::subsequence(vec!["r1", "r2", "nowhere"], 0..=3)
}

fn send_ending() -> impl Strategy<Value = u8> {
    0..7u8
}

proptest! {
    // Whatever happens to sends, upstreams, peers and the configuration: no body is sent to a
    // region that is not a home both by the route as of the request's arrival and by the current
    // configuration.
    #[test]
    fn no_body_goes_into_a_foreign_region(
        arrived in regions(),
        later in regions(),
        change_at in 0..8usize,
        shard_count in 1..4usize,
        single in any::<bool>(),
        once in any::<bool>(),
        peer_regions in prop::sample::subsequence(vec!["r1", "r2"], 0..=2),
        near in 1..40u32,
        extra in prop::collection::vec((0..4usize, any::<bool>()), 0..6),
        endings in prop::collection::vec((send_ending(), 0..8usize), 1..24),
    ) {
        let mut world = World::new(4);
        for (number, (service, far)) in extra.iter().enumerate() {
            let domain = if *far { FAR } else { NEAR };
            world.core.fleet.put(
                world.now,
                entry(&format!("x{number}"), &format!("s{service}"), domain),
            );
        }
        world.core.set_vms(Vms { all: near + 3, in_region: near });
        world.core.fleet.set_peer_regions(peer_regions.iter().map(|region| (*region).into()).collect());
        let target = if single { one_service() } else { search(shard_count) };
        let safety = if single && once { Safety::AtMostOnce } else { Safety::Idempotent };
        let first = route_with_homes(target.clone(), safety, &arrived);
        configure(&mut world, 4, &first);
        let mut required_homes = vec![homes(&arrived)];
        let mut checked = 0;
        let mut ended = Vec::new();
        let mut answer = world.start(&first);
        for (step, (how, which)) in endings.into_iter().enumerate() {
            check(&world, &mut checked, &required_homes);
            if answer.is_some() {
                break;
            }
            if step == change_at {
                configure(&mut world, 4, &route_with_homes(target.clone(), safety, &later));
                required_homes = vec![homes(&arrived), homes(&later)];
            }
            let open: Vec<usize> =
                (0..world.orders.len()).filter(|order| !ended.contains(order)).collect();
            let Some(order) = open.get(which % open.len().max(1)).copied() else {
                answer = world.wake();
                continue;
            };
            let (end, outcome) = match how {
                0 => (answered(200, Some(&format!("seal-{order}")), &[]), SendOutcome::Reply),
                1 => (SendResult::Declined, SendOutcome::Shed),
                2 => (SendResult::Broken, SendOutcome::Broken),
                3 => (SendResult::PeerRefused, SendOutcome::PeerRefused),
                4 => (SendResult::NotConnected, SendOutcome::Unreachable),
                5 => (SendResult::TimedOut, SendOutcome::TimedOut),
                _ => {
                    answer = world.wake();
                    continue;
                }
            };
            ended.push(order);
            answer = world.end(order, end, outcome);
        }
        check(&world, &mut checked, &required_homes);
    }
}

fn search(count: usize) -> Target {
    let services = (0..count).map(|shard| format!("s{shard}").into()).collect();
    Target::Shards(Shards { services, result_limit: 3, min_shard_share: 0.3 })
}

/// Checks the sends that were ordered since the last check.
fn check(world: &World, checked: &mut usize, required_homes: &[Residency]) {
    for order in &world.orders[*checked..] {
        let upstream = world.core.fleet.get(order.ticket.upstream).unwrap();
        let region = if upstream.entry.domain == NEAR.into() { REGIONS[0] } else { REGIONS[1] };
        assert!(
            required_homes.iter().all(|homes| homes.allows(Some(region))),
            "{region}: {required_homes:?}"
        );
        // A peer that is asked to send is in the upstream's own region.
        assert!(order.hop == Hop::Direct || region == REGIONS[1]);
    }
    *checked = world.orders.len();
}
