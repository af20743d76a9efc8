//! Tests of parsing the headers of upstreams' replies.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use tgw_topology::{Layout, Snapshot};
use tgw_upstream::protocol::{read_snapshot, read_snapshots, write_snapshot, write_snapshots};

fn config() -> ProptestConfig {
    Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() }
}

fn snapshot(version: u32, layout: u32) -> Snapshot {
    Snapshot { version, layout: Layout(layout) }
}

#[test]
fn a_list_with_a_malformed_snapshot_is_rejected() {
    assert_eq!(read_snapshots("1.1,2.1").map(|h| h.len()), Some(2));
    assert_eq!(read_snapshots("1.1,2").map(|h| h.len()), None);
    assert_eq!(read_snapshots("").map(|h| h.len()), Some(0));
}

proptest! {
    #![proptest_config(config())]

    // Guards against a panic of the process when an upstream sends a malformed header.
    #[test]
    fn parsing_any_text_does_not_panic(text in "\\PC{0,60}") {
        let _ = read_snapshot(&text);
        let _ = read_snapshots(&text);
    }

    #[test]
    fn written_snapshots_are_read_back(version: u32, layout: u32, count in 0usize..4) {
        let first = snapshot(version, layout);
        prop_assert_eq!(read_snapshot(&write_snapshot(first)), Some(first));
        let list = vec![first; count];
        let read = read_snapshots(&write_snapshots(&list)).expect("a list");
        prop_assert_eq!(read.to_vec(), list);
    }
}
