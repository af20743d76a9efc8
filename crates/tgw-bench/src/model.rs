use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use std::collections::VecDeque;
use tgw_clock::Millis;
use tgw_dispatch::Leaf;
use tgw_topology::{Snapshot, catalog::UpstreamEntry};

/// Median service time in milliseconds, and the spread of its logarithm.
pub(crate) const MEDIAN_MS: f64 = 4.0;
pub(crate) const SIGMA: f64 = 0.35;
/// How much longer a cold upstream takes, and for how many requests.
const COLD_FACTOR: f64 = 5.0;
/// Requests that a cold upstream must serve to be warm.
pub(crate) const COLD_REQUESTS: u32 = 60;

/// Mean service time in milliseconds.
pub(crate) fn mean_ms() -> f64 {
    MEDIAN_MS * (SIGMA * SIGMA / 2.0).exp()
}

/// A request at an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) vm: usize,
    /// The life of the VM that sent it.
    pub(crate) life: u32,
    pub(crate) ticket: u64,
    pub(crate) leaf: Leaf,
}

/// One upstream.
pub(crate) struct Upstream {
    pub(crate) node: UpstreamEntry,
    pub(crate) running: Vec<(u64, Job)>,
    pub(crate) queue: VecDeque<Job>,
    pub(crate) backlog: usize,
    pub(crate) factor: f64,
    pub(crate) cold: u32,
    pub(crate) held: Vec<Snapshot>,
    pub(crate) broken: bool,
    pub(crate) draining: bool,
    next: u64,
}

/// What becomes of a request that arrives.
pub(crate) enum Taken {
    /// It runs, and ends after this time unless it is stopped.
    Runs(u64, Millis),
    Waits,
    Shed,
}

impl Upstream {
    pub(crate) fn new(node: &UpstreamEntry, held: Vec<Snapshot>, backlog: usize) -> Self {
        Self {
            node: node.clone(),
            running: Vec::new(),
            queue: VecDeque::new(),
            backlog,
            factor: 1.0,
            cold: 0,
            held,
            broken: false,
            draining: false,
            next: 0,
        }
    }

    pub(crate) fn arrive(&mut self, job: Job, rng: &mut SmallRng) -> Taken {
        if self.running.len() < usize::from(self.node.max_concurrency) {
            let (run, time) = self.start(job, rng);
            return Taken::Runs(run, time);
        }
        if self.queue.len() >= self.backlog {
            return Taken::Shed;
        }
        self.queue.push_back(job);
        Taken::Waits
    }

    fn start(&mut self, job: Job, rng: &mut SmallRng) -> (u64, Millis) {
        self.next += 1;
        let mut factor = self.factor;
        if self.cold > 0 {
            self.cold -= 1;
            factor *= COLD_FACTOR;
        }
        // Layout 2 has twice the shards of layout 1, each with half of the data.
        factor /= f64::from(job.leaf.snapshot.layout.0);
        let normal = LogNormal::new(MEDIAN_MS.ln(), SIGMA);
        let ms = normal.map_or(MEDIAN_MS, |n| n.sample(rng));
        self.running.push((self.next, job));
        (self.next, Millis::from_f64(ms * factor))
    }

    /// Takes a run out when it ends; `None` if it was stopped before.
    pub(crate) fn finish(&mut self, run: u64) -> Option<Job> {
        let at = self.running.iter().position(|(id, _)| *id == run)?;
        Some(self.running.remove(at).1)
    }

    /// Stops a request; whether it was still there.
    pub(crate) fn stop(&mut self, vm: usize, ticket: u64) -> bool {
        let before = self.running.len() + self.queue.len();
        let other = |j: &Job| j.vm != vm || j.ticket != ticket;
        self.running.retain(|(_, j)| other(j));
        self.queue.retain(other);
        before != self.running.len() + self.queue.len()
    }

    /// Starts a waiting request if a slot is free.
    pub(crate) fn next(&mut self, rng: &mut SmallRng) -> Option<(u64, Millis)> {
        if self.running.len() >= usize::from(self.node.max_concurrency) {
            return None;
        }
        let job = self.queue.pop_front()?;
        Some(self.start(job, rng))
    }
}
