use crate::{
    Core,
    core::{SendLimits, SendMode},
    fleet::{Choice, Hop, Key},
    message::{Reason, Requirement, Trigger, Withheld},
};
use bytes::Bytes;
use http::HeaderValue;
use smallvec::SmallVec;
use std::rc::Rc;
use tgw_clock::Millis;
use tgw_quarantine::message::Rounds;
use tgw_route::{Route, Target};

/// Upper bound on attempts to send one part, most of which reach no upstream: no connection, or no
/// room at a peer.
pub(crate) const MAX_TRIES: u32 = 6;

/// Progress of a part.
#[derive(Debug)]
pub(crate) enum State {
    /// A reply may still come.
    Waiting,
    /// The part was received.
    Received { signature: HeaderValue, body: Bytes },
    /// The part is no longer waited for.
    GivenUp,
}

/// What one service contributes to an answer, and the sends made for it.
#[derive(Debug)]
pub(crate) struct Part {
    pub(crate) service: Rc<str>,
    pub(crate) state: State,
    /// Upstreams it was sent to.
    pub(crate) tried: SmallVec<[Key; 2]>,
    /// Upstreams that are asked again only if no other is left: a peer did not send to them, or
    /// they declined earlier.
    pub(crate) last_resort: SmallVec<[Key; 2]>,
    pub(crate) tries: u32,
    pub(crate) sends: u32,
    /// Sends that upstreams declined without execution.
    pub(crate) declined_sends: u32,
    /// Upstreams that declined it since it was last deferred.
    pub(crate) declined_by: SmallVec<[Key; 2]>,
    /// Upstreams to which a peer sends on its own budget.
    pub(crate) lent: SmallVec<[Key; 2]>,
    /// Sends in flight.
    pub(crate) in_flight: u32,
    /// When its latest send counts as late.
    pub(crate) late_at: Option<Millis>,
    pub(crate) hedge_at: Option<Millis>,
    /// When it is tried again, while no send is in flight for it.
    pub(crate) deferred_until: Option<Millis>,
    /// A send that is wanted, but has to wait until other sends of the request have ended.
    pub(crate) delayed: Option<Trigger>,
    /// For each send, the upstream terminations known for the request when it was made.
    pub(crate) seen: SmallVec<[(Key, Rounds); 2]>,
    /// When each send was made.
    pub(crate) sent_at: SmallVec<[(Key, Millis); 2]>,
    /// The send that was withheld last, with its reason.
    pub(crate) last_withheld: Option<Withheld>,
}

/// One more send of a part.
pub(crate) struct Placement {
    pub(crate) choice: Choice,
    /// Fallback send: made even if its upstream is suspected, as no other is left.
    pub(crate) fallback: bool,
    /// Whether it is charged to the VM that makes it.
    pub(crate) lent: bool,
}

/// Limits on concurrent sends from this VM to one upstream of a service, for requests of `route`.
pub(crate) fn send_limits(core: &Core, route: &Route, service: &str) -> SendLimits {
    // Parts are small and may be sent twice. At-most-once requests and replies forwarded unchanged
    // use this VM's own connections, as the answer of a peer can be lost.
    let sharded = matches!(route.target, Target::Shards(_));
    core.send_limits(service, if sharded { SendMode::Peers } else { SendMode::Direct })
}

impl Part {
    pub(crate) fn new(service: Rc<str>) -> Self {
        Self {
            service,
            state: State::Waiting,
            tried: SmallVec::new(),
            last_resort: SmallVec::new(),
            tries: 0,
            sends: 0,
            declined_sends: 0,
            declined_by: SmallVec::new(),
            lent: SmallVec::new(),
            in_flight: 0,
            late_at: None,
            hedge_at: None,
            deferred_until: None,
            delayed: None,
            seen: SmallVec::new(),
            sent_at: SmallVec::new(),
            last_withheld: None,
        }
    }

