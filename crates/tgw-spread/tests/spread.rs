//! Tests of the distribution of configuration, upstreams and evacuations among VMs.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

mod agreement;
mod configuration;
mod evacuations;
mod freshness;
mod gather;
mod lookup;
mod reachability;
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
    message::{Answer, Order, QuarantineState, Rounds, Termination, Update},
};
use tgw_spread::{
    Delta, Message, Upstreams, VersionedMap, hop,
    message::{Datagram, PeerReport},
    reachability::Silence,
};

type Values = Vec<(Rc<str>, u32)>;

fn values(map: &VersionedMap<u32>) -> Values {
    map.values().map(|(name, value)| (name.clone(), *value)).collect()
}

fn map_at(store_version: u64, values: &[(&str, u64, u32)]) -> VersionedMap<u32> {
    let mut map = VersionedMap::default();
    let values = values.iter().map(|(n, v, x)| ((*n).into(), *v, *x)).collect();
    map.replace(store_version, values);
    map
}

#[test]
fn delta_brings_an_older_map_up_to_date() {
    let mut ahead = map_at(5, &[("a", 3, 1), ("b", 5, 1)]);
    let mut behind = ahead.clone();
    ahead.put(7, "a".into(), 2);
    ahead.remove(8, &"b".into());
    let delta = ahead.since(behind.version());
    assert_eq!((delta.from, delta.to, delta.changed.len()), (Some(5), 8, 1));
    behind.apply(delta);
    assert_eq!(values(&behind), values(&ahead));
}

#[test]
fn map_that_is_too_far_behind_gets_all_values() {
    let ahead = map_at(9, &[("a", 3, 1)]);
    let mut behind = map_at(2, &[("gone", 2, 1)]);
    let delta = ahead.since(2);
    assert_eq!(delta.from, None);
    let applied = behind.apply(Delta { to: 9, ..delta });
    assert_eq!(applied.removed, ["gone".into()]);
    assert_eq!(values(&behind), values(&ahead));
}

// A VM is cut off while an upstream leaves. Back again, it sends an older change of that upstream to a VM
// that has just read the store. The entry must not be restored.
#[test]
fn stale_peer_update_does_not_override_the_store() {
    let mut fresh = map_at(20, &[("a", 5, 1)]);
    let mut stale = map_at(10, &[("a", 5, 1), ("left", 7, 1)]);
    stale.put(16, "left".into(), 2);
    fresh.apply(stale.since(fresh.version()));
    assert_eq!(values(&fresh), [("a".into(), 1)]);
}

// A request reaches an upstream more than four seconds after its entry was removed: a VM that has read the list again
// sends one that is behind a newer change of another entry. If that VM adopted the version of the change, it would ask
// no VM for the changes before it, and never learn of the removal.
#[test]
fn a_newer_change_does_not_hide_a_removal() {
    let mut reading = map_at(10, &[("a", 9, 1), ("left", 4, 1)]);
    let (mut asking, mut other) = (map_at(8, &[("a", 8, 1), ("left", 4, 1)]), reading.clone());
    reading.replace(12, vec![("a".into(), 12, 2)]);
    other.remove(11, &"left".into());
    other.put(12, "a".into(), 2);
    asking.apply(reading.since(asking.version()));
    asking.apply(other.since(asking.version()));
    assert_eq!(values(&asking), [("a".into(), 2)]);
}

// An upstream starts and leaves while one VM cannot reach the store. That VM lists the store again and is
// asked by one that has seen only the start. Its delta must not imply that nothing was removed.
#[test]
fn value_written_and_removed_between_two_lists_is_dropped() {
    let mut reading = map_at(2, &[("a", 2, 1)]);
    let mut asking = reading.clone();
    asking.put(3, "brief".into(), 1);
    reading.replace(5, vec![("a".into(), 5, 2)]);
    let applied = asking.apply(reading.since(asking.version()));
    assert_eq!(applied.removed, ["brief".into()]);
    assert_eq!(reading.since(2).from, Some(2));
}

// A VM has listed the store more often than it keeps gaps apart, and received some gaps from peers, in any
// order. Where two gaps are merged, no version within either may count as fully known.
#[test]
fn merged_gaps_cover_both_ranges() {
    let mut sender = map_at(100, &[("a", 100, 1)]);
    for end in [200, 160, 180, 300, 310, 320, 330, 340, 350, 360] {
        let delta = Delta { from: Some(sender.version()), to: sender.version() + 30, ..empty() };
        sender.apply(Delta { gaps: vec![(end - 45, end)], ..delta });
    }
    for version in [120, 140, 158, 170, 190] {
        assert_eq!(sender.since(version).from, None, "at {version}");
    }
}

fn empty() -> Delta<u32> {
    Delta { from: None, to: 0, changed: vec![], removed: vec![], gaps: vec![] }
}

