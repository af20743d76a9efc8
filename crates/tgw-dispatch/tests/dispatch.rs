//! Tests of the owner of a replica group.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

use bytes::Bytes;
use std::net::{Ipv4Addr, SocketAddr};
use tgw_clock::Millis;
use tgw_dispatch::{
    Action, Event, Leaf, Outcome, Owner, Rank,
    leaf::{Failure, Held, Key, Reply, Work},
    owner::Options,
    pick::Late,
};
use tgw_topology::{
    Group, Layout, Place, Query, Service, Shard, Snapshot, Upstream, Vm,
    catalog::Node,
    place::{Domain, Region},
};

const SNAPSHOT: Snapshot = Snapshot { version: 1, layout: Layout(1) };
const GROUP: Group = Group { service: Service(0), instance: 0, domain: Domain(0) };
const SLOTS: u16 = 2;

fn node(id: u32) -> Node {
    Node {
        id: Upstream(id),
        service: Service(0),
        instance: 0,
        place: Place { region: Region(0), domain: Domain(0) },
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        slots: SLOTS,
        connections: 25,
        leaving: false,
    }
}

/// An owner of one group of three upstreams, and what it did last.
struct Bench {
    owner: Owner,
    now: Millis,
    number: u64,
    out: Vec<Action>,
}

impl Bench {
    fn new() -> Self {
        let mut owner = Owner::new(Box::new(|_| Box::new(Late)));
        let nodes = [node(0), node(1), node(2)];
        let nodes: Vec<&Node> = nodes.iter().collect();
        let options = Options { hedge: 0.5, ..Options::default() };
        owner.take(GROUP, &nodes, &options);
        Self { owner, now: Millis::new(1), number: 0, out: Vec::new() }
    }

    fn on(&mut self, event: Event) {
        self.owner.on(self.now, event, &mut self.out);
    }

    fn leaf(&mut self, work: Work, give_back: Option<Millis>) -> Leaf {
        self.number += 1;
        let query = Query { incarnation: 1, number: self.number };
        Leaf {
            key: Key { from: Vm(1), query, shard: Shard(0), attempt: 0 },
            snapshot: SNAPSHOT,
            deadline: self.now + Millis::new(1000),
            give_back,
            body: Bytes::new(),
            traced: false,
            work,
        }
    }

    fn ask(&mut self, work: Work) -> Key {
        let leaf = self.leaf(work, None);
        let key = leaf.key;
        let replicas = (0..3).map(Upstream).collect();
        self.on(Event::Ask { group: GROUP, replicas, leaf });
        key
    }

    fn search(&mut self) -> Key {
        self.ask(Work::Search)
    }

    /// Sendings since the last call: ticket and upstream.
    fn sent(&mut self) -> Vec<(u64, Upstream)> {
        let sent = self.out.iter().filter_map(|a| match a {
            Action::Send { ticket, upstream, .. } => Some((*ticket, *upstream)),
            _ => None,
        });
        let sent = sent.collect();
        self.out.retain(|a| !matches!(a, Action::Send { .. }));
        sent
    }

    fn answers(&mut self) -> Vec<Outcome> {
        let answers = self.out.iter().filter_map(|a| match a {
            Action::Answer { outcome, .. } => Some(outcome.clone()),
            _ => None,
        });
        let answers = answers.collect();
        self.out.retain(|a| !matches!(a, Action::Answer { .. }));
        answers
    }

    fn done(&mut self, ticket: u64, result: Result<Reply, Failure>) {
        self.on(Event::Done { ticket, result, held: None });
    }

    fn items(&mut self, ticket: u64) {
        let items = Bytes::from_static(b"[]");
        self.done(ticket, Ok(Reply::Items { snapshot: SNAPSHOT, shard: Shard(0), items }));
    }

    /// Runs `count` quick searches, so that the owner learns what is late.
    fn learn(&mut self, count: u32) {
        for _ in 0..count {
            self.search();
            self.now += Millis::new(4);
            for (ticket, _) in self.sent() {
                self.items(ticket);
            }
        }
        self.answers();
    }

    fn tick(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += Millis::new(1);
            self.on(Event::Tick);
        }
    }

    fn rank(&self, upstream: u32) -> Rank {
        self.owner.belief(self.now, Upstream(upstream)).expect("served").0
    }
}

