//! Tests of the owner of a replica group.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

use bytes::Bytes;
use std::net::{Ipv4Addr, SocketAddr};
use tgw_clock::Millis;
use tgw_dispatch::{
    Action, Event, Leaf, Outcome, Owner, Rank,
    leaf::{Failure, HeldSnapshots, Key, Operation, Reply},
    owner::Options,
    policy::LateBinding,
};
use tgw_topology::{
    Group, Layout, Place, Query, Service, Shard, Snapshot, Upstream, Vm,
    catalog::UpstreamEntry,
    place::{Domain, Region},
};

const SNAPSHOT: Snapshot = Snapshot { version: 1, layout: Layout(1) };
const GROUP: Group = Group { service: Service(0), instance: 0, domain: Domain(0) };
const SLOTS: u16 = 2;

fn node(id: u32) -> UpstreamEntry {
    UpstreamEntry {
        id: Upstream(id),
        service: Service(0),
        instance: 0,
        place: Place { region: Region(0), domain: Domain(0) },
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        max_concurrency: SLOTS,
        max_connections: 25,
        leaving: false,
    }
}

/// An owner of one group of three upstreams, and its actions that no assertion has consumed yet.
struct Fixture {
    owner: Owner,
    now: Millis,
    last_query: u64,
    out: Vec<Action>,
}

impl Fixture {
    fn new() -> Self {
        let mut owner = Owner::new(Box::new(|_| Box::new(LateBinding)));
        let nodes = [node(0), node(1), node(2)];
        let nodes: Vec<&UpstreamEntry> = nodes.iter().collect();
        let options = Options { hedge_budget: 0.5, ..Options::default() };
        owner.serve_group(GROUP, &nodes, &options);
        Self { owner, now: Millis::new(1), last_query: 0, out: Vec::new() }
    }

    fn handle(&mut self, event: Event) {
        self.owner.handle(self.now, event, &mut self.out);
    }

    fn leaf(&mut self, operation: Operation, queue_deadline: Option<Millis>) -> Leaf {
        self.last_query += 1;
        let query = Query { incarnation: 1, number: self.last_query };
        Leaf {
            key: Key { from: Vm(1), query, shard: Shard(0), attempt: 0 },
            snapshot: SNAPSHOT,
            deadline: self.now + Millis::new(1000),
            queue_deadline,
            body: Bytes::new(),
            traced: false,
            operation,
        }
    }

    fn submit(&mut self, operation: Operation) -> Key {
        let leaf = self.leaf(operation, None);
        let key = leaf.key;
        let replicas = (0..3).map(Upstream).collect();
        self.handle(Event::Request { group: GROUP, replicas, leaf });
        key
    }

    fn search(&mut self) -> Key {
        self.submit(Operation::Search)
    }

    /// The sends since the last call: send id and upstream.
    fn take_sends(&mut self) -> Vec<(u64, Upstream)> {
        let sends = self.out.iter().filter_map(|a| match a {
            Action::Send { send_id, upstream, .. } => Some((*send_id, *upstream)),
            _ => None,
        });
        let sends = sends.collect();
        self.out.retain(|a| !matches!(a, Action::Send { .. }));
        sends
    }

    fn take_outcomes(&mut self) -> Vec<Outcome> {
        let outcomes = self.out.iter().filter_map(|a| match a {
            Action::Answer { outcome, .. } => Some(outcome.clone()),
            _ => None,
        });
        let outcomes = outcomes.collect();
        self.out.retain(|a| !matches!(a, Action::Answer { .. }));
        outcomes
    }

    fn finish_send(&mut self, send_id: u64, result: Result<Reply, Failure>) {
        self.handle(Event::SendEnded { send_id, result, snapshots: None });
    }

    fn reply_items(&mut self, send_id: u64) {
        let items = Bytes::from_static(b"[]");
        self.finish_send(send_id, Ok(Reply::Items { snapshot: SNAPSHOT, shard: Shard(0), items }));
    }

    /// Runs `count` searches of 4 ms, from which the owner learns its hedge delay.
    fn learn_latency(&mut self, count: u32) {
        for _ in 0..count {
            self.search();
            self.now += Millis::new(4);
            for (send_id, _) in self.take_sends() {
                self.reply_items(send_id);
            }
        }
        self.take_outcomes();
    }

    fn tick(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += Millis::new(1);
            self.handle(Event::Tick);
        }
    }

    fn rank(&self, upstream: u32) -> Rank {
        self.owner.estimate(self.now, Upstream(upstream)).expect("served").0
    }
}

#[test]
fn slots_are_filled_and_never_exceeded() {
    let mut fixture = Fixture::new();
    for _ in 0..20 {
        fixture.search();
    }
    assert_eq!(fixture.take_sends().len(), usize::from(3 * SLOTS));
    for upstream in 0..3 {
        assert_eq!(fixture.owner.in_flight(Upstream(upstream)), usize::from(SLOTS));
    }
}

