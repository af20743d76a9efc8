use std::{collections::BTreeMap, rc::Rc};
use tgw_clock::Millis;

/// The time constant by which use decays: long beside the latency targets, so that the use of a tenant with few
/// queries is seen, and short beside what a caller remembers.
const USE_DECAY: Millis = Millis::new(4000);

/// The time constant by which the numbers of queries decay. A tenant with a query each two seconds has the four that
/// a quarter needs.
const COUNT_DECAY: Millis = Millis::new(10_000);

/// The resolution of decay: the cost of decaying all accounts does not depend on the number of queries.
const TICK_MS: u64 = 10;

/// Ticks between two sweeps for accounts that have decayed.
const SWEEP_TICKS: u64 = 100;

/// The use and the number of queries below which an account is dropped.
const DROPPED: f64 = 0.01;

/// The number of accounts at most; further tenants count as requests without a tenant.
const MAX_ACCOUNTS: usize = 4096;

/// The bounds of a weight.
const WEIGHTS: (f64, f64) = (0.01, 100.0);

/// The fraction of how often all are served that each tenant is served at least: a quarter, and a margin, as the
/// rule acts only once a tenant is below it and would settle just under the quarter.
const LEAST_SERVED: f64 = 0.3;

/// The position of an account. Positions are reused once an account is dropped.
pub(super) type Account = u32;

/// The account of requests without a tenant, which is never dropped.
const WITHOUT_TENANT: Account = 0;

/// How many queries came to an end, and how many of them were served.
#[derive(Copy, Clone, Debug, Default)]
struct Counts {
    ended: f64,
    served: f64,
}

impl Counts {
    fn decay(&mut self, factor: f64) {
        self.ended *= factor;
        self.served *= factor;
    }

    fn served_fraction(&self) -> f64 {
        if self.ended > 0.0 { self.served / self.ended } else { 1.0 }
    }
}

#[derive(Debug)]
struct State {
    /// None if the position is free.
    tenant: Option<Rc<str>>,
    /// The use at this VM.
    used: f64,
    /// The use at other VMs.
    remote: f64,
    weight: f64,
    counts: Counts,
    /// The entries and reports that refer to it.
    references: usize,
}

impl State {
    fn new(tenant: Option<Rc<str>>, weight: f64) -> Self {
        Self { tenant, used: 0.0, remote: 0.0, weight, counts: Counts::default(), references: 0 }
    }

    fn is_decayed(&self) -> bool {
        self.references == 0 && self.used < DROPPED && self.counts.ended < DROPPED
    }
}

/// The use of a tenant at one time, and its weight.
#[derive(Copy, Clone, Debug)]
pub(super) struct Share {
    own: f64,
    remote: f64,
    weight: f64,
}

impl Share {
    /// Adds use at this VM, as [`Accounts::record_served`] does.
    pub(super) fn charge(&mut self, cost: f64) {
        self.own += cost;
    }

    /// The use by weight.
    pub(super) fn weighted(&self) -> f64 {
        (self.own + self.remote) / self.weight
    }
}

/// The accounts of the tenants with recent use.
#[derive(Debug)]
pub(super) struct Accounts {
    states: Vec<State>,
    by_tenant: BTreeMap<Rc<str>, Account>,
    free: Vec<Account>,
    weights: BTreeMap<Rc<str>, f64>,
    total: Counts,
    tick: u64,
    swept: u64,
}

impl Default for Accounts {
    fn default() -> Self {
        Self {
            states: vec![State::new(None, 1.0)],
            by_tenant: BTreeMap::new(),
            free: Vec::new(),
            weights: BTreeMap::new(),
            total: Counts::default(),
            tick: 0,
            swept: 0,
        }
    }
}

impl Accounts {
    /// The account of a tenant, which is kept until it is closed as often as opened and has decayed.
    pub(super) fn open(&mut self, tenant: Option<&Rc<str>>) -> Account {
        let account = self.find(tenant).unwrap_or_else(|| self.create(tenant));
        if let Some(state) = self.state_mut(account) {
            state.references += 1;
        }
        account
    }

    /// As [`Accounts::open`], unless there are as many accounts as there may be.
    pub(super) fn open_if_room(&mut self, tenant: Option<&Rc<str>>) -> Option<Account> {
        let exists = tenant.is_none_or(|tenant| self.by_tenant.contains_key(tenant));
        (exists || !self.is_full()).then(|| self.open(tenant))
    }

    /// Undoes one [`Accounts::open`].
    pub(super) fn close(&mut self, account: Account) {
        if let Some(state) = self.state_mut(account) {
            state.references = state.references.saturating_sub(1);
        }
    }

    /// The account of a tenant, if it has one.
    pub(super) fn find(&self, tenant: Option<&Rc<str>>) -> Option<Account> {
        let Some(tenant) = tenant else { return Some(WITHOUT_TENANT) };
        let account = self.by_tenant.get(tenant).copied();
        account.or_else(|| self.is_full().then_some(WITHOUT_TENANT))
    }

    /// Charges a query that is admitted.
    pub(super) fn record_served(&mut self, account: Account, cost: f64) {
        self.total.ended += 1.0;
        self.total.served += 1.0;
        if let Some(state) = self.state_mut(account) {
            state.used += cost;
            state.counts.ended += 1.0;
            state.counts.served += 1.0;
        }
    }

