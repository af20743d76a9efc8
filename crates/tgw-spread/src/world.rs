use crate::{
    Ledger,
    ledger::Applied,
    message::{ConfigNews, News},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};
use tgw_forward::upstream::Entry;
use tgw_route::{Config, Limits, Route, Service};

/// The configuration and the list of upstreams as this VM has them.
#[derive(Clone, Debug, Default)]
pub struct World {
    config: u64,
    routes: Ledger<Route>,
    services: Ledger<Service>,
    limits: Limits,
    upstreams: Ledger<Entry>,
}

/// What a message of a peer changed.
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// The configuration as it is now, if it changed.
    pub config: Option<Config>,
    /// Upstreams that changed or were removed.
    pub upstreams: Applied<Entry>,
}

impl World {
    /// The version of the configuration; zero before the first.
    pub fn config(&self) -> u64 {
        self.config
    }

    /// The list of upstreams.
    pub fn upstreams(&mut self) -> &mut Ledger<Entry> {
        &mut self.upstreams
    }

    /// Takes over an entry that the store tells, written at `version`.
    pub fn put_upstream(&mut self, version: u64, entry: Entry) -> bool {
        let entry = self.latest(entry);
        self.upstreams.put(version, entry.id.clone(), entry)
    }

    /// Takes over all entries that the store holds as of `complete`, each with its version. Those in `kept`
    /// are not removed though they are missing.
    pub fn list_upstreams(
        &mut self,
        complete: u64,
        entries: Vec<(u64, Entry)>,
        kept: &BTreeSet<Rc<str>>,
    ) {
        let latest =
            |(version, entry): (u64, Entry)| (entry.id.clone(), version, self.latest(entry));
        let values = entries.into_iter().map(latest).collect();
        self.upstreams.replace(complete, values, kept);
    }

    /// The entry, or the one that is known of a later process with its identity. What an earlier process
    /// wrote can reach the store, or this VM through a peer, after the first word of the later one.
    fn latest(&self, entry: Entry) -> Entry {
        let known = self.upstreams.get(&entry.id);
        known.filter(|known| entry.precedes(known)).cloned().unwrap_or(entry)
    }

    /// The version of the list of upstreams.
    pub fn upstreams_version(&self) -> u64 {
        self.upstreams.version()
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

    /// What a VM at these versions lacks.
    pub fn news(&self, config: u64, upstreams: u64) -> News {
        let behind = config < self.config;
        let news = || ConfigNews {
            routes: at(self.routes.since(config), self.config),
            services: at(self.services.since(config), self.config),
            limits: self.limits,
        };
        let further = upstreams < self.upstreams.version();
        News {
            config: behind.then(news),
            upstreams: further.then(|| self.upstreams.since(upstreams)),
        }
    }

    /// Takes over what another VM tells.
    pub fn apply(&mut self, news: News) -> Update {
        let mut update = Update::default();
        if let Some(news) = news.config.filter(|n| n.routes.to > self.config) {
            self.config = news.routes.to;
            self.routes.apply(news.routes);
            self.services.apply(news.services);
            self.limits = news.limits;
            update.config = Some(self.current());
        }
        if let Some(mut delta) = news.upstreams {
            for (_, _, entry) in &mut delta.changed {
                *entry = self.latest(entry.clone());
            }
            update.upstreams = self.upstreams.apply(delta);
        }
        update
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