// Guards against early binding: a search queued behind a straggler, to which it was bound on
// arrival, while another replica is free.
#[test]
fn queued_request_goes_to_the_first_free_replica() {
    let mut fixture = Fixture::new();
    for _ in 0..7 {
        fixture.search();
    }
    let sends = fixture.take_sends();
    let (send_id, free_replica) = sends[3];
    fixture.reply_items(send_id);
    let next_sends = fixture.take_sends();
    assert_eq!(next_sends.len(), 1);
    assert_eq!(next_sends[0].1, free_replica);
}

// Without a hedge, the shard on a straggler determines the latency of the whole search.
#[test]
fn late_request_is_hedged_once_and_the_slower_send_cancelled() {
    let mut fixture = Fixture::new();
    fixture.learn_latency(400);
    fixture.search();
    let first = fixture.take_sends()[0];
    fixture.tick(40);
    let hedge = fixture.take_sends();
    assert_eq!(hedge.len(), 1, "hedged once");
    assert_ne!(hedge[0].1, first.1, "on another replica");
    fixture.reply_items(hedge[0].0);
    assert_eq!(fixture.take_outcomes().len(), 1);
    let cancelled = |a: &Action| matches!(a, Action::Cancel { send_id, .. } if *send_id == first.0);
    assert!(fixture.out.iter().any(cancelled), "the slower send is cancelled");
    fixture.reply_items(first.0);
    assert!(fixture.take_outcomes().is_empty(), "the late reply of the cancelled send is ignored");
}

// Each free slot of a straggler would otherwise attract another request that will be late.
#[test]
fn overdue_upstream_gets_no_new_work_while_others_are_free() {
    let mut fixture = Fixture::new();
    fixture.learn_latency(400);
    fixture.search();
    let straggler = fixture.take_sends()[0].1;
    fixture.tick(40);
    assert_eq!(fixture.rank(straggler.0), Rank::Suspect);
    fixture.take_sends();
    for _ in 0..3 {
        fixture.search();
    }
    assert!(fixture.take_sends().iter().all(|(_, upstream)| *upstream != straggler));
}

// Two of three replicas fail requests at once. While the third is busy, the failing ones have free
// slots: if they got the queued requests they would fail them, and half of the shards would be
// missing although one replica could serve all.
#[test]
fn ejected_upstreams_get_no_requests_while_another_is_busy() {
    let mut fixture = Fixture::new();
    for _ in 0..12 {
        fixture.search();
    }
    let mut sends = fixture.take_sends();
    while let Some((send_id, upstream)) = sends.pop() {
        match upstream.0 {
            0 => fixture.reply_items(send_id),
            _ => fixture.finish_send(send_id, Err(Failure::Closed)),
        }
        sends.extend(fixture.take_sends());
    }
    assert_eq!((fixture.rank(1), fixture.rank(2)), (Rank::Ejected, Rank::Ejected));
    fixture.take_outcomes();
    for _ in 0..6 {
        fixture.search();
    }
    let sends = fixture.take_sends();
    assert!(sends.iter().all(|(_, u)| u.0 == 0), "{sends:?}");
    assert_eq!(sends.len(), usize::from(SLOTS));
}

// A leaving upstream must get no work although its health endpoint still reports it healthy.
#[test]
fn leaving_upstream_gets_no_requests_until_it_restarts() {
    let mut fixture = Fixture::new();
    fixture.handle(Event::Leaving(Upstream(1)));
    fixture.handle(Event::SnapshotsReported(Upstream(1), [SNAPSHOT].into_iter().collect()));
    for _ in 0..20 {
        fixture.search();
    }
    assert!(fixture.take_sends().iter().all(|(_, upstream)| upstream.0 != 1));
    fixture.handle(Event::Restarted(Upstream(1)));
    fixture.tick(1);
    assert!(
        fixture.take_sends().iter().any(|(_, upstream)| upstream.0 == 1),
        "a restarted upstream gets requests"
    );
}

// A reply for another snapshot or shard than requested must not be merged into the answer.
#[test]
fn reply_for_another_snapshot_or_shard_is_rejected() {
    let mut fixture = Fixture::new();
    fixture.search();
    for (snapshot, shard) in [
        (Snapshot { version: 2, ..SNAPSHOT }, Shard(0)),
        (SNAPSHOT, Shard(1)),
        (Snapshot { layout: Layout(2), ..SNAPSHOT }, Shard(0)),
    ] {
        let (send_id, _) = fixture.take_sends()[0];
        let items = Bytes::from_static(b"[1]");
        fixture.finish_send(send_id, Ok(Reply::Items { snapshot, shard, items }));
    }
    let failed = Outcome::Failed(Failure::Malformed);
    assert_eq!(
        fixture.take_outcomes(),
        [failed],
        "each reply cost one attempt and none was accepted"
    );
}

