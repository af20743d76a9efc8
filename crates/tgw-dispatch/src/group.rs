use crate::{
    leaf::{Failure, Held, Key, Leaf, Outcome, Reply},
    owner::{Action, Note, Options, Passed, Ticket, What},
    pick::Policy,
    trust::{Rank, Run, Trust},
};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};
use tgw_clock::Millis;
use tgw_tail::{Budget, Hedge};
use tgw_topology::{Group as GroupId, Snapshot, Upstream, catalog::Node};

/// Waiting requests looked at for one free slot; those behind them wait for the next.
const SCAN: usize = 64;
const RETRY_BURST: f64 = 20.0;

/// What the groups of one service share at their owner.
pub(crate) struct Pool<'a> {
    pub(crate) next: &'a mut Ticket,
    /// Lateness is judged over all groups of the service: a straggler makes much of its own group
    /// late, and a delay learned there alone would rise until it counted as ordinary.
    pub(crate) hedge: &'a mut Hedge,
}

impl Pool<'_> {
    fn ticket(&mut self) -> Ticket {
        *self.next += 1;
        *self.next
    }
}

/// A request that waits or runs.
pub(crate) struct Task {
    pub(crate) leaf: Leaf,
    pub(crate) arrived: Millis,
    /// Time in the queue before the first sending; `None` while it has not been sent.
    pub(crate) waited: Option<Millis>,
    /// Indices of the upstreams that may serve it; those that failed are taken out.
    pub(crate) eligible: SmallVec<[usize; 4]>,
    /// Sendings that run now.
    pub(crate) runs: SmallVec<[(Ticket, usize); 2]>,
    pub(crate) sent: u8,
    pub(crate) hedged: bool,
    /// What the last failed sending brought, for the answer when nothing is left to try.
    pub(crate) last: Option<Outcome>,
}

/// One replica group.
pub(crate) struct Group {
    pub(crate) id: GroupId,
    pub(crate) options: Options,
    pub(crate) policy: Box<dyn Policy>,
    pub(crate) upstreams: Vec<Trust>,
    pub(crate) tasks: BTreeMap<u64, Task>,
    pub(crate) keys: BTreeMap<Key, u64>,
    /// Waiting requests by deadline, then arrival.
    pub(crate) queue: BTreeSet<(Millis, u64)>,
    pub(crate) next_task: u64,
    pub(crate) retry: Budget,
    pub(crate) share: f64,
    pub(crate) released: bool,
}

impl Group {
    pub(crate) fn new(id: GroupId, options: &Options, policy: Box<dyn Policy>) -> Self {
        Self {
            id,
            options: options.clone(),
            policy,
            upstreams: Vec::new(),
            tasks: BTreeMap::new(),
            keys: BTreeMap::new(),
            queue: BTreeSet::new(),
            next_task: 1,
            retry: Budget::new(options.retry, RETRY_BURST),
            share: 1.0,
            released: false,
        }
    }

    pub(crate) fn describe(&mut self, nodes: &[&Node], options: &Options) {
        self.released = false;
        self.retry.set_share(options.retry);
        self.options = options.clone();
        for node in nodes.iter().filter(|n| n.group() == self.id) {
            match self.upstreams.iter_mut().find(|u| u.id == node.id) {
                Some(known) => {
                    known.slots = node.slots;
                    if node.leaving {
                        known.leave();
                    }
                }
                None => self.upstreams.push(Trust::new(node, options.ramp)),
            }
        }
    }

    pub(crate) fn share(&mut self, share: f64) {
        self.share = share;
    }

    pub(crate) fn released(&self) -> bool {
        self.released
    }

    pub(crate) fn idle(&self) -> bool {
        self.tasks.is_empty() && self.upstreams.iter().all(|u| u.runs.is_empty())
    }

    /// Takes the waiting requests out; those that run stay.
    pub(crate) fn release(&mut self) -> Vec<Key> {
        self.released = true;
        let waiting = std::mem::take(&mut self.queue);
        let mut keys = Vec::with_capacity(waiting.len());
        for (_, number) in waiting {
            if let Some(task) = self.tasks.remove(&number) {
                self.keys.remove(&task.leaf.key);
                keys.push(task.leaf.key);
            }
        }
        keys
    }

    pub(crate) fn running(&self, upstream: Upstream) -> usize {
        self.upstreams.iter().find(|u| u.id == upstream).map_or(0, |u| u.runs.len())
    }

