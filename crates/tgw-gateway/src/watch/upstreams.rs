use super::Topic;
use crate::{codec::Finding, shared::Shared, telemetry, unreadable::Unreadable};
use std::rc::Rc;
use tgw_forward::upstream::Entry;
use tgw_platform::{Object, Version};
use tgw_spread::reachability::ReadMode;

/// Watches the list of upstreams.
pub(super) struct Upstreams {
    shared: Rc<Shared>,
    kind: String,
    unreadable: Unreadable,
}

impl Upstreams {
    pub(super) fn new(shared: &Rc<Shared>) -> Self {
        let kind = shared.codec.kinds().upstreams.clone();
        Self { shared: shared.clone(), kind, unreadable: Unreadable::default() }
    }

    fn decode(&mut self, object: &Object) -> Result<Entry, Rc<str>> {
        let decoded = self.shared.codec.decode_upstream(&object.name, &object.value);
        let result = decoded.and_then(|entry| self.check_start(entry)).map_err(|findings| {
            self.unreadable.log_once(&object.name, &findings, object.version);
            object.name.as_str().into()
        });
        if result.is_ok() {
            self.unreadable.remove(&object.name);
        }
        self.shared.metrics.set_unreadable(self.unreadable.len());
        result
    }

    /// Rejects an entry without a start time if the upstream's own entry had one: a process other
    /// than the upstream wrote it.
    fn check_start(&self, entry: Entry) -> Result<Entry, Vec<Finding>> {
        let core = self.shared.core.borrow();
        let known = core.fleet.key(&entry.id).and_then(|key| core.fleet.get(key));
        if entry.started == 0 && known.is_some_and(|u| u.entry.started > 0) {
            let path = format!("upstream {}", entry.id);
            return Err(vec![Finding { path, problem: "the start time is missing".into() }]);
        }
        Ok(entry)
    }
}

impl Topic for Upstreams {
    fn kind(&self) -> &str {
        &self.kind
    }

    fn read_mode(&self) -> ReadMode {
        ReadMode::Upstreams
    }

    fn apply_list(&mut self, version: Version, objects: Vec<Object>) {
        self.unreadable.retain(|name| objects.iter().any(|o| o.name == name));
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
        world.upstreams.apply_list(now, version, entries, &unreadable, &mut core.fleet);
        drop((core, world));
        telemetry::upstream_changes(&self.shared);
        self.shared.upstreams_known.set(true);
        self.shared.upstreams_stale.set(false);
        self.shared.update_ready.notify_one();
    }

    fn apply_change(&mut self, _version: Version, object: Object) {
        let now = self.shared.now();
        let removed = object.value.is_null();
        if removed {
            self.unreadable.remove(&object.name);
        }
        let entry = (!removed).then(|| self.decode(&object));
        let mut core = self.shared.core.borrow_mut();
        let mut world = self.shared.world.borrow_mut();
        match entry {
            Some(Ok(entry)) => {
                tracing::info!(upstream = object.name, service = &*entry.service,
                    addr = %entry.addr, started = entry.started, draining = entry.draining,
                    revision = object.version, "upstream changed");
                world.upstreams.apply_write(now, object.version, entry, &mut core.fleet);
            }
            Some(Err(id)) => world.upstreams.apply_unreadable(object.version, &id, &mut core.fleet),
            None => {
                tracing::info!(
                    upstream = object.name,
                    revision = object.version,
                    "upstream removed"
                );
                let id: Rc<str> = object.name.as_str().into();
                world.upstreams.apply_removal(object.version, &id, &mut core.fleet);
            }
        }
        drop((core, world));
        telemetry::upstream_changes(&self.shared);
    }

    fn mark_disputed(&self) {
        self.shared.world.borrow_mut().upstreams.mark_disputed();
    }

    fn store_lost(&mut self) {
        self.shared.world.borrow_mut().upstreams.record_store_failure(self.shared.now());
    }

    fn is_known(&self) -> bool {
        self.shared.world.borrow().upstreams.version() > 0
    }

    fn set_reading(&self, reading: bool) {
        self.shared.store_reads.upstreams.set(reading);
    }

    fn watch_answered(&mut self) {
        self.shared.world.borrow_mut().upstreams.record_store_answer(self.shared.now());
    }
}
