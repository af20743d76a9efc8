use crate::message::{Ask, Message, Order, Told};
use bytes::Bytes;
use smallvec::SmallVec;
use std::collections::BTreeMap;
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Failure, Key as LeafKey, Outcome as LeafOutcome, Work};
use tgw_order::{Action, Clerk, Event, Key, Outcome, Ran, Stats, Waiter, key::BUCKETS};
use tgw_owner::Map;
use tgw_query::step::Token;
use tgw_topology::{Group, Layout, Query, Shard, Snapshot, Vm};

/// Query numbers from here on name orders, so that their outcomes find the clerk.
pub(crate) const ORDERS: u64 = 1 << 62;
/// Time past its deadline that an owner has to tell what came of an order.
const GRACE: Millis = Millis::new(500);
/// A clerk counts as having had a bucket since before a key was made only with this much to spare:
/// clocks differ, and views of membership meet with a delay.
const MARGIN: Millis = Millis::new(3000);
/// Owners that are asked in turn while each states that it did not run the order.
const TRIES: usize = 4;

/// An order as a caller's VM takes it in.
pub(crate) struct Taken {
    pub(crate) token: Token,
    pub(crate) key: Key,
    pub(crate) age_s: Option<u64>,
    pub(crate) deadline: Millis,
    pub(crate) body: Bytes,
}

/// A claimed order on its way to an owner.
pub(crate) struct Run {
    pub(crate) key: Key,
    pub(crate) deadline: Millis,
    /// Groups that did not take it.
    pub(crate) tried: SmallVec<[Group; 4]>,
}

/// What must be done.
pub(crate) enum Step {
    Tell(Vm, Message),
    Answer(Token, Outcome),
    Store(Action),
    Run(Run),
}

/// An order that this VM took in and whose outcome it waits for.
struct Entered {
    order: Taken,
    clerk: Option<Vm>,
}

/// An order that was sent to an owner.
struct Sent {
    key: Key,
    to: Vm,
    deadline: Millis,
    tried: SmallVec<[Group; 4]>,
}

/// The orders of one VM: those it took in, those it is the clerk of, and those it has sent.
pub(crate) struct Orders {
    me: Vm,
    incarnation: u64,
    clerk: Clerk,
    entered: BTreeMap<u64, Entered>,
    waiters: BTreeMap<Waiter, (Vm, u64)>,
    bodies: BTreeMap<Key, Bytes>,
    sent: BTreeMap<u64, Sent>,
    /// Since when this VM has been the clerk of each bucket without a break.
    since: BTreeMap<u64, Millis>,
    next: u64,
}

impl Orders {
    pub(crate) fn new(me: Vm, incarnation: u64) -> Self {
        Self {
            me,
            incarnation,
            clerk: Clerk::new(me.0.wrapping_mul(31).wrapping_add(incarnation)),
            entered: BTreeMap::new(),
            waiters: BTreeMap::new(),
            bodies: BTreeMap::new(),
            sent: BTreeMap::new(),
            since: BTreeMap::new(),
            next: ORDERS,
        }
    }

    pub(crate) fn stats(&self) -> &Stats {
        self.clerk.stats()
    }

    pub(crate) fn pending(&self) -> usize {
        self.entered.len() + self.clerk.pending() + self.sent.len()
    }

    /// Takes in a caller's order and passes it to the clerk of its key.
    pub(crate) fn take(&mut self, now: Millis, order: Taken, map: &Map) -> Vec<Step> {
        self.next += 1;
        let number = self.next;
        self.entered.insert(number, Entered { order, clerk: None });
        self.pass_on(now, number, map)
    }

    /// Passes an order to its clerk. Asking a second clerk is safe: the store tells the two apart.
    fn pass_on(&mut self, now: Millis, number: u64, map: &Map) -> Vec<Step> {
        let Some(entered) = self.entered.get_mut(&number) else { return Vec::new() };
        let clerk = map.clerk(entered.order.key.bucket()).unwrap_or(self.me);
        entered.clerk = Some(clerk);
        let Taken { key, age_s, deadline, body, .. } = &entered.order;
        let left = *deadline - now;
        let order = Order { number, key: *key, age_s: *age_s, left, body: body.clone() };
        vec![Step::Tell(clerk, Message::Order(order))]
    }

    /// The clerk is asked for an order by the VM that took it in.
    pub(crate) fn asked(&mut self, now: Millis, from: Vm, order: Order) -> Vec<Step> {
        let Order { number, key, age_s, left, body } = order;
        let waiter = self.next + 1;
        self.next = waiter;
        self.waiters.insert(waiter, (from, number));
        self.bodies.entry(key).or_insert(body);
        let fresh = age_s.is_some_and(|age| {
            let since = self.since.get(&key.bucket());
            since
                .is_some_and(|since| now - *since >= Millis::new(age.saturating_mul(1000)) + MARGIN)
        });
        self.clerk(now, Event::Ask { key, waiter, deadline: now + left, fresh })
    }

    /// Runs the clerk on one event.
    pub(crate) fn clerk(&mut self, now: Millis, event: Event) -> Vec<Step> {
        let mut actions = Vec::new();
        self.clerk.on(now, event, &mut actions);
        let mut steps = Vec::new();
        for action in actions {
            match action {
                Action::Run(key, deadline) => {
                    steps.push(Step::Run(Run { key, deadline, tried: SmallVec::new() }));
                }
                Action::Tell(waiter, outcome) => {
                    if let Some((vm, number)) = self.waiters.remove(&waiter) {
                        steps.push(Step::Tell(vm, Message::Ordered(number, outcome)));
                    }
                }
                store => steps.push(Step::Store(store)),
            }
        }
        steps
    }

