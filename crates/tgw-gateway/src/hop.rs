use crate::{
    exchange::{self, ActiveSend, OutgoingRequest},
    headers::EndToEnd,
    packets::MAX_PACKET_BYTES,
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
    merge::PartLimits,
    plan::{Response, SendResult},
    upstream::SendOutcome,
};
use tgw_quarantine::Fingerprint;
use tgw_spread::{
    hop::{Outcome, Reply, Request},
    message::Datagram,
};
use tgw_tenant::Principal;
use tokio::{sync::oneshot, task::AbortHandle};

/// Most sends made for other VMs at once. At 40 ms each this is 1,600 a second, a tenth of a core.
/// Where only one VM is near the upstreams that all other VMs need, the others connect directly
/// beyond this limit.
const MAX_HOSTED_SENDS: usize = 64;
/// Time for which a VM that reported its limit of hosted sends is not asked again: about the
/// duration of a send.
const FULL_BACKOFF_MS: Millis = Millis::new(50);
/// Most bytes of a packet besides the content of a request or reply.
const PACKET_OVERHEAD_BYTES: usize = 512;
/// Time without an answer after which a VM counts as unresponsive: longer than the longest round
/// trip (40 ms) plus a pause of an upstream (200 ms).
const UNRESPONSIVE_TIMEOUT_MS: Millis = Millis::new(300);
/// Time for which an unresponsive VM is not asked again: until membership has detected its failure.
const UNRESPONSIVE_BACKOFF_MS: Millis = Millis::new(3_000);

/// Sends that other VMs make for this one, and that this VM makes for others.
pub(crate) struct Hops {
    next_number: Cell<u64>,
    /// Sends that other VMs make for this one: the VM asked and the receiver of the outcome, by
    /// number.
    pending: RefCell<HashMap<u64, (SocketAddr, oneshot::Sender<Outcome>)>>,
    hosted: RefCell<HashMap<(SocketAddr, u64), AbortHandle>>,
    /// Live VMs of other regions, by failure domain and by region.
    hosts: RefCell<Hosts>,
    backoffs: RefCell<HashMap<SocketAddr, Millis>>,
}

/// Addresses of VMs of other regions.
#[derive(Default)]
pub(crate) struct Hosts {
    /// Addresses by failure domain.
    pub(crate) domains: BTreeMap<String, Vec<SocketAddr>>,
    /// Addresses by region.
    pub(crate) regions: BTreeMap<String, Vec<SocketAddr>>,
}

impl Hosts {
    /// Leaves out VMs for which `is_preferred` does not hold, where there are others.
    pub(crate) fn prefer(&mut self, is_preferred: impl Fn(&SocketAddr) -> bool) {
        for list in self.domains.values_mut().chain(self.regions.values_mut()) {
            if list.iter().any(&is_preferred) {
                list.retain(&is_preferred);
            }
        }
    }
}

impl Default for Hops {
    fn default() -> Self {
        Self {
            // Starts at a random number: the reply to a send requested by an earlier process of
            // this VM may still be on its way, and would be taken for the reply to another request
            // if both counted from one.
            next_number: Cell::new(rand::random()),
            pending: RefCell::default(),
            hosted: RefCell::default(),
            hosts: RefCell::default(),
            backoffs: RefCell::default(),
        }
    }
}

impl Hops {
    /// The number of sends in progress for other VMs.
    pub(crate) fn hosted(&self) -> usize {
        self.hosted.borrow().len()
    }

    pub(crate) fn set_hosts(&self, hosts: Hosts) {
        self.hosts.replace(hosts);
    }

    /// Picks a VM to send to a failure domain: one of that domain, or else one of the same region.
    fn choose_host(&self, now: Millis, domain: &str, place: &Place) -> Option<SocketAddr> {
        let hosts = self.hosts.borrow();
        let backoffs = self.backoffs.borrow();
        let choose = |list: Option<&Vec<SocketAddr>>| {
            let usable = |a: &&SocketAddr| backoffs.get(a).is_none_or(|until| now >= *until);
            let list: Vec<SocketAddr> = list?.iter().filter(usable).copied().collect();
            list.choose(&mut rand::rng()).copied()
        };
        let region = place.regions.get(domain);
        choose(hosts.domains.get(domain)).or_else(|| choose(hosts.regions.get(region?)))
    }

