use crate::{
    Fingerprint,
    evidence::{Evidence, MAX_TRIALS},
    live_vms::LiveVms,
    message::{QuarantineState, Rounds, Termination, Update},
    record::Record,
    records::Records,
};
use smallvec::SmallVec;
use tgw_clock::Millis;
use xxhash_rust::xxh3::xxh3_64;

pub use crate::{evidence::QUARANTINE_ROUNDS, records::MAX_RECORDS};

/// Most entries of each kind in one update, so that it fits into one packet.
const MAX_UPDATE_ENTRIES: usize = 64;
/// Callers for whom a request must be quarantined before it is quarantined for all callers. What one caller's requests
/// do never rejects another's, as it may be due to a header of that caller; what two callers' requests do does not
/// depend on the caller.
const CALLER_QUORUM: usize = 2;
/// Most reports in each of the two queues for other VMs, that of terminations and that of states. When a queue is full,
/// its oldest report is dropped: a caller that sends so many different requests that end upstreams is identified by
/// the reports that remain.
const MAX_QUEUED_REPORTS: usize = 512;

/// What may be done with a request, or with its part at a service.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is no evidence against it.
    Allowed,
    /// Upstreams ended under it, in this many rounds so far: it may be sent to one upstream at a time.
    Limited(u8),
    /// It is quarantined; the caller may retry after this time.
    Rejected(Millis),
}

/// What a report changed.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing: the report was known.
    Unchanged,
    /// One more upstream ended.
    UpstreamEnded,
    /// The request is quarantined from now on, everywhere or at the service.
    Quarantined {
        /// Whether it is quarantined everywhere.
        everywhere: bool,
    },
    /// The request was released.
    Released,
}

/// A quarantined request, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether it is quarantined everywhere, not at some services only.
    pub everywhere: bool,
    /// Number of upstreams that ended under it, as far as this VM remembers them.
    pub ended_upstreams: usize,
    /// Number of trials.
    pub trials: u8,
    /// Time until the next trial.
    pub retry_after: Millis,
    /// Time since the last request or report.
    pub idle: Millis,
}

