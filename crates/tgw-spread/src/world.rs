use crate::{
    Evacuations, Ledger, Upstreams,
    message::{ConfigNews, Versions},
};
use std::{collections::BTreeMap, rc::Rc};
use tgw_clock::Millis;
use tgw_route::{Config, Limits, Route, Service};

/// The configuration and the list of upstreams as this VM has them.
#[derive(Debug, Default)]
pub struct World {
    config: u64,
    routes: Ledger<Route>,
    services: Ledger<Service>,
    limits: Limits,
    /// The list of upstreams.
    pub upstreams: Upstreams,
    /// The evacuated failure domains.
    pub evacuations: Evacuations,
}

impl World {
    /// Nothing is known yet; upstreams write their entries each `heartbeat`, if that is known.
    pub fn new(heartbeat: Option<Millis>) -> Self {
        Self { upstreams: Upstreams::new(heartbeat), ..Self::default() }
    }

    /// How far this VM is.
    pub fn versions(&self) -> Versions {
        Versions {
            config: self.config,
            upstreams: self.upstreams.version(),
            evacuations: self.evacuations.version(),
        }
    }

    /// The version of the configuration; zero before the first.
    pub fn config(&self) -> u64 {
        self.config
    }

    /// Takes over a configuration that the store told; false if it is not newer.
    pub fn configure(&mut self, config: &Config) -> bool {
        // A list read before a watch's event may be older than what is in force; going back would
        // serve routes that the operators have dropped.
        if config.version <= self.config {
            return false;
        }
        let version = config.version;
        let routes: Vec<_> =
            config.routes.iter().map(|r| (r.name.clone(), (**r).clone())).collect();
        rewrite(&mut self.routes, self.config, version, &routes);
        let services: Vec<_> =
            config.services.iter().map(|(n, s)| (n.clone(), s.clone())).collect();
        rewrite(&mut self.services, self.config, version, &services);
        self.limits = config.limits;
        self.config = version;
        true
    }

    /// What of the configuration a VM at this version lacks.
    pub fn since(&self, config: u64) -> Option<ConfigNews> {
        let behind = config < self.config;
        behind.then(|| ConfigNews {
            routes: at(self.routes.since(config), self.config),
            services: at(self.services.since(config), self.config),
            limits: self.limits,
        })
    }

    /// Takes over what another VM tells of the configuration; the configuration as it is then, if that is news.
    pub fn apply(&mut self, news: ConfigNews) -> Option<Config> {
        if news.routes.to <= self.config {
            return None;
        }
        self.config = news.routes.to;
        self.routes.apply(news.routes);
        self.services.apply(news.services);
        self.limits = news.limits;
        Some(self.current())
    }

    fn current(&self) -> Config {
        Config {
            version: self.config,
            routes: self.routes.values().map(|(_, route)| Rc::new(route.clone())).collect(),
            services: self.services.values().map(|(n, s)| (n.clone(), s.clone())).collect(),
            limits: self.limits,
        }
    }
}

/// Both parts of a configuration lead to its version, also where one did not change.
fn at<T>(delta: crate::Delta<T>, version: u64) -> crate::Delta<T> {
    crate::Delta { to: version, ..delta }
}

/// Takes over a whole document, the first after version `before`: only values that differ get its
/// version.
fn rewrite<T: Clone + PartialEq>(
    ledger: &mut Ledger<T>,
    before: u64,
    version: u64,
    values: &[(Rc<str>, T)],
) {
    let known: BTreeMap<Rc<str>, T> =
        ledger.values().map(|(name, value)| (name.clone(), value.clone())).collect();
    let first = known.is_empty();
    let changed = values.iter().filter(|(name, value)| known.get(name) != Some(value));
    let changed: Vec<_> = changed.cloned().collect();
    for name in known.keys().filter(|name| !values.iter().any(|(n, _)| n == *name)) {
        ledger.remove(version, name);
    }
    for (name, value) in changed {
        ledger.put(version, name, value);
    }
    if first {
        ledger.begin(version);
    } else {
        ledger.skip(before, version);
    }
}
