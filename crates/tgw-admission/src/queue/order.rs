use super::{
    Entry,
    account::{Account, Accounts, Share},
};
use tgw_clock::Millis;

/// The bounds of a cost. Without the lower one, queries of cost zero are never charged; without the upper one, a
/// single query is charged for minutes.
const COSTS: (f64, f64) = (0.01, 1000.0);

/// The use within which tenants are alike, in usual queries: among them the time left decides.
const LEVEL_USE: f64 = 1.0;

/// An entry with its valid cost and its tenant's account.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) account: Account,
    pub(super) cost: f64,
    pub(super) entry: Entry,
}

/// The place of an entry among those of its tenant.
pub(super) type Place = (u32, Millis, u64);

/// The place of an entry among all: its priority, its tenant's use once the tenant's entries before it are served, in
/// units of [`LEVEL_USE`], the time until which it can start, and its number.
///
/// Within a tenant, keys increase with the place. So the entry with the least key is the next of its tenant, and
/// charging it leaves all other keys as they are: the order of admission is the order of the keys.
#[derive(Copy, Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    priority: u32,
    level: u64,
    start_by: Millis,
    number: u64,
}

impl Key {
    pub(super) fn priority(&self) -> u32 {
        self.priority
    }
}

impl Waiting {
    pub(super) fn new(account: Account, entry: Entry) -> Self {
        Self { account, cost: valid_cost(entry.cost), entry }
    }

    /// The position in the list that is sorted by tenant.
    pub(super) fn place(&self) -> (Account, Place) {
        (self.account, place(&self.entry))
    }

    /// Whether it can still start in time.
    pub(super) fn can_start(&self, now: Millis) -> bool {
        now <= self.entry.start_by
    }
}

/// A cost within [`COSTS`]; that of a usual query if it is not a number.
pub(super) fn valid_cost(cost: f64) -> f64 {
    if cost.is_nan() { 1.0 } else { cost.clamp(COSTS.0, COSTS.1) }
}

/// The keys of the entries that can still start, with their positions in `waiting`, which is sorted by
/// [`Waiting::place`].
pub(super) fn keys<'a>(
    waiting: &'a [Waiting],
    accounts: &'a Accounts,
    now: Millis,
) -> impl Iterator<Item = (usize, Key)> + 'a {
    let decay = accounts.decay(now);
    let mut current = None;
    let mut share = accounts.share(None, decay);
    let live = waiting.iter().enumerate().filter(move |(_, waiting)| waiting.can_start(now));
    live.map(move |(at, waiting)| {
        if current != Some(waiting.account) {
            current = Some(waiting.account);
            share = accounts.share(current, decay);
        }
        let key = key(&waiting.entry, &share);
        share.charge(waiting.cost);
        (at, key)
    })
}

/// The key that `entry` has or would have.
pub(super) fn key_of(
    waiting: &[Waiting],
    accounts: &Accounts,
    now: Millis,
    account: Option<Account>,
    entry: &Entry,
) -> Key {
    let mut share = accounts.share(account, accounts.decay(now));
    let own = waiting.iter().filter(|other| Some(other.account) == account && other.can_start(now));
    for other in own.take_while(|other| place(&other.entry) < place(entry)) {
        share.charge(other.cost);
    }
    key(entry, &share)
}

fn place(entry: &Entry) -> Place {
    (entry.priority, entry.start_by, entry.number)
}

fn key(entry: &Entry, share: &Share) -> Key {
    let level = (share.weighted() / LEVEL_USE) as u64;
    Key { priority: entry.priority, level, start_by: entry.start_by, number: entry.number }
}
