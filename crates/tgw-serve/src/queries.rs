use crate::{
    log::Log,
    messages::{Command, Completion, ConfigMessage, CoreMessage, Order, Search},
    metrics::Gauges,
    status::{Counters, DomainStatus, Status, UpstreamStatus, VmStatus},
};
use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
};
use tgw_clock::{Clock, Millis, PauseSwitch};
use tgw_member::Rollout;
use tgw_node::{IncomingOrder, Input, Message, Node, Output};
use tgw_order::Key;
use tgw_peer::{Command as PeerCommand, Payload};
use tgw_query::answer::{Refusal, RefusalReason};
use tgw_ring::{Receiver, Sender};
use tgw_topology::{Upstream, Vm, place::Domain};
use tokio::{
    sync::{oneshot, watch},
    time::{Instant, sleep_until},
};

/// Interval of ticks while queries wait or run.
const TICK_INTERVAL_MS: Millis = Millis::new(1);
/// Interval of ticks while no query waits or runs.
const IDLE_TICK_INTERVAL_MS: Millis = Millis::new(20);
/// Messages taken from the ring before the timer and the stop signal are checked again.
const MAX_BATCH_MESSAGES: usize = 256;
/// Delay before a retry that is reported for a service that is not in the catalog.
const RETRY_AFTER_MS: Millis = Millis::new(1000);

/// The worker that runs the core.
pub(crate) struct Queries {
    pub(crate) name: String,
    pub(crate) place: String,
    pub(crate) node: Node,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) gauges: Arc<Gauges>,
    pub(crate) receiver: Receiver<CoreMessage>,
    /// The sending end of the same ring, read for its length and its count of rejected messages.
    pub(crate) core_sender: Sender<CoreMessage>,
    pub(crate) commands: Sender<Command>,
    pub(crate) peers: Sender<PeerCommand>,
    pub(crate) config: Sender<ConfigMessage>,
    pub(crate) log: Log,
    pub(crate) idle: watch::Sender<bool>,
    pending: BTreeMap<u64, (oneshot::Sender<Completion>, Option<String>)>,
    rollouts: BTreeMap<Domain, Rollout>,
    next_token: u64,
    draining: bool,
}

/// The channels to the other workers.
pub(crate) struct Channels {
    pub(crate) receiver: Receiver<CoreMessage>,
    pub(crate) core_sender: Sender<CoreMessage>,
    pub(crate) commands: Sender<Command>,
    pub(crate) peers: Sender<PeerCommand>,
    pub(crate) config: Sender<ConfigMessage>,
    pub(crate) idle: watch::Sender<bool>,
}

impl Queries {
    pub(crate) fn new(
        name: &str,
        place: &str,
        node: Node,
        clock: Arc<dyn Clock>,
        gauges: Arc<Gauges>,
        channels: Channels,
    ) -> Self {
        Self {
            name: name.into(),
            place: place.into(),
            node,
            clock,
            gauges,
            receiver: channels.receiver,
            core_sender: channels.core_sender,
            commands: channels.commands,
            peers: channels.peers,
            config: channels.config,
            log: Log::new(name),
            idle: channels.idle,
            pending: BTreeMap::new(),
            rollouts: BTreeMap::new(),
            next_token: 1,
            draining: false,
        }
    }

    /// Runs on the current thread until `stop` changes.
    pub(crate) fn run(mut self, pause_switch: &PauseSwitch, mut stop: watch::Receiver<bool>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
        let Ok(runtime) = runtime else { return };
        runtime.block_on(async move {
            let mut ticked = Instant::now();
            loop {
                let period =
                    if self.node.is_idle() { IDLE_TICK_INTERVAL_MS } else { TICK_INTERVAL_MS };
                tokio::select! {
                    _ = stop.changed() => return,
                    () = sleep_until(ticked + period.into()) => {
                        ticked = Instant::now();
                        self.run_batch(true);
                    }
                    () = self.receiver.ready() => self.run_batch(false),
                }
                pause_switch.wait_while_paused();
            }
        });
    }

