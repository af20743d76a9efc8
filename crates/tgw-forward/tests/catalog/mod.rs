//! Entries that lapse during an outage of the store.

use crate::world::{NEAR, entry};
use std::rc::Rc;
use tgw_clock::Millis;
use tgw_forward::{
    Catalog, Fleet, Policy, Scope,
    catalog::MISSING_ENTRY_RETENTION_MS,
    fleet::{Key, Place},
    upstream::Entry,
};

fn accepts_requests(fleet: &Fleet, key: Key) -> bool {
    fleet.can_send_to(key, Scope::default())
}

fn fleet_and_catalog() -> (Fleet, Catalog, Vec<Entry>) {
    let (mut fleet, mut catalog) =
        (Fleet::new(Place::default(), Policy::default()), Catalog::default());
    let entries = vec![entry("a", "s", NEAR), entry("b", "s", NEAR)];
    catalog.apply_list(Millis::ZERO, entries.clone(), &[], &mut fleet);
    (fleet, catalog, entries)
}

// The store was down for longer than an entry lasts without heartbeats. Once it is back, the
// listing is nearly empty though all upstreams are alive; they rewrite their entries within two
// seconds.
#[test]
fn entries_lapsed_during_outage_are_retained() {
    let (mut fleet, mut catalog, entries) = fleet_and_catalog();
    catalog.record_store_failure(Millis::new(9_900));
    let back = Millis::new(10_000);
    catalog.apply_list(back, vec![], &[], &mut fleet);
    assert_eq!(fleet.len(), 2);
    catalog.apply_write(back + Millis::new(900), entries[0].clone(), &mut fleet);
    catalog.tick(back + MISSING_ENTRY_RETENTION_MS, &mut fleet);
    assert_eq!(fleet.ids().map(Rc::to_string).collect::<Vec<_>>(), ["a"]);
}

// An upstream leaves without draining: its entry is removed while the store is up. The retention of
// entries after outages must not keep it.
#[test]
fn entry_removed_while_store_is_up_is_dropped_at_once() {
    let (mut fleet, mut catalog, entries) = fleet_and_catalog();
    catalog.apply_removal(&"a".into(), &mut fleet);
    assert_eq!(fleet.len(), 1);
    catalog.apply_list(Millis::new(6_000), entries[..1].to_vec(), &[], &mut fleet);
    assert_eq!(fleet.ids().map(Rc::to_string).collect::<Vec<_>>(), ["a"]);
}

// After an outage, the store serves again and lists an upstream. The upstream leaves within the
// next two seconds, with or without draining first. Its entry did not lapse during the outage.
#[test]
fn entry_removed_after_outage_is_dropped_at_once() {
    let (mut fleet, mut catalog, entries) = fleet_and_catalog();
    catalog.record_store_failure(Millis::new(9_900));
    let back = Millis::new(10_000);
    catalog.apply_list(back, entries.clone(), &[], &mut fleet);
    catalog.apply_removal(&"a".into(), &mut fleet);
    assert_eq!(fleet.ids().map(Rc::to_string).collect::<Vec<_>>(), ["b"]);
}

// A draining upstream leaves during an outage of the store. It must not be kept, as it is known to
// be draining.
#[test]
fn draining_upstream_is_not_retained() {
    let (mut fleet, mut catalog, entries) = fleet_and_catalog();
    let draining = Entry { draining: true, ..entries[0].clone() };
    catalog.apply_write(Millis::new(1_000), draining, &mut fleet);
    catalog.record_store_failure(Millis::new(9_900));
    catalog.apply_list(Millis::new(10_000), entries[1..].to_vec(), &[], &mut fleet);
    assert_eq!(fleet.ids().map(Rc::to_string).collect::<Vec<_>>(), ["b"]);
}

// The store refuses one VM for ten seconds and serves all others, which report changes to it.
// Entries missing from its next listing were removed: no heartbeats were lost.
#[test]
fn store_that_serves_other_vms_is_not_down() {
    let (mut fleet, mut catalog, entries) = fleet_and_catalog();
    catalog.record_store_alive(Millis::new(9_500));
    catalog.record_store_failure(Millis::new(9_900));
    catalog.apply_list(Millis::new(10_000), entries[1..].to_vec(), &[], &mut fleet);
    assert_eq!(fleet.ids().map(Rc::to_string).collect::<Vec<_>>(), ["b"]);
}

