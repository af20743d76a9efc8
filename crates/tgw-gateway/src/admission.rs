use crate::shared::Shared;
use smallvec::SmallVec;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tgw_clock::Millis;
use tgw_spread::message::Datagram;
use tgw_tenant::{
    Allowance, Tenant,
    limit::{
        Action, Asker, BORROW_TIMEOUT_MS, Case, Decision, Holder, Knowledge, Message, Ranking,
        Standing, Terms,
        ranking::{Candidate, MAX_RANKED},
    },
};
use tokio::{
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    time::{sleep, timeout},
};

/// Time after which the next VM is asked in place of one that does not answer: longer than a decision for which
/// the holder asks another region.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which a VM that did not answer is not asked first again.
const SILENCE_MS: Millis = Millis::new(1_000);
/// When a caller is to come back whose request no VM decided about.
const UNANSWERED_RETRY_MS: Millis = Millis::new(150);

/// Admission of tenants' requests: the questions of this VM, and the accounts that it keeps.
pub(crate) struct Admission {
    holder: RefCell<Holder>,
    ranking: RefCell<Ranking>,
    next_number: Cell<u64>,
    /// Questions without an answer, by number.
    pending: RefCell<HashMap<u64, UnboundedSender<Answer>>>,
    /// VMs that did not answer, until when they are not asked first.
    silent: RefCell<HashMap<SocketAddr, Millis>>,
}

/// An admitted request. Its token is returned unless the request was sent.
pub(crate) struct Admitted {
    shared: Rc<Shared>,
    tenant: Rc<str>,
    /// The VM that admitted it; `None` if this one did.
    by: Option<SocketAddr>,
}

/// One VM's answer to a question.
#[derive(Copy, Clone, Debug)]
struct Answer {
    by: Option<SocketAddr>,
    decision: Decision,
}

/// Why a request is not admitted.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) kind: RefusalKind,
    pub(crate) retry_after: Millis,
    /// The VM that decided; `None` if this one did, or none.
    pub(crate) by: Option<SocketAddr>,
}

/// The reason for a [`Refusal`].
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum RefusalKind {
    /// It exceeds its tenant's limit.
    OverLimit,
    /// No VM could tell.
    Undecided,
}

impl Admission {
    pub(crate) fn new(terms: Terms) -> Self {
        Self {
            holder: RefCell::new(Holder::new(terms, rand::random())),
            ranking: RefCell::default(),
            next_number: Cell::new(rand::random()),
            pending: RefCell::default(),
            silent: RefCell::default(),
        }
    }

    /// What this VM knows of the others.
    pub(crate) fn knowledge(&self) -> Knowledge {
        self.ranking.borrow().knowledge()
    }

    /// The number of tenants that this VM keeps an account of.
    pub(crate) fn accounts(&self) -> usize {
        self.holder.borrow().len()
    }

    pub(crate) fn set_terms(&self, terms: Terms) {
        self.holder.borrow_mut().set_terms(terms);
    }

    /// Takes over the VMs of this region, and of the others by the number of their region.
    pub(crate) fn set_vms(
        &self,
        now: Millis,
        own: u64,
        region: Vec<Candidate>,
        other_regions: BTreeMap<u8, Vec<Candidate>>,
        knowledge: Knowledge,
    ) {
        self.ranking.borrow_mut().update(now, own, region, other_regions, knowledge);
    }

    /// Periodic work: drops what is no longer needed.
    pub(crate) fn tick(&self, now: Millis) {
        self.holder.borrow_mut().tick(now);
        self.silent.borrow_mut().retain(|_, until| now < *until);
    }

    /// The VMs to ask about a tenant, in their order; `None` stands for this VM.
    fn order(&self, tenant: &str) -> SmallVec<[Option<SocketAddr>; MAX_RANKED]> {
        let ranking = self.ranking.borrow();
        let silent = self.silent.borrow();
        let mut ranked = ranking.ranked(tenant);
        ranked.sort_by_key(|candidate| silent.contains_key(&candidate.addr));
        ranked.iter().map(|c| (!ranking.is_own(c)).then_some(c.addr)).collect()
    }
}

