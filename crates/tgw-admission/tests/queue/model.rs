//! A server that runs one query at a time, at a fixed rate, fed from the queue.

use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{collections::BTreeMap, rc::Rc};
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

/// Plays random arrivals for `seconds` on a server that needs `work_ms` for a query; figures by caller.
pub(super) fn play(callers: &[Caller], work_ms: f64, seconds: u64, seed: u64) -> Vec<Figures> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut queue = Queue::default();
    let mut figures = vec![Figures::default(); callers.len()];
    let mut of_number = BTreeMap::new();
    let (mut number, mut free_at) = (0, 0.0);
    for now_ms in 0..seconds * 1000 {
        let now = Millis::new(now_ms);
        for (index, caller) in callers.iter().enumerate() {
            if rng.random::<f64>() >= caller.per_s / 1000.0 {
                continue;
            }
            number += 1;
            of_number.insert(number, index);
            figures[index].asked += 1;
            let tenant = caller.tenant.clone();
            let (priority, start_by) = (caller.priority, now + caller.patience);
            queue
                .push(now, Entry { number, priority, tenant, queued_at: now, start_by, cost: 1.0 });
        }
        queue.expire(now);
        while free_at <= now_ms as f64 {
            let Some(entry) = queue.pop(now) else { break };
            free_at = free_at.max(now_ms as f64 - 1.0) + work_ms;
            figures[of_number[&entry.number]].served += 1;
        }
    }
    figures
}

/// The figures of several callers together.
pub(super) fn sum<'a>(figures: impl IntoIterator<Item = &'a Figures>) -> Figures {
    figures.into_iter().fold(Figures::default(), |sum, one| Figures {
        asked: sum.asked + one.asked,
        served: sum.served + one.served,
    })
}
