//! One request from its arrival to its answer.

use crate::{
    Core,
    admission::Stage,
    answer::is_sufficient,
    fleet::Key,
    part::{self, Part, State},
};
use smallvec::SmallVec;
use std::rc::Rc;
use tgw_admission::Ticket;
use tgw_clock::Millis;
use tgw_quarantine::Fingerprint;
use tgw_route::{Route, Safety, Target};

pub use crate::message::{
    Answer, Cause, Event, Reason, Requirement, Response, SendOrder, SendResult, Trigger, Withheld,
};

/// Time in ms before the deadline at which the last answer leaves.
const ANSWER_LEAD_MS: Millis = Millis::new(5);
/// Fraction of the latency target that the margin before it may take.
const MAX_MARGIN_FACTOR: f64 = 0.5;
/// Time in ms after which a part that found no upstream with room is tried again: about one
/// request's service time, after which a connection is free.
const DEFER_INTERVAL_MS: Millis = Millis::new(20);

/// Properties of the request that a plan drives.
#[derive(Clone, Debug)]
pub struct Options {
    /// The route of the request.
    pub route: Rc<Route>,
    /// The timeout that the caller gave, if any.
    pub caller_timeout: Option<Millis>,
    /// Whether the caller opened a connection for the request.
    pub new_connection: bool,
    /// A number that differs between requests; spreads the retries of refused callers.
    pub retry_spread: u32,
    /// The priority of the request: that of its tenant, or else of its route; zero is the highest.
    pub priority: u32,
    /// The tenant that it is made for, if any.
    pub tenant: Option<Rc<str>>,
    /// Equal for requests that differ only in identity and deadline.
    pub fingerprint: Fingerprint,
}

/// Drives one request.
#[derive(Debug)]
pub struct Plan {
    pub(crate) route: Rc<Route>,
    pub(crate) started: Millis,
    pub(crate) caller_timeout: Option<Millis>,
    pub(crate) new_connection: bool,
    /// When an answer leaves without the parts still missing.
    pub(crate) answer_by: Millis,
    pub(crate) deadline: Millis,
    pub(crate) retry_spread: u32,
    pub(crate) priority: u32,
    pub(crate) tenant: Option<Rc<str>>,
    /// How far its admission has come.
    pub(crate) stage: Stage,
    pub(crate) parts: SmallVec<[Part; 1]>,
    pub(crate) fingerprint: Fingerprint,
    /// Consecutive upstream terminations under the request, as far as this attempt has observed.
    pub(crate) rounds: u8,
    /// Whether an upstream answered.
    pub(crate) answered: bool,
    /// Whether this is the single trial of a quarantined request.
    pub(crate) trial: bool,
    /// When it may be sent again, after other requests that ran on the same upstreams.
    pub(crate) resume_at: Option<Millis>,
    /// How much longer the request is quarantined.
    pub(crate) quarantined_for: Option<Millis>,
    /// Whether the request was quarantined until an upstream answered it.
    pub(crate) released: bool,
    /// Whether an upstream may have executed the request.
    pub(crate) may_have_run: bool,
    pub(crate) failure: Option<Box<Response>>,
    pub(crate) withheld: SmallVec<[Withheld; 2]>,
    pub(crate) late_upstreams: SmallVec<[Key; 2]>,
    pub(crate) finished: bool,
}

impl Plan {
    /// Creates a plan for a request that arrived at `now`.
    pub fn new(now: Millis, options: &Options) -> Self {
        let route = options.route.clone();
        let timeout = options.caller_timeout.unwrap_or(route.timeout).min(route.timeout);
        Self {
            started: now,
            caller_timeout: options.caller_timeout,
            new_connection: options.new_connection,
            answer_by: now + route.target_latency,
            deadline: now + (timeout - ANSWER_LEAD_MS),
            retry_spread: options.retry_spread,
            priority: options.priority,
            tenant: options.tenant.clone(),
            stage: Stage::default(),
            route,
            parts: SmallVec::new(),
            fingerprint: options.fingerprint,
            rounds: 0,
            answered: false,
            trial: false,
            resume_at: None,
            quarantined_for: None,
            released: false,
            may_have_run: false,
            failure: None,
            withheld: SmallVec::new(),
            late_upstreams: SmallVec::new(),
            finished: false,
        }
    }

    /// The latest time at which the request is answered.
    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    /// The service of a part.
    pub fn service(&self, part: usize) -> Option<&Rc<str>> {
        self.parts.get(part).map(|p| &p.service)
    }

    /// Whether the request was quarantined and has been released, as an upstream answered it.
    pub fn released(&self) -> bool {
        self.released
    }

