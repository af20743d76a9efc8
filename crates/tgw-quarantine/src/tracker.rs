use crate::{
    Fingerprint,
    answers::Answers,
    ends::Ends,
    live_vms::LiveVms,
    message::{self, Order, QuarantineState, Termination, Update},
    records::Records,
    verdict::CALLER_QUORUM,
};
use smallvec::SmallVec;
use tgw_clock::Millis;
use xxhash_rust::xxh3::xxh3_64;

pub use crate::{
    evidence::QUARANTINE_ROUNDS, quarantined::QuarantinedRequest, records::MAX_RECORDS,
    verdict::Verdict,
};

/// Most entries of each kind in one update, so that it fits into one packet.
const MAX_UPDATE_ENTRIES: usize = 64;
/// Most reports in each of the queues for other VMs. When a queue is full,
/// its oldest report is dropped: a caller that sends so many different requests that end upstreams is identified by
/// the reports that remain.
const MAX_QUEUED_REPORTS: usize = 512;

/// What a report changed.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing: the report was known.
    Unchanged,
    /// One more upstream ended.
    UpstreamEnded,
    /// The request is quarantined from now on, everywhere or at the service: until a trial, or until reports show that
    /// another request ended the upstreams.
    Quarantined {
        /// Whether it is quarantined everywhere.
        everywhere: bool,
    },
    /// It is tried again.
    Tried,
    /// It is known to be this request that ends the upstreams: its quarantine lasts.
    Confirmed,
    /// The request was answered, and what upstreams ended under it before no longer counts.
    Cleared,
    /// The request was released.
    Released,
}

/// One VM's evidence against requests under which upstreams ended. It is usually empty, and a lookup then costs next to
/// nothing.
#[derive(Debug, Default)]
pub struct Tracker {
    pub(crate) records: Records,
    pub(crate) live_vms: LiveVms,
    /// Answers of this VM's sends.
    answers: Answers,
    /// Upstreams that ended, with all requests that they ran.
    pub(crate) ends: Ends,
    /// Reports queued for other VMs.
    pub(crate) queued: Update,
    /// Requests whose quarantine was confirmed since the last call of [`Tracker::take_confirmed`].
    pub(crate) confirmed: Vec<Fingerprint>,
}

/// The hash that identifies a service or an upstream in messages between VMs.
pub fn hash_name(text: &str) -> u32 {
    xxh3_64(text.as_bytes()) as u32
}

impl Tracker {
    /// Whether there is no record of any request.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Evicts records whose retention time is over.
    pub fn evict_expired(&mut self, now: Millis) {
        self.records.evict_expired(now);
        self.ends.evict_expired(now);
    }

    /// Sets the live VMs: this one and the others, by numbers that are the same on all VMs.
    pub fn set_vms(&mut self, own: u64, others: Vec<u64>) {
        self.live_vms = LiveVms { own, others };
    }

    /// Records an upstream that ended under a request, as this VM saw or another VM reported.
    pub fn record_end(&mut self, now: Millis, termination: &Termination) -> Change {
        let Termination { fingerprint, service, upstream, rounds } = *termination;
        let content = fingerprint.content;
        self.ends.record(now, upstream, content);
        let is_explained = self.is_explained(upstream, content);
        let record = self.records.get_or_insert(now, fingerprint);
        if !record.add_ended(termination) {
            return Change::Unchanged;
        }
        enqueue(&mut self.queued.terminations, *termination);
        if is_explained {
            record.excuse(upstream);
            return Change::UpstreamEnded;
        }
        for at in [None, Some(service)] {
            if self.answers.is_recent(now, content, at) {
                self.record_earlier_answer(now, fingerprint, at);
            }
        }
        let record = self.records.get_or_insert(now, fingerprint);
        let everywhere = record.overall.upstream_ended(now, rounds.total, content);
        let evidence = record.evidence_at_mut(Some(service));
        let at_service = evidence.upstream_ended(now, rounds.service, content);
        if record.is_known_to_end(upstream) {
            self.excuse_others(now, fingerprint);
        }
        if everywhere || at_service {
            Change::Quarantined { everywhere }
        } else {
            Change::UpstreamEnded
        }
    }

