//! The operators' configuration as a VM has it.
//!
//! The configuration is one document with one version. A VM reads versions of it from the store, is told of changes
//! by other VMs, and misses some versions. The rule: **a VM that names a version holds that document, whole and
//! nothing else.** So it takes over
//!
//! - a document as it is, be it read from the store or told whole by a peer, whatever it knew of its parts;
//! - a peer's changes only if they start from the version that it holds itself;
//!
//! and it tells changes only since versions in its history. Versions of parts order changes of the document that one VM
//! has seen; another VM may have missed a change and its rollback, and still have an older version for the same value.

use crate::{
    Delta,
    agreement::Digest,
    entries::{Changes, Entries},
    history::History,
    message::ConfigUpdate,
};
use serde::Serialize;
use std::{collections::BTreeMap, rc::Rc};
use tgw_route::{Config, Limits, Route, Service};
use tgw_tenant::Tenant;
use xxhash_rust::xxh3::xxh3_64;

/// Most removals of one kind that are remembered; a VM that would need more receives the whole document.
const MAX_REMOVALS: usize = 4_096;

/// The operators' configuration as this VM has it.
#[derive(Debug, Default)]
pub struct Configuration {
    version: u64,
    history: History,
    routes: Entries<Route>,
    services: Entries<Service>,
    limits: Limits,
    tenants: Entries<Tenant>,
    /// Requests need an API key.
    has_tenants: bool,
    /// Hash of the contents.
    hash: u64,
    /// Another VM held a different document of the same version.
    disputed: bool,
}

impl Configuration {
    /// The version; zero before the first document.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The digest of the document. It depends on the contents alone, so VMs that came by them in different ways agree.
    pub fn digest(&self) -> Digest {
        Digest { version: self.version, hash: self.hash }
    }

    /// The document.
    pub fn document(&self) -> Config {
        let tenants = || self.tenants.values().map(|(_, tenant)| Rc::new(tenant.clone())).collect();
        Config {
            version: self.version,
            routes: self.routes.values().map(|(_, route)| Rc::new(route.clone())).collect(),
            services: self.services.values().map(|(n, s)| (n.clone(), s.clone())).collect(),
            limits: self.limits,
            tenants: self.has_tenants.then(tenants),
        }
    }

    /// Records that another VM holds a different document of the same version. The next one that is read from the store
    /// is told whole to all VMs that ask, also to those that name its version later on: they may have been told what was
    /// wrong here.
    pub fn mark_disputed(&mut self) {
        self.disputed = true;
    }

    /// Applies a document from the store; returns whether it differs from what this VM held. One of the same version
    /// replaces other contents, as the store takes precedence over any peer.
    pub fn apply_document(&mut self, document: &Config) -> bool {
        // A list read before a watch's event may be older than the configuration in force; going back would serve
        // routes that the operators have removed.
        if document.version < self.version.max(1) {
            return false;
        }
        let version = document.version;
        let is_newer = version > self.version;
        let changed = self.replace(document);
        if std::mem::take(&mut self.disputed) || (changed && !is_newer) {
            self.history.clear();
        } else {
            self.history.record(version);
        }
        self.refresh();
        is_newer || changed
    }

    /// The changes that a VM at `version` lacks; `None` if this VM has nothing newer.
    pub fn update_since(&self, version: u64) -> Option<ConfigUpdate> {
        if version >= self.version {
            return None;
        }
        let from = self.history.contains(version).then_some(version);
        Some(ConfigUpdate {
            routes: self.delta(from, self.routes.changes_since(from)),
            services: self.delta(from, self.services.changes_since(from)),
            limits: self.limits,
            tenants: self.has_tenants.then(|| self.delta(from, self.tenants.changes_since(from))),
        })
    }

