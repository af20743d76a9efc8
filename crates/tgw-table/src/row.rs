//! One service's row.

use crate::finding::{Finding, Kind};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use tgw_clock::Millis;

/// The columns in the order in which they are written.
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

/// Which snapshot a query takes when the newest is not held for every shard.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Choice {
    /// The newest that any replica holds, at the price of coverage.
    #[display("newest")]
    Newest,
    /// The newest among those that cover the most shards.
    #[display("covered")]
    Covered,
}

/// Weights, limits and deadlines of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The service's name.
    pub service: String,
    /// Share of a VM's work when services compete.
    pub weight: u32,
    /// Queries that one VM runs at once.
    pub concurrency: u32,
    /// Queries that one VM lets wait.
    pub queue: u32,
    /// Time for a query, in milliseconds; a caller may ask for less.
    pub deadline_ms: u32,
    /// Coverage below which an answer is refused, in percent of the shards.
    pub least_coverage_pct: f64,
    /// Leaf requests that may be hedged, in percent.
    pub hedge_pct: f64,
    /// Leaf requests that may be retried, in percent.
    pub retry_pct: f64,
    /// Most attempts for one shard of one query.
    pub attempts: u8,
    /// Which snapshot to take.
    pub snapshot: Choice,
    /// Whether orders are accepted.
    pub orders: bool,
    /// The edition in which the row last changed.
    #[serde(default)]
    pub changed: u64,
}

impl Row {
    /// A row of defaults for `service`.
    pub fn named(service: &str) -> Self {
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
            changed: 0,
        }
    }

    /// Time for a query.
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

    /// Whether the operators' fields are the same, whatever the edition.
    pub fn same(&self, other: &Self) -> bool {
        self.fields() == other.fields()
    }

    /// Reads one line; `get` returns a column's text. Mistakes are added to `findings`.
    pub(crate) fn read<'a>(
        line: u64,
        get: impl Fn(&str) -> &'a str,
        findings: &mut Vec<Finding>,
    ) -> Self {
        let mut field = Field { line, findings };
        Self {
            service: field.name(get("service")),
            weight: field.number("weight", get("weight"), 1.0, 10_000.0) as u32,
            concurrency: field.number("concurrency", get("concurrency"), 1.0, 100_000.0) as u32,
            queue: field.number("queue", get("queue"), 0.0, 100_000.0) as u32,
            deadline_ms: field.number("deadline_ms", get("deadline_ms"), 1.0, 600_000.0) as u32,
            least_coverage_pct: field.number(
                "least_coverage_pct",
                get("least_coverage_pct"),
                0.0,
                100.0,
            ),
            hedge_pct: field.number("hedge_pct", get("hedge_pct"), 0.0, 50.0),
            retry_pct: field.number("retry_pct", get("retry_pct"), 0.0, 50.0),
            attempts: field.number("attempts", get("attempts"), 1.0, 10.0) as u8,
            snapshot: field.choice(get("snapshot")),
            orders: field.flag("orders", get("orders")),
            changed: 0,
        }
    }
}

/// Reads the fields of one line and collects what is wrong with them.
struct Field<'a> {
    line: u64,
    findings: &'a mut Vec<Finding>,
}

impl Field<'_> {
    fn find(&mut self, column: &str, kind: Kind) {
        self.findings.push(Finding { row: self.line, column: column.into(), kind });
    }

    fn name(&mut self, text: &str) -> String {
        let valid = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if text.is_empty() || text.len() > 64 || !text.chars().all(valid) {
            self.find("service", Kind::Name(text.into()));
        }
        text.into()
    }

    fn number(&mut self, column: &str, text: &str, low: f64, high: f64) -> f64 {
        match text.trim().parse::<f64>() {
            Ok(found) if (low..=high).contains(&found) => found,
            Ok(found) => {
                self.find(column, Kind::Range { found, low, high });
                low
            }
            Err(_) => {
                let kind = Kind::Malformed { found: text.into(), expected: "a number" };
                self.find(column, kind);
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
                self.find("snapshot", Kind::Malformed { found: text.into(), expected });
                Choice::Covered
            }
        }
    }

    fn flag(&mut self, column: &str, text: &str) -> bool {
        if !matches!(text.trim(), "yes" | "no") {
            self.find(column, Kind::Malformed { found: text.into(), expected: "yes or no" });
        }
        text.trim() == "yes"
    }
}
