//! Requests under which upstreams terminate, over several attempts.

use crate::world::{FAR, NEAR, World, answered, entry, record, route, shards};
use std::rc::Rc;
use test_case::test_case;
use tgw_clock::Millis;
use tgw_forward::{
    Policy,
    plan::{Answer, Cause, SendResult, Trigger},
    quarantine::incarnation_hash,
    upstream::{Entry, SendOutcome},
};
use tgw_quarantine::{
    Fingerprint,
    message::{Rounds, Termination},
    tracker::hash_name,
};
use tgw_route::{Config, Residency, Route, Safety, Service, Target, Warmup};

fn terminate(world: &mut World, index: usize) -> Option<Answer> {
    world.end(index, SendResult::Terminated, SendOutcome::Broken)
}

/// Another VM reports that an upstream of `service` terminated under the requests of this world.
fn report_termination(world: &mut World, service: &str, upstream: u32, rounds: Rounds) {
    let termination = Termination {
        fingerprint: world.fingerprint,
        service: hash_name(service),
        upstream,
        rounds,
    };
    world.core.quarantine.record_end(world.now, &termination);
}

/// Three rounds of terminations are reported for the requests of this world, each at another
/// service.
fn quarantine(world: &mut World) {
    for round in 0..3 {
        report_termination(
            world,
            &format!("s{round}"),
            u32::from(round),
            Rounds { total: round, service: 0 },
        );
    }
}

// A search is sent to four shards, and terminates each upstream that executes it. Unlimited, it
// would go to all four second replicas at once. It goes to two, one after the other and at
// different shards, and fails.
#[test]
fn search_terminates_two_upstreams_beyond_its_first_sends() {
    let mut world = World::new(4);
    world.start(&route(shards(4), Safety::Idempotent));
    for index in 0..4 {
        assert!(terminate(&mut world, index).is_none());
    }
    assert_eq!(world.orders.len(), 5, "one retry, once all first sends have ended");
    assert!(terminate(&mut world, 4).is_none());
    assert_eq!(world.orders.len(), 6);
    assert_ne!(world.orders[5].part, world.orders[4].part);
    let answer = terminate(&mut world, 5);
    assert!(matches!(answer, Some(Answer::Failed(_))), "it may have run: {answer:?}");
    assert_eq!(world.orders.len(), 6);
}

// A rack loses power while a search is in flight at all of its upstreams there. The next upstream
// is asked alone; it answers, and all other parts follow at once.
#[test]
fn search_continues_after_rack_failure_once_one_upstream_answers() {
    let mut world = World::new(4);
    world.start(&route(shards(4), Safety::Idempotent));
    for index in 0..4 {
        terminate(&mut world, index);
    }
    assert!(world.reply(4, &record(1)).is_none());
    assert_eq!(world.orders.len(), 8);
    for index in 5..8 {
        assert!(world.orders[index].trigger == Trigger::Retry);
    }
    assert!(world.reply(5, &record(2)).is_none());
    assert!(world.reply(6, &record(3)).is_none());
    assert!(matches!(world.reply(7, &record(4)), Some(Answer::Merged { missing: 0, .. })));
}

// A search that terminates upstreams and a harmless one run at the same time, and the first upstreams terminate under
// both. If both then continued at the same upstreams, those would count against the harmless one as well, and it would
// be quarantined.
#[test]
fn searches_that_are_limited_at_the_same_time_continue_at_different_shards() {
    let next_part = |content: u64| {
        let mut world = World::new(4);
        world.fingerprint.content = content;
        world.start(&route(shards(4), Safety::Idempotent));
        for index in 0..4 {
            terminate(&mut world, index);
        }
        world.orders[4].part
    };
    let parts: Vec<usize> = (0..4).map(next_part).collect();
    assert!((0..4).all(|part| parts.contains(&part)), "{parts:?}");
}

/// A search of four shards after its first round.
fn limited_world() -> World {
    let mut world = World::new(4);
    world.fingerprint.content = 9;
    world.start(&route(shards(4), Safety::Idempotent));
    for index in 0..4 {
        terminate(&mut world, index);
    }
    world
}

