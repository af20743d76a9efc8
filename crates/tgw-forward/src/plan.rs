//! One request from its arrival to its answer.

use crate::{
    Core,
    conclude::enough,
    fleet::Key,
    part::{self, Part, State},
};
use smallvec::SmallVec;
use std::rc::Rc;
use tgw_clock::Millis;
use tgw_quarantine::Fingerprint;
use tgw_route::{Route, Safety, Target};

pub use crate::message::{
    Answer, Cause, Ended, Event, Need, Order, Reason, Response, Why, Withheld,
};

/// Time in ms before the deadline at which the last answer leaves.
const LAST: Millis = Millis::new(5);
/// The part of the aim that the margin before it may take.
const MARGIN_MOST: f64 = 0.5;
/// Time in ms after which a part that found no upstream with room is tried again: about the work of a
/// request, after which a connection is free.
const PARK: Millis = Millis::new(20);

/// What a plan is made from.
#[derive(Clone, Debug)]
pub struct Options {
    /// The route of the request.
    pub route: Rc<Route>,
    /// How long its caller waits, if it says so.
    pub patience: Option<Millis>,
    /// Its caller opened a connection for it.
    pub opened: bool,
    /// A number that differs from request to request; spreads the return of refused callers.
    pub spread: u32,
    /// The same for requests that differ in identity and deadline only.
    pub print: Fingerprint,
}

/// Drives one request.
#[derive(Debug)]
pub struct Plan {
    pub(crate) route: Rc<Route>,
    started: Millis,
    pub(crate) opened: bool,
    /// When an answer leaves without its last parts.
    pub(crate) answer_by: Millis,
    pub(crate) deadline: Millis,
    pub(crate) spread: u32,
    pub(crate) parts: SmallVec<[Part; 1]>,
    pub(crate) print: Fingerprint,
    /// Upstreams that ended under it one after the other, as far as this attempt saw.
    pub(crate) rounds: u8,
    /// An upstream answered.
    pub(crate) answered: bool,
    /// It is held back, and tried again once.
    pub(crate) trial: bool,
    /// It is held back, for so long.
    pub(crate) held: Option<Millis>,
    /// It was held back, and an upstream answered it.
    pub(crate) released: bool,
    /// An upstream may have run it.
    pub(crate) ran: bool,
    pub(crate) failure: Option<Box<Response>>,
    pub(crate) withheld: SmallVec<[Withheld; 2]>,
    pub(crate) late: SmallVec<[Key; 2]>,
    pub(crate) finished: bool,
}

impl Plan {
    /// A plan for a request that arrived at `now`.
    pub fn new(now: Millis, options: &Options) -> Self {
        let route = options.route.clone();
        let patience = options.patience.unwrap_or(route.timeout).min(route.timeout);
        Self {
            started: now,
            opened: options.opened,
            answer_by: now + route.aim,
            deadline: now + (patience - LAST),
            spread: options.spread,
            route,
            parts: SmallVec::new(),
            print: options.print,
            rounds: 0,
            answered: false,
            trial: false,
            held: None,
            released: false,
            ran: false,
            failure: None,
            withheld: SmallVec::new(),
            late: SmallVec::new(),
            finished: false,
        }
    }

    /// When the request is answered at the latest.
    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    /// The service of a part.
    pub fn service(&self, part: usize) -> Option<&Rc<str>> {
        self.parts.get(part).map(|p| &p.service)
    }

    /// Whether it was held back and is not any more, as an upstream answered it.
    pub fn released(&self) -> bool {
        self.released
    }

    /// Takes the sends that were wanted and not made since the last call.
    pub fn take_withheld(&mut self) -> SmallVec<[Withheld; 2]> {
        std::mem::take(&mut self.withheld)
    }

    /// Takes the upstreams that were found late since the last call.
    pub fn take_late(&mut self) -> SmallVec<[Key; 2]> {
        std::mem::take(&mut self.late)
    }

    /// Sends so far, and how many parts are in, of how many.
    pub fn progress(&self) -> (u32, usize, usize) {
        let sends = self.parts.iter().map(|p| p.sends).sum();
        (sends, self.count(|p| matches!(p.state, State::Got { .. })), self.parts.len())
    }

    /// When [`Event::Tick`] is due.
    pub fn wake(&self, now: Millis) -> Millis {
        let waiting = || self.parts.iter().filter(|p| p.waiting());
        let parked = waiting().filter_map(|p| p.parked);
        let late = waiting().filter_map(|p| p.late_at);
        let hedges = waiting().filter_map(|p| p.hedge_at).chain(parked).chain(late);
        let answer = Some(self.answer_by).filter(|at| *at > now && self.parts.len() > 1);
        hedges.chain(answer).min().unwrap_or(Millis::MAX).min(self.deadline)
    }

    /// Handles one event: appends the sends to be made, and returns the answer once there is one.
    pub fn on(
        &mut self,
        now: Millis,
        event: Event,
        core: &mut Core,
        out: &mut Vec<Order>,
    ) -> Option<Answer> {
        if self.finished {
            return None;
        }
        match event {
            Event::Start => self.start(now, core, out),
            Event::Ended { part, upstream, ended } => {
                self.ended(now, part, upstream, ended, core, out);
                self.resume(now, core, out);
            }
            Event::Tick => {
                self.unpark(now, core, out);
                self.hedge(now, core, out);
                self.resume(now, core, out);
            }
        }
        let answer = self.conclude(now, core);
        self.finished = answer.is_some();
        answer
    }

