use crate::{
    shared::Shared,
    watch::{Configuration, evacuations::evacuated_domains},
};
use std::rc::Rc;
use tgw_forward::upstream::Entry;
use tgw_platform::{Object, Store, object::List};
use tgw_spread::store_reads::STARTUP_RANK_CHECK_INTERVAL_MS;
use tokio::time::sleep;

/// Reads a copy of the store if no VM sends this one the state at its start. The VM serves with the
/// copy until it receives the state or reads the store itself.
pub(crate) async fn run(shared: Rc<Shared>, store: Rc<dyn Store>) {
    while !shared.start.borrow_mut().take_copy_due(shared.now()) {
        if shared.start.borrow().is_complete() {
            return;
        }
        sleep(STARTUP_RANK_CHECK_INTERVAL_MS.into()).await;
    }
    let kinds = shared.codec.kinds();
    let (evacuations, config, upstreams) = tokio::join!(
        store.list_stale(&kinds.evacuations),
        store.list_stale(&kinds.config),
        store.list_stale(&kinds.upstreams)
    );
    shared.metrics.count_store_call("stale list", &evacuations);
    shared.metrics.count_store_call("stale list", &config);
    shared.metrics.count_store_call("stale list", &upstreams);
    match evacuations {
        Ok(List { objects, .. }) => {
            shared.world.borrow_mut().evacuations.apply_copy(evacuated_domains(&objects));
            shared.apply_evacuations("copy of the store");
            shared.evacuations_checked.set(true);
        }
        Err(error) => {
            tracing::info!(kind = kinds.evacuations, %error, "cannot read the copy of the store");
        }
    }
    match config {
        Ok(List { objects, .. }) => {
            let topic = Configuration::new(&shared);
            objects.iter().for_each(|o| topic.apply(o));
        }
        Err(error) => {
            tracing::info!(kind = kinds.config, %error, "cannot read the copy of the store");
        }
    }
    match upstreams {
        Ok(List { objects, .. }) => apply_upstreams(&shared, &objects),
        Err(error) => {
            tracing::info!(kind = kinds.upstreams, %error, "cannot read the copy of the store");
        }
    }
}

/// Applies upstreams that may be out of date, unless a better list is known. They are not passed
/// on: other VMs receive only what the store itself returned.
fn apply_upstreams(shared: &Shared, objects: &[Object]) {
    if shared.world.borrow().upstreams.version() > 0 {
        return;
    }
    let decode = |o: &Object| shared.codec.decode_upstream(&o.name, &o.value).ok();
    let entries: Vec<Entry> = objects.iter().filter_map(decode).collect();
    tracing::info!(
        upstreams = entries.len(),
        of = objects.len(),
        "upstreams read from a copy of the store"
    );
    let known = !entries.is_empty();
    let mut core = shared.core.borrow_mut();
    shared.world.borrow_mut().upstreams.apply_copy(shared.now(), entries, &mut core.fleet);
    if known {
        shared.upstreams_known.set(true);
        shared.upstreams_stale.set(true);
    }
}