    /// Counts a query that is not admitted.
    pub(super) fn record_lost(&mut self, account: Account) {
        self.total.ended += 1.0;
        if let Some(state) = self.state_mut(account) {
            state.counts.ended += 1.0;
        }
    }

    /// Whether one more query served leaves the tenant at no more than [`LEAST_SERVED`] of how often all are served.
    pub(super) fn is_underserved(&self, account: Account) -> bool {
        let least = LEAST_SERVED * self.total.served_fraction();
        self.state(account).is_some_and(|s| s.counts.served + 1.0 <= least * s.counts.ended)
    }

    /// The fraction of a tenant's queries that were served.
    pub(super) fn served_fraction(&self, account: Account) -> f64 {
        self.state(account).map_or(1.0, |state| state.counts.served_fraction())
    }

    /// The use and the weight of an account, decayed by `decay`.
    pub(super) fn share(&self, account: Option<Account>, decay: f64) -> Share {
        let state = account.and_then(|account| self.state(account));
        state.map_or(Share { own: 0.0, remote: 0.0, weight: 1.0 }, |state| Share {
            own: state.used * decay,
            remote: state.remote * decay,
            weight: state.weight,
        })
    }

    /// The tenants with their use at this VM.
    pub(super) fn used(&self, now: Millis) -> impl Iterator<Item = (Option<Rc<str>>, f64)> {
        let decay = self.decay(now);
        self.states.iter().map(move |state| (state.tenant.clone(), state.used * decay))
    }

    /// Sets the use at other VMs, of which an account may have several, in place of that set before.
    pub(super) fn set_remote(&mut self, used: impl Iterator<Item = (Account, f64)>) {
        for state in &mut self.states {
            state.remote = 0.0;
        }
        for (account, used) in used {
            if let Some(state) = self.state_mut(account) {
                state.remote += used;
            }
        }
    }

    /// The factor by which use decays until `now`.
    pub(super) fn decay(&self, now: Millis) -> f64 {
        decay_by(tick_of(now).saturating_sub(self.tick), USE_DECAY)
    }

    /// Decays all accounts until `now`; returns whether it is time for [`Accounts::sweep`].
    pub(super) fn advance(&mut self, now: Millis) -> bool {
        let ticks = tick_of(now).saturating_sub(self.tick);
        if ticks == 0 {
            return false;
        }
        let (use_factor, count_factor) = (self.decay(now), decay_by(ticks, COUNT_DECAY));
        self.total.decay(count_factor);
        for state in &mut self.states {
            state.used *= use_factor;
            state.remote *= use_factor;
            state.counts.decay(count_factor);
        }
        self.tick += ticks;
        let is_due = self.tick - self.swept >= SWEEP_TICKS;
        if is_due {
            self.swept = self.tick;
        }
        is_due
    }

    /// Sets the weights of tenants, in place of those set before.
    pub(super) fn set_weights(&mut self, weights: impl IntoIterator<Item = (Rc<str>, f64)>) {
        let valid = weights.into_iter().map(|(tenant, weight)| (tenant, valid_weight(weight)));
        self.weights = valid.take(MAX_ACCOUNTS).collect();
        for state in &mut self.states {
            let set = state.tenant.as_ref().and_then(|tenant| self.weights.get(tenant));
            state.weight = set.copied().unwrap_or(1.0);
        }
    }

    fn is_full(&self) -> bool {
        self.by_tenant.len() >= MAX_ACCOUNTS
    }

    /// The number of accounts of tenants.
    pub(super) fn len(&self) -> usize {
        self.by_tenant.len()
    }

    fn create(&mut self, tenant: Option<&Rc<str>>) -> Account {
        let Some(tenant) = tenant else { return WITHOUT_TENANT };
        let weight = self.weights.get(tenant).copied().unwrap_or(1.0);
        let state = State::new(Some(tenant.clone()), weight);
        let account = match self.free.pop() {
            Some(account) => account,
            None => self.states.len() as Account,
        };
        match self.states.get_mut(account as usize) {
            Some(free) => *free = state,
            None => self.states.push(state),
        }
        self.by_tenant.insert(tenant.clone(), account);
        account
    }

    /// Drops the accounts of which nothing is left.
    pub(super) fn sweep(&mut self) {
        let (states, free) = (&mut self.states, &mut self.free);
        self.by_tenant.retain(|_, account| {
            let Some(state) = states.get_mut(*account as usize).filter(|s| s.is_decayed()) else {
                return true;
            };
            *state = State::new(None, 1.0);
            free.push(*account);
            false
        });
    }

    fn state(&self, account: Account) -> Option<&State> {
        self.states.get(account as usize)
    }

    fn state_mut(&mut self, account: Account) -> Option<&mut State> {
        self.states.get_mut(account as usize)
    }
}

fn tick_of(now: Millis) -> u64 {
    now.as_whole_ms() / TICK_MS
}

/// The factor by which use decays over a duration.
pub(super) fn decay_over(duration: Millis) -> f64 {
    decay_by(tick_of(duration), USE_DECAY)
}

fn decay_by(ticks: u64, constant: Millis) -> f64 {
    (-(ticks as f64) * TICK_MS as f64 / constant.as_f64()).exp()
}

/// A weight within [`WEIGHTS`]; 1 if it is not a number.
fn valid_weight(weight: f64) -> f64 {
    if weight.is_nan() { 1.0 } else { weight.clamp(WEIGHTS.0, WEIGHTS.1) }
}
