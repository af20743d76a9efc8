use super::{drain, entry, ms};
use std::rc::Rc;
use test_case::test_case;
use tgw_admission::queue::{CAPACITY, Entry, Queue};

fn filled(entries: impl IntoIterator<Item = Entry>) -> Queue {
    let mut queue = Queue::default();
    for entry in entries {
        assert_eq!(queue.push(ms(0), entry), None);
    }
    queue
}

/// Guards against a less urgent query that is admitted first because it has less time or a lighter tenant.
#[test]
fn priority_precedes_use_and_time() {
    let mut queue = filled([entry(1, 2, "", 50), entry(2, 0, "hot", 900), entry(3, 1, "", 100)]);
    queue.record_use(ms(0), Some(&"hot".into()), 20.0);
    assert_eq!(drain(&mut queue, ms(1)), [2, 3, 1]);
}

/// Guards against a hot tenant that is served before others because its queries have less time.
#[test]
fn lighter_tenants_precede_hot_ones() {
    let mut queue = filled([entry(1, 1, "hot", 50), entry(2, 1, "a", 400), entry(3, 1, "", 300)]);
    queue.record_use(ms(0), Some(&"hot".into()), 20.0);
    assert_eq!(drain(&mut queue, ms(1)), [3, 2, 1]);
}

/// Guards against weights that are ignored: of equal use, the tenant with twice the weight has the smaller share.
#[test]
fn use_counts_by_weight() {
    let mut queue = filled([entry(1, 1, "a", 100), entry(2, 1, "heavy", 300)]);
    queue.set_weights([("heavy".into(), 2.0), ("other".into(), f64::NAN)]);
    for tenant in ["a", "heavy"] {
        queue.record_use(ms(0), Some(&tenant.into()), 8.0);
    }
    assert_eq!(drain(&mut queue, ms(1)), [2, 1]);
}

/// Guards against queries without tenants or priorities that are ordered by arrival instead of by time left.
#[test]
fn least_time_left_decides_among_alike() {
    let times = [300, 100, 200, 100];
    let mut queue = filled((0..).zip(times).map(|(number, time)| entry(number, 0, "", time)));
    assert_eq!(drain(&mut queue, ms(1)), [1, 3, 2, 0]);
}

/// Guards against an admission of a query that can no longer be served in time, and against keeping it.
#[test]
fn passed_entries_are_expired_not_admitted() {
    let mut queue = filled([entry(1, 0, "", 10), entry(2, 1, "", 20), entry(3, 2, "", 30)]);
    assert_eq!(queue.pop(ms(21)).map(|entry| entry.number), Some(3));
    assert_eq!(queue.pop(ms(21)), None);
    let expired: Vec<u64> = queue.expire(ms(21)).iter().map(|entry| entry.number).collect();
    assert_eq!((expired, queue.len()), (vec![1, 2], 0));
}

/// Guards against an expired entry that is admitted, or use that is restored, when the clock goes back by a tick.
#[test]
fn time_that_goes_back_changes_nothing() {
    let mut queue = filled([entry(1, 0, "", 10), entry(2, 0, "", 40)]);
    assert_eq!(queue.expire(ms(11)).len(), 1);
    assert_eq!(queue.push(ms(10), entry(3, 0, "", 10)), None);
    assert_eq!(queue.cost_ahead(ms(9), &entry(4, 0, "", 50)), 1.0);
    assert_eq!(queue.pop(ms(9)).map(|entry| entry.number), Some(2));
    assert_eq!(queue.expire(ms(9)).len(), 1);
}

/// Guards against a full queue that grows, or that rejects an urgent query to keep a less urgent one.
#[test]
fn full_queue_displaces_the_last_in_order() {
    let mut queue = filled((0..CAPACITY as u64).map(|number| entry(number, 1, "", 1000 + number)));
    let displaced = |queue: &mut Queue, entry| queue.push(ms(1), entry).map(|entry| entry.number);
    assert_eq!(displaced(&mut queue, entry(900, 1, "", 2000)), Some(900));
    assert_eq!(displaced(&mut queue, entry(901, 0, "", 9000)), Some(255));
    assert_eq!(displaced(&mut queue, entry(902, 1, "a", 9000)), Some(254));
    assert_eq!(queue.len(), CAPACITY);
}

