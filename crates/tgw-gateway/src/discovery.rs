use crate::{
    peers::Peers,
    shared::Shared,
    watch::vms::{ADDRESS_KEY, address},
};
use serde_json::json;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tgw_platform::{Error, Object, Precondition, Store};
use tokio::time::sleep;

/// Time after the start from which a VM that knows no other one looks for addresses in a copy of the store.
const COPY_DELAY: Duration = Duration::from_millis(1_000);
/// Time after the start for the seeds of the settings to respond.
const SEED_RESPONSE_TIME: Duration = Duration::from_millis(3_000);
/// First interval between attempts by a VM that knows no other VM and was not answered by the store; doubles up to
/// [`MAX_RETRY_INTERVAL`].
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Longest such interval. Until the store answers, the VM admits next to nothing for tenants with a limit.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(2_000);
/// Interval between lookups by a VM that knows no other VM and cannot tell yet whether it is the only one.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between lookups by a VM that is the only one.
const ALONE_INTERVAL: Duration = Duration::from_millis(5_000);
/// Interval between checks by a VM that knows other VMs.
const CHECK_INTERVAL: Duration = Duration::from_millis(15_000);

/// Key of the number of the process in a VM's object.
const PROCESS_KEY: &str = "process";

/// Finds peers through the store if none of the seeds in the settings is alive: VMs that watch the store, and VMs
/// that know no other VM, publish their addresses there, and list those of the others.
pub(crate) async fn run(shared: Rc<Shared>, store: Rc<dyn Store>, peers: Rc<Peers>) {
    let mut relay = shared.relay.subscribe();
    let mut retry_interval = RETRY_INTERVAL;
    sleep(COPY_DELAY).await;
    if peers.is_alone() {
        let listed = store.list_stale(&shared.codec.kinds().vms).await;
        shared.metrics.count_store_call("stale list", &listed);
        match listed {
            Ok(list) => ask(&shared, &peers, &list.objects),
            Err(error) => tracing::info!(%error, "cannot look up peers in a copy of the store"),
        }
    }
    sleep(SEED_RESPONSE_TIME - COPY_DELAY).await;
    loop {
        let (is_relay, is_alone) = (*relay.borrow_and_update() == Some(true), peers.is_alone());
        if peers.lookup.borrow().has_to_publish(is_relay, is_alone) {
            let published = publish(&shared, &*store, &peers).await;
            log_error("cannot publish this VM's address in the store", published.as_ref().err());
            peers.lookup.borrow_mut().record_publication(published.is_ok());
        }
        if is_alone {
            let called_at = shared.now();
            let listed = look_up(&shared, &*store, &peers).await;
            log_error("cannot look up peers in the store", listed.as_ref().err());
            peers.lookup.borrow_mut().record_list(called_at, listed.is_ok());
        }
        let lookup = *peers.lookup.borrow();
        let interval = if lookup.has_failed() {
            let interval = retry_interval;
            retry_interval = MAX_RETRY_INTERVAL.min(interval * 2);
            interval
        } else {
            retry_interval = RETRY_INTERVAL;
            match (is_alone, lookup.is_alone()) {
                (false, _) => CHECK_INTERVAL,
                (true, false) => LOOKUP_INTERVAL,
                (true, true) => ALONE_INTERVAL,
            }
        };
        tokio::select! {
            () = sleep(interval) => {}
            // A VM that is added is to find the one that watches the store now. Cannot fail: the sender lives as long as
            // the process.
            _ = relay.changed() => {}
        }
    }
}

fn log_error(what: &str, error: Option<&Error>) {
    if let Some(error) = error {
        tracing::info!(%error, "{what}");
    }
}

/// Writes the address at which this VM listens for peers to the store, under the VM's name.
async fn publish(shared: &Shared, store: &dyn Store, peers: &Peers) -> Result<(), Error> {
    let (kind, name) = (&shared.codec.kinds().vms, &shared.settings.vm);
    // A write that changes nothing is not reported to those that watch, and an earlier process of this VM may have
    // published the same address.
    let value = json!({ ADDRESS_KEY: peers.addr().to_string(), PROCESS_KEY: peers.incarnation() });
    let put = async |precondition| {
        let written = store.put(kind, name, precondition, &value).await;
        shared.metrics.count_store_call("put", &written);
        written
    };
    let written = match put(Precondition::Absent).await {
        Err(Error::Conflict { current }) => put(Precondition::Version(current)).await,
        written => written,
    };
    written.map(drop)
}

/// Asks the VMs whose addresses are in the store.
async fn look_up(shared: &Shared, store: &dyn Store, peers: &Rc<Peers>) -> Result<(), Error> {
    let listed = store.list(&shared.codec.kinds().vms).await;
    shared.metrics.count_store_call("list", &listed);
    ask(shared, peers, &listed?.objects);
    Ok(())
}

fn ask(shared: &Shared, peers: &Rc<Peers>, objects: &[Object]) {
    let others = objects.iter().filter_map(address).filter(|a| *a != peers.addr());
    let seeds: Vec<SocketAddr> = shared.settings.peer.seeds.iter().copied().chain(others).collect();
    peers.add_seeds(seeds);
}
