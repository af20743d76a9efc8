//! Watches of the platform's store.

/// Watch of the configuration.
mod configuration;
/// Watch of the evacuated failure domains.
pub(crate) mod evacuations;
/// Probes of the store, and what VMs tell one another of it.
pub(crate) mod probe;
/// Watch of the list of upstreams.
mod upstreams;
/// Watch of the addresses of VMs.
pub(crate) mod vms;

pub(crate) use configuration::Configuration;

use crate::{peers::Peers, shared::Shared};
use evacuations::Evacuations;
use std::rc::Rc;
use tgw_clock::Millis;
use tgw_platform::{Error, Object, Store, Version, object::List};
use tgw_spread::{
    Schedule,
    reachability::ReadMode,
    start,
    store_reads::{ReadRank, Step, WATCH_REPLY_MARGIN_MS, WatchTiming},
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};
use upstreams::Upstreams;
use vms::Vms;

/// A watched kind of objects, and how its objects are applied.
trait Topic {
    fn kind(&self) -> &str;
    /// How this kind is read from the store.
    fn read_mode(&self) -> ReadMode;
    /// How often this kind is watched.
    fn timing(&self) -> WatchTiming {
        WatchTiming::FREQUENT
    }
    /// Applies all objects as of a version.
    fn apply_list(&mut self, version: Version, objects: Vec<Object>);
    /// Applies an object that was written, or removed (null value), at a version.
    fn apply_change(&mut self, version: Version, object: Object);
    /// The store does not answer.
    fn store_lost(&mut self);
    /// The store has answered a watch.
    fn watch_answered(&mut self);
    /// Whether anything is known of this kind.
    fn is_known(&self) -> bool;
    /// Records whether this VM reads this kind from the store without errors.
    fn set_reading(&self, reading: bool);
    /// Records that the list is read again because another VM's differs.
    fn mark_disputed(&self) {}
}

/// Watches the configuration for as long as the process runs.
pub(crate) async fn configuration(shared: Rc<Shared>, store: Rc<dyn Store>) {
    follow(&shared, &*store, &mut Configuration::new(&shared)).await;
}

/// Watches the list of upstreams for as long as the process runs.
pub(crate) async fn upstreams(shared: Rc<Shared>, store: Rc<dyn Store>) {
    follow(&shared, &*store, &mut Upstreams::new(&shared)).await;
}

/// Watches the evacuated failure domains for as long as the process runs.
pub(crate) async fn evacuations(shared: Rc<Shared>, store: Rc<dyn Store>) {
    follow(&shared, &*store, &mut Evacuations::new(&shared)).await;
}

/// Watches the addresses of VMs that look for others for as long as the process runs.
pub(crate) async fn vms(peers: Rc<Peers>, store: Rc<dyn Store>) {
    follow(&peers.shared, &*store, &mut Vms::new(&peers)).await;
}

/// Keeps a topic up to date from the store for as long as the process runs: lists its objects, then
/// watches for changes, while this VM is a relay, or as long as nothing is known of the kind and it
/// is this VM's turn at the start. Otherwise it receives the state from peers; a watch stops once
/// this VM is no relay.
async fn follow(shared: &Shared, store: &dyn Store, topic: &mut dyn Topic) {
    let mut relay = shared.relay.subscribe();
    let mut schedule = Schedule::new(rand::random(), topic.timing());
    let mode = topic.read_mode();
    loop {
        let rank = ReadRank {
            relay: *relay.borrow_and_update(),
            has_data: topic.is_known(),
            read_at: shared.start.borrow().store_read_at(),
        };
        match schedule.next_step(shared.now(), rank) {
            Step::Idle(time) => tokio::select! {
                // Cannot fail: the sender lives as long as the process.
                _ = relay.changed() => {}
                () = sleep(time.into()) => {}
                () = reread_due(shared, mode) => reread(shared, store, topic, &mut schedule).await,
            },
            Step::Backoff(time) => sleep(time.into()).await,
            Step::List => list(shared, store, topic, &mut schedule).await,
            Step::Watch { from, wait } => {
                let watch = watch_once(shared, store, topic, &mut schedule, from, wait);
                tokio::select! {
                    () = watch => {}
                    () = wait_for(&mut relay, false) => {
                        tracing::info!(
                            kind = topic.kind(),
                            "watch stopped, as this VM is no longer a relay"
                        );
                        end_watch(shared, topic, &mut schedule);
                    }
                    () = reread_due(shared, mode) => {
                        reread(shared, store, topic, &mut schedule).await;
                    }
                }
            }
        }
    }
}

