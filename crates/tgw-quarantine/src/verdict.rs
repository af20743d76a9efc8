use crate::{
    Fingerprint, Tracker,
    evidence::{Evidence, MAX_TRIALS, QUARANTINE_ROUNDS},
    message::{QuarantineState, Rounds},
    tracker::{enqueue, hash_name},
};
use smallvec::SmallVec;
use tgw_clock::Millis;

/// Callers for whom a request must be quarantined before it is quarantined for all callers. What one caller's requests
/// do never rejects another's, as it may be due to a header of that caller; what two callers' requests do does not
/// depend on the caller.
pub(crate) const CALLER_QUORUM: usize = 2;
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

impl Tracker {
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

    /// Whether upstreams ended lately under a request that is neither quarantined nor known to have been answered.
    pub fn is_suspect(&self, now: Millis, fingerprint: Fingerprint) -> bool {
        let callers = self.records.of_content(fingerprint.content).iter();
        let mut evidence = callers.map(|(_, record)| record.overall);
        evidence.any(|evidence| evidence.is_suspect(now))
    }

    /// Number of rounds in which upstreams ended under a request, as far as they limit its sends:
    /// [`QUARANTINE_ROUNDS`] only in quarantine.
    pub fn rounds(&self, fingerprint: Fingerprint) -> u8 {
        if self.is_empty() { 0 } else { self.limiting_rounds(fingerprint, None) }
    }

    /// The known rounds of a request, at a service and in all.
    pub fn known_rounds(&self, fingerprint: Fingerprint, service: &str) -> Rounds {
        if self.is_empty() {
            return Rounds::default();
        }
        let service = self.rounds_at(fingerprint, Some(hash_name(service)));
        Rounds { total: self.rounds_at(fingerprint, None), service }
    }

    /// The quarantines that apply to a request, at a service or everywhere: its own caller's, or those of two other
    /// callers.
    pub(crate) fn applicable_quarantines(
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
        self.most_rounds(fingerprint, service, Evidence::rounds)
    }

    /// The same, as far as they limit its sends.
    fn limiting_rounds(&self, fingerprint: Fingerprint, service: Option<u32>) -> u8 {
        self.most_rounds(fingerprint, service, Evidence::limiting_rounds)
    }

    fn most_rounds(
        &self,
        fingerprint: Fingerprint,
        service: Option<u32>,
        count: fn(&Evidence) -> u8,
    ) -> u8 {
        let applies = self.applicable_quarantines(fingerprint, service).next().is_some();
        let callers = self.records.of_content(fingerprint.content).iter();
        let rounds = callers.map(|(caller, record)| {
            // Rounds of another caller's requests limit this one, but alone do not quarantine it.
            let most = if applies || *caller == fingerprint.caller {
                u8::MAX
            } else {
                QUARANTINE_ROUNDS - 1
            };
            count(&record.evidence_at(service)).min(most)
        });
        rounds.max().unwrap_or_default()
    }

    /// Decides what may be done with a request, at a service or anywhere.
    fn decide(&mut self, now: Millis, fingerprint: Fingerprint, service: Option<u32>) -> Verdict {
        self.confirm_due(now, fingerprint.content, service);
        let quarantined: SmallVec<[(u32, Evidence); 2]> =
            self.applicable_quarantines(fingerprint, service).collect();
        let Some((caller, evidence)) =
            quarantined.iter().min_by_key(|(caller, _)| *caller).copied()
        else {
            return limited(self.limiting_rounds(fingerprint, service));
        };
        let confirmed = quarantined.iter().filter(|(_, evidence)| evidence.is_confirmed());
        let trials = confirmed.map(|(_, evidence)| evidence.trials()).fold(0, u8::saturating_add);
        if trials >= MAX_TRIALS || !self.may_try(now, fingerprint.content, &evidence) {
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
