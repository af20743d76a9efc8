//! Comparison of the configuration and of lists between VMs, which finds VMs that hold different ones of one version.
//!
//! Changes spread by versions: a VM asks those that are ahead of it. A VM that has missed a change but
//! counts as being as far as the others asks nobody, and would keep the mistake until the same entry
//! changes again. Digests show it, whatever its cause; the VMs that differ read the list again.

use serde::{Deserialize, Serialize};
use tgw_clock::Millis;

/// Interval in ms at which a VM sends its digests to another VM, chosen at random. With a packet lost, a
/// difference is found within two of them, well below the time within which a leaving must be known.
pub const COMPARE_INTERVAL_MS: Millis = Millis::new(500);
/// Shortest time in ms between two readings of a list that differed.
const MIN_REREAD_INTERVAL_MS: Millis = Millis::new(2_000);
/// Longest such time: a VM that goes on differing, as one of another release might, must not make all
/// others read the store all the time.
const MAX_REREAD_INTERVAL_MS: Millis = Millis::new(64_000);

/// Digest of a list.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The version of the list; zero if none is known.
    pub version: u64,
    /// Hash of its contents.
    pub hash: u64,
}

/// Result of a comparison.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// The versions differ; one VM will ask the other.
    Incomparable,
    /// The lists are equal.
    Equal,
    /// The lists differ although their versions are equal.
    Different,
}

impl Digest {
    /// Compares two VMs' digests of the same list.
    pub fn compare(self, other: Self) -> Comparison {
        if self.version != other.version || self.version == 0 {
            Comparison::Incomparable
        } else if self.hash == other.hash {
            Comparison::Equal
        } else {
            Comparison::Different
        }
    }
}

/// Digests of what a VM holds.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digests {
    /// Digest of the configuration.
    pub configuration: Digest,
    /// Digest of the list of upstreams.
    pub upstreams: Digest,
    /// Digest of the list of evacuated failure domains.
    pub evacuations: Digest,
}

/// Decides when a VM reads a list again because it differs from another VM's.
#[derive(Copy, Clone, Debug)]
pub struct Reread {
    next_at: Millis,
    interval: Millis,
    agreed_at: Millis,
}

impl Default for Reread {
    fn default() -> Self {
        let interval = MIN_REREAD_INTERVAL_MS;
        Self { next_at: Millis::ZERO, interval, agreed_at: Millis::ZERO }
    }
}

impl Reread {
    /// Records a comparison; returns whether the list is to be read again.
    pub fn record(&mut self, now: Millis, comparison: Comparison) -> bool {
        match comparison {
            Comparison::Incomparable => false,
            Comparison::Equal => {
                self.agreed_at = now;
                self.interval = MIN_REREAD_INTERVAL_MS;
                false
            }
            Comparison::Different if now < self.next_at => false,
            Comparison::Different => {
                self.next_at = now + self.interval;
                self.interval = (self.interval + self.interval).min(MAX_REREAD_INTERVAL_MS);
                true
            }
        }
    }

    /// When another VM last held the same list; zero if none did.
    pub fn agreed_at(&self) -> Millis {
        self.agreed_at
    }
}