    pub(crate) fn belief(
        &self,
        now: Millis,
        upstream: Upstream,
    ) -> Option<(Rank, Option<&Held>, f64)> {
        let trust = self.upstreams.iter().find(|u| u.id == upstream)?;
        Some((trust.rank(now), trust.held(), trust.latency.get()))
    }

    pub(crate) fn holds(&self, snapshot: Snapshot) -> bool {
        self.upstreams.iter().any(|u| !u.leaving() && u.holds(snapshot))
    }

    pub(crate) fn set_held(&mut self, upstream: Upstream, held: Held) {
        if let Some(trust) = self.upstreams.iter_mut().find(|u| u.id == upstream) {
            trust.set_held(held);
        }
    }

    pub(crate) fn restarted(&mut self, upstream: Upstream) {
        if let Some(trust) = self.upstreams.iter_mut().find(|u| u.id == upstream) {
            trust.restart();
        }
    }

    pub(crate) fn leaving(&mut self, now: Millis, upstream: Upstream, out: &mut Vec<Action>) {
        let Some(trust) = self.upstreams.iter_mut().find(|u| u.id == upstream) else { return };
        if trust.leave() {
            note(None, upstream, What::Leaving, SmallVec::new(), out);
        }
        self.give_up_unservable(now, out);
    }

    pub(crate) fn ask(
        &mut self,
        now: Millis,
        replicas: &[Upstream],
        leaf: Leaf,
        pool: &mut Pool<'_>,
        out: &mut Vec<Action>,
    ) {
        let index = |id: &Upstream| self.upstreams.iter().position(|u| u.id == *id);
        let mut eligible: SmallVec<[usize; 4]> = replicas.iter().filter_map(index).collect();
        let candidates = self.candidates(now, &eligible);
        if let Some(bound) = self.policy.bind(now, &candidates) {
            eligible = SmallVec::from_slice(&eligible[bound..=bound]);
        }
        let number = self.next_task;
        self.next_task += 1;
        self.keys.insert(leaf.key, number);
        self.queue.insert((leaf.deadline, number));
        let task = Task {
            leaf,
            arrived: now,
            waited: None,
            eligible,
            runs: SmallVec::new(),
            sent: 0,
            hedged: false,
            last: None,
        };
        self.tasks.insert(number, task);
        if self.unfit(now, number) {
            return self.answer(now, number, Outcome::Crowded, out);
        }
        self.fill(now, pool, out);
        self.give_up_if_unservable(now, number, out);
    }

    pub(crate) fn cancel(&mut self, key: Key, out: &mut Vec<Action>) {
        if let Some(number) = self.keys.get(&key).copied() {
            self.remove(number, out);
        }
    }

    pub(crate) fn done(
        &mut self,
        now: Millis,
        ticket: Ticket,
        result: Result<Reply, Failure>,
        held: Option<Held>,
        pool: &mut Pool<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some((index, run)) = self.take_run(ticket) else { return };
        if let Some(held) = held {
            self.upstreams[index].set_held(held);
        }
        let snapshot = self.tasks.get(&run.task).map(|t| (t.leaf.snapshot, t.leaf.key));
        self.judge(now, pool.hedge.delay(), (index, &run), &result, snapshot, out);
        if !run.aborted {
            self.settle(now, index, &run, result, out);
        }
        self.fill(now, pool, out);
    }

    fn take_run(&mut self, ticket: Ticket) -> Option<(usize, Run)> {
        self.upstreams.iter_mut().enumerate().find_map(|(index, upstream)| {
            let at = upstream.runs.iter().position(|r| r.ticket == ticket)?;
            Some((index, upstream.runs.remove(at)))
        })
    }

    /// Updates what is believed of the upstream by how a sending ended.
    fn judge(
        &mut self,
        now: Millis,
        late: Millis,
        (index, run): (usize, &Run),
        result: &Result<Reply, Failure>,
        asked: Option<(Snapshot, Key)>,
        out: &mut Vec<Action>,
    ) {
        let upstream = &mut self.upstreams[index];
        let age = now - run.started;
        match result {
            // A cancelled straggler says nothing of its speed; it stays as it was judged.
            Ok(Reply::Cancelled) => {}
            Ok(Reply::Items { .. }) if !run.aborted => upstream.good(age, late),
            Ok(Reply::Items { .. } | Reply::Ran(_) | Reply::Expired) => {}
            Ok(Reply::Gone) => {
                if let Some((snapshot, _)) = asked {
                    upstream.lost(snapshot);
                }
            }
            Ok(Reply::Shed) => upstream.shed(),
            Ok(Reply::Draining) => {
                if upstream.leave() {
                    let id = upstream.id;
                    note(None, id, What::Leaving, SmallVec::new(), out);
                }
            }
            Err(_) => {
                if upstream.fail(now) {
                    note(asked.map(|a| a.1), upstream.id, What::Eject, SmallVec::new(), out);
                }
            }
        }
    }

