//! Selection of the greatest records of several parts.

/// Length of a record, in bytes, as upstreams return them.
pub const RECORD_BYTES: usize = 16;

/// One record.
pub type Record = [u8; RECORD_BYTES];

/// The greatest `limit` records of `parts`, greatest first, in byte order. Duplicates are kept;
/// trailing bytes of a part that do not fill a record are ignored.
pub fn greatest<'a>(parts: impl Iterator<Item = &'a [u8]>, limit: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts.flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    if records.len() > limit && limit > 0 {
        records.select_nth_unstable_by(limit - 1, |a, b| b.cmp(a));
    }
    records.truncate(limit);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}

/// Limits on what an answer can use of a part.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct PartLimits {
    /// Maximum number of records in the answer.
    pub limit: usize,
    /// The least record that can still enter the answer, once received parts fill it and all of
    /// them are certain to be included.
    pub floor: Option<Record>,
}

impl PartLimits {
    /// The limits for an answer of `limit` records that is certain to include `parts`.
    pub fn for_answer<'a>(parts: impl Iterator<Item = &'a [u8]>, limit: usize) -> Self {
        let full = greatest(parts, limit);
        let last = full.chunks_exact(RECORD_BYTES).nth(limit.wrapping_sub(1));
        Self { limit, floor: last.and_then(|record| record.try_into().ok()) }
    }

    /// The records of a part that can enter the answer, greatest first.
    pub fn apply(&self, part: &[u8]) -> Vec<u8> {
        let mut records = greatest(std::iter::once(part), self.limit);
        if let Some(floor) = self.floor {
            // Duplicates are kept, so a record equal to the floor stays.
            let kept = records.chunks_exact(RECORD_BYTES).take_while(|r| **r >= floor[..]).count();
            records.truncate(kept * RECORD_BYTES);
        }
        records
    }
}
