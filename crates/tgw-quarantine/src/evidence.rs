use crate::message::QuarantineState;
use tgw_clock::Millis;

/// Rounds after which a request is quarantined: the first sends of an attempt, which nothing could prevent, and two
/// more sends, each made alone and knowing of the round before.
///
/// An innocent request reaches this if three upstreams end by chance, or because of other requests, each within the
/// milliseconds in which it runs there and without an answer in between; its quarantine is not confirmed then. Two rounds
/// are reached by many searches that run beside a query of death.
pub const QUARANTINE_ROUNDS: u8 = 3;
/// Further rounds for a request that was answered shortly before the first: its answers outweigh as many ends.
const ANSWERED_ROUNDS: u8 = 3;
/// Time in ms for which a quarantined request rests until the reports on its upstreams are in: what other requests ran
/// on them, and which of those were answered since. Longer than requests last.
const SETTLE_MS: Millis = Millis::new(2_000);
/// Differences in ms between the trials of requests whose rests begin at once, as under one upstream, and their number.
const STAGGER_MS: u64 = 250;
const STAGGERS: u64 = 4;
/// Time in ms before a confirmed quarantine is first tried again; doubles with each trial that ends an upstream. Longer
/// than a rollback of the upstreams takes; operators can release it sooner.
const QUARANTINE_MS: u64 = 600_000;
/// Trials of a request whose quarantine is confirmed, by all VMs together; after that only operators release it. Each
/// trial may end an upstream, and the operators allow three sends in all once the request is known: the third is the
/// trial that confirms the quarantine.
pub(crate) const MAX_TRIALS: u8 = 2;

/// Shortest retry time in ms that a caller is given while another VM is about to try its request again.
const MIN_RETRY_AFTER_MS: Millis = Millis::new(1_000);
/// Time in ms for which a request that is one round below the limit is not started anew. It covers the send that
/// decides, made by another VM, and that VM's report: a caller answered by that VM reaches this one before the report
/// does, and its request would end one upstream more.
const DECISION_TIMEOUT_MS: Millis = Millis::new(500);

/// Time in ms after the last round for which a request without an answer is a suspect: above the time in which a
/// service of few upstreams has replaced the one that ended, and the new one is warm.
const SUSPICION_MS: Millis = Millis::new(10_000);

/// Greatest epoch that another VM can have reached. A greater one could not grow any more, and its quarantine never end.
const MAX_EPOCH: u16 = u16::MAX / 2;

/// Evidence against a request, at one service or at all.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Evidence {
    rounds: u8,
    /// Number of quarantines and releases so far: odd while the request is quarantined.
    epoch: u16,
    trials: u8,
    /// When the quarantine began.
    began: Millis,
    /// Time of the next trial.
    next_trial: Millis,
    /// Time at which `rounds` last grew.
    last_growth: Millis,
    /// Time of the last answer that cleared rounds.
    cleared: Option<Millis>,
    /// The request had been answered shortly before its first round.
    answered_before: bool,
    /// It is the request that ends the upstreams, not one that ran beside it.
    confirmed: bool,
    /// A confirmation was withdrawn, which happens once.
    withdrawn: bool,
}

impl Evidence {
    /// Number of rounds, including those that do not suffice for a quarantine.
    pub(crate) fn rounds(&self) -> u8 {
        self.rounds
    }

    /// Number of rounds as they limit sends: [`QUARANTINE_ROUNDS`] only in quarantine.
    pub(crate) fn limiting_rounds(&self) -> u8 {
        if self.is_quarantined() {
            QUARANTINE_ROUNDS
        } else {
            self.rounds.min(QUARANTINE_ROUNDS - 1)
        }
    }

    /// Rounds that begin a quarantine.
    pub(crate) fn max_rounds(&self) -> u8 {
        QUARANTINE_ROUNDS + if self.answered_before { ANSWERED_ROUNDS } else { 0 }
    }

    pub(crate) fn is_quarantined(&self) -> bool {
        self.epoch % 2 == 1
    }

    pub(crate) fn is_confirmed(&self) -> bool {
        self.is_quarantined() && self.confirmed
    }

    pub(crate) fn answered_before(&self) -> bool {
        self.answered_before
    }

    /// Records that an upstream ended under a send made with `known` rounds on record. Returns whether that begins a
    /// quarantine of the request with this `content`.
    pub(crate) fn upstream_ended(&mut self, now: Millis, known: u8, content: u64) -> bool {
        // A send from before an answer counts the rounds that the answer cleared.
        let is_stale = self.cleared.is_some_and(|at| now < at + SETTLE_MS);
        let known = if is_stale { known.min(self.rounds) } else { known };
        let rounds = known.saturating_add(1).min(self.max_rounds());
        if rounds > self.rounds {
            self.rounds = rounds;
            self.last_growth = now;
        }
        if self.rounds < self.max_rounds() || self.is_quarantined() {
            return false;
        }
        self.epoch = self.epoch.saturating_add(1);
        self.trials = 0;
        self.confirmed = false;
        self.began = now;
        let rest = SETTLE_MS + Millis::new(content % STAGGERS * STAGGER_MS);
        self.next_trial = now + rest;
        true
    }

