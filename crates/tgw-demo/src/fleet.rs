use crate::links::{Links, VmNetwork};
use anyhow::Context;
use serde_json::json;
use std::{
    fs::File,
    io::BufWriter,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::{Arc, mpsc},
    thread::JoinHandle,
    time::Duration,
};
use tgw_clock::{Millis, PauseSwitch};
use tgw_replay::Recorder;
use tgw_serve::{Handle, Options};
use tgw_settings::Settings;
use tgw_standin::{
    Platform, Upstream,
    size::{self, Spread, User},
};
use tgw_topology::{Catalog, Place, catalog::ServiceUpdate};
use tokio::{net::TcpListener, sync::watch, task::LocalSet};

const PEER_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// Operators' token of a demo.
pub const ADMIN_TOKEN: &str = "demo-operators-token";
/// Time within which all VMs must accept queries after their start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Size of a demo.
#[derive(Clone, Debug)]
pub struct Size {
    /// User whose services and table are run.
    pub user: User,
    /// Number of VMs, assigned to the failure domains round-robin.
    pub vms: usize,
    /// Placement of each instance's upstreams.
    pub spread: Spread,
    /// Whether network delays between places are simulated.
    pub distances: bool,
    /// Random seed.
    pub seed: u64,
    /// The decisions of one in this many queries are logged.
    pub sample: u64,
    /// File to which a trace of the first VM is written.
    pub record: Option<PathBuf>,
}

/// One VM of a demo.
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Region and failure domain of the VM.
    pub place: Place,
    /// Pauses and resumes its threads.
    pub freeze: PauseSwitch,
    /// The running VM; `None` after it was killed or drained.
    pub handle: Option<Handle>,
}

