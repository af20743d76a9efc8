use crate::{
    dialect::{Decoded, Finding},
    shared::Shared,
    unreadable::Unreadable,
};
use std::{rc::Rc, time::Duration};
use tgw_clock::Millis;
use tgw_forward::upstream::Entry;
use tgw_platform::{Error, Object, Store, Version, object::List};
use tgw_spread::start;
use tokio::{sync::watch, time::sleep};

/// How long one watch waits, in ms. Each end costs a call. A store that keeps its connections and says
/// nothing shows only when this has passed, and what changed right after its return would be in
/// force that much later: it stays below the 5 s within which a calm VM counts as reachable again.
const WAIT: Millis = Millis::new(5_000);
/// Pause after news before the next watch: what changes meanwhile comes with one call, as when many
/// upstreams are replaced. It is far below the 3 s in which a change is to be in force.
const GATHER: Duration = Duration::from_millis(500);
/// Time between looks for entries that stayed missing.
const TICK: Duration = Duration::from_millis(500);
/// Time between looks of a VM that knows nothing yet at whether it is to read the store.
pub(crate) const LOOK: Duration = Duration::from_millis(25);
/// Failed calls in a row after which the store counts as lost to this VM alone or to all.
const SEEN: u32 = 2;
/// VMs of this domain that the store does not answer from which on it is taken for away, not for one that turns
/// some VMs away: each that takes over from one of them would else try several times in quick succession.
const AWAY: usize = 3;
/// Failures that a VM which takes over then counts from.
const AWAY_FAILURES: u32 = 5;
/// First pause in ms after a failed call; doubles, and each is drawn from half to the whole of it.
const PAUSE_MS: u64 = 100;
/// Longest pause in ms.
const PAUSE_MOST_MS: u64 = 1_200;

/// What a watched kind does with its objects.
trait Topic {
    fn kind(&self) -> &str;
    /// All objects as of a version.
    fn listed(&mut self, version: Version, objects: Vec<Object>);
    /// One object was written, or removed (a null value), by a version.
    fn changed(&mut self, version: Version, object: Object);
    /// The store does not answer.
    fn lost(&mut self);
    /// Time has passed.
    fn tick(&mut self);
    /// Whether anything was read yet.
    fn known(&self) -> bool;
    /// Whether this VM reads it from the store, and was not refused.
    fn reading(&self, reading: bool);
}

/// Follows the configuration for as long as the process runs.
pub(crate) async fn configuration(shared: Rc<Shared>, store: Rc<dyn Store>) {
    follow(&shared, &*store, &mut Configuration::new(&shared)).await;
}

/// Follows the list of upstreams for as long as the process runs.
pub(crate) async fn upstreams(shared: Rc<Shared>, store: Rc<dyn Store>) {
    let kind = shared.dialect.kinds().upstreams.clone();
    follow(
        &shared.clone(),
        &*store,
        &mut Upstreams { shared, kind, unreadable: Unreadable::default() },
    )
    .await;
}

/// Reads a kind when it is this VM's turn, and again and again while it is a relay; otherwise this VM learns
/// from peers.
async fn follow(shared: &Shared, store: &dyn Store, topic: &mut dyn Topic) {
    let mut relay = shared.relay.subscribe();
    let mut failures = 0;
    loop {
        turn(shared, &mut relay, topic).await;
        if failures == 0 {
            topic.reading(true);
        }
        let listed = store.list(topic.kind()).await;
        shared.meters.store("list", &listed);
        match listed {
            Ok(list) => {
                if std::mem::take(&mut failures) > 0 {
                    tracing::info!(kind = topic.kind(), version = list.version, "store regained");
                }
                see(shared, false);
                topic.reading(true);
                topic.listed(list.version, list.objects);
                // Until it is settled who watches, every VM that reads does: what changes in the first
                // seconds of a process, as entries that come back after an outage, has no other way here.
                let watch = events(shared, store, topic, list.version);
                tokio::select! {
                    error = watch => tracing::info!(kind = topic.kind(), %error, "watch ended"),
                    () = wait_for(&mut relay, false) => {
                        tracing::info!(kind = topic.kind(), "watch given up to other VMs");
                    }
                }
                topic.reading(false);
                if !topic.known() {
                    shared.tell_start(start::Event::Empty);
                }
                sleep(pause(0)).await;
            }
            Err(error) => {
                if failures == 0 {
                    tracing::warn!(kind = topic.kind(), %error, "store lost");
                }
                topic.reading(false);
                topic.lost();
                shared.tell_start(start::Event::Refused);
                failures += 1;
                see(shared, failures > SEEN);
                let away = shared.blind_near.get() >= AWAY;
                sleep(pause(failures.max(if away { AWAY_FAILURES } else { 0 }))).await;
            }
        }
    }
}