    fn start(&mut self, now: Millis, core: &mut Core, out: &mut Vec<Order>) {
        let route = self.route.clone();
        let margin = core.margin.before_aim(self.opened).min(route.aim.scale(MARGIN_MOST));
        self.answer_by = now + (route.aim - margin);
        match &route.target {
            Target::One(service) => self.parts.push(Part::new(service.clone())),
            Target::Weighted(targets) => {
                self.parts.extend(core.deal(&route.name, targets).map(Part::new));
            }
            Target::Shards(shards) => {
                self.parts.extend(shards.services.iter().cloned().map(Part::new));
            }
        }
        for part in &self.parts {
            core.request(now, &part.service);
        }
        if !self.judge(now, core) {
            return;
        }
        if !self.feasible(now, core) {
            // Refused before anything is sent, the caller may come back and nothing was wasted.
            self.parts.iter_mut().for_each(|p| p.state = State::GivenUp);
            return;
        }
        for index in 0..self.parts.len() {
            self.place(now, index, Why::First, core, out);
            self.give_up(now, index, core);
        }
    }

    /// Whether enough parts find an upstream for an answer to be a success.
    fn feasible(&self, now: Millis, core: &Core) -> bool {
        let Target::Shards(shards) = &self.route.target else { return true };
        let most = |part: &Part| part::most(core, &self.route, &part.service);
        let scope = core.scope(&self.route);
        let pick = |part: &Part| core.fleet.pick(now, &part.service, most(part), &[], scope);
        let found = self.count(|part| pick(part).is_some());
        enough(shards, found, self.parts.len())
    }

    fn ended(
        &mut self,
        now: Millis,
        index: usize,
        upstream: Key,
        ended: Ended,
        core: &mut Core,
        out: &mut Vec<Order>,
    ) {
        let idempotent = self.route.safety == Safety::Idempotent;
        let Some(part) = self.parts.get_mut(index) else { return };
        part.open = part.open.saturating_sub(1);
        let mut again = idempotent;
        let seen = part.seen(upstream);
        match ended {
            Ended::Answered(response) => {
                self.ran = true;
                self.note_answer(now, index, &response, core);
                let Some(part) = self.parts.get_mut(index) else { return };
                if !part.waiting() || self.take(index, response) {
                    return;
                }
            }
            Ended::Declined => {
                if core.policy().declined_free {
                    part.declined(upstream);
                }
                again = true;
            }
            Ended::Unsent => {
                part.unsend(upstream, core);
                again = true;
            }
            Ended::Busy => {
                part.unsend(upstream, core);
                part.passed_over(upstream);
                again = true;
            }
            Ended::Gone => {
                self.ran = true;
                self.note_end(seen);
            }
            Ended::Broken | Ended::Silent => self.ran = true,
        }
        if self.parts[index].waiting() && again && core.policy().retries {
            if self.careful(core) {
                self.parts[index].delayed = Some(Why::Retry);
            } else {
                self.place(now, index, Why::Retry, core, out);
            }
        }
        self.give_up(now, index, core);
    }

    /// Takes a reply in; false if it serves the caller only if nothing better comes.
    fn take(&mut self, index: usize, response: Box<Response>) -> bool {
        let sharded = matches!(self.route.target, Target::Shards(_));
        if !sharded {
            // A failure of the upstream may be another's success; what it says of the request
            // itself (4xx) would be the same elsewhere.
            let done = response.good() || response.status.is_client_error();
            self.failure = Some(response);
            if done {
                self.parts[index].state = State::GivenUp;
            }
            return done;
        }
        let Some(seal) = response.seal.filter(|_| response.status.is_success()) else {
            return false;
        };
        let doubled =
            self.parts.iter().any(|p| matches!(&p.state, State::Got { seal: s, .. } if *s == seal));
        if !doubled {
            self.parts[index].state = State::Got { seal, body: response.body };
        }
        !doubled
    }

    /// Gives a part up for which nothing is under way, or parks it while it may still come in time.
    pub(crate) fn give_up(&mut self, now: Millis, index: usize, core: &Core) {
        let parks = core.policy().parks && self.parks(now, core);
        let scope = core.scope(&self.route);
        if let Some(part) = self.parts.get_mut(index)
            && part.waiting()
            && part.open == 0
            && part.delayed.is_none()
        {
            let park = parks && core.fleet.serves(&part.service, scope);
            let again = park && part.sendable(&self.route);
            part.parked = again.then_some(now + PARK);
            if !again {
                part.state = State::GivenUp;
            }
        }
    }

    /// Whether a part that finds no upstream with room is tried again later. An answer waits for late
    /// parts up to the aim in any case; a part that was given up at once for want of a free connection
    /// was missing from answers that left 50 ms later, and failed queries that lacked one part.
    fn parks(&self, now: Millis, core: &Core) -> bool {
        let Target::Shards(shards) = &self.route.target else { return false };
        let got = self.count(|p| matches!(p.state, State::Got { .. }));
        let late = core.policy().late && !enough(shards, got, self.parts.len());
        now + PARK < if late { self.deadline } else { self.answer_by }
    }

    /// What a part is to the answer, as its other parts stand now.
    pub(crate) fn need(&self, index: usize) -> Need {
        let Target::Shards(shards) = &self.route.target else { return Need::Least };
        let likely = |(i, p): &(usize, &Part)| {
            *i != index && (matches!(p.state, State::Got { .. }) || (p.waiting() && p.open > 0))
        };
        let others = self.parts.iter().enumerate().filter(likely).count();
        if enough(shards, others, self.parts.len()) { Need::Raise } else { Need::Least }
    }

    pub(crate) fn count(&self, what: impl Fn(&Part) -> bool) -> usize {
        self.parts.iter().filter(|p| what(p)).count()
    }

    /// How long the request has been here.
    pub fn age(&self, now: Millis) -> Millis {
        now - self.started
    }
}
