//! Which of the requests that ran on an upstream ended it.
//!
//! An upstream ends once, and of the requests that it ran at that moment one did it. A request that ran beside a query
//! of death, on each of the upstreams that this one ended, has the same rounds. What tells them apart: answers, which
//! clear a request of the ends before; upstreams on which the request ran alone; and whether another request that is
//! known to end upstreams ran there as well.

use crate::{
    Fingerprint, Tracker,
    evidence::Evidence,
    message::QuarantineState,
    record::{End, Record},
    tracker::{enqueue, hash_name},
};
use smallvec::SmallVec;
use tgw_clock::Millis;

/// Rounds, each with an upstream that the request alone can have ended, that confirm its quarantine.
const CONFIRMING_ROUNDS: usize = 2;
/// Time in ms in which the reports of an end reach all VMs: longer than a way between regions.
const REPORT_MS: Millis = Millis::new(40);
/// Time in ms in which a request that is sent again is answered or ends its upstream, and that is reported.
const TURN_MS: u64 = 60;
/// Latest turn: the order is given up for more requests, which would wait too long.
const MAX_TURN: usize = 5;
/// Time in ms after which [`TRIAL_SPREAD`] times as many VMs may try a request whose quarantine is not confirmed.
const TRIAL_SPREAD_MS: u64 = 1_000;
/// See [`TRIAL_SPREAD_MS`].
const TRIAL_SPREAD: usize = 4;

impl Tracker {
    /// Confirms the quarantines of a content whose rest is over, at a service or at all, where reports of other
    /// requests leave no doubt.
    pub(crate) fn confirm_due(&mut self, now: Millis, content: u64, service: Option<u32>) {
        let callers = self.records.of_content(content).iter();
        let due = callers.filter(|(_, record)| {
            let evidence = record.evidence_at(service);
            evidence.overdue(now).is_some()
                && !evidence.is_confirmed()
                && self.is_proven(content, record, service)
        });
        let due: SmallVec<[u32; 2]> = due.map(|(caller, _)| *caller).collect();
        for caller in due {
            self.confirm(now, Fingerprint { content, caller }, service);
        }
    }

    fn confirm(&mut self, now: Millis, fingerprint: Fingerprint, service: Option<u32>) {
        let Some(record) = self.records.get_mut(fingerprint) else { return };
        let evidence = record.evidence_at_mut(service);
        evidence.confirm();
        let of = QuarantineState { service, ..QuarantineState::initial(fingerprint) };
        let state = evidence.state(now, of);
        enqueue(&mut self.queued.states, state);
        self.confirmed.push(fingerprint);
        self.excuse_others(now, fingerprint);
    }

    /// Whether the request, and not one that ran beside it, ends upstreams: a trial ended one, or two rounds ended
    /// upstreams that the request alone can have ended.
    fn is_proven(&self, content: u64, record: &Record, service: Option<u32>) -> bool {
        let trial = record.evidence_at(service).max_rounds();
        let tried = |end: &&End| end.round(service).is_some_and(|round| round >= trial);
        let alone = |end: &&End| tried(end) || !self.is_shared(content, end);
        let ends = record.ended().iter().filter(alone);
        let mut rounds: SmallVec<[u8; 4]> = ends.filter_map(|end| end.round(service)).collect();
        rounds.sort_unstable();
        rounds.dedup();
        rounds.len() >= CONFIRMING_ROUNDS || rounds.iter().any(|round| *round >= trial)
    }

    /// Whether another request may have ended an upstream: one that ran there, was not answered before or since, and
    /// ran on other upstreams that ended.
    fn is_shared(&self, content: u64, end: &End) -> bool {
        let service = Some(end.service);
        self.ends.others(end.upstream, content).any(|other| {
            let callers = self.records.of_content(other);
            let answered = |record: &Record| record.evidence_at(service).answered_before();
            callers.iter().any(|(_, record)| record.ended_count() > 1)
                && !callers.iter().any(|(_, record)| answered(record))
        })
    }

    /// Whether an upstream ended because of another request than that with this `content`.
    pub(crate) fn is_explained(&self, upstream: u32, content: u64) -> bool {
        self.ends.others(upstream, content).any(|other| {
            let mut callers = self.records.of_content(other).iter();
            callers.any(|(_, record)| record.is_known_to_end(upstream))
        })
    }

