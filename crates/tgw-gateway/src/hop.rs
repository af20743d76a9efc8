use crate::{
    exchange::{self, Outgoing, Sent},
    packets::PACKET,
    shared::Shared,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, Uri};
use rand::seq::IndexedRandom;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
};
use tgw_clock::Millis;
use tgw_forward::{
    fleet::{Hop, Place},
    hosting::{self, Refusal},
    merge::Cut,
    plan::{Ended, Response},
    upstream::Sign,
};
use tgw_spread::{
    hop::{Outcome, Reply, Request},
    message::Datagram,
};
use tokio::{sync::oneshot, task::AbortHandle};

/// Sends that are made for other VMs at once. At 40 ms each these are 1,600 a second, a tenth of a core.
/// Where one VM lives beside the upstreams that all others need, the others then connect on their own.
const HOSTED: usize = 64;
/// Time in ms for which a VM that had no room is not asked: about as long as a send runs.
const FULL: Millis = Millis::new(50);
/// What a packet holds besides a request's or a reply's own bytes, at most, in bytes.
const ROOM: usize = 512;
/// Time in ms without an answer after which a VM is asked no more for a while: above the longest way
/// there and back and a pause of an upstream (40 and 200 ms).
const SILENT: Millis = Millis::new(300);
/// Time in ms for which it is not asked: until membership has noticed that it is gone.
const SPARED: Millis = Millis::new(3_000);

/// Sends made by other VMs for this one, and by this one for others.
pub(crate) struct Hops {
    next: Cell<u64>,
    /// Who waits, by number, for which VM.
    waiting: RefCell<HashMap<u64, (SocketAddr, oneshot::Sender<Outcome>)>>,
    hosted: RefCell<HashMap<(SocketAddr, u64), AbortHandle>>,
    /// Live VMs of other regions: by failure domain, and by region.
    hosts: RefCell<Hosts>,
    spared: RefCell<HashMap<SocketAddr, Millis>>,
}

/// Where VMs of other regions are reached.
#[derive(Default)]
pub(crate) struct Hosts {
    /// By failure domain.
    pub(crate) domains: BTreeMap<String, Vec<SocketAddr>>,
    /// By region.
    pub(crate) regions: BTreeMap<String, Vec<SocketAddr>>,
}

impl Default for Hops {
    fn default() -> Self {
        Self {
            // The reply to a send that an earlier process of this VM asked for may still be on its way. If
            // both counted from one, it would be taken for the reply to another request.
            next: Cell::new(rand::random()),
            waiting: RefCell::default(),
            hosted: RefCell::default(),
            hosts: RefCell::default(),
            spared: RefCell::default(),
        }
    }
}

impl Hops {
    /// Sends that run for other VMs.
    pub(crate) fn hosted(&self) -> usize {
        self.hosted.borrow().len()
    }

    pub(crate) fn set_hosts(&self, hosts: Hosts) {
        self.hosts.replace(hosts);
    }

    /// A VM near to a failure domain, the domain's own before others of its region.
    fn host(&self, now: Millis, domain: &str, place: &Place) -> Option<SocketAddr> {
        let hosts = self.hosts.borrow();
        let spared = self.spared.borrow();
        let open = |list: Option<&Vec<SocketAddr>>| {
            let usable = |a: &&SocketAddr| spared.get(a).is_none_or(|until| now >= *until);
            let list: Vec<SocketAddr> = list?.iter().filter(usable).copied().collect();
            list.choose(&mut rand::rng()).copied()
        };
        let region = place.regions.get(domain);
        open(hosts.domains.get(domain)).or_else(|| open(hosts.regions.get(region?)))
    }

    /// A send that the VM at `from` was asked for has ended.
    pub(crate) fn ended(&self, from: SocketAddr, reply: Reply) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.get(&reply.number).is_none_or(|(host, _)| *host != from) {
            return;
        }
        if let Some((_, sender)) = waiting.remove(&reply.number) {
            // Its task may just have been dropped: then nobody waits.
            let _ = sender.send(reply.outcome);
        }
    }

    /// The VM at `from` waits no longer for a send that it asked for.
    pub(crate) fn cancel(&self, from: SocketAddr, number: u64) {
        if let Some(task) = self.hosted.borrow_mut().remove(&(from, number)) {
            task.abort();
        }
    }

    /// Forgets which VMs were silent long ago.
    pub(crate) fn sweep(&self, now: Millis) {
        self.spared.borrow_mut().retain(|_, until| now < *until);
    }
}