    fn delta<T>(&self, from: Option<u64>, changes: Changes<T>) -> Delta<T> {
        let Changes { changed, removed } = changes;
        let gaps = from.map(|from| self.history.steps_since(from)).unwrap_or_default();
        Delta { from, to: self.version, changed, removed, gaps }
    }

    /// Applies another VM's update; returns whether it took effect. One that is not newer, or that was made for another
    /// version than this VM holds, does not: the VM asks again.
    pub fn apply_update(&mut self, update: ConfigUpdate) -> bool {
        let ConfigUpdate { routes, services, limits, tenants } = update;
        let (to, held) = (routes.to, self.version);
        // Where there are no tenants, none changed either.
        let tenants_from = tenants.as_ref().map_or(Some(held), |tenants| tenants.from);
        let starts = [routes.from, services.from, tenants_from];
        // The answer may arrive after this VM has read another version. What changed in between is not in it, nor is
        // what took that change back.
        if to <= held || starts.into_iter().flatten().any(|from| from != held) {
            return false;
        }
        // A part that is told whole lacks what was removed at the versions between.
        let has_steps = starts.iter().all(Option::is_some);
        let versions: Vec<u64> = routes.gaps.iter().map(|(_, version)| *version).collect();
        self.version = to;
        self.routes.apply(routes);
        self.services.apply(services);
        self.limits = limits;
        self.set_has_tenants(tenants.is_some());
        if let Some(tenants) = tenants {
            self.tenants.apply(tenants);
        }
        if has_steps {
            versions.into_iter().for_each(|version| self.history.record(version));
        }
        self.history.record(to);
        self.refresh();
        true
    }

    /// Takes over the contents of a document and its version; returns whether the contents differ.
    fn replace(&mut self, document: &Config) -> bool {
        let version = document.version;
        let routes = document.routes.iter().map(|r| (r.name.clone(), (**r).clone())).collect();
        let tenants = document.tenants.iter().flatten();
        let tenants: BTreeMap<_, _> = tenants.map(|t| (t.name.clone(), (**t).clone())).collect();
        let changed = [
            self.routes.replace(version, routes),
            self.services.replace(version, document.services.clone()),
            std::mem::replace(&mut self.limits, document.limits) != document.limits,
            self.set_has_tenants(document.tenants.is_some()),
            self.tenants.replace(version, tenants),
        ];
        self.version = version;
        changed.contains(&true)
    }

    /// Sets whether requests need an API key; returns whether that is new.
    fn set_has_tenants(&mut self, has_tenants: bool) -> bool {
        let changed = std::mem::replace(&mut self.has_tenants, has_tenants) != has_tenants;
        if changed {
            // An update tells no removals of tenants where there are none, so no history reaches across this.
            self.tenants = Entries::default();
            self.history.clear();
        }
        changed
    }

    /// Brings what follows from the contents and the history up to date.
    fn refresh(&mut self) {
        while self.removals() > MAX_REMOVALS {
            self.history.forget_oldest();
            self.forget_removals();
        }
        self.forget_removals();
        self.hash = self.contents_hash();
    }

    fn removals(&self) -> usize {
        self.routes.removals().max(self.services.removals()).max(self.tenants.removals())
    }

    /// Forgets the removals that no version of the history needs.
    fn forget_removals(&mut self) {
        let oldest = self.history.oldest().unwrap_or(self.version);
        self.routes.forget_removals(oldest);
        self.services.forget_removals(oldest);
        self.tenants.forget_removals(oldest);
    }

    fn contents_hash(&self) -> u64 {
        // Equal values of two kinds would cancel each other out if their hashes were combined by exclusive or.
        hash(&(
            self.routes.hash(),
            self.services.hash(),
            self.tenants.hash(),
            self.has_tenants,
            self.limits,
        ))
    }
}

fn hash<T: Serialize>(value: &T) -> u64 {
    // Only types without a length known in advance cannot be encoded, and no value has any.
    xxh3_64(&postcard::to_allocvec(value).unwrap_or_default())
}
