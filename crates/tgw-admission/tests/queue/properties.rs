use super::ms;
use proptest::prelude::*;
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};
use tgw_admission::queue::{CAPACITY, Entry, Queue, Usage};
use tgw_clock::Millis;

#[derive(Clone, Debug)]
enum Step {
    Push {
        priority: u32,
        tenant: Option<Rc<str>>,
        patience: u64,
        cost: f64,
    },
    Pop,
    Remove(u64),
    Expire,
    Use(u64, f64),
    /// To a time relative to now, in ms; may go back.
    Time(i64),
}

fn costs() -> impl Strategy<Value = f64> {
    let odd = prop::sample::select(vec![0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1e-300]);
    prop_oneof![8 => 0.1..5.0f64, 1 => odd]
}

fn tenants() -> impl Strategy<Value = Option<Rc<str>>> {
    (0u8..6).prop_map(|tenant| (tenant > 0).then(|| format!("t{tenant}").into()))
}

fn pushes(costs: impl Strategy<Value = f64>) -> impl Strategy<Value = Step> {
    let priorities = prop_oneof![6 => 0u32..3, 1 => Just(u32::MAX)];
    (priorities, tenants(), 0u64..400, costs).prop_map(|(priority, tenant, patience, cost)| {
        Step::Push { priority, tenant, patience, cost }
    })
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => pushes(costs()),
        3 => Just(Step::Pop),
        1 => (0u64..400).prop_map(Step::Remove),
        1 => Just(Step::Expire),
        1 => (0u64..6, costs()).prop_map(|(tenant, cost)| Step::Use(tenant, cost)),
        2 => (-5i64..40).prop_map(Step::Time),
    ];
    prop::collection::vec(step, 0..700)
}

fn waiting(number: u64, now: Millis, step: &Step) -> Option<Entry> {
    let Step::Push { priority, tenant, patience, cost } = step else { return None };
    let (tenant, start_by) = (tenant.clone(), now + ms(*patience));
    Some(Entry { number, priority: *priority, tenant, queued_at: now, start_by, cost: *cost })
}

