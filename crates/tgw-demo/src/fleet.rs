use crate::way::{From, Ways};
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
use tgw_clock::{Freeze, Millis};
use tgw_replay::Recorder;
use tgw_serve::{Handle, Options};
use tgw_settings::Settings;
use tgw_standin::{
    Platform, Upstream,
    size::{self, Spread, User},
};
use tgw_topology::{Catalog, Place, catalog::ServiceUpdate};
use tokio::{net::TcpListener, sync::watch, task::LocalSet};

const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// The operators' token of a demo.
pub const TOKEN: &str = "demo-operators-token";
/// How long VMs may take until all take queries.
const READY: Duration = Duration::from_secs(20);

/// How large a demo is.
#[derive(Clone, Debug)]
pub struct Size {
    /// The user.
    pub user: User,
    /// VMs; each next one in the next failure domain.
    pub vms: usize,
    /// How instances' upstreams lie.
    pub spread: Spread,
    /// Whether delays between places are added.
    pub distances: bool,
    /// Seed of all that is random.
    pub seed: u64,
    /// One in this many queries has its decisions logged.
    pub sample: u64,
    /// Where the first VM's core is recorded.
    pub record: Option<PathBuf>,
}

/// One VM of a demo.
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Its place.
    pub place: Place,
    /// Stops its threads.
    pub freeze: Freeze,
    /// Its process; `None` after it was killed or drained.
    pub handle: Option<Handle>,
}

