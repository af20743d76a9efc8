//! What this VM follows at the platform's store.

/// The configuration.
mod configuration;
/// Failure domains whose upstreams are to get nothing more.
pub(crate) mod evacuations;
/// The list of upstreams.
mod upstreams;

pub(crate) use configuration::Configuration;

use crate::shared::Shared;
use evacuations::Evacuations;
use std::rc::Rc;
use tgw_clock::Millis;
use tgw_platform::{Error, Object, Store, Version, object::List};
use tgw_spread::{
    Follow,
    follow::{LOST_NEAR, MARGIN, PROBE_EVERY, PROBE_REPLY, Pace, Probed, Step, Turn, Way},
    start,
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};
use upstreams::Upstreams;

/// What a watched kind does with its objects.
trait Topic {
    fn kind(&self) -> &str;
    /// The way of asking the store that it is.
    fn way(&self) -> Way;
    /// How it is watched.
    fn pace(&self) -> Pace {
        Pace::OFTEN
    }
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
    follow(&shared, &*store, &mut Upstreams::new(&shared)).await;
}

/// Follows the list of evacuated failure domains for as long as the process runs.
pub(crate) async fn evacuations(shared: Rc<Shared>, store: Rc<dyn Store>) {
    follow(&shared, &*store, &mut Evacuations::new(&shared)).await;
}

/// Reads a kind when it is this VM's turn, and again and again while it is a relay; otherwise this VM learns
/// from peers.
async fn follow(shared: &Shared, store: &dyn Store, topic: &mut dyn Topic) {
    let mut relay = shared.relay.subscribe();
    let mut follow = Follow::new(rand::random(), topic.pace());
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