/// Guards against a full queue without an entry of the last priority, which then cannot age.
#[test]
fn each_priority_keeps_an_eighth_of_the_places() {
    let mut queue = filled((0..CAPACITY as u64).map(|number| entry(number, 0, "", 1000 + number)));
    let displaced = (1000..1040).map(|number| queue.push(ms(1), entry(number, 2, "", number)));
    let numbers: Vec<u64> = displaced.flatten().map(|entry| entry.number).collect();
    assert_eq!(numbers[..32], (224..256).rev().collect::<Vec<_>>());
    assert_eq!(numbers[32..], (1032..1040).collect::<Vec<_>>());
    for priority in 0..1000 {
        queue.push(ms(1), entry(2000 + u64::from(priority), priority, "", 900));
    }
    assert_eq!(queue.len(), CAPACITY);
}

/// Guards against a query that is displaced while one whose time has passed keeps its place.
#[test]
fn full_queue_gives_up_passed_entries_first() {
    let mut queue = filled((0..CAPACITY as u64).map(|number| entry(number, 0, "", 10 + number)));
    let displaced = queue.push(ms(11), entry(900, 5, "", 500)).map(|entry| entry.number);
    assert_eq!(displaced, Some(0));
}

/// Guards against panics, use that is never forgotten and unbounded turns by costs and priorities from bad input.
#[test_case(0.0; "zero")]
#[test_case(-5.0; "negative")]
#[test_case(f64::NAN; "not a number")]
#[test_case(f64::INFINITY; "infinite")]
#[test_case(f64::NEG_INFINITY; "negative infinity")]
#[test_case(1e300; "huge")]
fn bad_costs_are_bounded(cost: f64) {
    let mut queue = Queue::default();
    for number in 0..100 {
        queue.push(ms(0), Entry { cost, ..entry(number, u32::MAX, "bad", 1000) });
        queue.push(ms(0), entry(100 + number, u32::MAX, "good", 1000));
    }
    let ahead = queue.cost_ahead(ms(0), &entry(900, u32::MAX, "bad", 2000));
    assert!(ahead > 0.9 && ahead <= 100_100.0, "{ahead}");
    queue.record_use(ms(0), Some(&"bad".into()), cost);
    assert_eq!(drain(&mut queue, ms(1)).len(), 200);
    queue.record_use(ms(120_000), None, 1.0);
    assert_eq!(queue.tenants(), 0);
}

/// Guards against memory that grows with the number of tenants ever seen, and against panics beyond the bound.
#[test]
fn memory_for_tenants_is_bounded() {
    let mut queue = Queue::default();
    for number in 0..10_000 {
        queue.record_use(ms(number / 100), Some(&format!("t{number}").into()), 1.0);
    }
    assert_eq!(queue.tenants(), 4096);
    queue.push(ms(100), entry(1, 0, "t9999", 90_000));
    queue.record_use(ms(80_000), None, 1.0);
    assert_eq!(queue.tenants(), 0);
    assert_eq!(drain(&mut queue, ms(80_000)), [1]);
}

/// Guards against a tenant that saves up a claim while idle, or pays for what it used minutes ago.
#[test]
fn idle_tenants_return_without_credit_or_debt() {
    let mut queue = Queue::default();
    let (idle, steady): (Rc<str>, Rc<str>) = ("idle".into(), "steady".into());
    queue.record_use(ms(0), Some(&idle), 500.0);
    for second in 0..120 {
        queue.record_use(ms(second * 1000), Some(&steady), 2.0);
    }
    // The use of `steady` is that of about four seconds: the one that returns is ahead by no more than that.
    for number in 0..100 {
        let (tenant, time) = if number < 50 { ("idle", 130_000) } else { ("steady", 121_000) };
        queue.push(ms(120_000), entry(number, 0, tenant, time));
    }
    let admitted = drain(&mut queue, ms(120_000));
    let of_idle = admitted.iter().take(20).filter(|number| **number < 50).count();
    assert!((10..=15).contains(&of_idle), "{of_idle} of 20");
}
