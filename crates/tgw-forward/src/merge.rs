//! The greatest records of several parts.

/// Length of a record, in bytes; the users' upstreams hand out records of this length.
pub const RECORD: usize = 16;

/// One record.
pub type Record = [u8; RECORD];

/// The greatest `limit` records of `parts`, greatest first, compared byte by byte. Equal records all
/// count; what is left over at the end of a part and shorter than a record is none.
pub fn greatest<'a>(parts: impl Iterator<Item = &'a [u8]>, limit: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts.flat_map(|part| part.chunks_exact(RECORD)).collect();
    if records.len() > limit && limit > 0 {
        records.select_nth_unstable_by(limit - 1, |a, b| b.cmp(a));
    }
    records.truncate(limit);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}

/// What an answer takes of a part at the most.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct Cut {
    /// Records of the answer.
    pub limit: usize,
    /// The least record that can still be in it: the answer is full of parts that are in, and none of these
    /// is left out any more.
    pub floor: Option<Record>,
}

impl Cut {
    /// The cut for an answer of `limit` records that holds `parts` for certain.
    pub fn of<'a>(parts: impl Iterator<Item = &'a [u8]>, limit: usize) -> Self {
        let full = greatest(parts, limit);
        let last = full.chunks_exact(RECORD).nth(limit.wrapping_sub(1));
        Self { limit, floor: last.and_then(|record| record.try_into().ok()) }
    }

    /// The records of a part that can be in the answer, greatest first.
    pub fn apply(&self, part: &[u8]) -> Vec<u8> {
        let mut records = greatest(std::iter::once(part), self.limit);
        if let Some(floor) = self.floor {
            // Equal records all count, so one that equals the floor stays.
            let kept = records.chunks_exact(RECORD).take_while(|r| **r >= floor[..]).count();
            records.truncate(kept * RECORD);
        }
        records
    }
}
