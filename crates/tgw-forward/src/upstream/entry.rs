use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, rc::Rc};
use tgw_clock::Millis;

/// What the store says of an upstream's incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its identity; a process that starts again may bear it too.
    pub id: Rc<str>,
    /// When the process started, in ms of Unix time; zero where the entry does not say. With `id` it names
    /// the incarnation.
    pub started: u64,
    /// The service it belongs to.
    pub service: Rc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Rc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It is leaving and takes nothing new.
    pub draining: bool,
    /// How much longer it is slow after its start, as of the entry's writing.
    pub warmup: Millis,
}

impl Entry {
    /// Whether it tells of an earlier process than `other`, which bears the same identity.
    ///
    /// An earlier process may have written its last heartbeat after the later one's first, and peers may
    /// tell of the two in any order.
    pub fn precedes(&self, other: &Self) -> bool {
        self.id == other.id && self.started < other.started
    }
}

/// How far an upstream is from this VM.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same failure domain.
    Domain = 0,
    /// In another failure domain of the region.
    Region = 1,
    /// In another region.
    Far = 2,
}

impl Distance {
    /// The way there and back in ms that is assumed, as on the users' networks (0.1, 0.5 to 1.4 and 8 to
    /// 20 ms one way): it only orders upstreams of which nothing is known.
    pub(crate) fn way(self) -> f64 {
        match self {
            Self::Domain => 0.0,
            Self::Region => 4.0,
            Self::Far => 35.0,
        }
    }
}
