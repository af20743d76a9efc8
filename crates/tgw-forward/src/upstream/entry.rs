use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, rc::Rc};
use tgw_clock::Millis;

/// Heartbeats by which a delayed one may be behind: writes are delayed by seconds. An entry that is
/// further behind is of a process that started anew without saying when.
const MAX_LATE_HEARTBEATS: u64 = 16;

/// The store's entry for one incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its identity; a restarted process may use the same one.
    pub id: Rc<str>,
    /// When the process started, in ms of Unix time; zero if the entry does not contain it.
    /// Together with `id` it identifies the incarnation.
    pub started: u64,
    /// The number of heartbeats that the process had written, including this one.
    pub heartbeats: u64,
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
    /// Whether this entry is older than `other`, with the same identity: of an earlier process, or an
    /// earlier heartbeat of the same one.
    ///
    /// A process's heartbeat may take effect after a later one, or after the first of the process that
    /// follows it, and peers may report them in any order. An upstream that drains would otherwise get
    /// requests again.
    pub fn precedes(&self, other: &Self) -> bool {
        self.id == other.id
            && (self.started < other.started || self.is_earlier_heartbeat_than(other))
    }

    fn is_earlier_heartbeat_than(&self, other: &Self) -> bool {
        let same_process = self.started == other.started
            && self.service == other.service
            && self.addr == other.addr;
        let behind = other.heartbeats.saturating_sub(self.heartbeats);
        same_process && (1..=MAX_LATE_HEARTBEATS).contains(&behind)
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
