use crate::message::{Completion, Message, Order, Request};
use bytes::Bytes;
use smallvec::SmallVec;
use std::collections::BTreeMap;
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Failure, Key as LeafKey, Operation, Outcome as LeafOutcome};
use tgw_order::{
    Action, Event, Key, Outcome, RunOutcome, Stats, Waiter, Worker, key::BUCKET_COUNT,
};
use tgw_owner::Assignment;
use tgw_query::event::Token;
use tgw_topology::{Group, Layout, Query, Shard, Snapshot, Vm};

/// Query numbers from here on belong to orders, which separates their outcomes from those
/// of searches.
pub(crate) const FIRST_ORDER_NUMBER: u64 = 1 << 62;
/// Time after an order's deadline in which its outcome may still arrive.
const OUTCOME_GRACE_MS: Millis = Millis::new(500);
/// Margin by which this VM must have owned a bucket before a key was made to be sure that no other VM
/// received the key: clocks differ, and views of membership converge with a delay.
const OWNERSHIP_MARGIN_MS: Millis = Millis::new(3000);
/// Most groups that an order is sent to in turn while each owner states that it did not run it.
const MAX_GROUPS_TRIED: usize = 4;

/// An order as received from a caller.
pub(crate) struct NewOrder {
    pub(crate) token: Token,
    pub(crate) key: Key,
    pub(crate) key_age_s: Option<u64>,
    pub(crate) deadline: Millis,
    pub(crate) body: Bytes,
}

/// A claimed order that is to be sent to the owner of a group.
pub(crate) struct Run {
    pub(crate) key: Key,
    pub(crate) deadline: Millis,
    /// Groups that did not run it.
    pub(crate) tried: SmallVec<[Group; 4]>,
}

/// What the core must do.
pub(crate) enum Effect {
    Send(Vm, Message),
    Answer(Token, Outcome),
    Store(Action),
    Run(Run),
}

/// An order received from a caller, whose outcome is awaited.
struct Accepted {
    order: NewOrder,
    /// The VM that the order was forwarded to; `None` if it must be forwarded again.
    claims_owner: Option<Vm>,
}

/// An order that was sent to the owner of a group and whose outcome is awaited.
struct Sent {
    key: Key,
    to: Vm,
    deadline: Millis,
    tried: SmallVec<[Group; 4]>,
}

/// The orders of one VM: those received from callers, those it claims, and those sent to owners.
pub(crate) struct Orders {
    me: Vm,
    incarnation: u64,
    worker: Worker,
    accepted: BTreeMap<u64, Accepted>,
    waiters: BTreeMap<Waiter, (Vm, u64)>,
    bodies: BTreeMap<Key, Bytes>,
    sent: BTreeMap<u64, Sent>,
    /// Start of this VM's uninterrupted ownership of each bucket.
    bucket_owned_since: BTreeMap<u64, Millis>,
    last_number: u64,
}

impl Orders {
    pub(crate) fn new(me: Vm, incarnation: u64) -> Self {
        Self {
            me,
            incarnation,
            // A claim names its holder by one number, which must be unique to one incarnation of one VM, so
            // it is computed from both. Nothing here ensures that the numbers of two VMs differ.
            worker: Worker::new(me.0.wrapping_mul(31).wrapping_add(incarnation)),
            accepted: BTreeMap::new(),
            waiters: BTreeMap::new(),
            bodies: BTreeMap::new(),
            sent: BTreeMap::new(),
            bucket_owned_since: BTreeMap::new(),
            last_number: FIRST_ORDER_NUMBER,
        }
    }

    pub(crate) fn stats(&self) -> &Stats {
        self.worker.stats()
    }

    pub(crate) fn pending(&self) -> usize {
        self.accepted.len() + self.worker.pending() + self.sent.len()
    }

    /// Accepts a caller's order and forwards it to the owner of its bucket.
    pub(crate) fn accept(
        &mut self,
        now: Millis,
        order: NewOrder,
        assignment: &Assignment,
    ) -> Vec<Effect> {
        self.last_number += 1;
        let number = self.last_number;
        self.accepted.insert(number, Accepted { order, claims_owner: None });
        self.forward(now, number, assignment)
    }

