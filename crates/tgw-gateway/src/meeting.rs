use crate::{peers::Peers, shared::Shared};
use serde_json::json;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tgw_platform::{Error, Expect, Store};
use tokio::time::sleep;

/// Time after the start in which the settings' seeds may answer.
const SEEDS: Duration = Duration::from_millis(3_000);
/// Time between two tries of a VM that is alone.
const RETRY: Duration = Duration::from_millis(5_000);
/// Time between looks of one that is not.
const LOOK: Duration = Duration::from_millis(15_000);
/// The field of the address in a VM's object.
const ADDRESS: &str = "address";

/// Finds peers through the store where the settings' seeds are all gone: relays leave their address
/// there, and a VM that stays alone reads them.
pub(crate) async fn run(shared: Rc<Shared>, store: Rc<dyn Store>, peers: Rc<Peers>) {
    let mut left = false;
    sleep(SEEDS).await;
    loop {
        let relay = *shared.relay.borrow() == Some(true);
        if relay && !left {
            left = done("address not left", &leave(&shared, &*store, &peers).await);
        }
        let alone = peers.alone();
        if alone {
            done("peers not looked up", &find(&shared, &*store, &peers).await);
        }
        sleep(if alone { RETRY } else { LOOK }).await;
    }
}

fn done(what: &str, result: &Result<(), Error>) -> bool {
    if let Err(error) = result {
        tracing::info!(%error, "{what}");
    }
    result.is_ok()
}

async fn leave(shared: &Shared, store: &dyn Store, peers: &Peers) -> Result<(), Error> {
    let (kind, name) = (&shared.dialect.kinds().vms, &shared.settings.vm);
    let value = json!({ ADDRESS: peers.addr().to_string() });
    let written = store.put(kind, name, Expect::Absent, &value).await;
    shared.meters.store("put", &written);
    match written {
        // An earlier process of this VM left it; the address is the machine's and the same.
        Ok(_) | Err(Error::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

async fn find(shared: &Shared, store: &dyn Store, peers: &Rc<Peers>) -> Result<(), Error> {
    let listed = store.list(&shared.dialect.kinds().vms).await;
    shared.meters.store("list", &listed);
    let addresses = listed?.objects.into_iter().filter_map(|o| {
        let addr: Option<SocketAddr> = o.value.get(ADDRESS)?.as_str()?.parse().ok();
        addr.filter(|a| *a != peers.addr())
    });
    let mut seeds = shared.settings.peer.seeds.clone();
    seeds.extend(addresses);
    peers.seeds(seeds);
    Ok(())
}