    /// Takes the outcome of a send that the VM at `from` made for this one.
    pub(crate) fn ended(&self, from: SocketAddr, reply: Reply) {
        let mut pending = self.pending.borrow_mut();
        if pending.get(&reply.number).is_none_or(|(host, _)| *host != from) {
            return;
        }
        if let Some((_, sender)) = pending.remove(&reply.number) {
            // The waiting task may just have been dropped.
            let _ = sender.send(reply.outcome);
        }
    }

    /// Cancels a send that the VM at `from` requested and no longer waits for.
    pub(crate) fn cancel(&self, from: SocketAddr, number: u64) {
        if let Some(task) = self.hosted.borrow_mut().remove(&(from, number)) {
            task.abort();
        }
    }

    /// Removes expired backoffs of VMs.
    pub(crate) fn sweep(&self, now: Millis) {
        self.backoffs.borrow_mut().retain(|_, until| now < *until);
    }
}

/// A send requested from another VM. Dropping it before the outcome arrives cancels the send there.
struct PendingSend<'a> {
    shared: &'a Shared,
    host: SocketAddr,
    number: u64,
    sent_at: Millis,
}

impl Drop for PendingSend<'_> {
    fn drop(&mut self) {
        let hops = &self.shared.hops;
        if hops.pending.borrow_mut().remove(&self.number).is_none() {
            return;
        }
        // Without the cancellation the upstream would keep working on a reply that no task is
        // waiting for.
        self.shared.packets.send(self.host, &Datagram::HopCancelled(self.number));
        let now = self.shared.now();
        // A VM that has just died still counts as live for seconds, and every send requested from
        // it would be late.
        if now - self.sent_at >= UNRESPONSIVE_TIMEOUT_MS {
            hops.backoffs.borrow_mut().insert(self.host, now + UNRESPONSIVE_BACKOFF_MS);
        }
    }
}

/// Asks a VM near the upstream to make the send.
pub(crate) async fn send_via_peer(send: &ActiveSend) -> (SendOutcome, SendResult) {
    let ActiveSend { shared, request, entry, .. } = send;
    let now = shared.now();
    let place = &shared.settings.place;
    let lease_holder =
        shared.core.borrow().fleet.lease_holder(now, send.ticket.upstream).map(|s| s.addr);
    let host = lease_holder.or_else(|| shared.hops.choose_host(now, &entry.domain, place));
    let Some((host, message)) = host.zip(pack(send)) else {
        return send_without_host(send).await;
    };
    let number = message.number;
    let (sender, answer) = oneshot::channel();
    shared.hops.pending.borrow_mut().insert(number, (host, sender));
    let _pending = PendingSend { shared, host, number, sent_at: now };
    shared.packets.send(host, &Datagram::Hop(Box::new(message)));
    // The sender stays in the table until it is used.
    let Ok(outcome) = answer.await else {
        return (SendOutcome::Abandoned, SendResult::NotConnected);
    };
    tracing::debug!(request = ?request.identity, %host, "peer made the send");
    if outcome == Outcome::AtCapacity {
        shared.hops.backoffs.borrow_mut().insert(host, shared.now() + FULL_BACKOFF_MS);
        return send_without_host(send).await;
    }
    outcome_of(outcome)
}

/// Sends on a connection of this VM because no other VM can make the send; reports the upstream as
/// busy instead if this VM's retry budget is used up.
async fn send_without_host(send: &ActiveSend) -> (SendOutcome, SendResult) {
    if send.host_charged {
        (SendOutcome::PeerRefused, SendResult::PeerRefused)
    } else {
        exchange::send_directly(send).await
    }
}