/// One VM's evidence against requests under which upstreams ended. It is usually empty, and a lookup then costs next to
/// nothing.
#[derive(Debug, Default)]
pub struct Tracker {
    records: Records,
    live_vms: LiveVms,
    /// Reports queued for other VMs.
    queued: Update,
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
    }

    /// Sets the live VMs: this one and the others, by numbers that are the same on all VMs.
    pub fn set_vms(&mut self, own: u64, others: Vec<u64>) {
        self.live_vms = LiveVms { own, others };
    }

    /// Decides what may be done with a request as a whole. A request whose trial is due may be sent by one VM, to one
    /// upstream at a time; that counts as a trial.
    pub fn verdict(&mut self, now: Millis, fingerprint: Fingerprint) -> Verdict {
        let Some(callers) = self.records.of_content_mut(fingerprint.content) else {
            return Verdict::Allowed;
        };
        for (caller, record) in callers.iter_mut() {
            if *caller == fingerprint.caller {
                record.last_used = now;
            }
        }
        let decision_wait =
            callers.iter().filter_map(|(_, record)| record.overall.decision_wait(now)).max();
        match (self.decide(now, fingerprint, None), decision_wait) {
            (Verdict::Rejected(wait), _) => Verdict::Rejected(wait),
            (_, Some(wait)) => Verdict::Rejected(wait),
            (verdict, None) => verdict,
        }
    }

    /// Decides what may be done with a request's part at a service.
    pub fn part_verdict(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        service: &str,
    ) -> Verdict {
        if self.is_empty() {
            Verdict::Allowed
        } else {
            self.decide(now, fingerprint, Some(hash_name(service)))
        }
    }

    /// Whether a request is quarantined as a whole.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        !self.is_empty() && self.applicable_quarantines(fingerprint, None).next().is_some()
    }

    /// Number of rounds in which upstreams ended under a request.
    pub fn rounds(&self, fingerprint: Fingerprint) -> u8 {
        if self.is_empty() { 0 } else { self.rounds_at(fingerprint, None) }
    }

    /// The known rounds of a request, at a service and in all.
    pub fn known_rounds(&self, fingerprint: Fingerprint, service: &str) -> Rounds {
        if self.is_empty() {
            return Rounds::default();
        }
        let service = self.rounds_at(fingerprint, Some(hash_name(service)));
        Rounds { total: self.rounds_at(fingerprint, None), service }
    }

    /// Records an upstream that ended under a request, as this VM saw or another VM reported.
    pub fn record_end(&mut self, now: Millis, termination: &Termination) -> Change {
        let record = self.records.get_or_insert(now, termination.fingerprint);
        if !record.add_ended(termination.upstream) {
            return Change::Unchanged;
        }
        let everywhere = record.overall.upstream_ended(now, termination.rounds.total);
        let at_service = record
            .evidence_at_mut(Some(termination.service))
            .upstream_ended(now, termination.rounds.service);
        enqueue(&mut self.queued.terminations, *termination);
        if everywhere || at_service {
            Change::Quarantined { everywhere }
        } else {
            Change::UpstreamEnded
        }
    }

    /// Records that an upstream of a service answered a request, with whatever reply. Upstreams do not see the caller,
    /// so no other caller's request with this content ends them either. Returns whether that released a quarantined
    /// request.
    pub fn record_answer(&mut self, now: Millis, fingerprint: Fingerprint, service: &str) -> bool {
        if self.is_empty() {
            return false;
        }
        let service = hash_name(service);
        let quorum = [None, Some(service)]
            .map(|at| self.applicable_quarantines(fingerprint, at).count() >= CALLER_QUORUM);
        let Some(callers) = self.records.of_content_mut(fingerprint.content) else { return false };
        let mut released = false;
        for (caller, record) in callers {
            let of = QuarantineState::initial(Fingerprint { caller: *caller, ..fingerprint });
            let own = *caller == fingerprint.caller;
            for (at, evidence) in record.all_evidence_mut() {
                let applies = match at {
                    None => own || quorum[0],
                    Some(at) => at == service && (own || quorum[1]),
                };
                let here = at.is_none() || at == Some(service);
                if here && (applies || !evidence.is_quarantined()) && evidence.clear() {
                    released = true;
                    enqueue(
                        &mut self.queued.states,
                        evidence.state(now, QuarantineState { service: at, ..of }),
                    );
                }
            }
        }
        released
    }

    /// Adopts another VM's state of a request that was quarantined or released there.
    pub fn merge(&mut self, now: Millis, state: &QuarantineState) -> Change {
        let record = self.records.get_or_insert(now, state.fingerprint);
        let evidence = record.evidence_at_mut(state.service);
        if !evidence.merge(now, state) {
            return Change::Unchanged;
        }
        let quarantined = evidence.is_quarantined();
        enqueue(&mut self.queued.states, *state);
        if quarantined {
            Change::Quarantined { everywhere: state.service.is_none() }
        } else {
            Change::Released
        }
    }

    /// Releases one caller's request. Returns whether it was quarantined.
    pub fn release(&mut self, now: Millis, fingerprint: Fingerprint) -> bool {
        let Some(record) = self.records.get_mut(fingerprint) else { return false };
        let quarantined =
            record.all_evidence_mut().filter(|(_, evidence)| evidence.is_quarantined());
        let released: SmallVec<[QuarantineState; 1]> = quarantined
            .map(|(service, evidence)| {
                evidence.clear();
                evidence.state(
                    now,
                    QuarantineState { service, ..QuarantineState::initial(fingerprint) },
                )
            })
            .collect();
        released.iter().for_each(|state| enqueue(&mut self.queued.states, *state));
        !released.is_empty()
    }

    /// Takes queued reports for other VMs, at most one packet of them.
    pub fn take_update(&mut self) -> Option<Update> {
        let terminations = self.queued.terminations.len().min(MAX_UPDATE_ENTRIES);
        let states = self.queued.states.len().min(MAX_UPDATE_ENTRIES);
        let update = Update {
            terminations: self.queued.terminations.drain(..terminations).collect(),
            states: self.queued.states.drain(..states).collect(),
        };
        (!update.is_empty()).then_some(update)
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

    /// The quarantined requests.
    pub fn quarantined(&self, now: Millis) -> Vec<QuarantinedRequest> {
        let quarantined = self.records.iter().filter(|(_, record)| record.is_quarantined());
        let mut list: Vec<QuarantinedRequest> = quarantined
            .map(|(fingerprint, record)| quarantined_request(now, fingerprint, record))
            .collect();
        list.sort_by_key(|request| request.fingerprint);
        list
    }

    /// Numbers of quarantined requests and of all remembered ones.
    pub fn counts(&self) -> (usize, usize) {
        (
            self.records.iter().filter(|(_, record)| record.is_quarantined()).count(),
            self.records.len(),
        )
    }

    /// The quarantines that apply to a request, at a service or everywhere: its own caller's, or those of two other
    /// callers.
    fn applicable_quarantines(
        &self,
        fingerprint: Fingerprint,
        service: Option<u32>,
    ) -> impl Iterator<Item = (u32, Evidence)> {
        let callers = self.records.of_content(fingerprint.content).iter();
        let quarantined =
            callers.map(move |(caller, record)| (*caller, record.evidence_at(service)));
        let quarantined: SmallVec<[(u32, Evidence); 2]> =
            quarantined.filter(|(_, evidence)| evidence.is_quarantined()).collect();
        let applies = quarantined.len() >= CALLER_QUORUM
            || quarantined.iter().any(|(caller, _)| *caller == fingerprint.caller);
        quarantined.into_iter().filter(move |_| applies)
    }

    /// Number of rounds in which upstreams ended under a request, at a service or anywhere.
    fn rounds_at(&self, fingerprint: Fingerprint, service: Option<u32>) -> u8 {
        let applies = self.applicable_quarantines(fingerprint, service).next().is_some();
        let callers = self.records.of_content(fingerprint.content).iter();
        let rounds = callers.map(|(caller, record)| {
            // Rounds of another caller's requests limit this one, but alone do not quarantine it.
            let most = if applies || *caller == fingerprint.caller {
                QUARANTINE_ROUNDS
            } else {
                QUARANTINE_ROUNDS - 1
            };
            record.evidence_at(service).rounds().min(most)
        });
        rounds.max().unwrap_or_default()
    }

    /// Decides what may be done with a request, at a service or anywhere.
    fn decide(&mut self, now: Millis, fingerprint: Fingerprint, service: Option<u32>) -> Verdict {
        let quarantined: SmallVec<[(u32, Evidence); 2]> =
            self.applicable_quarantines(fingerprint, service).collect();
        let Some((caller, evidence)) =
            quarantined.iter().min_by_key(|(caller, _)| *caller).copied()
        else {
            return limited(self.rounds_at(fingerprint, service));
        };
        let trials =
            quarantined.iter().map(|(_, evidence)| evidence.trials()).fold(0, u8::saturating_add);
        if !evidence.is_trial_due(now)
            || trials >= MAX_TRIALS
            || !self.live_vms.is_own_trial(fingerprint.content)
        {
            return Verdict::Rejected(evidence.retry_after(now));
        }
        let of = Fingerprint { caller, ..fingerprint };
        if let Some(record) = self.records.get_mut(of) {
            let evidence = record.evidence_at_mut(service);
            evidence.trial_started(now);
            let state =
                evidence.state(now, QuarantineState { service, ..QuarantineState::initial(of) });
            enqueue(&mut self.queued.states, state);
        }
        Verdict::Limited(QUARANTINE_ROUNDS - 1)
    }
}

fn limited(rounds: u8) -> Verdict {
    if rounds == 0 { Verdict::Allowed } else { Verdict::Limited(rounds.min(QUARANTINE_ROUNDS - 1)) }
}

fn quarantined_request(
    now: Millis,
    fingerprint: Fingerprint,
    record: &Record,
) -> QuarantinedRequest {
    let evidence = record.all_evidence().map(|(_, evidence)| evidence);
    let quarantined: SmallVec<[&Evidence; 2]> =
        evidence.filter(|evidence| evidence.is_quarantined()).collect();
    QuarantinedRequest {
        fingerprint,
        everywhere: record.overall.is_quarantined(),
        ended_upstreams: record.ended_count(),
        trials: quarantined.iter().map(|evidence| evidence.trials()).max().unwrap_or_default(),
        retry_after: quarantined
            .iter()
            .map(|evidence| evidence.retry_after(now))
            .min()
            .unwrap_or_default(),
        idle: now - record.last_used,
    }
}

/// Queues a report for other VMs; drops the oldest if the queue is full.
fn enqueue<T>(queue: &mut Vec<T>, report: T) {
    if queue.len() >= MAX_QUEUED_REPORTS {
        queue.remove(0);
    }
    queue.push(report);
}