#[test]
fn slots_are_filled_and_never_exceeded() {
    let mut bench = Bench::new();
    for _ in 0..20 {
        bench.search();
    }
    assert_eq!(bench.sent().len(), usize::from(3 * SLOTS));
    for upstream in 0..3 {
        assert_eq!(bench.owner.running(Upstream(upstream)), usize::from(SLOTS));
    }
}

// A search waits behind a straggler although another replica is free: it was bound to the straggler
// when it came.
#[test]
fn what_waits_goes_to_whichever_replica_is_free_first() {
    let mut bench = Bench::new();
    for _ in 0..7 {
        bench.search();
    }
    let sent = bench.sent();
    let (ticket, free) = sent[3];
    bench.items(ticket);
    let next = bench.sent();
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].1, free);
}

// The straggler shard sets the latency of the whole search.
#[test]
fn late_request_is_hedged_once_and_the_loser_stopped() {
    let mut bench = Bench::new();
    bench.learn(400);
    bench.search();
    let first = bench.sent()[0];
    bench.tick(40);
    let hedge = bench.sent();
    assert_eq!(hedge.len(), 1, "hedged once");
    assert_ne!(hedge[0].1, first.1, "on another replica");
    bench.items(hedge[0].0);
    assert_eq!(bench.answers().len(), 1);
    let stopped = |a: &Action| matches!(a, Action::Abort { ticket, .. } if *ticket == first.0);
    assert!(bench.out.iter().any(stopped), "the loser is stopped");
    bench.items(first.0);
    assert!(bench.answers().is_empty(), "its late reply answers nothing");
}

// While a straggler is slow, every free slot of it draws another request that will be late.
#[test]
fn overdue_upstream_gets_no_new_work_while_others_are_free() {
    let mut bench = Bench::new();
    bench.learn(400);
    bench.search();
    let slow = bench.sent()[0].1;
    bench.tick(40);
    assert_eq!(bench.rank(slow.0), Rank::Suspect);
    bench.sent();
    for _ in 0..3 {
        bench.search();
    }
    assert!(bench.sent().iter().all(|(_, upstream)| *upstream != slow));
}

// Two of three replicas fail at once; while the third is busy the failed ones look free, take what
// waits and fail it, and half of the shards are missing although one replica could serve all.
#[test]
fn failed_upstreams_are_not_used_while_another_is_busy() {
    let mut bench = Bench::new();
    for _ in 0..12 {
        bench.search();
    }
    let mut sent = bench.sent();
    while let Some((ticket, upstream)) = sent.pop() {
        match upstream.0 {
            0 => bench.items(ticket),
            _ => bench.done(ticket, Err(Failure::Closed)),
        }
        sent.extend(bench.sent());
    }
    assert_eq!((bench.rank(1), bench.rank(2)), (Rank::Ejected, Rank::Ejected));
    bench.answers();
    for _ in 0..6 {
        bench.search();
    }
    let sent = bench.sent();
    assert!(sent.iter().all(|(_, u)| u.0 == 0), "{sent:?}");
    assert_eq!(sent.len(), usize::from(SLOTS));
}

// An upstream that said it is leaving still gets work, as its health endpoint says it is well.
#[test]
fn leaving_upstream_gets_nothing_whatever_else_is_said() {
    let mut bench = Bench::new();
    bench.on(Event::Leaving(Upstream(1)));
    bench.on(Event::Held(Upstream(1), [SNAPSHOT].into_iter().collect()));
    for _ in 0..20 {
        bench.search();
    }
    assert!(bench.sent().iter().all(|(_, upstream)| upstream.0 != 1));
    bench.on(Event::Restarted(Upstream(1)));
    bench.tick(1);
    assert!(bench.sent().iter().any(|(_, upstream)| upstream.0 == 1), "a new process is well");
}

// The reply of a request for another snapshot or shard is merged into the answer.
#[test]
fn reply_for_another_snapshot_or_shard_is_no_item() {
    let mut bench = Bench::new();
    bench.search();
    for (snapshot, shard) in [
        (Snapshot { version: 2, ..SNAPSHOT }, Shard(0)),
        (SNAPSHOT, Shard(1)),
        (Snapshot { layout: Layout(2), ..SNAPSHOT }, Shard(0)),
    ] {
        let (ticket, _) = bench.sent()[0];
        let items = Bytes::from_static(b"[1]");
        bench.done(ticket, Ok(Reply::Items { snapshot, shard, items }));
    }
    let failed = Outcome::Failed(Failure::Malformed);
    assert_eq!(bench.answers(), [failed], "each cost one attempt, none became an item");
}

