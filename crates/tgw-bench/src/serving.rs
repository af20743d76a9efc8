use crate::{
    model::{Admission, Job},
    sim::{Event, Sim},
};
use bytes::Bytes;
use rand::Rng;
use tgw_dispatch::{
    Leaf,
    leaf::{Failure, Reply},
};
use tgw_topology::{Shard, Snapshot};

/// Delay of a reply that arrives late because of [`Fault::Mangled`](crate::Fault::Mangled).
const LATE_REPLY_DELAY_MS: f64 = 30.0;

/// Requests at the upstreams and their replies.
impl Sim {
    pub(crate) fn handle_at_upstream(&mut self, index: usize, job: &Job) {
        let upstream = &mut self.upstreams[index];
        let reply = if upstream.broken {
            Some(Err(Failure::Closed))
        } else if upstream.draining {
            Some(Ok(Reply::Draining))
        } else if !upstream.held.contains(&job.leaf.snapshot) {
            Some(Ok(Reply::Gone))
        } else {
            None
        };
        if let Some(result) = reply {
            return self.reply(index, job, result);
        }
        let over = upstream.running.len() + upstream.queue.len() + 1;
        let slots = usize::from(upstream.node.max_concurrency);
        if over > slots && !self.policy.is_direct() {
            self.collector.over_slots = self.collector.over_slots.max((over - slots) as u64);
        }
        match self.upstreams[index].arrive(job.clone(), &mut self.rng) {
            Admission::Running(run, time) => {
                self.schedule(self.now + time, Event::Finish { upstream: index, run });
            }
            Admission::Queued => {}
            Admission::Shed => self.reply(index, job, Ok(Reply::Shed)),
        }
    }

    pub(crate) fn reply(&mut self, index: usize, job: &Job, result: Result<Reply, Failure>) {
        let delay = self.delay_to_upstream(job.vm, index);
        let held = Some(self.upstreams[index].held.iter().copied().collect());
        let Job { vm, generation, send_id, .. } = *job;
        let event = |result| Event::Done { vm, generation, send_id, result, held };
        match if self.mangles_replies { self.rng.random_range(0..10) } else { 10 } {
            0 => {
                self.schedule_after(delay, event(result.clone()));
                let held = Some(self.upstreams[index].held.iter().copied().collect());
                self.schedule_after(
                    delay + 1.0,
                    Event::Done { vm, generation, send_id, result, held },
                );
            }
            1 => self.schedule_after(delay + LATE_REPLY_DELAY_MS, event(result)),
            2 => self.schedule_after(delay, event(result.map(attribute_to_next_shard))),
            _ => self.schedule_after(delay, event(result)),
        }
    }

    pub(crate) fn finish(&mut self, index: usize, run: u64) {
        if let Some(job) = self.upstreams[index].finish(run) {
            let result = if self.upstreams[index].broken {
                Err(Failure::Closed)
            } else {
                let Leaf { key, snapshot, body, .. } = &job.leaf;
                let items = items(body, *snapshot, key.shard.0);
                Ok(Reply::Items { snapshot: *snapshot, shard: key.shard, items })
            };
            self.reply(index, &job, result);
        }
        self.start_next(index);
    }

    pub(crate) fn start_next(&mut self, index: usize) {
        while let Some((run, time)) = self.upstreams[index].start_queued(&mut self.rng) {
            self.schedule(self.now + time, Event::Finish { upstream: index, run });
        }
    }

    pub(crate) fn cancel(&mut self, index: usize, vm: usize, send_id: u64) {
        if self.upstreams[index].cancel(vm, send_id) {
            let delay = self.delay_to_upstream(vm, index);
            let held = Some(self.upstreams[index].held.iter().copied().collect());
            let generation = self.vms[vm].generation;
            let result = Ok(Reply::Cancelled);
            self.schedule_after(delay, Event::Done { vm, generation, send_id, result, held });
        }
        self.start_next(index);
    }
}

/// The same reply, attributed to the next shard.
fn attribute_to_next_shard(reply: Reply) -> Reply {
    match reply {
        Reply::Items { snapshot, shard, items } => {
            Reply::Items { snapshot, shard: Shard(shard.0 + 1), items }
        }
        other => other,
    }
}

/// Items that identify the query, the snapshot and the shard, so that a check can tell them apart.
pub(crate) fn items(body: &[u8], snapshot: Snapshot, shard: u16) -> Bytes {
    let mut bytes = Vec::with_capacity(18);
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(&snapshot.version.to_le_bytes());
    bytes.extend_from_slice(&snapshot.layout.0.to_le_bytes());
    bytes.extend_from_slice(&shard.to_le_bytes());
    bytes.into()
}
