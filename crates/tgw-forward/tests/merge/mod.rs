//! The greatest records of parts, complete and limited.

use crate::world::record;
use proptest::prelude::*;
use tgw_forward::merge::{self, PartLimits};

#[test]
fn merges_the_greatest_records_of_all_parts() {
    let parts = [[record(1), record(9)].concat(), [record(5), record(9)].concat(), vec![255; 15]];
    let merged = merge::greatest(parts.iter().map(Vec::as_slice), 3);
    assert_eq!(merged, [record(9), record(9), record(5)].concat());
    assert_eq!(merge::greatest(parts.iter().map(Vec::as_slice), 0), Vec::<u8>::new());
}

proptest! {
    // A VM of another region returns only the records that can enter the answer, given the parts
    // that were in when it was asked. The answer must contain the same records as with complete
    // parts, including duplicates.
    #[test]
    fn limited_parts_give_the_same_answer_as_complete_ones(
        parts in prop::collection::vec(prop::collection::vec(0u8..12, 0..9), 1..6),
        limit in 1usize..12,
        known in 0usize..6,
    ) {
        let bytes = |records: &Vec<u8>| records.iter().flat_map(|r| record(*r)).collect::<Vec<u8>>();
        let complete: Vec<Vec<u8>> = parts.iter().map(bytes).collect();
        let (received, requested) = complete.split_at(known.min(complete.len()));
        let limits = PartLimits::for_answer(received.iter().map(Vec::as_slice), limit);
        let limited_parts: Vec<Vec<u8>> = requested.iter().map(|part| limits.apply(part)).collect();
        let all = received.iter().chain(&limited_parts).map(Vec::as_slice);
        let merged = merge::greatest(all, limit);
        prop_assert_eq!(merged, merge::greatest(complete.iter().map(Vec::as_slice), limit));
    }
}

#[test]
fn records_below_floor_are_left_out() {
    let received = [record(9), record(7), record(5)].concat();
    let limits = PartLimits::for_answer(std::iter::once(&received[..]), 2);
    assert_eq!(limits.floor, Some(record(7)));
    let part = [record(3), record(8), record(7), record(6)].concat();
    assert_eq!(limits.apply(&part), [record(8), record(7)].concat());
    let unlimited = PartLimits::for_answer(std::iter::once(&received[..]), 4);
    assert_eq!((unlimited.floor, unlimited.apply(&part).len()), (None, 64));
}
