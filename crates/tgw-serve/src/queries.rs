use crate::{
    log::Log,
    metrics::Gauges,
    status::{Counters, DomainLine, Status, UpstreamLine, VmLine},
    work::{Errand, Notice, Order, Said, Search, Work},
};
use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
};
use tgw_clock::{Clock, Freeze, Millis};
use tgw_member::Force;
use tgw_node::{IncomingOrder, Input, Message, Node, Output};
use tgw_order::Key;
use tgw_peer::{Command, Payload};
use tgw_query::answer::{Refusal, RefusalReason};
use tgw_ring::{Receiver, Sender};
use tgw_topology::{Upstream, Vm, place::Domain};
use tokio::{
    sync::{oneshot, watch},
    time::{Instant, sleep_until},
};

const TICK: Millis = Millis::new(1);
/// Time between ticks while nothing waits or runs.
const IDLE_TICK: Millis = Millis::new(20);
/// Values taken from the ring before time is looked at again.
const BATCH: usize = 256;
const RETRY: Millis = Millis::new(1000);

/// The thread that runs the core.
pub(crate) struct Queries {
    pub(crate) name: String,
    pub(crate) place: String,
    pub(crate) node: Node,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) gauges: Arc<Gauges>,
    pub(crate) work: Receiver<Work>,
    /// The same ring's sending end, for its figures.
    pub(crate) depth: Sender<Work>,
    pub(crate) errands: Sender<Errand>,
    pub(crate) peers: Sender<Command>,
    pub(crate) notices: Sender<Notice>,
    pub(crate) log: Log,
    pub(crate) idle: watch::Sender<bool>,
    replies: BTreeMap<u64, (oneshot::Sender<Said>, Option<String>)>,
    forces: BTreeMap<Domain, Force>,
    next: u64,
    draining: bool,
}

/// The ends that the duty is given.
pub(crate) struct Ends {
    pub(crate) work: Receiver<Work>,
    pub(crate) depth: Sender<Work>,
    pub(crate) errands: Sender<Errand>,
    pub(crate) peers: Sender<Command>,
    pub(crate) notices: Sender<Notice>,
    pub(crate) idle: watch::Sender<bool>,
}

impl Queries {
    pub(crate) fn new(
        name: &str,
        place: &str,
        node: Node,
        clock: Arc<dyn Clock>,
        gauges: Arc<Gauges>,
        ends: Ends,
    ) -> Self {
        Self {
            name: name.into(),
            place: place.into(),
            node,
            clock,
            gauges,
            work: ends.work,
            depth: ends.depth,
            errands: ends.errands,
            peers: ends.peers,
            notices: ends.notices,
            log: Log::new(name),
            idle: ends.idle,
            replies: BTreeMap::new(),
            forces: BTreeMap::new(),
            next: 1,
            draining: false,
        }
    }

    /// Runs on the current thread until `stop` changes.
    pub(crate) fn run(mut self, freeze: &Freeze, mut stop: watch::Receiver<bool>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
        let Ok(runtime) = runtime else { return };
        runtime.block_on(async move {
            let mut ticked = Instant::now();
            loop {
                let period = if self.node.is_idle() { IDLE_TICK } else { TICK };
                tokio::select! {
                    _ = stop.changed() => return,
                    () = sleep_until(ticked + period.into()) => {
                        ticked = Instant::now();
                        self.step(true);
                    }
                    () = self.work.ready() => self.step(false),
                }
                freeze.hold();
            }
        });
    }

    fn step(&mut self, tick: bool) {
        let mut out = Vec::new();
        for _ in 0..BATCH {
            let Some(work) = self.work.pop() else { break };
            self.work(work, &mut out);
        }
        if tick {
            self.abandoned(&mut out);
            self.node.handle(self.clock.now(), Input::Tick, &mut out);
            self.publish();
        }
        self.carry_out(out);
    }

    fn work(&mut self, work: Work, out: &mut Vec<Output>) {
        let now = self.clock.now();
        let input = match work {
            Work::Search(search) => return self.search(now, search, out),
            Work::Order(order) => return self.order(now, order, out),
            Work::Store(event) => Input::StoreAnswered(event),
            Work::Messages(from, messages) => {
                for message in messages {
                    self.node.handle(now, Input::MessageReceived(from, message), out);
                }
                return;
            }
            Work::Forces(forces) => {
                self.forces = forces;
                return;
            }
            Work::Inspect(reply) => {
                let _ = reply.send(self.status(now));
                return;
            }
            Work::Explain(id, reply) => {
                let _ = reply.send(self.log.explain(&id));
                return;
            }
            Work::Paused(gap) => {
                tracing::warn!(target: "tgw::placement", gap_ms = gap.whole(), "this VM was paused");
                Input::Paused
            }
            Work::Drain => {
                self.draining = true;
                Input::Drain
            }
            Work::Lost(vm) => Input::Disconnected(vm),
            Work::Done { ticket, result, held } => {
                Input::SendEnded { send_id: ticket, result, snapshots: held }
            }
            Work::Held(upstream, held) => Input::SnapshotsReported(upstream, held),
            Work::Leaving(upstream) => Input::Leaving(upstream),
            Work::Restarted(upstream) => Input::Restarted(upstream),
            Work::Catalog(catalog) => Input::Catalog(catalog),
            Work::Table(table) => Input::Table(table),
            Work::Directory(directory) => Input::Directory(directory),
        };
        self.node.handle(now, input, out);
    }