// A work order goes out twice: its connection broke after it was sent, and it was retried.
#[test]
fn order_is_sent_again_only_if_it_was_certainly_not_run() {
    for (result, again) in [
        (Err(Failure::Closed), false),
        (Err(Failure::Malformed), false),
        (Err(Failure::Upstream), false),
        (Err(Failure::Connect), true),
        (Ok(Reply::Shed), true),
        (Ok(Reply::Draining), true),
    ] {
        let mut bench = Bench::new();
        bench.ask(Work::Order("o".into()));
        let (ticket, _) = bench.sent()[0];
        bench.done(ticket, result.clone());
        assert_eq!(!bench.sent().is_empty(), again, "{result:?}");
        assert_eq!(bench.answers().is_empty(), again, "{result:?}");
    }
}

// An order that runs long is hedged like a search, and two brigades set out.
#[test]
fn order_is_never_hedged_nor_stopped() {
    let mut bench = Bench::new();
    bench.learn(400);
    bench.ask(Work::Order("o".into()));
    assert_eq!(bench.sent().len(), 1);
    bench.tick(2000);
    assert!(bench.sent().is_empty());
    assert!(!bench.out.iter().any(|a| matches!(a, Action::Abort { .. })));
    assert_eq!(bench.answers(), [Outcome::Failed(Failure::Closed)], "past its deadline: unknown");
}

#[test]
fn order_that_never_left_the_queue_has_not_run() {
    let mut bench = Bench::new();
    for _ in 0..6 {
        bench.search();
    }
    bench.sent();
    bench.ask(Work::Order("o".into()));
    bench.tick(1200);
    assert!(bench.answers().contains(&Outcome::Expired));
}

#[test]
fn request_is_given_back_when_its_patience_ends() {
    let mut bench = Bench::new();
    for _ in 0..6 {
        bench.search();
    }
    let patience = bench.now + Millis::new(5);
    let leaf = bench.leaf(Work::Search, Some(patience));
    let replicas = (0..3).map(Upstream).collect();
    bench.on(Event::Ask { group: GROUP, replicas, leaf });
    bench.tick(4);
    assert!(bench.answers().is_empty());
    bench.tick(2);
    assert_eq!(bench.answers(), [Outcome::Crowded]);
}

#[test]
fn handed_over_group_passes_on_what_waits_and_finishes_what_runs() {
    let mut bench = Bench::new();
    for _ in 0..8 {
        bench.search();
    }
    let running = bench.sent();
    let mut out = Vec::new();
    bench.owner.hand_over(GROUP, Some(Vm(2)), &mut out);
    bench.out.extend(out);
    assert_eq!(bench.answers(), [Outcome::Moved(Some(Vm(2))), Outcome::Moved(Some(Vm(2)))]);
    assert!(!bench.owner.forget(GROUP), "something still runs");
    for (ticket, _) in running {
        bench.items(ticket);
    }
    assert_eq!(bench.answers().len(), 6, "nothing that ran was cut");
    assert!(bench.owner.forget(GROUP));
}

#[test]
fn snapshot_that_nobody_holds_is_told_at_once() {
    let mut bench = Bench::new();
    let other: Held = [Snapshot { version: 9, ..SNAPSHOT }].into_iter().collect();
    for upstream in 0..3 {
        bench.on(Event::Held(Upstream(upstream), other.clone()));
    }
    bench.search();
    assert_eq!(bench.answers(), [Outcome::Gone]);
    assert!(bench.sent().is_empty(), "it cost no upstream anything");
}

// A search waits for its whole deadline: it stood in the queue while the last replica that held its
// snapshot let it go.
#[test]
fn what_waits_for_a_snapshot_that_goes_is_told_at_once() {
    let mut bench = Bench::new();
    for _ in 0..7 {
        bench.search();
    }
    bench.sent();
    let other: Held = [Snapshot { version: 9, ..SNAPSHOT }].into_iter().collect();
    for upstream in 0..3 {
        bench.on(Event::Held(Upstream(upstream), other.clone()));
    }
    bench.tick(1);
    assert_eq!(bench.answers(), [Outcome::Gone]);
}
