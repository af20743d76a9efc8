use crate::{
    admit::{Gate, Verdict},
    answer::{Answer, Cause, Reason, Refusal},
    context::Cx,
    outcome::Cost,
    path::Paths,
    running::Running,
    snapshot::{self, Offer},
    step::{Action, Event, Token, View, What, Why},
};
use bytes::Bytes;
use rand::{SeedableRng, rngs::SmallRng};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use tgw_clock::Millis;
use tgw_table::Row;
use tgw_tail::{Average, Budget, Hedge};
use tgw_topology::{Query, Service, Vm};

/// Time kept for merging and for the way back to the caller.
const MARGIN: Millis = Millis::new(1);
pub(crate) const RETRY_AFTER: Millis = Millis::new(500);

/// How the entry works.
#[derive(Clone, Debug)]
pub struct Options {
    /// This VM.
    pub vm: Vm,
    /// This life of the VM.
    pub incarnation: u64,
    /// Queries that run at once over all services.
    pub places: u32,
    /// Adapt services' limits to the owners' queues.
    pub adapt: bool,
    /// One in this many queries has its decisions logged; zero logs none.
    pub sample: u64,
    /// Hedge to other groups and ask stand-ins for silent owners.
    pub hedge: bool,
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Leaf requests asked for, the first of each shard.
    pub leafs: u64,
    /// Leaf requests asked for beyond the first of each shard.
    pub extra: u64,
    /// Sendings beyond the first that owners reported.
    pub extra_owner: u64,
    /// Outcomes for queries that had ended, or for attempts that were closed.
    pub late: u64,
    /// Outcomes from a VM that was not asked, or for no attempt ever made.
    pub crossed: u64,
    /// Queries begun again on another snapshot.
    pub restarts: u64,
    /// Answers by coverage: whole, partial and too small.
    pub whole: u64,
    /// Answers that miss shards but meet the row's least coverage.
    pub partial: u64,
    /// Answers below the row's least coverage.
    pub short: u64,
    /// Queries refused as not run.
    pub refused: u64,
}

/// What is kept for each service.
pub(crate) struct Tail {
    pub(crate) hedge: Hedge,
    pub(crate) retry: Budget,
    /// The part of leaf requests that owners hedge themselves.
    pub(crate) extra: Average,
}

pub(crate) struct Queued {
    pub(crate) service: Service,
    pub(crate) body: Bytes,
    pub(crate) began: Millis,
    pub(crate) deadline: Millis,
}

/// The state machine of all queries of one VM.
pub struct Entry {
    pub(crate) options: Options,
    pub(crate) gate: Gate,
    pub(crate) paths: Paths,
    pub(crate) queued: BTreeMap<Token, Queued>,
    pub(crate) running: BTreeMap<Query, Running>,
    pub(crate) tokens: BTreeMap<Token, Query>,
    pub(crate) tails: BTreeMap<Service, Tail>,
    /// Draws between groups that promise nearly the same.
    pub(crate) rng: SmallRng,
    pub(crate) next: u64,
    pub(crate) draining: bool,
    pub(crate) stats: Stats,
}

impl Entry {
    /// An entry without queries.
    pub fn new(options: Options) -> Self {
        Self {
            gate: Gate::new(options.places, options.adapt),
            paths: Paths::default(),
            queued: BTreeMap::new(),
            running: BTreeMap::new(),
            tokens: BTreeMap::new(),
            tails: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(options.incarnation),
            options,
            next: 1,
            draining: false,
            stats: Stats::default(),
        }
    }

    /// Counts since the start.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// The gate, for its figures.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Queries that wait or run.
    pub fn pending(&self) -> usize {
        self.queued.len() + self.running.len()
    }

    /// Refuses new queries from now on; those taken in are finished.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// The VMs that were asked and have been silent since.
    pub fn silent(&self) -> Vec<Vm> {
        self.paths.silent()
    }

    /// Handles one event at `now` and appends what must be done.
    pub fn on(&mut self, now: Millis, event: Event, view: &View<'_>, out: &mut Vec<Action>) {
        let cx = &mut Cx { now, view, out };
        match event {
            Event::Submit { token, service, within, body } => {
                self.submit(cx, token, service, within, body);
            }
            Event::Abandon(token) => self.abandon(cx, token),
            Event::Outcome { from, key, outcome, stock, extra, waited, pressure } => {
                self.paths.heard(now, from);
                let cost = Cost { extra, waited, pressure };
                self.outcome(cx, from, key, outcome, stock, cost);
            }
            Event::Heard(vm) => self.paths.heard(now, vm),
            Event::Lost(vm) => {
                self.paths.lost(vm);
                self.ask_elsewhere(cx, vm);
            }
            Event::Tick => self.tick(cx),
        }
        self.start_waiting(cx);
    }

