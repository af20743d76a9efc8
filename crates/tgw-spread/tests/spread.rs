//! Tests of the spread of news.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

mod evacuations;
mod start;
mod upstreams;

use proptest::prelude::*;
use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};
use tgw_clock::Millis;
use tgw_forward::{Fleet, upstream::Entry};
use tgw_quarantine::{
    Fingerprint,
    message::{End, News, QuarantineState, Seen},
};
use tgw_route::{Config, Residency, Route, Safety, Target};
use tgw_spread::{
    Delta, Ledger, Message, Upstreams, World, hop,
    message::{Datagram, Late},
};

type Values = Vec<(Rc<str>, u32)>;

fn values(ledger: &Ledger<u32>) -> Values {
    ledger.values().map(|(name, value)| (name.clone(), *value)).collect()
}

fn ledger(complete: u64, values: &[(&str, u64, u32)]) -> Ledger<u32> {
    let mut ledger = Ledger::default();
    let values = values.iter().map(|(n, v, x)| ((*n).into(), *v, *x)).collect();
    ledger.replace(complete, values);
    ledger
}

#[test]
fn a_vm_that_is_behind_gets_what_changed() {
    let mut ahead = ledger(5, &[("a", 3, 1), ("b", 5, 1)]);
    let mut behind = ahead.clone();
    ahead.put(7, "a".into(), 2);
    ahead.remove(8, &"b".into());
    let delta = ahead.since(behind.version());
    assert_eq!((delta.from, delta.to, delta.changed.len()), (Some(5), 8, 1));
    behind.apply(delta);
    assert_eq!(values(&behind), values(&ahead));
}

#[test]
fn one_that_is_too_far_behind_gets_everything() {
    let ahead = ledger(9, &[("a", 3, 1)]);
    let mut behind = ledger(2, &[("gone", 2, 1)]);
    let delta = ahead.since(2);
    assert_eq!(delta.from, None);
    let applied = behind.apply(Delta { to: 9, ..delta });
    assert_eq!(applied.removed, ["gone".into()]);
    assert_eq!(values(&behind), values(&ahead));
}

// A VM was cut off while an upstream left. Back again, it tells a VM that has just read the store of
// an older change of that upstream. The entry must not come to life again.
#[test]
fn a_peers_old_word_does_not_count_against_the_store() {
    let mut fresh = ledger(20, &[("a", 5, 1)]);
    let mut stale = ledger(10, &[("a", 5, 1), ("left", 7, 1)]);
    stale.put(16, "left".into(), 2);
    fresh.apply(stale.since(fresh.version()));
    assert_eq!(values(&fresh), [("a".into(), 1)]);
}

// A request reached an upstream more than four seconds after its entry was removed. A VM read the list anew and told
// another, behind both, a newer change of something else. The other took itself for as far as that change, asked
// nobody for what came before it, and never heard of the removal.
#[test]
fn a_newer_change_does_not_hide_a_removal() {
    let mut reading = ledger(10, &[("a", 9, 1), ("left", 4, 1)]);
    let (mut asking, mut other) = (ledger(8, &[("a", 8, 1), ("left", 4, 1)]), reading.clone());
    reading.replace(12, vec![("a".into(), 12, 2)]);
    other.remove(11, &"left".into());
    other.put(12, "a".into(), 2);
    asking.apply(reading.since(asking.version()));
    asking.apply(other.since(asking.version()));
    assert_eq!(values(&asking), [("a".into(), 2)]);
}

// An upstream starts and leaves while the store is out of reach of one VM. That VM reads the store anew
// and is asked by one that has seen the start but not the end: it must not say that nothing was removed.
#[test]
fn what_came_and_went_between_two_readings_is_no_secret() {
    let mut reading = ledger(2, &[("a", 2, 1)]);
    let mut asking = reading.clone();
    asking.put(3, "brief".into(), 1);
    reading.replace(5, vec![("a".into(), 5, 2)]);
    let applied = asking.apply(reading.since(asking.version()));
    assert_eq!(applied.removed, ["brief".into()]);
    assert_eq!(reading.since(2).from, Some(2));
}

