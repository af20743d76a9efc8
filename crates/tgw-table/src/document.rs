//! One edition of the table and its CSV form.

use crate::{Finding, Row, finding::Kind, row::COLUMNS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The platform's limit for a value is one megabyte; the rest is reserved for the envelope.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// The number of an accepted edition; each accepted edit raises it by one.
pub type Edition = u64;

/// One edition of the table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The number of the edition.
    #[serde(rename = "edit")]
    pub edition: Edition,
    /// Rows by service name.
    pub rows: BTreeMap<String, Row>,
    /// Services whose rows were removed, with the edition that removed them.
    #[serde(default)]
    pub removed: BTreeMap<String, Edition>,
}

/// The difference that updates an older edition to a newer one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The lowest edition that it applies to; it also applies to later ones below `edition`.
    pub since: Edition,
    /// The resulting edition.
    #[serde(rename = "edit")]
    pub edition: Edition,
    /// Rows that were added or changed.
    pub rows: Vec<Row>,
    /// Services whose rows were removed, with the edition that removed them.
    pub removed: BTreeMap<String, Edition>,
}

impl Document {
    /// Parses CSV text with a header; on failure, returns every validation error of the text.
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
                Ok(record) => parse_line(&header, &record, &mut rows, &mut findings),
                Err(e) => findings.push(csv_error(&e)),
            }
        }
        let document = Self { edition: 0, rows, removed: BTreeMap::new() };
        let bytes = serde_json::to_vec(&document).map_or(usize::MAX, |v| v.len());
        if bytes > MAX_DOCUMENT_BYTES {
            let kind = Kind::Size { bytes, limit: MAX_DOCUMENT_BYTES };
            findings.push(Finding { row: 0, column: String::new(), kind });
        }
        if findings.is_empty() { Ok(document) } else { Err(findings) }
    }

    /// Writes the CSV text that operators edit.
    pub fn to_csv(&self) -> String {
        let mut out = COLUMNS.join(",") + "\n";
        for row in self.rows.values() {
            out += &row.fields().join(",");
            out.push('\n');
        }
        out
    }

    /// The edition that follows this one when operators apply `wanted`.
    pub fn next_edition(&self, wanted: &Self) -> Self {
        let edition = self.edition + 1;
        let mut rows = wanted.rows.clone();
        for row in rows.values_mut() {
            let old = self.rows.get(&row.service);
            row.changed_edition =
                old.filter(|o| o.has_same_fields(row)).map_or(edition, |o| o.changed_edition);
        }
        let mut removed = self.removed.clone();
        removed.retain(|service, _| !rows.contains_key(service));
        for service in self.rows.keys().filter(|s| !rows.contains_key(*s)) {
            removed.insert(service.clone(), edition);
        }
        Self { edition, rows, removed }
    }

    /// The delta that updates a VM from edition `since` to this edition.
    pub fn delta(&self, since: Edition) -> Delta {
        let rows = self.rows.values().filter(|r| r.changed_edition > since).cloned().collect();
        let removed = self
            .removed
            .iter()
            .filter(|(_, e)| **e > since)
            .map(|(s, e)| (s.clone(), *e))
            .collect();
        Delta { since, edition: self.edition, rows, removed }
    }

    /// Applies a delta; `None` if it starts above this edition or does not end above it.
    pub fn apply(&self, delta: &Delta) -> Option<Self> {
        if delta.since > self.edition || delta.edition <= self.edition {
            return None;
        }
        let mut next = self.clone();
        next.edition = delta.edition;
        for (service, edition) in &delta.removed {
            next.rows.remove(service);
            next.removed.insert(service.clone(), *edition);
        }
        for row in &delta.rows {
            next.removed.remove(&row.service);
            next.rows.insert(row.service.clone(), row.clone());
        }
        Some(next)
    }
}

fn csv_error(error: &csv::Error) -> Finding {
    let row = error.position().map_or(0, csv::Position::line);
    Finding { row, column: String::new(), kind: Kind::Csv(error.to_string()) }
}

fn check_header(header: &csv::StringRecord, findings: &mut Vec<Finding>) {
    let mut report =
        |column: &str, kind| findings.push(Finding { row: 1, column: column.into(), kind });
    for column in COLUMNS.iter().filter(|c| !header.iter().any(|h| h == **c)) {
        report(column, Kind::Missing);
    }
    for column in header.iter().filter(|h| !COLUMNS.contains(h)) {
        report(column, Kind::Unknown);
    }
}

fn parse_line(
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
