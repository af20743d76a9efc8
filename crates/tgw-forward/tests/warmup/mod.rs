//! Upstreams that bear few requests while they are cold.

use super::{
    one,
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
    core::Way,
    fleet::{Choice, Hop},
    hosting::{Refusal, Request},
    plan::{Answer, Cause, Ended},
    upstream::{Entry, Sign},
    warmup::{Allowance, Excess, REMEMBERED, Roster, Seat},
};
use tgw_route::{Config, Safety, Service, Warmup};

const EXCESS: Excess = Excess { factor: 1.5, constant: 5.0 };
const WANTED: usize = 50;
const SPAN: Millis = Millis::new(3_000);

fn seat(vm: u64) -> Seat {
    let addr = SocketAddr::from((Ipv4Addr::new(10, 0, 0, vm as u8), 1));
    Seat { vm, addr, dead_until: None }
}

fn roster(own: u64, near: &[Seat]) -> Roster {
    let domains: BTreeMap<Rc<str>, Vec<Seat>> =
        [(NEAR.into(), near.to_vec()), (FAR.into(), vec![seat(9)])].into();
    Roster::new(own, domains)
}

/// A VM that knows its peers and heard of them just now, of a service whose upstreams bear `rate` while cold.
fn limited(rate: f64, own: u64, near: &[Seat]) -> World {
    let mut world = World::new(1);
    let warmup = Warmup { span: SPAN, rate };
    let mut config = Config::default();
    config.services.insert("s0".into(), Service { connections: 73, warmup });
    world.core.set_excess(EXCESS);
    world.core.configure(&config);
    world.core.fleet.set_manned(["r2".into()].into());
    world.core.fleet.set_roster(roster(own, near));
    world.core.fleet.heard(world.now);
    world
}

fn cold(world: &mut World) {
    world.core.fleet.remove("s0-far");
    let entry = Entry { warmup: SPAN, ..entry("s0-near", "s0", NEAR) };
    world.core.fleet.put(world.now, entry);
}

fn pick(world: &World) -> Option<Choice> {
    let most = world.core.most("s0", Way::Peers);
    world.core.fleet.pick(world.now, "s0", most, &[], Scope::default())
}

/// Requests that are written at once, of many that are wanted.
fn writes(world: &mut World) -> usize {
    let mut count = 0;
    for _ in 0..WANTED {
        let Some(choice) = pick(world).filter(|choice| choice.hop == Hop::Direct) else { break };
        let ticket = world.core.fleet.send(world.now, choice.key);
        if !world.core.clear(world.now, None, ticket) {
            break;
        }
        world.core.fleet.opened(choice.key);
        world.core.fleet.end(world.now, ticket, Sign::Dropped);
        count += 1;
    }
    count
}

#[test_case(0.0, None; "none stated")]
#[test_case(0.25, Some(1); "less than one a second")]
#[test_case(1.0, Some(1))]
#[test_case(4.0, Some(4))]
#[test_case(20.0, Some(17); "two at a time stay within what operators allow")]
fn what_one_vm_may_send(rate: f64, most: Option<usize>) {
    assert_eq!(Allowance::new(rate, EXCESS).map(Allowance::most), most);
}

// Operators allow less than one request a second: both that may hold the right send seldom.
#[test]
fn what_is_less_than_one_a_second_is_spread() {
    let mut world = limited(0.25, 1, &[seat(1)]);
    cold(&mut world);
    assert_eq!(writes(&mut world), 1);
    world.pass(2_900);
    world.core.fleet.heard(world.now);
    assert_eq!(writes(&mut world), 0);
}

// Three VMs know of a cold upstream. One of them sends, the others send through it.
#[test]
fn one_vm_holds_the_right_and_the_others_send_through_it() {
    let seats = [seat(1), seat(2), seat(3)];
    let mut direct = Vec::new();
    let mut through = Vec::new();
    for own in 1..=3 {
        let mut world = limited(4.0, own, &seats);
        cold(&mut world);
        let choice = pick(&world).unwrap();
        match choice.hop {
            Hop::Direct => direct.push(own),
            Hop::Peer => through.push(world.core.fleet.through(world.now, choice.key).unwrap().vm),
        }
    }
    assert_eq!((direct.len(), through.len()), (1, 2));
    assert!(through.iter().all(|vm| *vm == direct[0]), "{direct:?} {through:?}");
}

// Callers want more of a cold upstream than it bears.
#[test]
fn no_more_is_written_than_it_bears() {
    let mut world = limited(4.0, 1, &[seat(1)]);
    cold(&mut world);
    assert_eq!(writes(&mut world), 4);
    world.pass(900);
    assert_eq!(writes(&mut world), 0);
    world.pass(101);
    world.core.fleet.heard(world.now);
    assert_eq!(writes(&mut world), 4);
    let asked = Request { upstream: "s0-near", started: 0, insist: true, lent: false, route: None };
    assert_eq!(world.core.host(world.now, asked), Err(Refusal::Busy));
    world.pass(SPAN.whole());
    assert_eq!(writes(&mut world), WANTED, "it is warm");
}

// Sends wait for connections and are written together: what counts is when they are written.
#[test]
fn sends_that_wait_for_connections_count_when_they_are_written() {
    let mut world = limited(4.0, 1, &[seat(1)]);
    cold(&mut world);
    let key = pick(&world).unwrap().key;
    let tickets: Vec<_> = (0..9).map(|_| world.core.fleet.send(world.now, key)).collect();
    assert_eq!(pick(&world), None);
    world.pass(200);
    let written = tickets.iter().filter(|t| world.core.clear(world.now, None, **t)).count();
    assert_eq!(written, 4);
}

