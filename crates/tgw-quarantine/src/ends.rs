//! Upstreams that ended, and the requests that each of them ran.

use smallvec::SmallVec;
use std::collections::{HashMap, VecDeque};
use tgw_clock::Millis;

/// Most upstreams that are remembered; the oldest is forgotten first.
const MAX_ENDS: usize = 1_024;
/// Most requests that are remembered for one upstream: more than its slots, as requests that waited there are reported
/// as well.
const MAX_SUSPECTS: usize = 32;
/// Time in ms for which an end is remembered, as long as the requests that it counts against.
const RETENTION_MS: Millis = Millis::new(600_000);

/// Requests under which one upstream ended, by content, that no answer has cleared yet. One of them did it, or none.
type Suspects = SmallVec<[u64; 2]>;

/// Ended upstreams by incarnation.
#[derive(Debug, Default)]
pub(crate) struct Ends {
    suspects: HashMap<u32, Suspects>,
    /// Incarnations by the time of the first report.
    order: VecDeque<(Millis, u32)>,
}

impl Ends {
    /// Records that an upstream ended under a request.
    pub(crate) fn record(&mut self, now: Millis, upstream: u32, content: u64) {
        let suspects = self.suspects.entry(upstream).or_insert_with(|| {
            self.order.push_back((now, upstream));
            Suspects::new()
        });
        if suspects.len() < MAX_SUSPECTS && !suspects.contains(&content) {
            suspects.push(content);
        }
        if self.order.len() > MAX_ENDS {
            self.remove_first();
        }
    }

    /// Whether the end of an upstream is remembered.
    pub(crate) fn contains(&self, upstream: u32) -> bool {
        self.suspects.contains_key(&upstream)
    }

    /// Clears a request of an end.
    pub(crate) fn clear(&mut self, upstream: u32, content: u64) {
        if let Some(suspects) = self.suspects.get_mut(&upstream) {
            suspects.retain(|suspect| *suspect != content);
        }
    }

    /// The other requests under which an upstream ended.
    pub(crate) fn others(&self, upstream: u32, content: u64) -> impl Iterator<Item = u64> {
        let suspects = self.suspects.get(&upstream).into_iter().flatten();
        suspects.copied().filter(move |suspect| *suspect != content)
    }

    /// Forgets ends whose retention time is over.
    pub(crate) fn evict_expired(&mut self, now: Millis) {
        while self.order.front().is_some_and(|(at, _)| now - *at >= RETENTION_MS) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, upstream)) = self.order.pop_front() {
            self.suspects.remove(&upstream);
        }
    }
}
