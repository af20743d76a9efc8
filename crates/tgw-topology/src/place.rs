//! Regions and failure domains.

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// A region, by number.
#[derive(
    Copy, Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("r{_0}")]
pub struct Region(pub u8);

/// A failure domain, by a number that is unique across regions.
#[derive(
    Copy, Clone, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("d{_0}")]
pub struct Domain(pub u8);

/// The location of a VM or an upstream.
#[derive(
    Copy, Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{region}/{domain}")]
pub struct Place {
    /// The region.
    pub region: Region,
    /// The failure domain within the region.
    pub domain: Domain,
}

/// One-way network delays in milliseconds, by the distance between two places.
#[derive(Copy, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Distance {
    /// Within a failure domain.
    pub local: f64,
    /// Between failure domains of a region.
    pub domains: f64,
    /// Between regions.
    pub regions: f64,
}

impl Distance {
    /// The one-way delay from `a` to `b`, in milliseconds.
    pub fn between(&self, a: Place, b: Place) -> f64 {
        match (a.region == b.region, a.domain == b.domain) {
            (true, true) => self.local,
            (true, false) => self.domains,
            (false, _) => self.regions,
        }
    }
}
