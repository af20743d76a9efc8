use crate::answer::{Coverage, Reason};
use bytes::Bytes;
use smallvec::SmallVec;
use tgw_clock::Millis;
use tgw_topology::{Group, Query, Service, Shard, Snapshot, Vm};

/// Attempt numbers of a query that began again start this much higher, so that a reply to an
/// attempt on the earlier snapshot matches none of the new ones.
const RESTART_STEP: u8 = 64;

/// One attempt at one shard.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: u8,
    pub(crate) group: Group,
    pub(crate) to: Vm,
    pub(crate) sent: Millis,
    pub(crate) open: bool,
    /// It ended without being sent to an upstream, and counts as none.
    pub(crate) unsent: bool,
}

/// What is known of one shard.
#[derive(Clone, Debug)]
pub(crate) enum State {
    Open,
    Done(Bytes),
    Missing(Reason),
}

/// One shard of a running query.
#[derive(Clone, Debug)]
pub(crate) struct Part {
    pub(crate) shard: Shard,
    pub(crate) state: State,
    pub(crate) attempts: SmallVec<[Attempt; 2]>,
    pub(crate) next: u8,
    pub(crate) late: bool,
    pub(crate) hedged: bool,
    /// VMs that do not dispatch to the group they were asked for, and whom the last of them named.
    pub(crate) turned_away: SmallVec<[Vm; 2]>,
    pub(crate) named: Option<Vm>,
    pub(crate) last: Option<Reason>,
}

impl Part {
    pub(crate) fn open(&self) -> bool {
        matches!(self.state, State::Open)
    }

    /// Notes that the VM of an attempt does not dispatch to the group, and whom it named instead.
    pub(crate) fn turn_away(&mut self, number: u8, named: Option<Vm>) {
        if let Some(at) = self.attempts.iter().position(|a| a.number == number) {
            self.turned_away.push(self.attempts.remove(at).to);
        }
        self.named = named;
    }

    /// Notes that an attempt was given back unsent.
    pub(crate) fn unsent(&mut self, number: u8) {
        if let Some(attempt) = self.attempts.iter_mut().find(|a| a.number == number) {
            attempt.unsent = true;
        }
    }

    /// Attempts that may have cost an upstream work.
    pub(crate) fn sent(&self) -> usize {
        self.attempts.iter().filter(|a| !a.unsent).count()
    }

    /// Whether a group may have worked on the shard: one that gave it back unsent may be asked again.
    pub(crate) fn sent_to(&self, group: Group) -> bool {
        self.attempts.iter().any(|a| a.group == group && !a.unsent)
    }

    /// Groups whose answer is still awaited or was of no use.
    pub(crate) fn tried(&self, group: Group) -> bool {
        self.attempts.iter().any(|a| a.group == group)
    }
}

/// One running query.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) query: Query,
    pub(crate) token: u64,
    pub(crate) service: Service,
    pub(crate) body: Bytes,
    pub(crate) began: Millis,
    pub(crate) deadline: Millis,
    pub(crate) snapshot: Snapshot,
    pub(crate) given_up: SmallVec<[Snapshot; 2]>,
    pub(crate) parts: Vec<Part>,
    pub(crate) open: usize,
    pub(crate) waited: Millis,
    pub(crate) traced: bool,
}

impl Running {
    /// Lays out the parts for `snapshot` of `shards` shards, all open.
    pub(crate) fn lay_out(&mut self, snapshot: Snapshot, shards: usize) {
        let first = self.given_up.len() as u8 * RESTART_STEP;
        self.snapshot = snapshot;
        self.open = shards;
        let part = |index: usize| Part {
            shard: Shard(index as u16),
            state: State::Open,
            attempts: SmallVec::new(),
            next: first,
            late: false,
            hedged: false,
            turned_away: SmallVec::new(),
            named: None,
            last: None,
        };
        self.parts = (0..shards).map(part).collect();
    }

    pub(crate) fn close(&mut self, index: usize, state: State) {
        if let Some(part) = self.parts.get_mut(index).filter(|p| p.open()) {
            part.state = state;
            self.open -= 1;
        }
    }

    pub(crate) fn coverage(&self) -> Coverage {
        let mut coverage = Coverage { shards: self.parts.len(), ..Coverage::default() };
        for part in &self.parts {
            match &part.state {
                State::Done(_) => coverage.answered += 1,
                State::Missing(reason) => coverage.missing.push((part.shard, *reason)),
                State::Open => coverage.missing.push((part.shard, Reason::Deadline)),
            }
        }
        coverage
    }

    pub(crate) fn items(&mut self) -> Vec<(Shard, Bytes)> {
        let done = self.parts.iter_mut().filter_map(|part| match &mut part.state {
            State::Done(items) => Some((part.shard, std::mem::take(items))),
            _ => None,
        });
        done.collect()
    }
}
