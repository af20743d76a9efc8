//! The versions of a document from which a VM can tell the changes.

use std::collections::VecDeque;

/// Most versions that are remembered; a VM at an older one receives the whole document.
const MAX_VERSIONS: usize = 64;

/// Versions of a document, in rising order: those that this VM held, and those between that the VMs which told it of
/// changes held. The changes since any other version are unknown here, as one of them may have been taken back before
/// this VM read the document.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    versions: VecDeque<u64>,
}

impl History {
    /// Records a version; one that is not newer than all others is ignored.
    pub(crate) fn record(&mut self, version: u64) {
        if self.versions.back().is_none_or(|newest| *newest < version) {
            self.versions.push_back(version);
        }
        if self.versions.len() > MAX_VERSIONS {
            self.forget_oldest();
        }
    }

    /// Forgets all versions.
    pub(crate) fn clear(&mut self) {
        self.versions.clear();
    }

    /// Forgets the oldest version.
    pub(crate) fn forget_oldest(&mut self) {
        self.versions.pop_front();
    }

    /// The oldest version; `None` if there is none.
    pub(crate) fn oldest(&self) -> Option<u64> {
        self.versions.front().copied()
    }

    /// Whether the changes since a version are known.
    pub(crate) fn contains(&self, version: u64) -> bool {
        self.versions.binary_search(&version).is_ok()
    }

    /// The steps from one version to the next, from `version` on.
    pub(crate) fn steps_since(&self, version: u64) -> Vec<(u64, u64)> {
        let later = self.versions.iter().copied().filter(|known| *known >= version);
        later.clone().zip(later.skip(1)).collect()
    }
}