/// Admits a request within its tenant's limit.
pub(crate) async fn admit(
    shared: &Rc<Shared>,
    tenant: &Tenant,
) -> Result<Option<Admitted>, Refusal> {
    if tenant.allowance.is_none() {
        return Ok(None);
    }
    let (sender, mut answers) = mpsc::unbounded_channel();
    let asked = Asked { shared, numbers: RefCell::default() };
    let order = shared.admission.order(&tenant.name);
    let mut refusal =
        Refusal { kind: RefusalKind::Undecided, retry_after: UNANSWERED_RETRY_MS, by: None };
    for to in order {
        asked.ask(&tenant.name, to, &sender);
        match timeout(ASK_TIMEOUT, answers.recv()).await {
            Ok(Some(Answer { by, decision: Decision::Admitted })) => {
                asked.return_later_tokens(&tenant.name, answers);
                let tenant = tenant.name.clone();
                return Ok(Some(Admitted { shared: shared.clone(), tenant, by }));
            }
            Ok(Some(Answer { by, decision: Decision::OverLimit { retry_after } })) => {
                return Err(Refusal { kind: RefusalKind::OverLimit, retry_after, by });
            }
            Ok(Some(Answer { by, decision: Decision::Undecided { retry_after } })) => {
                refusal = Refusal { retry_after, by, ..refusal };
            }
            Ok(None) => break,
            Err(_) => {
                if let Some(silent) = to {
                    let until = shared.now() + SILENCE_MS;
                    shared.admission.silent.borrow_mut().insert(silent, until);
                }
            }
        }
    }
    Err(refusal)
}

/// The questions about one request. Dropping it forgets those without an answer.
struct Asked<'a> {
    shared: &'a Rc<Shared>,
    numbers: RefCell<SmallVec<[u64; MAX_RANKED]>>,
}

impl Asked<'_> {
    fn ask(&self, tenant: &Rc<str>, to: Option<SocketAddr>, sender: &UnboundedSender<Answer>) {
        let admission = &self.shared.admission;
        let number = admission.next_number.get().wrapping_add(1);
        admission.next_number.set(number);
        admission.pending.borrow_mut().insert(number, sender.clone());
        self.numbers.borrow_mut().push(number);
        match to {
            Some(addr) => {
                let tenant = tenant.clone();
                let message = Message::Ask { number, tenant };
                self.shared.packets.send(addr, &Datagram::Limit(message));
            }
            None => ask_here(self.shared, tenant, Asker { vm: None, number }),
        }
    }

    /// Returns what VMs admit that are slow to answer, as one has admitted the request already.
    fn return_later_tokens(self, tenant: &Rc<str>, mut answers: UnboundedReceiver<Answer>) {
        if self.numbers.borrow().len() < 2 {
            return;
        }
        let (shared, tenant) = (self.shared.clone(), tenant.clone());
        let numbers = self.numbers.take();
        tokio::task::spawn_local(async move {
            let asked = Asked { shared: &shared, numbers: RefCell::new(numbers) };
            while let Ok(Some(Answer { by, decision })) = timeout(ASK_TIMEOUT, answers.recv()).await
            {
                if decision == Decision::Admitted {
                    give_back(asked.shared, &tenant, by);
                }
            }
        });
    }
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        let mut pending = self.shared.admission.pending.borrow_mut();
        for number in self.numbers.borrow().iter() {
            pending.remove(number);
        }
    }
}

impl Admitted {
    /// Returns the token: the request was not sent to any upstream, and never will be.
    pub(crate) fn give_back(self) {
        give_back(&self.shared, &self.tenant, self.by);
    }
}

