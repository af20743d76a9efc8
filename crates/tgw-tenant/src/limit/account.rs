use super::{
    holder::Asker,
    message::Decision,
    ranking::{SPREAD_TIME_MS, Standing},
    share::{Share, Terms},
    windows::Windows,
};
use crate::Allowance;
use smallvec::SmallVec;
use std::{collections::VecDeque, net::SocketAddr};
use tgw_clock::Millis;

/// Time for which a new holder admits less: by then all VMs of the region have seen the change, and the previous
/// holder has stopped.
const SETTLE_TIME_MS: Millis = Millis::new(1_000);
/// Time after which a holder of another region that was asked for tokens counts as silent: longer than a round
/// trip between regions.
pub const BORROW_TIMEOUT_MS: Millis = Millis::new(80);
/// Time for which no region is asked again after all have lent nothing.
const DRY_TIME_MS: Millis = Millis::new(200);
/// Most requests that wait for borrowed tokens.
const MAX_WAITING: usize = 256;
/// Time after which borrowed tokens are dropped, counted from the question: the lender counts them for as much longer
/// than its own, and half of it is left after a slow answer.
const LOAN_LIFETIME_MS: Millis = Millis::new(150);
/// Time by whose admissions a holder estimates what its region needs next.
const DEMAND_SPAN_MS: Millis = Millis::new(500);
/// Time for which a holder lends nothing after it had no token for a request of its own region.
const SHORT_TIME_MS: Millis = Millis::new(250);
/// Time after which a waiting request is refused instead of asking one more region: the answer would come after the
/// 60 ms for which a VM waits for the holder, which it would then take for silent.
const MAX_WAIT_MS: Millis = Millis::new(30);
/// Part of its tokens that a holder keeps at most when it lends.
const KEPT_PART: f64 = 0.5;
/// Part of a region's VMs that must answer for a refusal to be certain.
const CERTAIN_PART: f64 = 0.75;
/// Shortest and longest time after which a refused caller is asked to come back.
const MIN_RETRY_MS: Millis = Millis::new(50);
const MAX_RETRY_MS: Millis = Millis::new(5_000);
/// When a caller is to come back whose request could not be decided.
const UNDECIDED_RETRY_MS: Millis = Millis::new(150);
/// Rounding errors of sums of parts of tokens.
const EPSILON: f64 = 1e-9;

/// The tokens of one tenant at one VM.
#[derive(Debug)]
pub(super) struct Account {
    windows: Windows,
    /// Borrowed tokens, and until when they may be used. Their lender counts them.
    borrowed: SmallVec<[(Millis, f64); 4]>,
    /// Since when this VM has been the holder.
    holder_since: Option<Millis>,
    /// Requests that wait for borrowed tokens, and since when.
    waiting: VecDeque<(Millis, Asker)>,
    loan: Option<Loan>,
    /// Holders of other regions that have lent nothing since `dry_until` was last over.
    asked: SmallVec<[SocketAddr; 7]>,
    dry_until: Millis,
    /// When there was no token for a request last.
    short_at: Option<Millis>,
    /// When it was last called for.
    called_at: Millis,
}

/// Tokens that a holder of another region was asked for.
#[derive(Copy, Clone, Debug)]
struct Loan {
    number: u64,
    asked_at: Millis,
    tokens: f64,
}

/// A question to a holder of another region.
#[derive(Copy, Clone, Debug, PartialEq)]
pub(super) struct Borrowing {
    pub(super) lender: SocketAddr,
    pub(super) number: u64,
    pub(super) tokens: f64,
}

/// The limit of a tenant and this VM's part in it.
#[derive(Copy, Clone, Debug)]
pub(super) struct Role<'a> {
    pub(super) terms: &'a Terms,
    pub(super) allowance: Allowance,
    pub(super) standing: &'a Standing,
}

impl Account {
    /// The account of a tenant that was not asked about before. `resumed_at` is when this VM last began to run.
    pub(super) fn new(now: Millis, role: Role<'_>, resumed_at: Millis) -> Self {
        let since = role.standing.since.max(resumed_at);
        let holder_since = role.standing.is_holder.then_some(since);
        let tokens = role.share_since(since, holder_since).capacity;
        // Nobody else has admitted requests as the holder since the VMs of the region last changed.
        let begin = holder_since.map_or(now, |since| now.min(since + SETTLE_TIME_MS));
        let share = role.share_since(now, holder_since);
        let mut account = Self {
            windows: Windows::new(begin, role.terms.window, share, tokens),
            borrowed: SmallVec::new(),
            holder_since,
            waiting: VecDeque::new(),
            loan: None,
            asked: SmallVec::new(),
            dry_until: Millis::ZERO,
            short_at: None,
            called_at: now,
        };
        account.refill(now, role);
        account
    }