/// A send that another VM was asked to make. Dropped before its end, it tells that VM so.
struct Asked<'a> {
    shared: &'a Shared,
    host: SocketAddr,
    number: u64,
    since: Millis,
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        let hops = &self.shared.hops;
        if hops.waiting.borrow_mut().remove(&self.number).is_none() {
            return;
        }
        // The upstream would go on working on what nobody waits for.
        self.shared.packets.send(self.host, &Datagram::HopCancelled(self.number));
        let now = self.shared.now();
        // A VM that has just died still counts as live for seconds, and each send that it is asked for
        // would be late.
        if now - self.since >= SILENT {
            hops.spared.borrow_mut().insert(self.host, now + SPARED);
        }
    }
}

/// Asks a VM near to the upstream to make a send.
pub(crate) async fn ask(sent: &Sent) -> (Sign, Ended) {
    let Sent { shared, request, entry, .. } = sent;
    let now = shared.now();
    let place = &shared.settings.place;
    let holder = shared.core.borrow().fleet.through(now, sent.ticket.upstream).map(|s| s.addr);
    let host = holder.or_else(|| shared.hops.host(now, &entry.domain, place));
    let Some((host, message)) = host.zip(pack(sent)) else {
        return unhosted(sent).await;
    };
    let number = message.number;
    let (sender, answer) = oneshot::channel();
    shared.hops.waiting.borrow_mut().insert(number, (host, sender));
    let _asked = Asked { shared, host, number, since: now };
    shared.packets.send(host, &Datagram::Hop(Box::new(message)));
    // The sender stays in the table until it is used.
    let Ok(outcome) = answer.await else { return (Sign::Dropped, Ended::Unsent) };
    tracing::debug!(request = ?request.identity, %host, "a peer has sent");
    if outcome == Outcome::Full {
        shared.hops.spared.borrow_mut().insert(host, shared.now() + FULL);
        return unhosted(sent).await;
    }
    outcome_of(outcome)
}

/// Sends on a connection of this VM, as no other could be asked; not where its budget is used up.
async fn unhosted(sent: &Sent) -> (Sign, Ended) {
    if sent.lent { (Sign::Busy, Ended::Busy) } else { exchange::direct(sent).await }
}

/// The request as a packet carries it; `None` if it is too large for one.
fn pack(sent: &Sent) -> Option<Request> {
    let Sent { shared, request, entry, .. } = sent;
    let headers: Vec<(String, Vec<u8>)> =
        request.headers.iter().map(|(n, v)| (n.to_string(), v.as_bytes().to_vec())).collect();
    let uri = request.uri.to_string();
    let size: usize = headers.iter().map(|(n, v)| n.len() + v.len()).sum();
    if size + uri.len() + request.body.len() + ROOM > PACKET {
        return None;
    }
    let number = shared.hops.next.get().wrapping_add(1);
    shared.hops.next.set(number);
    Some(Request {
        number,
        upstream: entry.id.clone(),
        started: entry.started,
        insist: sent.insist,
        lent: sent.lent,
        limit: sent.cut.map_or(0, |cut| cut.limit as u64),
        floor: sent.cut.and_then(|cut| cut.floor),
        left: (request.deadline - shared.now()).whole(),
        method: request.method.to_string(),
        uri,
        headers,
        body: request.body.to_vec(),
        print: request.print,
        seen: sent.seen,
    })
}

fn outcome_of(outcome: Outcome) -> (Sign, Ended) {
    match outcome {
        Outcome::Answered { status, seal, load, body } => {
            let Ok(status) = StatusCode::from_u16(status) else {
                return (Sign::Broken, Ended::Broken);
            };
            let seal = seal.and_then(|s| HeaderValue::from_bytes(&s).ok());
            let (headers, body) = (HeaderMap::new(), Bytes::from(body));
            exchange::judge(Response { status, headers, seal, load, body })
        }
        Outcome::Busy | Outcome::Full => (Sign::Busy, Ended::Busy),
        Outcome::Unsent => (Sign::Unreachable, Ended::Unsent),
        Outcome::Declined => (Sign::Shed, Ended::Declined),
        Outcome::Broken => (Sign::Broken, Ended::Broken),
        Outcome::Gone => (Sign::Broken, Ended::Gone),
        Outcome::Silent => (Sign::Silent, Ended::Silent),
    }
}

