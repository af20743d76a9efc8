use super::{
    bucket::Bucket,
    holder::Asker,
    message::Decision,
    ranking::{Knowledge, Standing},
    share::{Share, Terms},
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
const DRY_TIME_MS: Millis = Millis::new(500);
/// Most requests that wait for borrowed tokens.
const MAX_WAITING: usize = 256;
/// Part of the capacity below which tokens are borrowed before they are needed.
const LOW_PART: f64 = 0.25;
/// Part of its tokens that a holder lends at once.
const LENT_PART: f64 = 0.5;
/// Part of a region's VMs that must answer for a refusal to be certain.
const CERTAIN_PART: f64 = 0.75;
/// Shortest and longest time after which a refused caller is asked to come back.
const MIN_RETRY_MS: Millis = Millis::new(50);
const MAX_RETRY_MS: Millis = Millis::new(5_000);
/// When a caller is to come back whose request could not be decided.
const UNDECIDED_RETRY_MS: Millis = Millis::new(150);

/// The tokens of one tenant at one VM.
#[derive(Debug)]
pub(super) struct Account {
    bucket: Bucket,
    /// Since when this VM has been the holder.
    holder_since: Option<Millis>,
    waiting: VecDeque<Asker>,
    loan: Option<Loan>,
    /// Holders of other regions that have lent nothing since `dry_until` was last over.
    asked: SmallVec<[SocketAddr; 7]>,
    dry_until: Millis,
    /// When it was last called for.
    called_at: Millis,
}

/// Tokens that a holder of another region was asked for.
#[derive(Copy, Clone, Debug)]
struct Loan {
    number: u64,
    asked_at: Millis,
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

impl Role<'_> {
    /// The share of a VM that is not the holder.
    fn unheld_share(&self) -> Share {
        match self.standing.knowledge {
            Knowledge::Informed => self.terms.backup_share(self.allowance),
            Knowledge::Starting | Knowledge::Unknown => self.terms.uninformed_share(self.allowance),
        }
    }
}

impl Account {
    /// The account of a tenant that was not asked about before. `resumed_at` is when this VM last began to run.
    pub(super) fn new(now: Millis, role: Role<'_>, resumed_at: Millis) -> Self {
        let since = role.standing.since.max(resumed_at);
        let holder_since = role.standing.is_holder.then_some(since);
        let share = match holder_since {
            Some(_) => role.terms.new_holder_share(role.allowance, role.standing.live_part),
            None => role.unheld_share(),
        };
        let tokens = share.capacity;
        let mut account = Self {
            bucket: Bucket::new(now, tokens),
            holder_since,
            waiting: VecDeque::new(),
            loan: None,
            asked: SmallVec::new(),
            dry_until: Millis::ZERO,
            called_at: now,
        };
        // Nobody else has admitted requests as the holder since the VMs of the region last changed.
        if let Some(settled_at) = holder_since.map(|since| since + SETTLE_TIME_MS) {
            account.bucket = Bucket::new(settled_at.min(now), tokens);
        }
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
        self.bucket.cap(role.unheld_share().capacity);
        self.bucket = Bucket::new(now, self.bucket.tokens());
    }

    /// Decides about one request; `None` if it has to wait for borrowed tokens.
    pub(super) fn ask(&mut self, now: Millis, role: Role<'_>, asker: Asker) -> Option<Decision> {
        self.refill(now, role);
        if self.waiting.is_empty() && self.bucket.take_one() {
            return Some(Decision::Admitted);
        }
        let may_borrow = now >= self.dry_until && !role.standing.lenders.is_empty();
        if may_borrow && self.waiting.len() < MAX_WAITING {
            self.waiting.push_back(asker);
            return None;
        }
        Some(self.refusal(now, role))
    }

    /// Asks another region for tokens if this one runs low.
    pub(super) fn borrow(&mut self, now: Millis, role: Role<'_>, number: u64) -> Option<Borrowing> {
        let pending = self.loan.is_some_and(|loan| now - loan.asked_at < BORROW_TIMEOUT_MS);
        let capacity = self.share(now, role).capacity;
        let low = self.bucket.tokens() < (capacity * LOW_PART).max(1.0);
        if pending || !low || now < self.dry_until {
            return None;
        }
        let Some(lender) = role.standing.lenders.iter().find(|l| !self.asked.contains(l)) else {
            self.asked.clear();
            self.dry_until = now + DRY_TIME_MS;
            return None;
        };
        self.asked.push(*lender);
        self.loan = Some(Loan { number, asked_at: now });
        let wanted = self.waiting.len() as f64 + capacity.max(1.0);
        Some(Borrowing { lender: *lender, number, tokens: wanted - self.bucket.tokens() })
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
        self.bucket.credit(tokens.max(0.0));
        if tokens >= 1.0 {
            self.asked.clear();
        }
    }

    /// Admits requests that wait, as far as there are tokens.
    pub(super) fn admit_waiting(&mut self, out: &mut Vec<(Asker, Decision)>) {
        while !self.waiting.is_empty() && self.bucket.take_one() {
            out.extend(self.waiting.pop_front().map(|asker| (asker, Decision::Admitted)));
        }
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
            out.extend(self.waiting.drain(..).map(|asker| (asker, refusal)));
        }
    }

    /// Gives up tokens for another region: part of those that are left, if this VM is certain of them.
    pub(super) fn lend(&mut self, now: Millis, role: Role<'_>, wanted: f64) -> f64 {
        self.refill(now, role);
        let lends = self.is_settled(now) && self.waiting.is_empty() && wanted.is_finite();
        if lends { self.bucket.take_part(wanted, LENT_PART) } else { 0.0 }
    }

    /// Takes back the token of a request that was never sent.
    pub(super) fn give_back(&mut self, now: Millis, role: Role<'_>) {
        self.refill(now, role);
        self.bucket.credit(1.0);
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
            (false, Some(_)) => {
                self.holder_since = None;
                self.bucket.cap(role.unheld_share().capacity);
            }
            _ => {}
        }
        let share = self.share(now, role);
        self.bucket.refill(now, share);
    }

    fn is_settled(&self, now: Millis) -> bool {
        self.holder_since.is_some_and(|since| now - since >= SETTLE_TIME_MS)
    }

    fn share(&self, now: Millis, role: Role<'_>) -> Share {
        let live = role.standing.live_part;
        match self.holder_since {
            Some(_) if self.is_settled(now) => role.terms.holder_share(role.allowance, live),
            Some(_) => role.terms.new_holder_share(role.allowance, live),
            None => role.unheld_share(),
        }
    }

    fn refusal(&self, now: Millis, role: Role<'_>) -> Decision {
        if !self.is_settled(now) || role.standing.live_part < CERTAIN_PART {
            return Decision::Undecided { retry_after: UNDECIDED_RETRY_MS };
        }
        let next = self.bucket.next_token_in(self.share(now, role));
        Decision::OverLimit { retry_after: next.clamp(MIN_RETRY_MS, MAX_RETRY_MS) }
    }
}
