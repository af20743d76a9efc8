use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use std::collections::VecDeque;
use tgw_clock::Millis;
use tgw_dispatch::Leaf;
use tgw_topology::{Snapshot, catalog::UpstreamEntry};

/// Median service time in milliseconds, and the standard deviation of its logarithm.
pub(crate) const MEDIAN_MS: f64 = 4.0;
pub(crate) const LOG_STD_DEV: f64 = 0.35;
/// Factor by which a cold upstream is slower.
const COLD_FACTOR: f64 = 5.0;
/// Requests that a cold upstream must serve before it is warm.
pub(crate) const COLD_REQUESTS: u32 = 60;

/// Mean service time in milliseconds.
pub(crate) fn mean_ms() -> f64 {
    MEDIAN_MS * (LOG_STD_DEV * LOG_STD_DEV / 2.0).exp()
}

/// A request at an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) vm: usize,
    /// Generation of the sending VM; a restart of the VM raises it.
    pub(crate) generation: u32,
    pub(crate) send_id: u64,
    pub(crate) leaf: Leaf,
}

/// One upstream.
pub(crate) struct Upstream {
    pub(crate) node: UpstreamEntry,
    pub(crate) running: Vec<(u64, Job)>,
    pub(crate) queue: VecDeque<Job>,
    pub(crate) queue_limit: usize,
    pub(crate) slowdown: f64,
    pub(crate) cold_requests_left: u32,
    pub(crate) held: Vec<Snapshot>,
    pub(crate) broken: bool,
    pub(crate) draining: bool,
    next_run: u64,
}

/// Whether an upstream starts, queues or sheds a request that arrives.
pub(crate) enum Admission {
    /// The request runs under this run number, and ends after this time unless it is cancelled.
    Running(u64, Millis),
    Queued,
    Shed,
}

impl Upstream {
    pub(crate) fn new(node: &UpstreamEntry, held: Vec<Snapshot>, queue_limit: usize) -> Self {
        Self {
            node: node.clone(),
            running: Vec::new(),
            queue: VecDeque::new(),
            queue_limit,
            slowdown: 1.0,
            cold_requests_left: 0,
            held,
            broken: false,
            draining: false,
            next_run: 0,
        }
    }

    pub(crate) fn arrive(&mut self, job: Job, rng: &mut SmallRng) -> Admission {
        if self.running.len() < usize::from(self.node.max_concurrency) {
            let (run, time) = self.start(job, rng);
            return Admission::Running(run, time);
        }
        if self.queue.len() >= self.queue_limit {
            return Admission::Shed;
        }
        self.queue.push_back(job);
        Admission::Queued
    }

    fn start(&mut self, job: Job, rng: &mut SmallRng) -> (u64, Millis) {
        self.next_run += 1;
        let mut slowdown = self.slowdown;
        if self.cold_requests_left > 0 {
            self.cold_requests_left -= 1;
            slowdown *= COLD_FACTOR;
        }
        // Layout 2 has twice the shards of layout 1, each with half of the data.
        slowdown /= f64::from(job.leaf.snapshot.layout.0);
        let normal = LogNormal::new(MEDIAN_MS.ln(), LOG_STD_DEV);
        let ms = normal.map_or(MEDIAN_MS, |n| n.sample(rng));
        self.running.push((self.next_run, job));
        (self.next_run, Millis::from_f64(ms * slowdown))
    }

    /// Removes a run when it ends; returns `None` if it was cancelled before.
    pub(crate) fn finish(&mut self, run: u64) -> Option<Job> {
        let at = self.running.iter().position(|(id, _)| *id == run)?;
        Some(self.running.remove(at).1)
    }

    /// Cancels a request; returns whether it was still running or queued.
    pub(crate) fn cancel(&mut self, vm: usize, send_id: u64) -> bool {
        let before = self.running.len() + self.queue.len();
        let other = |j: &Job| j.vm != vm || j.send_id != send_id;
        self.running.retain(|(_, j)| other(j));
        self.queue.retain(other);
        before != self.running.len() + self.queue.len()
    }

    /// Starts the first queued request if a slot is free.
    pub(crate) fn start_queued(&mut self, rng: &mut SmallRng) -> Option<(u64, Millis)> {
        if self.running.len() >= usize::from(self.node.max_concurrency) {
            return None;
        }
        let job = self.queue.pop_front()?;
        Some(self.start(job, rng))
    }
}