// A VM that is cut off, or knows nobody yet, takes itself for the only one that may send.
#[test_case(&[1, 2, 3], &[], 1_000; "nothing heard for a second")]
#[test_case(&[1], &[2, 3], 0; "most are taken for dead")]
fn who_is_not_sure_sends_nothing(live: &[u64], dead: &[u64], silence: u64) {
    let mut world = limited(4.0, 1, &[]);
    let until = Some(world.now);
    let lost = dead.iter().map(|vm| Seat { dead_until: until, ..seat(*vm) });
    let seats: Vec<Seat> = live.iter().map(|vm| seat(*vm)).chain(lost).collect();
    for own in live {
        world.core.fleet.set_roster(roster(*own, &seats));
        cold(&mut world);
        world.core.fleet.heard(world.now);
        world.now += Millis::new(silence);
        assert_eq!(writes(&mut world), 0);
    }
}

#[test]
fn who_knows_nobody_yet_sends_nothing() {
    let mut world = limited(4.0, 1, &[]);
    world.core.fleet.set_roster(Roster::default());
    cold(&mut world);
    assert_eq!(writes(&mut world), 0);
}

// The VM that holds the right dies. Another takes over, once the dead one cannot believe any more that it holds it.
#[test]
fn the_right_of_a_dead_vm_passes_on_after_a_while() {
    let seats = [seat(1), seat(2), seat(3)];
    let holder = (1..=3).find(|own| {
        let mut world = limited(4.0, *own, &seats);
        cold(&mut world);
        writes(&mut world) > 0
    });
    let holder = holder.unwrap();
    let mut took_over = 0;
    for own in (1..=3).filter(|own| *own != holder) {
        let mut world = limited(4.0, own, &seats);
        cold(&mut world);
        let until = Some(world.now + REMEMBERED);
        let seats = seats.clone().map(|seat| match seat.vm == holder {
            true => Seat { dead_until: until, ..seat },
            false => seat,
        });
        world.core.fleet.set_roster(roster(own, &seats));
        assert_eq!(writes(&mut world), 0);
        world.now += REMEMBERED;
        world.core.fleet.heard(world.now);
        took_over += usize::from(writes(&mut world) > 0);
    }
    assert_eq!(took_over, 1);
}

// An evacuation is taken back, or an upstream was silent: it may be cold, and says so only with its next heartbeat.
#[test_case(true; "evacuated")]
#[test_case(false; "silent")]
fn what_comes_back_may_be_cold(evacuated: bool) {
    let mut world = limited(4.0, 1, &[seat(1)]);
    world.core.fleet.remove("s0-far");
    if evacuated {
        world.core.fleet.set_evacuated(world.now, [NEAR.into()].into());
        world.core.fleet.set_evacuated(world.now, [].into());
    } else {
        let key = pick(&world).unwrap().key;
        let ticket = world.core.fleet.send(world.now, key);
        world.core.fleet.end(world.now, ticket, Sign::Silent);
    }
    assert_eq!(writes(&mut world), 4);
}

// A search whose shard is all cold gets what it can have; a request that may run once is refused at once by a VM that
// may not send.
#[test]
fn a_search_goes_through_the_holder_and_a_single_request_is_refused() {
    let seats = [seat(1), seat(2), seat(3)];
    for own in 1..=3 {
        let mut world = limited(4.0, own, &seats);
        cold(&mut world);
        let holds = pick(&world).is_some_and(|choice| choice.hop == Hop::Direct);
        world.start(&route(shards(1), Safety::Idempotent));
        assert_eq!(world.orders[0].hop == Hop::Direct, holds);
        world.end(0, Ended::Busy, Sign::Busy);
        let answer = world.start(&route(one(), Safety::Once));
        let refused = matches!(answer, Some(Answer::Refused { cause: Cause::Cold, .. }));
        assert_eq!(refused, !holds, "{answer:?}");
    }
}

// No VM is left in the region of a cold upstream: the one elsewhere that holds the right sends what callers ask of it, and is
// sent nothing by others, as requests may have their home where the upstream is.
#[test]
fn nothing_goes_through_a_vm_of_another_region() {
    for own in [1, 9] {
        let mut world = limited(4.0, own, &[]);
        let domains = [(FAR.into(), vec![seat(9)])].into();
        world.core.fleet.set_roster(Roster::new(own, domains));
        cold(&mut world);
        assert_eq!(pick(&world).map(|choice| choice.hop), (own == 9).then_some(Hop::Direct));
    }
}

// Warm upstreams elsewhere have room: a cold one gets nothing that it need not have.
#[test]
fn a_cold_upstream_comes_last() {
    let mut world = limited(4.0, 1, &[seat(1)]);
    world.core.fleet.put(world.now, Entry { warmup: SPAN, ..entry("s0-near", "s0", NEAR) });
    world.start(&route(one(), Safety::Once));
    assert_eq!(&*world.upstream(0), "s0-far");
}

// Nobody states what upstreams bear: none of this takes effect.
#[test]
fn without_a_limit_every_vm_sends() {
    let mut world = limited(0.0, 1, &[]);
    world.core.fleet.set_roster(Roster::default());
    cold(&mut world);
    assert_eq!(writes(&mut world), WANTED);
}
