//! Edits of the table.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::time::{SystemTime, UNIX_EPOCH};
use tgw_platform::{Error as StoreError, Expect, Store, Version};
use tgw_table::{
    Document, Edit, Finding,
    diff::{self, Change},
};

const KIND: &str = "table";
const NAME: &str = "main";
/// Accepted edits that the object remembers.
const HISTORY: usize = 50;
/// Times that a write whose reply was lost is resolved by reading back.
const TRIES: u32 = 5;
/// The line before the header that says which edition the text was made from.
const EDITION: &str = "# edition ";

/// One accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// The edition that it made.
    pub edit: Edit,
    /// When, in Unix seconds.
    pub at_s: u64,
    /// What changed.
    pub changes: Vec<String>,
}

/// The table's object: the document that VMs read, and the history that operators read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Stored {
    #[serde(flatten)]
    document: Document,
    #[serde(default)]
    history: Vec<Past>,
}

/// Why an edit was not accepted.
#[derive(Debug, Display, Error)]
pub enum Refusal {
    /// The text has mistakes.
    #[display("the table has {} mistake(s)", _0.len())]
    Findings(#[error(not(source))] Vec<Finding>),
    /// Others have edited the table since the edition that the text was made from.
    #[display("conflict: the table is at edition {current}, the file was made from {base}")]
    Conflict {
        /// The edition that the text was made from.
        base: Edit,
        /// The edition that stands.
        current: Edit,
        /// Rows that others changed since, and what the text would have changed.
        rows: Vec<String>,
    },
    /// The platform did not answer; nothing was written.
    #[display("the platform is unavailable: {reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// Whether the edit was accepted could not be found out.
    #[display("unknown whether the edit was accepted: {reason}")]
    Unknown {
        /// What was seen.
        reason: String,
    },
}

/// The edition that a text was made from, and the text without that line.
pub fn edition(text: &str) -> (Option<Edit>, &str) {
    let Some(rest) = text.strip_prefix(EDITION) else { return (None, text) };
    let (number, rest) = rest.split_once('\n').unwrap_or((rest, ""));
    (number.trim().parse().ok(), rest)
}

/// The CSV of the table in the platform, its first line naming the edition.
pub async fn show(store: &dyn Store) -> Result<String, Refusal> {
    let (_, stored) = read(store).await?;
    Ok(format!("{EDITION}{}\n{}", stored.document.edit, stored.document.to_csv()))
}

/// Checks a text; its document if it has no mistakes.
pub fn check(text: &str) -> Result<Document, Refusal> {
    Document::from_csv(edition(text).1).map_err(Refusal::Findings)
}

/// What a text would change in the table.
pub async fn difference(store: &dyn Store, text: &str) -> Result<Vec<Change>, Refusal> {
    let wanted = check(text)?;
    let (_, stored) = read(store).await?;
    Ok(diff::between(&stored.document, &wanted))
}

/// The accepted edits, oldest first.
pub async fn history(store: &dyn Store) -> Result<Vec<Past>, Refusal> {
    Ok(read(store).await?.1.history)
}

/// Makes a text the next edition; its number, or the current one if nothing changes.
pub async fn apply(store: &dyn Store, text: &str) -> Result<Edit, Refusal> {
    let wanted = check(text)?;
    let (version, stored) = read(store).await?;
    let base = edition(text).0.unwrap_or(stored.document.edit);
    if base != stored.document.edit {
        return Err(conflict(base, &stored.document, &wanted));
    }
    let changes = diff::between(&stored.document, &wanted);
    if changes.is_empty() {
        return Ok(base);
    }
    let next = next(stored, &wanted, &changes);
    write(store, version, base, &next, &wanted).await
}

fn next(mut stored: Stored, wanted: &Document, changes: &[Change]) -> Stored {
    let document = stored.document.next(wanted);
    let at_s = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let changes = changes.iter().map(ToString::to_string).collect();
    stored.history.push(Past { edit: document.edit, at_s, changes });
    let old = stored.history.len().saturating_sub(HISTORY);
    stored.history.drain(..old);
    stored.document = document;
    stored
}

/// Writes an edition, and finds out by reading back what became of a write whose reply was lost.
async fn write(
    store: &dyn Store,
    version: Version,
    base: Edit,
    next: &Stored,
    wanted: &Document,
) -> Result<Edit, Refusal> {
    let unreadable = |e: serde_json::Error| Refusal::Unknown { reason: e.to_string() };
    let value: Value = serde_json::to_value(next).map_err(unreadable)?;
    let expect = if version == 0 { Expect::Absent } else { Expect::At(version) };
    let mut reason = String::new();
    for attempt in 0..TRIES {
        // Once a reply was lost, "unavailable" no longer says that nothing was written.
        let first = attempt == 0;
        match store.put(KIND, NAME, expect, &value).await {
            Ok(_) => return Ok(next.document.edit),
            Err(StoreError::Unavailable { reason }) if first => {
                return Err(Refusal::Unavailable { reason });
            }
            Err(error) => reason = error.to_string(),
        }
        // A conflict may be with our own write of which the reply was lost; another edition of the
        // same number and content is that write, as editions are numbered by conditional updates.
        match read(store).await {
            Ok((_, found)) if found.document == next.document => return Ok(found.document.edit),
            Ok((_, found)) if found.document.edit != base => {
                return Err(conflict(base, &found.document, wanted));
            }
            // Still the edition that was written from: the write may yet take effect, or was lost.
            // Written again from the same version, it can take effect only once.
            Ok(_) => {}
            Err(error) => reason = error.to_string(),
        }
    }
    Err(Refusal::Unknown { reason })
}

fn conflict(base: Edit, current: &Document, wanted: &Document) -> Refusal {
    let changed = current.rows.values().filter(|r| r.changed > base);
    let mut rows: Vec<String> =
        changed.map(|r| format!("{} changed in edition {}", r.service, r.changed)).collect();
    let removed = current.removed.iter().filter(|(_, edit)| **edit > base);
    rows.extend(removed.map(|(service, edit)| format!("{service} removed in edition {edit}")));
    rows.extend(diff::between(current, wanted).iter().map(ToString::to_string));
    Refusal::Conflict { base, current: current.edit, rows }
}

async fn read(store: &dyn Store) -> Result<(Version, Stored), Refusal> {
    let object =
        store.get(KIND, NAME).await.map_err(|e| Refusal::Unavailable { reason: e.to_string() })?;
    let Some(object) = object else { return Ok((0, Stored::default())) };
    let unreadable = |e: serde_json::Error| Refusal::Unknown { reason: e.to_string() };
    Ok((object.version, serde_json::from_value(object.value).map_err(unreadable)?))
}
