use crate::{
    admission::{Controller, Verdict},
    answer::{Answer, MissingReason, Refusal, RefusalReason},
    context::Context,
    event::{Action, AttemptReason, DecisionKind, Event, Token, View},
    outcome::OwnerReport,
    running::RunningQuery,
    snapshot::{self, Candidate},
    tracker::Tracker,
};
use bytes::Bytes;
use rand::{SeedableRng, rngs::SmallRng};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use tgw_clock::Millis;
use tgw_table::Row;
use tgw_tail::{Average, Budget, Hedge};
use tgw_topology::{Query, Service, Vm};

/// Time reserved for merging and for the reply to the caller.
const RESPONSE_MARGIN_MS: Millis = Millis::new(1);
pub(crate) const RETRY_AFTER_MS: Millis = Millis::new(500);

/// Options of the entry.
#[derive(Clone, Debug)]
pub struct Options {
    /// This VM.
    pub vm: Vm,
    /// The incarnation of the VM, new with each start of its process.
    pub incarnation: u64,
    /// Most queries that run at once over all services.
    pub max_running: u32,
    /// Adapt the limits of services to the waits in the owners' queues.
    pub adaptive_limits: bool,
    /// One in this many queries has its decisions logged; zero logs none.
    pub log_sample_interval: u64,
    /// Hedge late attempts to other groups.
    pub hedge_across_groups: bool,
}

/// Counters since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// First leaf requests of shards.
    pub first_requests: u64,
    /// Leaf requests beyond the first of each shard.
    pub extra_requests: u64,
    /// Sends beyond the first of each leaf request, as reported by owners.
    pub extra_sends: u64,
    /// Outcomes that arrived after their query or attempt had ended.
    pub late_outcomes: u64,
    /// Outcomes from a VM that was not sent the attempt, or for an attempt that was never made.
    pub unmatched_outcomes: u64,
    /// Restarts of queries on another snapshot.
    pub restarts: u64,
    /// Answers with all shards.
    pub complete: u64,
    /// Answers that miss shards but meet the row's least coverage.
    pub partial: u64,
    /// Answers below the row's least coverage.
    pub below_least_coverage: u64,
    /// Refused queries.
    pub refused: u64,
}

/// Hedge and retry budgets of a service.
pub(crate) struct Budgets {
    pub(crate) hedge: Hedge,
    pub(crate) retry: Budget,
    /// Mean number of sends beyond the first that owners make per leaf request.
    pub(crate) owner_extra_sends: Average,
}

pub(crate) struct QueuedQuery {
    pub(crate) service: Service,
    pub(crate) body: Bytes,
    pub(crate) submitted_at: Millis,
    pub(crate) deadline: Millis,
}

/// The state machine of all queries of one VM.
pub struct Entry {
    pub(crate) options: Options,
    pub(crate) admission: Controller,
    pub(crate) tracker: Tracker,
    pub(crate) queued: BTreeMap<Token, QueuedQuery>,
    pub(crate) running: BTreeMap<Query, RunningQuery>,
    pub(crate) tokens: BTreeMap<Token, Query>,
    pub(crate) budgets: BTreeMap<Service, Budgets>,
    /// Adds jitter to the estimates of groups.
    pub(crate) rng: SmallRng,
    pub(crate) next_query: u64,
    pub(crate) draining: bool,
    pub(crate) stats: Stats,
}

impl Entry {
    /// An entry without queries.
    pub fn new(options: Options) -> Self {
        Self {
            admission: Controller::new(options.max_running, options.adaptive_limits),
            tracker: Tracker::default(),
            queued: BTreeMap::new(),
            running: BTreeMap::new(),
            tokens: BTreeMap::new(),
            budgets: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(options.incarnation),
            options,
            next_query: 1,
            draining: false,
            stats: Stats::default(),
        }
    }

    /// Counters since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// The admission controller, for metrics.
    pub fn admission(&self) -> &Controller {
        &self.admission
    }

    /// Queued and running queries.
    pub fn pending(&self) -> usize {
        self.queued.len() + self.running.len()
    }

    /// Refuses new queries from now on; queued and running ones are finished.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// The VMs that owe outcomes and are unresponsive.
    pub fn unresponsive_vms(&self) -> Vec<Vm> {
        self.tracker.unresponsive_vms()
    }

