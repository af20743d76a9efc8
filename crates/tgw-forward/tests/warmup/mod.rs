//! Leases to send to cold upstreams.

use super::{
    one_service,
    world::{FAR, NEAR, World, entry, route, shards},
};
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};
use test_case::test_case;
use tgw_clock::Millis;
use tgw_forward::{
    Scope,
    core::SendMode,
    fleet::{Choice, Hop},
    hosting::{Refusal, Request},
    plan::{Answer, Cause, SendResult},
    upstream::{Entry, SendOutcome},
    warmup::{Candidate, Candidates, DEAD_VM_LEASE_RETENTION_MS, Headroom, LeaseTerms},
};
use tgw_route::{Config, Safety, Service, Warmup};

const HEADROOM: Headroom = Headroom { factor: 1.5, constant: 5.0 };
const WANTED_REQUESTS: usize = 50;
const WARMUP_MS: Millis = Millis::new(3_000);

fn candidate(vm: u64) -> Candidate {
    let addr = SocketAddr::from((Ipv4Addr::new(10, 0, 0, vm as u8), 1));
    Candidate { vm, addr, dead_until: None }
}

fn candidate_set(own: u64, near: &[Candidate]) -> Candidates {
    let domains: BTreeMap<Rc<str>, Vec<Candidate>> =
        [(NEAR.into(), near.to_vec()), (FAR.into(), vec![candidate(9)])].into();
    Candidates::new(own, domains)
}

/// A VM with recent contact to its peers, and a service whose upstreams accept `rate` requests a
/// second while cold.
fn world_with_rate(rate: f64, own: u64, near: &[Candidate]) -> World {
    let mut world = World::new(1);
    let warmup = Warmup { duration: WARMUP_MS, requests_per_s: rate };
    let mut config = Config::default();
    config.services.insert("s0".into(), Service { max_connections: 73, warmup });
    world.core.set_headroom(HEADROOM);
    world.core.configure(&config);
    world.core.fleet.set_peer_regions(["r2".into()].into());
    world.core.fleet.set_candidates(candidate_set(own, near));
    world.core.fleet.record_contact(world.now);
    world
}

fn make_cold(world: &mut World) {
    world.core.fleet.remove("s0-far");
    let entry = Entry { warmup: WARMUP_MS, ..entry("s0-near", "s0", NEAR) };
    world.core.fleet.put(world.now, entry);
}

fn pick(world: &World) -> Option<Choice> {
    let limits = world.core.send_limits("s0", SendMode::Peers);
    world.core.fleet.pick(world.now, "s0", limits, &[], Scope::default())
}

/// Requests that are written at once, of many that are wanted.
fn count_writes(world: &mut World) -> usize {
    let mut count = 0;
    for _ in 0..WANTED_REQUESTS {
        let Some(choice) = pick(world).filter(|choice| choice.hop == Hop::Direct) else { break };
        let ticket = world.core.fleet.record_send(world.now, choice.key);
        if !world.core.authorize_write(world.now, None, ticket) {
            break;
        }
        world.core.fleet.connection_opened(choice.key);
        world.core.fleet.record_outcome(world.now, ticket, SendOutcome::Abandoned);
        count += 1;
    }
    count
}

#[test_case(0.0, None; "no rate configured")]
#[test_case(0.25, Some(1); "less than one a second")]
#[test_case(1.0, Some(1))]
#[test_case(4.0, Some(4))]
#[test_case(20.0, Some(17); "two holders stay within the limit of the operators")]
fn lease_terms_by_rate(rate: f64, max_requests: Option<usize>) {
    assert_eq!(LeaseTerms::new(rate, HEADROOM).map(LeaseTerms::max_requests), max_requests);
}

// The limit is below one request a second: each of the two possible holders sends less often.
#[test]
fn rate_below_one_per_second_extends_the_span() {
    let mut world = world_with_rate(0.25, 1, &[candidate(1)]);
    make_cold(&mut world);
    assert_eq!(count_writes(&mut world), 1);
    world.advance(2_900);
    world.core.fleet.record_contact(world.now);
    assert_eq!(count_writes(&mut world), 0);
}

