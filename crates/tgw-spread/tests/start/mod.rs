//! When a VM that starts reads the store, and which VMs it asks before.

use std::net::{Ipv4Addr, SocketAddr};
use tgw_clock::Millis;
use tgw_spread::{
    Bootstrap,
    start::{Action, Event, Options, PeerState, Timeouts},
};

const HOLDER: PeerState = PeerState { config: 7, upstreams: 9, reads_store: false };
const READER: PeerState = PeerState { config: 0, upstreams: 0, reads_store: true };
const NEITHER: PeerState = PeerState { config: 0, upstreams: 0, reads_store: false };

fn addr(last: u8) -> SocketAddr {
    (Ipv4Addr::new(10, 0, 0, last), 7802).into()
}

fn options(is_seed: bool, first_start: bool) -> Options {
    let seeds = vec![addr(1), addr(2), addr(3)];
    Options { is_seed, first_start, seeds, timeouts: Timeouts::default(), rng_seed: 1 }
}

fn start(is_seed: bool, first_start: bool) -> Bootstrap {
    Bootstrap::new(Millis::ZERO, options(is_seed, first_start))
}

fn handle(start: &mut Bootstrap, ms: u64, event: Event<'_>) -> Vec<Action> {
    let mut actions = Vec::new();
    start.handle(Millis::new(ms), event, &mut actions);
    actions
}

// A fleet starts for the first time. Its seeds read the store at once, as no other VM can hold the state, and the
// others wait for as long as the seeds answer that they read it.
#[test]
fn seeds_read_the_store_and_other_vms_wait() {
    assert_eq!(start(true, true).store_read_at(), Millis::ZERO);
    let mut other = start(false, true);
    assert!(other.store_read_at() >= Millis::new(1_500));
    for ms in (0..8_000).step_by(400) {
        handle(&mut other, ms, Event::VersionReply(addr(1), READER));
        assert!(
            other.store_read_at() > Millis::new(ms + 400),
            "at {ms}: {}",
            other.store_read_at()
        );
    }
}

// A VM that answered that it reads the store dies before it sends the state. The VM that waits for it reads the store
// itself within a second.
#[test]
fn reader_that_stops_answering_is_not_waited_for() {
    let mut other = start(false, false);
    handle(&mut other, 900, Event::VersionReply(addr(1), READER));
    assert_eq!(other.store_read_at(), Millis::new(1_800));
}

// A reader keeps answering that it reads the store, but cannot see the state that this VM would. The wait is bounded.
#[test]
fn wait_for_a_reader_is_bounded() {
    let mut other = start(false, false);
    for ms in (0..12_000).step_by(400) {
        handle(&mut other, ms, Event::VersionReply(addr(1), READER));
    }
    assert_eq!(other.store_read_at(), Millis::new(10_000));
}

// The store rejects the seeds and would serve others. Seeds that neither hold the state nor read it are not waited for.
#[test]
fn seeds_rejected_by_the_store_are_not_waited_for() {
    let mut other = start(false, false);
    let due = other.store_read_at();
    handle(&mut other, 100, Event::VersionReply(addr(1), NEITHER));
    assert_eq!(other.store_read_at(), due);
    assert!(due < Millis::new(1_001), "{due}");
}

// All VMs lose power and the seeds come up last. A VM without any answer serves from a copy of the store. One that has
// found a holder of the state reads no copy, unless the state has not arrived after a quarter of a second.
#[test]
fn copy_is_read_once_and_only_without_a_timely_holder() {
    let mut alone = start(false, false);
    assert!(!alone.take_copy_due(Millis::new(59)));
    assert!(alone.take_copy_due(Millis::new(60)));
    assert!(!alone.take_copy_due(Millis::new(61)), "once");
    let mut waiting = start(false, false);
    let actions = handle(&mut waiting, 30, Event::VersionReply(addr(2), HOLDER));
    assert_eq!(actions, [Action::RequestState(addr(2))]);
    assert!(!waiting.take_copy_due(Millis::new(279)));
    assert!(waiting.take_copy_due(Millis::new(280)));
    assert!(!start(true, false).take_copy_due(Millis::new(60)), "a seed reads instead");
    assert!(!start(false, true).take_copy_due(Millis::new(60)), "no caller waits yet");
}

