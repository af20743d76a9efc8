//! Evacuated failure domains, whose upstreams receive no further requests.

use crate::agreement::Digest;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, rc::Rc};
use xxhash_rust::xxh3::xxh3_64;

/// The evacuated failure domains as this VM knows them, from the store and from other VMs.
///
/// The list is short and always sent whole: an update with a version holds the list as of that version of the store.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    version: u64,
    domains: BTreeSet<Rc<str>>,
}

/// An update from another VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The version of the store that the list is as of.
    pub version: u64,
    /// The evacuated failure domains; some may be unknown to all VMs.
    pub domains: BTreeSet<Rc<str>>,
}

impl Evacuations {
    /// The version of the list; zero before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The digest of the list.
    pub fn digest(&self) -> Digest {
        let hash = self.domains.iter().fold(0, |hash, domain| hash ^ xxh3_64(domain.as_bytes()));
        Digest { version: self.version, hash }
    }

    /// The evacuated failure domains.
    pub fn domains(&self) -> &BTreeSet<Rc<str>> {
        &self.domains
    }

    /// Applies a list read from the store as of `version`; returns whether anything changed.
    pub fn apply_list(&mut self, version: u64, domains: BTreeSet<Rc<str>>) -> bool {
        // A peer may have reported later changes than this list has; the watch that follows brings them again.
        let changed = version >= self.version && (self.version == 0 || domains != self.domains);
        if changed {
            (self.version, self.domains) = (version, domains);
        } else {
            // Otherwise an older update of a peer could bring back an evacuation that has ended since.
            self.version = self.version.max(version);
        }
        changed
    }

    /// Applies a change from the store as of `version`: a domain is evacuated, or not any more. Returns whether
    /// anything changed.
    ///
    /// Several changes may carry one version; each is later than the one before.
    pub fn apply_change(&mut self, version: u64, domain: &Rc<str>, evacuated: bool) -> bool {
        if version < self.version {
            return false;
        }
        self.version = version;
        if evacuated { self.domains.insert(domain.clone()) } else { self.domains.remove(domain) }
    }

    /// Uses the list of a copy of the store, without a version, as the copy may be out of date.
    pub fn apply_copy(&mut self, domains: BTreeSet<Rc<str>>) {
        if self.version == 0 {
            self.domains = domains;
        }
    }

    /// The list, if it is newer than `version`.
    pub fn update_since(&self, version: u64) -> Option<Update> {
        let Self { domains, .. } = self;
        (self.version > version).then(|| Update { version: self.version, domains: domains.clone() })
    }

    /// Applies another VM's update if it is newer, and returns whether it was.
    pub fn apply_update(&mut self, update: Update) -> bool {
        let newer = update.version > self.version;
        if newer {
            (self.version, self.domains) = (update.version, update.domains);
        }
        newer
    }
}