/// Other VMs report that two upstreams terminated under the requests of this world and under another one, which goes
/// first.
fn report_shared_terminations(world: &mut World) {
    let other = Fingerprint { content: 3, caller: 8 };
    for (upstream, total) in [(0, 0), (4, 1)] {
        let rounds = Rounds { total, service: 0 };
        report_termination(world, "s0", upstream, rounds);
        let service = hash_name("s0");
        let termination = Termination { fingerprint: other, service, upstream, rounds };
        world.core.quarantine.record_end(world.now, &termination);
    }
}

// The same shortly before the deadline: its turn comes too late. It would be held until the deadline although nothing
// can be sent for it any more.
#[test]
fn search_whose_turn_comes_after_its_deadline_fails_at_once() {
    let mut world = limited_world();
    world.advance(700);
    report_shared_terminations(&mut world);
    let answer = terminate(&mut world, 4);
    assert!(matches!(answer, Some(Answer::Failed(Cause::TooFewParts))), "{answer:?}");
}

// Two searches ran on the same upstreams, and either may have terminated them. If the second continued at once as well,
// both would reach the next upstream together, and its termination would quarantine both.
#[test]
fn search_waits_while_another_that_ran_on_the_same_upstreams_continues() {
    let mut world = limited_world();
    report_shared_terminations(&mut world);
    terminate(&mut world, 4);
    assert_eq!(world.orders.len(), 5, "the other one goes first");
    world.advance(99);
    world.tick();
    assert_eq!(world.orders.len(), 5, "its turn is 100 ms after the report");
    while world.orders.len() == 5 {
        assert!(world.wake().is_none());
    }
}

// One upstream terminates under a search, the others answer it. Its retry waits only for the first
// answer.
#[test]
fn answered_search_is_not_limited_after_termination() {
    let mut world = World::new(4);
    world.start(&route(shards(4), Safety::Idempotent));
    terminate(&mut world, 0);
    assert_eq!(world.orders.len(), 4);
    world.reply(1, &record(1));
    assert_eq!(world.orders.len(), 5);
    terminate(&mut world, 2);
    assert_eq!(world.orders.len(), 6, "once answered, its retries do not wait");
}

// An upstream gives up at the deadline of a search that might have terminated it a moment later.
// Such a failure does not show that the search is harmless: the next part is tried alone as well.
#[test]
fn failed_reply_does_not_clear_search() {
    let mut world = World::new(3);
    world.start(&route(shards(3), Safety::Idempotent));
    for index in 0..3 {
        terminate(&mut world, index);
    }
    world.end(3, answered(504, Some("seal"), &[]), SendOutcome::Failure);
    assert_eq!(world.orders.len(), 5);
    terminate(&mut world, 4);
    assert_eq!(world.orders.len(), 6);
}

// Replies are lost with their connections, but the upstreams are alive. The parts are retried at
// once, as without quarantine.
#[test]
fn lost_replies_are_retried_at_once() {
    let mut world = World::new(4);
    world.start(&route(shards(4), Safety::Idempotent));
    for index in 0..4 {
        world.end(index, SendResult::Broken, SendOutcome::Broken);
        assert_eq!(world.orders.len(), 5 + index);
    }
}

// While one part is tried alone, no other upstream is tried for it or for another part, however
// late it is.
#[test]
fn no_hedge_before_an_upstream_has_answered() {
    let mut world = World::new(2);
    world.start(&route(shards(2), Safety::Idempotent));
    terminate(&mut world, 0);
    terminate(&mut world, 1);
    let answer = world.run_to_answer();
    assert_eq!(world.orders.len(), 3);
    assert!(matches!(answer, Answer::Failed(_) | Answer::TimedOut), "{answer:?}");
}

// Other VMs report that upstreams terminated under a search. It starts with one part, and continues
// with all once that part is answered.
#[test]
fn suspected_search_starts_with_one_part() {
    let mut world = World::new(3);
    report_termination(&mut world, "s0", 1, Rounds::default());
    world.start(&route(shards(3), Safety::Idempotent));
    assert_eq!(world.orders.len(), 1);
    world.reply(0, &record(1));
    assert_eq!(world.orders.len(), 3);
}