    /// Whether it was not called for during `span`.
    pub(super) fn is_idle(&self, now: Millis, span: Millis) -> bool {
        self.waiting.is_empty() && now - self.called_at > span
    }

    /// Notes that it is called for. If this VM did not run for a while until `resumed_at`, another one may have
    /// admitted requests meanwhile, and this one counts as a new holder.
    pub(super) fn note_call(&mut self, now: Millis, role: Role<'_>, resumed_at: Millis) {
        let called_before = std::mem::replace(&mut self.called_at, now);
        if called_before >= resumed_at {
            return;
        }
        self.holder_since = role.standing.is_holder.then_some(now);
        self.windows.cap(now, role.terms.backup_share(role.allowance).capacity);
    }

    /// Decides about one request; `None` if it has to wait for borrowed tokens.
    pub(super) fn ask(&mut self, now: Millis, role: Role<'_>, asker: Asker) -> Option<Decision> {
        self.refill(now, role);
        if self.waiting.is_empty() && self.admit_one(now) {
            return Some(Decision::Admitted);
        }
        self.short_at = Some(now);
        let may_borrow = now >= self.dry_until && !role.standing.lenders.is_empty();
        if may_borrow && self.waiting.len() < MAX_WAITING {
            self.waiting.push_back((now, asker));
            return None;
        }
        Some(self.refusal(now, role))
    }

    /// Asks another region for tokens if this one runs low.
    pub(super) fn borrow(&mut self, now: Millis, role: Role<'_>, number: u64) -> Option<Borrowing> {
        let pending = self.loan.is_some_and(|loan| now - loan.asked_at < BORROW_TIMEOUT_MS);
        let tokens = self.tokens(now);
        let soon = self.windows.admitted_since(now - DEMAND_SPAN_MS) * LOAN_LIFETIME_MS.as_f64()
            / DEMAND_SPAN_MS.as_f64();
        let wanted = self.waiting.len() as f64 + soon.floor();
        if pending || tokens >= wanted || now < self.dry_until {
            return None;
        }
        let Some(lender) = role.standing.lenders.iter().find(|l| !self.asked.contains(l)) else {
            self.asked.clear();
            self.dry_until = now + DRY_TIME_MS;
            return None;
        };
        self.asked.push(*lender);
        let tokens = wanted.max(1.0) - tokens;
        self.loan = Some(Loan { number, asked_at: now, tokens });
        Some(Borrowing { lender: *lender, number, tokens })
    }

    /// Takes tokens that a holder of another region has lent. Late ones are dropped: they would add up with
    /// those that were borrowed in their place.
    pub(super) fn lent(&mut self, now: Millis, role: Role<'_>, number: u64, tokens: f64) {
        let Some(loan) = self.loan.filter(|loan| loan.number == number) else { return };
        self.loan = None;
        if now - loan.asked_at > BORROW_TIMEOUT_MS || !tokens.is_finite() {
            return;
        }
        self.refill(now, role);
        let tokens = tokens.clamp(0.0, loan.tokens.max(0.0));
        self.borrowed.push((loan.asked_at + LOAN_LIFETIME_MS, tokens));
        if tokens >= loan.tokens.min(1.0) {
            self.asked.clear();
        }
    }

    /// Admits requests that wait, as far as there are tokens.
    pub(super) fn admit_waiting(&mut self, now: Millis, out: &mut Vec<(Asker, Decision)>) {
        while !self.waiting.is_empty() && self.admit_one(now) {
            out.extend(self.waiting.pop_front().map(|(_, asker)| (asker, Decision::Admitted)));
        }
    }

    /// Refuses requests that have waited for too long to wait for one more loan.
    pub(super) fn refuse_overdue(
        &mut self,
        now: Millis,
        role: Role<'_>,
        out: &mut Vec<(Asker, Decision)>,
    ) {
        let pending = self.loan.is_some_and(|loan| now - loan.asked_at < BORROW_TIMEOUT_MS);
        let is_overdue = |(since, _): &(Millis, Asker)| now - *since > MAX_WAIT_MS;
        if pending || !self.waiting.front().is_some_and(is_overdue) {
            return;
        }
        let refusal = self.refusal(now, role);
        let overdue = self.waiting.iter().take_while(|waiting| is_overdue(waiting)).count();
        out.extend(self.waiting.drain(..overdue).map(|(_, asker)| (asker, refusal)));
    }

