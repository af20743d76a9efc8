//! What a VM keeps of its evidence over a restart of its process.

use crate::{
    Fingerprint, Tracker,
    message::{Answer, Order, QuarantineState, Termination, Update},
    record::Record,
    tracker::Change,
};
use tgw_clock::Millis;

/// Time in ms after which upstreams that ended no longer count: as long as the tracker itself remembers a request that
/// is not quarantined.
const MAX_EVIDENCE_AGE_MS: Millis = Millis::new(600_000);

/// What survives a restart. The other VMs tell a VM that starts which requests are quarantined; where all VMs restart
/// at once, only what they kept themselves is left.
impl Tracker {
    /// All evidence against requests and their states, in the form in which VMs report it to one another.
    pub fn snapshot(&self, now: Millis) -> Update {
        let mut snapshot = Update { states: self.all_states(now), ..Update::default() };
        for (fingerprint, record) in self.records.iter() {
            snapshot.terminations.extend(counted_ends(fingerprint, record));
            snapshot.answers.extend(earlier_answers(fingerprint, record));
        }
        snapshot
    }

    /// Adopts a snapshot that was taken `age` ago, by a process that has ended. Returns what that changed.
    pub fn restore(
        &mut self,
        now: Millis,
        age: Millis,
        snapshot: &Update,
    ) -> Vec<(Fingerprint, Change)> {
        let mut changes = Vec::new();
        if age < MAX_EVIDENCE_AGE_MS {
            // Answers first: they decide how many ends make a quarantine.
            let answers = snapshot.answers.iter();
            changes.extend(answers.map(|a| (a.fingerprint, self.merge_answer(now, a))));
            let ends = snapshot.terminations.iter();
            changes.extend(ends.map(|end| (end.fingerprint, self.record_end(now, end))));
        }
        let age = u32::try_from(age.as_whole_ms()).unwrap_or(u32::MAX);
        for state in &snapshot.states {
            let state = QuarantineState { wait: state.wait.saturating_sub(age), ..*state };
            changes.push((state.fingerprint, self.merge(now, &state)));
        }
        changes
    }
}

/// The ends that count against a request. Those that count at their service only are left out: a report cannot say so, and
/// they would count in all again.
fn counted_ends(fingerprint: Fingerprint, record: &Record) -> impl Iterator<Item = Termination> {
    let counted = record.ended().iter().filter(|end| end.counts());
    counted.map(move |end| end.termination(fingerprint))
}

/// The answers that a request had before its first round.
fn earlier_answers(fingerprint: Fingerprint, record: &Record) -> impl Iterator<Item = Answer> {
    let answered = record.all_evidence().filter(|(_, evidence)| evidence.answered_before());
    answered.map(move |(service, _)| Answer { fingerprint, service, order: Order::Before })
}