// An order would run twice if it were retried after its connection closed, as it may have been run.
#[test]
fn order_is_resent_only_if_it_cannot_have_run() {
    for (result, resent) in [
        (Err(Failure::Closed), false),
        (Err(Failure::Malformed), false),
        (Err(Failure::Upstream), false),
        (Err(Failure::Connect), true),
        (Ok(Reply::Shed), true),
        (Ok(Reply::Draining), true),
    ] {
        let mut fixture = Fixture::new();
        fixture.submit(Operation::Order("o".into()));
        let (send_id, _) = fixture.take_sends()[0];
        fixture.finish_send(send_id, result.clone());
        assert_eq!(!fixture.take_sends().is_empty(), resent, "{result:?}");
        assert_eq!(fixture.take_outcomes().is_empty(), resent, "{result:?}");
    }
}

// An order would run twice if a long one were hedged like a search.
#[test]
fn order_is_never_hedged_or_cancelled() {
    let mut fixture = Fixture::new();
    fixture.learn_latency(400);
    fixture.submit(Operation::Order("o".into()));
    assert_eq!(fixture.take_sends().len(), 1);
    fixture.tick(2000);
    assert!(fixture.take_sends().is_empty());
    assert!(!fixture.out.iter().any(|a| matches!(a, Action::Cancel { .. })));
    assert_eq!(
        fixture.take_outcomes(),
        [Outcome::Failed(Failure::Closed)],
        "it may have run when its deadline passed"
    );
}

#[test]
fn order_that_expires_in_the_queue_is_reported_as_not_run() {
    let mut fixture = Fixture::new();
    for _ in 0..6 {
        fixture.search();
    }
    fixture.take_sends();
    fixture.submit(Operation::Order("o".into()));
    fixture.tick(1200);
    assert!(fixture.take_outcomes().contains(&Outcome::Expired));
}

#[test]
fn request_is_returned_when_its_queue_deadline_passes() {
    let mut fixture = Fixture::new();
    for _ in 0..6 {
        fixture.search();
    }
    let queue_deadline = fixture.now + Millis::new(5);
    let leaf = fixture.leaf(Operation::Search, Some(queue_deadline));
    let replicas = (0..3).map(Upstream).collect();
    fixture.handle(Event::Request { group: GROUP, replicas, leaf });
    fixture.tick(4);
    assert!(fixture.take_outcomes().is_empty());
    fixture.tick(2);
    assert_eq!(fixture.take_outcomes(), [Outcome::Crowded]);
}

#[test]
fn handed_over_group_moves_queued_and_finishes_in_flight_requests() {
    let mut fixture = Fixture::new();
    for _ in 0..8 {
        fixture.search();
    }
    let in_flight = fixture.take_sends();
    let mut out = Vec::new();
    fixture.owner.hand_over(GROUP, Some(Vm(2)), &mut out);
    fixture.out.extend(out);
    assert_eq!(fixture.take_outcomes(), [Outcome::Moved(Some(Vm(2))), Outcome::Moved(Some(Vm(2)))]);
    assert!(!fixture.owner.remove_idle_group(GROUP), "requests are in flight");
    for (send_id, _) in in_flight {
        fixture.reply_items(send_id);
    }
    assert_eq!(fixture.take_outcomes().len(), 6, "every request in flight was finished");
    assert!(fixture.owner.remove_idle_group(GROUP));
}

#[test]
fn request_for_a_snapshot_without_holder_fails_at_once() {
    let mut fixture = Fixture::new();
    let other_snapshot: HeldSnapshots = [Snapshot { version: 9, ..SNAPSHOT }].into_iter().collect();
    for upstream in 0..3 {
        fixture.handle(Event::SnapshotsReported(Upstream(upstream), other_snapshot.clone()));
    }
    fixture.search();
    assert_eq!(fixture.take_outcomes(), [Outcome::Gone]);
    assert!(fixture.take_sends().is_empty(), "nothing was sent to an upstream");
}

// A queued search would otherwise wait until its deadline when the last replica that held its
// snapshot releases it.
#[test]
fn queued_request_fails_at_once_when_its_snapshot_is_released() {
    let mut fixture = Fixture::new();
    for _ in 0..7 {
        fixture.search();
    }
    fixture.take_sends();
    let other_snapshot: HeldSnapshots = [Snapshot { version: 9, ..SNAPSHOT }].into_iter().collect();
    for upstream in 0..3 {
        fixture.handle(Event::SnapshotsReported(Upstream(upstream), other_snapshot.clone()));
    }
    fixture.tick(1);
    assert_eq!(fixture.take_outcomes(), [Outcome::Gone]);
}
