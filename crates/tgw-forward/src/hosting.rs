//! Sends that this VM makes on behalf of other VMs.

use crate::{
    Core,
    core::{SendLimits, SendMode},
    fleet::Ticket,
};
use tgw_clock::Millis;
use tgw_route::Route;

/// A send requested by another VM.
#[derive(Copy, Clone, Debug)]
pub struct Request<'a> {
    /// The identity of the upstream.
    pub upstream: &'a str,
    /// When the upstream's process started, in ms of Unix time.
    pub started: u64,
    /// Fallback send: to be made even if the upstream is suspected.
    pub fallback: bool,
    /// Whether the send is charged to this VM's budget.
    pub lent: bool,
    /// The request's route, if this VM knows it.
    pub route: Option<&'a Route>,
}

/// Why a requested send is not made.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This VM does not know the upstream.
    Unknown,
    /// The upstream has no room or is suspected, or this VM knows that the request may not be sent
    /// there.
    Busy,
}

impl Core {
    /// Records a send on behalf of another VM, if it may be made.
    pub fn host(&mut self, now: Millis, request: Request<'_>) -> Result<Ticket, Refusal> {
        let Request { upstream, started, fallback, lent, route } = request;
        let key = self.fleet.key(upstream).ok_or(Refusal::Unknown)?;
        let known = self.fleet.get(key).ok_or(Refusal::Unknown)?;
        let service = known.entry.service.clone();
        // Sent on a connection of this VM, never through a third VM.
        let limits = SendLimits { peer: 0, ..self.send_limits(&service, SendMode::Peers) };
        let suspected = !fallback && known.is_suspected(now);
        // The upstream restarted, and one of the two VMs does not know it yet.
        let restarted = known.entry.started != started;
        let full = self.fleet.hop_for(now, known, limits).is_none();
        if suspected || restarted || full || !self.permits(route, key) {
            return Err(Refusal::Busy);
        }
        if lent && !self.lend(now, &service) {
            return Err(Refusal::Busy);
        }
        Ok(self.fleet.record_send(now, key))
    }
}
