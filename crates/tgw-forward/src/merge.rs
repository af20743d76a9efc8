//! The greatest records of several parts.

/// Length of a record, in bytes; the users' upstreams hand out records of this length.
pub const RECORD: usize = 16;

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