/// Waits until this VM is to read the store: it does so for its failure domain, or knows nothing and was told
/// nothing in time.
async fn turn(shared: &Shared, relay: &mut watch::Receiver<Option<bool>>, topic: &mut dyn Topic) {
    loop {
        let known = topic.known();
        let due = !known && shared.now() >= shared.start.borrow().due();
        if due || *relay.borrow_and_update() == Some(true) {
            return;
        }
        let look = if known { TICK } else { LOOK };
        tokio::select! {
            // The sender lives as long as the process.
            _ = relay.changed() => {}
            () = sleep(look) => topic.tick(),
        }
    }
}

/// Says whether the store answers this VM.
fn see(shared: &Shared, blind: bool) {
    if shared.blind.replace(blind) != blind {
        tracing::info!(blind, "whether the store answers this VM");
        shared.news.notify_one();
    }
}

async fn wait_for(relay: &mut watch::Receiver<Option<bool>>, state: bool) {
    // The sender lives as long as the process.
    let _ = relay.wait_for(|r| *r == Some(state)).await;
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
                objects.into_iter().for_each(|o| topic.changed(version, o));
                from = version.max(from);
                if news {
                    shared.news.notify_one();
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

pub(crate) struct Configuration {
    shared: Rc<Shared>,
    kind: String,
}

impl Configuration {
    pub(crate) fn new(shared: &Rc<Shared>) -> Self {
        Self { shared: shared.clone(), kind: shared.dialect.kinds().config.clone() }
    }

    pub(crate) fn take(&self, object: &Object) {
        if object.name != self.shared.dialect.kinds().config_name || object.value.is_null() {
            return;
        }
        match self.shared.dialect.config(&object.value) {
            Ok(Decoded { value, findings }) => {
                for finding in findings {
                    tracing::warn!(%finding, revision = object.version, "configuration");
                }
                let newer = self.shared.world.borrow_mut().configure(&value);
                if newer {
                    self.shared.adopt(&value, "store");
                }
            }
            Err(findings) => {
                for finding in findings {
                    tracing::error!(%finding, revision = object.version, "configuration not taken");
                }
            }
        }
    }
}

impl Topic for Configuration {
    fn kind(&self) -> &str {
        &self.kind
    }

    fn listed(&mut self, _version: Version, objects: Vec<Object>) {
        objects.iter().for_each(|o| self.take(o));
    }

    fn changed(&mut self, _version: Version, object: Object) {
        self.take(&object);
    }

    fn lost(&mut self) {}

    fn tick(&mut self) {}

    fn known(&self) -> bool {
        self.shared.world.borrow().config() > 0
    }

    fn reading(&self, reading: bool) {
        self.shared.reading.config.set(reading);
    }
}

struct Upstreams {
    shared: Rc<Shared>,
    kind: String,
    unreadable: Unreadable,
}

impl Upstreams {
    fn decode(&mut self, object: &Object) -> Result<Entry, Rc<str>> {
        let read = self.shared.dialect.upstream(&object.name, &object.value);
        let result = read.and_then(|entry| self.dated(entry)).map_err(|findings| {
            self.unreadable.found(&object.name, &findings, object.version);
            object.name.as_str().into()
        });
        if result.is_ok() {
            self.unreadable.ended(&object.name);
        }
        self.shared.meters.unreadable(self.unreadable.len());
        result
    }

    /// The entry, unless it says no start though the upstream's own did: somebody else wrote it.
    fn dated(&self, entry: Entry) -> Result<Entry, Vec<Finding>> {
        let core = self.shared.core.borrow();
        let known = core.fleet.key(&entry.id).and_then(|key| core.fleet.get(key));
        if entry.started == 0 && known.is_some_and(|u| u.entry.started > 0) {
            let place = format!("upstream {}", entry.id);
            return Err(vec![Finding { place, what: "the start is missing".into() }]);
        }
        Ok(entry)
    }
}

impl Topic for Upstreams {
    fn kind(&self) -> &str {
        &self.kind
    }

    fn listed(&mut self, version: Version, objects: Vec<Object>) {
        self.unreadable.keep(|name| objects.iter().any(|o| o.name == name));
        let (mut entries, mut unreadable): (Vec<(Version, Entry)>, Vec<Rc<str>>) =
            Default::default();
        for object in &objects {
            match self.decode(object) {
                Ok(entry) => entries.push((object.version, entry)),
                Err(id) => unreadable.push(id),
            }
        }
        tracing::info!(
            upstreams = entries.len(),
            unreadable = unreadable.len(),
            "upstreams listed"
        );
        let now = self.shared.now();
        let list = entries.iter().map(|(_, e)| e.clone()).collect();
        let mut core = self.shared.core.borrow_mut();
        let mut catalog = self.shared.catalog.borrow_mut();
        catalog.listed(now, list, &unreadable, &mut core.fleet);
        let kept = core.fleet.ids().cloned().collect();
        let mut world = self.shared.world.borrow_mut();
        world.upstreams().hold(catalog.doubts());
        world.list_upstreams(version, entries, &kept);
        self.shared.listed.set(true);
        self.shared.stale.set(false);
        self.shared.news.notify_one();
    }

    fn changed(&mut self, version: Version, object: Object) {
        let now = self.shared.now();
        let removed = object.value.is_null();
        if removed {
            self.unreadable.ended(&object.name);
        }
        let entry = (!removed).then(|| self.decode(&object));
        let mut core = self.shared.core.borrow_mut();
        let mut catalog = self.shared.catalog.borrow_mut();
        let mut world = self.shared.world.borrow_mut();
        match entry {
            Some(Ok(entry)) => {
                tracing::info!(upstream = object.name, service = &*entry.service,
                    addr = %entry.addr, started = entry.started, draining = entry.draining,
                    revision = object.version, "upstream changed");
                world.put_upstream(object.version, entry.clone());
                catalog.changed(now, entry, &mut core.fleet);
            }
            Some(Err(id)) => {
                catalog.unreadable(&id, &mut core.fleet);
                world.upstreams().hold(catalog.doubts());
                world.upstreams().remove(version, &id);
            }
            None => {
                tracing::info!(
                    upstream = object.name,
                    revision = object.version,
                    "upstream removed"
                );
                let id: Rc<str> = object.name.into();
                catalog.removed(now, &id, &mut core.fleet);
                world.upstreams().hold(catalog.doubts());
                if !core.fleet.ids().any(|known| *known == id) {
                    world.upstreams().remove(version, &id);
                }
            }
        }
    }

    fn lost(&mut self) {
        self.shared.catalog.borrow_mut().lost();
    }

    fn known(&self) -> bool {
        self.shared.world.borrow().upstreams_version() > 0
    }

    fn reading(&self, reading: bool) {
        self.shared.reading.upstreams.set(reading);
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        let mut core = self.shared.core.borrow_mut();
        let mut catalog = self.shared.catalog.borrow_mut();
        let gone = catalog.tick(now, &mut core.fleet);
        let mut world = self.shared.world.borrow_mut();
        world.upstreams().hold(catalog.doubts());
        if gone.is_empty() {
            return;
        }
        let version = world.upstreams().complete();
        for id in gone {
            tracing::info!(upstream = &*id, "upstream given up: its entry did not come back");
            world.upstreams().remove(version, &id);
        }
        self.shared.news.notify_one();
    }
}
