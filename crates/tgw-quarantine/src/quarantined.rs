use crate::{Fingerprint, Tracker, evidence::Evidence, record::Record};
use smallvec::SmallVec;
use tgw_clock::Millis;

/// A quarantined request, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether it is quarantined everywhere, not at some services only.
    pub everywhere: bool,
    /// Whether it is known that it ends upstreams; otherwise it rests until that is decided.
    pub confirmed: bool,
    /// Number of upstreams that ended under it, as far as this VM remembers them.
    pub ended_upstreams: usize,
    /// Number of trials.
    pub trials: u8,
    /// Time until the next trial.
    pub retry_after: Millis,
    /// Time since the last request or report.
    pub idle: Millis,
}

impl Tracker {
    /// The quarantined requests.
    pub fn quarantined(&self, now: Millis) -> Vec<QuarantinedRequest> {
        let quarantined = self.records.iter().filter(|(_, record)| record.is_quarantined());
        let mut list: Vec<QuarantinedRequest> = quarantined
            .map(|(fingerprint, record)| quarantined_request(now, fingerprint, record))
            .collect();
        list.sort_by_key(|request| request.fingerprint);
        list
    }
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
        confirmed: quarantined.iter().any(|evidence| evidence.is_confirmed()),
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
