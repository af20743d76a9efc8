use crate::{
    dialect::Decoded,
    shared::{Configured, Shared},
};
use std::{rc::Rc, time::Duration};
use tgw_clock::Millis;
use tgw_forward::{Catalog, upstream::Entry};
use tgw_platform::{Error, Object, Store, Version, object::List};
use tgw_route::{Config, Table};
use tokio::time::sleep;

/// How long one watch waits, in ms. Each end costs a call; a connection that went silent is noticed
/// by the store's client, which probes it.
const WAIT: Millis = Millis::new(15_000);
/// Pause after news before the next watch: what changes meanwhile comes with one call, as when many
/// upstreams are replaced.
const GATHER: Duration = Duration::from_millis(250);
/// Time between looks for entries that stayed missing.
const TICK: Duration = Duration::from_millis(500);
/// First pause in ms after a failed call; doubles, and each is drawn from half to the whole of it.
const PAUSE_MS: u64 = 100;
/// Longest pause in ms.
const PAUSE_MOST_MS: u64 = 1_200;

/// What a watched kind does with its objects.
trait Topic {
    fn kind(&self) -> &str;
    /// All objects, read at once.
    fn listed(&mut self, objects: Vec<Object>);
    /// One object was written, or removed (a null value).
    fn changed(&mut self, object: Object);
    /// The store does not answer.
    fn lost(&mut self);
    /// Time has passed.
    fn tick(&mut self);
}

/// Follows the configuration for as long as the process runs.
pub(crate) async fn configuration(shared: Rc<Shared>, store: Rc<dyn Store>) {
    let kind = shared.dialect.kinds().config.clone();
    follow(&shared.clone(), &*store, &mut Configuration { shared, kind }).await;
}

/// Follows the list of upstreams for as long as the process runs.
pub(crate) async fn upstreams(shared: Rc<Shared>, store: Rc<dyn Store>) {
    let kind = shared.dialect.kinds().upstreams.clone();
    let catalog = Catalog::default();
    follow(&shared.clone(), &*store, &mut Upstreams { shared, kind, catalog }).await;
}

async fn follow(shared: &Shared, store: &dyn Store, topic: &mut dyn Topic) {
    let mut failures = 0;
    loop {
        let listed = store.list(topic.kind()).await;
        shared.meters.store("list", &listed);
        match listed {
            Ok(list) => {
                if std::mem::take(&mut failures) > 0 {
                    tracing::info!(kind = topic.kind(), version = list.version, "store regained");
                }
                topic.listed(list.objects);
                let error = events(shared, store, topic, list.version).await;
                tracing::info!(kind = topic.kind(), %error, "watch ended");
            }
            Err(error) => {
                if failures == 0 {
                    tracing::warn!(kind = topic.kind(), %error, "store lost");
                }
                topic.lost();
                sleep(pause(failures)).await;
                failures += 1;
            }
        }
    }
}

/// Watches until a call fails.
async fn events(
    shared: &Shared,
    store: &dyn Store,
    topic: &mut dyn Topic,
    mut from: Version,
) -> Error {
    let kind = topic.kind().to_owned();
    loop {
        let mut watch = store.watch(&kind, from, WAIT);
        let result = loop {
            tokio::select! {
                result = &mut watch => break result,
                () = sleep(TICK) => topic.tick(),
            }
        };
        shared.meters.store("watch", &result);
        match result {
            Ok(List { version, objects }) => {
                let news = !objects.is_empty();
                objects.into_iter().for_each(|o| topic.changed(o));
                from = version.max(from);
                if news {
                    sleep(GATHER).await;
                }
            }
            Err(error) => return error,
        }
    }
}

fn pause(failures: u32) -> Duration {
    let most = (PAUSE_MS << failures.min(6)).min(PAUSE_MOST_MS);
    Duration::from_millis(rand::random_range(most / 2..=most))
}

struct Configuration {
    shared: Rc<Shared>,
    kind: String,
}

impl Configuration {
    fn take(&self, object: &Object) {
        if object.name != self.shared.dialect.kinds().config_name || object.value.is_null() {
            return;
        }
        match self.shared.dialect.config(&object.value) {
            Ok(Decoded { value, findings }) => {
                for finding in findings {
                    tracing::warn!(%finding, revision = object.version, "configuration");
                }
                self.adopt(&value);
            }
            Err(findings) => {
                for finding in findings {
                    tracing::error!(%finding, revision = object.version, "configuration not taken");
                }
            }
        }
    }

    fn adopt(&self, config: &Config) {
        let mut configured = self.shared.config.borrow_mut();
        // A list read before a watch's event, or answered from a replica that lags, may be older
        // than what is in force; going back would serve routes that the operators have dropped.
        if configured.version.is_some_and(|known| known >= config.version) {
            return;
        }
        tracing::info!(
            config = config.version,
            before = configured.version,
            routes = config.routes.len(),
            services = config.services.len(),
            "configuration in force"
        );
        self.shared.core.borrow_mut().configure(config);
        *configured = Configured {
            version: Some(config.version),
            table: Table::new(config),
            limits: config.limits,
            since: self.shared.now(),
        };
    }
}

impl Topic for Configuration {
    fn kind(&self) -> &str {
        &self.kind
    }

    fn listed(&mut self, objects: Vec<Object>) {
        objects.iter().for_each(|o| self.take(o));
    }

    fn changed(&mut self, object: Object) {
        self.take(&object);
    }

    fn lost(&mut self) {}

    fn tick(&mut self) {}
}

struct Upstreams {
    shared: Rc<Shared>,
    kind: String,
    catalog: Catalog,
}

impl Upstreams {
    fn decode(&self, object: &Object) -> Option<Entry> {
        match self.shared.dialect.upstream(&object.name, &object.value) {
            Ok(entry) => Some(entry),
            Err(findings) => {
                for finding in findings {
                    tracing::warn!(%finding, upstream = object.name, "entry not taken");
                }
                None
            }
        }
    }
}

impl Topic for Upstreams {
    fn kind(&self) -> &str {
        &self.kind
    }

    fn listed(&mut self, objects: Vec<Object>) {
        let entries: Vec<Entry> = objects.iter().filter_map(|o| self.decode(o)).collect();
        let now = self.shared.now();
        tracing::info!(upstreams = entries.len(), "upstreams listed");
        let shared = self.shared.clone();
        self.catalog.listed(now, entries, &mut shared.core.borrow_mut().fleet);
        self.shared.listed.set(true);
    }

    fn changed(&mut self, object: Object) {
        let shared = self.shared.clone();
        let now = shared.now();
        if object.value.is_null() {
            tracing::info!(upstream = object.name, revision = object.version, "upstream removed");
            let id = object.name.into();
            self.catalog.removed(now, &id, &mut shared.core.borrow_mut().fleet);
        } else if let Some(entry) = self.decode(&object) {
            tracing::info!(upstream = object.name, service = &*entry.service, addr = %entry.addr,
                draining = entry.draining, revision = object.version, "upstream changed");
            self.catalog.changed(now, entry, &mut shared.core.borrow_mut().fleet);
        }
    }

    fn lost(&mut self) {
        self.catalog.lost();
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        self.catalog.tick(now, &mut self.shared.core.borrow_mut().fleet);
    }
}
