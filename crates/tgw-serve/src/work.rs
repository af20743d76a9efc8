use crate::{log::Line, status::Status};
use bytes::Bytes;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use tgw_clock::Millis;
use tgw_dispatch::{
    Leaf,
    leaf::{Failure, HeldSnapshots, Reply},
};
use tgw_member::Force;
use tgw_node::Message;
use tgw_owner::Directory;
use tgw_query::{Answer, answer::Refusal};
use tgw_table::Document;
use tgw_topology::{Catalog, Upstream, Vm, place::Domain};
use tokio::sync::oneshot;

/// What a caller is told.
#[derive(Debug)]
pub(crate) enum Said {
    Answer(Answer),
    Refusal(Refusal),
    Ordered(tgw_order::Outcome),
    /// The caller's key is refused.
    BadKey(tgw_order::key::Error),
}

/// A caller's search on its way to the core.
#[derive(Debug)]
pub(crate) struct Search {
    pub(crate) service: String,
    pub(crate) within: Option<Millis>,
    pub(crate) label: Option<String>,
    pub(crate) body: Bytes,
    pub(crate) reply: oneshot::Sender<Said>,
}

/// A caller's order on its way to the core.
#[derive(Debug)]
pub(crate) struct Order {
    pub(crate) service: String,
    pub(crate) key: String,
    /// Unix seconds by this machine's clock.
    pub(crate) now_s: u64,
    pub(crate) within: Option<Millis>,
    pub(crate) body: Bytes,
    pub(crate) reply: oneshot::Sender<Said>,
}

/// What the core's thread is told.
#[derive(Debug)]
pub(crate) enum Work {
    Search(Search),
    Order(Order),
    Store(tgw_order::Event),
    Messages(Vm, Vec<Message>),
    Lost(Vm),
    Done { ticket: u64, result: Result<Reply, Failure>, held: Option<HeldSnapshots> },
    Held(Upstream, HeldSnapshots),
    Leaving(Upstream),
    Restarted(Upstream),
    Catalog(Arc<Catalog>),
    Table(Arc<Document>),
    Directory(Arc<Directory>),
    Forces(BTreeMap<Domain, Force>),
    Paused(Millis),
    Drain,
    Inspect(oneshot::Sender<Status>),
    Explain(String, oneshot::Sender<Vec<Line>>),
}

/// What the upstreams' thread is told.
#[derive(Debug)]
pub(crate) enum Errand {
    Send { ticket: u64, upstream: Upstream, leaf: Leaf },
    Abort { ticket: u64, upstream: Upstream },
    Connect { upstream: Upstream, addr: SocketAddr, slots: u16 },
    Disconnect(Upstream),
}

/// What the configuration thread is told.
#[derive(Debug)]
pub(crate) enum Notice {
    /// A VM has a newer table or catalog.
    Newer(Vm),
    /// A VM asks for what changed after these versions.
    Asked { from: Vm, edit: u64, world: u64 },
    /// What changed in the table, from a VM.
    Table(tgw_table::document::Delta),
    /// What changed in the catalog, from a VM.
    World { version: u64, parts: Vec<tgw_topology::catalog::Part> },
    /// A call of the store for the clerk.
    Store(tgw_order::Action),
    /// Whether this VM watches the platform for its domain.
    Relay(bool),
}
