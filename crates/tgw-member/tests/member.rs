//! Tests of membership without I/O.

use std::net::SocketAddr;
use tgw_clock::Millis;
use tgw_member::{Action, Event, Member, Options};
use tgw_topology::{
    Place, Vm,
    place::{Domain, Region},
};

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7_000))
}

fn lone_vm() -> Member {
    Member::new(Options {
        vm: Vm::from_name("vm-1"),
        name: "vm-1".into(),
        incarnation: 1,
        place: Place { region: Region(0), domain: Domain(0) },
        addr: addr(1),
        power: 0,
        seeds: vec![addr(2), addr(3), addr(4)],
        rng_seed: 7,
    })
}

// All seeds of the settings are dark, and the store names VMs that live. With a few of all of these pinged each second, the
// VM would go on for seconds as if it were the only one.
#[test]
fn all_named_seeds_are_asked_at_once() {
    let mut vm = lone_vm();
    let seeds: Vec<SocketAddr> = (2..10).map(addr).collect();
    let mut actions = Vec::new();
    vm.handle(Millis::new(3_000), Event::Seeds(seeds.clone()), &mut actions);
    let mut asked: Vec<SocketAddr> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Send(to, _) => Some(*to),
            _ => None,
        })
        .collect();
    asked.sort_unstable();
    assert_eq!(asked, seeds);
}
