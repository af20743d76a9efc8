//! Which VM sends the parts of a query.

use crate::world::{World, route, shards};
use proptest::prelude::*;
use std::net::SocketAddr;
use test_case::test_case;
use tgw_clock::Millis;
use tgw_forward::{
    Gathering, Margin,
    core::{Budget, Vms},
    gather::{self, Vm},
    plan::{Answer, SendResult},
    upstream::SendOutcome,
};
use tgw_route::{Config, Safety, Service, Target, Warmup};

const PARTS: usize = 90;

fn addr(id: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, (id >> 8) as u8, id as u8], 1))
}

/// VMs with these powers, spread over failure domains of which three form a region each.
fn vms(powers: &[u32], domains: u8) -> Vec<Vm> {
    let vm = |(id, power): (usize, &u32)| {
        let domain = (id % usize::from(domains)) as u8;
        Vm { id: id as u64, addr: addr(id as u64), power: *power, domain, region: domain % 3 }
    };
    powers.iter().enumerate().map(vm).collect()
}

fn choose(gathering: &Gathering, parts: usize) -> Option<SocketAddr> {
    gathering.choose(parts, 0, |_| false)
}

// Guards against queries that are handed on among VMs of which none is faster.
#[test]
fn equal_vms_gather_their_own_queries() {
    let fleet = vms(&[250; 6], 3);
    for vm in &fleet {
        assert_eq!(choose(&Gathering::new(vm.id, &fleet), PARTS), None);
    }
}

// A query over 90 shards takes 90 ms of the time of a VM with 0.12 of a core.
#[test]
fn a_small_vm_hands_a_large_query_to_a_powerful_one_of_its_domain() {
    let mut powers = vec![120; 60];
    powers[..6].fill(1_000);
    let fleet = vms(&powers, 6);
    for vm in &fleet[6..] {
        let chosen = choose(&Gathering::new(vm.id, &fleet), PARTS).unwrap();
        assert_eq!(chosen, addr(u64::from(vm.domain)));
    }
    assert_eq!(choose(&Gathering::new(7, &fleet), 1), None, "one part is sent sooner from here");
    assert_eq!(choose(&Gathering::new(0, &fleet), PARTS), None, "a gatherer hands nothing on");
}

// Guards against queries that leave their region, in which their bodies may have to stay.
#[test]
fn a_query_stays_in_its_region() {
    let mut powers = vec![120; 24];
    powers[0] = 1_000;
    let fleet = vms(&powers, 6);
    for vm in &fleet[1..] {
        let chosen = choose(&Gathering::new(vm.id, &fleet), PARTS);
        assert_eq!(chosen, (vm.region == 0).then_some(addr(0)));
    }
}

// Guards against a VM whose power is unknown that is given the queries of others, and against one that gives its own
// away.
#[test]
fn a_vm_without_stated_power_gathers_its_own_queries_only() {
    let fleet = vms(&[0, 120, 120, 0, 120, 120], 3);
    assert_eq!(choose(&Gathering::new(0, &fleet), PARTS), None);
    assert_eq!(choose(&Gathering::new(3, &fleet), PARTS), None);
    let mixed = vms(&[0, 120, 120, 120, 120, 120], 3);
    assert_eq!(choose(&Gathering::new(3, &mixed), PARTS), None);
}

#[test]
fn a_silent_gatherer_is_passed_over() {
    let mut powers = vec![120; 12];
    powers[0] = 1_000;
    powers[3] = 1_000;
    let fleet = vms(&powers, 3);
    let gathering = Gathering::new(6, &fleet);
    for number in 0..4 {
        assert_eq!(gathering.choose(PARTS, number, |a| *a == addr(0)), Some(addr(3)));
        assert_eq!(gathering.choose(PARTS, number, |_| true), None);
    }
}

fn core_of(fleet: &[Vm], id: u64, constant: f64, connections: u32) -> World {
    let mut world = World::with_budget(0, Budget { share: 0.0, constant });
    let mut config = Config::default();
    let services = (0..PARTS).map(|shard| format!("s{shard}").into());
    let service = Service { max_connections: connections, warmup: Warmup::default() };
    config.services = services.map(|name| (name, service.clone())).collect();
    config.routes.push(route(shards(PARTS), Safety::Idempotent));
    world.core.configure(&config);
    let region = fleet.iter().find(|vm| vm.id == id).unwrap().region;
    let in_region = fleet.iter().filter(|vm| vm.region == region).count();
    world.core.set_vms(Vms { all: fleet.len() as u32, in_region: in_region as u32 });
    world.core.set_gathering(Gathering::new(id, fleet));
    world
}

