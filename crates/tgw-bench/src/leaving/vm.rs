use super::view::View;
use std::net::SocketAddr;
use tgw_clock::Millis;
use tgw_member::{Event, Member};
use tgw_spread::{
    Schedule,
    agreement::Reread,
    reachability::{Reachability, Reporters},
    store_reads::{ReadRank, Step},
};

/// A call of the store that is in flight.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct Call {
    pub(crate) number: u64,
    pub(crate) step: Step,
    pub(crate) began: Millis,
}

/// State of one VM: its decision code, driven as in the gateway.
pub(crate) struct Vm {
    pub(crate) addr: SocketAddr,
    pub(crate) region: usize,
    pub(crate) member: Member,
    pub(crate) view: View,
    pub(crate) store_schedule: Schedule,
    pub(crate) reachability: Reachability,
    /// When it probes the store next to renew its report that it cannot reach it.
    pub(crate) recheck_at: Millis,
    /// Others that report the same.
    pub(crate) reporters: Reporters,
    pub(crate) reread: Reread,
    pub(crate) relay: Option<bool>,
    pub(crate) call: Option<Call>,
    /// Number of the last scheduled step; earlier ones are ignored.
    pub(crate) steps: u64,
    pub(crate) request_sent_at: Option<Millis>,
    pub(crate) paused_until: Millis,
    pub(crate) dead: bool,
    /// Only changes learned from then on are measured, as the VM was unreachable before.
    pub(crate) measured_from: Millis,
    /// When it stopped sending to each of the upstreams that leave.
    pub(crate) learned_at: Vec<Option<Millis>>,
}

impl Vm {
    pub(crate) fn rank(&self) -> ReadRank {
        ReadRank { relay: self.relay, has_data: true, read_at: Millis::MAX }
    }

    /// Events that announce its version and whether it reaches the store.
    pub(crate) fn announcements(&mut self) -> Vec<Event> {
        let version = self.view.version();
        let update = match self.view {
            View::Upstreams(_) => Event::CatalogVersion(version),
            View::Evacuations(_) => Event::EvacuationsVersion(version),
        };
        vec![update, Event::PlatformUnreachable(self.reachability.is_unreachable())]
    }
}
