use crate::{
    admission, gather, hop,
    packets::MAX_PACKET_BYTES,
    quarantine::{self, Schedule},
    shared::Shared,
    state_exchange::Transfers,
    telemetry,
};
use rand::seq::SliceRandom;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime},
};
use tgw_clock::Millis;
use tgw_forward::upstream::PeerReport;
use tgw_member::{Action, Event, Member};
use tgw_spread::{
    Lookup, Message,
    message::{self, Datagram, Versions},
    start::{self, PeerState},
};
use tgw_tenant::limit::Knowledge;
use tgw_topology::Vm;
use tgw_wire::Error;
use tokio::{
    net::TcpListener,
    time::{MissedTickBehavior, interval, sleep},
};

/// Interval at which membership's timers are checked; they are 100 ms apart or more.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Most VMs that receive a report on a slow upstream: enough for all VMs of a region of this size.
/// In a larger region each report goes to as many random VMs, so that the load of a VM does not
/// grow with the fleet.
const MAX_REPORT_RECEIVERS: usize = 32;
/// Interval at which the timers of a starting VM are checked.
const START_TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Time after the start until this VM may become a relay: by then it knows its peers.
const SETTLE_TIME_MS: Millis = Millis::new(1_500);
/// The same for a VM that knows no other VM: the platform may name seeds up to 3 s late.
const SETTLE_TIME_ALONE_MS: Millis = Millis::new(4_500);

/// Versions above any real one, for a VM whose versions are unknown but that another VM named as
/// holding the state.
const MAX_VERSIONS: Versions =
    Versions { config: u64::MAX, upstreams: u64::MAX, evacuations: u64::MAX };

/// Membership and dissemination of updates, with their sockets.
pub(crate) struct Peers {
    pub(crate) shared: Rc<Shared>,
    pub(crate) member: RefCell<Member>,
    /// Addresses of the other live VMs of the region.
    pub(crate) region_peers: RefCell<Vec<SocketAddr>>,
    /// Addresses of all other live VMs.
    pub(crate) all_peers: RefCell<Vec<SocketAddr>>,
    pub(crate) schedule: Schedule,
    addr: SocketAddr,
    incarnation: u64,
    pub(crate) transfers: Transfers,
    /// The set of known VMs has changed since the last count.
    pub(crate) membership_changed: Cell<bool>,
    pub(crate) counted_at: Cell<Millis>,
    /// What was known of the others at the last count.
    pub(crate) counted_with: Cell<Knowledge>,
    /// The lookup of other VMs in the store.
    pub(crate) lookup: RefCell<Lookup>,
    /// Whether this VM has known another one since its start.
    pub(crate) has_met_others: Cell<bool>,
}

/// Incarnation of this process, from the time of day, so that it is higher than that of an earlier
/// process of this VM. If the clock was set back, membership reports the earlier incarnation to
/// this VM, which then takes a higher one.
fn incarnation_now() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or_default())
}

impl Peers {
    /// Starts the tasks. Errors: the listener has no address.
    pub(crate) fn spawn(shared: Rc<Shared>, tcp: TcpListener) -> anyhow::Result<Rc<Self>> {
        let addr = tcp.local_addr()?;
        let incarnation = incarnation_now();
        let peer = &shared.settings.peer;
        let options = tgw_member::Options {
            vm: Vm::from_name(&shared.settings.vm),
            name: shared.settings.vm.clone(),
            incarnation,
            place: peer.place,
            addr,
            seeds: peer.seeds.clone(),
            power: peer.power,
            rng_seed: rand::random(),
        };
        let member = RefCell::new(Member::new(options));
        let peers = Rc::new(Self {
            shared,
            member,
            region_peers: RefCell::default(),
            all_peers: RefCell::default(),
            schedule: Schedule::default(),
            addr,
            incarnation,
            transfers: Transfers::default(),
            membership_changed: Cell::new(false),
            counted_at: Cell::new(Millis::ZERO),
            counted_with: Cell::default(),
            lookup: RefCell::default(),
            has_met_others: Cell::new(false),
        });
        tokio::task::spawn_local(peers.clone().run());
        tokio::task::spawn_local(peers.clone().fetch_state());
        tokio::task::spawn_local(peers.clone().accept(tcp));
        Ok(peers)
    }

    /// The address on which this VM listens for peers.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The number of this process of the VM.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Announces to the other VMs that this one leaves.
    pub(crate) fn leave(self: &Rc<Self>) {
        self.on_member_event(Event::Leave);
    }

    /// Whether this VM knows no other live VM.
    pub(crate) fn is_alone(&self) -> bool {
        self.member.borrow().directory().owners().count() <= 1
    }

    /// Adds VMs to ask for membership.
    pub(crate) fn add_seeds(self: &Rc<Self>, seeds: Vec<SocketAddr>) {
        self.on_member_event(Event::Seeds(seeds));
    }

