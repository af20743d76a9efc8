//! Which requests are the same.

use std::net::{IpAddr, Ipv4Addr};
use test_case::test_case;
use tgw_quarantine::fingerprint::{Content, Hasher};

const CALLER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const OTHER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));

fn content() -> Content<'static> {
    Content { caller: CALLER, method: "GET", host: "a.example", target: "/x/1?p=2", body: b"ab" }
}

#[test]
fn all_vms_of_a_fleet_take_the_same_fingerprint_and_others_do_not() {
    let ours = Hasher::new(b"secret").of(&content());
    assert_eq!(ours, Hasher::new(b"secret").of(&content()));
    assert_ne!(ours, Hasher::new(b"another").of(&content()));
    let mapped = IpAddr::V6(Ipv4Addr::new(10, 0, 0, 1).to_ipv6_mapped());
    assert_eq!(ours, Hasher::new(b"secret").of(&Content { caller: mapped, ..content() }));
}

#[test_case(Content { caller: OTHER, ..content() }; "another caller")]
#[test_case(Content { method: "PUT", ..content() }; "another method")]
#[test_case(Content { host: "b.example", ..content() }; "another host")]
#[test_case(Content { target: "/x/1?p=3", ..content() }; "another query")]
#[test_case(Content { body: b"ac", ..content() }; "another body")]
#[test_case(Content { host: "a.example/", target: "x/1?p=2", ..content() }; "a field that ends later")]
#[test_case(Content { target: "/x/1?p=2ab", body: b"", ..content() }; "a body that passes for a path")]
fn what_differs_has_another_fingerprint(other: Content<'_>) {
    let hasher = Hasher::new(b"secret");
    assert_ne!(hasher.of(&content()), hasher.of(&other));
}