    fn run_batch(&mut self, tick: bool) {
        let mut out = Vec::new();
        for _ in 0..MAX_BATCH_MESSAGES {
            let Some(message) = self.receiver.pop() else { break };
            self.handle(message, &mut out);
        }
        if tick {
            self.cancel_abandoned(&mut out);
            self.node.handle(self.clock.now(), Input::Tick, &mut out);
            self.publish_gauges();
        }
        self.apply_outputs(out);
    }

    fn handle(&mut self, message: CoreMessage, out: &mut Vec<Output>) {
        let now = self.clock.now();
        let input = match message {
            CoreMessage::Search(search) => return self.submit_search(now, search, out),
            CoreMessage::Order(order) => return self.submit_order(now, order, out),
            CoreMessage::StoreReply(event) => Input::StoreAnswered(event),
            CoreMessage::Messages(from, messages) => {
                for message in messages {
                    self.node.handle(now, Input::MessageReceived(from, message), out);
                }
                return;
            }
            CoreMessage::Rollouts(rollouts) => {
                self.rollouts = rollouts;
                return;
            }
            CoreMessage::Inspect(reply) => {
                let _ = reply.send(self.status(now));
                return;
            }
            CoreMessage::Explain(id, reply) => {
                let _ = reply.send(self.log.explain(&id));
                return;
            }
            CoreMessage::Paused(gap) => {
                tracing::warn!(target: "tgw::placement", gap_ms = gap.as_whole_ms(), "this VM was paused");
                Input::Paused
            }
            CoreMessage::Drain => {
                self.draining = true;
                Input::Drain
            }
            CoreMessage::Disconnected(vm) => Input::Disconnected(vm),
            CoreMessage::SendEnded { send_id, result, snapshots } => {
                Input::SendEnded { send_id, result, snapshots }
            }
            CoreMessage::SnapshotsReported(upstream, snapshots) => {
                Input::SnapshotsReported(upstream, snapshots)
            }
            CoreMessage::Leaving(upstream) => Input::Leaving(upstream),
            CoreMessage::Restarted(upstream) => Input::Restarted(upstream),
            CoreMessage::Catalog(catalog) => Input::Catalog(catalog),
            CoreMessage::Table(table) => Input::Table(table),
            CoreMessage::Directory(directory) => Input::Directory(directory),
        };
        self.node.handle(now, input, out);
    }

    fn submit_search(&mut self, now: Millis, search: Search, out: &mut Vec<Output>) {
        let Search { service, timeout, label, body, reply } = search;
        let Some(id) = self.node.catalog().service(&service).map(|s| s.id) else {
            let catalog_loaded = !self.node.catalog().services.is_empty();
            let reason = if catalog_loaded {
                RefusalReason::UnknownService
            } else {
                RefusalReason::NotReady
            };
            let _ =
                reply.send(Completion::Refusal(Refusal { reason, retry_after: RETRY_AFTER_MS }));
            return;
        };
        let token = self.next_token;
        self.next_token += 1;
        self.pending.insert(token, (reply, label));
        self.node.handle(now, Input::Submit { token, service: id, timeout, body }, out);
    }

    fn submit_order(&mut self, now: Millis, order: Order, out: &mut Vec<Output>) {
        let Order { service, key, now_s, timeout, body, reply } = order;
        let Some(id) = self.node.catalog().service(&service).map(|s| s.id) else {
            let catalog_loaded = !self.node.catalog().services.is_empty();
            let reason = if catalog_loaded {
                RefusalReason::UnknownService
            } else {
                RefusalReason::NotReady
            };
            let _ =
                reply.send(Completion::Refusal(Refusal { reason, retry_after: RETRY_AFTER_MS }));
            return;
        };
        let key = match Key::parse(id, &key, now_s) {
            Ok(key) => key,
            Err(error) => {
                let _ = reply.send(Completion::InvalidKey(error));
                return;
            }
        };
        let token = self.next_token;
        self.next_token += 1;
        self.pending.insert(token, (reply, None));
        let key_age_s = now_s.checked_sub(key.made_s);
        self.node.handle(
            now,
            Input::Order(IncomingOrder { token, key, key_age_s, timeout, body }),
            out,
        );
    }