fn filled(pushes: &[Step], uses: &[f64]) -> (Queue, Vec<Entry>) {
    let mut queue = Queue::default();
    for (number, cost) in uses.iter().enumerate() {
        queue.record_use(ms(0), Some(&format!("t{number}").into()), *cost);
    }
    let remote =
        uses.iter().rev().zip(1..).map(|(used, number)| (Some(format!("t{number}").into()), *used));
    queue.apply_usage(ms(0), 9, &Usage { taken_at: ms(0), tenants: remote.collect() });
    let numbered = (0..).zip(pushes);
    let entries: Vec<Entry> = numbered.filter_map(|(n, step)| waiting(n, ms(0), step)).collect();
    for entry in &entries {
        queue.push(ms(0), entry.clone());
    }
    (queue, entries)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against entries that are lost, returned twice or changed, against a queue that outgrows its bound, that
    // admits nothing while an entry can start, and that admits or keeps what can no longer start.
    #[test]
    fn entries_leave_once(steps in steps()) {
        let (mut queue, mut now, mut latest) = (Queue::default(), ms(100), ms(0));
        let mut inside: Vec<Entry> = Vec::new();
        for (number, step) in (0..).zip(&steps) {
            if !matches!(step, Step::Time(_) | Step::Remove(_)) {
                latest = latest.max(now);
            }
            let live = inside.iter().any(|entry| entry.start_by >= latest);
            let left: Vec<Entry> = match step {
                Step::Push { .. } => {
                    let entry = waiting(number, now, step);
                    inside.extend(entry.clone());
                    entry.and_then(|entry| queue.push(now, entry)).into_iter().collect()
                }
                Step::Pop => {
                    let popped = queue.pop(now);
                    prop_assert_eq!(popped.is_some(), live);
                    prop_assert!(popped.iter().all(|entry| entry.start_by >= latest));
                    popped.into_iter().collect()
                }
                Step::Remove(number) => queue.remove(*number).into_iter().collect(),
                Step::Expire => {
                    let expired = queue.expire(now);
                    prop_assert!(expired.iter().all(|entry| entry.start_by < latest));
                    expired
                }
                Step::Use(tenant, cost) => {
                    queue.record_use(now, Some(&format!("t{tenant}").into()), *cost);
                    Vec::new()
                }
                Step::Time(by) => {
                    let to = now.as_whole_ms().saturating_add_signed(*by);
                    now = ms(to);
                    Vec::new()
                }
            };
            for entry in left {
                let at = inside.iter().position(|one| one.number == entry.number);
                prop_assert!(at.is_some(), "{} was not inside", entry.number);
                let was = inside.swap_remove(at.unwrap());
                prop_assert_eq!(format!("{was:?}"), format!("{entry:?}"));
            }
            prop_assert_eq!(queue.len(), inside.len());
            prop_assert!(queue.len() <= CAPACITY);
            if matches!(step, Step::Expire) {
                prop_assert!(inside.iter().all(|entry| entry.start_by >= latest));
            }
        }
    }

    // Guards against a prediction that differs from what happens: each entry is admitted after exactly the work that
    // was said to be ahead of it. Each eighth admission is out of order, so the prediction is made anew after it.
    #[test]
    fn cost_ahead_agrees_with_pop(
        pushes in prop::collection::vec(pushes(0.1..5.0f64), 1..60),
        uses in prop::collection::vec(0.0..20.0f64, 0..6),
    ) {
        let (mut queue, mut entries) = filled(&pushes, &uses);
        let (mut predicted, mut admitted) = (BTreeMap::new(), 0.0);
        for admissions in 0.. {
            if admissions % 8 == 0 {
                let ahead = |entry: &Entry| (entry.number, queue.cost_ahead(ms(0), entry));
                predicted = entries.iter().map(ahead).collect();
                admitted = 0.0;
            }
            let Some(popped) = queue.pop(ms(0)) else { break };
            let by_order = admissions % 8 != 7;
            prop_assert!(!by_order || (predicted[&popped.number] - admitted).abs() < 1e-9);
            admitted += popped.cost;
            entries.retain(|entry| entry.number != popped.number);
        }
        prop_assert!(entries.is_empty());
    }

    // Guards against a prediction for a query that asks that differs from the one once it waits.
    #[test]
    fn cost_ahead_is_the_same_before_and_after_push(
        pushes in prop::collection::vec(pushes(costs()), 1..60),
        uses in prop::collection::vec(0.0..20.0f64, 0..6),
    ) {
        let (mut queue, entries) = filled(&pushes[1..], &uses);
        let entry = Entry { number: 900, ..waiting(900, ms(0), &pushes[0]).unwrap() };
        let before = queue.cost_ahead(ms(0), &entry);
        prop_assert_eq!(queue.push(ms(0), entry.clone()), None);
        prop_assert_eq!(before, queue.cost_ahead(ms(0), &entry));
        prop_assert_eq!(entries.len() + 1, queue.len());
    }

    // Guards against an order that depends on the sequence of arrivals.
    #[test]
    fn order_does_not_depend_on_arrival(
        pushes in prop::collection::vec(pushes(costs()), 1..40),
        uses in prop::collection::vec(0.0..20.0f64, 0..6),
        turn in any::<prop::sample::Index>(),
    ) {
        let (mut queue, entries) = filled(&pushes, &uses);
        let (mut other, _) = filled(&[], &uses);
        let mut turned = entries.clone();
        turned.rotate_left(turn.index(entries.len()));
        for entry in turned {
            other.push(ms(0), entry);
        }
        let numbers = |queue: &mut Queue| -> Vec<u64> { super::drain(queue, ms(0)) };
        let (one, two) = (numbers(&mut queue), numbers(&mut other));
        prop_assert_eq!(one.iter().collect::<BTreeSet<_>>().len(), entries.len());
        prop_assert_eq!(one, two);
    }
}