/// The stand-ins and VMs of one demo.
pub struct Fleet {
    /// The size it was made with.
    pub size: Size,
    /// The stand-in platform.
    pub platform: Platform,
    /// Where the platform listens.
    pub platform_addr: SocketAddr,
    /// The stand-in upstreams, by number.
    pub upstreams: Vec<Upstream>,
    /// Services and upstreams.
    pub catalog: Catalog,
    /// The VMs.
    pub vms: Vec<Vm>,
    pub(crate) ways: Ways,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Fleet {
    /// Starts stand-ins and VMs and waits until all take queries.
    pub fn open(size: Size) -> anyhow::Result<Self> {
        let catalog = size.user.catalog(size.spread);
        let (stop, stopped) = watch::channel(false);
        let (ready, started) = mpsc::channel();
        let (user, seed) = (size.user, size.seed);
        let thread = std::thread::Builder::new().name("stand-ins".into()).spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            if let Ok(runtime) = runtime {
                let started = stand_ins(user, catalog, seed, ready, stopped);
                let _ = LocalSet::new().block_on(&runtime, started);
            }
        })?;
        let (platform, platform_addr, upstreams, catalog) =
            started.recv().context("the stand-ins did not start")?;
        let mut fleet = Self {
            size,
            platform,
            platform_addr,
            upstreams,
            catalog,
            vms: Vec::new(),
            ways: Ways::default(),
            stop,
            thread: Some(thread),
        };
        fleet.publish(1)?;
        for index in 0..fleet.size.vms {
            let vm = fleet.start(index, format!("{}-{index}", fleet.size.user))?;
            fleet.vms.push(vm);
        }
        fleet.wait_ready()?;
        Ok(fleet)
    }

    /// Writes the user's table and all services to the platform.
    fn publish(&self, edition: u64) -> anyhow::Result<()> {
        let mut table = self.size.user.table();
        table.edition = edition;
        self.platform.write("table", "main", serde_json::to_value(&table)?);
        for entry in self.catalog.services.values() {
            self.publish_service(&entry.name)?;
        }
        Ok(())
    }

    /// Writes one service, as it stands in `catalog`, to the platform.
    pub fn publish_service(&self, name: &str) -> anyhow::Result<()> {
        let entry = self.catalog.service(name).context("no such service")?;
        let own = self.catalog.upstreams.values().filter(|u| u.service == entry.id);
        let update = ServiceUpdate {
            entry: entry.clone(),
            upstreams: own.cloned().collect(),
            changed_version: 0,
        };
        self.platform.write("service", name, serde_json::to_value(&update)?);
        Ok(())
    }

    /// Starts one VM in the domain of its number; it finds the others through the platform's list.
    pub fn start(&self, index: usize, name: String) -> anyhow::Result<Vm> {
        self.start_with_seeds(index, name, &[])
    }

    /// Starts one VM that asks `seeds` first.
    pub fn start_with_seeds(
        &self,
        index: usize,
        name: String,
        seeds: &[SocketAddr],
    ) -> anyhow::Result<Vm> {
        let place = size::place(index);
        let mut settings = self.settings(&name, place)?;
        settings.peer.seeds = seeds.to_vec();
        let distance = self.size.user.distance();
        let network = From { ways: self.ways.clone(), place, distance };
        let mut options = Options::new(settings);
        if self.size.distances {
            options.network = Arc::new(network);
        }
        if let Some(path) = self.size.record.clone().filter(|_| index == 0) {
            options.tap = Some(Box::new(move |core| {
                let file = File::create(&path)
                    .with_context(|| format!("cannot write {}", path.display()))?;
                Ok(Box::new(Recorder::open(BufWriter::new(file), core)?))
            }));
        }
        let freeze = options.freeze.clone();
        let handle = tgw_serve::spawn(options)?;
        self.ways.add(handle.peers(), place);
        let addr = handle.peers().to_string();
        self.platform.write("vm", &name, json!({ "addr": addr }));
        Ok(Vm { name, place, freeze, handle: Some(handle) })
    }

    fn settings(&self, name: &str, place: Place) -> anyhow::Result<Settings> {
        let text = format!(
            "[vm]\nname = {name}\nregion = {}\ndomain = {}\ndrain_grace_ms = 300\n\
             [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             [platform]\naddr = {}\n[peer]\nkey = {KEY}\nadmin_token = {TOKEN}\n\
             [network]\n{}\n[log]\nsample = {}\n",
            place.region.0,
            place.domain.0,
            self.platform_addr,
            self.network(),
            self.size.sample,
        );
        tgw_settings::parse("demo", &text)
            .map_err(|findings| anyhow::anyhow!("the demo's settings: {findings:?}"))
    }

    fn network(&self) -> String {
        let distance = self.size.user.distance();
        let us = |ms: f64| Millis::from_f64(if self.size.distances { ms } else { 0.0 }).as_micros();
        format!(
            "local_us = {}\ndomains_us = {}\nregions_us = {}",
            us(distance.same_domain_ms),
            us(distance.cross_domain_ms),
            us(distance.cross_region_ms)
        )
    }

    /// Where callers reach the VMs that run.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.vms.iter().filter_map(|vm| vm.handle.as_ref()).map(Handle::callers).collect()
    }

    /// Waits until all running VMs take queries and see one another.
    pub fn wait_ready(&self) -> anyhow::Result<()> {
        let until = std::time::Instant::now() + READY;
        let running = || self.vms.iter().filter_map(|vm| vm.handle.as_ref());
        let count = running().count() as u64;
        while !running().all(|h| h.ready() && h.members() >= count) {
            if std::time::Instant::now() > until {
                let seen: Vec<u64> = running().map(Handle::members).collect();
                anyhow::bail!("the VMs did not become ready; each sees {seen:?} of {count}");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Drains all VMs and stops the stand-ins; the names of VMs that left something undone.
    pub fn close(mut self) -> Vec<String> {
        let mut undone = Vec::new();
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
                undone.push(name);
            }
        }
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        undone
    }
}

type Started = (Platform, SocketAddr, Vec<Upstream>, Catalog);

/// Serves the platform and all upstreams until `stop` changes.
async fn stand_ins(
    user: User,
    mut catalog: Catalog,
    seed: u64,
    ready: mpsc::Sender<Started>,
    mut stop: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut listeners = Vec::new();
    for node in catalog.upstreams.values_mut() {
        let listener = TcpListener::bind(any).await?;
        node.addr = listener.local_addr()?;
        listeners.push((node.clone(), listener));
    }
    let sizes = user.services();
    let mut upstreams = Vec::new();
    for (node, listener) in listeners {
        let connect = Millis::new(sizes[usize::from(node.service.0)].connect_ms);
        let own = seed.wrapping_mul(1009).wrapping_add(u64::from(node.id.0) + 1);
        let upstream = Upstream::new(&catalog, &node, connect, own);
        upstreams.push(upstream.clone());
        tokio::task::spawn_local(async move { upstream.serve(listener).await });
    }
    let platform = Platform::default();
    let listener = TcpListener::bind(any).await?;
    let addr = listener.local_addr()?;
    let serving = platform.clone();
    tokio::task::spawn_local(async move { serving.serve(listener).await });
    let _ = ready.send((platform, addr, upstreams, catalog));
    let _ = stop.changed().await;
    Ok(())
}
