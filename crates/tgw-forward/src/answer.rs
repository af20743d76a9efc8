use crate::{
    Core, Plan, Scope,
    merge::{self, PartLimits},
    message::{Answer, Cause},
    part::{Part, State},
};
use http::HeaderValue;
use tgw_clock::Millis;
use tgw_route::{Target, config::Shards};

/// Retry-after in ms for refused callers; spread over one to three times this value so that callers
/// refused together do not return together.
const RETRY_AFTER_MS: Millis = Millis::new(60);
/// Retry-after in ms where all upstreams are cold: these accept a few requests a second.
const RETRY_AFTER_COLD_MS: Millis = Millis::new(250);
/// Retry-after in ms where no upstream in the request's home regions serves it: a region that is
/// partitioned or evacuated is back after seconds.
const RETRY_AFTER_RESIDENCY_MS: Millis = Millis::new(500);

/// Whether `count` of `all` parts are sufficient for a success.
pub(crate) fn is_sufficient(shards: &Shards, count: usize, all: usize) -> bool {
    // The share may be a rounded decimal, as 0.89 for eight of nine.
    const ROUNDING: f64 = 1e-9;
    count > 0 && count as f64 >= shards.min_shard_share * all as f64 - ROUNDING
}

/// Decides when a request is answered, and with what.
impl Plan {
    pub(crate) fn answer_if_due(&mut self, now: Millis, core: &Core) -> Option<Answer> {
        let route = self.route.clone();
        let answer = match &route.target {
            Target::Shards(shards) => self.merged_answer(now, shards),
            Target::Single(_) | Target::Weighted(_) => self.single_answer(),
        };
        answer.map_or_else(
            || (now >= self.deadline).then_some(Answer::TimedOut),
            |end| Some(end.unwrap_or_else(|| self.failure_answer(now, core))),
        )
    }

    /// `None` while the request runs; `Some(None)` once it has failed.
    fn single_answer(&mut self) -> Option<Option<Answer>> {
        match self.parts.first() {
            Some(part) if part.waiting() => None,
            _ => Some(self.failure.take().map(Answer::Forward)),
        }
    }

    fn merged_answer(&mut self, now: Millis, shards: &Shards) -> Option<Option<Answer>> {
        let all = self.parts.len();
        let got = self.count(|p| matches!(p.state, State::Received { .. }));
        let waiting = self.count(Part::waiting);
        if !is_sufficient(shards, got + waiting, all) {
            return Some(None);
        }
        let due = waiting == 0 || now >= self.answer_by || now >= self.deadline;
        (due && is_sufficient(shards, got, all))
            .then(|| Some(self.merge_parts(shards.result_limit, all - got)))
    }

    /// Signature and records of the parts received.
    fn received_parts(&self) -> impl Iterator<Item = (&HeaderValue, &[u8])> {
        self.parts.iter().filter_map(|p| match &p.state {
            State::Received { signature, body } => Some((signature, &body[..])),
            State::Waiting | State::GivenUp => None,
        })
    }

    fn merge_parts(&self, limit: usize, missing: usize) -> Answer {
        let body = merge::greatest(self.received_parts().map(|(_, body)| body), limit).into();
        let signatures = self.received_parts().map(|(signature, _)| signature.clone()).collect();
        Answer::Merged { signatures, missing, body }
    }

    /// Limits on what the answer can use of a part requested through another VM. Traffic between
    /// regions is the most expensive, and most of these parts are requested late, when few of their
    /// records can still enter the answer.
    pub(crate) fn part_limits(&self) -> Option<PartLimits> {
        let Target::Shards(shards) = &self.route.target else { return None };
        Some(PartLimits::for_answer(
            self.received_parts().map(|(_, body)| body),
            shards.result_limit,
        ))
    }

    fn failure_answer(&self, now: Millis, core: &Core) -> Answer {
        if self.may_have_run
            && (self.quarantined_for.is_some() || core.quarantine.is_quarantined(self.fingerprint))
        {
            return Answer::Failed(Cause::Quarantined);
        }
        let sharded = self.parts.len() > 1;
        if self.may_have_run {
            return Answer::Failed(if sharded {
                Cause::TooFewParts
            } else {
                Cause::UpstreamsFailed
            });
        }
        if self.parts.iter().any(|p| p.in_flight > 0) {
            // A send still in flight could execute the request after a refusal that says it was not
            // executed.
            return Answer::Failed(Cause::TooFewParts);
        }
        if let Some(retry_after) = self.rejected_for() {
            return Answer::Refused { retry_after, cause: Cause::Overload };
        }
        if let Some(retry_after) = self.quarantined_for {
            return Answer::Refused { retry_after, cause: Cause::Quarantined };
        }
        let (cause, retry_after) = self.refusal_cause(now, core);
        let spread = 1.0 + 2.0 * f64::from(self.retry_spread % 64) / 64.0;
        Answer::Refused { retry_after: retry_after.mul_f64(spread), cause }
    }

    /// Why a request was not sent to any upstream, and when to retry at the earliest.
    fn refusal_cause(&self, now: Millis, core: &Core) -> (Cause, Millis) {
        let served = |scope| self.parts.iter().all(|p| core.fleet.has_eligible(&p.service, scope));
        let scope = core.scope(&self.route);
        let cold = |part: &Part| core.fleet.only_rate_limited(now, &part.service, scope);
        if served(scope) && self.parts.iter().any(cold) {
            (Cause::Cold, RETRY_AFTER_COLD_MS)
        } else if served(scope) {
            (Cause::Full, RETRY_AFTER_MS)
        } else if served(Scope::default()) {
            (Cause::Residency, RETRY_AFTER_RESIDENCY_MS)
        } else {
            (Cause::NoUpstream, RETRY_AFTER_MS)
        }
    }
}