    /// Handles one event at `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, view: &View<'_>, out: &mut Vec<Action>) {
        let cx = &mut Context { now, view, out };
        match event {
            Event::Submit { token, service, timeout, body } => {
                self.submit(cx, token, service, timeout, body);
            }
            Event::Abandon(token) => self.abandon(cx, token),
            Event::Outcome {
                from,
                key,
                outcome,
                snapshot_counts,
                extra_sends,
                queue_wait,
                load_ratio,
            } => {
                self.tracker.record_message(now, from);
                let report = OwnerReport { extra_sends, queue_wait, load_ratio };
                self.handle_outcome(cx, from, key, outcome, snapshot_counts, report);
            }
            Event::MessageReceived(vm) => self.tracker.record_message(now, vm),
            Event::Disconnected(vm) => {
                self.tracker.record_disconnect(vm);
                self.reassign_attempts(cx, vm);
            }
            Event::Tick => self.tick(cx),
        }
        self.start_queued(cx);
    }

    pub(crate) fn submit(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        service: Service,
        timeout: Option<Millis>,
        body: Bytes,
    ) {
        let row = match self.admissible_row(cx, service) {
            Ok(row) => row,
            Err(reason) => return self.refuse(cx, token, reason, RETRY_AFTER_MS),
        };
        let timeout = timeout.map_or(row.deadline(), |t| t.min(row.deadline()));
        let queued = QueuedQuery {
            service,
            body,
            submitted_at: cx.now,
            deadline: cx.now + (timeout - RESPONSE_MARGIN_MS),
        };
        match self.admission.admit(cx.now, service, row, token, queued.deadline) {
            Verdict::Admitted => self.start(cx, token, queued),
            Verdict::Queued => {
                self.queued.insert(token, queued);
            }
            Verdict::Refused { cause, retry_after } => self.refuse(cx, token, cause, retry_after),
        }
    }

    pub(crate) fn admissible_row<'a>(
        &self,
        cx: &Context<'a>,
        service: Service,
    ) -> Result<&'a Row, RefusalReason> {
        if self.draining {
            return Err(RefusalReason::Draining);
        }
        if cx.view.table.is_none() {
            return Err(RefusalReason::NotReady);
        }
        cx.row(service).ok_or(RefusalReason::UnknownService)
    }

    pub(crate) fn refuse(
        &mut self,
        cx: &mut Context<'_>,
        token: Token,
        reason: RefusalReason,
        retry_after: Millis,
    ) {
        self.stats.refused += 1;
        cx.out.push(Action::Refuse { token, refusal: Refusal { reason, retry_after } });
    }

    pub(crate) fn start_queued(&mut self, cx: &mut Context<'_>) {
        while let Some(token) = self.admission.admit_next(|service| cx.row(service)) {
            if let Some(queued) = self.queued.remove(&token) {
                self.start(cx, token, queued);
            }
        }
    }

    pub(crate) fn start(&mut self, cx: &mut Context<'_>, token: Token, queued: QueuedQuery) {
        let QueuedQuery { service, body, submitted_at, deadline } = queued;
        let candidate = cx.row(service).and_then(|row| {
            snapshot::choose(
                (cx.view.catalog, cx.view.index),
                &mut self.tracker,
                service,
                row.snapshot,
                &[],
            )
        });
        let Some(candidate) = candidate else {
            self.admission.record_finished(
                cx.now,
                service,
                None,
                cx.now - submitted_at,
                Millis::ZERO,
            );
            return self.refuse(cx, token, RefusalReason::NoSnapshot, RETRY_AFTER_MS);
        };
        let query = Query { incarnation: self.options.incarnation, number: self.next_query };
        self.next_query += 1;
        let sample_interval = self.options.log_sample_interval;
        let mut running = RunningQuery {
            query,
            token,
            service,
            body,
            submitted_at,
            deadline,
            snapshot: candidate.snapshot,
            abandoned_snapshots: SmallVec::new(),
            shards: Vec::new(),
            open_shards: 0,
            max_queue_wait: Millis::ZERO,
            traced: sample_interval > 0 && (query.number - 1).is_multiple_of(sample_interval),
        };
        running.reset_shards(candidate.snapshot, candidate.shards);
        let Candidate { snapshot, shards, servable, .. } = candidate;
        cx.log_decision(&running, DecisionKind::Start { snapshot, shards, servable });
        self.tokens.insert(token, query);
        self.request_all_shards(cx, &mut running);
        self.store_or_finish(cx, running);
    }

    pub(crate) fn request_all_shards(&mut self, cx: &mut Context<'_>, running: &mut RunningQuery) {
        for index in 0..running.shards.len() {
            self.stats.first_requests += 1;
            let budgets = self.budgets(cx, running.service);
            budgets.hedge.record_request();
            budgets.retry.earn();
            if !self.request_shard(cx, running, index, AttemptReason::First) {
                self.mark_missing(cx, running, index, MissingReason::Unreachable);
            }
        }
    }

    /// Stores a query that has open shards, or answers it.
    pub(crate) fn store_or_finish(&mut self, cx: &mut Context<'_>, running: RunningQuery) {
        if running.open_shards == 0 {
            self.finish(cx, running);
        } else {
            self.running.insert(running.query, running);
        }
    }

    pub(crate) fn finish(&mut self, cx: &mut Context<'_>, mut running: RunningQuery) {
        for index in 0..running.shards.len() {
            self.cancel_attempts(cx, &mut running, index);
        }
        let row = cx.row(running.service);
        let elapsed = cx.now - running.submitted_at;
        self.admission.record_finished(
            cx.now,
            running.service,
            row,
            elapsed,
            running.max_queue_wait,
        );
        self.tokens.remove(&running.token);
        let coverage = running.coverage();
        let min_coverage = row.map_or(0.0, |r| r.least_coverage_pct / 100.0);
        let meets_least_coverage = coverage.answered > 0 && coverage.ratio() >= min_coverage;
        match (meets_least_coverage, coverage.missing.is_empty()) {
            (false, _) => self.stats.below_least_coverage += 1,
            (true, true) => self.stats.complete += 1,
            (true, false) => self.stats.partial += 1,
        }
        let (answered, shards) = (coverage.answered, coverage.shards);
        cx.log_decision(&running, DecisionKind::Finish { answered, shards, took: elapsed });
        let answer = Answer {
            query: running.query,
            snapshot: running.snapshot,
            items: running.items(),
            coverage,
            meets_least_coverage,
            elapsed,
        };
        cx.out.push(Action::Answer { token: running.token, answer });
    }

    pub(crate) fn abandon(&mut self, cx: &mut Context<'_>, token: Token) {
        if let Some(queued) = self.queued.remove(&token) {
            self.admission.remove_queued(queued.service, token);
        }
        let query = self.tokens.remove(&token);
        if let Some(mut running) = query.and_then(|q| self.running.remove(&q)) {
            for index in 0..running.shards.len() {
                self.cancel_attempts(cx, &mut running, index);
            }
            let row = cx.row(running.service);
            self.admission.record_finished(
                cx.now,
                running.service,
                row,
                cx.now - running.submitted_at,
                running.max_queue_wait,
            );
        }
    }
}
