//! Which requests are the same.

use std::net::{IpAddr, Ipv4Addr};
use test_case::test_case;
use tgw_quarantine::{
    Fingerprint,
    fingerprint::{Content, Hasher, Invalid},
};

const CALLER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

fn content() -> Content<'static> {
    Content { method: "GET", host: "a.example", target: "/x/1?p=2", credentials: b"c", body: b"ab" }
}

#[test]
fn all_vms_of_a_fleet_take_the_same_fingerprint_and_others_do_not() {
    let print = |secret: &[u8]| Hasher::new(secret).request(1, &content());
    assert_eq!(print(b"secret"), print(b"secret"));
    assert_ne!(print(b"secret"), print(b"another"));
}

#[test]
fn a_caller_is_told_by_its_address_however_it_is_written() {
    let hasher = Hasher::new(b"secret");
    let caller = |address: IpAddr| hasher.caller(address);
    assert_eq!(caller(CALLER.into()), caller(CALLER.to_ipv6_mapped().into()));
    assert_ne!(caller(CALLER.into()), caller(OTHER.into()));
    assert_ne!(caller(CALLER.into()), Hasher::new(b"another").caller(CALLER.into()));
}

#[test_case(Content { method: "PUT", ..content() }; "another method")]
#[test_case(Content { host: "b.example", ..content() }; "another host")]
#[test_case(Content { target: "/x/1?p=3", ..content() }; "another query")]
#[test_case(Content { credentials: b"d", ..content() }; "other credentials")]
#[test_case(Content { body: b"ac", ..content() }; "another body")]
#[test_case(Content { host: "a.example/", target: "x/1?p=2", ..content() }; "a field that ends later")]
#[test_case(Content { target: "/x/1?p=2cab", credentials: b"", body: b"", ..content() }; "a body that passes for a path")]
fn what_differs_has_another_fingerprint(other: Content<'_>) {
    let hasher = Hasher::new(b"secret");
    assert_ne!(hasher.request(1, &content()).content, hasher.request(1, &other).content);
}

#[test]
fn a_fingerprint_is_read_as_it_is_written() {
    let print = Fingerprint { content: 7, caller: 0xabc };
    assert_eq!(print.to_string(), "0000000000000007-00000abc");
    assert_eq!(print.to_string().parse(), Ok(print));
}

#[test_case(""; "nothing")]
#[test_case("0000000000000007"; "half of one")]
#[test_case("7-abc"; "too short")]
#[test_case("000000000000000g-00000abc"; "no number")]
#[test_case("0000000000000007-00000abc-"; "too long")]
fn what_is_no_fingerprint_is_refused(text: &str) {
    assert_eq!(text.parse::<Fingerprint>(), Err(Invalid));
}