    /// Calls VMs that may not know any other one.
    pub(crate) fn call(self: &Rc<Self>, addresses: Vec<SocketAddr>) {
        self.on_member_event(Event::Call(addresses));
    }

    /// Handles packets from other VMs, passes on what this VM has learned, and runs the periodic work
    /// of membership and dissemination, for as long as the process runs.
    async fn run(self: Rc<Self>) {
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut buffer = vec![0; MAX_PACKET_BYTES];
        loop {
            tokio::select! {
                received = self.shared.packets.receive(&mut buffer) => match received {
                    Ok((received_packet, from)) => self.on_packet(received_packet, from),
                    Err(error) => tracing::debug!(%error, "cannot receive packet"),
                },
                () = self.shared.update_ready.notified() => self.disseminate(),
                _ = tick.tick() => {
                    self.on_member_event(Event::Tick);
                    self.expire_upstreams();
                    self.update_knowledge();
                    self.update_relay();
                    self.forward_updates();
                    self.send_quarantine_round();
                    self.compare_lists();
                    self.shared.admission.tick(self.shared.now());
                    self.shared.gathered.tick(self.shared.now());
                    self.shared.check_overload();
                }
            }
            self.recount_if_due();
        }
    }

    /// Removes upstreams whose entries have been missing for too long. This has a timer of its own:
    /// when it waited for a pause between updates, a steady stream of updates kept upstreams that
    /// had left for good.
    fn expire_upstreams(&self) {
        let mut core = self.shared.core.borrow_mut();
        let removed = self
            .shared
            .world
            .borrow_mut()
            .upstreams
            .drop_expired(self.shared.now(), &mut core.fleet);
        drop(core);
        if removed {
            telemetry::upstream_changes(&self.shared);
        }
    }

    /// Requests the state from other VMs until this VM holds it.
    async fn fetch_state(self: Rc<Self>) {
        while !self.shared.start.borrow().is_complete() {
            self.on_start_event(start::Event::Tick);
            sleep(START_TICK_INTERVAL).await;
        }
        tracing::info!("start completed: configuration and upstreams are known");
    }

    /// Passes an event to the start-up logic of this VM and carries out the resulting actions.
    pub(crate) fn on_start_event(self: &Rc<Self>, event: start::Event<'_>) {
        let versions = match &event {
            start::Event::VersionReply(_, PeerState { config, upstreams, .. }) => {
                Versions { config: *config, upstreams: *upstreams, evacuations: 0 }
            }
            _ => MAX_VERSIONS,
        };
        let mut actions = Vec::new();
        self.shared.start.borrow_mut().handle(self.shared.now(), event, &mut actions);
        for action in actions {
            match action {
                start::Action::QueryVersions(addr) => {
                    self.shared.packets.send(addr, &Datagram::VersionQuery);
                }
                start::Action::RequestState(addr) => self.request_state(addr, versions),
            }
        }
    }

    /// Disseminates what this VM has learned.
    fn disseminate(self: &Rc<Self>) {
        let Versions { config, upstreams, evacuations } = self.versions();
        self.shared.record_versions();
        self.send_reports();
        self.forward_updates();
        self.on_member_event(Event::Edition(config));
        self.on_member_event(Event::CatalogVersion(upstreams));
        self.on_member_event(Event::EvacuationsVersion(evacuations));
        self.on_member_event(Event::PlatformUnreachable(
            self.shared.reachability.borrow().is_unreachable(),
        ));
    }

    pub(crate) fn versions(&self) -> Versions {
        self.shared.world.borrow().versions()
    }

    fn on_packet(self: &Rc<Self>, received_packet: Result<Datagram, Error>, from: SocketAddr) {
        match received_packet {
            Ok(Datagram::Member(member_packet)) => {
                self.shared.core.borrow_mut().fleet.record_contact(self.shared.now());
                self.on_member_event(Event::Packet(from, member_packet));
            }
            Ok(Datagram::PeerReports(reports)) => {
                let now = self.shared.now();
                let mut core = self.shared.core.borrow_mut();
                for peer_report in reports {
                    let message::PeerReport { upstream, started, overdue, expected_latency_ms } =
                        peer_report;
                    let report =
                        PeerReport { overdue, expected_latency_ms: f64::from(expected_latency_ms) };
                    core.fleet.apply_report(now, &upstream, started, report);
                }
            }
            Ok(Datagram::Hop(request)) => hop::accept(&self.shared, from, *request),
            Ok(Datagram::HopEnded(reply)) => self.shared.hops.ended(from, *reply),
            Ok(Datagram::HopCancelled(number)) => self.shared.hops.cancel(from, number),
            Ok(Datagram::VersionQuery) => {
                self.shared.packets.send(from, &Datagram::VersionReply(self.start_status()));
                if let Some(update) = self.next_quarantined() {
                    self.shared.packets.send(from, &Datagram::Quarantine(update));
                }
            }
            Ok(Datagram::Quarantine(update)) => {
                quarantine::apply_update(&self.shared, from, &update);
            }
            Ok(Datagram::Digests { digests, is_reply }) => self.on_digests(from, digests, is_reply),
            Ok(Datagram::Gather(message)) => gather::on_message(&self.shared, from, message),
            Ok(Datagram::StoreQuery) => self.shared.store_reports.on_query(from),
            Ok(Datagram::StoreReply(silence)) => {
                self.shared.store_reports.on_reply(from, silence);
            }
            Ok(Datagram::Limit(message)) => admission::on_message(&self.shared, from, message),
            Ok(Datagram::VersionReply(state)) => {
                self.on_version(from, state);
                self.on_start_event(start::Event::VersionReply(from, state));
            }
            Err(error) => tracing::debug!(%error, %from, "packet refused"),
        }
    }