    /// Whether this VM or another one saw the end of an upstream's incarnation, by its hash.
    pub fn has_ended(&self, upstream: u32) -> bool {
        self.ends.contains(upstream)
    }

    /// Records that an upstream of a service answered a request, with whatever reply. Upstreams do not see the caller,
    /// so no other caller's request with this content ends them either. Returns whether that released a quarantined
    /// request.
    pub fn record_answer(&mut self, now: Millis, fingerprint: Fingerprint, service: &str) -> bool {
        let service = hash_name(service);
        self.answers.record(now, fingerprint.content, service);
        if self.is_empty() {
            return false;
        }
        let quorum = [None, Some(service)]
            .map(|at| self.applicable_quarantines(fingerprint, at).count() >= CALLER_QUORUM);
        let callers = self.records.of_content(fingerprint.content).iter();
        let answered = callers.flat_map(|(caller, record)| {
            let own = *caller == fingerprint.caller;
            let evidence = record.all_evidence().filter(move |(at, evidence)| {
                let applies = match at {
                    None => own || quorum[0],
                    Some(at) => *at == service && (own || quorum[1]),
                };
                let here = at.is_none() || *at == Some(service);
                here && evidence.rounds() > 0 && (applies || !evidence.is_quarantined())
            });
            evidence.map(move |(at, _)| (*caller, at))
        });
        let answered: SmallVec<[(u32, Option<u32>); 2]> = answered.collect();
        let clear = |(caller, at): &(u32, Option<u32>)| {
            self.clear(now, Fingerprint { caller: *caller, ..fingerprint }, *at)
        };
        answered.iter().map(clear).filter(|change| *change == Change::Released).count() > 0
    }

    /// Adopts another VM's report that a request was answered.
    pub fn merge_answer(&mut self, now: Millis, answer: &message::Answer) -> Change {
        let message::Answer { fingerprint, service, order } = *answer;
        match order {
            Order::Before => self.record_earlier_answer(now, fingerprint, service),
            Order::After => {
                let record = self.records.get_or_insert(now, fingerprint);
                if record.evidence_at(service).rounds() == 0 {
                    return Change::Unchanged;
                }
                self.clear(now, fingerprint, service)
            }
        }
    }

    /// Clears the evidence against a request, at a service or at all, after an answer, and queues that for other VMs:
    /// without it they go on counting, and the next upstream that ends under one of their sends quarantines a
    /// request that is known to be harmless.
    fn clear(&mut self, now: Millis, fingerprint: Fingerprint, service: Option<u32>) -> Change {
        let record = self.records.get_or_insert(now, fingerprint);
        let released = record.clear(now, service);
        for end in record.ended().iter().filter(|end| Some(end.service) == service) {
            self.ends.clear(end.upstream, fingerprint.content);
        }
        if released {
            let of = QuarantineState { service, ..QuarantineState::initial(fingerprint) };
            let state = record.evidence_at(service).state(now, of);
            enqueue(&mut self.queued.states, state);
        }
        let answer = message::Answer { fingerprint, service, order: Order::After };
        enqueue(&mut self.queued.answers, answer);
        if released { Change::Released } else { Change::Cleared }
    }

    /// Records that a request had been answered shortly before upstreams ended under it, and queues that for other VMs.
    fn record_earlier_answer(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        service: Option<u32>,
    ) -> Change {
        let evidence = self.records.get_or_insert(now, fingerprint).evidence_at_mut(service);
        let (is_new, releases) = evidence.record_earlier_answer();
        if !is_new {
            return Change::Unchanged;
        }
        let answer = message::Answer { fingerprint, service, order: Order::Before };
        enqueue(&mut self.queued.answers, answer);
        if releases {
            let of = QuarantineState { service, ..QuarantineState::initial(fingerprint) };
            let state = evidence.state(now, of);
            enqueue(&mut self.queued.states, state);
        }
        if releases { Change::Released } else { Change::Cleared }
    }