// A VM has read the store anew more often than it tells readings apart, and learned of some of the gaps from
// peers, in no order. Where two become one, nothing of either may count as followed.
#[test]
fn gaps_that_become_one_leave_nothing_out() {
    let mut telling = ledger(100, &[("a", 100, 1)]);
    for end in [200, 160, 180, 300, 310, 320, 330, 340, 350, 360] {
        let delta = Delta { from: Some(telling.version()), to: telling.version() + 30, ..empty() };
        telling.apply(Delta { gaps: vec![(end - 45, end)], ..delta });
    }
    for version in [120, 140, 158, 170, 190] {
        assert_eq!(telling.since(version).from, None, "at {version}");
    }
}

fn empty() -> Delta<u32> {
    Delta { from: None, to: 0, changed: vec![], removed: vec![], gaps: vec![] }
}

fn config(version: u64, routes: &[&str]) -> Config {
    let route = |name: &&str| Route {
        name: (*name).into(),
        host: "a.example".into(),
        prefix: "/".into(),
        target: Target::One("s".into()),
        safety: Safety::Idempotent,
        timeout: Millis::new(800),
        aim: Millis::new(150),
        attempts: 2,
        priority: 0,
        residency: Residency::default(),
    };
    let routes = routes.iter().map(|name| Rc::new(route(name))).collect();
    Config { version, routes, ..Config::default() }
}

// Operators add a route and take it back while one VM is cut off from the store. A VM that saw the
// first of the two edits only asks it, and must not go on serving the route.
#[test]
fn a_route_that_came_and_went_unseen_is_dropped() {
    let (mut skipping, mut asking) = (World::default(), World::default());
    for version in [config(3, &["kept"]), config(6, &["kept"])] {
        skipping.configure(&version);
    }
    for version in [config(3, &["kept"]), config(4, &["kept", "brief"])] {
        asking.configure(&version);
    }
    let news = skipping.since(asking.config()).unwrap();
    let routes = asking.apply(news).unwrap().routes;
    assert_eq!(routes.iter().map(|r| &*r.name).collect::<Vec<_>>(), ["kept"]);
}

pub(crate) fn upstream(started: u64) -> Entry {
    Entry {
        id: "u".into(),
        started,
        service: "s".into(),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        domain: "d".into(),
        slots: 1,
        draining: false,
        warmup: Millis::ZERO,
    }
}

fn start_of(vm: &Upstreams) -> Option<u64> {
    vm.get("u").map(|entry| entry.started)
}

/// One of each kind that a peer sends and whose fields a stranger could bend.
fn datagrams() -> Vec<Datagram> {
    let request = hop::Request {
        number: 7,
        upstream: "u".into(),
        started: 3,
        insist: true,
        lent: false,
        limit: 50,
        floor: Some([9; 16]),
        left: 700,
        method: "GET".into(),
        uri: "/a/b".into(),
        headers: vec![("host".into(), b"a.example".to_vec())],
        body: vec![1, 2],
        print: Fingerprint { content: 7, caller: 8 },
        seen: Seen { all: 1, service: 2 },
    };
    let outcome = hop::Outcome::Answered {
        status: 200,
        seal: Some(b"s".to_vec()),
        load: None,
        body: vec![3; 32],
    };
    let late = Late { upstream: "u".into(), started: 3, overdue: true, expected: 12.0 };
    let (print, seen) = (request.print, request.seen);
    let ends = vec![End { print, service: 3, upstream: 4, seen }];
    let holds = vec![QuarantineState { print, service: None, epoch: 1, trials: 0, wait: 9 }];
    vec![
        Datagram::Quarantine(News { ends, holds }),
        Datagram::Hop(Box::new(request)),
        Datagram::HopEnded(Box::new(hop::Reply { number: 7, outcome })),
        Datagram::HopCancelled(7),
        Datagram::Late(vec![late]),
    ]
}

