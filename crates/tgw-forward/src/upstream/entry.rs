use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, rc::Rc};
use tgw_clock::Millis;

/// The store's entry for one incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its identity; a restarted process may use the same one.
    pub id: Rc<str>,
    /// When the process started, in ms of Unix time; zero if the entry does not contain it.
    /// Together with `id` it identifies the incarnation.
    pub started: u64,
    /// The service it belongs to.
    pub service: Rc<str>,
    /// The address it listens on.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Rc<str>,
    /// Requests that it executes concurrently.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub draining: bool,
    /// Remaining warm-up time after its start, as of the entry's writing.
    pub warmup: Millis,
}

impl Entry {
    /// Whether this entry is of an earlier process than `other`, with the same identity.
    ///
    /// An earlier process may have written its last heartbeat after the later one's first, and
    /// peers may report the two in any order.
    pub fn precedes(&self, other: &Self) -> bool {
        self.id == other.id && self.started < other.started
    }
}

/// Distance of an upstream from this VM.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same failure domain.
    Domain = 0,
    /// In another failure domain of the region.
    Region = 1,
    /// In another region.
    OtherRegion = 2,
}

impl Distance {
    /// The assumed round trip in ms (one way takes 0.1, 0.5 to 1.4 and 8 to 20 ms). It only ranks
    /// upstreams without samples.
    pub(crate) fn assumed_round_trip_ms(self) -> f64 {
        match self {
            Self::Domain => 0.0,
            Self::Region => 4.0,
            Self::OtherRegion => 35.0,
        }
    }
}
