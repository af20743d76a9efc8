use crate::{
    drive,
    exchange::OutgoingRequest,
    hop,
    packets::MAX_PACKET_BYTES,
    shared::{Phase, Shared},
    telemetry,
};
use http::HeaderValue;
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
/// Most queries that a whole core gathers at once. At 50 ms each these are 1,300 a second.
const MAX_GATHERED_PER_CORE: usize = 64;
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
}

impl Default for Gathered {
    fn default() -> Self {
        Self {
            // A late message for an earlier process of this VM must not be taken for one to this process.
            next_number: Cell::new(rand::random()),
            pending: RefCell::default(),
            running: RefCell::default(),
            ended: RefCell::default(),
            silent: RefCell::default(),
            ticked_at: Cell::default(),
        }
    }
}

impl Gathered {
    /// The number of queries that this VM gathers for others.
    pub(crate) fn running(&self) -> usize {
        self.running.borrow().len()
    }

    /// Periodic work, each 100 ms: forgets what is no longer asked for.
    pub(crate) fn tick(&self, now: Millis) {
        self.ticked_at.set(now);
        self.ended.borrow_mut().retain(|_, (at, _)| now - *at < OUTCOME_RETENTION_MS);
        self.silent.borrow_mut().retain(|_, until| now < *until);
    }
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

    /// Waits until the gatherer accepts the query, and then for its outcome; `None` if it does not accept it.
    async fn accepted_outcome(&mut self) -> Option<Outcome> {
        match timeout(ACCEPT_TIMEOUT, self.messages.recv()).await {
            Ok(Some(Message::Ended(_, outcome))) => Some(outcome),
            Ok(Some(Message::Accepted(_))) => Some(self.outcome().await),
            Ok(_) => None,
            Err(_) => {
                let until = self.shared.now() + SILENCE_MS;
                self.shared.gathered.silent.borrow_mut().insert(self.gatherer, until);
                None
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
    let gatherer = {
        let silent = shared.gathered.silent.borrow();
        let core = shared.core.borrow();
        let is_silent = |addr: &SocketAddr| silent.contains_key(addr);
        core.gathering().choose(shards.services.len(), options.retry_spread, is_silent)?
    };
    let query = pack(shared, request, options, arrived)?;
    let number = query.number;
    let (sender, messages) = mpsc::unbounded_channel();
    shared.gathered.pending.borrow_mut().insert(number, (gatherer, sender));
    let mut pending = Pending { shared, gatherer, number, messages };
    pending.send(Message::Query(Box::new(query)));
    let outcome = pending.accepted_outcome().await?;
    shared.gathered.pending.borrow_mut().remove(&number);
    let answer = answer_of(outcome);
    telemetry::request_gathered(
        shared,
        request,
        options,
        gatherer,
        shared.now() - arrived,
        &answer,
    );
    Some(answer)
}

/// Encodes a query for a packet; `None` if it does not fit into one.
fn pack(
    shared: &Shared,
    request: &OutgoingRequest,
    options: &Options,
    arrived: Millis,
) -> Option<Query> {
    let (headers, uri) = hop::pack_head(request)?;
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
        Message::Accepted(number) | Message::Refused(number) | Message::Ended(number, _) => {
            let pending = shared.gathered.pending.borrow();
            if let Some((_, sender)) = pending.get(&number).filter(|(host, _)| *host == from) {
                // The query may just have been answered.
                let _ = sender.send(message);
            }
        }
    }
}

fn reply(shared: &Shared, to: SocketAddr, message: Message) {
    shared.packets.send(to, &Datagram::Gather(message));
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
    let Some((request, options, arrived)) = admissible(shared, query) else {
        return reply(shared, from, Message::Refused(number));
    };
    let task = tokio::task::spawn_local({
        let shared = shared.clone();
        async move {
            let run = drive::run(&shared, request, arrived, &options).await;
            telemetry::query_gathered(&shared, &run, &options.route, from);
            let outcome = outcome_of(run.answer);
            shared.gathered.running.borrow_mut().remove(&key);
            let ended = (shared.now(), outcome.clone());
            shared.gathered.ended.borrow_mut().insert(key, ended);
            reply(&shared, from, Message::Ended(number, outcome));
        }
    });
    shared.gathered.running.borrow_mut().insert(key, task.abort_handle());
    reply(shared, from, Message::Accepted(number));
}

/// The request of a query that this VM can make now.
fn admissible(shared: &Shared, query: Query) -> Option<(OutgoingRequest, Options, Millis)> {
    let now = shared.now();
    let power = shared.settings.peer.power as usize;
    let most = (MAX_GATHERED_PER_CORE * power / 1_000).max(1);
    let is_stale = now - shared.gathered.ticked_at.get() > MAX_TICK_GAP_MS;
    let is_behind = shared.config.borrow().version.unwrap_or_default() < query.config;
    let is_full = shared.gathered.running() >= most;
    if shared.phase() != Phase::Serving || !shared.is_ready() || is_stale || is_behind || is_full {
        return None;
    }
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
