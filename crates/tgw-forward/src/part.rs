use crate::{
    Core,
    core::{Most, Way},
    fleet::{Choice, Hop, Key},
    message::{Need, Reason, Why, Withheld},
};
use bytes::Bytes;
use http::HeaderValue;
use smallvec::SmallVec;
use std::rc::Rc;
use tgw_clock::Millis;
use tgw_quarantine::message::Seen;
use tgw_route::{Route, Target};

/// Tries to send one part, most of which came to no send: no connection, or no room at a peer.
pub(crate) const TRIES: u32 = 6;

/// How far a part is.
#[derive(Debug)]
pub(crate) enum State {
    /// It may still come.
    Waiting,
    /// It is in.
    Got { seal: HeaderValue, body: Bytes },
    /// It is not waited for any more.
    GivenUp,
}

/// What one service contributes to an answer, and what was done for it.
#[derive(Debug)]
pub(crate) struct Part {
    pub(crate) service: Rc<str>,
    pub(crate) state: State,
    /// Upstreams that it was sent to.
    pub(crate) tried: SmallVec<[Key; 2]>,
    /// Upstreams that a peer did not send it to.
    pub(crate) busy: SmallVec<[Key; 2]>,
    pub(crate) tries: u32,
    pub(crate) sends: u32,
    /// Sends that were declined unrun.
    pub(crate) declined: u32,
    /// Upstreams that declined it since it was last parked.
    pub(crate) declined_by: SmallVec<[Key; 2]>,
    /// Upstreams to which another VM sends on its own budget.
    pub(crate) lent: SmallVec<[Key; 2]>,
    /// Sends that have not ended.
    pub(crate) open: u32,
    /// When its latest send is late.
    pub(crate) late_at: Option<Millis>,
    pub(crate) hedge_at: Option<Millis>,
    /// When it is tried again, while nothing is under way for it.
    pub(crate) parked: Option<Millis>,
    /// One more send is wanted, and has to wait until others of the request have ended.
    pub(crate) delayed: Option<Why>,
    /// What was known of the request where each of its sends was made.
    pub(crate) seen: SmallVec<[(Key, Seen); 2]>,
    /// The send that was withheld last, with its reason.
    pub(crate) withheld: Option<Withheld>,
}

/// One more send of a part.
pub(crate) struct Placed {
    pub(crate) choice: Choice,
    /// It is to be made also where its upstream is doubted, as no other is left.
    pub(crate) insist: bool,
    /// It is charged to the VM that makes it.
    pub(crate) lent: bool,
}

/// Sends that one upstream of a service may hold at once from this VM, for requests of `route`.
pub(crate) fn most(core: &Core, route: &Route, service: &str) -> Most {
    // Parts are small and may be asked twice. What may run once, or is passed on whole, goes on this
    // VM's own connections: the answer of another VM can be lost.
    let sharded = matches!(route.target, Target::Shards(_));
    core.most(service, if sharded { Way::Peers } else { Way::Direct })
}

impl Part {
    pub(crate) fn new(service: Rc<str>) -> Self {
        Self {
            service,
            state: State::Waiting,
            tried: SmallVec::new(),
            busy: SmallVec::new(),
            tries: 0,
            sends: 0,
            declined: 0,
            declined_by: SmallVec::new(),
            lent: SmallVec::new(),
            open: 0,
            late_at: None,
            hedge_at: None,
            parked: None,
            delayed: None,
            seen: SmallVec::new(),
            withheld: None,
        }
    }

    pub(crate) fn waiting(&self) -> bool {
        matches!(self.state, State::Waiting)
    }

    /// Whether the route allows one more send.
    pub(crate) fn sendable(&self, route: &Route) -> bool {
        self.sends - self.declined < route.attempts.max(1) && self.tries < TRIES
    }

    /// A send reached no upstream. If it was not the first, the budget was charged for it: peers that doubt
    /// an upstream would else use up what retries need (4 sends a query while shards were slow).
    pub(crate) fn unsend(&mut self, upstream: Key, core: &mut Core) {
        self.sends = self.sends.saturating_sub(1);
        let lent = self.lent.iter().position(|key| *key == upstream);
        if let Some(at) = lent {
            self.lent.remove(at);
        } else if self.sends > 0 {
            core.refund(&self.service);
        }
    }

    /// A peer did not send it to `upstream`, which may be asked again when no other is left.
    pub(crate) fn passed_over(&mut self, upstream: Key) {
        self.tried.retain(|key| *key != upstream);
        self.busy.push(upstream);
    }

    /// What was known of the request where it was sent to `upstream`.
    pub(crate) fn seen(&self, upstream: Key) -> Seen {
        let sent = self.seen.iter().rev().find(|(key, _)| *key == upstream);
        sent.map(|(_, seen)| *seen).unwrap_or_default()
    }

    /// An upstream declined it unrun: the send is none of those that the route allows.
    pub(crate) fn declined(&mut self, upstream: Key) {
        self.declined += 1;
        self.declined_by.push(upstream);
    }

    /// It was parked for a while: upstreams that had no room for it then may be asked again.
    pub(crate) fn unpark(&mut self) {
        self.parked = None;
        for upstream in std::mem::take(&mut self.declined_by) {
            self.passed_over(upstream);
        }
    }

    /// The upstream for one more send, and whether that is to be insisted on as no other is left.
    pub(crate) fn choose(
        &self,
        now: Millis,
        (why, need): (Why, Need),
        route: &Route,
        core: &mut Core,
    ) -> Result<Placed, Reason> {
        if !self.sendable(route) {
            return Err(Reason::Attempts);
        }
        let most = most(core, route, &self.service);
        let passed: SmallVec<[Key; 4]> = self.tried.iter().chain(&self.busy).copied().collect();
        let pick = |passed| core.fleet.pick(now, &self.service, most, passed, core.scope(route));
        let fresh = pick(&passed);
        let insist = fresh.is_none() && core.policy().insists;
        let again = || pick(&self.tried);
        let missing = || core.fleet.missing(now, &self.service, core.scope(route));
        let choice = fresh.or_else(again).ok_or_else(missing)?;
        let allowed = self.sends == 0 || core.spend(now, &self.service, why, need);
        let lendable = choice.hop == Hop::Peer && need == Need::Least && why == Why::Retry;
        match (allowed, lendable) {
            (true, _) => Ok(Placed { choice, insist, lent: false }),
            (false, true) if core.policy().lends => Ok(Placed { choice, insist, lent: true }),
            (false, _) => Err(Reason::Budget),
        }
    }
}
