//! The level that VMs of a region agree on.

use std::rc::Rc;
use test_case::test_case;
use tgw_admission::{Admission, Decision, Outcome, Query, Reply, Report, Settings};
use tgw_clock::Millis;

const SERVICES: usize = 4;
const VMS: usize = 8;
const QUICK_MS: u64 = 20;
const SLOW_MS: u64 = 180;

/// VMs with few queries each.
struct Vms {
    vms: Vec<Admission>,
    now: Millis,
    services: Vec<Rc<str>>,
}

impl Vms {
    fn new() -> Self {
        let vms = (0..VMS).map(|_| Admission::new(Settings::default())).collect();
        let services = (0..SERVICES).map(|s| format!("s{s}").into()).collect();
        Self { vms, now: Millis::new(10_000), services }
    }

    /// Runs one query each 20 ms at the VMs in turn; returns how many were rejected. Reports reach
    /// all VMs if `linked`.
    fn run(&mut self, queries: u64, latency: u64, linked: bool) -> u64 {
        let mut rejected = 0;
        for number in 0..queries {
            self.now += Millis::new(20);
            let vm = number as usize % VMS;
            rejected += u64::from(!self.query(vm, number, latency));
            for from in 0..VMS {
                let report = self.vms[from].report(self.now);
                if let Some(report) = report.filter(|_| linked) {
                    self.deliver(from, &report);
                }
            }
        }
        rejected
    }

    fn deliver(&mut self, from: usize, report: &Report) {
        for (_, vm) in self.vms.iter_mut().enumerate().filter(|(other, _)| *other != from) {
            vm.apply_report(self.now, from as u64, report);
        }
    }

    /// Whether a query was admitted.
    fn query(&mut self, vm: usize, number: u64, latency: u64) -> bool {
        let now = self.now;
        let query = Query {
            group: 1,
            route: "full".into(),
            priority: 1,
            tenant: None,
            arrived: now,
            answer_by: now + Millis::new(200),
            deadline: now + Millis::new(1_000),
            max_missing: 1,
            retry_spread: number as u32,
        };
        let Decision::Admitted(permit) = self.vms[vm].request(now, query, &self.services) else {
            return false;
        };
        for service in &self.services {
            let sent_at = now - Millis::new(latency);
            let (upstream, round_trip_ms) = (number % 3, 0.0);
            let reply = Reply { service, upstream, route: "full", sent_at, round_trip_ms };
            self.vms[vm].record_reply(now, &reply);
        }
        self.vms[vm].finish(now, permit, Outcome::InTime);
        true
    }
}

/// Guards against VMs with too few queries of their own that overload upstreams together, and against
/// a level that stays after it.
#[test]
fn a_region_rejects_while_overloaded_and_recovers() {
    let mut vms = Vms::new();
    assert_eq!(vms.run(200, QUICK_MS, true), 0);
    let rejected = vms.run(100, SLOW_MS, true);
    assert!(rejected > 10, "{rejected} rejected");
    vms.run(100, QUICK_MS, true);
    assert_eq!(vms.run(100, QUICK_MS, true), 0);
}

/// Guards against reports on a day without overload.
#[test]
fn nothing_is_reported_without_overload() {
    let mut vms = Vms::new();
    for _ in 0..20 {
        vms.run(10, QUICK_MS, false);
        let now = vms.now;
        assert!(vms.vms.iter_mut().all(|vm| vm.report(now).is_none()));
    }
}

fn report(vms: &mut Vms) -> Report {
    vms.run(200, QUICK_MS, false);
    let mut found = None;
    for number in 0..40 {
        vms.now += Millis::new(20);
        vms.query(0, number, SLOW_MS);
        found = vms.vms[0].report(vms.now).or(found);
    }
    found.unwrap()
}

/// Guards against reports that are malformed, too old, replayed or of another configuration.
#[test_case(|r: &mut Report| r.groups[0].services[0].wait = 255; "a wait out of range")]
#[test_case(|r: &mut Report| r.groups[0].level = 255; "a level out of range")]
#[test_case(|r: &mut Report| r.groups.extend(vec![r.groups[0].clone(); 10]); "too many groups")]
#[test_case(|r: &mut Report| r.age_ms = 501; "too old")]
#[test_case(|r: &mut Report| r.groups[0].group = 2; "an unknown set of services")]
#[test_case(|r: &mut Report| r.groups[0].services.truncate(1); "another number of services")]
fn an_invalid_report_has_no_effect(change: fn(&mut Report)) {
    let mut vms = Vms::new();
    let mut report = report(&mut vms);
    change(&mut report);
    let now = vms.now;
    for from in 0..VMS as u64 {
        vms.vms[5].apply_report(now, from, &report);
    }
    assert!(vms.vms[5].report(now).is_none());
}

/// Guards against one sender with a wrong view, or replays of its reports, that limit a region.
#[test]
fn one_sender_does_not_limit_a_region() {
    let mut vms = Vms::new();
    let report = report(&mut vms);
    let mut rejected = 0;
    for number in 0..200 {
        vms.now += Millis::new(20);
        let fresh = Report { sent_ms: report.sent_ms + number / 2 * 40, ..report.clone() };
        vms.vms[5].apply_report(vms.now, 0, &fresh);
        rejected += u64::from(!vms.query(5, number, QUICK_MS));
    }
    assert_eq!(rejected, 0);
}