    /// Refuses the requests that wait, unless tokens may still be lent.
    pub(super) fn refuse_waiting(
        &mut self,
        now: Millis,
        role: Role<'_>,
        out: &mut Vec<(Asker, Decision)>,
    ) {
        if self.loan.is_none() {
            let refusal = self.refusal(now, role);
            out.extend(self.waiting.drain(..).map(|(_, asker)| (asker, refusal)));
        }
    }

    /// Gives up tokens for another region: what this one leaves unused and at least half of what is left, if this VM
    /// is certain of them.
    pub(super) fn lend(&mut self, now: Millis, role: Role<'_>, wanted: f64) -> f64 {
        self.refill(now, role);
        let is_short = self.short_at.is_some_and(|at| now - at < SHORT_TIME_MS);
        let lends = self.is_settled(now) && !is_short && wanted.is_finite();
        let available = self.windows.available();
        let kept = self.windows.admitted_since(now - DEMAND_SPAN_MS).min(available * KEPT_PART);
        let mut lent = wanted.min(available - kept);
        if lent < wanted && self.windows.capacity() >= 1.0 {
            // Part of a token that does not complete one would expire unused.
            lent = lent.floor();
        }
        if !lends || lent <= 0.0 {
            return 0.0;
        }
        self.windows.give_up(now, lent, LOAN_LIFETIME_MS);
        lent
    }

    /// Takes back the token of a request that was never sent, unless an earlier process of this VM may have admitted it.
    pub(super) fn give_back(&mut self, now: Millis, role: Role<'_>, resumed_at: Millis) {
        self.refill(now, role);
        if now >= resumed_at + role.terms.window {
            self.windows.take_back();
        }
    }

    /// Drops a loan that was not answered in time.
    pub(super) fn expire_loan(&mut self, now: Millis) {
        if self.loan.is_some_and(|loan| now - loan.asked_at >= BORROW_TIMEOUT_MS) {
            self.loan = None;
        }
    }

    fn refill(&mut self, now: Millis, role: Role<'_>) {
        match (role.standing.is_holder, self.holder_since) {
            (true, None) => self.holder_since = Some(now),
            (false, Some(_)) => self.holder_since = None,
            _ => {}
        }
        let share = role.share_since(now, self.holder_since);
        let is_strict = now - role.standing.since < SPREAD_TIME_MS;
        self.windows.update(now, role.terms.window, share, is_strict);
        self.borrowed.retain(|(until, _)| now < *until);
    }

    /// What may be admitted now, with what is borrowed.
    fn tokens(&self, now: Millis) -> f64 {
        let usable = self.borrowed.iter().filter(|(until, _)| now < *until);
        usable.map(|(_, tokens)| tokens).sum::<f64>() + self.windows.available()
    }

    /// Admits a request if there is a token, a borrowed one first as those are soon lost.
    fn admit_one(&mut self, now: Millis) -> bool {
        if self.tokens(now) < 1.0 - EPSILON {
            return false;
        }
        let mut missing = 1.0;
        for (_, tokens) in self.borrowed.iter_mut().filter(|(until, _)| now < *until) {
            let used = tokens.min(missing);
            *tokens -= used;
            missing -= used;
        }
        self.windows.admit(now, missing);
        true
    }

    fn is_settled(&self, now: Millis) -> bool {
        is_settled(now, self.holder_since)
    }

    fn refusal(&self, now: Millis, role: Role<'_>) -> Decision {
        if !self.is_settled(now) || role.standing.live_part < CERTAIN_PART {
            return Decision::Undecided { retry_after: UNDECIDED_RETRY_MS };
        }
        let next = self.windows.next_token_in(now);
        Decision::OverLimit { retry_after: next.clamp(MIN_RETRY_MS, MAX_RETRY_MS) }
    }
}

impl Role<'_> {
    /// The share of a VM that has been the holder for a while; `None` if it is not.
    fn share_since(&self, now: Millis, holder_since: Option<Millis>) -> Share {
        let live = self.standing.live_part;
        match holder_since {
            Some(_) if is_settled(now, holder_since) => {
                self.terms.holder_share(self.allowance, live)
            }
            Some(_) => self.terms.new_holder_share(self.allowance, live),
            None => self.terms.backup_share(self.allowance),
        }
    }
}

fn is_settled(now: Millis, holder_since: Option<Millis>) -> bool {
    holder_since.is_some_and(|since| now - since >= SETTLE_TIME_MS)
}
