//! Edits of the table.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::time::{SystemTime, UNIX_EPOCH};
use tgw_platform::{Error as StoreError, Precondition, Store, Version};
use tgw_table::{
    Document, Edition, Finding,
    diff::{self, Change},
};

/// Kind and name of the table's object in the platform's store.
const OBJECT_KIND: &str = "table";
const OBJECT_NAME: &str = "main";
/// Most revisions that the object keeps; older ones are dropped.
const MAX_REVISIONS: usize = 50;
/// Attempts to write an edition. After each attempt with a lost reply or a conflict, the object is read back to
/// find out whether the write took effect.
const MAX_WRITE_ATTEMPTS: u32 = 5;
/// Prefix of the line before the CSV header that names the edition which the text was made from.
const EDITION_PREFIX: &str = "# edition ";

/// One accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// The edition that the edit created.
    #[serde(rename = "edit")]
    pub edition: Edition,
    /// Time of the edit in Unix seconds.
    pub at_s: u64,
    /// Descriptions of the changes.
    pub changes: Vec<String>,
}

/// The table's object in the store: the document, which VMs read, and the history, which operators read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Stored {
    #[serde(flatten)]
    document: Document,
    #[serde(default)]
    history: Vec<Revision>,
}

/// Why an edit was not accepted.
#[derive(Debug, Display, Error)]
pub enum Refusal {
    /// The text has errors.
    #[display("the table has {} mistake(s)", _0.len())]
    Findings(#[error(not(source))] Vec<Finding>),
    /// The table was edited after the edition that the text was made from.
    #[display("conflict: the table is at edition {current}, the file was made from {base}")]
    Conflict {
        /// The edition that the text was made from.
        base: Edition,
        /// The current edition.
        current: Edition,
        /// Rows changed after `base`, and the changes that the text would make to the current table.
        rows: Vec<String>,
    },
    /// The platform is unavailable; nothing was written.
    #[display("the platform is unavailable: {reason}")]
    Unavailable {
        /// The last error.
        reason: String,
    },
    /// It could not be determined whether the edit was accepted.
    #[display("unknown whether the edit was accepted: {reason}")]
    Unknown {
        /// The last error.
        reason: String,
    },
}

/// Splits a text into the edition that it was made from, if its first line names one, and the CSV.
pub fn split_edition(text: &str) -> (Option<Edition>, &str) {
    let Some(rest) = text.strip_prefix(EDITION_PREFIX) else { return (None, text) };
    let (number, rest) = rest.split_once('\n').unwrap_or((rest, ""));
    (number.trim().parse().ok(), rest)
}

/// Reads the table from the platform as CSV, after a first line that names the edition.
pub async fn show(store: &dyn Store) -> Result<String, Refusal> {
    let (_, stored) = read_stored(store).await?;
    Ok(format!("{EDITION_PREFIX}{}\n{}", stored.document.edition, stored.document.to_csv()))
}

/// Parses and validates a text. Errors: [`Refusal::Findings`].
pub fn check(text: &str) -> Result<Document, Refusal> {
    Document::from_csv(split_edition(text).1).map_err(Refusal::Findings)
}

/// The changes that a text would make to the table.
pub async fn difference(store: &dyn Store, text: &str) -> Result<Vec<Change>, Refusal> {
    let wanted = check(text)?;
    let (_, stored) = read_stored(store).await?;
    Ok(diff::between(&stored.document, &wanted))
}

/// The accepted edits, oldest first.
pub async fn history(store: &dyn Store) -> Result<Vec<Revision>, Refusal> {
    Ok(read_stored(store).await?.1.history)
}

/// Writes a text as the next edition. Returns its number, or the current number if nothing changes.
pub async fn apply(store: &dyn Store, text: &str) -> Result<Edition, Refusal> {
    let wanted = check(text)?;
    let (version, stored) = read_stored(store).await?;
    let base = split_edition(text).0.unwrap_or(stored.document.edition);
    if base != stored.document.edition {
        return Err(conflict(base, &stored.document, &wanted));
    }
    let changes = diff::between(&stored.document, &wanted);
    if changes.is_empty() {
        return Ok(base);
    }
    let next = add_revision(stored, &wanted, &changes);
    write_edition(store, version, base, &next, &wanted).await
}

fn add_revision(mut stored: Stored, wanted: &Document, changes: &[Change]) -> Stored {
    let document = stored.document.next_edition(wanted);
    let at_s = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let changes = changes.iter().map(ToString::to_string).collect();
    stored.history.push(Revision { edition: document.edition, at_s, changes });
    let excess = stored.history.len().saturating_sub(MAX_REVISIONS);
    stored.history.drain(..excess);
    stored.document = document;
    stored
}

/// Writes an edition. If the reply is lost, reads the object back to find out whether the write took effect.
async fn write_edition(
    store: &dyn Store,
    version: Version,
    base: Edition,
    next: &Stored,
    wanted: &Document,
) -> Result<Edition, Refusal> {
    let invalid_json = |e: serde_json::Error| Refusal::Unknown { reason: e.to_string() };
    let value: Value = serde_json::to_value(next).map_err(invalid_json)?;
    let precondition =
        if version == 0 { Precondition::Absent } else { Precondition::Version(version) };
    let mut reason = String::new();
    for attempt in 0..MAX_WRITE_ATTEMPTS {
        // Only on the first attempt does `Unavailable` mean that nothing was written: an earlier write whose
        // reply was lost may have taken effect.
        let first = attempt == 0;
        match store.put(OBJECT_KIND, OBJECT_NAME, precondition, &value).await {
            Ok(_) => return Ok(next.document.edition),
            Err(StoreError::Unavailable { reason }) if first => {
                return Err(Refusal::Unavailable { reason });
            }
            Err(error) => reason = error.to_string(),
        }
        // A conflict may be with our own earlier write whose reply was lost. An edition of the same number and
        // content is that write, because editions are numbered by conditional updates.
        match read_stored(store).await {
            Ok((_, found)) if found.document == next.document => return Ok(found.document.edition),
            Ok((_, found)) if found.document.edition != base => {
                return Err(conflict(base, &found.document, wanted));
            }
            // The object is still at the base edition: the write was lost, or may yet take effect. Retrying is
            // safe, as only one write that expects the same version can take effect.
            Ok(_) => {}
            Err(error) => reason = error.to_string(),
        }
    }
    Err(Refusal::Unknown { reason })
}

fn conflict(base: Edition, current: &Document, wanted: &Document) -> Refusal {
    let changed = current.rows.values().filter(|r| r.changed_edition > base);
    let mut rows: Vec<String> = changed
        .map(|r| format!("{} changed in edition {}", r.service, r.changed_edition))
        .collect();
    let removed = current.removed.iter().filter(|(_, edition)| **edition > base);
    rows.extend(
        removed.map(|(service, edition)| format!("{service} removed in edition {edition}")),
    );
    rows.extend(diff::between(current, wanted).iter().map(ToString::to_string));
    Refusal::Conflict { base, current: current.edition, rows }
}

/// Reads the table's object and its version; if there is none, the version is 0 and the object empty.
async fn read_stored(store: &dyn Store) -> Result<(Version, Stored), Refusal> {
    let object = store
        .get(OBJECT_KIND, OBJECT_NAME)
        .await
        .map_err(|e| Refusal::Unavailable { reason: e.to_string() })?;
    let Some(object) = object else { return Ok((0, Stored::default())) };
    let invalid_json = |e: serde_json::Error| Refusal::Unknown { reason: e.to_string() };
    Ok((object.version, serde_json::from_value(object.value).map_err(invalid_json)?))
}
