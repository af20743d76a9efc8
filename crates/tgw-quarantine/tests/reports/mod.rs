//! Reports between VMs, in any order.

use crate::ledger::termination;
use proptest::prelude::*;
use tgw_clock::Millis;
use tgw_quarantine::{
    Fingerprint, Tracker,
    message::{QuarantineState, Rounds, Termination, Update},
    tracker::Verdict,
};

const FINGERPRINT: Fingerprint = Fingerprint { content: 7, caller: 1 };
/// Longer than a request waits for the send that decides on its quarantine.
const LATER: Millis = Millis::new(1_000);

fn reports() -> impl Strategy<Value = Vec<Termination>> {
    let one = (0u8..4, 0u8..4, 0u32..3, 0u32..40);
    let report = one.prop_map(|(total, service, number, upstream)| {
        termination(FINGERPRINT, &format!("s{number}"), upstream, Rounds { total, service })
    });
    // All VMs report the same about one upstream.
    prop::collection::vec(report, 0..12).prop_map(|mut reports| {
        reports.sort_by_key(|report| report.upstream);
        reports.dedup_by_key(|report| report.upstream);
        reports
    })
}

fn verdicts(tracker: &mut Tracker) -> [Verdict; 4] {
    let parts = ["s0", "s1", "s2"].map(|service| tracker.part_verdict(LATER, FINGERPRINT, service));
    [tracker.verdict(LATER, FINGERPRINT), parts[0], parts[1], parts[2]]
}

proptest! {
    // Reports of ended upstreams reach two VMs in different orders, one of them twice. Both VMs decide alike.
    #[test]
    fn verdicts_do_not_depend_on_report_order(
        reports in reports(),
        order in any::<prop::sample::Index>(),
        twice in any::<prop::sample::Index>(),
    ) {
        let (mut one, mut other) = (Tracker::default(), Tracker::default());
        for report in &reports {
            one.record_end(Millis::ZERO, report);
        }
        let mut shuffled = reports.clone();
        if !reports.is_empty() {
            shuffled.rotate_left(order.index(reports.len()));
            shuffled.push(reports[twice.index(reports.len())]);
            shuffled.reverse();
        }
        for report in &shuffled {
            other.record_end(Millis::ZERO, report);
        }
        prop_assert_eq!(verdicts(&mut one), verdicts(&mut other));
    }

    // Each VM forwards reports that are new to it to all others. Known reports must not be forwarded again, or they
    // would circulate without end.
    #[test]
    fn forwarded_reports_stop_circulating(reports in reports()) {
        let mut vms = [(); 3].map(|()| Tracker::default());
        for report in &reports {
            vms[0].record_end(Millis::ZERO, report);
        }
        let mut sent = 0;
        loop {
            let queued: Vec<(usize, Update)> = vms
                .iter_mut()
                .enumerate()
                .filter_map(|(vm, tracker)| Some((vm, tracker.take_update()?)))
                .collect();
            if queued.is_empty() {
                break;
            }
            for (from, update) in queued {
                sent += 1;
                prop_assert!(sent <= 3 * (reports.len() + 1));
                for (_, tracker) in vms.iter_mut().enumerate().filter(|(vm, _)| *vm != from) {
                    for termination in &update.terminations {
                        tracker.record_end(Millis::ZERO, termination);
                    }
                    for state in &update.states {
                        tracker.merge(Millis::ZERO, state);
                    }
                }
            }
        }
    }

    // A corrupted packet carries arbitrary values. None causes a panic, and a release still ends the quarantine.
    #[test]
    fn corrupted_reports_are_survived(
        epoch in any::<u16>(),
        confirmed in any::<bool>(),
        trials in any::<u8>(),
        wait in any::<u32>(),
        total in any::<u8>(),
        service in any::<u8>(),
    ) {
        let mut tracker = Tracker::default();
        let state = QuarantineState {
            fingerprint: FINGERPRINT,
            service: None,
            epoch,
            confirmed,
            trials,
            wait,
        };
        tracker.merge(LATER, &state);
        tracker.merge(LATER, &QuarantineState { service: Some(3), ..state });
        tracker.record_end(LATER, &termination(FINGERPRINT, "s0", 1, Rounds { total, service }));
        tracker.verdict(Millis::MAX, FINGERPRINT);
        tracker.record_answer(LATER, FINGERPRINT, "s0");
        tracker.release(LATER, FINGERPRINT);
        prop_assert!(tracker.quarantined(LATER).is_empty());
    }
}

// A caller sends hundreds of different deadly requests, which fill the queues. A packet of them that no VM can read would be
// lost each time it is sent.
#[test]
fn the_largest_update_fits_into_a_packet() {
    const MAX_PACKET_BYTES: usize = 8 << 10;
    const FRAME_BYTES: usize = 64;
    let mut tracker = Tracker::default();
    for number in 0..500_u32 {
        let fingerprint =
            Fingerprint { content: u64::MAX - u64::from(number), caller: u32::MAX - number };
        tracker.record_answer(Millis::ZERO, fingerprint, "s0");
        for round in 0..7 {
            let rounds = Rounds { total: round, service: round };
            let upstream = u32::MAX - number * 8 - u32::from(round);
            tracker.record_end(LATER, &termination(fingerprint, "s0", upstream, rounds));
        }
        let later = LATER + Millis::new(4_000);
        tracker.verdict(later, fingerprint);
    }
    let update = tracker.take_update().unwrap();
    assert!(
        update.terminations.len() > 50 && update.states.len() > 50 && update.answers.len() > 50
    );
    let bytes = postcard::to_allocvec(&update).unwrap().len();
    assert!(bytes + FRAME_BYTES <= MAX_PACKET_BYTES, "{bytes} bytes");
}

// A corrupted packet carries the last epoch but one, and a third round begins the last: no release could follow it.
#[test]
fn a_state_with_an_impossible_epoch_is_ignored() {
    let mut tracker = Tracker::default();
    let initial = QuarantineState::initial(FINGERPRINT);
    for epoch in [u16::MAX - 1, u16::MAX] {
        tracker.merge(LATER, &QuarantineState { epoch, ..initial });
    }
    let rounds = Rounds { total: 2, service: 0 };
    tracker.record_end(LATER, &termination(FINGERPRINT, "s0", 1, rounds));
    assert!(tracker.is_quarantined(FINGERPRINT));
    assert!(tracker.release(LATER, FINGERPRINT));
    assert!(!tracker.is_quarantined(FINGERPRINT));
}

// A VM is cut off while others quarantine a request, and misses all reports. The states that the others repeat are
// enough for it, and a state that it has already is not forwarded again.
#[test]
fn repeated_states_inform_a_vm_that_missed_the_reports() {
    let mut tracker = Tracker::default();
    for number in 0..3 {
        let rounds = tracker.known_rounds(FINGERPRINT, "s0");
        tracker.record_end(Millis::ZERO, &termination(FINGERPRINT, "s0", number, rounds));
    }
    let mut behind = Tracker::default();
    for state in tracker.states_from(LATER, 0) {
        behind.merge(LATER, &state);
    }
    assert_eq!(verdicts(&mut behind)[0], verdicts(&mut tracker)[0]);
    while behind.take_update().is_some() {}
    for state in tracker.states_from(Millis::ZERO, 0) {
        behind.merge(LATER, &state);
    }
    assert_eq!(behind.take_update(), None);
}
