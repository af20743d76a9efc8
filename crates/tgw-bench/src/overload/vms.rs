use super::{death::name, upstream::SLOTS};
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

/// Shards of the index, as the users' site has them.
pub const SHARDS: usize = 10;
/// Regions, and VMs of all, as the users' site has them.
pub(super) const REGIONS: usize = 3;
/// VMs of all by default, as the users' site of one region each has them.
pub(super) const VMS: usize = 9;
/// Extra sends to a service that the operators allow for each request for it.
const SHARE: f64 = 0.2;
/// Connections that an upstream accepts besides, and for each VM, on the users' sites of 6 to 295 VMs.
const CONNECTIONS: f64 = 26.0;
const CONNECTIONS_A_VM: f64 = 0.573;
/// Extra sends to a service in ten seconds besides, and for each VM, on the same sites.
const CONSTANT: f64 = 40.0;
const CONSTANT_A_VM: f64 = 2.0;

/// How long an upstream that starts says that it will be slow.
const WARMUP: Millis = Millis::new(3_000);

/// How large a fleet is. The requests of all do not grow with its VMs, as on the users' sites.
#[derive(Copy, Clone, Debug)]
pub(super) struct Size {
    pub(super) vms: usize,
}

impl Size {
    fn connections(self) -> u32 {
        (CONNECTIONS + CONNECTIONS_A_VM * self.vms as f64) as u32
    }

    fn budget(self) -> Budget {
        Budget { share: SHARE, constant: CONSTANT + CONSTANT_A_VM * self.vms as f64 }
    }
}

/// One VM.
pub(super) struct Vm {
    pub(super) core: Core,
    pub(super) region: usize,
}

/// The number of the upstream that holds a shard in a region.
pub(super) fn upstream(shard: usize, region: usize) -> usize {
    shard * REGIONS + region
}

/// The routes of the full search and of the urgent one.
pub(super) fn routes() -> [Rc<Route>; 2] {
    let route = |name: &str, aim: u64, timeout: u64, least: f64| {
        let services = (0..SHARDS).map(|s| format!("s{s}").into()).collect();
        Rc::new(Route {
            name: name.into(),
            host: "a.example".into(),
            prefix: "/".into(),
            target: Target::Shards(Shards { services, limit: 5, least }),
            safety: Safety::Idempotent,
            timeout: Millis::new(timeout),
            aim: Millis::new(aim),
            attempts: 2,
            priority: 1,
            residency: Residency::default(),
        })
    };
    [route("full", 200, 1_000, 0.89), route("urgent", 100, 600, 0.75)]
}

/// A VM that has just started, with its connections made.
pub(super) fn vm(region: usize, size: Size, policy: Policy) -> Vm {
    let regions = (0..REGIONS).map(|r| (domain(r), format!("r{r}"))).collect();
    let mut core = Core::new(Place { domain: domain(region), regions }, size.budget(), policy);
    let mut config = Config::default();
    for shard in 0..SHARDS {
        let service: Rc<str> = format!("s{shard}").into();
        config.services.insert(
            service,
            Service { connections: size.connections(), warmup: Warmup::default() },
        );
        (0..REGIONS).for_each(|r| enter(&mut core, Millis::ZERO, upstream(shard, r), 0));
    }
    core.configure(&config);
    core.set_vms(Vms { all: size.vms as u32, in_region: (size.vms / REGIONS) as u32 });
    let elsewhere = (0..REGIONS).filter(|r| *r != region).map(|r| format!("r{r}"));
    core.fleet.set_peer_regions(elsewhere.collect());
    (0..SHARDS).for_each(|shard| connect(&mut core, upstream(shard, region), 0));
    Vm { core, region }
}

fn domain(region: usize) -> String {
    format!("d{region}")
}

/// A VM learns of an upstream in one of its lives, the first of which began long ago.
pub(super) fn enter(core: &mut Core, now: Millis, upstream: usize, life: u32) {
    let (shard, region) = (upstream / REGIONS, upstream % REGIONS);
    let entry = Entry {
        id: name(upstream, life).into(),
        started: 0,
        service: format!("s{shard}").into(),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        domain: domain(region).into(),
        slots: SLOTS as u32,
        draining: false,
        warmup: if life == 0 { Millis::ZERO } else { WARMUP },
    };
    core.fleet.put(now, entry);
}

/// A VM makes the connections that it may to an upstream of its region.
pub(super) fn connect(core: &mut Core, upstream: usize, life: u32) {
    let most = core.send_limits(&format!("s{}", upstream / REGIONS), SendMode::Peers).in_region;
    if let Some(key) = core.fleet.key(&name(upstream, life)) {
        (0..most).for_each(|_| core.fleet.connection_opened(key));
    }
}