    /// Takes the sends that were withheld since the last call.
    pub fn take_withheld(&mut self) -> SmallVec<[Withheld; 2]> {
        std::mem::take(&mut self.withheld)
    }

    /// Takes the upstreams whose sends became late since the last call.
    pub fn take_late_upstreams(&mut self) -> SmallVec<[Key; 2]> {
        std::mem::take(&mut self.late_upstreams)
    }

    /// For the log line of an answer and for measurements: the number of sends so far over all parts,
    /// of parts whose reply was received, and of all parts. Only parts of a query over shards count
    /// as received.
    pub fn progress(&self) -> (u32, usize, usize) {
        let sends = self.parts.iter().map(|p| p.sends).sum();
        (sends, self.count(|p| matches!(p.state, State::Received { .. })), self.parts.len())
    }

    /// When [`Event::Tick`] is due.
    pub fn next_wakeup(&self, now: Millis) -> Millis {
        let waiting = || self.parts.iter().filter(|p| p.waiting());
        let deferred = waiting().filter_map(|p| p.deferred_until);
        let late = waiting().filter_map(|p| p.late_at);
        let admission = self.ticket().map(Ticket::expires_at);
        let hedges = waiting().filter_map(|p| p.hedge_at).chain(deferred).chain(late);
        let answer = Some(self.answer_by).filter(|at| *at > now && self.parts.len() > 1);
        let turn = self.resume_at.filter(|at| *at > now);
        hedges
            .chain(answer)
            .chain(turn)
            .chain(admission)
            .min()
            .unwrap_or(Millis::MAX)
            .min(self.deadline)
    }

    /// Handles one event: appends the sends to be made to `out`, and returns the answer once there
    /// is one.
    pub fn handle(
        &mut self,
        now: Millis,
        event: Event,
        core: &mut Core,
        out: &mut Vec<SendOrder>,
    ) -> Option<Answer> {
        if self.finished {
            return None;
        }
        match event {
            Event::Start => self.start(now, core, out),
            Event::SendEnded { part, upstream, result } => {
                self.handle_send_end(now, part, upstream, result, core, out);
                self.send_delayed(now, core, out);
            }
            Event::Tick if self.ticket().is_some() => self.poll_admission(now, core, out),
            Event::Tick => {
                self.retry_deferred(now, core, out);
                self.send_hedges(now, core, out);
                self.send_delayed(now, core, out);
            }
        }
        let answer = self.answer_if_due(now, core);
        if let Some(answer) = &answer {
            self.finished = true;
            self.release_admission(now, answer, core);
        }
        answer
    }

    fn start(&mut self, now: Millis, core: &mut Core, out: &mut Vec<SendOrder>) {
        let route = self.route.clone();
        let margin = core
            .margin
            .lead_time(self.new_connection)
            .min(route.target_latency.mul_f64(MAX_MARGIN_FACTOR));
        self.answer_by = self.started + (route.target_latency - margin);
        match &route.target {
            Target::Single(service) => self.parts.push(Part::new(service.clone())),
            Target::Weighted(targets) => {
                self.parts.extend(core.next_target(&route.name, targets).map(Part::new));
            }
            Target::Shards(shards) => {
                self.parts.extend(shards.services.iter().cloned().map(Part::new));
            }
        }
        for part in &self.parts {
            core.count_request(now, &part.service);
        }
        if self.check_quarantine(now, core) {
            self.request_admission(now, core, out);
        }
    }

    /// Makes the first sends.
    pub(crate) fn send_first(&mut self, now: Millis, core: &mut Core, out: &mut Vec<SendOrder>) {
        if !self.is_feasible(now, core) {
            // Refused before anything is sent, so that the caller may retry and no upstream does
            // useless work.
            self.parts.iter_mut().for_each(|p| p.state = State::GivenUp);
            return;
        }
        for step in 0..self.parts.len() {
            let index = self.limited_order(step);
            self.order_send(now, index, Trigger::First, core, out);
            self.give_up_or_defer(now, index, core);
        }
    }

    /// Whether enough parts have an eligible upstream for the answer to be a success.
    fn is_feasible(&self, now: Millis, core: &Core) -> bool {
        let Target::Shards(shards) = &self.route.target else { return true };
        let limits = |part: &Part| part::send_limits(core, &self.route, &part.service);
        let scope = core.scope(&self.route);
        let pick = |part: &Part| core.fleet.pick(now, &part.service, limits(part), &[], scope);
        let found = self.count(|part| pick(part).is_some());
        is_sufficient(shards, found, self.parts.len())
    }

