//! An upstream that starts again under its identity is another process.

use crate::world::{NEAR, World, entry, route, shards};
use test_case::test_case;
use tgw_clock::Millis;
use tgw_forward::{
    Catalog,
    plan::{Answer, Cause, Ended},
    upstream::{Entry, Sign, Word},
};
use tgw_route::{Safety, Target};

fn one() -> Target {
    Target::One("s0".into())
}

fn started(at: u64) -> Entry {
    Entry { started: at, ..entry("s0-near", "s0", NEAR) }
}

fn near(world: &World) -> Entry {
    let key = world.core.fleet.key("s0-near").unwrap();
    world.core.fleet.get(key).unwrap().entry.clone()
}

// An upstream was paused, its sends overdue, and was then started anew under its identity. Nothing stands
// at the new process: requests that went to another region because of the old one come back at once.
#[test]
fn a_new_process_is_not_blamed_for_the_one_before() {
    let mut world = World::new(1);
    let route = route(one(), Safety::Idempotent);
    world.core.fleet.put(world.now, started(100));
    world.start(&route);
    world.pass(150);
    world.start(&route);
    assert_eq!(&*world.upstream(0), "s0-far");
    world.core.fleet.put(world.now, started(200));
    world.start(&route);
    assert_eq!(&*world.upstream(0), "s0-near");
}

// A request was on its way when the upstream started again, with the connection's reset still to come. What
// becomes of it says nothing of the new process, which would be passed over for a quarter of a second.
#[test]
fn the_end_of_a_send_to_the_process_before_counts_for_nobody() {
    let mut world = World::new(1);
    let route = route(one(), Safety::Once);
    world.core.fleet.put(world.now, started(100));
    world.start(&route);
    world.core.fleet.put(world.now, started(200));
    let answer = world.end(0, Ended::Broken, Sign::Unreachable);
    assert!(matches!(answer, Some(Answer::Failed(Cause::Upstreams))), "{answer:?}");
    world.start(&route);
    assert_eq!(&*world.upstream(0), "s0-near");
}

// An order was accepted by a process that ended before its reply. The identity serves again at once. The
// order may have run: it is neither sent to the new process nor called "not run".
#[test_case(Ended::Broken; "reset")]
#[test_case(Ended::Silent; "silent")]
fn what_may_have_run_is_not_repeated_to_the_new_process(ended: Ended) {
    let mut world = World::new(1);
    world.core.fleet.put(world.now, started(100));
    world.start(&route(one(), Safety::Once));
    assert_eq!(&*world.upstream(0), "s0-near");
    world.core.fleet.put(world.now, started(200));
    let answer = world.end(0, ended, Sign::Broken);
    assert!(matches!(answer, Some(Answer::Failed(Cause::Upstreams))), "{answer:?}");
    assert_eq!(world.orders.len(), 1);
}

// The same for a part of a query, which may run twice: the new process serves it.
#[test]
fn a_part_lost_with_its_process_is_asked_of_the_new_one() {
    let mut world = World::new(1);
    world.core.fleet.remove("s0-far");
    world.core.fleet.put(world.now, started(100));
    world.start(&route(shards(1), Safety::Idempotent));
    world.core.fleet.put(world.now, started(200));
    assert!(world.end(0, Ended::Broken, Sign::Broken).is_none());
    assert_eq!(world.orders.len(), 2);
    assert!(matches!(world.reply(1, &[]), Some(Answer::Merged { missing: 0, .. })));
}

// The last heartbeat of a process takes effect in the store after the first one of its successor. Requests
// would go to an address at which nothing listens, or be kept from one that does not leave at all.
#[test]
fn the_last_word_of_an_earlier_process_is_not_taken() {
    let mut world = World::new(1);
    world.core.fleet.put(world.now, started(200));
    world.core.fleet.put(world.now, Entry { draining: true, ..started(100) });
    assert_eq!(near(&world), started(200));
}

// A leaving upstream starts again. It takes requests: what left was its predecessor.
#[test]
fn a_restart_ends_the_drain_of_the_process_before() {
    let mut world = World::new(1);
    world.core.fleet.put(world.now, Entry { draining: true, ..started(100) });
    world.core.fleet.put(world.now, started(200));
    world.start(&route(one(), Safety::Idempotent));
    assert_eq!(&*world.upstream(0), "s0-near");
}

// Entries lapse while the store is away, and an upstream is restarted meanwhile. Its new entry is the one
// that is kept when the time for old ones to come back is over.
#[test]
fn a_restart_in_an_outage_of_the_store_is_not_given_up() {
    let mut world = World::new(1);
    let (mut catalog, fleet) = (Catalog::default(), &mut world.core.fleet);
    catalog.listed(Millis::ZERO, vec![started(100)], &[], fleet);
    catalog.lost(Millis::new(4_900));
    catalog.listed(Millis::new(5_000), vec![], &[], fleet);
    catalog.changed(Millis::new(5_500), started(200), fleet);
    assert!(catalog.tick(Millis::new(9_000), fleet).is_empty());
    assert_eq!(near(&world), started(200));
}

// Another VM still tells that the old process is late. The new one is not, and would be passed over.
#[test]
fn word_of_the_process_before_is_not_taken_for_the_new_one() {
    let mut world = World::new(1);
    world.core.fleet.put(world.now, started(200));
    let word = Word { overdue: true, expected: 400.0 };
    world.core.fleet.told(world.now, "s0-near", 100, word);
    world.start(&route(one(), Safety::Idempotent));
    assert_eq!(&*world.upstream(0), "s0-near");
}

// Somebody else overwrites the entry of an upstream with something unreadable right after an outage of the
// store, while lapsed entries are waited for. It names no upstream, from then on.
#[test]
fn an_entry_that_turns_unreadable_is_not_waited_for() {
    let mut world = World::new(1);
    let (mut catalog, fleet) = (Catalog::default(), &mut world.core.fleet);
    catalog.listed(Millis::ZERO, vec![started(100)], &[], fleet);
    catalog.lost(Millis::new(4_900));
    catalog.listed(Millis::new(5_000), vec![], &["s0-near".into()], fleet);
    assert_eq!(fleet.key("s0-near"), None);
    assert_eq!(catalog.doubts().count(), 0);
}
