use crate::{
    admission_progress::{Reason, Rejected},
    drive,
    exchange::OutgoingRequest,
    gather_load::GatherLoad,
    hop,
    packets::MAX_PACKET_BYTES,
    shared::{Phase, Shared},
    telemetry,
    waiting::Client,
};
use http::HeaderValue;
use smallvec::SmallVec;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tgw_clock::Millis;
use tgw_forward::{
    gather,
    plan::{Answer, Cause, Options},
};
use tgw_route::Target;
use tgw_spread::{
    gather::{Message, Outcome, Query},
    message::Datagram,
};
use tokio::{
    sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
    task::AbortHandle,
    time::timeout,
};

/// Time after which a query that was not accepted is made from here: longer than a round trip within a region and a
/// turn of a busy VM.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(40);
/// Interval at which a gatherer is asked whether a query still runs. One that leaves a question unanswered has ended or
/// is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a gatherer that did not accept a query is not asked: until membership has detected its failure.
const SILENCE_MS: Millis = Millis::new(2_000);
/// Most gatherers that are asked to make one query before its caller is rejected because they are full.
const MAX_GATHERERS_ASKED: usize = 2;
/// Positions over which the retries of rejected callers are spread, from one to three times the stated delay.
const RETRY_POSITIONS: u32 = 64;
/// Time for which the outcome of a query is kept: its packet may be lost, and is then asked for.
const OUTCOME_RETENTION_MS: Millis = Millis::new(1_000);
/// Time without a turn of this VM's timers after which the packets that it finds waiting are old: whoever sent them
/// has gone elsewhere.
const MAX_TICK_GAP_MS: Millis = Millis::new(140);
/// Most bytes of one signature in an answer, and of everything besides the parts.
const SIGNATURE_BYTES: usize = 48;
const OVERHEAD_BYTES: usize = 512;
const RECORD_BYTES: usize = 16;

/// Queries that other VMs gather for this one, and that this VM gathers for others.
pub(crate) struct Gathered {
    next_number: Cell<u64>,
    /// Queries of this VM: the gatherer and the receiver of its messages, by number.
    pending: RefCell<HashMap<u64, (SocketAddr, UnboundedSender<Message>)>>,
    running: RefCell<HashMap<(SocketAddr, u64), AbortHandle>>,
    ended: RefCell<HashMap<(SocketAddr, u64), (Millis, Outcome)>>,
    silent: RefCell<HashMap<SocketAddr, Millis>>,
    ticked_at: Cell<Millis>,
    load: RefCell<GatherLoad>,
}

impl Gathered {
    /// The state of a VM with `power` thousandths of a core.
    pub(crate) fn new(power: u32) -> Self {
        Self {
            // A late message for an earlier process of this VM must not be taken for one to this process.
            next_number: Cell::new(rand::random()),
            pending: RefCell::default(),
            running: RefCell::default(),
            ended: RefCell::default(),
            silent: RefCell::default(),
            ticked_at: Cell::default(),
            load: RefCell::new(GatherLoad::new(power)),
        }
    }

    /// The number of queries that this VM gathers for others, those that wait for admission included.
    pub(crate) fn held(&self) -> usize {
        self.running.borrow().len()
    }

    /// Periodic work, each 100 ms: forgets what is no longer asked for.
    pub(crate) fn tick(&self, now: Millis) {
        self.ticked_at.set(now);
        self.ended.borrow_mut().retain(|_, (at, _)| now - *at < OUTCOME_RETENTION_MS);
        self.silent.borrow_mut().retain(|_, until| now < *until);
        self.load.borrow_mut().tick();
    }
}

/// What a gatherer replied to a query.
enum Reply {
    /// It made the query.
    Ended(Outcome),
    /// It holds as many queries as it may; the caller may retry after this time.
    Full(Millis),
    /// It cannot make the query, and did not start it.
    Unable,
    /// None in time: it may have started the query.
    Missing,
}

