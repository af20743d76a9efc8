//! Tests of route lookup and weighted round robin.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

use std::rc::Rc;
use test_case::test_case;
use tgw_clock::Millis;
use tgw_route::{Config, Residency, RoundRobin, Route, Safety, Table, Target};

fn route(name: &str, host: &str, prefix: &str) -> Rc<Route> {
    Rc::new(Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        target: Target::Single("service".into()),
        safety: Safety::Idempotent,
        timeout: Millis::new(800),
        target_latency: Millis::new(150),
        max_attempts: 2,
        priority: 1,
        residency: Residency::default(),
        anonymous: false,
    })
}

fn table() -> Table {
    let routes = vec![
        route("all", "a.example", "/"),
        route("deep", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ];
    Table::new(&Config { routes, ..Config::default() })
}

#[test_case("a.example", "/x/y/z", Some("deep"); "the longest prefix")]
#[test_case("a.example", "/x/yz", Some("all"); "a prefix ends at a slash")]
#[test_case("A.Example:8080", "/x/y/", Some("deep"); "case and port of the host")]
#[test_case("b.example", "/y/", None; "no prefix of the host")]
#[test_case("c.example", "/x/", None; "no such host")]
fn finds_route_by_host_and_path(host: &str, path: &str, expected: Option<&str>) {
    assert_eq!(table().find(host, path).map(|r| &*r.name), expected);
}

// Guards against random selection: a service with a tenth of the weight would sometimes receive a
// quarter of the requests within one second, and its upstreams would reject some of them.
#[test]
fn every_prefix_of_the_sequence_is_close_to_the_weights() {
    let weights: [(Rc<str>, f64); 3] = [("a".into(), 0.6), ("b".into(), 0.3), ("c".into(), 0.1)];
    let mut round_robin = RoundRobin::default();
    let mut counts = [0.0; 3];
    for sent in 1..=1000 {
        let service = round_robin.next(&weights).unwrap();
        let index = weights.iter().position(|w| w.0 == service).unwrap();
        counts[index] += 1.0;
        for (count, (_, weight)) in counts.iter().zip(&weights) {
            assert!((count - weight * f64::from(sent)).abs() <= 1.0, "{counts:?} of {sent}");
        }
    }
}

// Guards against lost credits when the weights change slightly with each version of the
// configuration. If each version restarted the sequence, the service with the greatest weight would
// receive the first request every time.
#[test]
fn changed_weights_keep_credits() {
    let mut round_robin = RoundRobin::default();
    let mut small = 0;
    for version in 0..100 {
        let weight = 0.2 + f64::from(version) / 1_000_000.0;
        let weights: [(Rc<str>, f64); 2] = [("big".into(), 1.0 - weight), ("small".into(), weight)];
        small += u32::from(&*round_robin.next(&weights).unwrap() == "small");
    }
    assert!((19..=21).contains(&small), "{small} of 100");
}

#[test]
fn zero_weight_selects_no_service() {
    assert_eq!(RoundRobin::default().next(&[("a".into(), 0.0)]), None);
}
