//! The row of one service.

use crate::finding::{Finding, Kind};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use tgw_clock::Millis;

/// The columns of the CSV form, in order.
pub const COLUMNS: [&str; 11] = [
    "service",
    "weight",
    "concurrency",
    "queue",
    "deadline_ms",
    "least_coverage_pct",
    "hedge_pct",
    "retry_pct",
    "attempts",
    "snapshot",
    "orders",
];

/// The snapshot that a query uses if not every shard has a replica with the newest one.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Choice {
    /// The newest that any replica holds, even if coverage is lower.
    #[display("newest")]
    Newest,
    /// The newest of the snapshots that cover the most shards.
    #[display("covered")]
    Covered,
}

/// Weights, limits and deadlines of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The service's name.
    pub service: String,
    /// The service's weight in sharing a VM's capacity when services compete.
    pub weight: u32,
    /// The number of queries that one VM runs concurrently.
    pub concurrency: u32,
    /// The number of queries that one VM queues.
    pub queue: u32,
    /// The deadline of a query, in milliseconds; a caller may request a shorter one.
    pub deadline_ms: u32,
    /// The minimum coverage, in percent of the shards; an answer below it is rejected.
    pub least_coverage_pct: f64,
    /// The share of leaf requests that may be hedged, in percent.
    pub hedge_pct: f64,
    /// The share of leaf requests that may be retried, in percent.
    pub retry_pct: f64,
    /// The maximum number of attempts for one shard of one query.
    pub attempts: u8,
    /// The choice of snapshot.
    pub snapshot: Choice,
    /// Whether orders are accepted.
    pub orders: bool,
    /// The edition in which the row last changed.
    #[serde(default, rename = "changed")]
    pub changed_edition: u64,
}

impl Row {
    /// A row with default values for `service`.
    pub fn with_defaults(service: &str) -> Self {
        Self {
            service: service.into(),
            weight: 10,
            concurrency: 256,
            queue: 256,
            deadline_ms: 1000,
            least_coverage_pct: 50.0,
            hedge_pct: 3.0,
            retry_pct: 10.0,
            attempts: 3,
            snapshot: Choice::Covered,
            orders: false,
            changed_edition: 0,
        }
    }

    /// The deadline of a query.
    pub fn deadline(&self) -> Millis {
        Millis::new(self.deadline_ms.into())
    }

    /// The fields in the order of [`COLUMNS`].
    pub fn fields(&self) -> [String; COLUMNS.len()] {
        [
            self.service.clone(),
            self.weight.to_string(),
            self.concurrency.to_string(),
            self.queue.to_string(),
            self.deadline_ms.to_string(),
            self.least_coverage_pct.to_string(),
            self.hedge_pct.to_string(),
            self.retry_pct.to_string(),
            self.attempts.to_string(),
            self.snapshot.to_string(),
            if self.orders { "yes" } else { "no" }.into(),
        ]
    }

    /// Whether all columns are equal; the edition of the last change is ignored.
    pub fn has_same_fields(&self, other: &Self) -> bool {
        self.fields() == other.fields()
    }

    /// Parses one line; `get` returns the text of a column. Errors are added to `findings`.
    pub(crate) fn read<'a>(
        line: u64,
        get: impl Fn(&str) -> &'a str,
        findings: &mut Vec<Finding>,
    ) -> Self {
        let mut parser = FieldParser { line, findings };
        Self {
            service: parser.name(get("service")),
            weight: parser.number("weight", get("weight"), 1.0, 10_000.0) as u32,
            concurrency: parser.number("concurrency", get("concurrency"), 1.0, 100_000.0) as u32,
            queue: parser.number("queue", get("queue"), 0.0, 100_000.0) as u32,
            deadline_ms: parser.number("deadline_ms", get("deadline_ms"), 1.0, 600_000.0) as u32,
            least_coverage_pct: parser.number(
                "least_coverage_pct",
                get("least_coverage_pct"),
                0.0,
                100.0,
            ),
            hedge_pct: parser.number("hedge_pct", get("hedge_pct"), 0.0, 50.0),
            retry_pct: parser.number("retry_pct", get("retry_pct"), 0.0, 50.0),
            attempts: parser.number("attempts", get("attempts"), 1.0, 10.0) as u8,
            snapshot: parser.choice(get("snapshot")),
            orders: parser.flag("orders", get("orders")),
            changed_edition: 0,
        }
    }
}

/// Parses the fields of one line and collects validation errors.
struct FieldParser<'a> {
    line: u64,
    findings: &'a mut Vec<Finding>,
}

impl FieldParser<'_> {
    fn report(&mut self, column: &str, kind: Kind) {
        self.findings.push(Finding { row: self.line, column: column.into(), kind });
    }

    fn name(&mut self, text: &str) -> String {
        let valid = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if text.is_empty() || text.len() > 64 || !text.chars().all(valid) {
            self.report("service", Kind::Name(text.into()));
        }
        text.into()
    }

    fn number(&mut self, column: &str, text: &str, low: f64, high: f64) -> f64 {
        match text.trim().parse::<f64>() {
            Ok(found) if (low..=high).contains(&found) => found,
            Ok(found) => {
                self.report(column, Kind::Range { found, low, high });
                low
            }
            Err(_) => {
                let kind = Kind::Malformed { found: text.into(), expected: "a number" };
                self.report(column, kind);
                low
            }
        }
    }

    fn choice(&mut self, text: &str) -> Choice {
        match text.trim() {
            "newest" => Choice::Newest,
            "covered" => Choice::Covered,
            _ => {
                let expected = "newest or covered";
                self.report("snapshot", Kind::Malformed { found: text.into(), expected });
                Choice::Covered
            }
        }
    }

    fn flag(&mut self, column: &str, text: &str) -> bool {
        if !matches!(text.trim(), "yes" | "no") {
            self.report(column, Kind::Malformed { found: text.into(), expected: "yes or no" });
        }
        text.trim() == "yes"
    }
}