    /// Forwards an order to the owner of its bucket. Forwarding it to a second VM is safe, as the store
    /// accepts only one claim.
    fn forward(&mut self, now: Millis, number: u64, assignment: &Assignment) -> Vec<Effect> {
        let Some(accepted) = self.accepted.get_mut(&number) else { return Vec::new() };
        let owner = assignment.claims_owner(accepted.order.key.bucket()).unwrap_or(self.me);
        accepted.claims_owner = Some(owner);
        let NewOrder { key, key_age_s, deadline, body, .. } = &accepted.order;
        let remaining = *deadline - now;
        let order = Order {
            request_id: number,
            key: *key,
            key_age_s: *key_age_s,
            remaining,
            body: body.clone(),
        };
        vec![Effect::Send(owner, Message::Order(order))]
    }

    /// Handles a forwarded order at the VM that claims it.
    pub(crate) fn handle_forwarded(&mut self, now: Millis, from: Vm, order: Order) -> Vec<Effect> {
        let Order { request_id, key, key_age_s, remaining, body } = order;
        let waiter = self.last_number + 1;
        self.last_number = waiter;
        self.waiters.insert(waiter, (from, request_id));
        self.bodies.entry(key).or_insert(body);
        let no_earlier_request = key_age_s.is_some_and(|age| {
            let since = self.bucket_owned_since.get(&key.bucket());
            since.is_some_and(|since| {
                now - *since >= Millis::new(age.saturating_mul(1000)) + OWNERSHIP_MARGIN_MS
            })
        });
        self.run_worker(
            now,
            Event::Request { key, waiter, deadline: now + remaining, no_earlier_request },
        )
    }

    /// Passes one event to the claims worker and converts its actions.
    pub(crate) fn run_worker(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        let mut actions = Vec::new();
        self.worker.handle(now, event, &mut actions);
        let mut effects = Vec::new();
        for action in actions {
            match action {
                Action::Run(key, deadline) => {
                    effects.push(Effect::Run(Run { key, deadline, tried: SmallVec::new() }));
                }
                Action::Answer(waiter, outcome) => {
                    if let Some((vm, number)) = self.waiters.remove(&waiter) {
                        effects.push(Effect::Send(vm, Message::OrderOutcome(number, outcome)));
                    }
                }
                store => effects.push(Effect::Store(store)),
            }
        }
        effects
    }

    /// Sends a claimed order to the owner of a group, or ends it as not run if no group is left.
    pub(crate) fn send_to_group(
        &mut self,
        now: Millis,
        run: Run,
        to: Option<(Group, Vm)>,
    ) -> Vec<Effect> {
        let Run { key, deadline, mut tried } = run;
        // A VM that was paused after the claim must not send an order whose caller has given up, so the
        // deadline is checked against the monotonic clock just before the send.
        let late = now >= deadline || tried.len() >= MAX_GROUPS_TRIED;
        let Some((group, vm)) = to.filter(|_| !late) else {
            return self.run_worker(now, Event::RunDone(key, RunOutcome::NotRun));
        };
        tried.push(group);
        self.last_number += 1;
        let number = self.last_number;
        let query = Query { incarnation: self.incarnation, number };
        let request = Request {
            group,
            stand_in: false,
            key: LeafKey { from: self.me, query, shard: Shard(0), attempt: 0 },
            snapshot: Snapshot { version: 0, layout: Layout(0) },
            remaining: deadline - now,
            queue_timeout: None,
            body: self.bodies.get(&key).cloned().unwrap_or_default(),
            log_decisions: true,
            operation: Operation::Order(key.claim_name()),
        };
        self.sent.insert(number, Sent { key, to: vm, deadline, tried });
        vec![Effect::Send(vm, Message::Request(request))]
    }