    fn search(&mut self, now: Millis, search: Search, out: &mut Vec<Output>) {
        let Search { service, within, label, body, reply } = search;
        let Some(id) = self.node.catalog().service(&service).map(|s| s.id) else {
            let known = !self.node.catalog().services.is_empty();
            let reason =
                if known { RefusalReason::UnknownService } else { RefusalReason::NotReady };
            let _ = reply.send(Said::Refusal(Refusal { reason, retry_after: RETRY }));
            return;
        };
        let token = self.next;
        self.next += 1;
        self.replies.insert(token, (reply, label));
        self.node.handle(now, Input::Submit { token, service: id, timeout: within, body }, out);
    }

    fn order(&mut self, now: Millis, order: Order, out: &mut Vec<Output>) {
        let Order { service, key, now_s, within, body, reply } = order;
        let Some(id) = self.node.catalog().service(&service).map(|s| s.id) else {
            let known = !self.node.catalog().services.is_empty();
            let reason =
                if known { RefusalReason::UnknownService } else { RefusalReason::NotReady };
            let _ = reply.send(Said::Refusal(Refusal { reason, retry_after: RETRY }));
            return;
        };
        let key = match Key::parse(id, &key, now_s) {
            Ok(key) => key,
            Err(error) => {
                let _ = reply.send(Said::BadKey(error));
                return;
            }
        };
        let token = self.next;
        self.next += 1;
        self.replies.insert(token, (reply, None));
        let key_age_s = now_s.checked_sub(key.made_s);
        self.node.handle(
            now,
            Input::Order(IncomingOrder { token, key, key_age_s, timeout: within, body }),
            out,
        );
    }

    /// Callers that went away: their work is stopped.
    fn abandoned(&mut self, out: &mut Vec<Output>) {
        let gone: Vec<u64> =
            self.replies.iter().filter(|(_, r)| r.0.is_closed()).map(|(t, _)| *t).collect();
        for token in gone {
            self.replies.remove(&token);
            self.node.handle(self.clock.now(), Input::CallerDisconnected(token), out);
        }
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        let mut messages_by_vm: BTreeMap<Vm, Vec<Message>> = BTreeMap::new();
        for output in out {
            match output {
                Output::SendMessage(to, message) => {
                    messages_by_vm.entry(to).or_default().push(message);
                }
                Output::Send { send_id: ticket, upstream, leaf } => {
                    self.errand(Errand::Send { ticket, upstream, leaf });
                }
                Output::Cancel { send_id: ticket, upstream } => {
                    self.errand(Errand::Abort { ticket, upstream });
                }
                Output::Connect(upstreams) => {
                    for upstream in upstreams {
                        self.connect(upstream);
                    }
                }
                Output::Disconnect(upstreams) => {
                    for upstream in upstreams {
                        self.errand(Errand::Disconnect(upstream));
                    }
                }
                Output::Answer(token, answer) => {
                    if let Some((reply, label)) = self.replies.remove(&token) {
                        if let Some(label) = label {
                            self.log.label(&label, &answer.query.to_string());
                        }
                        let _ = reply.send(Said::Answer(answer));
                    }
                }
                Output::Refuse(token, refusal) => {
                    if let Some((reply, _)) = self.replies.remove(&token) {
                        let _ = reply.send(Said::Refusal(refusal));
                    }
                }
                Output::AnswerOrder(token, outcome) => {
                    if let Some((reply, _)) = self.replies.remove(&token) {
                        let _ = reply.send(Said::Ordered(outcome));
                    }
                }
                Output::CallStore(action) => self.store(action),
                Output::LogDecision(decision) => self.log.note(self.clock.now(), &decision),
            }
        }
        for (to, messages) in messages_by_vm {
            if self.peers.push(Command::Send(to, Payload::Messages(messages))).is_err() {
                // The peers' ring is full: what was asked cannot reach the VM. The core is told that
                // the way is lost and asks a stand-in or reports the shards missing.
                let mut out = Vec::new();
                self.node.handle(self.clock.now(), Input::Disconnected(to), &mut out);
                out.retain(|o| !matches!(o, Output::SendMessage(..)));
                self.carry_out(out);
            }
        }
    }

