//! Failure domains whose upstreams are to get nothing more.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, rc::Rc};

/// The evacuated failure domains as this VM knows them, from the store and from other VMs.
///
/// The list is short and always told whole: what is told at a version is the list as of that version of the store.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    version: u64,
    domains: BTreeSet<Rc<str>>,
}

/// What another VM tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The version of the store as of which it holds.
    pub version: u64,
    /// The evacuated failure domains; some may be known to nobody.
    pub domains: BTreeSet<Rc<str>>,
}

impl Evacuations {
    /// The version of the list; zero before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The evacuated failure domains.
    pub fn domains(&self) -> &BTreeSet<Rc<str>> {
        &self.domains
    }

    /// The store was read as of `version`; whether that changed anything.
    pub fn listed(&mut self, version: u64, domains: BTreeSet<Rc<str>>) -> bool {
        // A peer may have told what happened after this list was made; the watch that follows tells it again.
        let news = version >= self.version && (self.version == 0 || domains != self.domains);
        if news {
            (self.version, self.domains) = (version, domains);
        } else {
            // What a peer says of the time before would bring back what has been taken back since.
            self.version = self.version.max(version);
        }
        news
    }

    /// The store tells that a failure domain is evacuated, or not any more, as of `version`; whether that is news.
    ///
    /// Several such words may hold as of one version, each later than the one before.
    pub fn changed(&mut self, version: u64, domain: &Rc<str>, evacuated: bool) -> bool {
        if version < self.version {
            return false;
        }
        self.version = version;
        if evacuated { self.domains.insert(domain.clone()) } else { self.domains.remove(domain) }
    }

    /// A copy of the store was read, which may be out of date: nothing is claimed of it.
    pub fn copied(&mut self, domains: BTreeSet<Rc<str>>) {
        if self.version == 0 {
            self.domains = domains;
        }
    }

    /// The list, if it is newer than `version`.
    pub fn since(&self, version: u64) -> Option<News> {
        let Self { domains, .. } = self;
        (self.version > version).then(|| News { version: self.version, domains: domains.clone() })
    }

    /// Another VM tells its list; whether it is newer.
    pub fn told(&mut self, news: News) -> bool {
        let newer = news.version > self.version;
        if newer {
            (self.version, self.domains) = (news.version, news.domains);
        }
        newer
    }
}