// Three VMs know a cold upstream. One of them sends, the others send through it.
#[test]
fn one_vm_holds_the_lease_and_others_send_through_it() {
    let candidates = [candidate(1), candidate(2), candidate(3)];
    let mut direct = Vec::new();
    let mut through = Vec::new();
    for own in 1..=3 {
        let mut world = world_with_rate(4.0, own, &candidates);
        make_cold(&mut world);
        let choice = pick(&world).unwrap();
        match choice.hop {
            Hop::Direct => direct.push(own),
            Hop::Peer => {
                through.push(world.core.fleet.lease_holder(world.now, choice.key).unwrap().vm);
            }
        }
    }
    assert_eq!((direct.len(), through.len()), (1, 2));
    assert!(through.iter().all(|vm| *vm == direct[0]), "{direct:?} {through:?}");
}

// Callers send more requests than a cold upstream accepts.
#[test]
fn writes_stay_within_the_rate() {
    let mut world = world_with_rate(4.0, 1, &[candidate(1)]);
    make_cold(&mut world);
    assert_eq!(count_writes(&mut world), 4);
    world.advance(900);
    assert_eq!(count_writes(&mut world), 0);
    world.advance(101);
    world.core.fleet.record_contact(world.now);
    assert_eq!(count_writes(&mut world), 4);
    let hosted =
        Request { upstream: "s0-near", started: 0, fallback: true, lent: false, route: None };
    assert_eq!(world.core.host(world.now, hosted), Err(Refusal::Busy));
    world.advance(WARMUP_MS.as_whole_ms());
    assert_eq!(count_writes(&mut world), WANTED_REQUESTS, "it is warm");
}

// Sends wait for connections and are written together: they count when they are written.
#[test]
fn sends_that_wait_for_connections_count_when_they_are_written() {
    let mut world = world_with_rate(4.0, 1, &[candidate(1)]);
    make_cold(&mut world);
    let key = pick(&world).unwrap().key;
    let tickets: Vec<_> = (0..9).map(|_| world.core.fleet.record_send(world.now, key)).collect();
    assert_eq!(pick(&world), None);
    world.advance(200);
    let written =
        tickets.iter().filter(|t| world.core.authorize_write(world.now, None, **t)).count();
    assert_eq!(written, 4);
}

// A VM that is partitioned, or knows no VM yet, would consider itself the only lease holder.
#[test_case(&[1, 2, 3], &[], 1_000; "no contact for a second")]
#[test_case(&[1], &[2, 3], 0; "most considered dead")]
fn vm_without_contact_or_majority_sends_nothing(live: &[u64], dead: &[u64], elapsed_ms: u64) {
    let mut world = world_with_rate(4.0, 1, &[]);
    let until = Some(world.now);
    let dead_vms = dead.iter().map(|vm| Candidate { dead_until: until, ..candidate(*vm) });
    let candidates: Vec<Candidate> = live.iter().map(|vm| candidate(*vm)).chain(dead_vms).collect();
    for own in live {
        world.core.fleet.set_candidates(candidate_set(*own, &candidates));
        make_cold(&mut world);
        world.core.fleet.record_contact(world.now);
        world.now += Millis::new(elapsed_ms);
        assert_eq!(count_writes(&mut world), 0);
    }
}

#[test]
fn vm_without_roster_sends_nothing() {
    let mut world = world_with_rate(4.0, 1, &[]);
    world.core.fleet.set_candidates(Candidates::default());
    make_cold(&mut world);
    assert_eq!(count_writes(&mut world), 0);
}

