//! What upstreams tell of their load.

use crate::{Fleet, fleet::Key};
use serde::{Deserialize, Serialize};
use tgw_clock::Millis;

/// An upstream's load as a reply of it tells.
#[derive(Copy, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that it works on, of all VMs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How long work takes there, as many times what is usual.
    pub pace: f64,
}

/// Greatest number of requests that is believed.
const REQUESTS_MOST: u32 = 100_000;
/// Greatest pace that is believed.
const PACE_MOST: f64 = 1_000.0;

impl Load {
    /// Whether it can be true.
    pub fn is_sound(&self) -> bool {
        let counts = [self.running, self.waiting, self.slots];
        self.slots > 0
            && counts.iter().all(|count| *count <= REQUESTS_MOST)
            && self.pace > 0.0
            && self.pace <= PACE_MOST
    }
}

impl Fleet {
    /// A reply of an upstream told its load.
    pub fn loaded(&mut self, now: Millis, key: Key, load: Load) {
        if let Some(upstream) = self.upstreams.get_mut(&key).filter(|_| load.is_sound()) {
            upstream.loaded(now, load);
        }
    }
}
