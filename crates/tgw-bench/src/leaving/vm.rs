use super::known::Known;
use std::net::SocketAddr;
use tgw_clock::Millis;
use tgw_member::{Event, Member};
use tgw_spread::{
    Schedule,
    store_reads::{Reachability, ReadRank, Step},
};

/// A call of the store that is under way.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct Call {
    pub(crate) number: u64,
    pub(crate) step: Step,
    pub(crate) began: Millis,
}

/// One VM: the decisions of a real one, driven as the gateway drives them.
pub(crate) struct Vm {
    pub(crate) addr: SocketAddr,
    pub(crate) region: usize,
    pub(crate) member: Member,
    pub(crate) known: Known,
    pub(crate) schedule: Schedule,
    pub(crate) reachability: Reachability,
    pub(crate) relay: Option<bool>,
    pub(crate) call: Option<Call>,
    /// Only the last step that was set counts.
    pub(crate) steps: u64,
    pub(crate) asking: Option<Millis>,
    pub(crate) frozen_until: Millis,
    pub(crate) dead: bool,
    /// From then on what it knows is judged.
    pub(crate) judged_from: Millis,
    /// When it stopped sending to each of the upstreams that leave.
    pub(crate) aware: Vec<Option<Millis>>,
}

impl Vm {
    pub(crate) fn rank(&self) -> ReadRank {
        ReadRank { relay: self.relay, has_data: true, read_at: Millis::MAX }
    }

    /// What it has to tell others.
    pub(crate) fn told(&mut self) -> Vec<Event> {
        let version = self.known.version();
        let news = match self.known {
            Known::Upstreams(_) => Event::World(version),
            Known::Evacuations(_) => Event::Evacuations(version),
        };
        vec![news, Event::Blind(self.reachability.is_unreachable())]
    }
}