// The lease holder dies. Another VM takes over, once the dead one can no longer rely on its lease.
#[test]
fn lease_of_dead_vm_moves_after_retention() {
    let candidates = [candidate(1), candidate(2), candidate(3)];
    let holder = (1..=3).find(|own| {
        let mut world = world_with_rate(4.0, *own, &candidates);
        make_cold(&mut world);
        count_writes(&mut world) > 0
    });
    let holder = holder.unwrap();
    let mut took_over = 0;
    for own in (1..=3).filter(|own| *own != holder) {
        let mut world = world_with_rate(4.0, own, &candidates);
        make_cold(&mut world);
        let until = Some(world.now + DEAD_VM_LEASE_RETENTION_MS);
        let candidates = candidates.clone().map(|candidate| match candidate.vm == holder {
            true => Candidate { dead_until: until, ..candidate },
            false => candidate,
        });
        world.core.fleet.set_candidates(candidate_set(own, &candidates));
        assert_eq!(count_writes(&mut world), 0);
        world.now += DEAD_VM_LEASE_RETENTION_MS;
        world.core.fleet.record_contact(world.now);
        took_over += usize::from(count_writes(&mut world) > 0);
    }
    assert_eq!(took_over, 1);
}

// An evacuation ends, or a send timed out: the upstream may be cold, and reports it only with its
// next heartbeat.
#[test_case(true; "evacuated")]
#[test_case(false; "timed out")]
fn returning_upstream_may_be_cold(evacuated: bool) {
    let mut world = world_with_rate(4.0, 1, &[candidate(1)]);
    world.core.fleet.remove("s0-far");
    if evacuated {
        world.core.fleet.set_evacuated(world.now, [NEAR.into()].into());
        world.core.fleet.set_evacuated(world.now, [].into());
    } else {
        let key = pick(&world).unwrap().key;
        let ticket = world.core.fleet.record_send(world.now, key);
        world.core.fleet.record_outcome(world.now, ticket, SendOutcome::TimedOut);
    }
    assert_eq!(count_writes(&mut world), 4);
}

// All upstreams of a shard are cold. A search goes to the lease holder; an at-most-once request is
// refused at once by a VM without the lease.
#[test]
fn search_goes_through_lease_holder_and_single_request_is_refused() {
    let candidates = [candidate(1), candidate(2), candidate(3)];
    for own in 1..=3 {
        let mut world = world_with_rate(4.0, own, &candidates);
        make_cold(&mut world);
        let holds = pick(&world).is_some_and(|choice| choice.hop == Hop::Direct);
        world.start(&route(shards(1), Safety::Idempotent));
        assert_eq!(world.orders[0].hop == Hop::Direct, holds);
        world.end(0, SendResult::PeerRefused, SendOutcome::PeerRefused);
        let answer = world.start(&route(one_service(), Safety::AtMostOnce));
        let refused = matches!(answer, Some(Answer::Refused { cause: Cause::Cold, .. }));
        assert_eq!(refused, !holds, "{answer:?}");
    }
}

// No VM is left in the region of a cold upstream. The lease holder in another region sends its own
// requests there; others send nothing through it, as requests may have their home in the upstream's
// region.
#[test]
fn no_send_through_vm_of_another_region() {
    for own in [1, 9] {
        let mut world = world_with_rate(4.0, own, &[]);
        let domains = [(FAR.into(), vec![candidate(9)])].into();
        world.core.fleet.set_candidates(Candidates::new(own, domains));
        make_cold(&mut world);
        assert_eq!(pick(&world).map(|choice| choice.hop), (own == 9).then_some(Hop::Direct));
    }
}

// Warm upstreams elsewhere have room: a cold one gets only requests that no other can take.
#[test]
fn cold_upstream_is_chosen_last() {
    let mut world = world_with_rate(4.0, 1, &[candidate(1)]);
    world.core.fleet.put(world.now, Entry { warmup: WARMUP_MS, ..entry("s0-near", "s0", NEAR) });
    world.start(&route(one_service(), Safety::AtMostOnce));
    assert_eq!(&*world.upstream(0), "s0-far");
}

// Without a configured warm-up rate, leases have no effect.
#[test]
fn without_rate_limit_every_vm_sends() {
    let mut world = world_with_rate(0.0, 1, &[]);
    world.core.fleet.set_candidates(Candidates::default());
    make_cold(&mut world);
    assert_eq!(count_writes(&mut world), WANTED_REQUESTS);
}
