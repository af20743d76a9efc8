//! One edition of the table and its CSV form.

use crate::{Finding, Row, finding::Kind, row::COLUMNS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The platform holds values up to a megabyte; some of it is left for the envelope.
pub const LIMIT_BYTES: usize = 1_000_000;

/// The number of an accepted edition; each accepted edit is one more than the last.
pub type Edit = u64;

/// One edition of the table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The edition.
    pub edit: Edit,
    /// Rows by service name.
    pub rows: BTreeMap<String, Row>,
    /// Services whose row was taken out, and in which edition.
    #[serde(default)]
    pub removed: BTreeMap<String, Edit>,
}

/// What brings an older edition up to a newer one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The edition that it applies to, or any later one below `edit`.
    pub since: Edit,
    /// The edition that results.
    pub edit: Edit,
    /// Rows that changed.
    pub rows: Vec<Row>,
    /// Rows that were taken out.
    pub removed: BTreeMap<String, Edit>,
}

impl Document {
    /// Reads CSV text with a header. Errors: every finding of the whole text.
    pub fn from_csv(text: &str) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        let mut reader =
            csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
        let header = reader.headers().cloned().unwrap_or_default();
        check_header(&header, &mut findings);
        if !findings.is_empty() {
            return Err(findings);
        }
        let mut rows = BTreeMap::new();
        for record in reader.records() {
            match record {
                Ok(record) => read_line(&header, &record, &mut rows, &mut findings),
                Err(e) => findings.push(unreadable(&e)),
            }
        }
        let document = Self { edit: 0, rows, removed: BTreeMap::new() };
        let bytes = serde_json::to_vec(&document).map_or(usize::MAX, |v| v.len());
        if bytes > LIMIT_BYTES {
            let kind = Kind::Size { bytes, limit: LIMIT_BYTES };
            findings.push(Finding { row: 0, column: String::new(), kind });
        }
        if findings.is_empty() { Ok(document) } else { Err(findings) }
    }

    /// The CSV text that operators edit.
    pub fn to_csv(&self) -> String {
        let mut out = COLUMNS.join(",") + "\n";
        for row in self.rows.values() {
            out += &row.fields().join(",");
            out.push('\n');
        }
        out
    }

    /// The edition that follows this one when operators ask for `wanted`.
    pub fn next(&self, wanted: &Self) -> Self {
        let edit = self.edit + 1;
        let mut rows = wanted.rows.clone();
        for row in rows.values_mut() {
            let old = self.rows.get(&row.service);
            row.changed = old.filter(|o| o.same(row)).map_or(edit, |o| o.changed);
        }
        let mut removed = self.removed.clone();
        removed.retain(|service, _| !rows.contains_key(service));
        for service in self.rows.keys().filter(|s| !rows.contains_key(*s)) {
            removed.insert(service.clone(), edit);
        }
        Self { edit, rows, removed }
    }

    /// What a VM with edition `since` lacks.
    pub fn delta(&self, since: Edit) -> Delta {
        let rows = self.rows.values().filter(|r| r.changed > since).cloned().collect();
        let removed = self
            .removed
            .iter()
            .filter(|(_, e)| **e > since)
            .map(|(s, e)| (s.clone(), *e))
            .collect();
        Delta { since, edit: self.edit, rows, removed }
    }

    /// Applies a delta; `None` if it starts above this edition or ends at or below it.
    pub fn apply(&self, delta: &Delta) -> Option<Self> {
        if delta.since > self.edit || delta.edit <= self.edit {
            return None;
        }
        let mut next = self.clone();
        next.edit = delta.edit;
        for (service, edit) in &delta.removed {
            next.rows.remove(service);
            next.removed.insert(service.clone(), *edit);
        }
        for row in &delta.rows {
            next.removed.remove(&row.service);
            next.rows.insert(row.service.clone(), row.clone());
        }
        Some(next)
    }
}

fn unreadable(error: &csv::Error) -> Finding {
    let row = error.position().map_or(0, csv::Position::line);
    Finding { row, column: String::new(), kind: Kind::Csv(error.to_string()) }
}

fn check_header(header: &csv::StringRecord, findings: &mut Vec<Finding>) {
    let mut find =
        |column: &str, kind| findings.push(Finding { row: 1, column: column.into(), kind });
    for column in COLUMNS.iter().filter(|c| !header.iter().any(|h| h == **c)) {
        find(column, Kind::Missing);
    }
    for column in header.iter().filter(|h| !COLUMNS.contains(h)) {
        find(column, Kind::Unknown);
    }
}

fn read_line(
    header: &csv::StringRecord,
    record: &csv::StringRecord,
    rows: &mut BTreeMap<String, Row>,
    findings: &mut Vec<Finding>,
) {
    let line = record.position().map_or(0, csv::Position::line);
    let get = |column: &str| {
        header.iter().position(|h| h == column).and_then(|i| record.get(i)).unwrap_or_default()
    };
    let row = Row::read(line, get, findings);
    if rows.contains_key(&row.service) {
        let kind = Kind::Twice(row.service.clone());
        findings.push(Finding { row: line, column: "service".into(), kind });
        return;
    }
    rows.insert(row.service.clone(), row);
}