/// Waits until a kind is to be read again, as another VM's differs; never where VMs compare nothing.
async fn reread_due(shared: &Shared, mode: ReadMode) {
    let agreement = &shared.agreement;
    match mode {
        ReadMode::Configuration => agreement.configuration.reread_due.notified().await,
        ReadMode::Upstreams => agreement.upstreams.reread_due.notified().await,
        ReadMode::Evacuations => agreement.evacuations.reread_due.notified().await,
        ReadMode::Vms | ReadMode::Probe => std::future::pending().await,
    }
}

/// Reads a list again that differs from another VM's, whether or not this VM is a relay.
async fn reread(
    shared: &Shared,
    store: &dyn Store,
    topic: &mut dyn Topic,
    schedule: &mut Schedule,
) {
    topic.mark_disputed();
    list(shared, store, topic, schedule).await;
    if *shared.relay.borrow() == Some(false) {
        end_watch(shared, topic, schedule);
    }
}

async fn list(shared: &Shared, store: &dyn Store, topic: &mut dyn Topic, schedule: &mut Schedule) {
    if schedule.failures() == 0 {
        topic.set_reading(true);
    }
    let called_at = shared.now();
    let listed = store.list(topic.kind()).await;
    shared.metrics.count_store_call("list", &listed);
    let now = shared.now();
    match listed {
        Ok(list) => {
            if schedule.record_list(list.version) > 0 {
                tracing::info!(kind = topic.kind(), version = list.version, "store regained");
            }
            let changed = shared.reachability.borrow_mut().record_list(now, topic.read_mode());
            probe::report_reachability(shared, changed);
            topic.set_reading(true);
            // No call of a VM that takes over has failed. Only those from which it takes over can tell of an outage.
            if topic.read_mode() == ReadMode::Upstreams && probe::store_was_down(shared).await {
                topic.store_lost();
            }
            topic.apply_list(list.version, list.objects);
        }
        Err(error) => {
            if schedule.failures() == 0 {
                tracing::warn!(kind = topic.kind(), %error, "store lost");
            }
            topic.set_reading(false);
            topic.store_lost();
            shared.notify_start(start::Event::StoreRefused);
            schedule.record_list_failure(now, shared.peers_without_store.get());
            let changed = shared.reachability.borrow_mut().record_list_failure(
                called_at,
                topic.read_mode(),
                schedule.store_unreachable(),
            );
            probe::report_reachability(shared, changed);
        }
    }
}

/// Waits for changes once.
async fn watch_once(
    shared: &Shared,
    store: &dyn Store,
    topic: &mut dyn Topic,
    schedule: &mut Schedule,
    from: Version,
    wait: Millis,
) {
    let kind = topic.kind().to_owned();
    let started_at = shared.now();
    let watch =
        timeout((wait + WATCH_REPLY_MARGIN_MS).into(), store.watch(&kind, from, wait)).await;
    let timed_out =
        || Error::Unknown { reason: format!("no reply in {}", wait + WATCH_REPLY_MARGIN_MS) };
    let result = watch.unwrap_or_else(|_| Err(timed_out()));
    shared.metrics.count_store_call("watch", &result);
    match result {
        Ok(List { version, objects }) => {
            let has_changes = !objects.is_empty();
            topic.watch_answered();
            objects.into_iter().for_each(|o| topic.apply_change(version, o));
            schedule.record_watch(shared.now(), version, has_changes);
            if has_changes {
                shared.update_ready.notify_one();
            }
        }
        Err(error) => {
            tracing::info!(kind, %error, "watch ended");
            // A watch that is cut says nothing about the store. One that timed out means that the
            // store may have been unavailable since the watch began.
            if shared.now() - started_at >= wait {
                topic.store_lost();
            }
            end_watch(shared, topic, schedule);
        }
    }
}

/// Records that the kind is no longer watched.
fn end_watch(shared: &Shared, topic: &dyn Topic, schedule: &mut Schedule) {
    topic.set_reading(false);
    if !topic.is_known() {
        shared.notify_start(start::Event::StoreEmpty);
    }
    schedule.stop_watch(shared.now());
}

async fn wait_for(relay: &mut watch::Receiver<Option<bool>>, state: bool) {
    // Cannot fail: the sender lives as long as the process.
    let _ = relay.wait_for(|r| *r == Some(state)).await;
}
