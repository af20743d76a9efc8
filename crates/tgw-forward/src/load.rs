//! Load that upstreams report.

use crate::{Fleet, fleet::Key};
use serde::{Deserialize, Serialize};
use tgw_clock::Millis;

/// An upstream's load as reported in one of its replies.
#[derive(Copy, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that it is executing, from all VMs.
    pub running: u32,
    /// Requests queued there.
    pub waiting: u32,
    /// Requests that it executes concurrently.
    pub slots: u32,
    /// Current service time as a multiple of the usual one.
    pub pace: f64,
}

/// Greatest request count that is accepted as plausible.
const MAX_REQUESTS: u32 = 100_000;
/// Greatest pace that is accepted as plausible.
const MAX_PACE_FACTOR: f64 = 1_000.0;

impl Load {
    /// Whether the report is plausible.
    pub fn is_plausible(&self) -> bool {
        let counts = [self.running, self.waiting, self.slots];
        self.slots > 0
            && counts.iter().all(|count| *count <= MAX_REQUESTS)
            && self.pace > 0.0
            && self.pace <= MAX_PACE_FACTOR
    }
}

impl Fleet {
    /// Records the load reported in a reply of an upstream.
    pub fn record_load(&mut self, now: Millis, key: Key, load: Load) {
        if let Some(upstream) = self.upstreams.get_mut(&key).filter(|_| load.is_plausible()) {
            upstream.record_load(now, load);
        }
    }
}