/// A query that a gatherer was asked to make. Dropping it before the outcome arrives cancels the query there.
struct Pending<'a> {
    shared: &'a Shared,
    gatherer: SocketAddr,
    number: u64,
    messages: UnboundedReceiver<Message>,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if self.shared.gathered.pending.borrow_mut().remove(&self.number).is_some() {
            self.send(Message::Cancelled(self.number));
        }
    }
}

impl Pending<'_> {
    fn send(&self, message: Message) {
        self.shared.packets.send(self.gatherer, &Datagram::Gather(message));
    }

    /// Waits until the gatherer accepts the query, and then for its outcome.
    async fn reply(&mut self) -> Reply {
        match timeout(ACCEPT_TIMEOUT, self.messages.recv()).await {
            Ok(Some(Message::Ended(_, outcome))) => Reply::Ended(outcome),
            Ok(Some(Message::Accepted(_))) => Reply::Ended(self.outcome().await),
            Ok(Some(Message::Full(_, retry_after))) => Reply::Full(retry_after),
            Ok(_) => Reply::Unable,
            Err(_) => {
                let until = self.shared.now() + SILENCE_MS;
                self.shared.gathered.silent.borrow_mut().insert(self.gatherer, until);
                Reply::Missing
            }
        }
    }

    /// Waits for the outcome of an accepted query. If the gatherer ends, the query has failed: upstreams may have
    /// executed it, and sent by this VM as well it could exceed the route's attempts.
    async fn outcome(&mut self) -> Outcome {
        let mut is_probed = false;
        loop {
            match timeout(PROBE_INTERVAL, self.messages.recv()).await {
                Ok(Some(Message::Ended(_, outcome))) => return outcome,
                Ok(Some(Message::Accepted(_))) => is_probed = false,
                Ok(_) => return Outcome::Failed(Cause::UpstreamsFailed),
                Err(_) if is_probed => return Outcome::Failed(Cause::UpstreamsFailed),
                Err(_) => {
                    is_probed = true;
                    self.send(Message::Probe(self.number));
                }
            }
        }
    }
}

/// Hands a query over to a gatherer; `None` if this VM has to make it.
pub(crate) async fn hand_over(
    shared: &Rc<Shared>,
    request: &OutgoingRequest,
    options: &Options,
    arrived: Millis,
) -> Option<Answer> {
    let Target::Shards(shards) = &options.route.target else { return None };
    let answer_bytes = shards.services.len() * SIGNATURE_BYTES + shards.result_limit * RECORD_BYTES;
    let region = shared.settings.place.region(&shared.settings.place.domain);
    if answer_bytes + OVERHEAD_BYTES > MAX_PACKET_BYTES || !options.route.residency.allows(region) {
        return None;
    }
    let mut asked: SmallVec<[SocketAddr; MAX_GATHERERS_ASKED]> = SmallVec::new();
    let mut retry_after = None;
    while let Some(gatherer) = choose(shared, shards.services.len(), options, &asked) {
        let query = pack(shared, request, options, arrived)?;
        asked.push(gatherer);
        match ask(shared, gatherer, query).await {
            Reply::Ended(outcome) => {
                let answer = answer_of(outcome);
                let age = shared.now() - arrived;
                telemetry::request_gathered(shared, request, options, gatherer, age, &answer);
                return Some(answer);
            }
            // The caller must not be told that a query was not executed which a gatherer may have started.
            Reply::Missing => return None,
            // Where gatherers are full, VMs with a tenth of a core would not bear the queries either.
            Reply::Unable if retry_after.is_some() => break,
            Reply::Unable => return None,
            Reply::Full(after) => retry_after = retry_after.max(Some(after)),
        }
        let is_late = shared.now() + ACCEPT_TIMEOUT.into() > arrived + options.route.target_latency;
        if asked.len() == MAX_GATHERERS_ASKED || is_late {
            break;
        }
    }
    let retry_after = spread(retry_after?, options.retry_spread);
    let answer = Answer::Refused { retry_after, cause: Cause::Overload };
    let (gatherer, age) = (*asked.last()?, shared.now() - arrived);
    let rejected =
        Rejected { reason: Reason::GathererFull, retry_after: Some(retry_after), waited: None };
    shared.metrics.count_query_offered(options.priority);
    telemetry::query_rejected(shared, request, options, rejected);
    telemetry::request_gathered(shared, request, options, gatherer, age, &answer);
    Some(answer)
}

