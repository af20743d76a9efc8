//! When a VM that starts reads the store, and whom it asks before.

use std::net::{Ipv4Addr, SocketAddr};
use tgw_clock::Millis;
use tgw_spread::{
    Start,
    start::{Action, Event, Found, Options, Waits},
};

const HOLDER: Found = Found { config: 7, upstreams: 9, reads: false };
const READER: Found = Found { config: 0, upstreams: 0, reads: true };
const NOBODY: Found = Found { config: 0, upstreams: 0, reads: false };

fn addr(last: u8) -> SocketAddr {
    (Ipv4Addr::new(10, 0, 0, last), 7802).into()
}

fn options(seed: bool, first: bool) -> Options {
    let seeds = vec![addr(1), addr(2), addr(3)];
    Options { seed, first, seeds, waits: Waits::default(), random: 1 }
}

fn start(seed: bool, first: bool) -> Start {
    Start::new(Millis::ZERO, options(seed, first))
}

fn on(start: &mut Start, ms: u64, event: Event<'_>) -> Vec<Action> {
    let mut actions = Vec::new();
    start.on(Millis::new(ms), event, &mut actions);
    actions
}

// A fleet starts for the first time. Its seeds read the store at once, as nobody else can hold anything, and
// the others leave it to them for as long as these say that they read.
#[test]
fn seeds_read_and_the_others_wait_for_them() {
    assert_eq!(start(true, true).due(), Millis::ZERO);
    let mut other = start(false, true);
    assert!(other.due() >= Millis::new(1_500));
    for ms in (0..8_000).step_by(400) {
        on(&mut other, ms, Event::Found(addr(1), READER));
        assert!(other.due() > Millis::new(ms + 400), "at {ms}: {}", other.due());
    }
}

// The VM that said that it reads dies before it tells. Who counted on it reads the store itself within a second.
#[test]
fn a_promise_lapses_with_who_gave_it() {
    let mut other = start(false, false);
    on(&mut other, 900, Event::Found(addr(1), READER));
    assert_eq!(other.due(), Millis::new(1_800));
}

// A reader sees nothing of the store that this VM would see, and says so all the time: the wait for it ends.
#[test]
fn a_reader_is_not_waited_for_without_end() {
    let mut other = start(false, false);
    for ms in (0..12_000).step_by(400) {
        on(&mut other, ms, Event::Found(addr(1), READER));
    }
    assert_eq!(other.due(), Millis::new(10_000));
}

// The store turns the seeds away and would serve others. Seeds that neither hold nor read promise nothing.
#[test]
fn seeds_that_are_turned_away_are_not_waited_for() {
    let mut other = start(false, false);
    let due = other.due();
    on(&mut other, 100, Event::Found(addr(1), NOBODY));
    assert_eq!(other.due(), due);
    assert!(due < Millis::new(1_001), "{due}");
}

// All VMs lose power and the seeds come up last. A VM that hears nothing serves by a copy of the store; one that
// found a VM which holds the state leaves that out, unless it is not told for a quarter of a second.
#[test]
fn a_copy_is_read_once_and_only_where_nobody_tells() {
    let mut alone = start(false, false);
    assert!(!alone.reads_copy(Millis::new(59)));
    assert!(alone.reads_copy(Millis::new(60)));
    assert!(!alone.reads_copy(Millis::new(61)), "once");
    let mut told = start(false, false);
    let actions = on(&mut told, 30, Event::Found(addr(2), HOLDER));
    assert_eq!(actions, [Action::Ask(addr(2))]);
    assert!(!told.reads_copy(Millis::new(279)));
    assert!(told.reads_copy(Millis::new(280)));
    assert!(!start(true, false).reads_copy(Millis::new(60)), "a seed reads instead");
    assert!(!start(false, true).reads_copy(Millis::new(60)), "no caller waits yet");
}

// 295 VMs ask three seeds at once. One that has no time names others that it told, and one of these is asked.
#[test]
fn who_is_busy_names_others() {
    let mut other = start(false, false);
    on(&mut other, 10, Event::Found(addr(1), HOLDER));
    assert!(on(&mut other, 20, Event::Found(addr(2), HOLDER)).is_empty(), "one at a time");
    assert_eq!(on(&mut other, 30, Event::Busy(&[addr(40)])), [Action::Ask(addr(40))]);
    assert!(on(&mut other, 31, Event::Busy(&[])).is_empty());
    assert!(!on(&mut other, 32, Event::Found(addr(1), HOLDER)).is_empty(), "free to ask again");
}

// A VM that was asked is paused. After 0.3 s another one is asked, and after 1.5 s the store.
#[test]
fn a_holder_that_does_not_answer_is_not_waited_for() {
    let mut other = start(false, false);
    on(&mut other, 10, Event::Found(addr(1), HOLDER));
    assert_eq!(on(&mut other, 310, Event::Found(addr(2), HOLDER)), [Action::Ask(addr(2))]);
    for ms in (400..4_000).step_by(400) {
        on(&mut other, ms, Event::Found(addr(1), HOLDER));
    }
    assert_eq!(other.due(), Millis::new(1_510));
}

// A peer answers with an older state than this VM holds, or with none: it is neither asked nor waited for.
#[test]
fn an_older_state_is_not_asked_for() {
    let mut other = start(false, false);
    on(&mut other, 10, Event::Holds { config: 8, upstreams: 0 });
    let older = Found { config: 7, upstreams: 0, reads: false };
    assert!(on(&mut other, 20, Event::Found(addr(1), older)).is_empty());
    assert!(!other.is_over(), "it knows no upstreams");
    on(&mut other, 30, Event::Holds { config: 8, upstreams: 9 });
    assert!(other.is_over());
    assert!(on(&mut other, 40, Event::Tick).is_empty(), "nobody is asked any more");
}

// Questions to seeds that are down must not go on at the rate of the first moments.
#[test]
fn questions_become_rarer() {
    let mut other = start(false, false);
    let asked = |start: &mut Start, ms: u64| !on(start, ms, Event::Tick).is_empty();
    let times: Vec<u64> = (0..2_000).filter(|ms| asked(&mut other, *ms)).collect();
    assert_eq!(times, [0, 50, 150, 350, 750, 1_150, 1_550, 1_950]);
}

// The store is away and all VMs wait for its end. Those that others may tell leave the tries to the seeds.
#[test]
fn a_refused_vm_leaves_the_store_to_the_seeds() {
    let mut alone = start(false, false);
    on(&mut alone, 1_000, Event::Refused);
    assert!(alone.due() <= Millis::new(1_000), "nobody else is known");
    let mut other = start(false, false);
    on(&mut other, 900, Event::Found(addr(1), NOBODY));
    on(&mut other, 1_000, Event::Refused);
    assert!(other.due() >= Millis::new(2_000));
    let mut seed = start(true, false);
    on(&mut seed, 900, Event::Found(addr(2), NOBODY));
    on(&mut seed, 1_000, Event::Refused);
    assert_eq!(seed.due(), Millis::new(60));
}
