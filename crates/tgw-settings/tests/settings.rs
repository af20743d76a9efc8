//! Tests of parsing and validating settings files.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use test_case::test_case;

const EXAMPLE: &str = include_str!("../../../examples/tanagergw.ini");

#[test]
fn example_file_has_no_findings() {
    let settings = tgw_settings::parse("example.ini", EXAMPLE).expect("the example is valid");
    assert_eq!(settings.vm.name, "entry-1");
    assert_eq!(settings.listen.body_limit, 65_536);
}

#[test_case("region = 0", "region = x", "example.ini:7: vm.region: not a number"; "not a number")]
#[test_case("region = 0", "region = 300", "example.ini:7: vm.region: 300 is outside 0 to 255"; "out of range")]
#[test_case("region = 0", "regoin = 0", "example.ini:7: vm.regoin: unknown key"; "unknown key")]
#[test_case("name = entry-1", "", "example.ini:3: vm.name: missing; expected a name unique in the fleet"; "missing")]
#[test_case("addr = 127.0.0.1:7900", "addr = nowhere", "platform.addr: not an address"; "bad address")]
#[test_case("[log]", "[logs]", "logs.: unknown section"; "unknown section")]
fn mistake_is_reported_with_its_location(from: &str, to: &str, expected: &str) {
    let findings = tgw_settings::parse("example.ini", &EXAMPLE.replacen(from, to, 1))
        .expect_err("the file is wrong");
    let texts: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert!(texts.iter().any(|t| t.contains(expected)), "{texts:#?}");
}

#[test]
fn all_findings_are_reported_together() {
    let text = EXAMPLE.replace("region = 0", "region = x").replace("key = 3f", "key = zz");
    let findings = tgw_settings::parse("s.ini", &text).expect_err("two mistakes");
    assert_eq!(findings.len(), 2, "{findings:?}");
}

// A finding about a mistyped frame key must not contain its value: operators paste the output of a
// failed start into tickets, which would disclose the key.
#[test]
fn secrets_are_never_printed() {
    let secret = "3f1c0b5a7e6d4c2b1a09f8e7d6c5b4a3928170ffeeddccbbaa9988776655443z";
    let text =
        EXAMPLE.replace("3f1c0b5a7e6d4c2b1a09f8e7d6c5b4a3928170ffeeddccbbaa99887766554433", secret);
    let findings = tgw_settings::parse("s.ini", &text).expect_err("the key is malformed");
    assert!(!format!("{findings:?}").contains(secret));
    let settings = tgw_settings::parse("s.ini", EXAMPLE).expect("valid");
    let shown = format!("{settings:?}");
    assert!(!shown.contains("change-this-token") && !shown.contains("3f1c0b"), "{shown}");
}

fn config() -> ProptestConfig {
    Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    // Parsing a damaged file must return findings and must not panic.
    #[test]
    fn damaged_file_gives_settings_or_findings(at in 0usize..4000, with in "\\PC{0,4}") {
        let mut text = EXAMPLE.to_owned();
        let mut at = at % text.len();
        while !text.is_char_boundary(at) || !text.is_char_boundary(at + 1) {
            at -= 1;
        }
        text.replace_range(at..at + 1, &with);
        if let Err(findings) = tgw_settings::parse("s.ini", &text) {
            prop_assert!(!findings.is_empty());
        }
    }
}