// A quarantined request is sent nowhere, and its caller is refused at once with a time to retry.
#[test_case(Target::Single("s0".into()), Safety::Idempotent; "idempotent")]
#[test_case(Target::Single("s0".into()), Safety::AtMostOnce; "at most once")]
#[test_case(shards(3), Safety::Idempotent; "a search")]
fn quarantined_request_is_refused_at_once(target: Target, safety: Safety) {
    let mut world = World::new(3);
    quarantine(&mut world);
    let answer = world.start(&route(target, safety));
    let Some(Answer::Refused { retry_after, cause: Cause::Quarantined }) = answer else {
        panic!("{answer:?}");
    };
    assert!(retry_after > Millis::new(1_000));
    assert!(world.orders.is_empty());
}

// One shard of four is quarantined for a search. The answer leaves that part out and counts it as
// missing.
#[test]
fn search_leaves_out_quarantined_shard() {
    let mut world = World::new(4);
    for round in 0..3 {
        report_termination(&mut world, "s2", u32::from(round), Rounds { total: 0, service: round });
    }
    world.core.quarantine.record_answer(world.now, world.fingerprint, "s0");
    world.start(&route(shards(4), Safety::Idempotent));
    assert_eq!(world.orders.len(), 3);
    world.reply(0, &record(1));
    world.reply(1, &record(2));
    let answer = world.reply(2, &record(3));
    assert!(matches!(answer, Some(Answer::Merged { missing: 1, .. })), "{answer:?}");
}

// After its quarantine a request is sent to one upstream as a trial; that upstream terminates too,
// and the attempt ends.
#[test]
fn trial_is_one_send() {
    let mut world = World::new(3);
    quarantine(&mut world);
    world.advance(600_000);
    assert!(world.start(&route(shards(3), Safety::Idempotent)).is_none());
    assert_eq!(world.orders.len(), 1);
    let answer = terminate(&mut world, 0);
    assert!(matches!(answer, Some(Answer::Failed(Cause::Quarantined))), "{answer:?}");
    assert_eq!(world.orders.len(), 1);
}

#[test]
fn answered_trial_continues_with_all_parts() {
    let mut world = World::new(3);
    quarantine(&mut world);
    world.advance(600_000);
    world.start(&route(shards(3), Safety::Idempotent));
    world.reply(0, &record(1));
    assert_eq!(world.orders.len(), 3);
    assert!(!world.core.quarantine.is_quarantined(world.fingerprint));
}

// An at-most-once request is sent once, whatever its outcome.
#[test]
fn at_most_once_is_not_retried_after_termination() {
    let mut world = World::new(1);
    world.start(&route(Target::Single("s0".into()), Safety::AtMostOnce));
    let answer = terminate(&mut world, 0);
    assert!(matches!(answer, Some(Answer::Failed(Cause::UpstreamsFailed))), "{answer:?}");
    assert_eq!(world.orders.len(), 1);
}

#[test]
fn policy_without_quarantine_retries_at_once() {
    let mut world = World::with_policy(4, Policy { quarantine: false, ..Policy::default() });
    quarantine(&mut world);
    world.start(&route(shards(4), Safety::Idempotent));
    for index in 0..4 {
        terminate(&mut world, index);
    }
    assert_eq!(world.orders.len(), 8);
}

/// A single service with three warm upstreams, one of which has terminated under the request of this world as another VM
/// reports.
fn suspect_world() -> World {
    let mut world = World::new(1);
    world.core.fleet.put(Millis::ZERO, entry("s0-third", "s0", NEAR));
    report_termination(&mut world, "s0", 0, Rounds::default());
    world
}

fn single() -> Rc<Route> {
    route(Target::Single("s0".into()), Safety::Idempotent)
}

