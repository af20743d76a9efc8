//! Order and fairness among queries that wait.

mod loads;
mod model;
mod order;
mod properties;
mod usage;

use std::rc::Rc;
use tgw_admission::queue::{Entry, Queue};
use tgw_clock::Millis;

fn ms(ms: u64) -> Millis {
    Millis::new(ms)
}

fn entry(number: u64, priority: u32, tenant: &str, start_by: u64) -> Entry {
    let tenant = (!tenant.is_empty()).then(|| Rc::from(tenant));
    Entry { number, priority, tenant, queued_at: ms(0), start_by: ms(start_by), cost: 1.0 }
}

/// Admits everything; returns the numbers in order.
fn drain(queue: &mut Queue, now: Millis) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(now)).map(|entry| entry.number).collect()
}
