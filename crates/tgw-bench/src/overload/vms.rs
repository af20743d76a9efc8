use super::{termination::name, upstream::SLOTS};
use std::{
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};
use tgw_clock::Millis;
use tgw_forward::{
    Core, Policy,
    core::{Budget, SendMode, Vms},
    fleet::Place,
    upstream::Entry,
};
use tgw_route::{Config, Residency, Route, Safety, Service, Target, Warmup, config::Shards};

/// Shards of the index by default.
pub const SHARDS: usize = 10;
/// Number of regions.
pub(super) const REGIONS: usize = 3;
/// VMs in total by default: three a region.
pub(super) const VMS: usize = 9;
/// Extra sends to a service that are allowed for each request to it.
const EXTRA_SEND_RATIO: f64 = 0.2;
/// Connections that an upstream accepts: a constant part and a part for each VM, which fit fleets
/// of 6 to 295 VMs.
const BASE_CONNECTIONS: f64 = 26.0;
const CONNECTIONS_PER_VM: f64 = 0.573;
/// Extra sends to a service allowed in ten seconds beyond the share: a constant part and a part for
/// each VM, which fit the same fleets.
const BASE_EXTRA_SENDS: f64 = 40.0;
const EXTRA_SENDS_PER_VM: f64 = 2.0;

/// How long a starting upstream declares itself cold.
const WARMUP_MS: Millis = Millis::new(3_000);

/// Size of a deployment. The total request rate grows with neither number.
#[derive(Copy, Clone, Debug)]
pub(super) struct Size {
    pub(super) vms: usize,
    pub(super) shards: usize,
}

impl Size {
    /// Number of upstreams.
    pub(super) fn upstreams(self) -> usize {
        self.shards * REGIONS
    }

    fn connections(self) -> u32 {
        (BASE_CONNECTIONS + CONNECTIONS_PER_VM * self.vms as f64) as u32
    }

    fn budget(self) -> Budget {
        Budget {
            share: EXTRA_SEND_RATIO,
            constant: BASE_EXTRA_SENDS + EXTRA_SENDS_PER_VM * self.vms as f64,
        }
    }
}

/// One VM.
pub(super) struct Vm {
    pub(super) core: Core,
    pub(super) region: usize,
}

/// The number of the upstream that holds a shard in a region.
pub(super) fn upstream_number(shard: usize, region: usize) -> usize {
    shard * REGIONS + region
}

/// Least share of the shards in a success of the full or of the urgent search.
pub(super) fn min_shard_share(full: bool) -> f64 {
    if full { 0.89 } else { 0.75 }
}

/// The routes of the full and of the urgent search.
pub(super) fn routes(size: Size) -> [Rc<Route>; 2] {
    let route = |name: &str, aim: u64, timeout: u64, full: bool| {
        let services = (0..size.shards).map(|s| format!("s{s}").into()).collect();
        Rc::new(Route {
            name: name.into(),
            host: "a.example".into(),
            prefix: "/".into(),
            target: Target::Shards(Shards {
                services,
                result_limit: 5,
                min_shard_share: min_shard_share(full),
            }),
            safety: Safety::Idempotent,
            timeout: Millis::new(timeout),
            target_latency: Millis::new(aim),
            max_attempts: 2,
            priority: 1,
            residency: Residency::default(),
            anonymous: false,
        })
    };
    [route("full", 200, 1_000, true), route("urgent", 100, 600, false)]
}

/// A VM that has just started, already connected to the upstreams of its region.
pub(super) fn start_vm(region: usize, size: Size, policy: Policy) -> Vm {
    let regions = (0..REGIONS).map(|r| (domain(r), format!("r{r}"))).collect();
    let mut core = Core::new(Place { domain: domain(region), regions }, size.budget(), policy);
    let mut config = Config::default();
    for shard in 0..size.shards {
        let service: Rc<str> = format!("s{shard}").into();
        config.services.insert(
            service,
            Service { max_connections: size.connections(), warmup: Warmup::default() },
        );
        (0..REGIONS)
            .for_each(|r| add_upstream(&mut core, Millis::ZERO, upstream_number(shard, r), 0));
    }
    core.configure(&config);
    core.set_vms(Vms { all: size.vms as u32, in_region: (size.vms / REGIONS) as u32 });
    let elsewhere = (0..REGIONS).filter(|r| *r != region).map(|r| format!("r{r}"));
    core.fleet.set_peer_regions(elsewhere.collect());
    (0..size.shards).for_each(|shard| connect(&mut core, upstream_number(shard, region), 0));
    Vm { core, region }
}

fn domain(region: usize) -> String {
    format!("d{region}")
}

/// Adds an upstream to a VM's fleet; generation 0 started long ago and is warm.
pub(super) fn add_upstream(core: &mut Core, now: Millis, upstream: usize, generation: u32) {
    let (shard, region) = (upstream / REGIONS, upstream % REGIONS);
    let entry = Entry {
        id: name(upstream, generation).into(),
        started: 0,
        heartbeats: 0,
        service: format!("s{shard}").into(),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        domain: domain(region).into(),
        slots: SLOTS as u32,
        draining: false,
        warmup: if generation == 0 { Millis::ZERO } else { WARMUP_MS },
    };
    core.fleet.put(now, entry);
}

/// Opens a VM's allowed connections to an upstream of its region.
pub(super) fn connect(core: &mut Core, upstream: usize, generation: u32) {
    let most = core.send_limits(&format!("s{}", upstream / REGIONS), SendMode::Peers).in_region;
    if let Some(key) = core.fleet.key(&name(upstream, generation)) {
        (0..most).for_each(|_| core.fleet.connection_opened(key));
    }
}
