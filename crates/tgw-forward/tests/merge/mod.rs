//! The greatest records of parts, whole and cut.

use crate::world::record;
use proptest::prelude::*;
use tgw_forward::merge::{self, Cut};

#[test]
fn merges_the_greatest_records_of_all_parts() {
    let parts = [[record(1), record(9)].concat(), [record(5), record(9)].concat(), vec![255; 15]];
    let merged = merge::greatest(parts.iter().map(Vec::as_slice), 3);
    assert_eq!(merged, [record(9), record(9), record(5)].concat());
    assert_eq!(merge::greatest(parts.iter().map(Vec::as_slice), 0), Vec::<u8>::new());
}

proptest! {
    // A VM of another region hands over only the records that can be in the answer, as the parts that are in
    // stand when it is asked. The answer must hold what it would with every part whole, equal records too.
    #[test]
    fn an_answer_of_cut_parts_is_that_of_whole_ones(
        parts in prop::collection::vec(prop::collection::vec(0u8..12, 0..9), 1..6),
        limit in 1usize..12,
        known in 0usize..6,
    ) {
        let bytes = |records: &Vec<u8>| records.iter().flat_map(|r| record(*r)).collect::<Vec<u8>>();
        let whole: Vec<Vec<u8>> = parts.iter().map(bytes).collect();
        let (held, asked) = whole.split_at(known.min(whole.len()));
        let cut = Cut::of(held.iter().map(Vec::as_slice), limit);
        let cut_parts: Vec<Vec<u8>> = asked.iter().map(|part| cut.apply(part)).collect();
        let all = held.iter().chain(&cut_parts).map(Vec::as_slice);
        let merged = merge::greatest(all, limit);
        prop_assert_eq!(merged, merge::greatest(whole.iter().map(Vec::as_slice), limit));
    }
}

#[test]
fn records_that_cannot_be_in_the_answer_stay_where_they_are() {
    let held = [record(9), record(7), record(5)].concat();
    let cut = Cut::of(std::iter::once(&held[..]), 2);
    assert_eq!(cut.floor, Some(record(7)));
    let part = [record(3), record(8), record(7), record(6)].concat();
    assert_eq!(cut.apply(&part), [record(8), record(7)].concat());
    let open = Cut::of(std::iter::once(&held[..]), 4);
    assert_eq!((open.floor, open.apply(&part).len()), (None, 64));
}
