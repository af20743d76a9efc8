use crate::message::Hold;
use tgw_clock::Millis;

/// Rounds after which a request is held back: the first sends of an attempt, which nothing could spare, and two more
/// sends, each made alone and knowing of the one before.
///
/// An innocent request meets that only if three upstreams end by chance, each within the milliseconds in which it
/// runs there, and none answers it between. Two would be met by searches that run beside a deadly one.
pub const LIMIT: u8 = 3;
/// Time in ms for which a request is held back at first; doubles with each trial that ends an upstream. Longer than
/// a rollback of the upstreams takes; operators let it go sooner.
const HOLD_MS: u64 = 600_000;
/// Times that a request is tried again, all VMs together; then only operators let it go. Each may end an upstream,
/// and the operators allow three sends in all once it is known.
pub(crate) const TRIALS: u8 = 2;

/// What a caller is told to wait at least, in ms, where another VM is about to try its request again.
const RETURN_LEAST: Millis = Millis::new(1_000);
/// Time in ms for which a request one round short of being held back is not begun anew: longer than the send that
/// decides, at the VM that makes it, and the word of it. Its caller, answered by that VM, comes to another one before
/// the word does, and would end one upstream more.
const PENDING: Millis = Millis::new(500);

/// How far the evidence against a request has come.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Mark {
    rounds: u8,
    /// How often it was held back and let go: odd while it is held back.
    turn: u16,
    trials: u8,
    /// When it may be tried again.
    next: Millis,
    /// When its rounds last grew.
    grown: Millis,
}

impl Mark {
    pub(crate) fn rounds(&self) -> u8 {
        self.rounds
    }

    pub(crate) fn held(&self) -> bool {
        self.turn % 2 == 1
    }

    /// An upstream ended under a send that knew of `seen` rounds. Whether it is held back from now on.
    pub(crate) fn ended(&mut self, now: Millis, seen: u8) -> bool {
        let rounds = seen.saturating_add(1).min(LIMIT);
        if rounds > self.rounds {
            self.rounds = rounds;
            self.grown = now;
        }
        let begins = self.rounds >= LIMIT && !self.held();
        if begins {
            self.turn = self.turn.saturating_add(1);
            self.trials = 0;
            self.next = now + Millis::new(HOLD_MS);
        }
        begins
    }

    /// It was answered. Whether it is let go by that.
    pub(crate) fn answered(&mut self) -> bool {
        let held = self.held();
        self.rounds = 0;
        self.turn = self.turn.saturating_add(u16::from(held));
        held
    }

    /// Time until it is decided whether it is held back, if that is about to be.
    pub(crate) fn pending(&self, now: Millis) -> Option<Millis> {
        let until = self.grown + PENDING;
        (self.rounds == LIMIT - 1 && now < until).then(|| until - now)
    }

    pub(crate) fn trials(&self) -> u8 {
        self.trials
    }

    /// When its caller should come back: once it is tried again, or, where operators have to say so, now and then.
    pub(crate) fn wait(&self, now: Millis) -> Millis {
        match (self.next - now, self.trials < TRIALS) {
            (Millis::ZERO, false) => Millis::new(HOLD_MS),
            (wait, _) => wait.max(RETURN_LEAST),
        }
    }

    /// Whether its time has come to be tried again, if that is allowed.
    pub(crate) fn due(&self, now: Millis) -> bool {
        self.held() && now >= self.next
    }

    /// It is being tried again.
    pub(crate) fn tried(&mut self, now: Millis) {
        self.trials = self.trials.saturating_add(1);
        self.next = now + Millis::new(HOLD_MS << self.trials.min(8));
    }

    /// What other VMs are told of it.
    pub(crate) fn hold(&self, now: Millis, of: Hold) -> Hold {
        let wait = u32::try_from((self.next - now).whole()).unwrap_or(u32::MAX);
        Hold { turn: self.turn, trials: self.trials, wait, ..of }
    }

    /// Takes over what another VM knows. Whether that is newer.
    pub(crate) fn merge(&mut self, now: Millis, hold: &Hold) -> bool {
        let newer = (hold.turn, hold.trials) > (self.turn, self.trials);
        if newer {
            self.turn = hold.turn;
            self.trials = hold.trials;
            self.next = now + Millis::new(u64::from(hold.wait));
            self.rounds = if self.held() { LIMIT } else { 0 };
        }
        newer
    }
}
