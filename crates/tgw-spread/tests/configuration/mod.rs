//! VMs that read the configuration from the store and from one another act by the store's.

mod model;
mod orders;

use model::{Contents, Store, USUAL, Vm, ask, check, compare, route};
use std::rc::Rc;
use test_case::test_case;
use tgw_route::Config;
use tgw_spread::{Configuration, agreement::Comparison};

// Operators change the configuration and take the change back while one VM sleeps. It must not bring the change back
// into force, nor keep it alive, on the VM that saw it: a route moved or dropped, a key added or taken away.
#[test_case(Contents { routes: [1, 2, 0], ..USUAL }; "route moved")]
#[test_case(Contents { routes: [0, 1, 0], ..USUAL }; "route dropped")]
#[test_case(Contents { routes: [1, 1, 1], ..USUAL }; "route added")]
#[test_case(Contents { services: [2, 1, 0], ..USUAL }; "service changed")]
#[test_case(Contents { services: [0, 1, 0], ..USUAL }; "service dropped")]
#[test_case(Contents { tenants: Some([3, 0]), ..USUAL }; "key added")]
#[test_case(Contents { tenants: Some([2, 0]), ..USUAL }; "key replaced")]
#[test_case(Contents { tenants: Some([0, 0]), ..USUAL }; "last tenant dropped")]
#[test_case(Contents { tenants: Some([1, 1]), ..USUAL }; "tenant added")]
#[test_case(Contents { tenants: None, ..USUAL }; "no tenants")]
#[test_case(Contents { head_kib: 32, ..USUAL }; "limits")]
fn change_and_rollback_that_a_peer_skipped_are_both_undone(changed: Contents) {
    let mut store = Store::new();
    let mut vms = [Vm::default(), Vm::default()];
    vms.iter_mut().for_each(|vm| vm.read(&store));
    store.write(changed);
    vms[1].read(&store);
    store.write(USUAL);
    vms[0].read(&store);
    ask(&mut vms, 1, 0);
    check(&vms[1], &store);
    assert_eq!(vms[1].version(), vms[0].version());
}

// Operators add a route and remove it while one VM is cut off from the store. Another VM, which saw only the
// first of the two edits, asks it for changes and must not go on serving the route.
#[test]
fn route_added_and_removed_while_cut_off_is_dropped() {
    let brief = Contents { routes: [1, 1, 1], ..USUAL };
    let (mut skipping, mut asking) = (Configuration::default(), Configuration::default());
    for document in [USUAL.document(3), USUAL.document(6)] {
        skipping.apply_document(&document);
    }
    for document in [USUAL.document(3), brief.document(4)] {
        asking.apply_document(&document);
    }
    let update = skipping.update_since(asking.version()).unwrap();
    assert!(asking.apply_update(update));
    let routes = asking.document().routes;
    assert_eq!(routes.iter().map(|r| &*r.name).collect::<Vec<_>>(), ["alarms", "history"]);
}

// A VM asks a peer for changes, and reads a change from the store before the answer arrives, which was made for the
// version before and lacks what takes that change back.
#[test]
fn answer_made_for_an_earlier_version_is_not_applied() {
    let mut store = Store::new();
    let mut vms = [Vm::default(), Vm::default()];
    vms.iter_mut().for_each(|vm| vm.read(&store));
    store.write(Contents { routes: [2, 0, 0], ..USUAL });
    let asked_with = vms[1].version();
    vms[1].read(&store);
    store.write(USUAL);
    vms[0].read(&store);
    let late = vms[0].answer(asked_with);
    vms[1].apply(late);
    check(&vms[1], &store);
    ask(&mut vms, 1, 0);
    check(&vms[1], &store);
    assert_eq!(vms[1].version(), vms[0].version());
}

// An earlier build tells the routes as changes and the services whole, which lack a service that came and went between.
// The VM that is told must not take itself to know the changes since the version between.
#[test]
fn version_between_is_unknown_where_one_part_is_told_whole() {
    let mut store = Store::new();
    let mut vms = [Vm::default(), Vm::default(), Vm::default()];
    vms.iter_mut().for_each(|vm| vm.read(&store));
    store.write(Contents { services: [1, 1, 1], ..USUAL });
    vms[0].read(&store);
    vms[2].read(&store);
    store.write(USUAL);
    vms[0].read(&store);
    let mut update = vms[0].answer(vms[1].version()).unwrap();
    assert!(update.routes.from.is_some());
    update.services = vms[0].answer(0).unwrap().services;
    vms[1].apply(Some(update));
    ask(&mut vms, 2, 1);
    check(&vms[2], &store);
    assert_eq!(vms[2].version(), vms[1].version());
}

// A VM is cut off while the configuration changes more often than peers keep versions, or while one change drops more
// routes than they keep removals. It is told the whole document, and nothing that was dropped stays.
#[test]
fn vm_that_is_too_far_behind_is_told_the_whole_document() {
    let mut store = Store::new();
    let mut vms = [Vm::default(), Vm::default()];
    vms.iter_mut().for_each(|vm| vm.read(&store));
    for number in 0..100 {
        store.write(Contents { routes: [0, number % 4, 0], ..USUAL });
        vms[0].read(&store);
    }
    let update = vms[0].answer(vms[1].version()).unwrap();
    assert_eq!(update.routes.from, None);
    vms[1].apply(Some(update));
    check(&vms[1], &store);
}

#[test]
fn more_removals_than_are_kept_reach_a_vm_that_is_behind() {
    let names: Vec<String> = (0..5_000).map(|number| format!("route-{number}")).collect();
    let routes = |names: &[String]| names.iter().map(|name| Rc::new(route(name, 1))).collect();
    let document = |version, names| Config { version, routes: routes(names), ..Config::default() };
    let mut vms = [Vm::default(), Vm::default()];
    vms.iter_mut().for_each(|vm| _ = vm.state.apply_document(&document(1, &names)));
    vms[0].state.apply_document(&document(2, &names[..1]));
    ask(&mut vms, 1, 0);
    assert_eq!((vms[1].version(), vms[1].active.routes.len()), (2, 1));
}

// A VM was told wrong contents under the right version, by a build with a fault, and another VM was told by it. They are
// found by their digests, and the store's document replaces theirs, also where they tell others.
#[test_case(Contents { routes: [2, 1, 0], ..USUAL }; "route")]
#[test_case(Contents { services: [2, 1, 0], ..USUAL }; "service")]
#[test_case(Contents { tenants: Some([3, 0]), ..USUAL }; "key")]
#[test_case(Contents { tenants: None, ..USUAL }; "no tenants")]
#[test_case(Contents { head_kib: 32, ..USUAL }; "limits")]
fn vm_that_was_told_wrong_contents_is_found_and_mended(wrong: Contents) {
    let mut store = Store::new();
    let mut vms = [Vm::default(), Vm::default(), Vm::default()];
    vms[0].state.apply_document(&wrong.document(3));
    vms[0].state.apply_document(&wrong.document(5));
    vms[1].read(&store);
    ask(&mut vms, 2, 0);
    assert_eq!(compare(&vms[0], &vms[1]), Comparison::Different);
    assert_eq!(compare(&vms[0], &vms[2]), Comparison::Equal);
    vms[0].state.mark_disputed();
    vms[0].read(&store);
    check(&vms[0], &store);
    assert_eq!(compare(&vms[0], &vms[1]), Comparison::Equal);
    store.write(Contents { routes: [1, 1, 1], ..USUAL });
    vms[0].read(&store);
    ask(&mut vms, 2, 0);
    check(&vms[2], &store);
}
