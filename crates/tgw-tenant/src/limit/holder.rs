use super::{
    account::{Account, Borrowing, Role},
    message::{Decision, Message},
    ranking::{Knowledge, Standing},
    share::Terms,
};
use crate::Allowance;
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};
use tgw_clock::Millis;

/// Time without any call after which this VM counts as having been paused: it is called each 100 ms.
const PAUSE_THRESHOLD_MS: Millis = Millis::new(700);
/// Windows after which an unused account is dropped: one that starts anew has no more tokens than one that
/// was not used for so long.
const IDLE_WINDOWS: f64 = 2.0;

/// When a caller is to come back to a VM that knows no other one yet: most know some within 0.3 s of their start.
const STARTING_RETRY_MS: Millis = Millis::new(150);

/// Who asks about a request.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Asker {
    /// The VM that asks; `None` if this one does.
    pub vm: Option<SocketAddr>,
    /// The number of its question.
    pub number: u64,
}

/// What a VM has to do for the tenants whose requests it admits.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell an asker the decision.
    Decide(Asker, Decision),
    /// Send a message to another VM.
    Send(SocketAddr, Message),
}

/// The accounts of the tenants whose requests one VM admits.
#[derive(Debug, Default)]
pub struct Holder {
    terms: Terms,
    accounts: BTreeMap<Rc<str>, Account>,
    next_number: u64,
    called_at: Millis,
    /// When this VM last resumed after a pause.
    resumed_at: Millis,
}

/// A tenant's limit and this VM's standing in its admission.
#[derive(Copy, Clone, Debug)]
pub struct Case<'a> {
    /// The tenant's name.
    pub tenant: &'a Rc<str>,
    /// Its limit.
    pub allowance: Allowance,
    /// This VM's standing.
    pub standing: &'a Standing,
}

impl Holder {
    /// Creates a holder without accounts. `first_number` differs from process to process: a late reply to an
    /// earlier process of this VM must not be taken for one to this process.
    pub fn new(terms: Terms, first_number: u64) -> Self {
        Self { terms, next_number: first_number, ..Self::default() }
    }

    /// Replaces the operators' terms.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Number of tenants that this VM keeps an account of.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether this VM keeps no account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Notes that this VM runs, and drops accounts that are no longer used; to be called each 100 ms.
    pub fn tick(&mut self, now: Millis) {
        self.note_call(now);
        let idle = self.terms.window.mul_f64(IDLE_WINDOWS);
        self.accounts.retain(|_, account| !account.is_idle(now, idle));
    }

    /// Decides about a request, now or once tokens were borrowed.
    pub fn ask(&mut self, now: Millis, case: Case<'_>, asker: Asker, out: &mut Vec<Action>) {
        if case.standing.knowledge == Knowledge::Starting {
            let decision = Decision::Undecided { retry_after: STARTING_RETRY_MS };
            return out.push(Action::Decide(asker, decision));
        }
        let (account, role) = self.account(now, case);
        if let Some(decision) = account.ask(now, role, asker) {
            out.push(Action::Decide(asker, decision));
        }
        self.borrow_or_settle(now, case, out);
    }

    /// Takes the answer of a holder of another region.
    pub fn lent(
        &mut self,
        now: Millis,
        case: Case<'_>,
        number: u64,
        tokens: f64,
        out: &mut Vec<Action>,
    ) {
        let (account, role) = self.account(now, case);
        account.lent(now, role, number, tokens);
        self.borrow_or_settle(now, case, out);
    }

    /// Gives up tokens for a holder of another region.
    pub fn lend(&mut self, now: Millis, case: Case<'_>, wanted: f64) -> f64 {
        let (account, role) = self.account(now, case);
        account.lend(now, role, wanted)
    }

    /// Takes back the token of a request that was not sent.
    pub fn give_back(&mut self, now: Millis, case: Case<'_>) {
        let (account, role) = self.account(now, case);
        account.give_back(now, role);
    }

    /// Asks another region in place of one that has not answered, and decides about requests that wait in
    /// vain; to be called once the answer to [`Message::Borrow`] is overdue.
    pub fn loan_overdue(&mut self, now: Millis, case: Case<'_>, out: &mut Vec<Action>) {
        let (account, _) = self.account(now, case);
        account.expire_loan(now);
        self.borrow_or_settle(now, case, out);
    }

    fn borrow_or_settle(&mut self, now: Millis, case: Case<'_>, out: &mut Vec<Action>) {
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        let (account, role) = self.account(now, case);
        let mut decided = Vec::new();
        account.admit_waiting(&mut decided);
        if let Some(Borrowing { lender, number, tokens }) = account.borrow(now, role, number) {
            let tenant = case.tenant.clone();
            out.push(Action::Send(lender, Message::Borrow { number, tenant, tokens }));
        }
        account.refuse_waiting(now, role, &mut decided);
        out.extend(decided.into_iter().map(|(asker, decision)| Action::Decide(asker, decision)));
    }

    fn note_call(&mut self, now: Millis) {
        if now - self.called_at > PAUSE_THRESHOLD_MS {
            self.resumed_at = now;
        }
        self.called_at = now;
    }

    fn account<'a>(&'a mut self, now: Millis, case: Case<'a>) -> (&'a mut Account, Role<'a>) {
        self.note_call(now);
        let Self { terms, accounts, resumed_at, .. } = self;
        let Case { tenant, allowance, standing } = case;
        let role = Role { terms, allowance, standing };
        let account =
            accounts.entry(tenant.clone()).or_insert_with(|| Account::new(now, role, *resumed_at));
        account.note_call(now, role, *resumed_at);
        (account, role)
    }
}
