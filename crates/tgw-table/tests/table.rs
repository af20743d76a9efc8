//! Tests of the operators' table: validation, differences, deltas, adoption.

#![allow(clippy::expect_used, clippy::unwrap_used, clippy::panic)] // A test fails by panic.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use tgw_table::{
    Document,
    adopt::{Outcome, State},
    diff,
};

const CSV: &str = "\
service,weight,concurrency,queue,deadline_ms,least_coverage_pct,hedge_pct,retry_pct,attempts,snapshot,orders
inspector-desk,10,64,64,800,90,3,10,3,covered,no
permit-office,5,32,32,1500,50,3,10,3,newest,yes
";

fn document(csv: &str) -> Document {
    Document::from_csv(csv).expect("a valid table")
}

/// Four consecutive editions, each with one change.
fn editions() -> Vec<Document> {
    let first = Document::default().next_edition(&document(CSV));
    let second = first.next_edition(&document(&CSV.replace("800", "900")));
    let third =
        second.next_edition(&document(CSV.lines().take(2).collect::<Vec<_>>().join("\n").as_str()));
    let fourth = third.next_edition(&document(CSV));
    vec![first, second, third, fourth]
}

#[test]
fn csv_round_trips() {
    let first = document(CSV);
    assert_eq!(document(&first.to_csv()), first);
}

#[test]
fn every_finding_names_row_and_column() {
    let csv = CSV.replace("10,64", "0,64").replace("newest", "latest").replace("1500", "soon");
    let findings = Document::from_csv(&csv).expect_err("three invalid fields");
    let texts: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(
        texts,
        [
            "row 2, column weight: 0 is outside 1 to 10000",
            "row 3, column deadline_ms: `soon` is not a number",
            "row 3, column snapshot: `latest` is not newest or covered",
        ]
    );
}

#[test]
fn duplicate_row_is_a_finding() {
    let csv = format!("{CSV}permit-office,5,32,32,1500,50,3,10,3,newest,yes\n");
    let findings = Document::from_csv(&csv).expect_err("a duplicate row");
    assert_eq!(
        findings[0].to_string(),
        "row 4, column service: the service `permit-office` has a row already"
    );
}

#[test]
fn diff_lists_each_changed_field() {
    let editions = editions();
    let changes = diff::between(&editions[0], &editions[1]);
    let texts: Vec<String> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(texts, ["~ inspector-desk.deadline_ms: 800 -> 900"]);
}

#[test]
fn delta_from_any_older_edition_yields_the_newest() {
    let editions = editions();
    let newest = editions.last().expect("four editions");
    for old in &editions[..3] {
        let applied = old.apply(&newest.delta(old.edition)).expect("the delta applies");
        assert_eq!(applied.rows, newest.rows, "from edition {}", old.edition);
        assert_eq!(applied.edition, newest.edition);
    }
    assert!(
        editions[0].apply(&newest.delta(2)).is_none(),
        "a delta with a gap must not be applied"
    );
}

// Guards against reverting an accepted edit: a VM receives edition 4 from a peer, a slow watch then
// delivers edition 2, and the VM adopts it. Operators see an accepted deadline revert on some VMs.
#[test]
fn older_edition_never_replaces_a_newer_one() {
    let editions = editions();
    for order in permutations(&[0, 1, 2, 3]) {
        let mut state = State::default();
        let mut highest = 0;
        for index in order {
            let before = state.edition();
            let outcome = state.offer(editions[index].clone());
            assert_eq!(outcome == Outcome::Adopted, editions[index].edition > before);
            highest = highest.max(editions[index].edition);
            assert_eq!(state.edition(), highest);
        }
    }
}

// Guards against the same revert, and against a skipped edition, when peers on both sides of a
// partition send deltas in any order.
#[test]
fn deltas_in_any_order_never_revert_or_skip() {
    let editions = editions();
    let newest = editions.last().expect("four editions");
    for order in permutations(&[0, 1, 2, 3]) {
        let mut state = State::default();
        for index in order {
            let since = editions[index].edition - 1;
            let before = state.edition();
            let outcome = state.offer_delta(&newest.delta(since));
            assert!(state.edition() >= before);
            assert_eq!(outcome == Outcome::Gap, before < since);
        }
        assert_eq!(state.document().map(|d| d.rows.clone()), Some(newest.rows.clone()));
    }
}

fn permutations(items: &[usize]) -> Vec<Vec<usize>> {
    if items.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (at, first) in items.iter().enumerate() {
        let mut rest = items.to_vec();
        rest.remove(at);
        for mut tail in permutations(&rest) {
            tail.insert(0, *first);
            all.push(tail);
        }
    }
    all
}

fn config() -> ProptestConfig {
    Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    // Guards against a panic of the validation on arbitrary text that an operator pastes.
    #[test]
    fn arbitrary_text_parses_or_yields_findings(text in "\\PC{0,200}") {
        if let Err(findings) = Document::from_csv(&text) {
            prop_assert!(!findings.is_empty());
        }
    }

    #[test]
    fn corrupted_csv_parses_or_yields_findings(at in 0usize..300, with in "[\\x00-\\x7f]{0,3}") {
        let mut text = CSV.to_owned();
        let at = at % text.len();
        text.replace_range(at..at + 1, &with);
        if let Ok(document) = Document::from_csv(&text) {
            prop_assert!(document.rows.values().all(|r| r.weight >= 1 && r.attempts >= 1));
        }
    }
}
