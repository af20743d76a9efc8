//! Tests of whole fleets on loopback: several VMs, stand-in upstreams and platform in one process.
//! Verdicts wait for events, never for a time; a fleet that hangs fails by its own limit.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tgw_demo::{Client, Fleet, Options, Size, check, fault::Fault};
use tgw_operate::{Access, status, table};
use tgw_platform::Http;
use tgw_serve::Handle;
use tgw_standin::{
    corpus,
    size::{Spread, User},
};
use tgw_topology::Shard;

/// After this long an event that is waited for counts as never coming.
const PATIENCE: Duration = Duration::from_secs(30);

fn size(user: User, vms: usize) -> Size {
    Size { user, vms, spread: Spread::Together, distances: false, seed: 7, sample: 1, record: None }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}

fn store(fleet: &Fleet) -> Http {
    Http::open(fleet.platform_addr, tgw_clock::Millis::new(2000))
}

fn access(fleet: &Fleet) -> Access {
    let addrs = fleet.vms.iter().filter_map(|vm| vm.handle.as_ref()).map(Handle::operators);
    Access { addrs: addrs.collect(), token: tgw_demo::TOKEN.into() }
}

/// Waits until `done` holds.
fn eventually(what: &str, mut done: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < until, "never came: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// One search; its status and body.
async fn search(entry: SocketAddr, service: &str, label: &str, body: &str) -> (u16, Vec<u8>) {
    let path = format!("/v1/{service}/search");
    let headers = [("x-query-id", label)];
    let body = body.as_bytes().to_vec().into();
    let (client, post) = (Client::default(), "POST".parse().expect("a method"));
    let called = client.call(post, entry, &path, &headers, body, PATIENCE).await;
    let (status, body) = called.expect("a response");
    (status.as_u16(), body.to_vec())
}

/// Searches until the answer is not short of time. A row's deadline passes by the real clock, so that a
/// busy machine makes a true 504 of a search that has nothing to do with what is tested.
async fn search_in_time(
    entry: SocketAddr,
    service: &str,
    label: &str,
    body: &str,
) -> (u16, Vec<u8>) {
    const TRIES: u32 = 20;
    let mut answer = search(entry, service, label, body).await;
    for _ in 1..TRIES {
        if answer.0 != 504 {
            break;
        }
        answer = search(entry, service, label, body).await;
    }
    answer
}

#[test]
fn every_vm_answers_every_service_whole_and_true() {
    for user in User::ALL {
        let fleet = Fleet::open(size(user, 3)).expect("a fleet");
        runtime().block_on(async {
            for (number, entry) in fleet.entries().into_iter().enumerate() {
                for service in fleet.catalog.services.values() {
                    let (label, body) = (format!("q-{number}"), format!("{{\"n\":{number}}}"));
                    let (status, reply) = search_in_time(entry, &service.name, &label, &body).await;
                    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&reply));
                    let answer: check::Answer = serde_json::from_slice(&reply).expect("an answer");
                    assert!(answer.coverage.missing.is_empty());
                    let found =
                        check::answer(&fleet.catalog, service.id, body.as_bytes(), &label, &answer);
                    assert_eq!(found, []);
                }
            }
        });
        assert_eq!(fleet.close(), Vec::<String>::new(), "nothing is left undone");
    }
}

// The checker passes whatever comes: it must find an item that is missing, doubled, foreign, or of
// another snapshot, and a coverage that says more than was searched.
#[test]
fn checker_finds_each_kind_of_broken_answer() {
    let catalog = User::Aspen.catalog(Spread::Together);
    let service = catalog.service("publican-panel").expect("a service").clone();
    let snapshot = service.snapshots[0];
    let shards = catalog.layout(service.id, snapshot.layout).expect("a layout").shards.len();
    let whole = check::Answer {
        query_id: "q".into(),
        snapshot: check::Version { version: snapshot.version, layout: snapshot.layout.0 },
        coverage: check::Coverage {
            shards: shards as u64,
            answered: shards as u64,
            missing: vec![],
        },
        items: (0..shards as u16)
            .flat_map(|s| corpus::items(service.id, snapshot, shards as u64, Shard(s), b"{}"))
            .collect(),
        took_ms: 1.0,
    };
    let found =
        |answer: &check::Answer| check::answer(&catalog, service.id, b"{}", "q", answer).len();
    assert_eq!(found(&whole), 0);
    let broken = |change: &dyn Fn(&mut check::Answer)| {
        let mut answer = whole.clone();
        change(&mut answer);
        found(&answer)
    };
    assert!(broken(&|a| a.items.truncate(1)) > 0, "lost items");
    assert!(broken(&|a| a.items.push(a.items[0].clone())) > 0, "a doubled item");
    assert!(broken(&|a| a.items[0].version += 1) > 0, "an item of another snapshot");
    assert!(broken(&|a| a.items[0].query += 1) > 0, "an item of another query");
    assert!(broken(&|a| a.coverage.answered -= 1) > 0, "a coverage that does not add up");
    assert!(broken(&|a| a.query_id = "other".into()) > 0, "an answer to another caller");
}