fn give_back(shared: &Rc<Shared>, tenant: &Rc<str>, by: Option<SocketAddr>) {
    match by {
        Some(addr) => {
            let message = Message::Returned { tenant: tenant.clone() };
            shared.packets.send(addr, &Datagram::Limit(message));
        }
        None => {
            with_case(shared, tenant, |now, holder, case| holder.give_back(now, case));
        }
    }
}

/// Handles a message of another VM.
pub(crate) fn on_message(shared: &Rc<Shared>, from: SocketAddr, message: Message) {
    match message {
        Message::Ask { number, tenant } => {
            ask_here(shared, &tenant, Asker { vm: Some(from), number });
        }
        Message::Decided { number, decision } => {
            answer(shared, number, Answer { by: Some(from), decision });
        }
        Message::Borrow { number, tenant, tokens: wanted } => {
            let lend = |now, holder: &mut Holder, case: Case<'_>| holder.lend(now, case, wanted);
            let tokens = with_case(shared, &tenant, lend).unwrap_or_default();
            let message = Message::Lent { number, tenant, tokens };
            shared.packets.send(from, &Datagram::Limit(message));
        }
        Message::Lent { number, tenant, tokens } => {
            let mut actions = Vec::new();
            with_case(shared, &tenant, |now, holder, case| {
                holder.lent(now, case, number, tokens, &mut actions);
            });
            carry_out(shared, &tenant, actions);
        }
        Message::Returned { tenant } => {
            with_case(shared, &tenant, |now, holder, case| holder.give_back(now, case));
        }
    }
}

fn ask_here(shared: &Rc<Shared>, tenant: &Rc<str>, asker: Asker) {
    let mut actions = Vec::new();
    let known = with_case(shared, tenant, |now, holder, case| {
        holder.ask(now, case, asker, &mut actions);
    });
    if known.is_none() {
        // This VM's configuration is older or newer than that of the VM that asks.
        let decision = Decision::Undecided { retry_after: UNANSWERED_RETRY_MS };
        actions.push(Action::Decide(asker, decision));
    }
    carry_out(shared, tenant, actions);
}

/// Calls `f` with the limit of a tenant; `None` if this VM knows of none.
fn with_case<T>(
    shared: &Shared,
    tenant: &Rc<str>,
    f: impl FnOnce(Millis, &mut Holder, Case<'_>) -> T,
) -> Option<T> {
    let allowance: Allowance = {
        let config = shared.config.borrow();
        config.tenants.as_ref()?.tenant(tenant)?.allowance?
    };
    let standing: Standing = shared.admission.ranking.borrow().standing(tenant);
    let case = Case { tenant, allowance, standing: &standing };
    Some(f(shared.now(), &mut shared.admission.holder.borrow_mut(), case))
}

fn carry_out(shared: &Rc<Shared>, tenant: &Rc<str>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Decide(Asker { vm: Some(addr), number }, decision) => {
                let message = Message::Decided { number, decision };
                shared.packets.send(addr, &Datagram::Limit(message));
            }
            Action::Decide(Asker { vm: None, number }, decision) => {
                answer(shared, number, Answer { by: None, decision });
            }
            Action::Send(addr, message) => {
                shared.packets.send(addr, &Datagram::Limit(message));
                watch_loan(shared.clone(), tenant.clone());
            }
        }
    }
}

/// Continues without a loan that is not answered in time.
fn watch_loan(shared: Rc<Shared>, tenant: Rc<str>) {
    tokio::task::spawn_local(async move {
        sleep(BORROW_TIMEOUT_MS.into()).await;
        let mut actions = Vec::new();
        with_case(&shared, &tenant, |now, holder, case| {
            holder.loan_overdue(now, case, &mut actions);
        });
        carry_out(&shared, &tenant, actions);
    });
}

fn answer(shared: &Shared, number: u64, answer: Answer) {
    if let Some(sender) = shared.admission.pending.borrow_mut().remove(&number) {
        // The request may just have been answered, or its caller have left.
        let _ = sender.send(answer);
    }
}
