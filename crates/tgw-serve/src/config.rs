use crate::{
    messages::{ConfigMessage, CoreMessage},
    metrics::Gauges,
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
use tgw_platform::{Error, Object, Precondition, Store, Version, object::List};
use tgw_ring::{Receiver, Sender};
use tgw_table::{Document, adopt};
use tgw_topology::{Catalog, Vm, catalog::ServiceUpdate};
use tokio::{
    sync::watch,
    task::{LocalSet, spawn_local},
    time::sleep,
};

/// The kind of the object that holds the table.
pub(crate) const TABLE_KIND: &str = "table";
/// The kind of the objects that describe services.
pub(crate) const SERVICE_KIND: &str = "service";
/// The kind of the objects that hold the claims of orders.
const CLAIM_KIND: &str = "claim";
/// The kind of the objects that describe VMs.
const VM_KIND: &str = "vm";
/// Time after which a watch without a change returns.
const WATCH_TIMEOUT_MS: Millis = Millis::new(10_000);
/// How long a starting VM waits for table and catalog from peers before it reads the platform, if it
/// watches the platform on behalf of its failure domain.
const WATCHER_PEER_TIMEOUT_MS: Millis = Millis::new(300);
/// The same for a VM whose failure domain is watched by another VM.
const PEER_TIMEOUT_MS: Millis = Millis::new(5000);
const MIN_BACKOFF_MS: Millis = Millis::new(100);
const MAX_BACKOFF_MS: Millis = Millis::new(2000);
/// Time after which a request for updates that was not answered is sent to another VM.
const UPDATE_REQUEST_TIMEOUT_MS: Millis = Millis::new(300);
/// Interval at which a VM that does not watch checks whether it must, and at which a starting VM checks
/// for data from peers.
const POLL_INTERVAL_MS: Millis = Millis::new(100);
/// The field of a VM's object that holds the address for peer traffic.
const ADDR_FIELD: &str = "addr";

struct Worker {
    store: Arc<dyn Store>,
    core: Sender<CoreMessage>,
    peers: Sender<Command>,
    gauges: Arc<Gauges>,
    clock: Arc<dyn Clock>,
    table: RefCell<adopt::State>,
    catalog: RefCell<Catalog>,
    watches_platform: Cell<bool>,
    requested_at: Cell<Option<Millis>>,
    vms: RefCell<BTreeMap<String, SocketAddr>>,
}

/// Runs the worker on the current thread until `stop` changes.
pub(crate) fn run(
    store: Arc<dyn Store>,
    core: Sender<CoreMessage>,
    peers: Sender<Command>,
    messages: Receiver<ConfigMessage>,
    gauges: Arc<Gauges>,
    clock: Arc<dyn Clock>,
    mut stop: watch::Receiver<bool>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return };
    let worker = Rc::new(Worker {
        store,
        core,
        peers,
        gauges,
        clock,
        table: RefCell::default(),
        catalog: RefCell::default(),
        watches_platform: Cell::new(false),
        requested_at: Cell::new(None),
        vms: RefCell::default(),
    });
    LocalSet::new().block_on(&runtime, async move {
        for kind in [TABLE_KIND, SERVICE_KIND, VM_KIND] {
            spawn_local(worker.clone().sync_kind(kind));
        }
        loop {
            tokio::select! {
                _ = stop.changed() => return,
                message = messages.recv() => match message {
                    ConfigMessage::StoreCall(action) => {
                        spawn_local(worker.clone().call_store(action));
                    }
                    message => worker.handle(message),
                },
            }
        }
    });
}