#[test]
fn edit_is_in_force_at_every_vm_and_wait_tells_so() {
    let fleet = Fleet::open(size(User::Coimbra, 4)).expect("a fleet");
    let runtime = runtime();
    let text = runtime.block_on(table::show(&store(&fleet))).expect("the table");
    let edit = runtime.block_on(table::apply(&store(&fleet), &text.replace("1500", "1400")));
    let edit = edit.expect("accepted");
    let access = access(&fleet);
    eventually("the edition in force everywhere", || {
        let seen = runtime.block_on(status::fetch(&access));
        seen.views.len() == 4
            && seen.views.iter().all(|v| v.edit == edit)
            && status::not_in_force(&seen.views[0], edit).is_empty()
    });
    let later = status::not_in_force(&runtime.block_on(status::fetch(&access)).views[0], edit + 1);
    assert!(!later.is_empty(), "an edition that nobody has is not in force");
    fleet.close();
}

// A VM that starts while the platform is down serves nothing, or serves by no limits at all.
#[test]
fn new_vm_starts_from_its_peers_while_the_platform_is_down() {
    let mut fleet = Fleet::open(size(User::Aspen, 2)).expect("a fleet");
    let seed = fleet.vms[0].handle.as_ref().expect("running").peers();
    fleet.platform.set(|f| f.down = true);
    let vm = fleet.start_with_seeds(2, "late".into(), &[seed]).expect("it starts");
    fleet.vms.push(vm);
    let late = fleet.vms[2].handle.as_ref().expect("running");
    eventually("the new VM takes queries", || late.ready());
    let (status, _) = runtime().block_on(search(late.callers(), "ledger-bridge", "q", "{}"));
    assert_eq!(status, 200);
    fleet.platform.set(|f| f.down = false);
    fleet.close();
}

/// Searches until no part is missing for want of a VM that answers: by the real clock, one that a busy machine holds up is
/// passed over, and its shards are truly left out. Any other reason for a missing part stands.
async fn search_reached(entry: SocketAddr, service: &str, label: &str) -> check::Answer {
    const TRIES: u32 = 20;
    let mut tries = 0;
    loop {
        tries += 1;
        let (status, reply) = search_in_time(entry, service, label, "{}").await;
        assert_eq!(status, 200, "{}", String::from_utf8_lossy(&reply));
        let answer: check::Answer = serde_json::from_slice(&reply).expect("an answer");
        let unreached = answer.coverage.missing.iter().any(|m| m.reason == "unreachable");
        if !unreached || tries == TRIES {
            return answer;
        }
    }
}

// An upstream says with each reply that it is leaving, while platform, load and health say that it is
// well, and it gets new work for as long as the others are believed. That no search lacks a part for it is for
// `a_draining_upstream_leaves_nothing_out` of `tgw-bench` to say.
#[test]
fn draining_upstream_gets_no_new_work_whatever_its_load_endpoint_says() {
    let fleet = Fleet::open(size(User::Aspen, 3)).expect("a fleet");
    let upstream = fleet.upstreams[0].clone();
    upstream.set(|k| {
        k.draining = true;
        k.misleading = true;
    });
    let runtime = runtime();
    let ask = |count: usize| {
        for number in 0..count {
            let entries = fleet.entries();
            let entry = entries[number % entries.len()];
            let label = format!("q-{number}");
            let answer = runtime.block_on(search_reached(entry, "inspector-desk", &label));
            assert!(answer.coverage.missing.is_empty(), "{:?}", answer.coverage);
        }
    };
    eventually("the first word that it leaves", || {
        ask(3);
        upstream.journal().refused_draining > 0
    });
    let before = upstream.journal().refused_draining;
    ask(60);
    assert_eq!(upstream.journal().refused_draining, before, "no VM asked it again");
    fleet.close();
}

// Operators replace every VM, one after another, during the day. Two owners and a stand-in of the same
// group hold connections at once, and the upstream refuses what is beyond its limit. That no search lacks a
// part is for `every_vm_replaced_in_turn_leaves_nothing_out` of `tgw-bench` to say: here deadlines pass by
// the real clock, and a busy machine makes true partial answers.
#[test]
fn all_vms_replaced_under_load_cut_nothing_and_stay_within_connections() {
    let options = Options {
        size: size(User::Aspen, 3),
        queries: 700,
        per_second: 60.0,
        faults: vec![Fault::Replace; 3],
    };
    let report = tgw_demo::run(&options).expect("a report");
    assert_eq!(report.broken_promises, []);
    assert_eq!(report.connections_refused, 0, "{report}");
    assert_eq!(report.failed, 0, "no request was cut: {report}");
    let told = report.answered + report.partial + report.short + report.refused + report.failed;
    assert_eq!(told, report.queries, "every query is in the counts");
}

#[test]
fn demo_keeps_all_promises_under_pairs_of_faults() {
    let options = Options {
        size: size(User::Coimbra, 4),
        queries: 600,
        per_second: 60.0,
        faults: vec![Fault::Crossed, Fault::Replace],
    };
    let report = tgw_demo::run(&options).expect("a report");
    assert_eq!(report.broken_promises, []);
    assert_eq!(report.failed, 0, "no request was cut");
    let told = report.answered + report.partial + report.short + report.refused;
    assert_eq!(told, report.queries, "every query is in the counts");
}