    pub(crate) fn waiting(&self) -> bool {
        matches!(self.state, State::Waiting)
    }

    /// Whether the route allows one more send.
    pub(crate) fn can_send(&self, route: &Route) -> bool {
        self.sends - self.declined_sends < route.max_attempts.max(1) && self.tries < MAX_TRIES
    }

    /// Undoes a send that reached no upstream. Unless it was the first, the budget was charged for
    /// it: without a refund, peers that suspect an upstream would use up the budget
    /// for retries (4 sends a query while shards were slow).
    pub(crate) fn undo_send(&mut self, upstream: Key, core: &mut Core) {
        self.sends = self.sends.saturating_sub(1);
        let lent = self.lent.iter().position(|key| *key == upstream);
        if let Some(at) = lent {
            self.lent.remove(at);
        } else if self.sends > 0 {
            core.refund(&self.service);
        }
    }

    /// Marks `upstream` to be asked again only if no other is left.
    pub(crate) fn ask_as_last_resort(&mut self, upstream: Key) {
        self.tried.retain(|key| *key != upstream);
        self.last_resort.push(upstream);
    }

    /// The upstream terminations known for the request when it was sent to `upstream`.
    pub(crate) fn seen(&self, upstream: Key) -> Rounds {
        let sent = self.seen.iter().rev().find(|(key, _)| *key == upstream);
        sent.map(|(_, seen)| *seen).unwrap_or_default()
    }

    /// When it was last sent to `upstream`.
    pub(crate) fn sent_at(&self, upstream: Key) -> Option<Millis> {
        self.sent_at.iter().rev().find(|(key, _)| *key == upstream).map(|(_, at)| *at)
    }

    /// Records that an upstream declined the part without execution: the send does not count
    /// towards the route's attempts.
    pub(crate) fn record_declined(&mut self, upstream: Key) {
        self.declined_sends += 1;
        self.declined_by.push(upstream);
    }

    /// Ends a deferral: upstreams that had no room before it may be asked again.
    pub(crate) fn end_deferral(&mut self) {
        self.deferred_until = None;
        for upstream in std::mem::take(&mut self.declined_by) {
            self.ask_as_last_resort(upstream);
        }
    }

    /// Chooses the upstream for one more send, and whether this is a fallback send as no other is
    /// left.
    pub(crate) fn choose_upstream(
        &self,
        now: Millis,
        (trigger, requirement): (Trigger, Requirement),
        route: &Route,
        core: &mut Core,
    ) -> Result<Placement, Reason> {
        if !self.can_send(route) {
            return Err(Reason::Attempts);
        }
        let limits = send_limits(core, route, &self.service);
        let excluded: SmallVec<[Key; 4]> =
            self.tried.iter().chain(&self.last_resort).copied().collect();
        let pick =
            |excluded| core.fleet.pick(now, &self.service, limits, excluded, core.scope(route));
        let untried = pick(&excluded);
        let fallback = untried.is_none() && core.policy().insists;
        let last_resort = || pick(&self.tried);
        let reason = || core.fleet.unavailable_reason(now, &self.service, core.scope(route));
        let choice = untried.or_else(last_resort).ok_or_else(reason)?;
        // A hedge avoids a pause of an upstream that would make the whole query late, and its work with it.
        let optional =
            self.sends > 0 && trigger != Trigger::Hedge && requirement == Requirement::Optional;
        if optional && core.admission.is_overloaded(now) {
            return Err(Reason::Overload);
        }
        let allowed = self.sends == 0 || core.spend(now, &self.service, trigger, requirement);
        let lendable = choice.hop == Hop::Peer
            && requirement == Requirement::Required
            && trigger == Trigger::Retry;
        match (allowed, lendable) {
            (true, _) => Ok(Placement { choice, fallback, lent: false }),
            (false, true) if core.policy().lends => Ok(Placement { choice, fallback, lent: true }),
            (false, _) => Err(Reason::Budget),
        }
    }
}
