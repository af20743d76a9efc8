use crate::{
    dialect::{Decoded, Finding},
    note,
    shared::Shared,
    unreadable::Unreadable,
};
use std::rc::Rc;
use tgw_clock::Millis;
use tgw_forward::upstream::Entry;
use tgw_platform::{Error, Object, Store, Version, object::List};
use tgw_spread::{
    Follow,
    follow::{LOST_NEAR, MARGIN, PROBE_EVERY, PROBE_REPLY, Probed, Step, Turn, Way},
    start,
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// What a watched kind does with its objects.
trait Topic {
    fn kind(&self) -> &str;
    /// The way of asking the store that it is.
    fn way(&self) -> Way;
    /// All objects as of a version.
    fn listed(&mut self, version: Version, objects: Vec<Object>);
    /// One object was written, or removed (a null value), by a version.
    fn changed(&mut self, version: Version, object: Object);
    /// The store does not answer.
    fn lost(&mut self);
    /// The store has answered a watch.
    fn answered(&mut self);
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
    let mut follow = Follow::new(rand::random());
    loop {
        let turn = Turn {
            relay: *relay.borrow_and_update(),
            known: topic.known(),
            due: shared.start.borrow().due(),
        };
        match follow.next(shared.now(), turn) {
            Step::Idle(time) => tokio::select! {
                // The sender lives as long as the process.
                _ = relay.changed() => {}
                () = sleep(time.into()) => {}
            },
            Step::Pause(time) => sleep(time.into()).await,
            Step::List => list(shared, store, topic, &mut follow).await,
            Step::Watch { from, wait } => {
                let changes = changes(shared, store, topic, &mut follow, from, wait);
                tokio::select! {
                    () = changes => {}
                    () = wait_for(&mut relay, false) => {
                        tracing::info!(kind = topic.kind(), "watch given up to other VMs");
                        end(shared, topic, &mut follow);
                    }
                }
            }
        }
    }
}

async fn list(shared: &Shared, store: &dyn Store, topic: &mut dyn Topic, follow: &mut Follow) {
    if follow.failures() == 0 {
        topic.reading(true);
    }
    let listed = store.list(topic.kind()).await;
    shared.meters.store("list", &listed);
    let now = shared.now();
    match listed {
        Ok(list) => {
            if follow.listed(list.version) > 0 {
                tracing::info!(kind = topic.kind(), version = list.version, "store regained");
            }
            let changed = shared.sight.borrow_mut().read(topic.way());
            see(shared, changed);
            topic.reading(true);
            if shared.blind_near.get() >= LOST_NEAR {
                topic.lost();
            }
            topic.listed(list.version, list.objects);
        }
        Err(error) => {
            if follow.failures() == 0 {
                tracing::warn!(kind = topic.kind(), %error, "store lost");
            }
            topic.reading(false);
            topic.lost();
            shared.tell_start(start::Event::Refused);
            follow.failed(now, shared.blind_near.get());
            let changed = shared.sight.borrow_mut().note(topic.way(), follow.is_blind());
            see(shared, changed);
        }
    }
}

/// Waits for changes once.
async fn changes(
    shared: &Shared,
    store: &dyn Store,
    topic: &mut dyn Topic,
    follow: &mut Follow,
    from: Version,
    wait: Millis,
) {
    let kind = topic.kind().to_owned();
    let began = shared.now();
    let watch = timeout((wait + MARGIN).into(), store.watch(&kind, from, wait)).await;
    let late = || Error::Unknown { reason: format!("no reply in {}", wait + MARGIN) };
    let result = watch.unwrap_or_else(|_| Err(late()));
    shared.meters.store("watch", &result);
    match result {
        Ok(List { version, objects }) => {
            let news = !objects.is_empty();
            topic.answered();
            objects.into_iter().for_each(|o| topic.changed(version, o));
            follow.watched(shared.now(), version, news);
            if news {
                shared.news.notify_one();
            }
        }
        Err(error) => {
            tracing::info!(kind, %error, "watch ended");
            // A watch that is cut says nothing of the store; one that ran out says that the store may have been away
            // since it began.
            if shared.now() - began >= wait {
                topic.lost();
            }
            end(shared, topic, follow);
        }
    }
}

/// The kind is not watched any more.
fn end(shared: &Shared, topic: &dyn Topic, follow: &mut Follow) {
    topic.reading(false);
    if !topic.known() {
        shared.tell_start(start::Event::Empty);
    }
    follow.stop(shared.now());
}

/// Tells others whether the store answers this VM, if that has changed.
fn see(shared: &Shared, changed: bool) {
    if changed {
        let blind = shared.sight.borrow().is_blind();
        tracing::info!(blind, "whether the store answers this VM");
        shared.news.notify_one();
    }
}

/// Probes the store for as long as the process runs, while this VM follows it.
pub(crate) async fn probe(shared: Rc<Shared>, store: Rc<dyn Store>) {
    let kind = &shared.dialect.kinds().config;
    loop {
        sleep(PROBE_EVERY.into()).await;
        if !shared.reading.any() {
            continue;
        }
        let probed = match timeout(PROBE_REPLY.into(), store.probe(kind)).await {
            Ok(result) => {
                shared.meters.store("probe", &result);
                if result.is_ok() { Probed::Answered } else { Probed::Refused }
            }
            Err(_) => Probed::Silent,
        };
        match probed {
            // A watch that hangs is then no sign of a store that is away.
            Probed::Answered => shared.world.borrow_mut().upstreams.probed(shared.now()),
            Probed::Silent => shared.world.borrow_mut().upstreams.lost(shared.now()),
            Probed::Refused => {}
        }
        let changed = shared.sight.borrow_mut().probed(probed);
        see(&shared, changed);
    }
}

async fn wait_for(relay: &mut watch::Receiver<Option<bool>>, state: bool) {
    // The sender lives as long as the process.
    let _ = relay.wait_for(|r| *r == Some(state)).await;
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

    fn way(&self) -> Way {
        Way::Configuration
    }

    fn listed(&mut self, _version: Version, objects: Vec<Object>) {
        objects.iter().for_each(|o| self.take(o));
    }

    fn changed(&mut self, _version: Version, object: Object) {
        self.take(&object);
    }

    fn lost(&mut self) {}

    fn answered(&mut self) {}

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

    fn way(&self) -> Way {
        Way::Upstreams
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
        let mut core = self.shared.core.borrow_mut();
        let mut world = self.shared.world.borrow_mut();
        world.upstreams.listed(now, version, entries, &unreadable, &mut core.fleet);
        drop((core, world));
        note::doubts(&self.shared);
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
        let mut world = self.shared.world.borrow_mut();
        match entry {
            Some(Ok(entry)) => {
                tracing::info!(upstream = object.name, service = &*entry.service,
                    addr = %entry.addr, started = entry.started, draining = entry.draining,
                    revision = object.version, "upstream changed");
                world.upstreams.written(now, object.version, entry, &mut core.fleet);
            }
            Some(Err(id)) => world.upstreams.unreadable(version, &id, &mut core.fleet),
            None => {
                tracing::info!(
                    upstream = object.name,
                    revision = object.version,
                    "upstream removed"
                );
                let id: Rc<str> = object.name.into();
                world.upstreams.removed(version, object.version, &id, &mut core.fleet);
            }
        }
        drop((core, world));
        note::doubts(&self.shared);
    }

    fn lost(&mut self) {
        self.shared.world.borrow_mut().upstreams.lost(self.shared.now());
    }

    fn known(&self) -> bool {
        self.shared.world.borrow().upstreams.version() > 0
    }

    fn reading(&self, reading: bool) {
        self.shared.reading.upstreams.set(reading);
    }

    fn answered(&mut self) {
        self.shared.world.borrow_mut().upstreams.answered(self.shared.now());
    }
}
