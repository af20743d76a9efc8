//! Tests of what is read from upstreams' headers.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use tgw_topology::{Layout, Snapshot};
use tgw_upstream::protocol::{read_held, read_snapshot, write_held, write_snapshot};

fn config() -> ProptestConfig {
    Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() }
}

fn snapshot(version: u32, layout: u32) -> Snapshot {
    Snapshot { version, layout: Layout(layout) }
}

#[test]
fn one_malformed_snapshot_spoils_the_list() {
    assert_eq!(read_held("1.1,2.1").map(|h| h.len()), Some(2));
    assert_eq!(read_held("1.1,2").map(|h| h.len()), None);
    assert_eq!(read_held("").map(|h| h.len()), Some(0));
}

proptest! {
    #![proptest_config(config())]

    // An upstream sends nonsense in a header, and the process ends in a panic.
    #[test]
    fn any_text_is_read_or_refused(text in "\\PC{0,60}") {
        let _ = read_snapshot(&text);
        let _ = read_held(&text);
    }

    #[test]
    fn what_is_written_reads_back(version: u32, layout: u32, more in 0usize..4) {
        let first = snapshot(version, layout);
        prop_assert_eq!(read_snapshot(&write_snapshot(first)), Some(first));
        let list = vec![first; more];
        let read = read_held(&write_held(&list)).expect("a list");
        prop_assert_eq!(read.to_vec(), list);
    }
}