    fn handle_send_end(
        &mut self,
        now: Millis,
        index: usize,
        upstream: Key,
        result: SendResult,
        core: &mut Core,
        out: &mut Vec<SendOrder>,
    ) {
        let idempotent = self.route.safety == Safety::Idempotent;
        self.record_load_evidence(now, index, upstream, &result, core);
        let Some(part) = self.parts.get_mut(index) else { return };
        part.in_flight = part.in_flight.saturating_sub(1);
        let mut retry = idempotent;
        let seen = part.seen(upstream);
        match result {
            SendResult::Answered(response) => {
                self.may_have_run = true;
                self.record_answer(now, index, &response, core);
                let Some(part) = self.parts.get_mut(index) else { return };
                if !part.waiting() || self.accept_reply(index, response) {
                    return;
                }
            }
            SendResult::Declined => {
                if core.policy().declined_free {
                    part.record_declined(upstream);
                }
                retry = true;
            }
            SendResult::NotConnected => {
                part.undo_send(upstream, core);
                retry = true;
            }
            SendResult::PeerRefused => {
                part.undo_send(upstream, core);
                part.ask_as_last_resort(upstream);
                retry = true;
            }
            SendResult::Terminated => {
                self.may_have_run = true;
                self.record_termination(seen);
            }
            SendResult::Broken | SendResult::TimedOut => self.may_have_run = true,
        }
        if self.parts[index].waiting() && retry && core.policy().retries {
            if self.is_limited(core) {
                self.parts[index].delayed = Some(Trigger::Retry);
            } else {
                self.order_send(now, index, Trigger::Retry, core, out);
            }
        }
        self.give_up_or_defer(now, index, core);
    }

    /// Accepts a reply; false if it is used only in case no better one arrives.
    fn accept_reply(&mut self, index: usize, response: Box<Response>) -> bool {
        let sharded = matches!(self.route.target, Target::Shards(_));
        if !sharded {
            // Another upstream may succeed where this one failed; a client error (4xx) would be the
            // same at any upstream.
            let done = response.is_signed_success() || response.status.is_client_error();
            self.failure = Some(response);
            if done {
                self.parts[index].state = State::GivenUp;
            }
            return done;
        }
        let Some(signature) = response.signature.filter(|_| response.status.is_success()) else {
            return false;
        };
        let duplicate = self
            .parts
            .iter()
            .any(|p| matches!(&p.state, State::Received { signature: s, .. } if *s == signature));
        if !duplicate {
            self.parts[index].state = State::Received { signature, body: response.body };
        }
        !duplicate
    }

    /// Gives up a part without sends in flight, or defers it while it could still be in time.
    pub(crate) fn give_up_or_defer(&mut self, now: Millis, index: usize, core: &Core) {
        let in_time = core.policy().parks && self.can_defer(now, core);
        let scope = core.scope(&self.route);
        if let Some(part) = self.parts.get_mut(index)
            && part.waiting()
            && part.in_flight == 0
            && part.delayed.is_none()
        {
            let deferrable = in_time && core.fleet.has_eligible(&part.service, scope);
            let defer = deferrable && part.can_send(&self.route);
            part.deferred_until = defer.then_some(now + DEFER_INTERVAL_MS);
            if !defer {
                part.state = State::GivenUp;
            }
        }
    }

    /// Whether a part that finds no upstream with room is tried again later. An answer waits for
    /// late parts up to its latency target in any case. Given up at once for want of a free
    /// connection, parts were missing from answers that left 50 ms later, and queries failed that
    /// lacked only one part.
    fn can_defer(&self, now: Millis, core: &Core) -> bool {
        let Target::Shards(shards) = &self.route.target else { return false };
        let got = self.count(|p| matches!(p.state, State::Received { .. }));
        let late = core.policy().late && !is_sufficient(shards, got, self.parts.len());
        now + DEFER_INTERVAL_MS < if late { self.deadline } else { self.answer_by }
    }

    /// Whether the answer needs a part, given the state of its other parts.
    pub(crate) fn requirement(&self, index: usize) -> Requirement {
        let Target::Shards(shards) = &self.route.target else { return Requirement::Required };
        let likely = |(i, p): &(usize, &Part)| {
            *i != index
                && (matches!(p.state, State::Received { .. }) || (p.waiting() && p.in_flight > 0))
        };
        let others = self.parts.iter().enumerate().filter(likely).count();
        if is_sufficient(shards, others, self.parts.len()) {
            Requirement::Optional
        } else {
            Requirement::Required
        }
    }

    pub(crate) fn count(&self, predicate: impl Fn(&Part) -> bool) -> usize {
        self.parts.iter().filter(|p| predicate(p)).count()
    }

    /// The time since the request arrived.
    pub fn age(&self, now: Millis) -> Millis {
        now - self.started
    }
}
