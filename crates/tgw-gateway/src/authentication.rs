use crate::{peers::Peers, shared::Shared};
use http::{HeaderMap, header};
use smallvec::SmallVec;
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};
use tgw_route::Route;
use tgw_spread::{
    Freshness,
    message::{Datagram, Versions},
    start::PeerState,
};
use tgw_tenant::{ApiKey, Principal, Tenant};
use tokio::{
    sync::Notify,
    time::{Instant, timeout},
};

/// VMs that are asked for the version of their configuration: the one that reads the store in this region, and
/// two of other regions, as that one may just have ended.
const ASKED_VMS: usize = 3;
/// Time allowed for their answers, and for the newer configuration that one of them may have.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a request that waits for an answer sees whether to ask again.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Why a request is not accepted.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Error {
    /// No tenant holds the key, or the request presents none.
    UnknownKey,
    /// This VM does not know the key, and cannot tell whether a newer configuration names it.
    Unverified,
}

/// Who a request is made for, with what its tenant's settings say.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) principal: Principal,
    pub(crate) tenant: Rc<Tenant>,
}

/// Questions to other VMs whether this VM's configuration is the newest.
#[derive(Debug, Default)]
pub(crate) struct NewestCheck {
    freshness: RefCell<Freshness>,
    /// Notified of each answer and each new configuration.
    changed: Notify,
    /// The VMs that read the store, that of this region first.
    store_readers: RefCell<SmallVec<[SocketAddr; 8]>>,
}

impl NewestCheck {
    pub(crate) fn config_changed(&self) {
        self.changed.notify_waiters();
    }

    pub(crate) fn set_store_readers(&self, readers: SmallVec<[SocketAddr; 8]>) {
        self.store_readers.replace(readers);
    }
}

/// Finds who a request is made for; `None` if it needs no API key. The key is removed from its headers.
///
/// A key that has just been added is not refused where another VM knows it: before it refuses a key, this VM
/// makes sure that its configuration is the newest.
pub(crate) async fn authenticate(
    shared: &Shared,
    route: &Route,
    headers: &mut HeaderMap,
) -> Result<Option<Identity>, Error> {
    let key = shared.codec.api_key(headers);
    let has_tenants = shared.config.borrow().tenants.is_some();
    if has_tenants || key.is_some() {
        headers.remove(header::AUTHORIZATION);
    }
    if !has_tenants || route.anonymous {
        return Ok(None);
    }
    let key = key.ok_or(Error::UnknownKey)?;
    let identity = match find(shared, key) {
        Some(identity) => identity,
        None => find_in_newest(shared, key).await?,
    };
    Ok(Some(identity))
}

fn find(shared: &Shared, key: ApiKey) -> Option<Identity> {
    let config = shared.config.borrow();
    let tenants = config.tenants.as_ref()?;
    let principal = tenants.principal(key)?;
    Some(Identity { principal, tenant: tenants.find(key)?.clone() })
}

async fn find_in_newest(shared: &Shared, key: ApiKey) -> Result<Identity, Error> {
    let arrived = shared.now();
    let deadline = Instant::now() + CHECK_TIMEOUT;
    loop {
        let changed = shared.newest_check.changed.notified();
        if let Some(identity) = find(shared, key) {
            return Ok(identity);
        }
        let is_newest = shared.newest_check.freshness.borrow().covers(arrived);
        if shared.store_reads.config.get() || is_newest {
            return Err(Error::UnknownKey);
        }
        if Instant::now() >= deadline {
            return Err(Error::Unverified);
        }
        ask_others(shared);
        // Whichever comes first: the answer, or the time to ask again.
        let _ = timeout(CHECK_INTERVAL, changed).await;
    }
}

/// Asks the VMs that read the store for their versions, if that is due.
fn ask_others(shared: &Shared) {
    let NewestCheck { freshness, store_readers, .. } = &shared.newest_check;
    if !freshness.borrow_mut().take_ask_due(shared.now()) {
        return;
    }
    for to in store_readers.borrow().iter().take(ASKED_VMS) {
        shared.packets.send(*to, &Datagram::VersionQuery);
    }
}

impl Peers {
    /// Takes another VM's answer to the question for its versions.
    pub(crate) fn on_version(self: &Rc<Self>, from: SocketAddr, state: PeerState) {
        let own = self.versions();
        if state.config > own.config {
            self.request_state(from, Versions { config: state.config, ..own });
        } else if state.reads_store {
            let check = &self.shared.newest_check;
            check.freshness.borrow_mut().confirm();
            check.changed.notify_waiters();
        }
    }
}
