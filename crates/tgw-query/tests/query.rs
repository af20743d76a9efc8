//! Tests of the entry: random schedules of outcomes, losses, version changes and repartitions, and
//! single failures.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

mod simulation;

use simulation::Simulation;
use tgw_clock::Millis;
use tgw_query::{
    admission::{Controller, Verdict},
    answer::RefusalReason,
};
use tgw_table::Row;
use tgw_topology::Service;

// Guards against answers with items of another query, of two snapshots or of one shard twice, and
// against overstated coverage. Outcomes arrive late, more than once, for other attempts or not at
// all while snapshots are loaded, released and change their layout; some orders of these could
// cause it.
#[test]
fn answers_match_query_snapshot_and_coverage_in_any_schedule() {
    const SEEDS: u64 = 400;
    let (mut complete, mut partial, mut restarts, mut late, mut crossed) = (0, 0, 0, 0, 0);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        for _ in 0..300 {
            simulation.step();
        }
        simulation.run_past_deadlines();
        assert!(
            simulation.open_tokens.is_empty(),
            "seed {seed}: never answered: {:?}",
            simulation.open_tokens
        );
        let stats = simulation.entry.stats();
        complete += simulation.complete;
        partial += simulation.partial;
        restarts += stats.restarts;
        late += stats.late_outcomes;
        crossed += stats.unmatched_outcomes;
    }
    // The schedules must have included enough of these events, or the test proves nothing.
    assert!(complete > 1000 && partial > 100, "{complete} complete, {partial} partial");
    assert!(restarts > 100 && late > 1000 && crossed > 100, "{restarts} {late} {crossed}");
}

// During a partition a caller would wait until its deadline for shards that cannot be answered: the
// owner is unresponsive, its stand-in fails, and the answer waits for the request still at the
// owner.
#[test]
fn shard_at_only_unresponsive_vms_is_left_out_before_the_deadline() {
    let mut simulation = Simulation::new(1);
    simulation.submit();
    let requested = simulation.requested_vms();
    assert!(!requested.is_empty());
    // The owners never answer; the stand-ins that are tried after them fail their requests.
    let mut elapsed = Millis::ZERO;
    while !simulation.open_tokens.is_empty() && elapsed < Millis::new(380) {
        simulation.now += Millis::new(1);
        elapsed += Millis::new(1);
        simulation.handle_event(tgw_query::Event::Tick);
        simulation.fail_all_but(&requested);
    }
    assert!(simulation.open_tokens.is_empty(), "still waiting after {elapsed}");
}

// Shards would be missing although a replica could serve them: its group returned the request in
// favour of another one, which then failed, and must not count as tried.
#[test]
fn group_that_returned_a_request_is_retried_when_the_others_fail() {
    let mut simulation = Simulation::new(1);
    simulation.submit();
    simulation.return_once_then_fail_elsewhere();
    simulation.run_past_deadlines();
    assert_eq!((simulation.complete, simulation.partial), (1, 0));
}

// While all VMs are replaced one after another, searches would miss shards that every upstream
// could serve: a leaving owner declines requests before this VM learns that it leaves, and would be
// sent the same request again until the allowed moves are used up.
#[test]
fn vm_that_declined_a_request_is_not_sent_it_again() {
    let mut simulation = Simulation::new(1);
    simulation.submit();
    let leaving = simulation.requested_vms();
    simulation.decline_or_answer(&leaving);
    simulation.run_past_deadlines();
    assert_eq!((simulation.complete, simulation.partial), (1, 0));
}

fn row(weight: u32, concurrency: u32, queue: u32) -> Row {
    Row { weight, concurrency, queue, ..Row::with_defaults("desk") }
}

const FAR_DEADLINE_MS: Millis = Millis::new(100_000);

#[test]
fn query_is_refused_at_once_when_the_queue_is_full() {
    let mut controller = Controller::new(10, false);
    let row = row(1, 1, 1);
    let admit = |controller: &mut Controller, token| {
        controller.admit(Millis::ZERO, Service(0), &row, token, FAR_DEADLINE_MS)
    };
    assert_eq!(admit(&mut controller, 1), Verdict::Admitted);
    assert_eq!(admit(&mut controller, 2), Verdict::Queued);
    assert!(matches!(
        admit(&mut controller, 3),
        Verdict::Refused { cause: RefusalReason::Busy, .. }
    ));
}

// A caller would otherwise wait until its deadline for a query that could never run in time.
#[test]
fn query_that_would_wait_past_its_deadline_is_refused_at_once() {
    let mut controller = Controller::new(10, false);
    let row = row(1, 1, 1000);
    let near_deadline = Millis::new(25);
    let admit = |controller: &mut Controller, token| {
        controller.admit(Millis::ZERO, Service(0), &row, token, near_deadline)
    };
    assert_eq!(admit(&mut controller, 1), Verdict::Admitted);
    assert_eq!(admit(&mut controller, 2), Verdict::Queued);
    assert!(matches!(
        admit(&mut controller, 3),
        Verdict::Refused { cause: RefusalReason::Busy, .. }
    ));
}

// A busy service would otherwise occupy the whole capacity of a VM and leave none to a light one
// with a larger weight.
#[test]
fn services_share_capacity_by_weight() {
    let mut controller = Controller::new(8, false);
    let rows = [row(3, 100, 10_000), row(1, 100, 10_000)];
    let mut running = Vec::new();
    let mut token = 0;
    for _ in 0..4000 {
        for service in 0..2u16 {
            token += 1;
            let verdict = controller.admit(
                Millis::ZERO,
                Service(service),
                &rows[usize::from(service)],
                token,
                FAR_DEADLINE_MS,
            );
            if verdict == Verdict::Admitted {
                running.push(service);
            }
        }
    }
    let mut started = [0u32; 2];
    for step in 0..4000u64 {
        let service = running.remove(0);
        let row = &rows[usize::from(service)];
        controller.record_finished(
            Millis::new(step),
            Service(service),
            Some(row),
            Millis::new(5),
            Millis::ZERO,
        );
        let before = [controller.queued(Service(0)), controller.queued(Service(1))];
        controller.admit_next(|s| rows.get(usize::from(s.0))).expect("both have queues");
        let next = u16::from(controller.queued(Service(0)) == before[0]);
        started[usize::from(next)] += 1;
        running.push(next);
    }
    let share = f64::from(started[0]) / f64::from(started[0] + started[1]);
    assert!((share - 0.75).abs() < 0.02, "{started:?}");
}
