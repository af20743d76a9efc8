use crate::{
    Core, Plan,
    answer::is_sufficient,
    fleet::Key,
    message::{Answer, SendOrder, SendResult},
    part::{Part, State},
    upstream::Distance,
};
use tgw_admission::{Decision, Outcome, Permit, Query, Rejection, Reply, Ticket};
use tgw_clock::Millis;
use tgw_route::{Target, config::Shards};
use xxhash_rust::xxh3::Xxh3;

/// How far the admission of a request has come.
#[derive(Debug, Default)]
pub(crate) enum Stage {
    /// It was not asked for, as for requests to a single service.
    #[default]
    Exempt,
    /// The query waits.
    Queued(Ticket),
    /// The query runs.
    Admitted(Permit),
    /// The query was rejected.
    Rejected(Rejection),
}

/// Admission of a query as a whole, before anything is sent.
impl Plan {
    /// The place of a query that waits for admission.
    pub fn ticket(&self) -> Option<&Ticket> {
        match &self.stage {
            Stage::Queued(ticket) => Some(ticket),
            Stage::Exempt | Stage::Admitted(_) | Stage::Rejected(_) => None,
        }
    }

    /// Whether the query was admitted and runs.
    pub fn is_admitted(&self) -> bool {
        matches!(self.stage, Stage::Admitted(_))
    }

    /// Why the query was rejected; `None` if it was not.
    pub fn rejection(&self) -> Option<Rejection> {
        match &self.stage {
            Stage::Rejected(rejection) => Some(*rejection),
            Stage::Exempt | Stage::Admitted(_) | Stage::Queued(_) => None,
        }
    }

    /// When the caller of a rejected query may retry.
    pub(crate) fn rejected_for(&self) -> Option<Millis> {
        self.rejection().map(|rejection| rejection.retry_after)
    }

    /// Requests admission, and makes the first sends if it is granted.
    pub(crate) fn request_admission(
        &mut self,
        now: Millis,
        core: &mut Core,
        out: &mut Vec<SendOrder>,
    ) {
        let route = self.route.clone();
        let Target::Shards(shards) = &route.target else {
            return self.send_first(now, core, out);
        };
        let query = Query {
            group: group(shards),
            route: route.name.clone(),
            priority: self.priority,
            tenant: self.tenant.clone(),
            arrived: self.started,
            answer_by: self.answer_by,
            deadline: self.deadline,
            max_missing: max_missing(shards),
            retry_spread: self.retry_spread,
        };
        let decision = core.admission.request(now, query, &shards.services);
        self.apply_decision(now, decision, core, out);
    }

    /// Asks again for a query that waits.
    pub(crate) fn poll_admission(
        &mut self,
        now: Millis,
        core: &mut Core,
        out: &mut Vec<SendOrder>,
    ) {
        if let Stage::Queued(ticket) = std::mem::take(&mut self.stage) {
            let decision = core.admission.poll(now, ticket);
            self.apply_decision(now, decision, core, out);
        }
    }

    fn apply_decision(
        &mut self,
        now: Millis,
        decision: Decision,
        core: &mut Core,
        out: &mut Vec<SendOrder>,
    ) {
        match decision {
            Decision::Admitted(permit) => {
                self.stage = Stage::Admitted(permit);
                self.send_first(now, core, out);
            }
            Decision::Queued(ticket) => self.stage = Stage::Queued(ticket),
            Decision::Rejected(rejection) => {
                self.stage = Stage::Rejected(rejection);
                self.parts.iter_mut().for_each(|part| part.state = State::GivenUp);
            }
        }
    }

    /// Tells the admission control what the end of a send shows about the load of its service.
    pub(crate) fn record_load_evidence(
        &self,
        now: Millis,
        index: usize,
        upstream: Key,
        result: &SendResult,
        core: &mut Core,
    ) {
        let Some(part) = self.parts.get(index) else { return };
        match result {
            SendResult::Answered(_) => {
                let Some(sent_at) = part.sent_at(upstream) else { return };
                let reply = self.reply(part, (upstream, sent_at), core);
                core.admission.record_reply(now, &reply);
            }
            SendResult::Declined => core.admission.record_shed(now, &part.service),
            SendResult::NotConnected
            | SendResult::PeerRefused
            | SendResult::Broken
            | SendResult::Terminated
            | SendResult::TimedOut => {}
        }
    }

    fn reply<'a>(
        &'a self,
        part: &'a Part,
        (upstream, sent_at): (Key, Millis),
        core: &Core,
    ) -> Reply<'a> {
        let distance = core.fleet.get(upstream).map_or(Distance::OtherRegion, |u| u.distance);
        Reply {
            service: &part.service,
            upstream: upstream.number(),
            route: &self.route.name,
            sent_at,
            round_trip_ms: distance.assumed_round_trip_ms(),
        }
    }

    /// Tells the admission control which parts of a failed query are still in flight: on a VM with
    /// few queries, these are most of its evidence.
    fn record_pending(&self, now: Millis, core: &mut Core) {
        for part in self.parts.iter().filter(|part| part.waiting() && part.in_flight > 0) {
            let Some(sent) = part.sent_at.last().copied() else { continue };
            let pending = self.reply(part, sent, core);
            core.admission.record_pending(now, &pending);
        }
    }

    /// Ends the admission of a request that has its answer.
    pub(crate) fn release_admission(&mut self, now: Millis, answer: &Answer, core: &mut Core) {
        if self.rejection().is_some() {
            return;
        }
        let outcome = match answer {
            Answer::Forward(_) | Answer::Merged { .. }
                if now <= self.started + self.route.target_latency =>
            {
                Outcome::InTime
            }
            Answer::Forward(_) | Answer::Merged { .. } => Outcome::Late,
            Answer::Refused { .. } | Answer::Failed(_) | Answer::TimedOut => Outcome::Failed,
        };
        if outcome == Outcome::Failed {
            self.record_pending(now, core);
        }
        match std::mem::take(&mut self.stage) {
            Stage::Admitted(permit) => core.admission.finish(now, permit, outcome),
            Stage::Exempt | Stage::Queued(_) | Stage::Rejected(_) => {}
        }
    }
}

/// Identifies a set of shards.
fn group(shards: &Shards) -> u64 {
    let mut hasher = Xxh3::new();
    for service in &shards.services {
        hasher.update(service.as_bytes());
        hasher.update(&[0]);
    }
    hasher.digest()
}

/// The number of parts that an answer may miss.
fn max_missing(shards: &Shards) -> usize {
    let all = shards.services.len();
    (0..all).rev().find(|missing| is_sufficient(shards, all - missing, all)).unwrap_or_default()
}
