use crate::message::QuarantineState;
use tgw_clock::Millis;

/// Rounds after which a request is quarantined: the first sends of an attempt, which nothing could prevent, and two
/// more sends, each made alone and knowing of the round before.
///
/// An innocent request reaches this only if three upstreams end by chance, each within the milliseconds in which it
/// runs there, without an answer in between. Two rounds would be reached by searches that run beside a query of death.
pub const QUARANTINE_ROUNDS: u8 = 3;
/// Time in ms before a quarantined request is first tried again; doubles with each trial that ends an upstream. Longer
/// than a rollback of the upstreams takes; operators can release it sooner.
const QUARANTINE_MS: u64 = 600_000;
/// Trials of a quarantined request, by all VMs together; after that only operators release it. Each trial may end an
/// upstream, and the operators allow three sends in all once the request is known.
pub(crate) const MAX_TRIALS: u8 = 2;

/// Shortest retry time in ms that a caller is given while another VM is about to try its request again.
const MIN_RETRY_AFTER_MS: Millis = Millis::new(1_000);
/// Time in ms for which a request that is one round below the limit is not started anew. It covers the send that
/// decides, made by another VM, and that VM's report: a caller answered by that VM reaches this one before the report
/// does, and its request would end one upstream more.
const DECISION_TIMEOUT_MS: Millis = Millis::new(500);

/// Evidence against a request, at one service or at all.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Evidence {
    rounds: u8,
    /// Number of quarantines and releases so far: odd while the request is quarantined.
    epoch: u16,
    trials: u8,
    /// Time of the next trial.
    next_trial: Millis,
    /// Time at which `rounds` last grew.
    last_growth: Millis,
}

impl Evidence {
    pub(crate) fn rounds(&self) -> u8 {
        self.rounds
    }

    pub(crate) fn is_quarantined(&self) -> bool {
        self.epoch % 2 == 1
    }

    /// Records that an upstream ended under a send made with `known` rounds on record. Returns whether that begins a
    /// quarantine.
    pub(crate) fn upstream_ended(&mut self, now: Millis, known: u8) -> bool {
        let rounds = known.saturating_add(1).min(QUARANTINE_ROUNDS);
        if rounds > self.rounds {
            self.rounds = rounds;
            self.last_growth = now;
        }
        let begins = self.rounds >= QUARANTINE_ROUNDS && !self.is_quarantined();
        if begins {
            self.epoch = self.epoch.saturating_add(1);
            self.trials = 0;
            self.next_trial = now + Millis::new(QUARANTINE_MS);
        }
        begins
    }

    /// Clears the rounds after an answer. Returns whether that ends a quarantine.
    pub(crate) fn clear(&mut self) -> bool {
        let quarantined = self.is_quarantined();
        self.rounds = 0;
        self.epoch = self.epoch.saturating_add(u16::from(quarantined));
        quarantined
    }

    /// Time left for the send that decides on a quarantine, if one may be in flight.
    pub(crate) fn decision_wait(&self, now: Millis) -> Option<Millis> {
        let until = self.last_growth + DECISION_TIMEOUT_MS;
        (self.rounds == QUARANTINE_ROUNDS - 1 && now < until).then(|| until - now)
    }

    pub(crate) fn trials(&self) -> u8 {
        self.trials
    }

    /// Time after which the caller should retry: at the next trial or, where operators have to release the request, at
    /// long intervals.
    pub(crate) fn retry_after(&self, now: Millis) -> Millis {
        match (self.next_trial - now, self.trials < MAX_TRIALS) {
            (Millis::ZERO, false) => Millis::new(QUARANTINE_MS),
            (wait, _) => wait.max(MIN_RETRY_AFTER_MS),
        }
    }

    /// Whether the request is quarantined and its wait for the next trial is over.
    pub(crate) fn is_trial_due(&self, now: Millis) -> bool {
        self.is_quarantined() && now >= self.next_trial
    }

    /// Records the start of a trial.
    pub(crate) fn trial_started(&mut self, now: Millis) {
        self.trials = self.trials.saturating_add(1);
        self.next_trial = now + Millis::new(QUARANTINE_MS << self.trials.min(8));
    }

    /// The state to report to other VMs, for the request and service of `of`.
    pub(crate) fn state(&self, now: Millis, of: QuarantineState) -> QuarantineState {
        let wait = u32::try_from((self.next_trial - now).as_whole_ms()).unwrap_or(u32::MAX);
        QuarantineState { epoch: self.epoch, trials: self.trials, wait, ..of }
    }

    /// Adopts another VM's state if it is newer, and returns whether it was.
    pub(crate) fn merge(&mut self, now: Millis, state: &QuarantineState) -> bool {
        let newer = (state.epoch, state.trials) > (self.epoch, self.trials);
        if newer {
            self.epoch = state.epoch;
            self.trials = state.trials;
            self.next_trial = now + Millis::new(u64::from(state.wait));
            self.rounds = if self.is_quarantined() { QUARANTINE_ROUNDS } else { 0 };
        }
        newer
    }
}