impl Worker {
    /// Reads all objects of a kind once, then watches them while this VM watches the platform on behalf of
    /// its failure domain.
    async fn sync_kind(self: Rc<Self>, kind: &'static str) {
        let mut backoff = MIN_BACKOFF_MS;
        let mut known: Option<Version> = self.wait_for_peers(kind).await.then_some(0);
        loop {
            if known.is_some() && !self.watches_platform.get() {
                // Changes meanwhile come from peers; a VM that becomes a watcher starts with a list.
                known = Some(0);
                sleep(POLL_INTERVAL_MS.into()).await;
                continue;
            }
            let result = match known {
                None | Some(0) => self.count_call(self.store.list(kind).await),
                Some(from) => self.count_call(self.store.watch(kind, from, WATCH_TIMEOUT_MS).await),
            };
            match result {
                Ok(list) => {
                    backoff = MIN_BACKOFF_MS;
                    known = Some(list.version.max(1));
                    self.apply_list(kind, list);
                }
                // The platform's history no longer covers this version, so the kind is listed again.
                Err(Error::Gone) => known = Some(0),
                Err(error) => {
                    tracing::debug!(target: "tgw::platform", kind, %error, "call to the platform failed");
                    sleep(backoff.into()).await;
                    backoff = (backoff + backoff).min(MAX_BACKOFF_MS);
                }
            }
        }
    }

    /// Waits for peers to send the objects of this kind, and returns whether they did. Without the wait,
    /// when all VMs of a failure domain start at once, each of them would read the whole catalog from the
    /// platform. With it only the watchers do; the others read it if no peer has sent it after the longer
    /// timeout.
    async fn wait_for_peers(&self, kind: &str) -> bool {
        let start = self.clock.now();
        loop {
            let received = match kind {
                TABLE_KIND => self.table.borrow().edition() > 0,
                SERVICE_KIND => self.catalog.borrow().version > 0,
                _ => false,
            };
            let peer_timeout =
                if self.watches_platform.get() { WATCHER_PEER_TIMEOUT_MS } else { PEER_TIMEOUT_MS };
            if received || kind == VM_KIND || self.clock.now() - start >= peer_timeout {
                return received;
            }
            sleep(POLL_INTERVAL_MS.into()).await;
        }
    }

    fn count_call<T>(&self, result: Result<T, Error>) -> Result<T, Error> {
        self.gauges.platform_calls.fetch_add(1, Ordering::Relaxed);
        if result.is_err() {
            self.gauges.platform_errors.fetch_add(1, Ordering::Relaxed);
        }
        result
    }

    fn apply_list(&self, kind: &str, list: List) {
        match kind {
            TABLE_KIND => {
                for object in list.objects {
                    self.apply_table(object);
                }
            }
            SERVICE_KIND => {
                let services = list.objects.into_iter().filter_map(decode_service).collect();
                self.apply_services(list.version, services);
            }
            _ => self.apply_vms(list.objects),
        }
    }

    fn apply_table(&self, object: Object) {
        if object.value.is_null() {
            return;
        }
        match serde_json::from_value::<Document>(object.value) {
            Ok(document) => {
                let outcome = self.table.borrow_mut().offer(document);
                self.announce_if_adopted(outcome, "platform");
            }
            Err(error) => {
                tracing::error!(target: "tgw::platform", %error, "cannot decode the table object");
            }
        }
    }

    fn announce_if_adopted(&self, outcome: adopt::Outcome, source: &'static str) {
        if outcome != adopt::Outcome::Adopted {
            return;
        }
        let table = self.table.borrow();
        if let Some(document) = table.document() {
            tracing::info!(target: "tgw::table", edit = document.edition, source, "table in force");
            let _ = self.core.push(CoreMessage::Table(document.clone()));
            let _ = self.peers.push(Command::Edition(document.edition));
        }
    }

    fn apply_services(&self, version: Version, services: Vec<ServiceUpdate>) {
        let mut catalog = self.catalog.borrow_mut();
        if catalog.merge(version, services) {
            let _ = self.core.push(CoreMessage::Catalog(Arc::new(catalog.clone())));
            let _ = self.peers.push(Command::CatalogVersion(catalog.version));
        }
    }

    fn apply_vms(&self, objects: Vec<Object>) {
        let mut vms = self.vms.borrow_mut();
        for Object { name, value, .. } in objects {
            match value.get(ADDR_FIELD).and_then(Value::as_str).and_then(|a| a.parse().ok()) {
                Some(addr) => vms.insert(name, addr),
                None => vms.remove(&name),
            };
        }
        let _ = self.peers.push(Command::Seeds(vms.values().copied().collect()));
    }

