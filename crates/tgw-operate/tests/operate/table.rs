//! Tests of edits of the table against the stand-in platform and its faults.

use std::{future::Future, net::Ipv4Addr};
use tgw_clock::Millis;
use tgw_operate::table::{self, Refusal};
use tgw_platform::Http;
use tgw_standin::{Platform, size::User};
use tokio::{net::TcpListener, task::LocalSet};

/// Runs `test` with a stand-in platform that holds a user's table as edition 1.
fn with_platform<W: Future<Output = ()>>(test: impl FnOnce(Platform, Http) -> W) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let platform = Platform::default();
        let table = serde_json::to_value(User::Coimbra.table()).expect("a table");
        platform.write("table", "main", table);
        let serving = platform.clone();
        tokio::task::spawn_local(async move { serving.serve(listener).await });
        test(platform, Http::open(addr, Millis::new(2000))).await;
    });
}

fn edition(platform: &Platform) -> u64 {
    platform.read("table", "main").expect("the table").value["edit"].as_u64().expect("a number")
}

#[test]
fn accepted_edit_is_the_next_edition_and_remembered() {
    with_platform(|platform, store| async move {
        let text = table::show(&store).await.expect("the table");
        let edit = table::apply(&store, &text.replace("1500", "1200")).await.expect("accepted");
        assert_eq!((edit, edition(&platform)), (2, 2));
        let past = table::history(&store).await.expect("the history");
        assert_eq!(past.len(), 1);
        assert!(past[0].changes[0].contains("1500 -> 1200"), "{past:?}");
        assert_eq!(
            table::apply(&store, &text.replace("1500", "1200")).await.map_err(|_| ()),
            Err(())
        );
    });
}

// Two operators edit the table at once. The second one's file, made from the older edition, silently
// undoes the first one's edit.
#[test]
fn racing_edit_is_a_conflict_with_the_rows_that_differ() {
    with_platform(|platform, store| async move {
        let text = table::show(&store).await.expect("the table");
        let first = text.replace("crew-roster,10", "crew-roster,20");
        let second = text.replace("herbicide-log,10", "herbicide-log,5");
        table::apply(&store, &first).await.expect("the first is accepted");
        match table::apply(&store, &second).await {
            Err(Refusal::Conflict { base: 1, current: 2, rows }) => {
                assert!(
                    rows.iter().any(|r| r.contains("crew-roster changed in edition 2")),
                    "{rows:?}"
                );
            }
            other => panic!("a conflict was expected: {other:?}"),
        }
        assert_eq!(edition(&platform), 2, "nothing was overwritten");
    });
}

// An operator sees an error, applies the edit again, and it counts twice or conflicts with itself: the
// write had taken effect and its reply was lost.
#[test]
fn lost_reply_is_resolved_and_the_edit_applied_once() {
    with_platform(|platform, store| async move {
        platform.set(|f| f.lose_replies = 1);
        let text = table::show(&store).await.expect("the table");
        let edit = table::apply(&store, &text.replace("1500", "1200")).await.expect("accepted");
        assert_eq!((edit, edition(&platform)), (2, 2));
        let past = table::history(&store).await.expect("the history");
        assert_eq!(past.len(), 1, "accepted once");
    });
}

#[test]
fn every_reply_lost_still_ends_in_one_edition() {
    with_platform(|platform, store| async move {
        platform.set(|f| f.lose_replies = 100);
        let text = table::show(&store).await.expect("the table");
        let edit = table::apply(&store, &text.replace("1500", "1200")).await.expect("accepted");
        assert_eq!((edit, edition(&platform)), (2, 2));
    });
}

#[test]
fn platform_that_is_down_changes_nothing_and_says_so() {
    with_platform(|platform, store| async move {
        let text = table::show(&store).await.expect("the table");
        platform.set(|f| f.down = true);
        let refused = table::apply(&store, &text.replace("1500", "1200")).await;
        assert!(matches!(refused, Err(Refusal::Unavailable { .. })), "{refused:?}");
        platform.set(|f| f.down = false);
        assert_eq!(edition(&platform), 1);
    });
}

#[test]
fn wrong_table_is_refused_with_all_findings_and_nothing_written() {
    with_platform(|platform, store| async move {
        let text = table::show(&store).await.expect("the table");
        let wrong =
            text.replace("crew-roster,10", "crew-roster,0").replace("covered,yes", "covered,maybe");
        match table::apply(&store, &wrong).await {
            Err(Refusal::Findings(findings)) => assert_eq!(findings.len(), 3, "{findings:?}"),
            other => panic!("findings were expected: {other:?}"),
        }
        assert_eq!(edition(&platform), 1);
    });
}

#[test]
fn example_tables_are_the_users_own() {
    for (user, text) in [
        (User::Coimbra, include_str!("../../../../examples/table-coimbra.csv")),
        (User::Aspen, include_str!("../../../../examples/table-aspen.csv")),
    ] {
        let example = table::check(text).expect("a valid table");
        assert_eq!(example.to_csv(), user.table().to_csv());
    }
}
