//! Callers' keys.
//!
//! A key is `SECONDS-TEXT`: the Unix time at which the caller made it, and text that is unique among
//! its orders. The time selects the object that holds the key's claim, and lets a key whose claims are
//! no longer kept be rejected for good instead of running a second time.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use tgw_topology::Service;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// How long claims are kept. A request with an older key is rejected and not run; whether an earlier
/// request with that key ran is no longer known.
pub const CLAIM_RETENTION_S: u64 = 24 * 3600;
/// How far a caller's clock may be ahead.
pub const MAX_AHEAD_S: u64 = 300;
/// Keys made in the same period and of the same bucket share an object.
pub const OBJECT_PERIOD_S: u64 = 60;
/// Buckets that keys are hashed to. Together with the shortest time between two writes of one object it
/// bounds the rate of writes, whatever the number of orders and VMs.
pub const BUCKET_COUNT: u64 = 16;
const MAX_KEY_BYTES: usize = 128;

/// A caller's key for one service.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The service.
    pub service: Service,
    /// The hash of the whole key.
    pub hash: u128,
    /// When the caller made the key, in Unix seconds.
    pub made_s: u64,
}

/// Why a key is rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The key does not have the required form.
    #[display("a key is SECONDS-TEXT: Unix seconds, a dash, up to 128 printable ASCII characters")]
    Malformed,
    /// The key's claims are no longer kept: this request is not run, and whether an earlier request with
    /// the key ran is no longer known.
    #[display("the key is older than the {CLAIM_RETENTION_S} seconds that keys are kept")]
    Expired,
    /// The key's time is too far in the future.
    #[display("the key's time is ahead by more than {MAX_AHEAD_S} seconds")]
    Ahead,
}

impl Key {
    /// Parses a key and checks its age at Unix time `now_s`.
    pub fn parse(service: Service, text: &str, now_s: u64) -> Result<Self, Error> {
        let printable = text.len() <= MAX_KEY_BYTES && text.chars().all(|c| c.is_ascii_graphic());
        let (seconds, rest) = text.split_once('-').ok_or(Error::Malformed)?;
        let made_s: u64 = seconds.parse().map_err(|_| Error::Malformed)?;
        if !printable || rest.is_empty() {
            return Err(Error::Malformed);
        }
        if made_s.saturating_add(CLAIM_RETENTION_S) <= now_s {
            return Err(Error::Expired);
        }
        if made_s > now_s.saturating_add(MAX_AHEAD_S) {
            return Err(Error::Ahead);
        }
        Ok(Self { service, hash: xxh3_128(text.as_bytes()), made_s })
    }

    /// The bucket, which determines the VM that claims the order.
    pub fn bucket(&self) -> u64 {
        let mixed = self.hash ^ u128::from(self.service.0);
        xxh3_64(&mixed.to_le_bytes()) % BUCKET_COUNT
    }

    /// The name of the object that holds the claim.
    pub fn object_name(&self) -> String {
        format!("{}-{}", self.made_s / OBJECT_PERIOD_S, self.bucket())
    }

    /// The name of the claim within its object, also sent to upstreams as the order's key.
    pub fn claim_name(&self) -> String {
        format!("{}-{:032x}", self.service.0, self.hash)
    }
}

/// The objects of the same bucket whose claims have expired when this object is created. Covers several
/// periods, as no object is created in a period without orders.
pub fn expired_objects(object: &str) -> impl Iterator<Item = String> {
    const CLEANUP_PERIODS: u64 = 8;
    let parts = object.split_once('-').and_then(|(p, b)| Some((p.parse::<u64>().ok()?, b)));
    let oldest = |period: u64| {
        period.saturating_sub((CLAIM_RETENTION_S + MAX_AHEAD_S) / OBJECT_PERIOD_S + 1)
    };
    let parsed = parts.map(|(period, bucket)| (oldest(period), bucket.to_owned()));
    parsed.into_iter().flat_map(|(last, bucket)| {
        (last.saturating_sub(CLEANUP_PERIODS)..last).map(move |period| format!("{period}-{bucket}"))
    })
}
