//! An upstream that restarts under its identity is a new process.

use crate::world::{NEAR, World, entry, route, shards};
use test_case::test_case;
use tgw_clock::Millis;
use tgw_forward::{
    Catalog,
    plan::{Answer, Cause, SendResult},
    upstream::{Entry, PeerReport, SendOutcome},
};
use tgw_route::{Safety, Target};

fn one_service() -> Target {
    Target::Single("s0".into())
}

fn incarnation(at: u64) -> Entry {
    Entry { started: at, ..entry("s0-near", "s0", NEAR) }
}

fn near_entry(world: &World) -> Entry {
    let key = world.core.fleet.key("s0-near").unwrap();
    world.core.fleet.get(key).unwrap().entry.clone()
}

// An upstream was paused with overdue sends, and restarts under its identity. The new process has
// none of these sends: requests that went to another region return at once.
#[test]
fn new_process_does_not_inherit_overdue_sends() {
    let mut world = World::new(1);
    let route = route(one_service(), Safety::Idempotent);
    world.core.fleet.put(world.now, incarnation(100));
    world.start(&route);
    world.advance(150);
    world.start(&route);
    assert_eq!(&*world.upstream(0), "s0-far");
    world.core.fleet.put(world.now, incarnation(200));
    world.start(&route);
    assert_eq!(&*world.upstream(0), "s0-near");
}

// A request is in flight when the upstream restarts, before its connection is reset. Its outcome
// must not apply to the new process, which would be backed off from for a quarter of a second.
#[test]
fn outcome_of_send_to_previous_process_is_ignored() {
    let mut world = World::new(1);
    let route = route(one_service(), Safety::AtMostOnce);
    world.core.fleet.put(world.now, incarnation(100));
    world.start(&route);
    world.core.fleet.put(world.now, incarnation(200));
    let answer = world.end(0, SendResult::Broken, SendOutcome::Unreachable);
    assert!(matches!(answer, Some(Answer::Failed(Cause::UpstreamsFailed))), "{answer:?}");
    world.start(&route);
    assert_eq!(&*world.upstream(0), "s0-near");
}

// An upstream accepts an order, terminates before its reply, and restarts under its identity. The
// order may have been executed: it is neither sent to the new process nor reported as not executed.
#[test_case(SendResult::Broken; "reset")]
#[test_case(SendResult::TimedOut; "silent")]
fn possibly_executed_order_is_not_sent_to_new_process(result: SendResult) {
    let mut world = World::new(1);
    world.core.fleet.put(world.now, incarnation(100));
    world.start(&route(one_service(), Safety::AtMostOnce));
    assert_eq!(&*world.upstream(0), "s0-near");
    world.core.fleet.put(world.now, incarnation(200));
    let answer = world.end(0, result, SendOutcome::Broken);
    assert!(matches!(answer, Some(Answer::Failed(Cause::UpstreamsFailed))), "{answer:?}");
    assert_eq!(world.orders.len(), 1);
}

// The same for a part of a query, which may be executed twice: the new process serves it.
#[test]
fn lost_part_is_retried_at_new_process() {
    let mut world = World::new(1);
    world.core.fleet.remove("s0-far");
    world.core.fleet.put(world.now, incarnation(100));
    world.start(&route(shards(1), Safety::Idempotent));
    world.core.fleet.put(world.now, incarnation(200));
    assert!(world.end(0, SendResult::Broken, SendOutcome::Broken).is_none());
    assert_eq!(world.orders.len(), 2);
    assert!(matches!(world.reply(1, &[]), Some(Answer::Merged { missing: 0, .. })));
}

// The last heartbeat of a process reaches the store after the first one of its successor. If it
// were applied, requests would go to an address without a listener, or avoid an upstream that is
// not draining.
#[test]
fn late_heartbeat_of_previous_process_is_ignored() {
    let mut world = World::new(1);
    world.core.fleet.put(world.now, incarnation(200));
    world.core.fleet.put(world.now, Entry { draining: true, ..incarnation(100) });
    assert_eq!(near_entry(&world), incarnation(200));
}

// A draining upstream restarts. It takes requests: its predecessor was draining.
#[test]
fn restart_ends_drain_of_previous_process() {
    let mut world = World::new(1);
    world.core.fleet.put(world.now, Entry { draining: true, ..incarnation(100) });
    world.core.fleet.put(world.now, incarnation(200));
    world.start(&route(one_service(), Safety::Idempotent));
    assert_eq!(&*world.upstream(0), "s0-near");
}

// Entries lapse during an outage of the store, and an upstream restarts meanwhile. Its new entry is
// kept when the retention of the old one ends.
#[test]
fn upstream_restarted_during_outage_is_kept() {
    let mut world = World::new(1);
    let (mut catalog, fleet) = (Catalog::default(), &mut world.core.fleet);
    catalog.apply_list(Millis::ZERO, vec![incarnation(100)], &[], fleet);
    catalog.record_store_failure(Millis::new(4_900));
    catalog.apply_list(Millis::new(5_000), vec![], &[], fleet);
    catalog.apply_write(Millis::new(5_500), incarnation(200), fleet);
    assert!(catalog.tick(Millis::new(9_000), fleet).is_empty());
    assert_eq!(near_entry(&world), incarnation(200));
}

// Another VM still reports that the previous process is late. The report must not make requests
// avoid the new process.
#[test]
fn report_about_previous_process_is_ignored() {
    let mut world = World::new(1);
    world.core.fleet.put(world.now, incarnation(200));
    let report = PeerReport { overdue: true, expected_latency_ms: 400.0 };
    world.core.fleet.apply_report(world.now, "s0-near", 100, report);
    world.start(&route(one_service(), Safety::Idempotent));
    assert_eq!(&*world.upstream(0), "s0-near");
}

// The entry of an upstream is overwritten with an unreadable one right after an outage of the
// store, while lapsed entries are kept. The upstream is removed at once.
#[test]
fn unreadable_entry_is_not_retained() {
    let mut world = World::new(1);
    let (mut catalog, fleet) = (Catalog::default(), &mut world.core.fleet);
    catalog.apply_list(Millis::ZERO, vec![incarnation(100)], &[], fleet);
    catalog.record_store_failure(Millis::new(4_900));
    catalog.apply_list(Millis::new(5_000), vec![], &["s0-near".into()], fleet);
    assert_eq!(fleet.key("s0-near"), None);
    assert_eq!(catalog.retentions().count(), 0);
}
