//! A server that runs one query at a time, at a fixed rate, fed from the queue.

use rand::{Rng, SeedableRng, rngs::StdRng};
use std::rc::Rc;
use tgw_admission::queue::{Entry, Queue};
use tgw_clock::Millis;

/// Queries of one kind.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) tenant: Option<Rc<str>>,
    pub(super) priority: u32,
    pub(super) per_s: f64,
    /// How long a query can wait.
    pub(super) patience: Millis,
}

impl Caller {
    pub(super) fn new(tenant: &str, priority: u32, per_s: f64, patience_ms: u64) -> Self {
        let tenant = (!tenant.is_empty()).then(|| Rc::from(tenant));
        Self { tenant, priority, per_s, patience: Millis::new(patience_ms) }
    }
}

/// What a caller asked and what was served.
#[derive(Copy, Clone, Debug, Default)]
pub(super) struct Figures {
    pub(super) asked: u64,
    pub(super) served: u64,
}

impl Figures {
    pub(super) fn fraction(&self) -> f64 {
        self.served as f64 / self.asked as f64
    }
}

/// One VM with its callers.
pub(super) struct Server {
    pub(super) queue: Queue,
    pub(super) figures: Vec<Figures>,
    callers: Vec<Caller>,
    work_ms: f64,
    free_at: f64,
    /// Whether queries that cannot start in time are rejected on arrival.
    rejects: bool,
    /// The caller of each query, by its number.
    caller_of: Vec<usize>,
    rng: StdRng,
}

impl Server {
    pub(super) fn new(callers: &[Caller], work_ms: f64, seed: u64) -> Self {
        Self {
            queue: Queue::default(),
            figures: vec![Figures::default(); callers.len()],
            callers: callers.to_vec(),
            work_ms,
            free_at: 0.0,
            rejects: false,
            caller_of: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub(super) fn rejecting(self) -> Self {
        Self { rejects: true, ..self }
    }

    /// Plays the ms from `now_ms` on.
    pub(super) fn step(&mut self, now_ms: u64) {
        let now = Millis::new(now_ms);
        for (index, caller) in self.callers.iter().enumerate() {
            if self.rng.random::<f64>() >= caller.per_s / 1000.0 {
                continue;
            }
            self.figures[index].asked += 1;
            let entry = Entry {
                number: self.caller_of.len() as u64,
                priority: caller.priority,
                tenant: caller.tenant.clone(),
                queued_at: now,
                start_by: now + caller.patience,
                cost: 1.0,
            };
            self.caller_of.push(index);
            if self.rejects && !self.queue.can_start(now, &entry, 1.0 / self.work_ms) {
                self.queue.record_rejection(now, entry.tenant.as_ref());
            } else {
                self.queue.push(now, entry);
            }
        }
        self.queue.expire(now);
        while self.free_at <= now_ms as f64 {
            let Some(entry) = self.queue.pop(now) else { break };
            self.free_at = self.free_at.max(now_ms as f64 - 1.0) + self.work_ms;
            self.figures[self.caller_of[entry.number as usize]].served += 1;
        }
    }
}

/// Plays random arrivals for `seconds` on a server that needs `work_ms` for a query; figures by caller.
pub(super) fn play(callers: &[Caller], work_ms: f64, seconds: u64, seed: u64) -> Vec<Figures> {
    let mut server = Server::new(callers, work_ms, seed);
    for now_ms in 0..seconds * 1000 {
        server.step(now_ms);
    }
    server.figures
}

/// The figures of several callers together.
pub(super) fn sum<'a>(figures: impl IntoIterator<Item = &'a Figures>) -> Figures {
    figures.into_iter().fold(Figures::default(), |sum, one| Figures {
        asked: sum.asked + one.asked,
        served: sum.served + one.served,
    })
}
