//! The list of evacuated failure domains, as VMs read it from the store and send it to one another.

use proptest::prelude::*;
use std::{collections::BTreeSet, rc::Rc};
use tgw_spread::{Evacuations, evacuations::Update};

fn set(domains: &[&str]) -> BTreeSet<Rc<str>> {
    domains.iter().map(|domain| Rc::from(*domain)).collect()
}

// A VM that was cut off still reports an evacuation that has ended since.
#[test]
fn older_peer_update_does_not_restore_an_evacuation() {
    let mut vm = Evacuations::default();
    vm.apply_list(10, set(&["a"]));
    vm.apply_list(30, set(&[]));
    assert!(!vm.apply_update(Update { version: 20, domains: set(&["a"]) }));
    assert!(vm.domains().is_empty());
}

// A change and a list from the store reach a VM after a peer's update with a later version.
#[test]
fn older_store_report_is_ignored() {
    let mut vm = Evacuations::default();
    vm.apply_list(10, set(&[]));
    vm.apply_update(Update { version: 30, domains: set(&["b"]) });
    assert!(!vm.apply_change(20, &"a".into(), true));
    assert!(!vm.apply_list(25, set(&["a"])));
    assert_eq!(vm.domains(), &set(&["b"]));
}

// Two domains are evacuated while the evacuation of a third ends: the store reports all of it in one answer.
#[test]
fn all_changes_with_one_version_apply() {
    let mut vm = Evacuations::default();
    vm.apply_list(10, set(&["a"]));
    vm.apply_change(14, &"a".into(), false);
    vm.apply_change(14, &"b".into(), true);
    vm.apply_change(14, &"c".into(), true);
    assert_eq!(vm.domains(), &set(&["b", "c"]));
}

// A VM lists the store again and finds no change, while another VM has missed the end of an evacuation. The list must
// raise the version, or the other VM would not receive it.
#[test]
fn unchanged_list_still_raises_the_version() {
    let (mut reader, mut other) = (Evacuations::default(), Evacuations::default());
    reader.apply_list(10, set(&[]));
    other.apply_update(Update { version: 20, domains: set(&["a"]) });
    reader.apply_list(40, set(&[]));
    assert!(other.apply_update(reader.update_since(other.version()).unwrap()));
    assert!(other.domains().is_empty());
}

// A copy of the store, which may be out of date, must not replace an update.
#[test]
fn copy_of_the_store_is_used_until_an_update_arrives() {
    let mut vm = Evacuations::default();
    vm.apply_copy(set(&["a"]));
    assert_eq!((vm.domains(), vm.update_since(0)), (&set(&["a"]), None));
    vm.apply_update(Update { version: 5, domains: set(&[]) });
    vm.apply_copy(set(&["a"]));
    assert!(vm.domains().is_empty());
}

#[derive(Clone, Debug)]
enum Step {
    Write(usize, bool),
    Watch(usize),
    List(usize),
    Update(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3usize, any::<bool>()).prop_map(|(domain, on)| Step::Write(domain, on)),
        (0..4usize).prop_map(Step::Watch),
        (0..4usize).prop_map(Step::List),
        (0..4usize, 0..4usize).prop_map(|(from, to)| Step::Update(from, to)),
    ]
}

proptest! {
    // VMs read the store and update one another, in any order: each VM at a version holds the store's list of that
    // version.
    #[test]
    fn vm_at_a_version_holds_the_stores_list_of_that_version(steps in prop::collection::vec(step(), 1..60)) {
        const DOMAINS: [&str; 3] = ["a", "b", "c"];
        let mut history: Vec<BTreeSet<Rc<str>>> = vec![BTreeSet::new(), BTreeSet::new()];
        let mut vms: Vec<Evacuations> = (0..4).map(|_| Evacuations::default()).collect();
        let mut followed: Vec<Option<usize>> = vec![None; vms.len()];
        for step in steps {
            match step {
                Step::Write(domain, on) => {
                    let mut now = history.last().unwrap().clone();
                    let name: Rc<str> = DOMAINS[domain].into();
                    if on { now.insert(name) } else { now.remove(&name) };
                    history.push(now);
                }
                Step::Watch(vm) => {
                    let Some(from) = followed[vm] else { continue };
                    let to = history.len() - 1;
                    for at in from + 1..=to {
                        for domain in history[at].symmetric_difference(&history[at - 1]) {
                            let on = history[at].contains(domain);
                            vms[vm].apply_change(to as u64, domain, on);
                        }
                    }
                    followed[vm] = Some(to);
                }
                Step::List(vm) => {
                    let at = history.len() - 1;
                    vms[vm].apply_list(at as u64, history[at].clone());
                    followed[vm] = Some(at);
                }
                Step::Update(from, to) => {
                    let update = vms[from].update_since(vms[to].version());
                    if let Some(update) = update {
                        vms[to].apply_update(update);
                    }
                }
            }
            for vm in &vms {
                let held = &history[usize::try_from(vm.version()).unwrap()];
                prop_assert_eq!(vm.domains(), held);
            }
        }
    }
}
