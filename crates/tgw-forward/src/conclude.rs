use crate::{
    Core, Plan, Scope,
    merge::{self, Cut},
    message::{Answer, Cause},
    part::{Part, State},
};
use http::HeaderValue;
use tgw_clock::Millis;
use tgw_route::{Target, config::Shards};

/// What a refused caller is told to wait, in ms; spread over one to three times this, so that those
/// refused together do not return together.
const RETRY_AFTER: Millis = Millis::new(60);
/// The same where all upstreams are cold: they bear a few requests a second.
const RETRY_COLD: Millis = Millis::new(250);
/// The same where nothing in the request's home regions serves it: a region that is cut off or evacuated is back after
/// seconds.
const RETRY_HOME: Millis = Millis::new(500);

/// Whether `count` of `all` parts make a success.
pub(crate) fn enough(shards: &Shards, count: usize, all: usize) -> bool {
    // The share may be a rounded decimal, as 0.89 for eight of nine.
    const ROUNDING: f64 = 1e-9;
    count > 0 && count as f64 >= shards.least * all as f64 - ROUNDING
}

/// When a request is answered, and by what.
impl Plan {
    pub(crate) fn conclude(&mut self, now: Millis, core: &Core) -> Option<Answer> {
        let route = self.route.clone();
        let answer = match &route.target {
            Target::Shards(shards) => self.merged(now, shards),
            Target::One(_) | Target::Weighted(_) => self.single(),
        };
        answer.map_or_else(
            || (now >= self.deadline).then_some(Answer::TimedOut),
            |end| Some(end.unwrap_or_else(|| self.lost(now, core))),
        )
    }

    /// `None` while it runs; `Some(None)` once it has failed.
    fn single(&mut self) -> Option<Option<Answer>> {
        match self.parts.first() {
            Some(part) if part.waiting() => None,
            _ => Some(self.failure.take().map(Answer::Forward)),
        }
    }

    fn merged(&mut self, now: Millis, shards: &Shards) -> Option<Option<Answer>> {
        let all = self.parts.len();
        let got = self.count(|p| matches!(p.state, State::Got { .. }));
        let waiting = self.count(Part::waiting);
        if !enough(shards, got + waiting, all) {
            return Some(None);
        }
        let due = waiting == 0 || now >= self.answer_by || now >= self.deadline;
        (due && enough(shards, got, all)).then(|| Some(self.merge(shards.limit, all - got)))
    }

    /// The parts that are in: signature and records.
    fn in_parts(&self) -> impl Iterator<Item = (&HeaderValue, &[u8])> {
        self.parts.iter().filter_map(|p| match &p.state {
            State::Got { seal, body } => Some((seal, &body[..])),
            State::Waiting | State::GivenUp => None,
        })
    }

    fn merge(&self, limit: usize, missing: usize) -> Answer {
        let body = merge::greatest(self.in_parts().map(|(_, body)| body), limit).into();
        let seals = self.in_parts().map(|(seal, _)| seal.clone()).collect();
        Answer::Merged { seals, missing, body }
    }

    /// What the answer takes of a part that another VM asks for. Parts of other regions are a VM's dearest
    /// bytes, and most are asked for late, when the parts that are in leave room for few of their records.
    pub(crate) fn cut(&self) -> Option<Cut> {
        let Target::Shards(shards) = &self.route.target else { return None };
        Some(Cut::of(self.in_parts().map(|(_, body)| body), shards.limit))
    }

    fn lost(&self, now: Millis, core: &Core) -> Answer {
        if self.ran && (self.held.is_some() || core.quarantine.holds(self.print)) {
            return Answer::Failed(Cause::Quarantined);
        }
        let sharded = self.parts.len() > 1;
        if self.ran {
            return Answer::Failed(if sharded { Cause::TooFew } else { Cause::Upstreams });
        }
        if self.parts.iter().any(|p| p.open > 0) {
            // A send that still runs could run the request after a refusal that denies it.
            return Answer::Failed(Cause::TooFew);
        }
        if let Some(retry_after) = self.held {
            return Answer::Refused { retry_after, cause: Cause::Quarantined };
        }
        let (cause, retry_after) = self.unserved(now, core);
        let spread = 1.0 + 2.0 * f64::from(self.spread % 64) / 64.0;
        Answer::Refused { retry_after: retry_after.scale(spread), cause }
    }

    /// Why a request that reached no upstream did not, and when to come back at the earliest.
    fn unserved(&self, now: Millis, core: &Core) -> (Cause, Millis) {
        let served = |scope| self.parts.iter().all(|p| core.fleet.serves(&p.service, scope));
        let scope = core.scope(&self.route);
        let cold = |part: &Part| core.fleet.bears_no_more(now, &part.service, scope);
        if served(scope) && self.parts.iter().any(cold) {
            (Cause::Cold, RETRY_COLD)
        } else if served(scope) {
            (Cause::Full, RETRY_AFTER)
        } else if served(Scope::default()) {
            (Cause::Residency, RETRY_HOME)
        } else {
            (Cause::NoUpstream, RETRY_AFTER)
        }
    }
}