/// Encodes the request for a packet; `None` if it does not fit into one.
fn pack(send: &ActiveSend) -> Option<Request> {
    let ActiveSend { shared, request, entry, .. } = send;
    let (headers, uri) = pack_head(shared, request)?;
    let number = shared.hops.next_number.get().wrapping_add(1);
    shared.hops.next_number.set(number);
    Some(Request {
        number,
        upstream: entry.id.clone(),
        started: entry.started,
        fallback: send.fallback,
        lent: send.host_charged,
        limit: send.part_limits.map_or(0, |part_limits| part_limits.limit as u64),
        min_record: send.part_limits.and_then(|part_limits| part_limits.floor),
        time_left_ms: (request.deadline - shared.now()).as_whole_ms(),
        method: request.method.to_string(),
        uri,
        headers,
        body: request.body.to_vec(),
        fingerprint: request.fingerprint,
        rounds: send.seen,
        principal: request.principal.clone(),
    })
}

/// Headers of a request as they are sent to other VMs, with their names.
type PackedHeaders = Vec<(String, Vec<u8>)>;

/// The headers and the path of a request for a packet; `None` if they and the body do not fit into one.
pub(crate) fn pack_head(
    shared: &Shared,
    request: &OutgoingRequest,
) -> Option<(PackedHeaders, String)> {
    let head = request.head(shared.codec.headers()).ok()?;
    let headers: PackedHeaders =
        head.iter().map(|(n, v)| (n.to_string(), v.as_bytes().to_vec())).collect();
    let uri = request.uri.to_string();
    let size: usize = headers.iter().map(|(n, v)| n.len() + v.len()).sum();
    let fits = size + uri.len() + request.body.len() + PACKET_OVERHEAD_BYTES <= MAX_PACKET_BYTES;
    fits.then_some((headers, uri))
}

fn outcome_of(outcome: Outcome) -> (SendOutcome, SendResult) {
    match outcome {
        Outcome::Answered { status, signature, load, body } => {
            let Ok(status) = StatusCode::from_u16(status) else {
                return (SendOutcome::Broken, SendResult::Broken);
            };
            let signature = signature.and_then(|s| HeaderValue::from_bytes(&s).ok());
            let (headers, body) = (HeaderMap::new(), Bytes::from(body));
            exchange::classify_reply(Response { status, headers, signature, load, body })
        }
        Outcome::Busy | Outcome::AtCapacity => (SendOutcome::PeerRefused, SendResult::PeerRefused),
        Outcome::NotConnected => (SendOutcome::Unreachable, SendResult::NotConnected),
        Outcome::Declined => (SendOutcome::Shed, SendResult::Declined),
        Outcome::Broken => (SendOutcome::Broken, SendResult::Broken),
        Outcome::Terminated => (SendOutcome::Broken, SendResult::Terminated),
        Outcome::TimedOut => (SendOutcome::TimedOut, SendResult::TimedOut),
    }
}

/// Makes a send for the VM at `from` and reports the outcome to it.
pub(crate) fn accept(shared: &Rc<Shared>, from: SocketAddr, request: Request) {
    let number = request.number;
    let key = (from, number);
    let hosted = shared.hops.hosted.borrow().len();
    if hosted >= MAX_HOSTED_SENDS || shared.hops.hosted.borrow().contains_key(&key) {
        return send_reply(shared, from, number, Outcome::AtCapacity);
    }
    let task = tokio::task::spawn_local({
        let shared = shared.clone();
        async move {
            let outcome = make_send(&shared, request).await;
            shared.hops.hosted.borrow_mut().remove(&key);
            send_reply(&shared, from, number, outcome);
        }
    });
    shared.hops.hosted.borrow_mut().insert(key, task.abort_handle());
}

fn send_reply(shared: &Shared, to: SocketAddr, number: u64, outcome: Outcome) {
    shared.packets.send(to, &Datagram::HopEnded(Box::new(Reply { number, outcome })));
}