/// Makes a send for the VM at `from`, and tells it how it ended.
pub(crate) fn host(shared: &Rc<Shared>, from: SocketAddr, request: Request) {
    let number = request.number;
    let key = (from, number);
    let hosted = shared.hops.hosted.borrow().len();
    if hosted >= HOSTED || shared.hops.hosted.borrow().contains_key(&key) {
        return reply(shared, from, number, Outcome::Full);
    }
    let task = tokio::task::spawn_local({
        let shared = shared.clone();
        async move {
            let outcome = serve(&shared, request).await;
            shared.hops.hosted.borrow_mut().remove(&key);
            reply(&shared, from, number, outcome);
        }
    });
    shared.hops.hosted.borrow_mut().insert(key, task.abort_handle());
}

fn reply(shared: &Shared, to: SocketAddr, number: u64, outcome: Outcome) {
    shared.packets.send(to, &Datagram::HopEnded(Box::new(Reply { number, outcome })));
}

async fn serve(shared: &Rc<Shared>, request: Request) -> Outcome {
    let limit = usize::try_from(request.limit).unwrap_or(usize::MAX);
    let cut = (limit > 0).then_some(Cut { limit, floor: request.floor });
    let Request { started, insist, lent, seen, .. } = request;
    let upstream = request.upstream.clone();
    let Some(outgoing) = unpack(shared, request) else { return Outcome::Unsent };
    let route = outgoing.route.as_deref();
    let asked = hosting::Request { upstream: &upstream, started, insist, lent, route };
    let hosted = shared.core.borrow_mut().host(shared.now(), asked);
    let ticket = match hosted {
        Ok(ticket) => ticket,
        Err(Refusal::Unknown) => return Outcome::Unsent,
        Err(Refusal::Busy) => return Outcome::Busy,
    };
    let service = if lent { service_of(shared, &upstream) } else { None };
    let (hop, insist) = (Hop::Direct, true);
    let way = exchange::Way { ticket, hop, insist, lent: false, cut: None, seen };
    match exchange::run(shared.clone(), way, Rc::new(outgoing)).await {
        Ended::Answered(response) => answered(*response, cut),
        Ended::Declined => Outcome::Declined,
        ended @ (Ended::Unsent | Ended::Busy) => {
            // What reached no upstream is no extra send.
            if let Some(service) = &service {
                shared.core.borrow_mut().refund(service);
            }
            if matches!(ended, Ended::Busy) { Outcome::Busy } else { Outcome::Unsent }
        }
        Ended::Broken => Outcome::Broken,
        Ended::Gone => Outcome::Gone,
        Ended::Silent => Outcome::Silent,
    }
}

fn answered(response: Response, cut: Option<Cut>) -> Outcome {
    // What a failure says is no list of records.
    let body = match cut.filter(|_| response.good()) {
        Some(cut) => cut.apply(&response.body),
        None => response.body.to_vec(),
    };
    if body.len() + ROOM > PACKET {
        return Outcome::Broken;
    }
    Outcome::Answered {
        status: response.status.as_u16(),
        seal: response.seal.map(|s| s.as_bytes().to_vec()),
        load: response.load,
        body,
    }
}

fn service_of(shared: &Shared, upstream: &str) -> Option<Rc<str>> {
    let core = shared.core.borrow();
    let known = core.fleet.key(upstream).and_then(|key| core.fleet.get(key));
    known.map(|u| u.entry.service.clone())
}

/// The request as its caller sent it; `None` if it is malformed.
fn unpack(shared: &Shared, request: Request) -> Option<Outgoing> {
    let mut headers = HeaderMap::new();
    for (name, value) in request.headers {
        headers.append(HeaderName::try_from(name).ok()?, HeaderValue::from_bytes(&value).ok()?);
    }
    let identity = headers.get(&shared.dialect.headers().request)?.clone();
    let uri: Uri = request.uri.parse().ok()?;
    let route = shared.config.borrow().route(&uri, &headers).cloned();
    Some(Outgoing {
        method: request.method.parse().ok()?,
        uri,
        headers,
        body: request.body.into(),
        _held: None,
        identity,
        print: request.print,
        route,
        deadline: shared.now() + Millis::new(request.left),
    })
}