    /// No longer counts the upstreams that a request ended against the others that ran there.
    pub(crate) fn excuse_others(&mut self, now: Millis, fingerprint: Fingerprint) {
        let Some(record) = self.records.get_mut(fingerprint) else { return };
        let ends = record.ended().iter().map(|end| end.upstream);
        let ended: SmallVec<[u32; 8]> = ends.filter(|end| record.is_known_to_end(*end)).collect();
        for upstream in ended {
            let others: SmallVec<[u64; 4]> =
                self.ends.others(upstream, fingerprint.content).collect();
            others.iter().for_each(|other| self.excuse(now, *other, upstream));
        }
    }

    /// No longer counts the end of an upstream against the requests with this content.
    fn excuse(&mut self, now: Millis, content: u64, upstream: u32) {
        let callers = self.records.of_content_mut(content).into_iter().flatten();
        let excused = callers.flat_map(|(caller, record)| {
            let scopes = record.excuse(upstream);
            scopes.into_iter().map(|service| (*caller, service))
        });
        let excused: SmallVec<[(u32, Option<u32>); 2]> = excused.collect();
        for (caller, service) in excused {
            let fingerprint = Fingerprint { content, caller };
            let Some(record) = self.records.get(fingerprint) else { continue };
            if record.evidence_at(service).is_confirmed()
                && self.is_proven(content, record, service)
            {
                continue;
            }
            let Some(record) = self.records.get_mut(fingerprint) else { continue };
            let evidence = record.evidence_at_mut(service);
            if evidence.excuse(now) {
                let of = QuarantineState { service, ..QuarantineState::initial(fingerprint) };
                let state = evidence.state(now, of);
                enqueue(&mut self.queued.states, state);
            }
        }
    }

    /// When a request may be sent to a service again if the next round decides on its quarantine; `None` if at once.
    ///
    /// Of the requests that ran on the same upstreams one ended them. If they were sent again at the same time, they would
    /// reach the same upstream once more, and that round would count against all of them as well. They go one after the
    /// other instead, in an order that all VMs know: the answer to one of them clears it.
    pub fn turn(&self, fingerprint: Fingerprint, service: &str) -> Option<Millis> {
        let Fingerprint { content, .. } = fingerprint;
        let record = self.records.get(fingerprint)?;
        let scopes = [None, Some(hash_name(service))];
        let evidence = scopes.map(|scope| record.evidence_at(scope));
        let last_round = evidence.iter().filter_map(Evidence::last_round_before_decision).max()?;
        let counts = |end: &&End| scopes.iter().any(|scope| end.round(*scope).is_some());
        let ends = record.ended().iter().filter(counts);
        let others = ends.flat_map(|end| self.ends.others(end.upstream, content));
        let mut earlier: SmallVec<[u64; 8]> =
            others.filter(|other| *other < content && self.may_be_sent(*other)).collect();
        earlier.sort_unstable();
        earlier.dedup();
        let turn = earlier.len().min(MAX_TURN) as u64;
        Some(last_round + REPORT_MS + Millis::new(turn * TURN_MS))
    }

    /// Whether a request is neither quarantined nor cleared by an earlier answer.
    fn may_be_sent(&self, content: u64) -> bool {
        let callers = self.records.of_content(content).iter();
        let mut evidence = callers.map(|(_, record)| record.overall);
        evidence.all(|evidence| !evidence.is_quarantined() && !evidence.answered_before())
    }

    /// Whether this VM may try a quarantined request now.
    ///
    /// A confirmed one is tried by the first of all live VMs. One that may be harmless is tried by ever more of them, as
    /// its callers may not reach the first.
    pub(crate) fn may_try(&self, now: Millis, content: u64, evidence: &Evidence) -> bool {
        let Some(overdue) = evidence.overdue(now) else { return false };
        let rank = self.live_vms.trial_rank(content);
        if evidence.is_confirmed() {
            return rank == 0;
        }
        let intervals = overdue.as_whole_ms() / TRIAL_SPREAD_MS;
        let ranks = TRIAL_SPREAD.checked_pow(u32::try_from(intervals).unwrap_or(u32::MAX));
        ranks.is_none_or(|ranks| rank < ranks)
    }
}