/// Extra sends to one shard that a VM makes in one window, of as many declined ones as there are.
fn extra_sends(world: &mut World) -> usize {
    for upstream in 0..200 {
        let id = format!("u{upstream}");
        let entry = crate::world::entry(&id, "s0", crate::world::NEAR);
        world.core.fleet.put(world.now, entry);
    }
    let one = Target::Single("s0".into());
    let mut route = (*route(one, Safety::Idempotent)).clone();
    route.max_attempts = 100;
    let route = std::rc::Rc::new(route);
    let mut extra = 0;
    for _ in 0..60 {
        world.start(&route);
        let mut index = 0;
        while index < world.orders.len() {
            world.end(index, SendResult::Declined, SendOutcome::Shed);
            index += 1;
        }
        extra += world.orders.len().saturating_sub(1);
    }
    extra
}

// 0.8 of the upstreams shed 0.6 of their requests, and each of 60 gatherers has twelve queries in ten seconds. Divided
// by 986 VMs, the operators' budget of 1,040 is one extra send a VM.
#[test]
fn the_budget_is_of_those_who_gather() {
    let mut powers = vec![120; 986];
    powers[..60].fill(1_000);
    let fleet = vms(&powers, 6);
    let extra = extra_sends(&mut core_of(&fleet, 0, 1_040.0, 195));
    assert!(extra >= 12, "{extra} extra sends");
}

// A shard is paused, so that the answer leaves at the last moment. The gatherer is fast, the VM that took the query in
// is slowed and has to read the answer and to write its own.
#[test]
fn an_answer_leaves_the_gatherer_early_enough_for_a_slow_entry() {
    let mut entry = Margin::default();
    (0..200).for_each(|_| entry.record_timer_delay(Millis::new(12)));
    let (age, arrived) = (Millis::new(4), Millis::new(1_000));
    let mut gatherer = World::new(4);
    (0..2_000).for_each(|_| gatherer.core.margin.record_timer_delay(Millis::new(1)));
    gatherer.now = arrived + age;
    let route = route(shards(4), Safety::Idempotent);
    let arrival = gather::arrival(gatherer.now, age, entry.delivery_time(true));
    gatherer.start_arrived(&route, arrival);
    (0..3).for_each(|part| drop(gatherer.reply(part, &crate::world::record(part as u8))));
    let answer = gatherer.run_to_answer();
    assert!(matches!(answer, Answer::Merged { missing: 1, .. }), "{answer:?}");
    let latest = arrived + (route.target_latency - entry.lead_time(true));
    assert!(gatherer.now <= latest, "{} after {latest}", gatherer.now);
}

// Guards against connections that are made for each send, as none is kept where VMs are more than connections.
#[test]
fn a_gatherer_keeps_connections_that_a_vm_among_all_could_not() {
    let mut powers = vec![120; 986];
    powers[..60].fill(1_000);
    let fleet = vms(&powers, 6);
    let kept = |id: u64| {
        let mut world = core_of(&fleet, id, 0.0, 195);
        let entry = crate::world::entry("u", "s0", crate::world::NEAR);
        world.core.fleet.put(world.now, entry);
        world.core.idle_connection_limit(world.core.fleet.key("u").unwrap())
    };
    assert!(kept(0) > 0);
    assert_eq!(kept(500), 0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 8, failure_persistence: None, ..ProptestConfig::default() })]
    // Whichever VMs gather: their extra sends sum up to no more than the operators' budget, and the connections that
    // all VMs keep to one upstream, from its region and from others, to no more than it accepts.
    #[test]
    fn shares_of_all_vms_sum_up_to_the_whole(
        powers in prop::collection::vec(prop_oneof![Just(0u32), Just(120), Just(250), Just(500), Just(1_000)], 1..40),
        domains in 1..7u8,
        constant in 0.0..300.0f64,
        connections in 1..400u32,
    ) {
        let fleet = vms(&powers, domains);
        let (mut extra, mut kept) = (0, 0);
        for vm in &fleet {
            let mut world = core_of(&fleet, vm.id, constant, connections);
            extra += extra_sends(&mut world);
            // Each world takes its VM for one of the region `r1`, in which region 0 has its upstream.
            let domain = if vm.region == 0 { crate::world::NEAR } else { crate::world::FAR };
            world.core.fleet.put(world.now, crate::world::entry("kept", "s0", domain));
            let key = world.core.fleet.key("kept").unwrap();
            kept += world.core.idle_connection_limit(key);
        }
        prop_assert!(extra as f64 <= constant, "{extra} of {constant}");
        prop_assert!(kept <= connections as usize, "{kept} of {connections}");
    }
}

#[test_case(&[1_000, 1_000, 1_000], 3; "one VM a region")]
#[test_case(&[1_000], 1; "one VM")]
fn a_region_with_one_vm_gathers_there(powers: &[u32], domains: u8) {
    let fleet = vms(powers, domains);
    assert_eq!(choose(&Gathering::new(0, &fleet), PARTS), None);
}