    /// Answers the request that a sending was for, or lets it be tried again.
    fn settle(
        &mut self,
        now: Millis,
        index: usize,
        run: &Run,
        result: Result<Reply, Failure>,
        out: &mut Vec<Action>,
    ) {
        let Some(task) = self.tasks.get_mut(&run.task) else { return };
        task.runs.retain(|(ticket, _)| *ticket != run.ticket);
        let outcome = match result {
            // An upstream that answers for another snapshot or shard than it was asked for would
            // put foreign items into the answer. It costs the attempt, and says nothing of what the
            // upstream holds: taken as a lost snapshot, it made the entry give up the whole group.
            Ok(Reply::Items { snapshot, shard, items }) => {
                if (snapshot, shard) == (task.leaf.snapshot, task.leaf.key.shard) {
                    self.answer(now, run.task, Outcome::Items(items), out);
                    return;
                }
                Outcome::Failed(Failure::Malformed)
            }
            Ok(Reply::Ran(result)) => {
                self.answer(now, run.task, Outcome::Items(result), out);
                return;
            }
            // An order that was sent may have been run, whatever broke after that. Only a connection
            // that was never made, or the upstream's own word, allows another sending.
            Err(failure) if task.leaf.once() && failure != Failure::Connect => {
                self.answer(now, run.task, Outcome::Failed(failure), out);
                return;
            }
            Ok(Reply::Gone) => Outcome::Gone,
            Ok(Reply::Shed | Reply::Draining) => Outcome::Shed,
            Ok(Reply::Expired) => Outcome::Expired,
            Ok(Reply::Cancelled) => Outcome::Failed(Failure::Closed),
            Err(failure) => Outcome::Failed(failure),
        };
        task.eligible.retain(|i| *i != index);
        task.last = Some(outcome);
        if task.runs.is_empty() {
            self.try_again(now, run.task, out);
        }
    }

    pub(crate) fn try_again(&mut self, now: Millis, number: u64, out: &mut Vec<Action>) {
        let Some(task) = self.tasks.get_mut(&number) else { return };
        let may = task.sent < self.options.attempts && !task.eligible.is_empty();
        // A shed or missing snapshot cost the upstream nothing, so only work that may have been
        // done is charged to the budget.
        let free = matches!(task.last, Some(Outcome::Shed | Outcome::Gone));
        if may && now < task.leaf.deadline && (free || self.retry.spend()) {
            self.queue.insert((task.leaf.deadline, number));
            self.give_up_if_unservable(now, number, out);
        } else {
            self.give_up(now, number, out);
        }
    }

    pub(crate) fn give_up(&mut self, now: Millis, number: u64, out: &mut Vec<Action>) {
        let last = self.tasks.get_mut(&number).and_then(|t| t.last.take());
        let outcome = last.unwrap_or(Outcome::Failed(Failure::NoUpstream));
        self.answer(now, number, outcome, out);
    }

    pub(crate) fn answer(
        &mut self,
        now: Millis,
        number: u64,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(task) = self.remove(number, out) else { return };
        out.push(Action::Answer {
            key: task.leaf.key,
            outcome,
            stock: self.stock(),
            extra: task.sent.saturating_sub(1),
            waited: task.waited.unwrap_or_default(),
            pressure: self.pressure(now),
        });
    }

    /// Takes a request out and stops what still runs for it.
    fn remove(&mut self, number: u64, out: &mut Vec<Action>) -> Option<Task> {
        let task = self.tasks.remove(&number)?;
        self.keys.remove(&task.leaf.key);
        self.queue.remove(&(task.leaf.deadline, number));
        for (ticket, index) in &task.runs {
            let upstream = &mut self.upstreams[*index];
            if let Some(run) = upstream.runs.iter_mut().find(|r| r.ticket == *ticket) {
                run.aborted = true;
                if !task.leaf.once() {
                    out.push(Action::Abort { ticket: *ticket, upstream: upstream.id });
                }
            }
        }
        Some(task)
    }