    /// Sends a claimed order to the owner of a group, or ends it as not run if there is none left.
    pub(crate) fn send(&mut self, now: Millis, run: Run, to: Option<(Group, Vm)>) -> Vec<Step> {
        let Run { key, deadline, mut tried } = run;
        // The monotonic clock is read just before the order leaves: a VM that was paused between the
        // claim and here must not send what its caller has given up.
        let late = now >= deadline || tried.len() >= TRIES;
        let Some((group, vm)) = to.filter(|_| !late) else {
            return self.clerk(now, Event::Ran(key, Ran::NotRun));
        };
        tried.push(group);
        self.next += 1;
        let number = self.next;
        let query = Query { incarnation: self.incarnation, number };
        let ask = Ask {
            group,
            stand_in: false,
            key: LeafKey { from: self.me, query, shard: Shard(0), attempt: 0 },
            snapshot: Snapshot { version: 0, layout: Layout(0) },
            left: deadline - now,
            patience: None,
            body: self.bodies.get(&key).cloned().unwrap_or_default(),
            traced: true,
            work: Work::Order(key.name()),
        };
        self.sent.insert(number, Sent { key, to: vm, deadline, tried });
        vec![Step::Tell(vm, Message::Ask(ask))]
    }

    /// An owner tells what came of an order.
    pub(crate) fn outcome(&mut self, now: Millis, told: &Told) -> Vec<Step> {
        if told.key.query.incarnation != self.incarnation {
            return Vec::new();
        }
        let Some(sent) = self.sent.remove(&told.key.query.number) else { return Vec::new() };
        let ran = match &told.outcome {
            LeafOutcome::Items(result) => Ran::Done(String::from_utf8_lossy(result).into_owned()),
            LeafOutcome::Failed(Failure::Connect | Failure::NoUpstream)
            | LeafOutcome::Gone
            | LeafOutcome::Shed
            | LeafOutcome::Crowded
            | LeafOutcome::Expired
            | LeafOutcome::Moved(_) => {
                let Sent { key, deadline, tried, .. } = sent;
                return vec![Step::Run(Run { key, deadline, tried })];
            }
            LeafOutcome::Failed(_) => Ran::Unknown,
        };
        self.end(now, sent.key, ran)
    }

    fn end(&mut self, now: Millis, key: Key, ran: Ran) -> Vec<Step> {
        self.bodies.remove(&key);
        self.clerk(now, Event::Ran(key, ran))
    }

    /// The clerk has told what came of an order that was taken in here.
    pub(crate) fn told(&mut self, number: u64) -> Option<Token> {
        self.entered.remove(&number).map(|e| e.order.token)
    }

    /// A VM cannot be reached: what it was sent may have run; what it was to be the clerk of is
    /// passed to another.
    pub(crate) fn lost(&mut self, now: Millis, vm: Vm) -> Vec<Step> {
        for entered in self.entered.values_mut().filter(|e| e.clerk == Some(vm)) {
            entered.clerk = None;
        }
        let gone: Vec<u64> = self.sent.iter().filter(|(_, s)| s.to == vm).map(|s| *s.0).collect();
        let gone: Vec<Sent> = gone.iter().filter_map(|n| self.sent.remove(n)).collect();
        gone.into_iter().flat_map(|sent| self.end(now, sent.key, Ran::Unknown)).collect()
    }

    /// Membership has changed: which buckets are this VM's, and since when.
    pub(crate) fn settle(&mut self, now: Millis, map: &Map) {
        for bucket in 0..BUCKETS {
            if map.clerk(bucket) == Some(self.me) {
                self.since.entry(bucket).or_insert(now);
            } else {
                self.since.remove(&bucket);
            }
        }
    }

    /// After a pause another VM may have been the clerk for a while.
    pub(crate) fn resume(&mut self, now: Millis) {
        self.since.values_mut().for_each(|since| *since = now);
    }

    pub(crate) fn tick(&mut self, now: Millis, map: &Map) -> Vec<Step> {
        let mut steps = self.clerk(now, Event::Tick);
        let late: Vec<u64> =
            self.sent.iter().filter(|(_, s)| s.deadline + GRACE <= now).map(|s| *s.0).collect();
        for number in late {
            if let Some(sent) = self.sent.remove(&number) {
                steps.extend(self.end(now, sent.key, Ran::Unknown));
            }
        }
        let waiting: Vec<(u64, bool)> = self
            .entered
            .iter()
            .filter(|(_, e)| e.clerk.is_none() || e.order.deadline + GRACE <= now)
            .map(|(number, e)| (*number, e.order.deadline + GRACE <= now))
            .collect();
        for (number, over) in waiting {
            if !over {
                steps.extend(self.pass_on(now, number, map));
            } else if let Some(entered) = self.entered.remove(&number) {
                // The clerk is silent: it may have run the order.
                steps.push(Step::Answer(entered.order.token, Outcome::Unknown));
            }
        }
        if self.waiters.is_empty() && self.sent.is_empty() {
            self.bodies.clear();
        }
        steps
    }
}
