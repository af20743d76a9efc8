//! Tests of frames: key rotation, unauthenticated senders, damaged and random input.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use tgw_wire::{Error, HEADER_BYTES, Keys, MAX_FRAME_BYTES, decode, encode};

const OLD_KEY: [u8; 32] = [1; 32];
const NEW_KEY: [u8; 32] = [2; 32];

fn value() -> (u64, String, Vec<u32>) {
    (7, "text".into(), vec![1, 2, 3])
}

// During a key rotation some VMs sign with the old key and some with the new one. If only one key were
// accepted, each half of the fleet would declare the other half dead.
#[test]
fn both_keys_are_accepted_during_rotation() {
    let before = Keys::new(OLD_KEY, Some(NEW_KEY));
    let after = Keys::new(NEW_KEY, Some(OLD_KEY));
    for (sender, receiver) in [(&before, &after), (&after, &before)] {
        let frame = encode(sender, &value()).expect("the frame fits the limit");
        assert_eq!(decode::<(u64, String, Vec<u32>)>(receiver, &frame), Ok(value()));
    }
    let rotated = Keys::new(NEW_KEY, None);
    let frame = encode(&before, &value()).expect("the frame fits the limit");
    assert_eq!(decode::<(u64, String, Vec<u32>)>(&rotated, &frame), Err(Error::Signature));
}

#[test]
fn frame_larger_than_the_limit_is_an_error() {
    let keys = Keys::new(OLD_KEY, None);
    let large = vec![0_u8; MAX_FRAME_BYTES];
    assert!(matches!(encode(&keys, &large), Err(Error::Size(_))));
}

fn config() -> ProptestConfig {
    Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    // An unauthenticated sender or a faulty VM sends arbitrary bytes: decoding must not panic.
    #[test]
    fn random_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let keys = Keys::new(OLD_KEY, Some(NEW_KEY));
        prop_assert!(decode::<(u64, String, Vec<u32>)>(&keys, &bytes).is_err());
    }

    #[test]
    fn frame_with_any_changed_byte_is_rejected(at in 0usize..64, flip in 1u8..) {
        let keys = Keys::new(OLD_KEY, None);
        let mut frame = encode(&keys, &value()).expect("the frame fits the limit");
        let at = at % frame.len();
        frame[at] ^= flip;
        prop_assert!(decode::<(u64, String, Vec<u32>)>(&keys, &frame).is_err());
    }

    // A VM of another version sends a correctly signed payload of another type: decoding must not panic.
    #[test]
    fn signed_payload_of_another_type_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let keys = Keys::new(OLD_KEY, None);
        let frame = encode(&keys, &bytes).expect("the frame fits the limit");
        prop_assert!(frame.len() >= HEADER_BYTES);
        let _ = decode::<Vec<(String, Vec<u64>)>>(&keys, &frame);
    }
}
