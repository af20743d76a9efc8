//! Differences between two editions.

use crate::{Document, row::COLUMNS};
use derive_more::Display;
use std::collections::BTreeSet;

/// One difference.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Change {
    /// The row exists only in the newer edition.
    #[display("+ {service}")]
    Added {
        /// The service.
        service: String,
    },
    /// The row exists only in the older edition.
    #[display("- {service}")]
    Removed {
        /// The service.
        service: String,
    },
    /// One field differs.
    #[display("~ {service}.{column}: {old} -> {new}")]
    Field {
        /// The service.
        service: String,
        /// The column.
        column: &'static str,
        /// The older value.
        old: String,
        /// The newer value.
        new: String,
    },
}

/// The changes from `old` to `new`, ordered by service.
pub fn between(old: &Document, new: &Document) -> Vec<Change> {
    let services: BTreeSet<&String> = old.rows.keys().chain(new.rows.keys()).collect();
    services.into_iter().flat_map(|s| service_changes(s, old, new)).collect()
}

fn service_changes(service: &str, old: &Document, new: &Document) -> Vec<Change> {
    let service = service.to_owned();
    match (old.rows.get(&service), new.rows.get(&service)) {
        (None, Some(_)) => vec![Change::Added { service }],
        (Some(_), None) => vec![Change::Removed { service }],
        (Some(old), Some(new)) => COLUMNS
            .iter()
            .zip(old.fields().into_iter().zip(new.fields()))
            .filter(|(_, (old, new))| old != new)
            .map(|(column, (old, new))| Change::Field {
                service: service.clone(),
                column,
                old,
                new,
            })
            .collect(),
        (None, None) => Vec::new(),
    }
}
