//! Tests of whole fleets on loopback: several VMs, stand-in upstreams and platform in one process.
//! Tests wait for events, not for fixed times; a fleet that hangs fails by a timeout.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // Tests fail by panicking.

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

/// Time after which an expected event counts as missing.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

fn size(user: User, vms: usize) -> Size {
    Size { user, vms, spread: Spread::Together, distances: false, seed: 7, sample: 1, record: None }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
}

fn store(fleet: &Fleet) -> Http {
    Http::new(fleet.platform_addr, tgw_clock::Millis::new(2000))
}

fn access(fleet: &Fleet) -> Access {
    let addrs = fleet.vms.iter().filter_map(|vm| vm.handle.as_ref()).map(Handle::operators_addr);
    Access { addrs: addrs.collect(), token: tgw_demo::ADMIN_TOKEN.into() }
}

/// Waits until `done` returns true.
fn eventually(what: &str, mut done: impl FnMut() -> bool) {
    let until = Instant::now() + EVENT_TIMEOUT;
    while !done() {
        assert!(Instant::now() < until, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends one search; returns the status and body of the response.
async fn search(entry: SocketAddr, service: &str, query_id: &str, body: &str) -> (u16, Vec<u8>) {
    let path = format!("/v1/{service}/search");
    let headers = [("x-query-id", query_id)];
    let body = body.as_bytes().to_vec().into();
    let (client, post) = (Client::default(), "POST".parse().expect("a method"));
    let response = client.call(post, entry, &path, &headers, body, EVENT_TIMEOUT).await;
    let (status, body) = response.expect("a response");
    (status.as_u16(), body.to_vec())
}

/// Repeats a search while it is answered with 504. The table row's deadline is measured by the real
/// clock, so that a busy machine may cause a genuine 504 that is unrelated to the tested behaviour.
async fn search_in_time(
    entry: SocketAddr,
    service: &str,
    query_id: &str,
    body: &str,
) -> (u16, Vec<u8>) {
    const TRIES: u32 = 20;
    let mut answer = search(entry, service, query_id, body).await;
    for _ in 1..TRIES {
        if answer.0 != 504 {
            break;
        }
        answer = search(entry, service, query_id, body).await;
    }
    answer
}

// Guards against a VM that answers some service only in part or with wrong items.
#[test]
fn every_vm_answers_every_service_completely_and_correctly() {
    for user in User::ALL {
        let fleet = Fleet::open(size(user, 3)).expect("a fleet");
        runtime().block_on(async {
            for (number, entry) in fleet.entries().into_iter().enumerate() {
                for service in fleet.catalog.services.values() {
                    let (query_id, body) = (format!("q-{number}"), format!("{{\"n\":{number}}}"));
                    let (status, reply) =
                        search_in_time(entry, &service.name, &query_id, &body).await;
                    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&reply));
                    let answer: check::Answer = serde_json::from_slice(&reply).expect("an answer");
                    assert!(answer.coverage.missing.is_empty());
                    let found = check::check_answer(
                        &fleet.catalog,
                        service.id,
                        body.as_bytes(),
                        &query_id,
                        &answer,
                    );
                    assert_eq!(found, []);
                }
            }
        });
        assert_eq!(fleet.close(), Vec::<String>::new(), "no VM leaves requests unfinished");
    }
}

// Guards against a checker that accepts every answer: it must detect items that are missing, duplicated, of
// another query or of another snapshot, wrong coverage, and an answer to another caller.
#[test]
fn checker_detects_each_kind_of_invalid_answer() {
    let catalog = User::Aspen.catalog(Spread::Together);
    let service = catalog.service("publican-panel").expect("a service").clone();
    let snapshot = service.snapshots[0];
    let shards = catalog.layout(service.id, snapshot.layout).expect("a layout").shards.len();
    let whole = check::Answer {
        query_id: "q".into(),
        snapshot: check::SnapshotId { version: snapshot.version, layout: snapshot.layout.0 },
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
    let found = |answer: &check::Answer| {
        check::check_answer(&catalog, service.id, b"{}", "q", answer).len()
    };
    assert_eq!(found(&whole), 0);
    let broken = |change: &dyn Fn(&mut check::Answer)| {
        let mut answer = whole.clone();
        change(&mut answer);
        found(&answer)
    };
    assert!(broken(&|a| a.items.truncate(1)) > 0, "lost items");
    assert!(broken(&|a| a.items.push(a.items[0].clone())) > 0, "a duplicated item");
    assert!(broken(&|a| a.items[0].version += 1) > 0, "an item of another snapshot");
    assert!(broken(&|a| a.items[0].query += 1) > 0, "an item of another query");
    assert!(broken(&|a| a.coverage.answered -= 1) > 0, "a coverage that does not add up");
    assert!(broken(&|a| a.query_id = "other".into()) > 0, "an answer to another caller");
}

// Guards against a VM that never applies a new edition of the table, or a status that reports it early.
#[test]
fn new_edition_takes_effect_at_every_vm_and_status_reports_it() {
    let fleet = Fleet::open(size(User::Coimbra, 4)).expect("a fleet");
    let runtime = runtime();
    let text = runtime.block_on(table::show(&store(&fleet))).expect("the table");
    let edit = runtime.block_on(table::apply(&store(&fleet), &text.replace("1500", "1400")));
    let edit = edit.expect("accepted");
    let access = access(&fleet);
    eventually("the edition in force at every VM", || {
        let seen = runtime.block_on(status::fetch(&access));
        seen.views.len() == 4
            && seen.views.iter().all(|v| v.edition == edit)
            && status::outdated(&seen.views[0], edit).is_empty()
    });
    let later = status::outdated(&runtime.block_on(status::fetch(&access)).views[0], edit + 1);
    assert!(!later.is_empty(), "an edition that no VM has is not in force");
    fleet.close();
}

// Guards against a VM that, started during an outage of the platform, never serves or serves without the
// limits of the table.
#[test]
fn new_vm_starts_from_its_peers_while_the_platform_is_down() {
    let mut fleet = Fleet::open(size(User::Aspen, 2)).expect("a fleet");
    let seed = fleet.vms[0].handle.as_ref().expect("running").peers_addr();
    fleet.platform.set(|f| f.down = true);
    let vm = fleet.start_vm_with_seeds(2, "late".into(), &[seed]).expect("it starts");
    fleet.vms.push(vm);
    let new_vm = fleet.vms[2].handle.as_ref().expect("running");
    eventually("the new VM accepts queries", || new_vm.is_ready());
    let (status, _) = runtime().block_on(search(new_vm.callers_addr(), "ledger-bridge", "q", "{}"));
    assert_eq!(status, 200);
    fleet.platform.set(|f| f.down = false);
    fleet.close();
}

/// Repeats a search while a shard is missing as unreachable: on a busy machine a VM may answer too late by
/// the real clock and is then skipped, so that its shards are genuinely missing. Shards missing for any
/// other reason are returned as they are.
async fn search_until_reachable(entry: SocketAddr, service: &str, query_id: &str) -> check::Answer {
    const TRIES: u32 = 20;
    let mut tries = 0;
    loop {
        tries += 1;
        let (status, reply) = search_in_time(entry, service, query_id, "{}").await;
        assert_eq!(status, 200, "{}", String::from_utf8_lossy(&reply));
        let answer: check::Answer = serde_json::from_slice(&reply).expect("an answer");
        let has_unreachable = answer.coverage.missing.iter().any(|m| m.reason == "unreachable");
        if !has_unreachable || tries == TRIES {
            return answer;
        }
    }
}

// An upstream reports with each reply that it drains, while the platform and its load and health endpoints
// report no drain. Guards against VMs that trust the latter and keep sending it requests. That no search
// loses a part over it is tested by `a_draining_upstream_loses_no_part` of `tgw-bench`.
#[test]
fn draining_upstream_gets_no_new_requests_despite_its_load_endpoint() {
    let fleet = Fleet::open(size(User::Aspen, 3)).expect("a fleet");
    let upstream = fleet.upstreams[0].clone();
    upstream.set(|k| {
        k.draining = true;
        k.misreports_load = true;
    });
    let runtime = runtime();
    let send_searches = |count: usize| {
        for number in 0..count {
            let entries = fleet.entries();
            let entry = entries[number % entries.len()];
            let query_id = format!("q-{number}");
            let answer =
                runtime.block_on(search_until_reachable(entry, "inspector-desk", &query_id));
            assert!(answer.coverage.missing.is_empty(), "{:?}", answer.coverage);
        }
    };
    eventually("the first refusal by the draining upstream", || {
        send_searches(3);
        upstream.journal().refused_draining > 0
    });
    let before = upstream.journal().refused_draining;
    send_searches(60);
    assert_eq!(upstream.journal().refused_draining, before, "no VM sent it another request");
    fleet.close();
}

// Operators replace every VM, one after another, under load. Guards against two owners and a temporary owner
// of the same replica group that hold connections at once, so that the upstream refuses those above its
// limit. That no search loses a part is tested by `replacing_every_vm_in_turn_loses_no_part` of `tgw-bench`:
// here deadlines are measured by the real clock, and a busy machine causes genuine partial answers.
#[test]
fn replacing_all_vms_under_load_fails_no_request_and_exceeds_no_connection_limit() {
    let options = Options {
        size: size(User::Aspen, 3),
        queries: 700,
        per_second: 60.0,
        faults: vec![Fault::Replace; 3],
    };
    let report = tgw_demo::run(&options).expect("a report");
    assert_eq!(report.broken_promises, []);
    assert_eq!(report.connections_refused, 0, "{report}");
    assert_eq!(report.failed, 0, "no request failed: {report}");
    let counted = report.answered + report.partial + report.short + report.refused + report.failed;
    assert_eq!(counted, report.queries, "every query is in the counts");
}

// Guards against wrong answers, lost requests or repeated orders when a VM is replaced after upstreams have
// sent mismatched and truncated replies.
#[test]
fn demo_keeps_all_guarantees_under_two_faults() {
    let options = Options {
        size: size(User::Coimbra, 4),
        queries: 600,
        per_second: 60.0,
        faults: vec![Fault::Crossed, Fault::Replace],
    };
    let report = tgw_demo::run(&options).expect("a report");
    assert_eq!(report.broken_promises, []);
    assert_eq!(report.failed, 0, "no request failed");
    let counted = report.answered + report.partial + report.short + report.refused;
    assert_eq!(counted, report.queries, "every query is in the counts");
}
