use super::{
    drain, entry,
    model::{Caller, Server},
    ms,
};
use smallvec::SmallVec;
use std::rc::Rc;
use test_case::test_case;
use tgw_admission::queue::{Queue, Usage};

fn report(taken_at: u64, tenant: &str, used: f64) -> Usage {
    Usage { taken_at: ms(taken_at), tenants: SmallVec::from_elem((Some(tenant.into()), used), 1) }
}

/// Whether a query of tenant `a` is admitted before one of `b` that has less time.
fn a_precedes(queue: &mut Queue, now: u64) -> bool {
    queue.push(ms(now), entry(1, 0, "a", now + 900));
    queue.push(ms(now), entry(2, 0, "b", now + 800));
    let numbers = drain(queue, ms(now));
    assert_eq!(numbers.len(), 2);
    numbers[0] == 1
}

/// Guards against a tenant that gets a share at each VM by spreading its queries over them.
#[test]
fn use_at_other_vms_counts() {
    let (a, b): (Rc<str>, Rc<str>) = ("a".into(), "b".into());
    let mut vms = [(); 3].map(|()| Queue::default());
    for queue in &mut vms {
        queue.record_use(ms(10), Some(&b), 20.0);
    }
    vms[0].record_use(ms(10), Some(&a), 30.0);
    assert!(!a_precedes(&mut vms[0], 20));
    let [first, others @ ..] = &mut vms;
    for (number, other) in (1..).zip(others) {
        assert!(first.apply_usage(ms(30), number, &other.usage(ms(20))));
    }
    assert!(a_precedes(first, 40));
}

/// Guards against the same under load: three VMs that serve 100 queries/s; a tenant asks 100/s at each, three others
/// ask 100/s at one VM. Each of the four is to be served a quarter; without reports the first gets half.
#[test]
fn spread_tenant_gets_one_share() {
    let callers =
        |own: &str| [Caller::new("spread", 1, 100.0, 300), Caller::new(own, 1, 100.0, 300)];
    let vm = |(own, seed)| Server::new(&callers(own), 10.0, seed);
    let mut vms = [("a", 1), ("b", 2), ("c", 3)].map(vm);
    for now in 0..60_000 {
        vms.iter_mut().for_each(|vm| vm.step(now));
        if now % 500 > 0 {
            continue;
        }
        let reports = [0, 1, 2].map(|vm: usize| vms[vm].queue.usage(ms(now)));
        for (to, vm) in vms.iter_mut().enumerate() {
            for (from, usage) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
                vm.queue.apply_usage(ms(now + 20), from as u64, usage);
            }
        }
    }
    let served = |caller: usize| vms.iter().map(move |vm| vm.figures[caller].served);
    let (spread, least) = (served(0).sum::<u64>(), served(1).min().unwrap());
    assert!(spread < 5500 && least > 4100, "spread {spread}, least of the others {least}");
}

/// Guards against reports of a VM that add up, though each states its whole use.
#[test]
fn newer_reports_replace_older_ones() {
    let mut queue = Queue::default();
    queue.record_use(ms(0), Some(&"a".into()), 25.0);
    for number in 0..20 {
        assert!(queue.apply_usage(ms(number * 10), 7, &report(number * 10, "b", 20.0)));
    }
    assert!(!a_precedes(&mut queue, 200));
}

/// Guards against use that is counted from a report that is replayed, late, of a false clock or out of range.
#[test_case(1000, &report(500, "b", 500.0); "replayed")]
#[test_case(1000, &report(400, "b", 500.0); "older than the last")]
#[test_case(4000, &report(1500, "b", 500.0); "late")]
#[test_case(1000, &report(2000, "b", 500.0); "from the future")]
#[test_case(1000, &report(u64::MAX, "b", 500.0); "from the end of time")]
#[test_case(1000, &report(1000, "b", f64::NAN); "not a number")]
#[test_case(1000, &report(1000, "b", f64::INFINITY); "infinite")]
#[test_case(1000, &report(1000, "b", -500.0); "negative")]
#[test_case(1000, &report(1000, "b", 1e12); "huge")]
#[test_case(1000, &Usage { tenants: SmallVec::from_elem((Some("b".into()), 50.0), 17), ..report(1000, "b", 0.0) }; "too long")]
fn invalid_reports_are_ignored(now: u64, invalid: &Usage) {
    let mut queue = Queue::default();
    assert!(queue.apply_usage(ms(500), 7, &report(500, "c", 1.0)));
    assert!(!queue.apply_usage(ms(now), 7, invalid));
    assert!(!a_precedes(&mut queue, now), "tenant b was charged");
    assert!(queue.apply_usage(ms(now + 1), 7, &report(now + 1, "c", 1.0)), "the next valid one");
}

/// Guards against a VM that is ignored for good after a restart, or after a false clock in its first report.
#[test_case(900_000; "restarted")]
#[test_case(u64::MAX; "false clock")]
fn a_clock_that_goes_back_is_accepted_after_a_while(first: u64) {
    let mut queue = Queue::default();
    assert!(queue.apply_usage(ms(0), 7, &report(first, "b", 1.0)));
    let taken = (1..60)
        .find(|half| queue.apply_usage(ms(half * 500), 7, &report(half * 500 + 100, "b", 1.0)));
    assert!(taken.is_some_and(|half| half <= 24), "{taken:?}");
}

/// Guards against reports that are ignored as late once the clocks of two VMs have drifted apart.
#[test_case(0.9995; "slower")]
#[test_case(1.0005; "faster")]
fn clocks_may_drift(rate: f64) {
    let mut queue = Queue::default();
    for second in 1..100_000 {
        let taken_at = ms(second * 1000).mul_f64(rate);
        let usage = Usage { taken_at, ..report(0, "b", 1.0) };
        assert!(queue.apply_usage(ms(second * 1000), 7, &usage), "second {second}");
    }
}

/// Guards against use of a VM that is gone that is counted for ever, and against accounts that are kept for it.
#[test]
fn use_of_a_vm_that_is_gone_decays() {
    let mut queue = Queue::default();
    queue.apply_usage(ms(0), 7, &report(0, "b", 500.0));
    assert!(a_precedes(&mut queue, 2000));
    assert!(!a_precedes(&mut queue, 32_000));
    queue.record_use(ms(120_000), None, 1.0);
    assert_eq!(queue.tenants(), 0);
}

/// Guards against memory and packets that grow with the number of VMs and tenants.
#[test]
fn reports_are_bounded() {
    let mut queue = Queue::default();
    for tenant in 0..100_u32 {
        queue.record_use(ms(0), Some(&format!("t{tenant}").into()), f64::from(tenant));
    }
    let usage = queue.usage(ms(1));
    let heaviest: Vec<f64> = usage.tenants.iter().map(|(_, used)| *used).collect();
    assert_eq!(heaviest, (84..100).rev().map(f64::from).collect::<Vec<_>>());
    let taken =
        (0..1000).filter(|vm| queue.apply_usage(ms(1), *vm, &report(1, &format!("v{vm}"), 1.0)));
    assert_eq!(taken.count(), 64);
    assert!(queue.tenants() <= 164);
}

/// Guards against reports that name tenants with no use, which every VM then keeps accounts for.
#[test]
fn light_tenants_are_not_reported() {
    let mut queue = Queue::default();
    queue.record_use(ms(0), Some(&"a".into()), 0.5);
    queue.record_use(ms(0), None, 5.0);
    assert_eq!(queue.usage(ms(1)).tenants.as_slice(), [(None, 5.0)]);
}
