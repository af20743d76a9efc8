use crate::{
    Evacuations, Upstreams, VersionedMap,
    agreement::Digests,
    message::{ConfigUpdate, Versions},
};
use std::{collections::BTreeMap, rc::Rc};
use tgw_clock::Millis;
use tgw_route::{Config, Limits, Route, Service};
use tgw_tenant::Tenant;

/// The configuration, the list of upstreams and the evacuations as this VM has them.
#[derive(Debug, Default)]
pub struct ReplicatedState {
    config: u64,
    routes: VersionedMap<Route>,
    services: VersionedMap<Service>,
    limits: Limits,
    tenants: VersionedMap<Tenant>,
    /// Requests need an API key.
    has_tenants: bool,
    /// The list of upstreams.
    pub upstreams: Upstreams,
    /// The evacuated failure domains.
    pub evacuations: Evacuations,
}

impl ReplicatedState {
    /// Creates an empty state. Upstreams write their entries once per `heartbeat`, if that is known.
    pub fn new(heartbeat: Option<Millis>) -> Self {
        Self { upstreams: Upstreams::new(heartbeat), ..Self::default() }
    }

    /// The versions that this VM holds.
    pub fn versions(&self) -> Versions {
        Versions {
            config: self.config,
            upstreams: self.upstreams.version(),
            evacuations: self.evacuations.version(),
        }
    }

    /// The digests of the lists that this VM holds.
    pub fn digests(&self) -> Digests {
        Digests { upstreams: self.upstreams.digest(), evacuations: self.evacuations.digest() }
    }

    /// The version of the configuration; zero before the first.
    pub fn config_version(&self) -> u64 {
        self.config
    }

    /// Applies a configuration from the store; false if it is not newer.
    pub fn apply_config(&mut self, config: &Config) -> bool {
        // A list read before a watch's event may be older than the configuration in force; going back would
        // serve routes that the operators have removed.
        if config.version <= self.config {
            return false;
        }
        let version = config.version;
        let routes: Vec<_> =
            config.routes.iter().map(|r| (r.name.clone(), (**r).clone())).collect();
        apply_document(&mut self.routes, self.config, version, &routes);
        let services: Vec<_> =
            config.services.iter().map(|(n, s)| (n.clone(), s.clone())).collect();
        apply_document(&mut self.services, self.config, version, &services);
        let tenants = config.tenants.iter().flatten();
        let tenants: Vec<_> = tenants.map(|t| (t.name.clone(), (**t).clone())).collect();
        apply_document(&mut self.tenants, self.config, version, &tenants);
        self.has_tenants = config.tenants.is_some();
        self.limits = config.limits;
        self.config = version;
        true
    }

    /// The changes of the configuration that a VM at this version lacks.
    pub fn config_update_since(&self, config: u64) -> Option<ConfigUpdate> {
        let behind = config < self.config;
        behind.then(|| ConfigUpdate {
            routes: with_version(self.routes.since(config), self.config),
            services: with_version(self.services.since(config), self.config),
            limits: self.limits,
            tenants: self
                .has_tenants
                .then(|| with_version(self.tenants.since(config), self.config)),
        })
    }

    /// Applies another VM's update of the configuration; returns the resulting configuration if it is newer.
    pub fn apply_config_update(&mut self, update: ConfigUpdate) -> Option<Config> {
        if update.routes.to <= self.config {
            return None;
        }
        self.config = update.routes.to;
        self.routes.apply(update.routes);
        self.services.apply(update.services);
        self.limits = update.limits;
        self.has_tenants = update.tenants.is_some();
        match update.tenants {
            Some(tenants) => _ = self.tenants.apply(tenants),
            // Only a whole list can be applied to an empty map.
            None => self.tenants = VersionedMap::default(),
        }
        Some(self.current())
    }

    fn current(&self) -> Config {
        Config {
            version: self.config,
            routes: self.routes.values().map(|(_, route)| Rc::new(route.clone())).collect(),
            services: self.services.values().map(|(n, s)| (n.clone(), s.clone())).collect(),
            limits: self.limits,
            tenants: self
                .has_tenants
                .then(|| self.tenants.values().map(|(_, t)| Rc::new(t.clone())).collect()),
        }
    }
}

/// Sets the target version of a delta: routes and services both lead to the configuration's version, even where one of
/// them did not change.
fn with_version<T>(delta: crate::Delta<T>, version: u64) -> crate::Delta<T> {
    crate::Delta { to: version, ..delta }
}

/// Applies a whole document, the first after version `before`. Only values that differ get its
/// version.
fn apply_document<T: Clone + PartialEq>(
    map: &mut VersionedMap<T>,
    before: u64,
    version: u64,
    values: &[(Rc<str>, T)],
) {
    let known: BTreeMap<Rc<str>, T> =
        map.values().map(|(name, value)| (name.clone(), value.clone())).collect();
    let first = known.is_empty();
    let changed = values.iter().filter(|(name, value)| known.get(name) != Some(value));
    let changed: Vec<_> = changed.cloned().collect();
    for name in known.keys().filter(|name| !values.iter().any(|(n, _)| n == *name)) {
        map.remove(version, name);
    }
    for (name, value) in changed {
        map.put(version, name, value);
    }
    if first {
        map.start_history_at(version);
    } else {
        map.add_gap(before, version);
    }
}