    /// Cancels the requests whose callers have disconnected.
    fn cancel_abandoned(&mut self, out: &mut Vec<Output>) {
        let abandoned: Vec<u64> =
            self.pending.iter().filter(|(_, r)| r.0.is_closed()).map(|(t, _)| *t).collect();
        for token in abandoned {
            self.pending.remove(&token);
            self.node.handle(self.clock.now(), Input::CallerDisconnected(token), out);
        }
    }

    fn apply_outputs(&mut self, out: Vec<Output>) {
        let mut batches: BTreeMap<Vm, Vec<Message>> = BTreeMap::new();
        for output in out {
            match output {
                Output::SendMessage(to, message) => batches.entry(to).or_default().push(message),
                Output::Send { send_id, upstream, leaf } => {
                    self.send_command(Command::Send { send_id, upstream, leaf });
                }
                Output::Cancel { send_id, upstream } => {
                    self.send_command(Command::Cancel { send_id, upstream });
                }
                Output::Connect(upstreams) => {
                    for upstream in upstreams {
                        self.connect(upstream);
                    }
                }
                Output::Disconnect(upstreams) => {
                    for upstream in upstreams {
                        self.send_command(Command::Disconnect(upstream));
                    }
                }
                Output::Answer(token, answer) => {
                    if let Some((reply, label)) = self.pending.remove(&token) {
                        if let Some(label) = label {
                            self.log.set_label(&label, &answer.query.to_string());
                        }
                        let _ = reply.send(Completion::Answer(answer));
                    }
                }
                Output::Refuse(token, refusal) => {
                    if let Some((reply, _)) = self.pending.remove(&token) {
                        let _ = reply.send(Completion::Refusal(refusal));
                    }
                }
                Output::AnswerOrder(token, outcome) => {
                    if let Some((reply, _)) = self.pending.remove(&token) {
                        let _ = reply.send(Completion::Ordered(outcome));
                    }
                }
                Output::CallStore(action) => self.call_store(action),
                Output::LogDecision(decision) => self.log.record(self.clock.now(), &decision),
            }
        }
        for (to, messages) in batches {
            if self.peers.push(PeerCommand::Send(to, Payload::Messages(messages))).is_err() {
                // The ring to the peers worker is full, so the requests cannot reach the VM. The core
                // handles it as a lost connection: it asks another VM or reports the shards missing.
                let mut out = Vec::new();
                self.node.handle(self.clock.now(), Input::Disconnected(to), &mut out);
                out.retain(|o| !matches!(o, Output::SendMessage(..)));
                self.apply_outputs(out);
            }
        }
    }

    /// Passes a store call to the configuration worker. A full ring counts as a call that was not made.
    fn call_store(&mut self, action: tgw_order::Action) {
        let Err(ConfigMessage::StoreCall(action)) =
            self.config.push(ConfigMessage::StoreCall(action))
        else {
            return;
        };
        let event = match action {
            tgw_order::Action::Put(object, ..) => {
                tgw_order::Event::WriteDone(object, tgw_order::WriteOutcome::Unavailable)
            }
            tgw_order::Action::Get(object) => tgw_order::Event::ReadDone(object, Err(())),
            _ => return,
        };
        let mut out = Vec::new();
        self.node.handle(self.clock.now(), Input::StoreAnswered(event), &mut out);
        self.apply_outputs(out);
    }

    fn send_command(&mut self, command: Command) {
        if let Err(Command::Send { send_id, .. }) = self.commands.push(command) {
            let mut out = Vec::new();
            let result = Err(tgw_dispatch::leaf::Failure::Connect);
            let input = Input::SendEnded { send_id, result, snapshots: None };
            self.node.handle(self.clock.now(), input, &mut out);
            self.apply_outputs(out);
        }
    }

    fn connect(&mut self, upstream: Upstream) {
        let node = self.node.catalog().upstreams.get(&upstream);
        if let Some((addr, max_concurrency)) = node.map(|n| (n.addr, n.max_concurrency)) {
            self.send_command(Command::Connect { upstream, addr, max_concurrency });
        }
    }