    /// Adopts another VM's state of a request that was quarantined or released there.
    pub fn merge(&mut self, now: Millis, state: &QuarantineState) -> Change {
        let record = self.records.get_or_insert(now, state.fingerprint);
        let evidence = record.evidence_at_mut(state.service);
        let before = *evidence;
        if !evidence.merge(now, state) {
            return Change::Unchanged;
        }
        let after = *evidence;
        if !after.is_quarantined() {
            record.discard_ends(state.service);
        }
        enqueue(&mut self.queued.states, *state);
        if after.is_confirmed() && !before.is_confirmed() {
            self.excuse_others(now, state.fingerprint);
        }
        match (before.is_quarantined(), after.is_quarantined()) {
            (_, false) => Change::Released,
            (true, true) if !before.is_confirmed() && after.is_confirmed() => Change::Confirmed,
            (true, true) => Change::Tried,
            (false, true) => Change::Quarantined { everywhere: state.service.is_none() },
        }
    }

    /// Releases one caller's request. Returns whether it was quarantined.
    pub fn release(&mut self, now: Millis, fingerprint: Fingerprint) -> bool {
        let Some(record) = self.records.get_mut(fingerprint) else { return false };
        let quarantined = record.all_evidence().filter(|(_, evidence)| evidence.is_quarantined());
        let scopes: SmallVec<[Option<u32>; 2]> = quarantined.map(|(service, _)| service).collect();
        let released: SmallVec<[QuarantineState; 1]> = scopes
            .into_iter()
            .map(|service| {
                record.clear(now, service);
                let of = QuarantineState { service, ..QuarantineState::initial(fingerprint) };
                record.evidence_at(service).state(now, of)
            })
            .collect();
        released.iter().for_each(|state| enqueue(&mut self.queued.states, *state));
        !released.is_empty()
    }

    /// Whether reports for other VMs are queued.
    pub fn has_updates(&self) -> bool {
        !self.queued.is_empty() || !self.confirmed.is_empty()
    }

    /// Takes queued reports for other VMs, at most one packet of them.
    pub fn take_update(&mut self) -> Option<Update> {
        let terminations = self.queued.terminations.len().min(MAX_UPDATE_ENTRIES);
        let states = self.queued.states.len().min(MAX_UPDATE_ENTRIES);
        let answers = self.queued.answers.len().min(MAX_UPDATE_ENTRIES);
        let update = Update {
            terminations: self.queued.terminations.drain(..terminations).collect(),
            states: self.queued.states.drain(..states).collect(),
            answers: self.queued.answers.drain(..answers).collect(),
        };
        (!update.is_empty()).then_some(update)
    }

    /// Takes the requests whose quarantine this VM has confirmed since the last call.
    pub fn take_confirmed(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.confirmed)
    }

    /// One packet of the states of requests that were quarantined or released, starting with number `from`, for VMs
    /// that may have missed them.
    pub fn states_from(&self, now: Millis, from: usize) -> Vec<QuarantineState> {
        let mut all = self.all_states(now);
        let from = if all.is_empty() { 0 } else { from % all.len() };
        all.rotate_left(from);
        all.truncate(MAX_UPDATE_ENTRIES);
        all
    }

    /// The states of all requests that were quarantined or released.
    pub fn all_states(&self, now: Millis) -> Vec<QuarantineState> {
        let mut all = Vec::new();
        for (fingerprint, record) in self.records.iter() {
            for (service, evidence) in record.all_evidence() {
                let state = evidence.state(
                    now,
                    QuarantineState { service, ..QuarantineState::initial(fingerprint) },
                );
                if state.epoch > 0 {
                    all.push(state);
                }
            }
        }
        all
    }

    /// Numbers of quarantined requests and of all remembered ones.
    pub fn counts(&self) -> (usize, usize) {
        (
            self.records.iter().filter(|(_, record)| record.is_quarantined()).count(),
            self.records.len(),
        )
    }
}

/// Queues a report for other VMs; drops the oldest if the queue is full.
pub(crate) fn enqueue<T>(queue: &mut Vec<T>, report: T) {
    if queue.len() >= MAX_QUEUED_REPORTS {
        queue.remove(0);
    }
    queue.push(report);
}