/// The stand-ins and VMs of one demo.
pub struct Fleet {
    /// Size of the demo.
    pub size: Size,
    /// The stand-in platform.
    pub platform: Platform,
    /// Address of the stand-in platform.
    pub platform_addr: SocketAddr,
    /// The stand-in upstreams, ordered by number.
    pub upstreams: Vec<Upstream>,
    /// Catalog of services and upstreams.
    pub catalog: Catalog,
    /// The VMs.
    pub vms: Vec<Vm>,
    pub(crate) links: Links,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Fleet {
    /// Starts the stand-ins and VMs and waits until all VMs accept queries.
    pub fn open(size: Size) -> anyhow::Result<Self> {
        let catalog = size.user.catalog(size.spread);
        let (stop, stop_signal) = watch::channel(false);
        let (ready, started) = mpsc::channel();
        let (user, seed) = (size.user, size.seed);
        let thread = std::thread::Builder::new().name("stand-ins".into()).spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            if let Ok(runtime) = runtime {
                let started = serve_stand_ins(user, catalog, seed, ready, stop_signal);
                let _ = LocalSet::new().block_on(&runtime, started);
            }
        })?;
        let (platform, platform_addr, upstreams, catalog) =
            started.recv().context("cannot start the stand-ins")?;
        let mut fleet = Self {
            size,
            platform,
            platform_addr,
            upstreams,
            catalog,
            vms: Vec::new(),
            links: Links::default(),
            stop,
            thread: Some(thread),
        };
        fleet.publish(1)?;
        for index in 0..fleet.size.vms {
            let vm = fleet.start_vm(index, format!("{}-{index}", fleet.size.user))?;
            fleet.vms.push(vm);
        }
        fleet.wait_ready()?;
        Ok(fleet)
    }

    /// Writes the user's table, as edition `edit`, and all services to the platform.
    fn publish(&self, edition: u64) -> anyhow::Result<()> {
        let mut table = self.size.user.table();
        table.edition = edition;
        self.platform.write("table", "main", serde_json::to_value(&table)?);
        for entry in self.catalog.services.values() {
            self.publish_service(&entry.name)?;
        }
        Ok(())
    }

    /// Writes the entry of one service in `catalog` to the platform.
    pub fn publish_service(&self, name: &str) -> anyhow::Result<()> {
        let entry = self.catalog.service(name).context("no service with this name")?;
        let own = self.catalog.upstreams.values().filter(|u| u.service == entry.id);
        let update = ServiceUpdate {
            entry: entry.clone(),
            upstreams: own.cloned().collect(),
            changed_version: 0,
        };
        self.platform.write("service", name, serde_json::to_value(&update)?);
        Ok(())
    }

    /// Starts VM number `index` in its failure domain; it finds the others through the platform's list of
    /// VMs.
    pub fn start_vm(&self, index: usize, name: String) -> anyhow::Result<Vm> {
        self.start_vm_with_seeds(index, name, &[])
    }

    /// Starts VM number `index`, which contacts the peers `seeds` first.
    pub fn start_vm_with_seeds(
        &self,
        index: usize,
        name: String,
        seeds: &[SocketAddr],
    ) -> anyhow::Result<Vm> {
        let place = size::place(index);
        let mut settings = self.settings(&name, place)?;
        settings.peer.seeds = seeds.to_vec();
        let distance = self.size.user.distance();
        let network = VmNetwork { links: self.links.clone(), place, distance };
        let mut options = Options::new(settings);
        if self.size.distances {
            options.network = Arc::new(network);
        }
        if let Some(path) = self.size.record.clone().filter(|_| index == 0) {
            options.observer_factory = Some(Box::new(move |core| {
                let file = File::create(&path)
                    .with_context(|| format!("cannot write {}", path.display()))?;
                Ok(Box::new(Recorder::open(BufWriter::new(file), core)?))
            }));
        }
        let freeze = options.pause_switch.clone();
        let handle = tgw_serve::spawn(options)?;
        self.links.add_vm(handle.peers_addr(), place);
        let addr = handle.peers_addr().to_string();
        self.platform.write("vm", &name, json!({ "addr": addr }));
        Ok(Vm { name, place, freeze, handle: Some(handle) })
    }

    fn settings(&self, name: &str, place: Place) -> anyhow::Result<Settings> {
        let text = format!(
            "[vm]\nname = {name}\nregion = {}\ndomain = {}\ndrain_grace_ms = 300\n\
             [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             [platform]\naddr = {}\n[peer]\nkey = {PEER_KEY}\nadmin_token = {ADMIN_TOKEN}\n\
             [network]\n{}\n[log]\nsample = {}\n",
            place.region.0,
            place.domain.0,
            self.platform_addr,
            self.network_settings(),
            self.size.sample,
        );
        tgw_settings::parse("demo", &text)
            .map_err(|findings| anyhow::anyhow!("invalid demo settings: {findings:?}"))
    }

    fn network_settings(&self) -> String {
        let distance = self.size.user.distance();
        let us = |ms: f64| Millis::from_f64(if self.size.distances { ms } else { 0.0 }).as_micros();
        format!(
            "local_us = {}\ndomains_us = {}\nregions_us = {}",
            us(distance.same_domain_ms),
            us(distance.cross_domain_ms),
            us(distance.cross_region_ms)
        )
    }

    /// Addresses at which the running VMs serve callers.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.vms.iter().filter_map(|vm| vm.handle.as_ref()).map(Handle::callers_addr).collect()
    }

    /// Waits until all running VMs accept queries and know of one another.
    pub fn wait_ready(&self) -> anyhow::Result<()> {
        let until = std::time::Instant::now() + READY_TIMEOUT;
        let running = || self.vms.iter().filter_map(|vm| vm.handle.as_ref());
        let count = running().count() as u64;
        while !running().all(|h| h.is_ready() && h.owner_candidates() >= count) {
            if std::time::Instant::now() > until {
                let seen: Vec<u64> = running().map(Handle::owner_candidates).collect();
                anyhow::bail!(
                    "VMs not ready in time; members known to each: {seen:?}, expected {count}"
                );
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Drains all VMs and stops the stand-ins; returns the names of VMs that left requests unfinished.
    pub fn close(mut self) -> Vec<String> {
        let mut unfinished = Vec::new();
        let drains: Vec<(String, JoinHandle<bool>)> = self
            .vms
            .iter_mut()
            .filter_map(|vm| Some((vm.name.clone(), vm.handle.take()?)))
            .map(|(name, handle)| {
                let drain = move || handle.drain(Duration::from_secs(10));
                (name, std::thread::spawn(drain))
            })
            .collect();
        for (name, drain) in drains {
            if !drain.join().unwrap_or(false) {
                unfinished.push(name);
            }
        }
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        unfinished
    }
}

type StandIns = (Platform, SocketAddr, Vec<Upstream>, Catalog);

/// Serves the platform and all upstreams until `stop` changes; sends them to `ready` first.
async fn serve_stand_ins(
    user: User,
    mut catalog: Catalog,
    seed: u64,
    ready: mpsc::Sender<StandIns>,
    mut stop: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut listeners = Vec::new();
    for node in catalog.upstreams.values_mut() {
        let listener = TcpListener::bind(any_port).await?;
        node.addr = listener.local_addr()?;
        listeners.push((node.clone(), listener));
    }
    let sizes = user.services();
    let mut upstreams = Vec::new();
    for (node, listener) in listeners {
        let connect = Millis::new(sizes[usize::from(node.service.0)].connect_ms);
        let upstream_seed = seed.wrapping_mul(1009).wrapping_add(u64::from(node.id.0) + 1);
        let upstream = Upstream::new(&catalog, &node, connect, upstream_seed);
        upstreams.push(upstream.clone());
        tokio::task::spawn_local(async move { upstream.serve(listener).await });
    }
    let platform = Platform::default();
    let listener = TcpListener::bind(any_port).await?;
    let addr = listener.local_addr()?;
    let serving = platform.clone();
    tokio::task::spawn_local(async move { serving.serve(listener).await });
    let _ = ready.send((platform, addr, upstreams, catalog));
    let _ = stop.changed().await;
    Ok(())
}
