//! What a VM says of the store, and what others conclude from it.

use test_case::test_case;
use tgw_clock::Millis;
use tgw_spread::reachability::{
    MAX_RECHECK_INTERVAL_MS, PROBE_TIMEOUT_MS, ProbeResult, Reachability, ReadMode, Silence,
    was_down,
};

const NOW: Millis = Millis::new(1_000);

// The store rejects a VM, whose two watches fail one after the other. If the results shared one flag, the VM would
// alternate between unreachable and reachable, and the VM that took over would give the watch back.
#[test]
fn kinds_of_calls_do_not_overwrite_each_others_results() {
    let mut reachability = Reachability::default();
    assert!(reachability.record_list_failure(NOW, ReadMode::Configuration, true));
    assert!(!reachability.record_list_failure(NOW, ReadMode::Upstreams, false));
    assert!(reachability.is_unreachable());
    assert!(reachability.record_list(NOW, ReadMode::Configuration));
    assert!(!reachability.is_unreachable());
}

// One refused probe may be a broken connection, not a store that rejects this VM. Two in a row or a timeout count.
#[test]
fn single_refused_probe_is_ignored() {
    let mut reachability = Reachability::default();
    assert!(!reachability.record_probe(NOW, ProbeResult::Refused));
    assert!(!reachability.record_probe(NOW, ProbeResult::Answered));
    assert!(!reachability.record_probe(NOW, ProbeResult::Refused));
    assert!(reachability.record_probe(NOW, ProbeResult::Refused));
    assert!(reachability.record_probe(NOW, ProbeResult::Answered));
    assert!(reachability.record_probe(NOW, ProbeResult::TimedOut));
}

// A VM was cut off from the store, and another one watches it since. Its report must not outlive the cut: with that of a VM
// that is cut off later, it looked like an outage, and VMs went on sending to an upstream whose entry was removed.
#[test]
fn a_report_is_renewed_by_calls_that_fail_and_taken_back_by_one_that_is_answered() {
    let mut vm = Reachability::default();
    assert_eq!(vm.next_recheck(), None, "nothing to renew");
    assert!(vm.record_probe(NOW, ProbeResult::TimedOut));
    let mut now = NOW;
    let mut longest = Millis::ZERO;
    while now < Millis::new(60_000) {
        let interval = vm.next_recheck().unwrap();
        longest = longest.max(interval);
        now += interval;
        assert!(!vm.record_recheck(now, ProbeResult::TimedOut) && vm.is_unreachable());
    }
    assert_eq!(longest, MAX_RECHECK_INTERVAL_MS);
    assert!(vm.record_recheck(now, ProbeResult::Answered) && !vm.is_unreachable());
    assert_eq!(vm.next_recheck(), None);
    let from = NOW - PROBE_TIMEOUT_MS;
    assert_eq!(vm.silence(), Some(Silence { from, until: now }));
}

// A cut that begins after an answer is another one.
#[test]
fn an_answer_ends_a_silence() {
    let mut vm = Reachability::default();
    for (at, result) in [
        (1, ProbeResult::TimedOut),
        (2, ProbeResult::Answered),
        (30, ProbeResult::TimedOut),
        (31, ProbeResult::Refused),
        (33, ProbeResult::Answered),
        (35, ProbeResult::Answered),
    ] {
        vm.record_probe(Millis::new(1_000 * at), result);
    }
    let from = Millis::new(30_000) - PROBE_TIMEOUT_MS;
    let silence = Silence { from, until: Millis::new(33_000) };
    assert_eq!(vm.silence(), Some(silence));
}

// Guards against two VMs that were cut off from the store, in turn or at once, and are taken for an outage; and against
// an outage that is not seen as one, after which no upstream would be left. Times in s ago, of begin and end.
#[test_case(&[Some((4, 1)), Some((2, 0))], true; "an outage")]
#[test_case(&[Some((9, 0)), Some((6, 2)), Some((3, 0))], true; "an outage, three VMs")]
#[test_case(&[Some((9, 3)), Some((3, 0))], true; "one after the other, without an answer between")]
#[test_case(&[Some((9, 4)), Some((3, 0))], false; "an answer between")]
#[test_case(&[Some((22, 17)), Some((2, 0))], false; "cut off in turn")]
#[test_case(&[Some((22, 17)), None], false; "cut off in turn, the second one still is")]
#[test_case(&[Some((4, 1)), None], false; "one of them still is cut off")]
#[test_case(&[None, None], false; "both still are")]
#[test_case(&[Some((4, 0))], false; "only one")]
#[test_case(&[], false; "none")]
fn silences_that_overlap_and_are_over_are_an_outage(
    reports: &[Option<(u64, u64)>],
    is_outage: bool,
) {
    let silence = |(from, until): (u64, u64)| Silence {
        from: Millis::new(1_000 * from),
        until: Millis::new(1_000 * until),
    };
    let reports: Vec<_> = reports.iter().map(|report| report.map(silence)).collect();
    assert_eq!(was_down(None, &reports), is_outage);
}