// Four deadly queries of a service with three upstreams each terminated one upstream for each that came back. None of
// them was quarantined for want of a third upstream, and the service served nothing for seconds. A suspect leaves the
// last two warm upstreams alone.
#[test_case(0, true; "two spares")]
#[test_case(1, false; "one spare")]
#[test_case(2, false; "the last one")]
fn suspect_is_sent_only_beside_spare_upstreams(gone: usize, sent: bool) {
    let mut world = suspect_world();
    for id in ["s0-near", "s0-far"].iter().take(gone) {
        world.core.fleet.remove(id);
    }
    let answer = world.start(&single());
    assert_eq!(world.orders.len(), usize::from(sent));
    let refused = matches!(answer, Some(Answer::Refused { .. }));
    assert_eq!(refused, !sent, "it was not executed: {answer:?}");
}

// Cold upstreams accept few requests: beside two of them, the only warm one carries the service.
#[test]
fn cold_upstreams_are_no_spares() {
    let mut world = suspect_world();
    for id in ["s0-far", "s0-third"] {
        world.core.fleet.remove(id);
        let cold = Entry { warmup: Millis::new(5_000), ..entry(id, "s0", NEAR) };
        world.core.fleet.put(world.now, cold);
    }
    assert!(matches!(world.start(&single()), Some(Answer::Refused { .. })));
    assert!(world.orders.is_empty());
}

// Without an end to the suspicion, a harmless request whose upstream crashed once would never again be sent to a
// service of one upstream.
#[test]
fn suspicion_ends_though_spares_are_missing() {
    let mut world = suspect_world();
    world.core.fleet.remove("s0-far");
    world.core.fleet.remove("s0-third");
    world.advance(10_000);
    assert!(world.start(&single()).is_none());
    assert_eq!(world.orders.len(), 1);
}

// An upstream crashes under a harmless request. Its retry reaches the other upstream of the service at once.
#[test]
fn first_retry_after_a_crash_needs_no_spares() {
    let mut world = World::new(1);
    world.start(&single());
    assert!(terminate(&mut world, 0).is_none());
    assert_eq!(world.orders.len(), 2);
}

// A popular request was answered shortly before an upstream ended under it: it is no suspect, whatever is left.
#[test]
fn request_answered_before_is_no_suspect() {
    let mut world = World::new(1);
    world.core.quarantine.record_answer(world.now, world.fingerprint, "s0");
    report_termination(&mut world, "s0", 0, Rounds::default());
    assert!(world.start(&single()).is_none());
    assert_eq!(world.orders.len(), 1);
}

// Three suspects reached three VMs within 0.6 s. Each VM knew the end of the upstream that it had sent to and counted the
// other two as spares, and the service lost all three.
#[test]
fn upstreams_whose_end_another_vm_reported_are_no_spares() {
    let mut world = suspect_world();
    let other = Fingerprint { content: 3, caller: 8 };
    let key = world.core.fleet.key("s0-far").unwrap();
    let upstream = incarnation_hash(&world.core.fleet.get(key).unwrap().entry);
    let (service, rounds) = (hash_name("s0"), Rounds::default());
    let termination = Termination { fingerprint: other, service, upstream, rounds };
    world.core.quarantine.record_end(world.now, &termination);
    assert!(matches!(world.start(&single()), Some(Answer::Refused { .. })));
    assert!(world.orders.is_empty());
}

// Requests that may be served in one region only depend on its upstreams. A suspect took the only one there, though two
// were left in other regions.
#[test_case(&["r1"], false; "restricted")]
#[test_case(&[], true; "unrestricted")]
fn suspect_leaves_a_region_its_only_upstream(regions: &[&str], sent: bool) {
    let mut world = World::new(1);
    world.core.fleet.put(Millis::ZERO, entry("s0-third", "s0", FAR));
    report_termination(&mut world, "s0", 0, Rounds::default());
    let residency: Residency = regions.iter().map(|region| Rc::from(*region)).collect();
    let home = Route { name: "home".into(), residency, ..(*single()).clone() };
    let mut config = Config::default();
    let service = Service { max_connections: 32, warmup: Warmup::default() };
    config.services.insert("s0".into(), service);
    config.routes.push(Rc::new(home));
    world.core.configure(&config);
    let answer = world.start(&single());
    assert_eq!((world.orders.len(), answer.is_some()), (usize::from(sent), !sent));
}