    /// Describes how complete the state of this VM is.
    fn start_status(&self) -> PeerState {
        let Versions { config, upstreams, .. } = self.versions();
        PeerState { config, upstreams, reads_store: self.shared.store_reads.all() }
    }

    pub(crate) fn on_member_event(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.member.borrow_mut().handle(self.shared.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Send(to, member_packet) => {
                    self.shared.packets.send(to, &Datagram::Member(member_packet));
                }
                Action::SendRecords(to, records) => {
                    let peers = self.clone();
                    tokio::task::spawn_local(async move {
                        let message = Message::Records(records);
                        if let Err(error) = peers.exchange(to, &message, false).await {
                            tracing::debug!(%error, %to, "cannot send membership records");
                        }
                    });
                }
                Action::DirectoryChanged => self.membership_changed.set(true),
                Action::PeerNewer {
                    addr, edition, catalog_version, evacuations_version, ..
                } => {
                    self.request_state(
                        addr,
                        Versions {
                            config: edition,
                            upstreams: catalog_version,
                            evacuations: evacuations_version,
                        },
                    );
                }
                Action::Paused(gap) => {
                    tracing::warn!(gap_ms = gap.as_whole_ms(), "this VM was paused");
                    self.shared.world.borrow_mut().upstreams.exclude_pause(gap);
                }
            }
        }
    }

    /// Sends the queued reports on slow upstreams to VMs of the region.
    fn send_reports(&self) {
        let reports = self.shared.pending_reports.take();
        if reports.is_empty() {
            return;
        }
        let mut receivers = self.region_peers.borrow().clone();
        receivers.shuffle(&mut rand::rng());
        let datagram = Datagram::PeerReports(reports);
        receivers
            .into_iter()
            .take(MAX_REPORT_RECEIVERS)
            .for_each(|to| self.shared.packets.send(to, &datagram));
    }

    /// Whether this VM can rely on what it knows of the others. One that has met none may just not have been found
    /// yet: until the store shows that, it must not act as the only one, however long that takes.
    pub(crate) fn is_settled(&self) -> bool {
        let is_informed =
            !self.is_alone() || self.has_met_others.get() || self.lookup.borrow().is_alone();
        is_informed && self.has_waited_for_others()
    }

    /// Applies a change in what this VM knows of the others, also where their number stays the same.
    fn update_knowledge(self: &Rc<Self>) {
        let knowledge = self.knowledge();
        if self.counted_with.get() != knowledge {
            let alone = self.is_alone();
            tracing::info!(?knowledge, alone, "what is known of other VMs");
            self.count_vms();
        }
    }

    /// What this VM knows of the others.
    pub(crate) fn knowledge(&self) -> Knowledge {
        match (self.has_waited_for_others(), self.is_settled()) {
            (false, _) => Knowledge::Starting,
            (true, false) => Knowledge::Unknown,
            (true, true) => Knowledge::Informed,
        }
    }

    /// Whether this VM has waited for long enough to be found by others.
    fn has_waited_for_others(&self) -> bool {
        let time = if self.is_alone() { SETTLE_TIME_ALONE_MS } else { SETTLE_TIME_MS };
        self.shared.now() >= time
    }

    /// Decides whether this VM watches the store. Without evidence that it is the only one it watches all the same:
    /// that more VMs than needed watch costs calls and breaks nothing.
    fn update_relay(self: &Rc<Self>) {
        if self.shared.relay.borrow().is_none() && !self.has_waited_for_others() {
            return;
        }
        let relay = self.member.borrow().watches_platform();
        self.shared.relay.send_if_modified(|known| {
            let differs = *known != Some(relay);
            if differs {
                tracing::info!(relay, "watching the platform's store for the failure domain");
                *known = Some(relay);
            }
            differs
        });
    }
}