    /// Handles the outcome of an order sent to an owner.
    pub(crate) fn handle_outcome(&mut self, now: Millis, completion: &Completion) -> Vec<Effect> {
        if completion.key.query.incarnation != self.incarnation {
            return Vec::new();
        }
        let Some(sent) = self.sent.remove(&completion.key.query.number) else { return Vec::new() };
        let ran = match &completion.outcome {
            LeafOutcome::Items(result) => {
                RunOutcome::Done(String::from_utf8_lossy(result).into_owned())
            }
            LeafOutcome::Failed(Failure::Connect | Failure::NoUpstream)
            | LeafOutcome::Gone
            | LeafOutcome::Shed
            | LeafOutcome::Crowded
            | LeafOutcome::Expired
            | LeafOutcome::Moved(_) => {
                let Sent { key, deadline, tried, .. } = sent;
                return vec![Effect::Run(Run { key, deadline, tried })];
            }
            LeafOutcome::Failed(_) => RunOutcome::Unknown,
        };
        self.end_run(now, sent.key, ran)
    }

    fn end_run(&mut self, now: Millis, key: Key, ran: RunOutcome) -> Vec<Effect> {
        self.bodies.remove(&key);
        self.run_worker(now, Event::RunDone(key, ran))
    }

    /// Removes an accepted order whose outcome has arrived and returns the caller's token.
    pub(crate) fn remove_accepted(&mut self, number: u64) -> Option<Token> {
        self.accepted.remove(&number).map(|e| e.order.token)
    }

    /// Handles the loss of a VM: orders sent to it may have run, and orders forwarded to it are forwarded
    /// again.
    pub(crate) fn handle_vm_lost(&mut self, now: Millis, vm: Vm) -> Vec<Effect> {
        for accepted in self.accepted.values_mut().filter(|e| e.claims_owner == Some(vm)) {
            accepted.claims_owner = None;
        }
        let lost: Vec<u64> = self.sent.iter().filter(|(_, s)| s.to == vm).map(|s| *s.0).collect();
        let lost: Vec<Sent> = lost.iter().filter_map(|n| self.sent.remove(n)).collect();
        lost.into_iter().flat_map(|sent| self.end_run(now, sent.key, RunOutcome::Unknown)).collect()
    }

    /// Updates which buckets this VM owns, and since when, after a change of membership.
    pub(crate) fn update_buckets(&mut self, now: Millis, assignment: &Assignment) {
        for bucket in 0..BUCKET_COUNT {
            if assignment.claims_owner(bucket) == Some(self.me) {
                self.bucket_owned_since.entry(bucket).or_insert(now);
            } else {
                self.bucket_owned_since.remove(&bucket);
            }
        }
    }

    /// Restarts the ownership of all buckets: during a pause another VM may have owned them.
    pub(crate) fn restart_ownership(&mut self, now: Millis) {
        self.bucket_owned_since.values_mut().for_each(|since| *since = now);
    }

    pub(crate) fn tick(&mut self, now: Millis, assignment: &Assignment) -> Vec<Effect> {
        let mut effects = self.run_worker(now, Event::Tick);
        let late: Vec<u64> = self
            .sent
            .iter()
            .filter(|(_, s)| s.deadline + OUTCOME_GRACE_MS <= now)
            .map(|s| *s.0)
            .collect();
        for number in late {
            if let Some(sent) = self.sent.remove(&number) {
                effects.extend(self.end_run(now, sent.key, RunOutcome::Unknown));
            }
        }
        let due: Vec<(u64, bool)> = self
            .accepted
            .iter()
            .filter(|(_, e)| e.claims_owner.is_none() || e.order.deadline + OUTCOME_GRACE_MS <= now)
            .map(|(number, e)| (*number, e.order.deadline + OUTCOME_GRACE_MS <= now))
            .collect();
        for (number, timed_out) in due {
            if !timed_out {
                effects.extend(self.forward(now, number, assignment));
            } else if let Some(accepted) = self.accepted.remove(&number) {
                // No outcome arrived from the VM that claims the order: the order may have run.
                effects.push(Effect::Answer(accepted.order.token, Outcome::Unknown));
            }
        }
        if self.waiters.is_empty() && self.sent.is_empty() {
            self.bodies.clear();
        }
        effects
    }
}
