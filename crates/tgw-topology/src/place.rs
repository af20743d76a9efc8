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
pub struct Latency {
    /// Within a failure domain.
    #[serde(rename = "local")]
    pub same_domain_ms: f64,
    /// Between failure domains of a region.
    #[serde(rename = "domains")]
    pub cross_domain_ms: f64,
    /// Between regions.
    #[serde(rename = "regions")]
    pub cross_region_ms: f64,
}

impl Latency {
    /// The one-way delay from `a` to `b`, in milliseconds.
    pub fn between(&self, a: Place, b: Place) -> f64 {
        match (a.region == b.region, a.domain == b.domain) {
            (true, true) => self.same_domain_ms,
            (true, false) => self.cross_domain_ms,
            (false, _) => self.cross_region_ms,
        }
    }
}