    fn handle(&self, message: ConfigMessage) {
        match message {
            ConfigMessage::WatchesPlatform(watches) => self.watches_platform.set(watches),
            ConfigMessage::StoreCall(_) => {}
            ConfigMessage::PeerNewer(vm) => self.request_updates(vm),
            ConfigMessage::UpdateRequest { from, edition, catalog_version } => {
                self.send_updates(from, edition, catalog_version);
            }
            ConfigMessage::TableUpdate(delta) => {
                self.requested_at.set(None);
                let outcome = self.table.borrow_mut().offer_delta(&delta);
                self.announce_if_adopted(outcome, "peer");
            }
            ConfigMessage::CatalogUpdate { version, services } => {
                self.requested_at.set(None);
                self.apply_services(version, services);
            }
        }
    }

    /// Makes a call to the platform's store for the claims worker.
    async fn call_store(self: Rc<Self>, action: Action) {
        let event = match action {
            Action::Put(object, version, ledger) => {
                let precondition = if version == 0 {
                    Precondition::Absent
                } else {
                    Precondition::Version(version)
                };
                let Ok(value) = serde_json::to_value(&ledger) else { return };
                let put = self.store.put(CLAIM_KIND, &object, precondition, &value).await;
                let outcome = match self.count_call(put) {
                    Ok(version) => WriteOutcome::Done(version),
                    Err(Error::Conflict { .. }) => WriteOutcome::Conflict,
                    Err(Error::Unavailable { .. }) => WriteOutcome::Unavailable,
                    Err(Error::Gone | Error::Unknown { .. }) => WriteOutcome::Unknown,
                };
                Event::WriteDone(object, outcome)
            }
            Action::Get(object) => {
                let read = self.count_call(self.store.get(CLAIM_KIND, &object).await);
                Event::ReadDone(object, read.map_err(|_| ()).and_then(decode_claims))
            }
            Action::Expire(object) => {
                if let Ok(Some(found)) = self.count_call(self.store.get(CLAIM_KIND, &object).await)
                {
                    let _ = self
                        .count_call(self.store.delete(CLAIM_KIND, &object, found.version).await);
                }
                return;
            }
            Action::Run(..) | Action::Answer(..) => return,
        };
        // The claims worker waits for this reply, so it must not be dropped. The number of its calls in
        // flight is bounded.
        let mut reply = CoreMessage::StoreReply(event);
        while let Err(rejected) = self.core.push(reply) {
            reply = rejected;
            sleep(Millis::new(1).into()).await;
        }
    }

    fn request_updates(&self, vm: Vm) {
        let now = self.clock.now();
        if self.requested_at.get().is_some_and(|since| now - since < UPDATE_REQUEST_TIMEOUT_MS) {
            return;
        }
        self.requested_at.set(Some(now));
        let (edition, catalog_version) =
            (self.table.borrow().edition(), self.catalog.borrow().version);
        let _ = self
            .peers
            .push(Command::Send(vm, Payload::RequestUpdates { edition, catalog_version }));
    }

    fn send_updates(&self, from: Vm, edition: u64, catalog_version: Version) {
        let table = self.table.borrow();
        if let Some(document) = table.document().filter(|d| d.edition > edition) {
            let delta = document.delta(edition);
            let _ = self.peers.push(Command::Send(from, Payload::TableUpdate(delta)));
        }
        let catalog = self.catalog.borrow();
        if catalog.version > catalog_version {
            let (version, services) = (catalog.version, catalog.changed_since(catalog_version));
            let _ = self
                .peers
                .push(Command::Send(from, Payload::CatalogUpdate { version, updates: services }));
        }
    }
}

fn decode_service(object: Object) -> Option<ServiceUpdate> {
    let mut service: ServiceUpdate = serde_json::from_value(object.value)
        .map_err(|error| {
            tracing::error!(target: "tgw::platform", name = object.name, %error,
                "cannot decode a service object");
        })
        .ok()?;
    service.changed_version = object.version;
    Some(service)
}

/// Decodes the claims in an object. One that cannot be decoded counts as a failed read.
fn decode_claims(object: Option<Object>) -> Result<Option<(Version, Ledger)>, ()> {
    let Some(object) = object else { return Ok(None) };
    let ledger = serde_json::from_value(object.value).map_err(|_| ())?;
    Ok(Some((object.version, ledger)))
}