proptest! {
    // A packet is cut short, or some of its bytes are bent on the way past the keyed hash, by a VM of another
    // revision. It decodes to something or to an error, and never ends the process that reads it.
    #[test]
    fn peers_packets_survive_any_bytes(
        which in 0usize..4,
        keep in 0usize..200,
        bent in prop::collection::vec((0usize..200, any::<u8>()), 0..6),
        tail in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        let whole = postcard::to_allocvec(&datagrams()[which]).unwrap();
        prop_assert_eq!(&postcard::from_bytes::<Datagram>(&whole).unwrap(), &datagrams()[which]);
        let mut bytes = whole;
        bytes.truncate(keep);
        bytes.extend(tail);
        for (at, byte) in bent {
            if let Some(place) = bytes.get_mut(at) {
                *place = byte;
            }
        }
        let _ = postcard::from_bytes::<Datagram>(&bytes);
        let _ = postcard::from_bytes::<Message>(&bytes);
    }
}

proptest! {
    // An upstream is restarted again and again, and heartbeats of earlier processes take effect late. VMs
    // hear of them from the store, by changes and by lists, and from one another, in any order. None
    // that has heard of a process goes back to an earlier one.
    #[test]
    fn no_vm_goes_back_to_an_earlier_process(
        steps in prop::collection::vec((0usize..3, 0usize..3, 0u8..3, 1u64..6), 1..40),
    ) {
        let mut vms = [Upstreams::default(), Upstreams::default(), Upstreams::default()];
        let mut fleets = [Fleet::default(), Fleet::default(), Fleet::default()];
        let now = Millis::ZERO;
        for (version, (teller, hearer, how, started)) in (1u64..).zip(steps) {
            let before: Vec<_> = vms.iter().map(start_of).collect();
            let fleet = &mut fleets[hearer];
            match how {
                0 => vms[hearer].written(now, version, upstream(started), fleet),
                1 => {
                    let listed = vec![(version, upstream(started))];
                    vms[hearer].listed(now, version, listed, &[], fleet);
                }
                _ => {
                    let at = vms[hearer].version();
                    if let Some(news) = vms[teller].since(now, at) {
                        vms[hearer].told(now, news, false, fleet);
                    }
                }
            }
            for (vm, before) in vms.iter().zip(before) {
                prop_assert!(start_of(vm) >= before, "from {before:?} to {:?}", start_of(vm));
            }
        }
    }
}

proptest! {
    // Changes reach VMs through the store, by changes and by whole lists, or through one another, in any order of
    // asking. Whoever is at the store's version holds what the store holds.
    #[test]
    fn who_is_at_the_stores_version_holds_what_the_store_holds(
        steps in proptest::collection::vec((0..5_u8, 0..5_usize, 0..5_usize), 1..120)
    ) {
        let mut store: Ledger<u32> = ledger(1, &[("n0", 1, 0)]);
        let mut version = 1;
        let mut vms: Vec<Ledger<u32>> = vec![store.clone(); 5];
        for (kind, one, two) in steps {
            let name: Rc<str> = format!("n{two}").into();
            match kind {
                0 => {
                    version += 1;
                    store.put(version, name, u32::try_from(version).unwrap());
                }
                1 => {
                    let held = store.values().any(|(n, _)| *n == name);
                    if held {
                        version += 1;
                        store.remove(version, &name);
                    }
                }
                2 => {
                    let delta = vms[two].since(vms[one].version());
                    vms[one].apply(delta);
                }
                3 => {
                    let delta = store.since(vms[one].version());
                    vms[one].apply(delta);
                }
                _ => vms[one].replace(store.version(), store.since(0).changed),
            }
            for vm in &vms {
                if vm.version() == store.version() {
                    prop_assert_eq!(values(vm), values(&store));
                }
            }
        }
    }
}