    /// Whether new queries are accepted.
    fn is_ready(&self) -> bool {
        // Until group ownership is settled, this VM itself would reject every leaf request.
        let settled = self.node.has_joined() && self.node.table().is_some();
        settled && !self.draining && !self.node.catalog().services.is_empty()
    }

    fn publish_gauges(&self) {
        let stats = self.node.stats();
        let set = |cell: &std::sync::atomic::AtomicU64, value: u64| {
            cell.store(value, Ordering::Relaxed);
        };
        let gauges = &self.gauges;
        gauges.ready.store(self.is_ready(), Ordering::Relaxed);
        set(&gauges.table_edition, self.node.table().map_or(0, |t| t.edition));
        set(&gauges.queries_running, self.node.entry().pending() as u64);
        set(&gauges.first_requests, stats.first_requests);
        set(&gauges.extra_requests, stats.extra_requests);
        set(&gauges.extra_sends, stats.extra_sends);
        set(&gauges.late_outcomes, stats.late_outcomes);
        set(&gauges.unmatched_outcomes, stats.unmatched_outcomes);
        set(&gauges.restarts, stats.restarts);
        set(&gauges.members, self.node.directory().owners().count() as u64);
        set(&gauges.core_ring_length, self.core_sender.len() as u64);
        set(&gauges.core_ring_rejected, self.core_sender.rejected_count());
        let idle = self.draining && self.node.is_idle() && self.pending.is_empty();
        self.idle.send_if_modified(|old| std::mem::replace(old, idle) != idle);
    }

    fn vm_name(&self, vm: Vm) -> String {
        let member = self.node.directory().members.get(&vm);
        member.map_or_else(|| vm.to_string(), |m| m.name.clone())
    }

    fn status(&self, now: Millis) -> Status {
        let directory = self.node.directory();
        let vms = directory.members.values().map(|m| VmStatus {
            name: m.name.clone(),
            place: m.place.to_string(),
            state: m.state.to_string(),
            addr: m.addr.to_string(),
            reachable: !directory.unreachable_domains.contains(&m.place.domain),
        });
        let domains = self.rollouts.iter().map(|(domain, rollout)| DomainStatus {
            domain: domain.0,
            reachable: !directory.unreachable_domains.contains(domain),
            lowest_edition: rollout.lowest_edition,
            vms_behind: rollout.behind,
            example_behind: rollout.example.map(|vm| self.vm_name(vm)),
        });
        let stats = self.node.stats();
        Status {
            vm: self.name.clone(),
            place: self.place.clone(),
            ready: self.is_ready(),
            draining: self.draining,
            edition: self.node.table().map_or(0, |t| t.edition),
            catalog_version: self.node.catalog().version,
            vms: vms.collect(),
            domains: domains.collect(),
            upstreams: self.upstream_statuses(now),
            counters: Counters {
                first_requests: stats.first_requests,
                extra_requests: stats.extra_requests,
                extra_sends: stats.extra_sends,
                late_outcomes: stats.late_outcomes,
                unmatched_outcomes: stats.unmatched_outcomes,
                restarts: stats.restarts,
                complete: stats.complete,
                partial: stats.partial,
                below_least_coverage: stats.below_least_coverage,
                refused: stats.refused,
            },
        }
    }

    fn upstream_statuses(&self, now: Millis) -> Vec<UpstreamStatus> {
        let catalog = self.node.catalog();
        let status_of = |node: &tgw_topology::catalog::UpstreamEntry| UpstreamStatus {
            upstream: node.id.to_string(),
            service: catalog
                .services
                .get(&node.service)
                .map(|s| s.name.clone())
                .unwrap_or_default(),
            group: node.group().to_string(),
            owner: self.node.owner_of(node.group()).map(|vm| self.vm_name(vm)).unwrap_or_default(),
            state: self
                .node
                .estimate(now, node.id)
                .map(|b| format!("{:?}", b.0))
                .unwrap_or_default(),
            in_flight: self.node.in_flight(node.id),
            leaving: self.node.is_leaving(node.id),
        };
        catalog.upstreams.values().map(status_of).collect()
    }
}
