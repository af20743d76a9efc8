use crate::answer::{Coverage, MissingReason};
use bytes::Bytes;
use smallvec::SmallVec;
use tgw_clock::Millis;
use tgw_topology::{Group, Query, Service, Shard, Snapshot, Vm};

/// Attempt numbers start this much higher after each restart of a query, so that an outcome of an
/// attempt on an earlier snapshot matches no new attempt.
const RESTART_ATTEMPT_OFFSET: u8 = 64;

/// One attempt at one shard.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) number: u8,
    pub(crate) group: Group,
    pub(crate) to: Vm,
    pub(crate) sent_at: Millis,
    pub(crate) in_flight: bool,
    /// Whether it was returned without being sent to an upstream; it then does not count as an
    /// attempt.
    pub(crate) returned_unsent: bool,
}

/// Status of one shard of a running query.
#[derive(Clone, Debug)]
pub(crate) enum ShardStatus {
    Open,
    Done(Bytes),
    Missing(MissingReason),
}

/// Attempts at one shard of a running query.
#[derive(Clone, Debug)]
pub(crate) struct ShardProgress {
    pub(crate) shard: Shard,
    pub(crate) status: ShardStatus,
    pub(crate) attempts: SmallVec<[Attempt; 2]>,
    pub(crate) next_attempt: u8,
    pub(crate) counted_late: bool,
    pub(crate) hedged: bool,
    /// VMs that declined because they do not own the group, and the owner that the last of them
    /// named.
    pub(crate) declined_by: SmallVec<[Vm; 2]>,
    pub(crate) named_owner: Option<Vm>,
    pub(crate) last_failure: Option<MissingReason>,
}

impl ShardProgress {
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.status, ShardStatus::Open)
    }

    /// Records that the VM of an attempt does not own the group, and the owner that it named.
    pub(crate) fn record_declined(&mut self, number: u8, named_owner: Option<Vm>) {
        if let Some(at) = self.attempts.iter().position(|a| a.number == number) {
            self.declined_by.push(self.attempts.remove(at).to);
        }
        self.named_owner = named_owner;
    }

    /// Records that an attempt was returned unsent.
    pub(crate) fn mark_returned(&mut self, number: u8) {
        if let Some(attempt) = self.attempts.iter_mut().find(|a| a.number == number) {
            attempt.returned_unsent = true;
        }
    }

    /// Number of attempts that may have cost an upstream work.
    pub(crate) fn sent_attempts(&self) -> usize {
        self.attempts.iter().filter(|a| !a.returned_unsent).count()
    }

    /// Whether a group may have worked on the shard; one that returned it unsent may be tried
    /// again.
    pub(crate) fn was_sent_to(&self, group: Group) -> bool {
        self.attempts.iter().any(|a| a.group == group && !a.returned_unsent)
    }

    /// Whether an attempt at the group is in flight or has ended without success.
    pub(crate) fn was_tried(&self, group: Group) -> bool {
        self.attempts.iter().any(|a| a.group == group)
    }
}

/// State of one running query.
#[derive(Clone, Debug)]
pub(crate) struct RunningQuery {
    pub(crate) query: Query,
    pub(crate) token: u64,
    pub(crate) service: Service,
    pub(crate) body: Bytes,
    pub(crate) submitted_at: Millis,
    pub(crate) deadline: Millis,
    pub(crate) snapshot: Snapshot,
    pub(crate) abandoned_snapshots: SmallVec<[Snapshot; 2]>,
    pub(crate) shards: Vec<ShardProgress>,
    pub(crate) open_shards: usize,
    pub(crate) max_queue_wait: Millis,
    pub(crate) traced: bool,
}

impl RunningQuery {
    /// Starts over with `snapshot`, all of whose `shard_count` shards are open.
    pub(crate) fn reset_shards(&mut self, snapshot: Snapshot, shard_count: usize) {
        let first_attempt = self.abandoned_snapshots.len() as u8 * RESTART_ATTEMPT_OFFSET;
        self.snapshot = snapshot;
        self.open_shards = shard_count;
        let new_shard = |index: usize| ShardProgress {
            shard: Shard(index as u16),
            status: ShardStatus::Open,
            attempts: SmallVec::new(),
            next_attempt: first_attempt,
            counted_late: false,
            hedged: false,
            declined_by: SmallVec::new(),
            named_owner: None,
            last_failure: None,
        };
        self.shards = (0..shard_count).map(new_shard).collect();
    }

    pub(crate) fn close_shard(&mut self, index: usize, status: ShardStatus) {
        if let Some(progress) = self.shards.get_mut(index).filter(|p| p.is_open()) {
            progress.status = status;
            self.open_shards -= 1;
        }
    }

    /// Which shards were answered, and why the others are missing. A shard that is still open counts
    /// as missed at the deadline.
    pub(crate) fn coverage(&self) -> Coverage {
        let mut coverage = Coverage { shards: self.shards.len(), ..Coverage::default() };
        for p in &self.shards {
            match &p.status {
                ShardStatus::Done(_) => coverage.answered += 1,
                ShardStatus::Missing(reason) => coverage.missing.push((p.shard, *reason)),
                ShardStatus::Open => coverage.missing.push((p.shard, MissingReason::Deadline)),
            }
        }
        coverage
    }

    pub(crate) fn items(&mut self) -> Vec<(Shard, Bytes)> {
        let done = self.shards.iter_mut().filter_map(|progress| match &mut progress.status {
            ShardStatus::Done(items) => Some((progress.shard, std::mem::take(items))),
            _ => None,
        });
        done.collect()
    }
}
