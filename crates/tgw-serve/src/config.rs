use crate::{
    metrics::Gauges,
    work::{Notice, Work},
};
use serde_json::Value;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, atomic::Ordering},
};
use tgw_clock::{Clock, Millis};
use tgw_order::{Action, Event, Ledger, WriteOutcome};
use tgw_peer::{Command, Payload};
use tgw_platform::{Error, Expect, Object, Store, Version, object::List};
use tgw_ring::{Receiver, Sender};
use tgw_table::{Document, adopt};
use tgw_topology::{Catalog, Vm, catalog::Part};
use tokio::{
    sync::watch,
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// The kind of the object that holds the table.
pub(crate) const TABLE: &str = "table";
/// The kind of the objects that describe services.
pub(crate) const SERVICE: &str = "service";
/// The kind of the objects that hold claims for orders.
const CLAIM: &str = "claim";
/// The kind of the platform's objects that list VMs.
const VM: &str = "vm";
/// How long a watch waits for a change.
const WATCH: Millis = Millis::new(10_000);
/// How long a VM that starts waits for peers to hand over table and catalog, if it watches the platform
/// for its domain, and if another does.
const RELAY_PATIENCE: Millis = Millis::new(300);
const PATIENCE: Millis = Millis::new(5000);
const BACKOFF_FIRST: Millis = Millis::new(100);
const BACKOFF_MOST: Millis = Millis::new(2000);
/// Time after which another VM is asked for what one has not sent.
const ASK_AGAIN: Millis = Millis::new(300);
/// How often a VM that does not watch checks whether it has become a watcher.
const IDLE: Millis = Millis::new(100);
/// The last part of a VM's name in the list of VMs names its peers' address.
const ADDR: &str = "addr";

struct Duty {
    store: Arc<dyn Store>,
    core: Sender<Work>,
    peers: Sender<Command>,
    gauges: Arc<Gauges>,
    clock: Arc<dyn Clock>,
    table: RefCell<adopt::State>,
    catalog: RefCell<Catalog>,
    relay: Cell<bool>,
    asked: Cell<Option<Millis>>,
    vms: RefCell<BTreeMap<String, SocketAddr>>,
}

/// Runs the duty on the current thread until `stop` changes.
pub(crate) fn run(
    store: Arc<dyn Store>,
    core: Sender<Work>,
    peers: Sender<Command>,
    notices: Receiver<Notice>,
    gauges: Arc<Gauges>,
    clock: Arc<dyn Clock>,
    mut stop: watch::Receiver<bool>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return };
    let duty = Rc::new(Duty {
        store,
        core,
        peers,
        gauges,
        clock,
        table: RefCell::default(),
        catalog: RefCell::default(),
        relay: Cell::new(false),
        asked: Cell::new(None),
        vms: RefCell::default(),
    });
    LocalSet::new().block_on(&runtime, async move {
        for kind in [TABLE, SERVICE, VM] {
            spawn_local(duty.clone().follow(kind));
        }
        loop {
            tokio::select! {
                _ = stop.changed() => return,
                notice = notices.recv() => match notice {
                    Notice::Store(action) => {
                        spawn_local(duty.clone().claim(action));
                    }
                    notice => duty.notice(notice),
                },
            }
        }
    });
}

impl Duty {
    /// Reads a kind once, then watches it for as long as this VM watches for its domain.
    async fn follow(self: Rc<Self>, kind: &'static str) {
        let mut backoff = BACKOFF_FIRST;
        let mut known: Option<Version> = self.wait_for_peers(kind).await.then_some(0);
        loop {
            if known.is_some() && !self.relay.get() {
                // What happens meanwhile is learned from peers; a new watcher begins with a list.
                known = Some(0);
                sleep(IDLE.into()).await;
                continue;
            }
            let result = match known {
                None | Some(0) => self.call(self.store.list(kind).await),
                Some(from) => self.call(self.store.watch(kind, from, WATCH).await),
            };
            match result {
                Ok(list) => {
                    backoff = BACKOFF_FIRST;
                    known = Some(list.version.max(1));
                    self.take(kind, list);
                }
                // The history does not reach back: only a list shows what happened since.
                Err(Error::Gone) => known = Some(0),
                Err(error) => {
                    tracing::debug!(target: "tgw::platform", kind, %error, "call failed");
                    sleep(backoff.into()).await;
                    backoff = (backoff + backoff).min(BACKOFF_MOST);
                }
            }
        }
    }

    /// Gives peers time to hand over what they have; whether they did. A domain whose VMs all start at
    /// once would otherwise read the whole catalog from the platform once a VM: its relays do, and the
    /// others ask the platform only when nobody has anything after a longer while.
    async fn wait_for_peers(&self, kind: &str) -> bool {
        let start = self.clock.now();
        loop {
            let has = match kind {
                TABLE => self.table.borrow().edit() > 0,
                SERVICE => self.catalog.borrow().version > 0,
                _ => false,
            };
            let patience = if self.relay.get() { RELAY_PATIENCE } else { PATIENCE };
            if has || kind == VM || self.clock.now() - start >= patience {
                return has;
            }
            sleep(IDLE.into()).await;
        }
    }

    fn call<T>(&self, result: Result<T, Error>) -> Result<T, Error> {
        self.gauges.platform_calls.fetch_add(1, Ordering::Relaxed);
        if result.is_err() {
            self.gauges.platform_errors.fetch_add(1, Ordering::Relaxed);
        }
        result
    }

