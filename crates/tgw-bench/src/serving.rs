use crate::{
    model::{Job, Taken},
    sim::{Event, Sim},
};
use bytes::Bytes;
use rand::Rng;
use tgw_dispatch::{
    Leaf,
    leaf::{Failure, Reply},
};
use tgw_topology::{Shard, Snapshot};

/// How late a mangled reply is.
const LATE_MS: f64 = 30.0;

/// What the upstreams do with the requests that reach them.
impl Sim {
    pub(crate) fn at_upstream(&mut self, index: usize, job: &Job) {
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
        if over > slots && !self.policy.direct() {
            self.collector.over_slots = self.collector.over_slots.max((over - slots) as u64);
        }
        match self.upstreams[index].arrive(job.clone(), &mut self.rng) {
            Taken::Runs(run, time) => {
                self.at(self.now + time, Event::Finish { upstream: index, run });
            }
            Taken::Waits => {}
            Taken::Shed => self.reply(index, job, Ok(Reply::Shed)),
        }
    }

    pub(crate) fn reply(&mut self, index: usize, job: &Job, result: Result<Reply, Failure>) {
        let way = self.way_to_upstream(job.vm, index);
        let held = Some(self.upstreams[index].held.iter().copied().collect());
        let Job { vm, life, ticket, .. } = *job;
        let event = |result| Event::Done { vm, life, ticket, result, held };
        match if self.mangled { self.rng.random_range(0..10) } else { 10 } {
            0 => {
                self.after(way, event(result.clone()));
                let held = Some(self.upstreams[index].held.iter().copied().collect());
                self.after(way + 1.0, Event::Done { vm, life, ticket, result, held });
            }
            1 => self.after(way + LATE_MS, event(result)),
            2 => self.after(way, event(result.map(crossed))),
            _ => self.after(way, event(result)),
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
        while let Some((run, time)) = self.upstreams[index].next(&mut self.rng) {
            self.at(self.now + time, Event::Finish { upstream: index, run });
        }
    }

    pub(crate) fn stop(&mut self, index: usize, vm: usize, ticket: u64) {
        if self.upstreams[index].stop(vm, ticket) {
            let way = self.way_to_upstream(vm, index);
            let held = Some(self.upstreams[index].held.iter().copied().collect());
            let life = self.vms[vm].life;
            let result = Ok(Reply::Cancelled);
            self.after(way, Event::Done { vm, life, ticket, result, held });
        }
        self.start_next(index);
    }
}

/// The same reply as it would be for the next shard.
fn crossed(reply: Reply) -> Reply {
    match reply {
        Reply::Items { snapshot, shard, items } => {
            Reply::Items { snapshot, shard: Shard(shard.0 + 1), items }
        }
        other => other,
    }
}

/// What an upstream answers: the query, the snapshot and the shard, so that a check can tell.
pub(crate) fn items(body: &[u8], snapshot: Snapshot, shard: u16) -> Bytes {
    let mut bytes = Vec::with_capacity(18);
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(&snapshot.version.to_le_bytes());
    bytes.extend_from_slice(&snapshot.layout.0.to_le_bytes());
    bytes.extend_from_slice(&shard.to_le_bytes());
    bytes.into()
}