pub(crate) fn upstream(started: u64) -> Entry {
    Entry {
        id: "u".into(),
        started,
        heartbeats: 0,
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

/// One packet of each kind that a peer sends and whose contents may be corrupted.
fn datagrams() -> Vec<Datagram> {
    let request = hop::Request {
        number: 7,
        upstream: "u".into(),
        started: 3,
        fallback: true,
        lent: false,
        limit: 50,
        min_record: Some([9; 16]),
        time_left_ms: 700,
        method: "GET".into(),
        uri: "/a/b".into(),
        headers: vec![("host".into(), b"a.example".to_vec())],
        body: vec![1, 2],
        fingerprint: Fingerprint { content: 7, caller: 8 },
        rounds: Rounds { total: 1, service: 2 },
        principal: None,
    };
    let outcome = hop::Outcome::Answered {
        status: 200,
        signature: Some(b"s".to_vec()),
        load: None,
        body: vec![3; 32],
    };
    let report =
        PeerReport { upstream: "u".into(), started: 3, overdue: true, expected_latency_ms: 12.0 };
    let (fingerprint, rounds) = (request.fingerprint, request.rounds);
    let terminations = vec![Termination { fingerprint, service: 3, upstream: 4, rounds }];
    let answers = vec![Answer { fingerprint, service: Some(4), order: Order::After }];
    let states = vec![QuarantineState {
        fingerprint,
        service: None,
        epoch: 1,
        confirmed: true,
        trials: 0,
        wait: 9,
    }];
    vec![
        Datagram::Quarantine(Update { terminations, states, answers }),
        Datagram::Hop(Box::new(request)),
        Datagram::HopEnded(Box::new(hop::Reply { number: 7, outcome })),
        Datagram::HopCancelled(7),
        Datagram::PeerReports(vec![report]),
        Datagram::StoreReply(Some(Silence { from: Millis::new(9), until: Millis::new(3) })),
    ]
}

proptest! {
    // A packet is truncated or corrupted although its keyed hash is right, as one of a VM of another revision may
    // be. It decodes to a value or to an error, and never ends the process that reads it.
    #[test]
    fn corrupted_packets_decode_or_fail_without_panic(
        which in 0usize..4,
        keep in 0usize..200,
        corrupted in prop::collection::vec((0usize..200, any::<u8>()), 0..6),
        tail in prop::collection::vec(any::<u8>(), 0..40),
    ) {
        let whole = postcard::to_allocvec(&datagrams()[which]).unwrap();
        prop_assert_eq!(&postcard::from_bytes::<Datagram>(&whole).unwrap(), &datagrams()[which]);
        let mut bytes = whole;
        bytes.truncate(keep);
        bytes.extend(tail);
        for (at, byte) in corrupted {
            if let Some(place) = bytes.get_mut(at) {
                *place = byte;
            }
        }
        let _ = postcard::from_bytes::<Datagram>(&bytes);
        let _ = postcard::from_bytes::<Message>(&bytes);
    }
}

proptest! {
    // An upstream restarts repeatedly, and heartbeats of earlier processes take effect late. VMs receive them
    // from the store, by changes and by lists, and from one another, in any order. No VM that knows a process
    // goes back to an earlier one.
    #[test]
    fn no_vm_goes_back_to_an_earlier_process(
        steps in prop::collection::vec((0usize..3, 0usize..3, 0u8..3, 1u64..6), 1..40),
    ) {
        let mut vms = [Upstreams::default(), Upstreams::default(), Upstreams::default()];
        let mut fleets = [Fleet::default(), Fleet::default(), Fleet::default()];
        let now = Millis::ZERO;
        for (version, (sender, receiver, how, started)) in (1u64..).zip(steps) {
            let before: Vec<_> = vms.iter().map(start_of).collect();
            let fleet = &mut fleets[receiver];
            match how {
                0 => vms[receiver].apply_write(now, version, upstream(started), fleet),
                1 => {
                    let listed = vec![(version, upstream(started))];
                    vms[receiver].apply_list(now, version, listed, &[], fleet);
                }
                _ => {
                    let at = vms[receiver].version();
                    if let Some(update) = vms[sender].update_since(now, at) {
                        vms[receiver].apply_update(now, update, false, fleet);
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
    // Changes reach VMs from the store, by changes and by whole lists, or from one another, in any order. A VM at the
    // store's version holds the same values as the store.
    #[test]
    fn map_at_the_stores_version_equals_the_store(
        steps in proptest::collection::vec((0..5_u8, 0..5_usize, 0..5_usize), 1..120)
    ) {
        let mut store: VersionedMap<u32> = map_at(1, &[("n0", 1, 0)]);
        let mut version = 1;
        let mut vms: Vec<VersionedMap<u32>> = vec![store.clone(); 5];
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