async fn make_send(shared: &Rc<Shared>, request: Request) -> Outcome {
    let limit = usize::try_from(request.limit).unwrap_or(usize::MAX);
    let part_limits = (limit > 0).then_some(PartLimits { limit, floor: request.min_record });
    let Request { started, fallback, lent: host_charged, rounds, .. } = request;
    let upstream = request.upstream.clone();
    let Some(outgoing) = unpack(shared, request) else { return Outcome::NotConnected };
    let route = outgoing.route.as_deref();
    let requested =
        hosting::Request { upstream: &upstream, started, fallback, lent: host_charged, route };
    let hosted = shared.core.borrow_mut().host(shared.now(), requested);
    let ticket = match hosted {
        Ok(ticket) => ticket,
        Err(Refusal::Unknown) => return Outcome::NotConnected,
        Err(Refusal::Busy) => return Outcome::Busy,
    };
    let service = if host_charged { service_of(shared, &upstream) } else { None };
    let (hop, fallback) = (Hop::Direct, true);
    let options = exchange::Options {
        ticket,
        hop,
        fallback,
        host_charged: false,
        part_limits: None,
        seen: rounds,
    };
    match exchange::run(shared.clone(), options, Rc::new(outgoing)).await {
        SendResult::Answered(response) => reply_outcome(*response, part_limits),
        SendResult::Declined => Outcome::Declined,
        result @ (SendResult::NotConnected | SendResult::PeerRefused) => {
            // A send that reached no upstream does not use the retry budget.
            if let Some(service) = &service {
                shared.core.borrow_mut().refund(service);
            }
            if matches!(result, SendResult::PeerRefused) {
                Outcome::Busy
            } else {
                Outcome::NotConnected
            }
        }
        SendResult::Broken => Outcome::Broken,
        SendResult::Terminated => Outcome::Terminated,
        SendResult::TimedOut => Outcome::TimedOut,
    }
}

fn reply_outcome(response: Response, part_limits: Option<PartLimits>) -> Outcome {
    // The body of a failure is not a list of records.
    let body = match part_limits.filter(|_| response.is_signed_success()) {
        Some(part_limits) => part_limits.apply(&response.body),
        None => response.body.to_vec(),
    };
    if body.len() + PACKET_OVERHEAD_BYTES > MAX_PACKET_BYTES {
        return Outcome::Broken;
    }
    Outcome::Answered {
        status: response.status.as_u16(),
        signature: response.signature.map(|s| s.as_bytes().to_vec()),
        load: response.load,
        body,
    }
}

fn service_of(shared: &Shared, upstream: &str) -> Option<Rc<str>> {
    let core = shared.core.borrow();
    let known = core.fleet.key(upstream).and_then(|key| core.fleet.get(key));
    known.map(|u| u.entry.service.clone())
}

fn unpack(shared: &Shared, request: Request) -> Option<OutgoingRequest> {
    let deadline = shared.now() + Millis::new(request.time_left_ms);
    let head = Head { method: request.method, uri: request.uri, headers: request.headers };
    let (fingerprint, principal) = (request.fingerprint, request.principal);
    let outgoing = unpack_head(shared, head, request.body, fingerprint, principal)?;
    Some(OutgoingRequest { deadline, ..outgoing })
}

/// The head of a request that another VM sent.
pub(crate) struct Head {
    pub(crate) method: String,
    pub(crate) uri: String,
    pub(crate) headers: Vec<(String, Vec<u8>)>,
}

/// Decodes the request as its caller sent it, without a deadline; `None` if it is malformed.
pub(crate) fn unpack_head(
    shared: &Shared,
    head: Head,
    body: Vec<u8>,
    fingerprint: Fingerprint,
    principal: Option<Principal>,
) -> Option<OutgoingRequest> {
    let mut headers = HeaderMap::new();
    for (name, value) in head.headers {
        headers.append(HeaderName::try_from(name).ok()?, HeaderValue::from_bytes(&value).ok()?);
    }
    let names = shared.codec.headers();
    let identity = headers.get(&names.request_id)?.clone();
    let uri: Uri = head.uri.parse().ok()?;
    let route = {
        let config = shared.config.borrow();
        let known = principal.as_ref().zip(config.tenants.as_ref());
        let tenant = known.and_then(|(p, tenants)| tenants.tenant(&p.tenant));
        let route = config.route(&uri, &headers).cloned();
        match tenant {
            Some(tenant) => route.map(|route| route.restricted_to(&tenant.residency)),
            None => route,
        }
    };
    Some(OutgoingRequest {
        method: head.method.parse().ok()?,
        uri,
        headers: EndToEnd::reduce(headers, names),
        body: body.into(),
        _memory: None,
        identity,
        fingerprint,
        route,
        principal,
        deadline: Millis::ZERO,
    })
}
