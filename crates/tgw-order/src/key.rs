//! Callers' keys.
//!
//! A key is `SECONDS-TEXT`: the Unix time at which the caller made it, and text that is unique among
//! its orders. The time names the object that holds the key's claim, and lets a key whose claims are
//! no longer kept be refused for good instead of running a second time.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use tgw_topology::Service;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Seconds that claims are kept. An older key is refused as not run.
pub const KEPT_S: u64 = 24 * 3600;
/// Seconds that a caller's clock may be ahead.
pub const AHEAD_S: u64 = 300;
/// Seconds of keys that share an object.
pub const PERIOD_S: u64 = 60;
/// Buckets that keys are spread over; with the clerks' pause between two writes it bounds the rate of
/// writes, whatever the number of orders and of VMs.
pub const BUCKETS: u64 = 16;
const LONGEST: usize = 128;

/// A caller's key for one service.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The service.
    pub service: Service,
    /// The hash of the whole key.
    pub hash: u128,
    /// When the caller made it, in Unix seconds.
    pub made_s: u64,
}

/// Why a key is refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// It is not of the form that is asked for.
    #[display("a key is SECONDS-TEXT: Unix seconds, a dash, up to 128 printable ASCII characters")]
    Malformed,
    /// Its claims are no longer kept: whether it ran cannot be told.
    #[display("the key is older than the {KEPT_S} seconds that keys are kept")]
    Expired,
    /// It is from the future.
    #[display("the key's time is ahead by more than {AHEAD_S} seconds")]
    Ahead,
}

impl Key {
    /// Reads a key at Unix time `now_s`.
    pub fn read(service: Service, text: &str, now_s: u64) -> Result<Self, Error> {
        let printable = text.len() <= LONGEST && text.chars().all(|c| c.is_ascii_graphic());
        let (seconds, rest) = text.split_once('-').ok_or(Error::Malformed)?;
        let made_s: u64 = seconds.parse().map_err(|_| Error::Malformed)?;
        if !printable || rest.is_empty() {
            return Err(Error::Malformed);
        }
        if made_s.saturating_add(KEPT_S) <= now_s {
            return Err(Error::Expired);
        }
        if made_s > now_s.saturating_add(AHEAD_S) {
            return Err(Error::Ahead);
        }
        Ok(Self { service, hash: xxh3_128(text.as_bytes()), made_s })
    }

    /// The bucket, which names the clerk.
    pub fn bucket(&self) -> u64 {
        let mixed = self.hash ^ u128::from(self.service.0);
        xxh3_64(&mixed.to_le_bytes()) % BUCKETS
    }

    /// The object that holds the claim.
    pub fn object(&self) -> String {
        format!("{}-{}", self.made_s / PERIOD_S, self.bucket())
    }

    /// The name of the claim within its object, and of the order towards upstreams.
    pub fn name(&self) -> String {
        format!("{}-{:032x}", self.service.0, self.hash)
    }
}

/// The objects of the same bucket whose claims are no longer kept when this one is created. Several
/// periods back, as no object is created in a period without orders.
pub fn expired_by(object: &str) -> impl Iterator<Item = String> {
    const PERIODS: u64 = 8;
    let parts = object.split_once('-').and_then(|(p, b)| Some((p.parse::<u64>().ok()?, b)));
    let oldest = |period: u64| period.saturating_sub((KEPT_S + AHEAD_S) / PERIOD_S + 1);
    let named = parts.map(|(period, bucket)| (oldest(period), bucket.to_owned()));
    named.into_iter().flat_map(|(last, bucket)| {
        (last.saturating_sub(PERIODS)..last).map(move |period| format!("{period}-{bucket}"))
    })
}