    fn take(&self, kind: &str, list: List) {
        match kind {
            TABLE => {
                for object in list.objects {
                    self.take_table(object);
                }
            }
            SERVICE => {
                let parts = list.objects.into_iter().filter_map(part).collect();
                self.take_parts(list.version, parts);
            }
            _ => self.take_vms(list.objects),
        }
    }

    fn take_table(&self, object: Object) {
        if object.value.is_null() {
            return;
        }
        match serde_json::from_value::<Document>(object.value) {
            Ok(document) => {
                let outcome = self.table.borrow_mut().offer(document);
                self.adopted(outcome, "platform");
            }
            Err(error) => {
                tracing::error!(target: "tgw::platform", %error, "the table object is unreadable");
            }
        }
    }

    fn adopted(&self, outcome: adopt::Outcome, source: &'static str) {
        if outcome != adopt::Outcome::Adopted {
            return;
        }
        let table = self.table.borrow();
        if let Some(document) = table.document() {
            tracing::info!(target: "tgw::table", edit = document.edit, source, "in force");
            let _ = self.core.push(Work::Table(document.clone()));
            let _ = self.peers.push(Command::Edition(document.edit));
        }
    }

    fn take_parts(&self, version: Version, parts: Vec<Part>) {
        let mut catalog = self.catalog.borrow_mut();
        if catalog.merge(version, parts) {
            let _ = self.core.push(Work::Catalog(Arc::new(catalog.clone())));
            let _ = self.peers.push(Command::CatalogVersion(catalog.version));
        }
    }

    fn take_vms(&self, objects: Vec<Object>) {
        let mut vms = self.vms.borrow_mut();
        for Object { name, value, .. } in objects {
            match value.get(ADDR).and_then(Value::as_str).and_then(|a| a.parse().ok()) {
                Some(addr) => vms.insert(name, addr),
                None => vms.remove(&name),
            };
        }
        let _ = self.peers.push(Command::Seeds(vms.values().copied().collect()));
    }

    fn notice(&self, notice: Notice) {
        match notice {
            Notice::Relay(relay) => self.relay.set(relay),
            Notice::Store(_) => {}
            Notice::Newer(vm) => self.ask(vm),
            Notice::Asked { from, edit, world } => self.answer(from, edit, world),
            Notice::Table(delta) => {
                self.asked.set(None);
                let outcome = self.table.borrow_mut().offer_delta(&delta);
                self.adopted(outcome, "peer");
            }
            Notice::World { version, parts } => {
                self.asked.set(None);
                self.take_parts(version, parts);
            }
        }
    }

    /// Carries out a call of the store for the clerk.
    async fn claim(self: Rc<Self>, action: Action) {
        let event = match action {
            Action::Put(object, version, ledger) => {
                let expect = if version == 0 { Expect::Absent } else { Expect::At(version) };
                let Ok(value) = serde_json::to_value(&ledger) else { return };
                let put = self.store.put(CLAIM, &object, expect, &value).await;
                let outcome = match self.call(put) {
                    Ok(version) => WriteOutcome::Done(version),
                    Err(Error::Conflict { .. }) => WriteOutcome::Conflict,
                    Err(Error::Unavailable { .. }) => WriteOutcome::Unavailable,
                    Err(Error::Gone | Error::Unknown { .. }) => WriteOutcome::Unknown,
                };
                Event::WriteDone(object, outcome)
            }
            Action::Get(object) => {
                let read = self.call(self.store.get(CLAIM, &object).await);
                Event::ReadDone(object, read.map_err(|_| ()).and_then(ledger))
            }
            Action::Expire(object) => {
                if let Ok(Some(found)) = self.call(self.store.get(CLAIM, &object).await) {
                    let _ = self.call(self.store.delete(CLAIM, &object, found.version).await);
                }
                return;
            }
            Action::Run(..) | Action::Answer(..) => return,
        };
        // The clerk waits for this answer; the number of its calls under way is bounded.
        let mut work = Work::Store(event);
        while let Err(back) = self.core.push(work) {
            work = back;
            sleep(Millis::new(1).into()).await;
        }
    }

    fn ask(&self, vm: Vm) {
        let now = self.clock.now();
        if self.asked.get().is_some_and(|since| now - since < ASK_AGAIN) {
            return;
        }
        self.asked.set(Some(now));
        let (edit, world) = (self.table.borrow().edit(), self.catalog.borrow().version);
        let _ = self.peers.push(Command::Send(
            vm,
            Payload::RequestUpdates { edition: edit, catalog_version: world },
        ));
    }

    fn answer(&self, from: Vm, edit: u64, world: Version) {
        let table = self.table.borrow();
        if let Some(document) = table.document().filter(|d| d.edit > edit) {
            let delta = document.delta(edit);
            let _ = self.peers.push(Command::Send(from, Payload::TableUpdate(delta)));
        }
        let catalog = self.catalog.borrow();
        if catalog.version > world {
            let (version, parts) = (catalog.version, catalog.since(world));
            let _ = self
                .peers
                .push(Command::Send(from, Payload::CatalogUpdate { version, updates: parts }));
        }
    }
}

fn part(object: Object) -> Option<Part> {
    let mut part: Part = serde_json::from_value(object.value)
        .map_err(|error| {
            tracing::error!(target: "tgw::platform", name = object.name, %error,
                "a service object is unreadable");
        })
        .ok()?;
    part.changed = object.version;
    Some(part)
}

/// The claims that an object holds; an unreadable one counts as unread.
fn ledger(object: Option<Object>) -> Result<Option<(Version, Ledger)>, ()> {
    let Some(object) = object else { return Ok(None) };
    let ledger = serde_json::from_value(object.value).map_err(|_| ())?;
    Ok(Some((object.version, ledger)))
}