/// The gatherer to ask next; `None` if there is none besides those `asked` before.
fn choose(
    shared: &Shared,
    parts: usize,
    options: &Options,
    asked: &[SocketAddr],
) -> Option<SocketAddr> {
    let silent = shared.gathered.silent.borrow();
    let core = shared.core.borrow();
    let is_out = |addr: &SocketAddr| silent.contains_key(addr) || asked.contains(addr);
    core.gathering().choose(parts, options.retry_spread, is_out)
}

/// Asks a gatherer to make a query.
async fn ask(shared: &Shared, gatherer: SocketAddr, query: Query) -> Reply {
    let number = query.number;
    let (sender, messages) = mpsc::unbounded_channel();
    shared.gathered.pending.borrow_mut().insert(number, (gatherer, sender));
    let mut pending = Pending { shared, gatherer, number, messages };
    pending.send(Message::Query(Box::new(query)));
    let reply = pending.reply().await;
    if matches!(reply, Reply::Ended(_) | Reply::Full(_)) {
        shared.gathered.pending.borrow_mut().remove(&number);
    }
    reply
}

/// A delay of one to three times `retry_after`, so that callers rejected together do not return together.
fn spread(retry_after: Millis, position: u32) -> Millis {
    let position = f64::from(position % RETRY_POSITIONS) / f64::from(RETRY_POSITIONS);
    retry_after.mul_f64(1.0 + 2.0 * position)
}

/// Encodes a query for a packet; `None` if it does not fit into one.
fn pack(
    shared: &Shared,
    request: &OutgoingRequest,
    options: &Options,
    arrived: Millis,
) -> Option<Query> {
    let (headers, uri) = hop::pack_head(shared, request)?;
    let number = shared.gathered.next_number.get().wrapping_add(1);
    shared.gathered.next_number.set(number);
    Some(Query {
        number,
        age: shared.now() - arrived,
        delivery: shared.core.borrow().margin.delivery_time(options.new_connection),
        caller_timeout: options.caller_timeout,
        config: shared.config.borrow().version.unwrap_or_default(),
        method: request.method.to_string(),
        uri,
        headers,
        body: request.body.to_vec(),
        fingerprint: request.fingerprint,
        principal: request.principal.clone(),
    })
}

fn answer_of(outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Merged { signatures, missing, body } => {
            let signatures = signatures.iter().map(|s| HeaderValue::from_bytes(s));
            match signatures.collect() {
                Ok(signatures) => {
                    let missing = usize::try_from(missing).unwrap_or(usize::MAX);
                    Answer::Merged { signatures, missing, body: body.into() }
                }
                Err(_) => Answer::Failed(Cause::UpstreamsFailed),
            }
        }
        Outcome::Refused { retry_after, cause } => Answer::Refused { retry_after, cause },
        Outcome::Failed(cause) => Answer::Failed(cause),
        Outcome::TimedOut => Answer::TimedOut,
    }
}

fn outcome_of(answer: Answer) -> Outcome {
    match answer {
        Answer::Merged { signatures, missing, body } => Outcome::Merged {
            signatures: signatures.iter().map(|s| s.as_bytes().to_vec()).collect(),
            missing: u32::try_from(missing).unwrap_or(u32::MAX),
            body: body.to_vec(),
        },
        Answer::Refused { retry_after, cause } => Outcome::Refused { retry_after, cause },
        Answer::Failed(cause) => Outcome::Failed(cause),
        Answer::TimedOut => Outcome::TimedOut,
        // A query's answer is never the reply of one upstream.
        Answer::Forward(_) => Outcome::Failed(Cause::UpstreamsFailed),
    }
}

