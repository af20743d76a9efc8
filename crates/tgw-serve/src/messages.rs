use crate::{log::Line, status::Status};
use bytes::Bytes;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use tgw_clock::Millis;
use tgw_dispatch::{
    Leaf,
    leaf::{Failure, HeldSnapshots, Reply},
};
use tgw_member::Rollout;
use tgw_node::Message;
use tgw_owner::Directory;
use tgw_query::{Answer, answer::Refusal};
use tgw_table::Document;
use tgw_topology::{Catalog, Upstream, Vm, place::Domain};
use tokio::sync::oneshot;

/// The result of a caller's request.
#[derive(Debug)]
pub(crate) enum Completion {
    Answer(Answer),
    Refusal(Refusal),
    Ordered(tgw_order::Outcome),
    /// The order's idempotency key was rejected.
    InvalidKey(tgw_order::key::Error),
}

/// A caller's search request, sent to the core.
#[derive(Debug)]
pub(crate) struct Search {
    pub(crate) service: String,
    pub(crate) timeout: Option<Millis>,
    pub(crate) label: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) reply: oneshot::Sender<Completion>,
}

/// A caller's order request, sent to the core.
#[derive(Debug)]
pub(crate) struct Order {
    pub(crate) service: String,
    pub(crate) key: String,
    /// Time of receipt in Unix seconds, by this machine's clock.
    pub(crate) now_s: u64,
    pub(crate) timeout: Option<Millis>,
    pub(crate) body: Bytes,
    pub(crate) reply: oneshot::Sender<Completion>,
}

/// A message to the thread that runs the core.
#[derive(Debug)]
pub(crate) enum CoreMessage {
    Search(Search),
    Order(Order),
    StoreReply(tgw_order::Event),
    Messages(Vm, Vec<Message>),
    Disconnected(Vm),
    SendEnded { send_id: u64, result: Result<Reply, Failure>, snapshots: Option<HeldSnapshots> },
    SnapshotsReported(Upstream, HeldSnapshots),
    Leaving(Upstream),
    Restarted(Upstream),
    Catalog(Arc<Catalog>),
    Table(Arc<Document>),
    Directory(Arc<Directory>),
    Rollouts(BTreeMap<Domain, Rollout>),
    Paused(Millis),
    Drain,
    Inspect(oneshot::Sender<Status>),
    Explain(String, oneshot::Sender<Vec<Line>>),
}

/// A command for the upstreams worker.
#[derive(Debug)]
pub(crate) enum Command {
    Send { send_id: u64, upstream: Upstream, leaf: Leaf },
    Cancel { send_id: u64, upstream: Upstream },
    Connect { upstream: Upstream, addr: SocketAddr, max_concurrency: u16 },
    Disconnect(Upstream),
}

/// A message to the configuration worker.
#[derive(Debug)]
pub(crate) enum ConfigMessage {
    /// The VM has a newer table or catalog.
    PeerNewer(Vm),
    /// A VM requests the changes after these versions.
    UpdateRequest { from: Vm, edition: u64, catalog_version: u64 },
    /// Changes of the table, sent by a VM.
    TableUpdate(tgw_table::document::Delta),
    /// Changes of the catalog, sent by a VM.
    CatalogUpdate { version: u64, services: Vec<tgw_topology::catalog::ServiceUpdate> },
    /// A call to the platform's store that the claims worker requests.
    StoreCall(tgw_order::Action),
    /// Whether this VM watches the platform on behalf of its failure domain.
    WatchesPlatform(bool),
}
