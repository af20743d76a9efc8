use crate::{
    callers::{Caller, Exchange, Exchanges, Kind},
    check::{self, Disturbances, Report},
    configuration::{self, Trial},
    environment::Environment,
    fleet::{DOMAINS, Fleet, Layout},
    overload,
    proxy::{Mode, Proxy},
    quarantine,
    schedule::{self, CALM_TIME, Fault, MISSED_TRIAL_TIME},
    tenants,
};
use http::header::RETRY_AFTER;
use nix::sys::signal::Signal;
use std::{
    cell::{Cell, RefCell},
    fs,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Time for the fleet to start and stabilise.
const STARTUP_TIME: Duration = Duration::from_millis(2_500);
/// Length of the phase after the last fault; requests of its second half must be served.
const RECOVERY_TIME: Duration = Duration::from_millis(4_000);
/// Time from the end of that phase to the calm phase, so that the store has been undisturbed for long enough
/// when its upstreams leave.
const CALM_DELAY: Duration = Duration::from_millis(4_000);
/// Length of the phase after the calm phase, in which its upstreams still serve.
const CALM_END_TIME: Duration = Duration::from_millis(1_500);
/// Time within which VMs act by the newest configuration, by the settings of the stand-ins.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Interval of an upstream's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which the process and entry of a leaving upstream are removed.
const DEPARTURE_TIME: Duration = Duration::from_millis(8_000);
/// Interval of the check for exited processes and expired faults.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const CALLERS_PER_VM: usize = 3;
/// Pause between a caller's requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(35);

/// Options of one run.
pub(crate) struct Options {
    pub(crate) seed: u64,
    pub(crate) vms: u8,
    /// Searches of all shards that callers repeat.
    pub(crate) searches: u8,
    /// Queries of death.
    pub(crate) deadly: u8,
    pub(crate) seconds: u64,
    /// Load beyond the capacity of the upstreams instead of faults.
    pub(crate) overload: bool,
    pub(crate) layout: Layout,
    pub(crate) program: PathBuf,
    pub(crate) logs: PathBuf,
    pub(crate) keep: bool,
}

struct Run {
    environment: Environment,
    fleet: Rc<RefCell<Fleet>>,
    store_proxies: Vec<Proxy>,
    disturbances: Disturbances,
    /// When each VM was disturbed in a way for which operators do not hold it to the bound on leavings.
    out_of_contact: Disturbances,
    /// Faults to undo, each with its end time.
    undo: Vec<(Instant, Undo)>,
    unexpected_exits: Vec<String>,
    exchanges: Exchanges,
    /// How often deadly queries were sent.
    deadly_count: u32,
    /// Number of deadly queries.
    deadly: u8,
}

/// How a fault that lasts for a while is undone.
enum Undo {
    /// Resumes the stopped process of this VM.
    Resume(usize),
    /// Restores this VM's link to the store and resets its connections.
    StoreLink(usize),
    /// Ends the store's outage.
    StoreUp,
    /// Restores the link to the upstream with this id.
    UpstreamLink(String),
    /// Writes the overwritten entry of the upstream with this id again.
    Entry(String),
    /// Ends the evacuation of this failure domain.
    Evacuation(&'static str),
    /// Takes the change of the configuration back.
    Trial,
}

/// Starts a fleet, injects the faults of the seed, and checks the guarantees.
pub(crate) async fn run(options: Options) -> anyhow::Result<Report> {
    let mut tenants = tenants::documents();
    if options.overload {
        tenants.extend(overload::documents());
    }
    let environment = Environment::new(tenants).await?;
    if options.overload {
        overload::set_speeds(options.seed, &environment);
    }
    let mut store_proxies = Vec::new();
    for _ in 0..options.vms {
        store_proxies.push(Proxy::bind(environment.addr()).await?);
    }
    let addresses: Vec<SocketAddr> = store_proxies.iter().map(Proxy::addr).collect();
    // The third byte of the VMs' addresses. It depends on the process id, so that two runs at the same time
    // seldom share addresses.
    let subnet = u8::try_from(std::process::id() % 200)?;
    let fleet = Fleet::start(&options.program, &options.logs, subnet, &addresses, options.layout)?;
    let fleet = Rc::new(RefCell::new(fleet));
    sleep(STARTUP_TIME).await;
    let stop = Rc::new(Cell::new(false));
    let (exchanges, mut callers) = start_callers(&fleet, &options, &stop);
    let span = Duration::from_secs(options.seconds);
    let upstreams = environment.upstreams.len();
    let steps = if options.overload {
        Vec::new()
    } else {
        schedule::draw(options.seed, span, usize::from(options.vms), upstreams, options.deadly)
    };
    let (disturbances, undo, unexpected_exits) = (Disturbances::new(), Vec::new(), Vec::new());
    let mut run = Run {
        environment,
        fleet,
        store_proxies,
        disturbances,
        out_of_contact: Disturbances::new(),
        undo,
        unexpected_exits,
        exchanges,
        deadly_count: 0,
        deadly: options.deadly,
    };
    let start = Instant::now();
    let burst = options.overload.then(|| overload::burst(start, span));
    if let Some(burst) = &burst {
        let callers_stop = (&run.exchanges, &stop);
        overload::start(options.seed, burst, &run.fleet, callers_stop, &mut callers);
    }
    for step in &steps {
        run.advance_until(start + step.at).await?;
        run.inject(step.fault).await?;
    }
    let calm_from = start + span + RECOVERY_TIME;
    run.advance_until(calm_from).await?;
    let calm_steps =
        if options.overload { Vec::new() } else { schedule::draw_calm(options.seed, upstreams) };
    for step in &calm_steps {
        run.advance_until(calm_from + CALM_DELAY + step.at).await?;
        run.inject(step.fault).await?;
    }
    if !options.overload {
        run.advance_until(calm_from + CALM_DELAY + CALM_TIME + CALM_END_TIME).await?;
    }
    let mut outdated = Vec::new();
    if !options.overload {
        let missed_from = Instant::now();
        for step in schedule::draw_missed_trial(options.seed, usize::from(options.vms)) {
            run.advance_until(missed_from + step.at).await?;
            run.inject(step.fault).await?;
        }
        run.advance_until(missed_from + MISSED_TRIAL_TIME + CONFIG_TIMEOUT).await?;
        let version = run.environment.config_version;
        configuration::check(version, &run.fleet, &run.exchanges, &mut outdated).await;
    }
    // A request aborted here would count as run but never sent, so callers finish first.
    stop.set(true);
    while callers.join_next().await.is_some() {}
    run.environment.collect_runs();
    let exchanges = run.exchanges.take();
    let recovered = start + span + RECOVERY_TIME / 2;
    let observed = check::Observed {
        exchanges: &exchanges,
        environment: &run.environment,
        disturbances: &run.disturbances,
        out_of_contact: &run.out_of_contact,
        recovery: recovered..calm_from,
        burst,
        layout: options.layout,
    };
    let mut report = check::check(&observed);
    report.broken.append(&mut outdated);
    report.broken.append(&mut run.unexpected_exits);
    quarantine::check_harmless(&options.logs, &mut report.broken)?;
    if report.broken.is_empty() && !options.keep {
        drop(run);
        // Only the logs of failed seeds are kept.
        let _ = fs::remove_dir_all(&options.logs);
    } else {
        let text: Vec<String> =
            steps.iter().chain(&calm_steps).map(|s| format!("{:?} {:?}", s.at, s.fault)).collect();
        fs::write(options.logs.join("faults.txt"), text.join("\n"))?;
        let lines: Vec<String> = exchanges.iter().map(|e| exchange_line(start, e)).collect();
        fs::write(options.logs.join("exchanges.csv"), lines.join("\n"))?;
    }
    Ok(report)
}

/// One request as a line of `exchanges.csv`: ms since the start of the faults, VM, kind, status (zero without an answer),
/// ms until the answer and when to retry.
fn exchange_line(start: Instant, exchange: &Exchange) -> String {
    let Exchange { kind, elapsed, answer, vm, sent_at, request_id } = exchange;
    let status = answer.as_ref().map_or(0, |a| a.status.as_u16());
    let retry_after = answer.as_ref().and_then(|a| a.headers.get(RETRY_AFTER)?.to_str().ok());
    format!(
        "{},vm-{},{kind:?},{status},{},{},{request_id}",
        sent_at.saturating_duration_since(start).as_millis(),
        vm + 1,
        elapsed.as_millis(),
        retry_after.unwrap_or_default(),
    )
}

fn start_callers(
    fleet: &Rc<RefCell<Fleet>>,
    options: &Options,
    stop: &Rc<Cell<bool>>,
) -> (Exchanges, JoinSet<()>) {
    let exchanges = Exchanges::default();
    let mut tasks = JoinSet::new();
    let (vms, searches) = (options.vms, u64::from(options.searches));
    for number in 0..usize::from(vms) * CALLERS_PER_VM {
        let (exchanges, fleet, stop) = (exchanges.clone(), fleet.clone(), stop.clone());
        tasks.spawn_local(async move {
            let vm = number % usize::from(vms);
            let mut caller = Caller::new(vm);
            for request in 0_u64.. {
                if stop.get() {
                    return;
                }
                // New connections go only to VMs that are in service; open ones are used until they close.
                let (addr, open) = {
                    let mut fleet = fleet.borrow_mut();
                    let process = &mut fleet.processes[vm];
                    (process.callers_addr(), process.is_running() && !process.leaving)
                };
                if open || caller.is_connected() {
                    let kind = match request % 14 {
                        0 | 1 | 5 | 6 => Kind::AllShards((request % searches) as u8),
                        2 | 7 => Kind::Idempotent,
                        3 | 8 => Kind::HomeRegion,
                        4 | 9 => Kind::AtMostOnce,
                        13 => Kind::UnknownKey,
                        _ => Kind::Limited,
                    };
                    caller.send(addr, kind, format!("c{number}-{request}"), &exchanges).await;
                }
                sleep(REQUEST_INTERVAL).await;
            }
        });
    }
    (exchanges, tasks)
}

impl Run {
    /// Waits until `at`; meanwhile undoes expired faults and restarts processes that have ended.
    async fn advance_until(&mut self, at: Instant) -> anyhow::Result<()> {
        while Instant::now() < at {
            sleep_until(at.min(Instant::now() + POLL_INTERVAL)).await;
            self.undo_expired();
            self.restart_ended()?;
            self.environment.remove_departed(DEPARTURE_TIME);
            self.environment.replace_ended().await?;
            self.environment.report_warm();
        }
        Ok(())
    }

    fn undo_expired(&mut self) {
        let now = Instant::now();
        let (expired, pending) =
            std::mem::take(&mut self.undo).into_iter().partition(|u| u.0 <= now);
        self.undo = pending;
        let expired: Vec<(Instant, Undo)> = expired;
        for (_, undo) in expired {
            match undo {
                Undo::Resume(vm) => {
                    self.fleet.borrow_mut().processes[vm].signal(Signal::SIGCONT);
                    self.record_disturbance(vm);
                }
                Undo::StoreLink(vm) => {
                    self.record_lost_contact(vm);
                    self.store_proxies[vm].set_mode(Mode::Forward);
                    self.store_proxies[vm].reset_connections();
                }
                Undo::Entry(id) => self.environment.write_entry(&id),
                Undo::Evacuation(domain) => self.environment.end_evacuation(domain),
                Undo::Trial => self.environment.write_trial(Trial::default()),
                Undo::StoreUp => self.environment.store.set_down(false),
                Undo::UpstreamLink(id) => {
                    let upstream = self.environment.upstreams.iter().find(|u| u.leaf.id() == id);
                    if let Some(upstream) = upstream {
                        upstream.proxy.set_mode(Mode::Forward);
                    }
                    self.environment.link_faults.push((id, now));
                }
            }
        }
    }

    fn restart_ended(&mut self) -> anyhow::Result<()> {
        let mut fleet = self.fleet.borrow_mut();
        for (vm, process) in fleet.processes.iter_mut().enumerate() {
            if process.is_running() {
                continue;
            }
            if let Some(code) = process.exit_code()
                && !(process.leaving && code == 0)
            {
                self.unexpected_exits
                    .push(format!("vm-{}: ended by itself with code {code}", vm + 1));
            }
            process.start()?;
            self.disturbances.entry(vm).or_default().push(Instant::now());
            self.out_of_contact.entry(vm).or_default().push(Instant::now());
        }
        Ok(())
    }

    fn record_disturbance(&mut self, vm: usize) {
        self.disturbances.entry(vm).or_default().push(Instant::now());
        self.record_lost_contact(vm);
    }

    fn record_lost_contact(&mut self, vm: usize) {
        self.out_of_contact.entry(vm).or_default().push(Instant::now());
    }

    fn signal(&mut self, vm: usize, signal: Signal) {
        self.fleet.borrow_mut().processes[vm].signal(signal);
        if signal != Signal::SIGTERM && signal != Signal::SIGHUP {
            self.record_disturbance(vm);
        } else if signal == Signal::SIGTERM {
            self.record_lost_contact(vm);
        }
    }

    async fn inject(&mut self, fault: Fault) -> anyhow::Result<()> {
        let now = Instant::now();
        match fault {
            Fault::Term(vm) => {
                // A process under SIGSTOP cannot shut down.
                if !self.fleet.borrow().processes[vm].stopped {
                    self.signal(vm, Signal::SIGTERM);
                }
            }
            Fault::Kill(vm) => self.signal(vm, Signal::SIGKILL),
            Fault::KillAll => {
                (0..self.store_proxies.len()).for_each(|vm| self.signal(vm, Signal::SIGKILL));
            }
            Fault::Freeze(vm, span) => {
                self.signal(vm, Signal::SIGSTOP);
                self.undo.push((now + span, Undo::Resume(vm)));
            }
            Fault::Hangup(vm) => self.signal(vm, Signal::SIGHUP),
            Fault::StoreCut(vm, span) => {
                self.record_lost_contact(vm);
                self.store_proxies[vm].set_mode(Mode::DropAll);
                self.undo.push((now + span, Undo::StoreLink(vm)));
            }
            Fault::StoreDown(span) => {
                self.environment.store.set_down(true);
                self.environment.outages.push((now, now + span));
                self.undo.push((now + span, Undo::StoreUp));
            }
            Fault::Compact => self.environment.store.compact(),
            Fault::Configure => self.environment.write_config(),
            Fault::Trial(trial, span) => {
                self.environment.write_trial(trial);
                self.undo.push((now + span, Undo::Trial));
            }
            Fault::Deadly(vm) => self.send_deadly(vm),
            Fault::Evacuate(index, span) => {
                let domain = DOMAINS[index].0;
                self.environment.evacuate(domain, now + span);
                self.undo.push((now + span, Undo::Evacuation(domain)));
            }
            Fault::Restart(index) => self.environment.restart_upstream(index).await?,
            Fault::Foreign(index, span) => {
                let id = self.environment.overwrite_entry(index);
                self.undo.extend(id.map(|id| (now + span, Undo::Entry(id))));
            }
            Fault::Replace(index) => self.environment.replace_upstream(index, true).await?,
            Fault::Vanish(index) => self.environment.replace_upstream(index, false).await?,
            Fault::Pause(index, span) => {
                if let Some(upstream) = self.environment.upstreams.get(index) {
                    upstream.leaf.pause(span);
                    self.environment.link_faults.push((upstream.leaf.id().to_owned(), now));
                }
            }
            Fault::Reset(index) => {
                if let Some(upstream) = self.environment.upstreams.get(index) {
                    upstream.proxy.reset_connections();
                }
            }
            Fault::Hold(index, span) => self.set_link(index, Mode::Hold, now + span),
            Fault::LateHeartbeat(index) => {
                let id = self.environment.write_delayed(index);
                self.undo.extend(id.map(|id| (now + HEARTBEAT_INTERVAL, Undo::Entry(id))));
            }
            Fault::Silence(index, span) => self.set_link(index, Mode::DropAll, now + span),
            Fault::LoseReplies(index, span) => self.set_link(index, Mode::DropReplies, now + span),
            Fault::Slow(index, span) => {
                self.set_link(index, Mode::Delay(Duration::from_millis(80)), now + span);
            }
        }
        Ok(())
    }

    /// Sends the next deadly query to a VM on a new connection.
    fn send_deadly(&mut self, vm: usize) {
        let to = self.fleet.borrow().processes[vm].callers_addr();
        let (exchanges, number) = (self.exchanges.clone(), self.deadly_count);
        self.deadly_count += 1;
        let kind = Kind::Deadly((number % u32::from(self.deadly)) as u8);
        tokio::task::spawn_local(async move {
            Caller::new(vm).send(to, kind, format!("d{number}"), &exchanges).await;
        });
    }

    fn set_link(&mut self, index: usize, mode: Mode, until: Instant) {
        let Some(upstream) = self.environment.upstreams.get(index) else { return };
        upstream.proxy.set_mode(mode);
        self.environment.link_faults.push((upstream.leaf.id().to_owned(), Instant::now()));
        self.undo.push((until, Undo::UpstreamLink(upstream.leaf.id().to_owned())));
    }
}
