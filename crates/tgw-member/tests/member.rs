//! Tests of membership without I/O.

use std::net::SocketAddr;
use test_case::test_case;
use tgw_clock::Millis;
use tgw_member::{Action, Event, Member, Options};
use tgw_topology::{
    Place, Vm,
    place::{Domain, Region},
};

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7_000))
}

fn vm(number: u8, seeds: &[u8]) -> Member {
    vm_in(0, number, seeds)
}

fn vm_in(domain: u8, number: u8, seeds: &[u8]) -> Member {
    Member::new(Options {
        vm: Vm::from_name(&format!("vm-{number}")),
        name: format!("vm-{number}"),
        incarnation: 1,
        place: Place { region: Region(0), domain: Domain(domain) },
        addr: addr(number),
        power: 0,
        seeds: seeds.iter().map(|number| addr(*number)).collect(),
        rng_seed: 7,
    })
}

fn lone_vm() -> Member {
    vm(1, &[2, 3, 4])
}

/// VMs of one domain, with the messages between them.
struct Fleet(Vec<Member>);

impl Fleet {
    /// `known` VMs that know one another, and one that knows nobody and whose seeds are dark.
    fn with_newcomer(known: u8) -> Self {
        let mut vms: Vec<Member> = (1..=known).map(|number| vm(number, &[1])).collect();
        vms.push(vm(known + 1, &[99]));
        let mut fleet = Self(vms);
        for at in 1..usize::from(known) {
            fleet.handle(Millis::new(10), at, Event::Seeds(vec![addr(1)]), 0);
        }
        fleet
    }

    fn known(&self, at: usize) -> usize {
        self.0[at].directory().owners().count()
    }

    /// Handles an event at one VM and delivers what follows from it, but for the first `lost` packets.
    fn handle(&mut self, now: Millis, at: usize, event: Event, mut lost: usize) {
        let mut events = vec![(at, event)];
        while let Some((at, event)) = events.pop() {
            let from = addr(at as u8 + 1);
            let mut actions = Vec::new();
            self.0[at].handle(now, event, &mut actions);
            for action in actions {
                let (receiver, event) = match action {
                    Action::Send(to, packet) => (to, Event::Packet(from, packet)),
                    Action::SendRecords(to, records) => (to, Event::Records(records)),
                    _ => continue,
                };
                let receiver = (0..self.0.len()).find(|to| addr(*to as u8 + 1) == receiver);
                if lost > 0 {
                    lost -= 1;
                } else if let Some(to) = receiver {
                    events.push((to, event));
                }
            }
        }
    }
}

// A VM is added whose seeds are all gone. It cannot find the others, as their addresses are nowhere; they find its address in
// the store and call it, and it must then know all of them and not just the one that calls.
#[test_case(0; "no packet is lost")]
#[test_case(1; "the first packet is lost")]
fn a_vm_that_knows_nobody_is_called_and_knows_all(lost: usize) {
    let mut fleet = Fleet::with_newcomer(4);
    assert_eq!((fleet.known(0), fleet.known(4)), (4, 1));
    fleet.handle(Millis::new(3_000), 0, Event::Call(vec![addr(5)]), lost);
    // The timers of the VM that calls.
    for ms in [3_100, 4_100] {
        fleet.handle(Millis::new(ms), 0, Event::Tick, 0);
    }
    assert_eq!((fleet.known(0), fleet.known(4)), (5, 5));
}

// A VM is frozen between its ping of the domain that watches the platform and the answer. It must not take that domain for
// silent as it wakes, nor tell its own domain that the other one is cut off: the answer waits in its socket.
#[test]
fn a_vm_that_was_frozen_takes_nobody_for_silent() {
    let mut fleet = Fleet(vec![vm_in(0, 1, &[1]), vm_in(1, 2, &[1])]);
    for ms in (100..5_000).step_by(100) {
        fleet.handle(Millis::new(ms), 1, Event::Tick, 0);
    }
    assert!(fleet.known(1) == 2 && !fleet.0[1].watches_platform());
    let mut unsent = Vec::new();
    for ms in (5_000..5_400).step_by(100) {
        fleet.0[1].handle(Millis::new(ms), Event::Tick, &mut unsent);
    }
    let pinged = |action: &Action| matches!(action, Action::Send(to, _) if *to == addr(1));
    assert!(unsent.iter().any(pinged));
    for ms in [9_400, 9_500] {
        fleet.0[1].handle(Millis::new(ms), Event::Tick, &mut unsent);
        assert!(!fleet.0[1].watches_platform(), "at {ms}");
        assert!(fleet.0[1].directory().unreachable_domains.is_empty(), "at {ms}");
    }
}

// The store names VMs that have gone. They must not be called forever.
#[test]
fn a_vm_that_does_not_answer_is_not_called_forever() {
    let mut vm = vm(1, &[]);
    let mut actions = Vec::new();
    vm.handle(Millis::new(1_000), Event::Call(vec![addr(1), addr(9)]), &mut actions);
    for second in 2..60 {
        vm.handle(Millis::new(1_000 * second), Event::Tick, &mut actions);
    }
    let calls = |to: SocketAddr| {
        let sent = actions.iter().filter(|a| matches!(a, Action::Send(at, _) if *at == to));
        sent.count()
    };
    assert!((2..=5).contains(&calls(addr(9))), "{}", calls(addr(9)));
    assert_eq!(calls(addr(1)), 0, "itself");
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
