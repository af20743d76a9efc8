//! Recent answers: which requests upstreams have run without ending.

use tgw_clock::Millis;

/// Answers that are remembered; of two with the same slot the later one. 240 KB.
const SLOTS: usize = 10_000;
/// Time in ms for which an answer counts in favour of its request. Short against the time between two versions of the
/// upstreams, the second of which may be unable to run the request.
const VALIDITY_MS: Millis = Millis::new(60_000);

/// The latest answers by content of the request and by service. A request that was answered a moment ago hardly is
/// what ends the upstreams that run it now.
#[derive(Debug, Default)]
pub(crate) struct Answers {
    /// Empty until the first answer, then of constant length.
    slots: Vec<Option<(u64, Millis)>>,
}

impl Answers {
    /// Records that an upstream of a service answered a request.
    pub(crate) fn record(&mut self, now: Millis, content: u64, service: u32) {
        if self.slots.is_empty() {
            self.slots = vec![None; SLOTS];
        }
        for key in [key(content, None), key(content, Some(service))] {
            self.slots[slot(key)] = Some((key, now));
        }
    }

    /// Whether a request was answered a short time before `now`, at a service or anywhere.
    pub(crate) fn is_recent(&self, now: Millis, content: u64, service: Option<u32>) -> bool {
        let key = key(content, service);
        let held = self.slots.get(slot(key)).copied().flatten();
        held.is_some_and(|(held, at)| held == key && now - at < VALIDITY_MS)
    }
}

/// Identifies a content at a service, or anywhere. Contents are hashes already.
fn key(content: u64, service: Option<u32>) -> u64 {
    let service = service.map_or(0, |service| u64::from(service) + 1);
    content ^ service.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn slot(key: u64) -> usize {
    (key % SLOTS as u64) as usize
}