// 295 VMs ask three seeds at once. A busy seed names VMs that it has updated, and one of these is asked.
#[test]
fn busy_vm_refers_to_others() {
    let mut other = start(false, false);
    handle(&mut other, 10, Event::VersionReply(addr(1), HOLDER));
    assert!(
        handle(&mut other, 20, Event::VersionReply(addr(2), HOLDER)).is_empty(),
        "one at a time"
    );
    assert_eq!(handle(&mut other, 30, Event::Busy(&[addr(40)])), [Action::RequestState(addr(40))]);
    assert!(handle(&mut other, 31, Event::Busy(&[])).is_empty());
    assert!(
        !handle(&mut other, 32, Event::VersionReply(addr(1), HOLDER)).is_empty(),
        "may ask again"
    );
}

// A VM that was asked for the state is paused. After 0.3 s another one is asked, and after 1.5 s the store is read.
#[test]
fn unresponsive_holder_is_not_waited_for() {
    let mut other = start(false, false);
    handle(&mut other, 10, Event::VersionReply(addr(1), HOLDER));
    assert_eq!(
        handle(&mut other, 310, Event::VersionReply(addr(2), HOLDER)),
        [Action::RequestState(addr(2))]
    );
    for ms in (400..4_000).step_by(400) {
        handle(&mut other, ms, Event::VersionReply(addr(1), HOLDER));
    }
    assert_eq!(other.store_read_at(), Millis::new(1_510));
}

// A peer answers with older versions than this VM holds, or with none: it is neither asked nor waited for.
#[test]
fn older_state_is_not_requested() {
    let mut other = start(false, false);
    handle(&mut other, 10, Event::OwnVersions { config: 8, upstreams: 0 });
    let older = PeerState { config: 7, upstreams: 0, reads_store: false };
    assert!(handle(&mut other, 20, Event::VersionReply(addr(1), older)).is_empty());
    assert!(!other.is_complete(), "it has no upstreams");
    handle(&mut other, 30, Event::OwnVersions { config: 8, upstreams: 9 });
    assert!(other.is_complete());
    assert!(handle(&mut other, 40, Event::Tick).is_empty(), "no VM is queried any more");
}

// Queries to seeds that are down must not go on at the initial rate.
#[test]
fn query_interval_doubles_up_to_its_limit() {
    let mut other = start(false, false);
    let queries = |start: &mut Bootstrap, ms: u64| !handle(start, ms, Event::Tick).is_empty();
    let times: Vec<u64> = (0..2_000).filter(|ms| queries(&mut other, *ms)).collect();
    assert_eq!(times, [0, 50, 150, 350, 750, 1_150, 1_550, 1_950]);
}

// The store is down and all VMs wait for its return. A VM that others can update backs off, so that mostly seeds retry.
#[test]
fn refused_vm_leaves_retries_to_the_seeds() {
    let mut alone = start(false, false);
    handle(&mut alone, 1_000, Event::StoreRefused);
    assert!(alone.store_read_at() <= Millis::new(1_000), "no other VM has answered");
    let mut other = start(false, false);
    handle(&mut other, 900, Event::VersionReply(addr(1), NEITHER));
    handle(&mut other, 1_000, Event::StoreRefused);
    assert!(other.store_read_at() >= Millis::new(2_000));
    let mut seed = start(true, false);
    handle(&mut seed, 900, Event::VersionReply(addr(2), NEITHER));
    handle(&mut seed, 1_000, Event::StoreRefused);
    assert_eq!(seed.store_read_at(), Millis::new(60));
}