    /// Hands a call of the store over; a full ring counts as a call that was never made.
    fn store(&mut self, action: tgw_order::Action) {
        let Err(Notice::Store(action)) = self.notices.push(Notice::Store(action)) else { return };
        let event = match action {
            tgw_order::Action::Put(object, ..) => {
                tgw_order::Event::WriteDone(object, tgw_order::WriteOutcome::Unavailable)
            }
            tgw_order::Action::Get(object) => tgw_order::Event::ReadDone(object, Err(())),
            _ => return,
        };
        let mut out = Vec::new();
        self.node.handle(self.clock.now(), Input::StoreAnswered(event), &mut out);
        self.carry_out(out);
    }

    fn errand(&mut self, errand: Errand) {
        if let Err(Errand::Send { ticket, .. }) = self.errands.push(errand) {
            let mut out = Vec::new();
            let result = Err(tgw_dispatch::leaf::Failure::Connect);
            let input = Input::SendEnded { send_id: ticket, result, snapshots: None };
            self.node.handle(self.clock.now(), input, &mut out);
            self.carry_out(out);
        }
    }

    fn connect(&mut self, upstream: Upstream) {
        let node = self.node.catalog().upstreams.get(&upstream);
        if let Some((addr, slots)) = node.map(|n| (n.addr, n.slots)) {
            self.errand(Errand::Connect { upstream, addr, slots });
        }
    }

    /// Whether new queries are taken.
    fn ready(&self) -> bool {
        // Until ownership is settled every leaf request would be turned away by this VM itself.
        let known = self.node.has_joined() && self.node.table().is_some();
        known && !self.draining && !self.node.catalog().services.is_empty()
    }

    fn publish(&self) {
        let stats = self.node.stats();
        let set = |cell: &std::sync::atomic::AtomicU64, value: u64| {
            cell.store(value, Ordering::Relaxed);
        };
        let gauges = &self.gauges;
        gauges.ready.store(self.ready(), Ordering::Relaxed);
        set(&gauges.edit, self.node.table().map_or(0, |t| t.edit));
        set(&gauges.running, self.node.entry().pending() as u64);
        set(&gauges.leafs, stats.first_requests);
        set(&gauges.extra_entry, stats.extra_requests);
        set(&gauges.extra_owner, stats.extra_sends);
        set(&gauges.late, stats.late_outcomes);
        set(&gauges.crossed, stats.unmatched_outcomes);
        set(&gauges.restarts, stats.restarts);
        set(&gauges.members, self.node.directory().owners().count() as u64);
        set(&gauges.ring_core, self.depth.len() as u64);
        set(&gauges.ring_core_refused, self.depth.refused());
        let idle = self.draining && self.node.is_idle() && self.replies.is_empty();
        self.idle.send_if_modified(|old| std::mem::replace(old, idle) != idle);
    }

    fn vm_name(&self, vm: Vm) -> String {
        let member = self.node.directory().members.get(&vm);
        member.map_or_else(|| vm.to_string(), |m| m.name.clone())
    }

    fn status(&self, now: Millis) -> Status {
        let directory = self.node.directory();
        let vms = directory.members.values().map(|m| VmLine {
            name: m.name.clone(),
            place: m.place.to_string(),
            state: m.state.to_string(),
            addr: m.addr.to_string(),
            reachable: !directory.cut.contains(&m.place.domain),
        });
        let domains = self.forces.iter().map(|(domain, force)| DomainLine {
            domain: domain.0,
            reachable: !directory.cut.contains(domain),
            edit: force.edit,
            behind: force.behind,
            example: force.example.map(|vm| self.vm_name(vm)),
        });
        let stats = self.node.stats();
        Status {
            vm: self.name.clone(),
            place: self.place.clone(),
            ready: self.ready(),
            draining: self.draining,
            edit: self.node.table().map_or(0, |t| t.edit),
            world: self.node.catalog().version,
            vms: vms.collect(),
            domains: domains.collect(),
            upstreams: self.upstream_lines(now),
            counters: Counters {
                leafs: stats.first_requests,
                extra_entry: stats.extra_requests,
                extra_owner: stats.extra_sends,
                late: stats.late_outcomes,
                crossed: stats.unmatched_outcomes,
                restarts: stats.restarts,
                whole: stats.complete,
                partial: stats.partial,
                short: stats.below_least_coverage,
                refused: stats.refused,
            },
        }
    }

    fn upstream_lines(&self, now: Millis) -> Vec<UpstreamLine> {
        let catalog = self.node.catalog();
        let line = |node: &tgw_topology::catalog::Node| UpstreamLine {
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
            running: self.node.in_flight(node.id),
            leaving: self.node.is_leaving(node.id),
        };
        catalog.upstreams.values().map(line).collect()
    }
}
