//! The requests that are remembered, bounded in number and by age.

use crate::{Fingerprint, record::Record};
use smallvec::SmallVec;
use std::collections::HashMap;
use tgw_clock::Millis;

/// Most requests that are remembered: 200 KB, however many different ones a caller sends.
pub const MAX_RECORDS: usize = 1_024;
/// Time in ms for which a request that is not quarantined is remembered after its last use: above the time within which
/// callers retry.
const RETENTION_MS: Millis = Millis::new(600_000);
/// Time in ms for which a quarantined request is remembered after its last use.
const QUARANTINE_RETENTION_MS: Millis = Millis::new(86_400_000);

/// Records of one content, by caller.
pub(crate) type Callers = SmallVec<[(u32, Record); 1]>;

/// Records by content, then by caller. A request is not rejected for what one other caller's requests did, but it
/// is limited if requests with the same content ended upstreams for that caller.
#[derive(Debug, Default)]
pub(crate) struct Records {
    contents: HashMap<u64, Callers>,
    count: usize,
}

impl Records {
    pub(crate) fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub(crate) fn len(&self) -> usize {
        self.count
    }

    /// The records of a content.
    pub(crate) fn of_content(&self, content: u64) -> &[(u32, Record)] {
        self.contents.get(&content).map(SmallVec::as_slice).unwrap_or_default()
    }

    /// The records of a content, if there are any.
    pub(crate) fn of_content_mut(&mut self, content: u64) -> Option<&mut Callers> {
        self.contents.get_mut(&content)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Fingerprint, &Record)> {
        self.contents.iter().flat_map(|(content, callers)| {
            callers.iter().map(|(caller, record)| {
                (Fingerprint { content: *content, caller: *caller }, record)
            })
        })
    }

    pub(crate) fn get(&self, fingerprint: Fingerprint) -> Option<&Record> {
        let callers = self.contents.get(&fingerprint.content)?;
        callers.iter().find(|(caller, _)| *caller == fingerprint.caller).map(|(_, record)| record)
    }

    pub(crate) fn get_mut(&mut self, fingerprint: Fingerprint) -> Option<&mut Record> {
        let callers = self.contents.get_mut(&fingerprint.content)?;
        callers
            .iter_mut()
            .find(|(caller, _)| *caller == fingerprint.caller)
            .map(|(_, record)| record)
    }

    /// The record of a request. A new one replaces the least recently used one if there is no room.
    pub(crate) fn get_or_insert(&mut self, now: Millis, fingerprint: Fingerprint) -> &mut Record {
        if self.get(fingerprint).is_none() {
            if self.count >= MAX_RECORDS {
                self.evict();
            }
            self.count += 1;
            self.contents
                .entry(fingerprint.content)
                .or_default()
                .push((fingerprint.caller, Record::default()));
        }
        let callers = self.contents.entry(fingerprint.content).or_default();
        let at = callers.iter().position(|(caller, _)| *caller == fingerprint.caller);
        let record = &mut callers[at.unwrap_or_default()].1;
        record.last_used = now;
        record
    }

    fn evict(&mut self) {
        let oldest =
            self.iter().min_by_key(|(_, record)| (record.is_quarantined(), record.last_used));
        let Some(fingerprint) = oldest.map(|(fingerprint, _)| fingerprint) else { return };
        if let Some(callers) = self.contents.get_mut(&fingerprint.content) {
            callers.retain(|(caller, _)| *caller != fingerprint.caller);
            if callers.is_empty() {
                self.contents.remove(&fingerprint.content);
            }
        }
        self.count -= 1;
    }

    /// Evicts records whose retention time is over.
    pub(crate) fn evict_expired(&mut self, now: Millis) {
        for callers in self.contents.values_mut() {
            callers.retain(|(_, record)| {
                let retention =
                    if record.is_quarantined() { QUARANTINE_RETENTION_MS } else { RETENTION_MS };
                now - record.last_used < retention
            });
        }
        self.contents.retain(|_, callers| !callers.is_empty());
        self.count = self.contents.values().map(SmallVec::len).sum();
    }
}