/// Handles a message of another VM.
pub(crate) fn on_message(shared: &Rc<Shared>, from: SocketAddr, message: Message) {
    match message {
        Message::Query(query) => accept(shared, from, *query),
        Message::Probe(number) => reply(shared, from, state_of(shared, from, number)),
        Message::Cancelled(number) => {
            if let Some(task) = shared.gathered.running.borrow_mut().remove(&(from, number)) {
                task.abort();
            }
        }
        Message::Accepted(number)
        | Message::Refused(number)
        | Message::Full(number, _)
        | Message::Ended(number, _) => {
            let pending = shared.gathered.pending.borrow();
            if let Some((_, sender)) = pending.get(&number).filter(|(host, _)| *host == from) {
                // The query may just have been answered.
                let _ = sender.send(message);
            }
        }
    }
}

fn reply(shared: &Shared, to: SocketAddr, message: Message) {
    let fallback = message.fallback();
    shared.packets.send(to, &Datagram::Gather(message));
    if let Some(fallback) = fallback {
        shared.packets.send(to, &Datagram::Gather(fallback));
    }
}

fn state_of(shared: &Shared, from: SocketAddr, number: u64) -> Message {
    let key = (from, number);
    let ended = shared.gathered.ended.borrow().get(&key).map(|(_, outcome)| outcome.clone());
    match ended {
        Some(outcome) => Message::Ended(number, outcome),
        None if shared.gathered.running.borrow().contains_key(&key) => Message::Accepted(number),
        None => Message::Refused(number),
    }
}

fn accept(shared: &Rc<Shared>, from: SocketAddr, query: Query) {
    let number = query.number;
    let key = (from, number);
    let known = state_of(shared, from, number);
    if !matches!(known, Message::Refused(_)) {
        return reply(shared, from, known);
    }
    if !is_able(shared, query.config) {
        return reply(shared, from, Message::Refused(number));
    }
    let gathered = &shared.gathered;
    let held = gathered.held();
    if gathered.load.borrow().is_full(held, shared.waiting.gathered()) {
        let mut load = gathered.load.borrow_mut();
        load.record_rejection();
        return reply(shared, from, Message::Full(number, load.retry_after(held)));
    }
    let Some((request, options, arrived)) = decode(shared, query) else {
        return reply(shared, from, Message::Refused(number));
    };
    let taken_at = shared.now();
    let task = tokio::task::spawn_local({
        let shared = shared.clone();
        async move {
            let run = drive::run(&shared, request, arrived, &options, Client::Vm).await;
            telemetry::query_gathered(&shared, &run, &options.route, from);
            let outcome = outcome_of(run.answer);
            shared.gathered.running.borrow_mut().remove(&key);
            let now = shared.now();
            shared.gathered.load.borrow_mut().record_end(now - taken_at);
            let ended = (now, outcome.clone());
            shared.gathered.ended.borrow_mut().insert(key, ended);
            reply(&shared, from, Message::Ended(number, outcome));
        }
    });
    shared.gathered.running.borrow_mut().insert(key, task.abort_handle());
    reply(shared, from, Message::Accepted(number));
}

/// Whether this VM can make queries for VMs with this version of the configuration.
fn is_able(shared: &Shared, config: u64) -> bool {
    let is_stale = shared.now() - shared.gathered.ticked_at.get() > MAX_TICK_GAP_MS;
    let is_behind = shared.config.borrow().version.unwrap_or_default() < config;
    shared.phase() == Phase::Serving && shared.is_ready() && !is_stale && !is_behind
}

/// The request of a query; `None` if it is malformed here.
fn decode(shared: &Shared, query: Query) -> Option<(OutgoingRequest, Options, Millis)> {
    let now = shared.now();
    let Query { age, delivery, caller_timeout, fingerprint, .. } = query;
    let head = hop::Head { method: query.method, uri: query.uri, headers: query.headers };
    let request = hop::unpack_head(shared, head, query.body, fingerprint, query.principal)?;
    let route = request.route.clone()?;
    let options = Options {
        priority: shared.priority(&route, request.principal.as_ref()),
        tenant: request.principal.as_ref().map(|principal| principal.tenant.clone()),
        route,
        caller_timeout,
        // The sender's time of delivery accounts for it.
        new_connection: false,
        retry_spread: shared.next_number(),
        fingerprint,
    };
    matches!(options.route.target, Target::Shards(_))
        .then(|| (request, options, gather::arrival(now, age, delivery)))
}