    /// Clears the rounds after an answer. Returns whether that ends a quarantine.
    pub(crate) fn clear(&mut self, now: Millis) -> bool {
        let quarantined = self.is_quarantined();
        if self.rounds > 0 {
            self.cleared = Some(now);
        }
        self.rounds = 0;
        self.epoch = self.epoch.saturating_add(u16::from(quarantined));
        quarantined
    }

    /// Records that the request had been answered before its first round. Returns whether that was new, and whether it
    /// ends a quarantine.
    pub(crate) fn record_earlier_answer(&mut self) -> (bool, bool) {
        let is_new = !std::mem::replace(&mut self.answered_before, true);
        let releases = is_new && self.is_quarantined() && self.rounds < self.max_rounds();
        self.epoch = self.epoch.saturating_add(u16::from(releases));
        (is_new, releases)
    }

    /// Makes the next trial due: another request ended one of the upstreams. Returns whether that withdraws a
    /// confirmation, which is a new quarantine.
    pub(crate) fn excuse(&mut self, now: Millis) -> bool {
        let withdrawn = self.is_confirmed() && !self.withdrawn;
        if withdrawn {
            self.withdrawn = true;
            self.epoch = self.epoch.saturating_add(2);
            self.confirmed = false;
            self.trials = 0;
        }
        if self.is_quarantined() && !self.confirmed {
            self.next_trial = self.next_trial.min(now);
        }
        withdrawn
    }

    /// Time of the last round, if the next one decides on a quarantine.
    pub(crate) fn last_round_before_decision(&self) -> Option<Millis> {
        let decides = self.rounds + 1 == self.max_rounds() && !self.is_quarantined();
        decides.then_some(self.last_growth)
    }

    /// Whether upstreams ended under the request lately, and nothing but that is known of it.
    pub(crate) fn is_suspect(&self, now: Millis) -> bool {
        let undecided = self.rounds > 0 && !self.is_quarantined() && !self.answered_before;
        undecided && now < self.last_growth + SUSPICION_MS
    }

    /// Time left for the send that decides on a quarantine, if one may be in flight.
    pub(crate) fn decision_wait(&self, now: Millis) -> Option<Millis> {
        let until = self.last_growth + DECISION_TIMEOUT_MS;
        (self.rounds + 1 == self.max_rounds() && now < until).then(|| until - now)
    }

    pub(crate) fn trials(&self) -> u8 {
        self.trials
    }

    /// Time after which the caller should retry: at the next trial or, where operators have to release the request, at
    /// long intervals.
    pub(crate) fn retry_after(&self, now: Millis) -> Millis {
        match (self.next_trial - now, self.is_exhausted()) {
            (Millis::ZERO, true) => Millis::new(QUARANTINE_MS),
            (wait, _) => wait.max(MIN_RETRY_AFTER_MS),
        }
    }

    /// How long a trial of the request has been due, if it is.
    pub(crate) fn overdue(&self, now: Millis) -> Option<Millis> {
        (self.is_quarantined() && now >= self.next_trial).then(|| now - self.next_trial)
    }

    /// Whether no trial is left.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.confirmed && self.trials >= MAX_TRIALS
    }

    /// Records the start of a trial.
    pub(crate) fn trial_started(&mut self, now: Millis) {
        self.trials = self.trials.saturating_add(1);
        let wait = if self.confirmed { Millis::new(QUARANTINE_MS) } else { SETTLE_MS };
        self.next_trial = now + Millis::new(wait.as_whole_ms() << self.trials.min(8));
    }

    /// Confirms the quarantine.
    pub(crate) fn confirm(&mut self) {
        self.confirmed = true;
        self.trials = self.trials.min(1);
        self.next_trial = self.began + Millis::new(QUARANTINE_MS);
    }

    /// The state to report to other VMs, for the request and service of `of`.
    pub(crate) fn state(&self, now: Millis, of: QuarantineState) -> QuarantineState {
        let wait = u32::try_from((self.next_trial - now).as_whole_ms()).unwrap_or(u32::MAX);
        let Self { epoch, confirmed, trials, .. } = *self;
        QuarantineState { epoch, confirmed, trials, wait, ..of }
    }

    /// Adopts another VM's state if it is newer, and returns whether it was.
    pub(crate) fn merge(&mut self, now: Millis, state: &QuarantineState) -> bool {
        let newer = state.epoch <= MAX_EPOCH
            && (state.epoch, state.confirmed, state.trials)
                > (self.epoch, self.confirmed, self.trials);
        if newer {
            if state.epoch > self.epoch {
                self.began = now;
            }
            self.epoch = state.epoch;
            self.confirmed = state.confirmed;
            self.trials = state.trials;
            self.next_trial = now + Millis::new(u64::from(state.wait));
            self.rounds = if self.is_quarantined() { self.max_rounds() } else { 0 };
        }
        newer
    }
}
