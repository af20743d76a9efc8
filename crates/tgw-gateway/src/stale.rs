use crate::{
    shared::Shared,
    watch::{Configuration, evacuations::named},
};
use std::rc::Rc;
use tgw_forward::upstream::Entry;
use tgw_platform::{Object, Store, object::List};
use tgw_spread::follow::LOOK_NEW;
use tokio::time::sleep;

/// Reads a copy of the store where nobody tells this VM the state at its start: it serves by that until it is
/// told, or reads the store itself.
pub(crate) async fn run(shared: Rc<Shared>, store: Rc<dyn Store>) {
    while !shared.start.borrow_mut().reads_copy(shared.now()) {
        if shared.start.borrow().is_over() {
            return;
        }
        sleep(LOOK_NEW.into()).await;
    }
    let kinds = shared.dialect.kinds();
    let (evacuations, config, upstreams) = tokio::join!(
        store.list_stale(&kinds.evacuations),
        store.list_stale(&kinds.config),
        store.list_stale(&kinds.upstreams)
    );
    shared.meters.store("stale list", &evacuations);
    shared.meters.store("stale list", &config);
    shared.meters.store("stale list", &upstreams);
    match evacuations {
        Ok(List { objects, .. }) => {
            shared.world.borrow_mut().evacuations.copied(named(&objects));
            shared.evacuate("copy of the store");
            shared.evacuations_asked.set(true);
        }
        Err(error) => {
            tracing::info!(kind = kinds.evacuations, %error, "copy of the store not read");
        }
    }
    match config {
        Ok(List { objects, .. }) => {
            let topic = Configuration::new(&shared);
            objects.iter().for_each(|o| topic.take(o));
        }
        Err(error) => tracing::info!(kind = kinds.config, %error, "copy of the store not read"),
    }
    match upstreams {
        Ok(List { objects, .. }) => take(&shared, &objects),
        Err(error) => tracing::info!(kind = kinds.upstreams, %error, "copy of the store not read"),
    }
}

/// Takes over upstreams that may be out of date, unless something better is known. Nothing is claimed of them:
/// other VMs are told what the store says, not what a copy of it said.
fn take(shared: &Shared, objects: &[Object]) {
    if shared.world.borrow().upstreams.version() > 0 {
        return;
    }
    let read = |o: &Object| shared.dialect.upstream(&o.name, &o.value).ok();
    let entries: Vec<Entry> = objects.iter().filter_map(read).collect();
    tracing::info!(
        upstreams = entries.len(),
        of = objects.len(),
        "upstreams read from a copy of the store"
    );
    let known = !entries.is_empty();
    let mut core = shared.core.borrow_mut();
    shared.world.borrow_mut().upstreams.copied(shared.now(), entries, &mut core.fleet);
    if known {
        shared.listed.set(true);
        shared.stale.set(true);
    }
}
