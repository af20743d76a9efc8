//! Sends that other VMs ask this one to make.

use crate::{
    Core,
    core::{Most, Way},
    fleet::Ticket,
};
use tgw_clock::Millis;
use tgw_route::Route;

/// A send that another VM asks for.
#[derive(Copy, Clone, Debug)]
pub struct Request<'a> {
    /// The identity of the upstream.
    pub upstream: &'a str,
    /// When its process started, in ms of Unix time.
    pub started: u64,
    /// It is to be made also where the upstream is doubted.
    pub insist: bool,
    /// It is charged to this VM's budget.
    pub lent: bool,
    /// The request's route as this VM knows it.
    pub route: Option<&'a Route>,
}

/// Why a send is not made.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The upstream is not known here.
    Unknown,
    /// There is no room for it, it is doubted, or the request may not go there by what this VM knows.
    Busy,
}

impl Core {
    /// Counts a send for another VM, if it may be made.
    pub fn host(&mut self, now: Millis, request: Request<'_>) -> Result<Ticket, Refusal> {
        let Request { upstream, started, insist, lent, route } = request;
        let key = self.fleet.key(upstream).ok_or(Refusal::Unknown)?;
        let known = self.fleet.get(key).ok_or(Refusal::Unknown)?;
        let service = known.entry.service.clone();
        // On a connection of this VM, or not at all.
        let most = Most { peer: 0, ..self.most(&service, Way::Peers) };
        let doubted = !insist && known.doubtful(now);
        // One of the two VMs has not heard yet that the upstream has started again.
        let other = known.entry.started != started;
        let full = self.fleet.reach_any(now, known, most).is_none();
        if doubted || other || full || !self.permits(route, key) {
            return Err(Refusal::Busy);
        }
        if lent && !self.lend(now, &service) {
            return Err(Refusal::Busy);
        }
        Ok(self.fleet.send(now, key))
    }
}