    pub(crate) fn tick(&mut self, now: Millis, pool: &mut Pool<'_>, out: &mut Vec<Action>) {
        if self.tasks.is_empty() {
            return;
        }
        self.expire(now, out);
        self.mark_late(now, pool, out);
        // What waits for a snapshot that the last upstream has let go since would wait for its deadline.
        self.give_up_unservable(now, out);
        self.fill(now, pool, out);
    }

    pub(crate) fn fill(&mut self, now: Millis, pool: &mut Pool<'_>, out: &mut Vec<Action>) {
        if self.options.hedge_first {
            self.hedge_late(now, pool, out);
            self.place(now, pool, out);
        } else {
            self.place(now, pool, out);
            self.hedge_late(now, pool, out);
        }
    }

    /// Sends waiting requests to free upstreams.
    pub(crate) fn place(&mut self, now: Millis, pool: &mut Pool<'_>, out: &mut Vec<Action>) {
        let pressed = self.pressed();
        let mut from = (Millis::ZERO, 0);
        for _ in 0..SCAN {
            if !self.upstreams.iter().any(|u| u.free(now, self.share, pressed)) {
                return;
            }
            let Some(at) = self.queue.range(from..).next().copied() else { return };
            from = (at.0, at.1 + 1);
            let Some(task) = self.tasks.get(&at.1) else { continue };
            let usable = self.usable(task);
            let candidates = self.candidates(now, &usable);
            let Some(chosen) = self.policy.choose(now, &candidates) else { continue };
            let what = if task.sent == 0 { What::Send } else { What::Retry };
            self.queue.remove(&at);
            if what == What::Send {
                pool.hedge.request();
                self.retry.earn();
            }
            self.send(now, at.1, usable[chosen], what, pool, out);
        }
    }

    pub(crate) fn send(
        &mut self,
        now: Millis,
        number: u64,
        index: usize,
        what: What,
        pool: &mut Pool<'_>,
        out: &mut Vec<Action>,
    ) {
        let traced = self.tasks.get(&number).is_some_and(|t| t.leaf.traced);
        let passed = if traced { self.passed(now, number, index) } else { SmallVec::new() };
        let Some(task) = self.tasks.get_mut(&number) else { return };
        let ticket = pool.ticket();
        task.sent += 1;
        task.hedged |= what == What::Hedge;
        task.waited.get_or_insert(now - task.arrived);
        task.runs.push((ticket, index));
        let upstream = &mut self.upstreams[index];
        upstream.runs.push(Run { ticket, task: number, started: now, late: false, aborted: false });
        if traced {
            note(Some(task.leaf.key), upstream.id, what, passed, out);
        }
        out.push(Action::Send { ticket, upstream: upstream.id, leaf: task.leaf.clone() });
    }

    fn give_up_unservable(&mut self, now: Millis, out: &mut Vec<Action>) {
        let waiting: Vec<u64> = self.queue.iter().map(|(_, number)| *number).collect();
        for number in waiting {
            self.give_up_if_unservable(now, number, out);
        }
    }

    /// Answers a waiting request at once when no upstream could ever be sent it.
    pub(crate) fn give_up_if_unservable(
        &mut self,
        now: Millis,
        number: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(task) = self.tasks.get_mut(&number) else { return };
        if !task.runs.is_empty() || !self.queue.contains(&(task.leaf.deadline, number)) {
            return;
        }
        if task.leaf.deadline <= now {
            self.answer(now, number, Outcome::Expired, out);
            return;
        }
        let staying = |i: &&usize| !self.upstreams[**i].leaving();
        let staying: SmallVec<[usize; 4]> = task.eligible.iter().filter(staying).copied().collect();
        if staying.is_empty() {
            self.give_up(now, number, out);
        } else if !task.leaf.once()
            && !staying.iter().any(|i| self.upstreams[*i].holds(task.leaf.snapshot))
        {
            task.last = Some(Outcome::Gone);
            self.give_up(now, number, out);
        }
    }
}

pub(crate) fn note(
    key: Option<Key>,
    upstream: Upstream,
    what: What,
    passed: SmallVec<[(Upstream, Passed); 4]>,
    out: &mut Vec<Action>,
) {
    out.push(Action::Note(Note { key, upstream, what, passed }));
}
