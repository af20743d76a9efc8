//! Tests of edits of the table against the stand-in platform and its injected faults.

use std::{future::Future, net::Ipv4Addr};
use tgw_clock::Millis;
use tgw_operate::table::{self, Refusal};
use tgw_platform::Http;
use tgw_standin::{Platform, size::User};
use tokio::{net::TcpListener, task::LocalSet};

/// Runs `test` with a stand-in platform whose store has a user's table as edition 1.
fn with_platform<F: Future<Output = ()>>(test: impl FnOnce(Platform, Http) -> F) {
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
        test(platform, Http::new(addr, Millis::new(2000))).await;
    });
}

fn edition(platform: &Platform) -> u64 {
    platform.read("table", "main").expect("the table").value["edit"].as_u64().expect("a number")
}

#[test]
fn accepted_edit_becomes_the_next_edition_and_is_in_the_history() {
    with_platform(|platform, store| async move {
        let text = table::show(&store).await.expect("the table");
        let edit = table::apply(&store, &text.replace("1500", "1200")).await.expect("accepted");
        assert_eq!((edit, edition(&platform)), (2, 2));
        let revisions = table::history(&store).await.expect("the history");
        assert_eq!(revisions.len(), 1);
        assert!(revisions[0].changes[0].contains("1500 -> 1200"), "{revisions:?}");
        assert_eq!(
            table::apply(&store, &text.replace("1500", "1200")).await.map_err(|_| ()),
            Err(())
        );
    });
}

// Two operators edit the table at once. Without conflict detection the second one's file, made from the older
// edition, would silently undo the first one's edit.
#[test]
fn concurrent_edit_is_a_conflict_that_lists_the_changed_rows() {
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

// A write takes effect but its reply is lost. If that were reported as an error, the operator would apply the edit
// again, and it would count twice or conflict with itself.
#[test]
fn edit_is_applied_once_when_its_reply_is_lost() {
    with_platform(|platform, store| async move {
        platform.set(|f| f.lose_replies = 1);
        let text = table::show(&store).await.expect("the table");
        let edit = table::apply(&store, &text.replace("1500", "1200")).await.expect("accepted");
        assert_eq!((edit, edition(&platform)), (2, 2));
        let revisions = table::history(&store).await.expect("the history");
        assert_eq!(revisions.len(), 1, "accepted once");
    });
}

#[test]
fn edit_is_applied_once_when_every_reply_is_lost() {
    with_platform(|platform, store| async move {
        platform.set(|f| f.lose_replies = 100);
        let text = table::show(&store).await.expect("the table");
        let edit = table::apply(&store, &text.replace("1500", "1200")).await.expect("accepted");
        assert_eq!((edit, edition(&platform)), (2, 2));
    });
}

#[test]
fn unavailable_platform_is_reported_and_nothing_is_written() {
    with_platform(|platform, store| async move {
        let text = table::show(&store).await.expect("the table");
        platform.set(|f| f.down = true);
        let result = table::apply(&store, &text.replace("1500", "1200")).await;
        assert!(matches!(result, Err(Refusal::Unavailable { .. })), "{result:?}");
        platform.set(|f| f.down = false);
        assert_eq!(edition(&platform), 1);
    });
}

#[test]
fn invalid_table_is_rejected_with_all_findings_and_nothing_is_written() {
    with_platform(|platform, store| async move {
        let text = table::show(&store).await.expect("the table");
        let invalid =
            text.replace("crew-roster,10", "crew-roster,0").replace("covered,yes", "covered,maybe");
        match table::apply(&store, &invalid).await {
            Err(Refusal::Findings(findings)) => assert_eq!(findings.len(), 3, "{findings:?}"),
            other => panic!("findings were expected: {other:?}"),
        }
        assert_eq!(edition(&platform), 1);
    });
}

#[test]
fn example_tables_equal_the_users_tables() {
    for (user, text) in [
        (User::Coimbra, include_str!("../../../../examples/table-coimbra.csv")),
        (User::Aspen, include_str!("../../../../examples/table-aspen.csv")),
    ] {
        let example = table::check(text).expect("a valid table");
        assert_eq!(example.to_csv(), user.table().to_csv());
    }
}
