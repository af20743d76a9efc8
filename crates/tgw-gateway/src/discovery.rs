use crate::{peers::Peers, shared::Shared};
use serde_json::json;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tgw_platform::{Error, Precondition, Store};
use tokio::time::sleep;

/// Time after the start for the seeds of the settings to respond.
const SEED_RESPONSE_TIME: Duration = Duration::from_millis(3_000);
/// First interval between attempts by a VM that knows no other VM and was not answered by the store; doubles up to
/// [`MAX_RETRY_INTERVAL`].
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Longest such interval. Until the store answers, the VM admits next to nothing for tenants with a limit.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(2_000);
/// Interval between lookups by a VM that knows no other VM.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(5_000);
/// Interval between checks by a VM that knows other VMs.
const CHECK_INTERVAL: Duration = Duration::from_millis(15_000);
/// Key of the address in a VM's object.
const ADDRESS_KEY: &str = "address";

/// Finds peers through the store if none of the seeds in the settings is alive: relays, and VMs that
/// know no other VM, publish their addresses there, and list those of the others.
pub(crate) async fn run(shared: Rc<Shared>, store: Rc<dyn Store>, peers: Rc<Peers>) {
    let mut retry_interval = RETRY_INTERVAL;
    sleep(SEED_RESPONSE_TIME).await;
    loop {
        let (is_relay, is_alone) = (*shared.relay.borrow() == Some(true), peers.is_alone());
        if peers.lookup.borrow().has_to_publish(is_relay, is_alone) {
            let published = publish(&shared, &*store, &peers).await;
            log_error("cannot publish this VM's address in the store", published.as_ref().err());
            peers.lookup.borrow_mut().record_publication(published.is_ok());
        }
        if peers.lookup.borrow().has_to_list(is_alone) {
            let listed = look_up(&shared, &*store, &peers).await;
            log_error("cannot look up peers in the store", listed.as_ref().err());
            peers.lookup.borrow_mut().record_list(shared.now(), listed.ok());
        }
        let interval = if !is_alone {
            CHECK_INTERVAL
        } else if peers.lookup.borrow().has_failed() {
            let interval = retry_interval;
            retry_interval = MAX_RETRY_INTERVAL.min(interval * 2);
            interval
        } else {
            retry_interval = RETRY_INTERVAL;
            LOOKUP_INTERVAL
        };
        sleep(interval).await;
    }
}

fn log_error(what: &str, error: Option<&Error>) {
    if let Some(error) = error {
        tracing::info!(%error, "{what}");
    }
}

/// Writes the address at which this VM listens for peers to the store, under the VM's name. An object
/// that is already there stays as it is and counts as success.
async fn publish(shared: &Shared, store: &dyn Store, peers: &Peers) -> Result<(), Error> {
    let (kind, name) = (&shared.codec.kinds().vms, &shared.settings.vm);
    let value = json!({ ADDRESS_KEY: peers.addr().to_string() });
    let written = store.put(kind, name, Precondition::Absent, &value).await;
    shared.metrics.count_store_call("put", &written);
    match written {
        // An earlier process of this VM published the address; it belongs to the machine and has
        // not changed.
        Ok(_) | Err(Error::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Asks the VMs whose addresses are in the store; returns their number.
async fn look_up(shared: &Shared, store: &dyn Store, peers: &Rc<Peers>) -> Result<usize, Error> {
    let listed = store.list(&shared.codec.kinds().vms).await;
    shared.metrics.count_store_call("list", &listed);
    let addresses = listed?.objects.into_iter().filter_map(|o| {
        let addr: Option<SocketAddr> = o.value.get(ADDRESS_KEY)?.as_str()?.parse().ok();
        addr.filter(|a| *a != peers.addr())
    });
    let addresses: Vec<SocketAddr> = addresses.collect();
    let others = addresses.len();
    let mut seeds = shared.settings.peer.seeds.clone();
    seeds.extend(addresses);
    peers.add_seeds(seeds);
    Ok(others)
}
