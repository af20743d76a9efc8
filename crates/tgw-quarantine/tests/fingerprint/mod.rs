//! Fingerprints of requests.

use std::net::{IpAddr, Ipv4Addr};
use test_case::test_case;
use tgw_quarantine::{
    Fingerprint,
    fingerprint::{Content, Hasher, ParseError},
};

const CALLER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const OTHER_CALLER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

fn content() -> Content<'static> {
    Content { method: "GET", host: "a.example", target: "/x/1?p=2", credentials: b"c", body: b"ab" }
}

#[test]
fn vms_with_the_same_secret_compute_the_same_fingerprint() {
    let fingerprint = |secret: &[u8]| Hasher::new(secret).fingerprint(1, &content());
    assert_eq!(fingerprint(b"secret"), fingerprint(b"secret"));
    assert_ne!(fingerprint(b"secret"), fingerprint(b"another"));
}

#[test]
fn caller_hash_is_the_same_for_ipv4_and_mapped_ipv6() {
    let hasher = Hasher::new(b"secret");
    let caller = |address: IpAddr| hasher.hash_caller(address);
    assert_eq!(caller(CALLER.into()), caller(CALLER.to_ipv6_mapped().into()));
    assert_ne!(caller(CALLER.into()), caller(OTHER_CALLER.into()));
    assert_ne!(caller(CALLER.into()), Hasher::new(b"another").hash_caller(CALLER.into()));
}

#[test_case(Content { method: "PUT", ..content() }; "another method")]
#[test_case(Content { host: "b.example", ..content() }; "another host")]
#[test_case(Content { target: "/x/1?p=3", ..content() }; "another query")]
#[test_case(Content { credentials: b"d", ..content() }; "other credentials")]
#[test_case(Content { body: b"ac", ..content() }; "another body")]
#[test_case(Content { host: "a.example/", target: "x/1?p=2", ..content() }; "a field that ends later")]
#[test_case(Content { target: "/x/1?p=2cab", credentials: b"", body: b"", ..content() }; "a body that passes for a path")]
fn requests_that_differ_have_different_fingerprints(other: Content<'_>) {
    let hasher = Hasher::new(b"secret");
    assert_ne!(hasher.fingerprint(1, &content()).content, hasher.fingerprint(1, &other).content);
}

#[test]
fn fingerprint_round_trips_through_text() {
    let fingerprint = Fingerprint { content: 7, caller: 0xabc };
    assert_eq!(fingerprint.to_string(), "0000000000000007-00000abc");
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
}

#[test_case(""; "nothing")]
#[test_case("0000000000000007"; "half of one")]
#[test_case("7-abc"; "too short")]
#[test_case("000000000000000g-00000abc"; "no number")]
#[test_case("0000000000000007-00000abc-"; "too long")]
fn malformed_fingerprint_is_rejected(text: &str) {
    assert_eq!(text.parse::<Fingerprint>(), Err(ParseError));
}