    pub(crate) fn submit(
        &mut self,
        cx: &mut Cx<'_>,
        token: Token,
        service: Service,
        within: Option<Millis>,
        body: Bytes,
    ) {
        let row = match self.admissible(cx, service) {
            Ok(row) => row,
            Err(reason) => return self.refuse(cx, token, reason, RETRY_AFTER),
        };
        let span = within.map_or(row.deadline(), |w| w.min(row.deadline()));
        let queued = Queued { service, body, began: cx.now, deadline: cx.now + (span - MARGIN) };
        match self.gate.ask(cx.now, service, row, token, queued.deadline) {
            Verdict::Run => self.start(cx, token, queued),
            Verdict::Wait => {
                self.queued.insert(token, queued);
            }
            Verdict::Refuse { cause, retry_after } => self.refuse(cx, token, cause, retry_after),
        }
    }

    pub(crate) fn admissible<'a>(&self, cx: &Cx<'a>, service: Service) -> Result<&'a Row, Cause> {
        if self.draining {
            return Err(Cause::Draining);
        }
        if cx.view.table.is_none() {
            return Err(Cause::NotReady);
        }
        cx.row(service).ok_or(Cause::UnknownService)
    }

    pub(crate) fn refuse(&mut self, cx: &mut Cx<'_>, token: Token, reason: Cause, after: Millis) {
        self.stats.refused += 1;
        cx.out.push(Action::Refuse { token, refusal: Refusal { reason, retry_after: after } });
    }

    pub(crate) fn start_waiting(&mut self, cx: &mut Cx<'_>) {
        while let Some(token) = self.gate.next(|service| cx.row(service)) {
            if let Some(queued) = self.queued.remove(&token) {
                self.start(cx, token, queued);
            }
        }
    }

    pub(crate) fn start(&mut self, cx: &mut Cx<'_>, token: Token, queued: Queued) {
        let Queued { service, body, began, deadline } = queued;
        let offer = cx.row(service).and_then(|row| {
            snapshot::choose(
                (cx.view.catalog, cx.view.index),
                &mut self.paths,
                service,
                row.snapshot,
                &[],
            )
        });
        let Some(offer) = offer else {
            self.gate.finished(cx.now, service, None, cx.now - began, Millis::ZERO);
            return self.refuse(cx, token, Cause::NoSnapshot, RETRY_AFTER);
        };
        let query = Query { incarnation: self.options.incarnation, number: self.next };
        self.next += 1;
        let sample = self.options.sample;
        let mut running = Running {
            query,
            token,
            service,
            body,
            began,
            deadline,
            snapshot: offer.snapshot,
            given_up: SmallVec::new(),
            parts: Vec::new(),
            open: 0,
            waited: Millis::ZERO,
            traced: sample > 0 && (query.number - 1).is_multiple_of(sample),
        };
        running.lay_out(offer.snapshot, offer.shards);
        let Offer { snapshot, shards, servable, .. } = offer;
        cx.note(&running, What::Start { snapshot, shards, servable });
        self.tokens.insert(token, query);
        self.ask_all(cx, &mut running);
        self.settle(cx, running);
    }

    pub(crate) fn ask_all(&mut self, cx: &mut Cx<'_>, running: &mut Running) {
        for index in 0..running.parts.len() {
            self.stats.leafs += 1;
            let tail = self.tail(cx, running.service);
            tail.hedge.request();
            tail.retry.earn();
            if !self.ask(cx, running, index, Why::First) {
                self.miss(cx, running, index, Reason::Unreachable);
            }
        }
    }

    /// Keeps a query running, or answers it when no shard is open.
    pub(crate) fn settle(&mut self, cx: &mut Cx<'_>, running: Running) {
        if running.open == 0 {
            self.finish(cx, running);
        } else {
            self.running.insert(running.query, running);
        }
    }

    pub(crate) fn finish(&mut self, cx: &mut Cx<'_>, mut running: Running) {
        for index in 0..running.parts.len() {
            self.cancel_part(cx, &mut running, index);
        }
        let row = cx.row(running.service);
        let took = cx.now - running.began;
        self.gate.finished(cx.now, running.service, row, took, running.waited);
        self.tokens.remove(&running.token);
        let coverage = running.coverage();
        let least = row.map_or(0.0, |r| r.least_coverage_pct / 100.0);
        let enough = coverage.answered > 0 && coverage.part() >= least;
        match (enough, coverage.missing.is_empty()) {
            (false, _) => self.stats.short += 1,
            (true, true) => self.stats.whole += 1,
            (true, false) => self.stats.partial += 1,
        }
        let (answered, shards) = (coverage.answered, coverage.shards);
        cx.note(&running, What::Finish { answered, shards, took });
        let answer = Answer {
            query: running.query,
            snapshot: running.snapshot,
            items: running.items(),
            coverage,
            enough,
            took,
        };
        cx.out.push(Action::Answer { token: running.token, answer });
    }

    pub(crate) fn abandon(&mut self, cx: &mut Cx<'_>, token: Token) {
        if let Some(queued) = self.queued.remove(&token) {
            self.gate.withdraw(queued.service, token);
        }
        let query = self.tokens.remove(&token);
        if let Some(mut running) = query.and_then(|q| self.running.remove(&q)) {
            for index in 0..running.parts.len() {
                self.cancel_part(cx, &mut running, index);
            }
            let row = cx.row(running.service);
            self.gate.finished(
                cx.now,
                running.service,
                row,
                cx.now - running.began,
                running.waited,
            );
        }
    }
}
