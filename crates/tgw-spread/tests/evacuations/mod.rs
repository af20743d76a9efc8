//! The list of evacuated failure domains, as VMs tell it to one another.

use proptest::prelude::*;
use std::{collections::BTreeSet, rc::Rc};
use tgw_spread::{Evacuations, evacuations::News};

fn set(domains: &[&str]) -> BTreeSet<Rc<str>> {
    domains.iter().map(|domain| Rc::from(*domain)).collect()
}

// A VM that was cut off still says that a domain is evacuated which has been taken back since.
#[test]
fn an_older_word_of_a_peer_does_not_bring_an_evacuation_back() {
    let mut vm = Evacuations::default();
    vm.listed(10, set(&["a"]));
    vm.listed(30, set(&[]));
    assert!(!vm.told(News { version: 20, domains: set(&["a"]) }));
    assert!(vm.domains().is_empty());
}

// The store's word reaches a VM after a peer's word of something later.
#[test]
fn an_older_word_of_the_store_undoes_nothing() {
    let mut vm = Evacuations::default();
    vm.listed(10, set(&[]));
    vm.told(News { version: 30, domains: set(&["b"]) });
    assert!(!vm.changed(20, &"a".into(), true));
    assert!(!vm.listed(25, set(&["a"])));
    assert_eq!(vm.domains(), &set(&["b"]));
}

// Two domains are evacuated and one is taken back at the same time: the store tells it in one answer.
#[test]
fn several_words_as_of_one_version_all_hold() {
    let mut vm = Evacuations::default();
    vm.listed(10, set(&["a"]));
    vm.changed(14, &"a".into(), false);
    vm.changed(14, &"b".into(), true);
    vm.changed(14, &"c".into(), true);
    assert_eq!(vm.domains(), &set(&["b", "c"]));
}

// A VM that reads the store anew finds nothing changed, while another missed that an evacuation was taken back.
#[test]
fn who_reads_the_store_anew_is_further_than_who_missed_something() {
    let (mut reader, mut other) = (Evacuations::default(), Evacuations::default());
    reader.listed(10, set(&[]));
    other.told(News { version: 20, domains: set(&["a"]) });
    reader.listed(40, set(&[]));
    assert!(other.told(reader.since(other.version()).unwrap()));
    assert!(other.domains().is_empty());
}

// What a copy of the store said holds until somebody knows better.
#[test]
fn a_copy_of_the_store_is_believed_until_something_is_told() {
    let mut vm = Evacuations::default();
    vm.copied(set(&["a"]));
    assert_eq!((vm.domains(), vm.since(0)), (&set(&["a"]), None));
    vm.told(News { version: 5, domains: set(&[]) });
    vm.copied(set(&["a"]));
    assert!(vm.domains().is_empty());
}

#[derive(Clone, Debug)]
enum Step {
    Write(usize, bool),
    Watch(usize),
    List(usize),
    Tell(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3usize, any::<bool>()).prop_map(|(domain, on)| Step::Write(domain, on)),
        (0..4usize).prop_map(Step::Watch),
        (0..4usize).prop_map(Step::List),
        (0..4usize, 0..4usize).prop_map(|(from, to)| Step::Tell(from, to)),
    ]
}

proptest! {
    // Some VMs follow the store, all tell one another, in any order: at a version everybody holds what the store held.
    #[test]
    fn who_is_at_a_version_holds_what_the_store_held(steps in prop::collection::vec(step(), 1..60)) {
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
                            vms[vm].changed(to as u64, domain, on);
                        }
                    }
                    followed[vm] = Some(to);
                }
                Step::List(vm) => {
                    let at = history.len() - 1;
                    vms[vm].listed(at as u64, history[at].clone());
                    followed[vm] = Some(at);
                }
                Step::Tell(from, to) => {
                    let news = vms[from].since(vms[to].version());
                    if let Some(news) = news {
                        vms[to].told(news);
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