// The store refused a VM long ago, and another VM has read it since. When this VM reads it again,
// the old failure must not make a removal look like a lapse.
#[test]
fn old_failure_is_no_current_outage() {
    let (mut fleet, mut catalog, entries) = fleet_and_catalog();
    catalog.record_store_failure(Millis::new(2_900));
    catalog.apply_list(Millis::new(3_000), entries.clone(), &[], &mut fleet);
    catalog.apply_list(Millis::new(60_000), entries[1..].to_vec(), &[], &mut fleet);
    assert_eq!(fleet.ids().map(Rc::to_string).collect::<Vec<_>>(), ["b"]);
}

// A call fails, and the next one is answered a moment later: too soon for an entry to lapse.
#[test]
fn short_outage_lapses_no_entry() {
    let (mut fleet, mut catalog, entries) = fleet_and_catalog();
    catalog.record_store_answer(Millis::new(9_000));
    catalog.record_store_failure(Millis::new(9_900));
    catalog.apply_list(Millis::new(10_000), entries[1..].to_vec(), &[], &mut fleet);
    assert_eq!(fleet.ids().map(Rc::to_string).collect::<Vec<_>>(), ["b"]);
}

// However long another VM says to keep an upstream, it is removed after the time that an upstream
// needs to rewrite its entry.
#[test]
fn peer_report_does_not_extend_retention() {
    let (mut fleet, mut catalog, _) = fleet_and_catalog();
    let now = Millis::new(5_000);
    catalog.retain_lapsed(now, &"a".into(), Millis::new(60_000), &mut fleet);
    assert!(catalog.tick(now + MISSING_ENTRY_RETENTION_MS, &mut fleet).contains(&"a".into()));
    assert!(fleet.key("a").is_none());
}

// A VM is paused for five seconds, and its calls time out. That is no outage of the store.
#[test]
fn pause_of_this_vm_is_no_outage() {
    let (mut fleet, mut catalog, entries) = fleet_and_catalog();
    catalog.record_store_answer(Millis::new(4_900));
    catalog.record_store_failure(Millis::new(9_900));
    catalog.exclude_pause(Millis::new(5_000));
    catalog.apply_list(Millis::new(10_000), entries[1..].to_vec(), &[], &mut fleet);
    assert_eq!(fleet.ids().map(Rc::to_string).collect::<Vec<_>>(), ["b"]);
}

// A call failed, and another VM read the store from then on, until it stopped. For two seconds no
// VM read the store, so no VM knows of an outage.
#[test]
fn gap_between_reads_is_no_outage() {
    let (mut fleet, mut catalog, entries) = fleet_and_catalog();
    catalog.record_store_answer(Millis::new(7_000));
    catalog.record_store_failure(Millis::new(7_700));
    catalog.apply_list(Millis::new(10_000), entries[1..].to_vec(), &[], &mut fleet);
    assert_eq!(fleet.ids().map(Rc::to_string).collect::<Vec<_>>(), ["b"]);
}

// A request waits for a connection that takes seconds to make. Meanwhile its upstream starts
// draining or is removed, so the request must not be sent any more.
#[test]
fn departed_upstream_gets_no_request_that_waited_for_connection() {
    let (mut fleet, mut catalog, entries) = fleet_and_catalog();
    let [a, b] = ["a", "b"].map(|id| fleet.key(id).unwrap());
    assert!(accepts_requests(&fleet, a) && accepts_requests(&fleet, b));
    let draining = Entry { draining: true, ..entries[0].clone() };
    catalog.apply_write(Millis::new(1_000), draining, &mut fleet);
    catalog.apply_removal(&"b".into(), &mut fleet);
    assert!(!accepts_requests(&fleet, a) && !accepts_requests(&fleet, b));
}

// The connection on which a VM watches for changes hangs, and all its others too. Calls on new
// connections are answered all the while: there was no outage, and upstreams missing from the
// listing have left.
#[test]
fn hanging_watch_is_no_outage() {
    let (mut fleet, mut catalog, entries) = fleet_and_catalog();
    catalog.record_store_answer(Millis::new(6_500));
    catalog.record_store_alive(Millis::new(9_000));
    catalog.record_store_failure(Millis::new(9_500));
    catalog.apply_list(Millis::new(9_600), entries[1..].to_vec(), &[], &mut fleet);
    assert_eq!(fleet.ids().map(Rc::to_string).collect::<Vec<_>>(), ["b"]);
}

// The store is back and answers a probe before the list is read. Entries that lapsed in the outage
// are not rewritten yet and must be kept.
#[test]
fn answered_probe_does_not_hide_preceding_outage() {
    let (mut fleet, mut catalog, entries) = fleet_and_catalog();
    catalog.record_store_failure(Millis::new(9_000));
    catalog.record_store_alive(Millis::new(9_700));
    catalog.apply_list(Millis::new(10_000), entries[1..].to_vec(), &[], &mut fleet);
    assert_eq!(fleet.len(), 2);
}
