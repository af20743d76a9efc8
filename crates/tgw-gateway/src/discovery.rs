use crate::{peers::Peers, shared::Shared};
use serde_json::json;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tgw_platform::{Error, Precondition, Store};
use tokio::time::sleep;

/// Time after the start for the seeds of the settings to respond.
const SEED_RESPONSE_TIME: Duration = Duration::from_millis(3_000);
/// Interval between lookups by a VM that knows no other VM.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(5_000);
/// Interval between checks by a VM that knows other VMs.
const CHECK_INTERVAL: Duration = Duration::from_millis(15_000);
/// Key of the address in a VM's object.
const ADDRESS_KEY: &str = "address";

/// Finds peers through the store if none of the seeds in the settings is alive: relays publish
/// their addresses there, and a VM that knows no other VM reads them.
pub(crate) async fn run(shared: Rc<Shared>, store: Rc<dyn Store>, peers: Rc<Peers>) {
    let mut published = false;
    sleep(SEED_RESPONSE_TIME).await;
    loop {
        let relay = *shared.relay.borrow() == Some(true);
        if relay && !published {
            published = log_error(
                "cannot publish this VM's address in the store",
                &publish(&shared, &*store, &peers).await,
            );
        }
        let alone = peers.is_alone();
        if alone {
            log_error(
                "cannot look up peers in the store",
                &look_up(&shared, &*store, &peers).await,
            );
        }
        sleep(if alone { LOOKUP_INTERVAL } else { CHECK_INTERVAL }).await;
    }
}

fn log_error(what: &str, result: &Result<(), Error>) -> bool {
    if let Err(error) = result {
        tracing::info!(%error, "{what}");
    }
    result.is_ok()
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

async fn look_up(shared: &Shared, store: &dyn Store, peers: &Rc<Peers>) -> Result<(), Error> {
    let listed = store.list(&shared.codec.kinds().vms).await;
    shared.metrics.count_store_call("list", &listed);
    let addresses = listed?.objects.into_iter().filter_map(|o| {
        let addr: Option<SocketAddr> = o.value.get(ADDRESS_KEY)?.as_str()?.parse().ok();
        addr.filter(|a| *a != peers.addr())
    });
    let mut seeds = shared.settings.peer.seeds.clone();
    seeds.extend(addresses);
    peers.add_seeds(seeds);
    Ok(())
}
