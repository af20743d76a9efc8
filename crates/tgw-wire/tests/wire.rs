//! Tests of frames: keys and their rotation, strangers, damaged and random input.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use tgw_wire::{Error, FRAME_LIMIT, HEAD, Keys, open, seal};

const OLD: [u8; 32] = [1; 32];
const NEW: [u8; 32] = [2; 32];

fn value() -> (u64, String, Vec<u32>) {
    (7, "text".into(), vec![1, 2, 3])
}

// During a rotation some VMs sign with the old key and some with the new one, and one half of the fleet
// declares the other dead.
#[test]
fn both_keys_are_accepted_during_rotation() {
    let before = Keys::new(OLD, Some(NEW));
    let after = Keys::new(NEW, Some(OLD));
    for (from, to) in [(&before, &after), (&after, &before)] {
        let frame = seal(from, &value()).expect("it fits");
        assert_eq!(open::<(u64, String, Vec<u32>)>(to, &frame), Ok(value()));
    }
    let done = Keys::new(NEW, None);
    let frame = seal(&before, &value()).expect("it fits");
    assert_eq!(open::<(u64, String, Vec<u32>)>(&done, &frame), Err(Error::Signature));
}

#[test]
fn frame_beyond_the_limit_is_not_written() {
    let keys = Keys::new(OLD, None);
    let large = vec![0_u8; FRAME_LIMIT];
    assert!(matches!(seal(&keys, &large), Err(Error::Size(_))));
}

fn config() -> ProptestConfig {
    Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    // A stranger or a broken VM sends anything at all, and the process ends in a panic.
    #[test]
    fn random_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let keys = Keys::new(OLD, Some(NEW));
        prop_assert!(open::<(u64, String, Vec<u32>)>(&keys, &bytes).is_err());
    }

    #[test]
    fn any_changed_byte_is_refused(at in 0usize..64, flip in 1u8..) {
        let keys = Keys::new(OLD, None);
        let mut frame = seal(&keys, &value()).expect("it fits");
        let at = at % frame.len();
        frame[at] ^= flip;
        prop_assert!(open::<(u64, String, Vec<u32>)>(&keys, &frame).is_err());
    }

    // A signed payload that is not what it should be, as from a VM of another version.
    #[test]
    fn signed_nonsense_is_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let keys = Keys::new(OLD, None);
        let frame = seal(&keys, &bytes).expect("it fits");
        prop_assert!(frame.len() >= HEAD);
        let _ = open::<Vec<(String, Vec<u64>)>>(&keys, &frame);
    }
}
