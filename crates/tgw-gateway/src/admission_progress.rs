use crate::{exchange::OutgoingRequest, shared::Shared, telemetry};
use derive_more::Display;
use std::rc::Rc;
use tgw_clock::Millis;
use tgw_forward::{
    Plan,
    plan::{self, Answer, Cause},
};
use tgw_route::Target;

/// Why a query was rejected.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum Reason {
    /// By the decision of this VM.
    #[display("{_0}")]
    Decided(tgw_admission::Reason),
    /// It waited until its deadline.
    #[display("deadline")]
    Deadline,
    /// The gatherers that were asked hold as many queries as they may.
    #[display("gatherer full")]
    GathererFull,
}

/// A rejected query.
#[derive(Copy, Clone, Debug)]
pub(crate) struct Rejected {
    pub(crate) reason: Reason,
    /// When its caller may retry; `None` if it is not told.
    pub(crate) retry_after: Option<Millis>,
    /// How long it waited for admission.
    pub(crate) waited: Option<Millis>,
}

/// How far the admission of a query has come.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing was decided.
    Undecided,
    /// It has waited since then.
    Waiting(Millis),
    /// It was admitted or rejected, after a wait if it had to.
    Decided(Option<Millis>),
}

/// Follows the admission of one request for metrics and log lines. Dropping it ends the wait, as when the caller
/// disconnects.
pub(crate) struct Progress<'a> {
    shared: &'a Shared,
    request: Rc<OutgoingRequest>,
    options: &'a plan::Options,
    stage: Stage,
}

impl<'a> Progress<'a> {
    /// Follows a request that has not asked for admission.
    pub(crate) fn new(
        shared: &'a Shared,
        request: Rc<OutgoingRequest>,
        options: &'a plan::Options,
    ) -> Self {
        Self { shared, request, options, stage: Stage::Undecided }
    }

    /// Takes the state of the plan, and its answer if it has one, after each event.
    pub(crate) fn follow(&mut self, now: Millis, plan: &Plan, answer: Option<&Answer>) {
        match self.stage {
            Stage::Undecided => self.on_first_decision(now, plan, answer),
            Stage::Waiting(since) if plan.ticket().is_none() => {
                self.on_wait_ended(now - since, plan, answer);
            }
            Stage::Waiting(_) | Stage::Decided(_) => {}
        }
    }

    /// How long the request waited; `None` if it did not.
    pub(crate) fn waited(&self) -> Option<Millis> {
        match self.stage {
            Stage::Decided(waited) => waited,
            Stage::Undecided | Stage::Waiting(_) => None,
        }
    }

    fn on_first_decision(&mut self, now: Millis, plan: &Plan, answer: Option<&Answer>) {
        let priority = self.options.priority;
        let metrics = &self.shared.metrics;
        if plan.ticket().is_some() {
            self.stage = Stage::Waiting(now);
            metrics.count_query_offered(priority);
            metrics.add_query_waiting(priority, 1);
        } else if let Some(rejection) = plan.rejection() {
            self.stage = Stage::Decided(None);
            metrics.count_query_offered(priority);
            let reason = Reason::Decided(rejection.reason);
            self.reject(reason, Some(rejection.retry_after), None);
        } else if plan.is_admitted() || answer.is_some_and(|answer| self.ran(answer)) {
            self.stage = Stage::Decided(None);
            metrics.count_query_offered(priority);
            metrics.count_query_admitted(priority, None);
        }
    }

    /// Whether a request that has its answer after its first event was admitted before: the quarantine refuses requests
    /// without asking for admission, and so it does a request that is no query.
    fn ran(&self, answer: &Answer) -> bool {
        let is_query = matches!(self.options.route.target, Target::Shards(_));
        is_query && !matches!(answer, Answer::Refused { cause: Cause::Quarantined, .. })
    }

    fn on_wait_ended(&mut self, waited: Millis, plan: &Plan, answer: Option<&Answer>) {
        let priority = self.options.priority;
        self.stage = Stage::Decided(Some(waited));
        self.shared.metrics.add_query_waiting(priority, -1);
        match (plan.rejection(), answer) {
            (Some(rejection), _) => {
                let reason = Reason::Decided(rejection.reason);
                self.reject(reason, Some(rejection.retry_after), Some(waited));
            }
            (None, Some(Answer::TimedOut)) => self.reject(Reason::Deadline, None, Some(waited)),
            (None, _) => self.shared.metrics.count_query_admitted(priority, Some(waited)),
        }
    }

    fn reject(&self, reason: Reason, retry_after: Option<Millis>, waited: Option<Millis>) {
        let rejected = Rejected { reason, retry_after, waited };
        telemetry::query_rejected(self.shared, &self.request, self.options, rejected);
    }
}

impl Drop for Progress<'_> {
    fn drop(&mut self) {
        if matches!(self.stage, Stage::Waiting(_)) {
            self.shared.metrics.add_query_waiting(self.options.priority, -1);
            telemetry::request_abandoned(self.shared, &self.request, 0);
        }
    }
}
