use crate::{
    Fleet, Gathering, Margin, Policy, Window,
    fleet::{Key, Place},
    plan::{Requirement, Trigger},
    upstream::Distance,
    warmup::Headroom,
};
use smallvec::{SmallVec, smallvec};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    rc::Rc,
};
use tgw_admission::{Admission, Settings};
use tgw_clock::Millis;
use tgw_quarantine::Tracker;
use tgw_route::{Config, Residency, RoundRobin, Route, Target};
use tgw_tail::Hedge;

/// Fraction of a route's latency target after which it hedges before any latency was sampled: a
/// smaller fraction duplicated requests that were about to be answered (a route with 90 ms of work
/// has a target of 400 ms).
const HEDGE_START_FACTOR: f64 = 0.35;
/// VM count assumed before the live VMs are counted. Too small a count would open more connections
/// than upstreams accept, and these would reset them: six VMs restarted together each took all
/// 25 that an upstream accepts.
const ASSUMED_VMS: u32 = 8;
/// Fraction of the operators' budget that is spent: requests that callers sent but that never
/// arrived count on neither side, and a restarted VM forgets what it spent.
const USABLE_BUDGET_FACTOR: f64 = 0.92;

/// The operators' budget for extra sends (hedges and retries), over all VMs.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub struct Budget {
    /// Extra sends to a service per request for it.
    pub share: f64,
    /// Extra sends to a service allowed beyond that in a window.
    pub constant: f64,
}

/// Numbers of live VMs, including this one.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct Vms {
    /// In all regions.
    pub all: u32,
    /// In this VM's region.
    pub in_region: u32,
}

/// Limits on concurrent sends from this VM to one upstream.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct SendLimits {
    /// For an upstream in this VM's region.
    pub in_region: u32,
    /// For an upstream in another region.
    pub other_regions: u32,
    /// For an upstream in another region, through VMs there; zero if sends go direct.
    pub peer: u32,
}

/// How sends reach upstreams of other regions.
///
/// Through peers, a send uses a connection that the upstream's region keeps busy. A direct hedge
/// often has to connect first (30 ms, and 6 ms of an upstream's slot: at least 47 of 100 hedges of
/// 90 VMs, by their log lines). After a power failure, direct connections also leave dead
/// connections of all VMs rather than of one region at the upstream, which fill it.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum SendMode {
    /// On this VM's own connections.
    Direct,
    /// Through VMs in the upstream's region.
    Peers,
}

/// State and decisions of one VM.
#[derive(Debug, Default)]
pub struct Core {
    /// The known upstreams.
    pub fleet: Fleet,
    /// Time reserved to deliver an answer.
    pub margin: Margin,
    /// Admission of queries.
    pub admission: Admission,
    /// Requests under which upstreams terminated.
    pub quarantine: Tracker,
    budget: Budget,
    policy: Policy,
    vms: Vms,
    /// Which VMs send the parts of queries.
    gathering: Gathering,
    /// The number of parts of the largest query that each service is a shard of.
    parts: BTreeMap<Rc<str>, usize>,
    connections: HashMap<Rc<str>, u32>,
    /// Residency by route, for routes restricted to some regions.
    residencies: HashMap<Rc<str>, Residency>,
    /// Single services that serve a route which is restricted to some regions.
    restricted: BTreeSet<Rc<str>>,
    windows: HashMap<Rc<str>, Window>,
    hedges: HashMap<Rc<str>, [Hedge; 3]>,
    shares: HashMap<Rc<str>, RoundRobin>,
}

impl Core {
    /// Creates a core without upstreams or configuration.
    pub fn new(place: Place, budget: Budget, policy: Policy) -> Self {
        Self {
            fleet: Fleet::new(place, policy),
            budget,
            policy,
            admission: Admission::new(Settings {
                enabled: policy.admission,
                wait_share: policy.admission_wait,
            }),
            vms: Vms { all: ASSUMED_VMS, in_region: 1 },
            ..Self::default()
        }
    }

    /// Applies a version of the configuration.
    pub fn configure(&mut self, config: &Config) {
        self.connections =
            config.services.iter().map(|(name, s)| (name.clone(), s.max_connections)).collect();
        self.parts = parts_by_service(config);
        self.fleet.set_cold_limits(config);
        let restricted = config.routes.iter().filter(|route| !route.residency.is_unrestricted());
        self.restricted = restricted.clone().flat_map(single_services).collect();
        self.residencies = restricted.map(|r| (r.name.clone(), r.residency.clone())).collect();
        let routes: HashSet<&str> = config.routes.iter().map(|route| &*route.name).collect();
        self.admission
            .retain(|name| routes.contains(name), |name| config.services.contains_key(name));
        self.windows.retain(|name, _| config.services.contains_key(name));
        self.hedges.retain(|name, _| config.routes.iter().any(|r| r.name == *name));
        self.shares.retain(|name, _| config.routes.iter().any(|r| r.name == *name));
    }

    /// Whether a single service serves a route that is restricted to some regions.
    pub(crate) fn is_restricted(&self, service: &str) -> bool {
        self.restricted.contains(service)
    }

    /// The residency of a route in the current configuration, if it has one.
    pub(crate) fn residency(&self, route: &str) -> Option<&Residency> {
        self.residencies.get(route)
    }

    /// Sets the operators' budget.
    pub fn set_budget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    /// Sets how far sends to cold upstreams may exceed the configured rate.
    pub fn set_headroom(&mut self, headroom: Headroom) {
        self.fleet.set_headroom(headroom);
    }

    /// Sets the numbers of live VMs that share the connections and the budgets.
    pub fn set_vms(&mut self, vms: Vms) {
        let in_region = vms.in_region.max(1);
        self.vms = Vms { all: vms.all.max(in_region), in_region };
    }

    /// Sets the VMs that gather.
    pub fn set_gathering(&mut self, gathering: Gathering) {
        self.gathering = gathering;
    }

    /// Which VMs gather.
    pub fn gathering(&self) -> &Gathering {
        &self.gathering
    }

    /// Whether the sends to a service are made by gatherers.
    fn is_gathered(&self, service: &str) -> bool {
        self.parts.get(service).is_some_and(|parts| self.gathering.applies(*parts))
    }

    /// The policy in force.
    pub fn policy(&self) -> Policy {
        self.policy
    }

    /// The numbers of live VMs.
    pub fn vms(&self) -> Vms {
        self.vms
    }

    /// Limits on concurrent sends from this VM to one upstream of a service: its share of the
    /// connections that the upstream accepts from all VMs.
    pub fn send_limits(&self, service: &str, mode: SendMode) -> SendLimits {
        let (in_region, other_regions) = self.connection_shares(service);
        let direct = SendLimits {
            in_region: in_region.max(1),
            other_regions: other_regions.max(1),
            peer: 0,
        };
        match mode {
            SendMode::Direct => direct,
            SendMode::Peers if !self.policy.peers => direct,
            // VMs of other regions make no connections here, so the VMs of the upstream's region
            // share all of them.
            SendMode::Peers => SendLimits {
                in_region: self.connections_in_region(service).max(1),
                peer: self.policy.peer_most as u32,
                ..direct
            },
        }
    }

    /// Limit on idle connections to an upstream: half of this VM's share, and zero where there are
    /// more VMs than connections.
    ///
    /// No VM is guaranteed a connection. Of 295 VMs sending to an upstream with 195 connections,
    /// the last of its service, each kept the one that it got: upstreams reset 784 connections in a
    /// day, and 129 with this limit.
    pub fn idle_connection_limit(&self, key: Key) -> usize {
        let Some(upstream) = self.fleet.get(key) else { return 0 };
        let (in_region, other_regions) = self.connection_shares(&upstream.entry.service);
        let share =
            if upstream.distance == Distance::OtherRegion { other_regions } else { in_region };
        if share == 0 { 0 } else { (share / 2).max(1) as usize }
    }

    /// Connections that one upstream of a service accepts.
    fn connections_of(&self, service: &str) -> u32 {
        self.connections.get(service).copied().unwrap_or(1)
    }

    /// This VM's share of the connections to one upstream of a service in its region, if no VM of
    /// another region connects there.
    fn connections_in_region(&self, service: &str) -> u32 {
        let connections = self.connections_of(service);
        if !self.is_gathered(service) {
            return connections / self.vms.in_region;
        }
        let senders = self.gathering.senders();
        senders.map_or(0, |(_, in_region)| Gathering::connections(connections) / in_region)
    }

    /// This VM's share of the connections to one upstream of a service, in its own region and in
    /// another one.
    fn connection_shares(&self, service: &str) -> (u32, u32) {
        let mut connections = self.connections_of(service);
        let Vms { mut all, mut in_region } = self.vms;
        if self.is_gathered(service) {
            let Some(senders) = self.gathering.senders() else { return (0, 0) };
            (all, in_region) = senders;
            connections = Gathering::connections(connections);
        }
        // All VMs get the same share, and the remainder from rounding goes to the upstream's
        // region. Reserving a quarter for that region from the start was worse, as it is then
        // missing where a pause diverts requests (worth 0.637 against 0.590 on a large-scale run of
        // 7 VMs, mean of 8 runs).
        let other_regions = connections / all;
        let rest = connections.saturating_sub(other_regions * (all - in_region));
        (rest / in_region, other_regions)
    }

    /// Counts a request for a service towards its budget.
    pub(crate) fn count_request(&mut self, now: Millis, service: &Rc<str>) {
        self.windows.entry(service.clone()).or_default().count_request(now);
    }

    /// Takes one extra send to a service from the budget; false if the budget does not allow it.
    pub(crate) fn spend(
        &mut self,
        now: Millis,
        service: &Rc<str>,
        trigger: Trigger,
        requirement: Requirement,
    ) -> bool {
        let Policy { split, judged, hedge_budget, hedge_spread, .. } = self.policy;
        let share = self.budget.share * USABLE_BUDGET_FACTOR;
        let part = match self.is_gathered(service) {
            true => self.gathering.share(),
            false => 1.0 / f64::from(self.vms.all),
        };
        let constant = self.budget.constant * USABLE_BUDGET_FACTOR * part;
        let window = self.windows.entry(service.clone()).or_default();
        let allowed = window.allowed(now, share, constant);
        let mut limit = allowed;
        if requirement == Requirement::Required {
            window.count_required(now);
        } else if judged {
            let pressure = window.pressure(now, allowed) * self.policy.pressure_gain;
            limit *= 1.0 - pressure.min(1.0) * (1.0 - self.policy.raise_share);
        }
        if trigger == Trigger::Hedge && split {
            limit = limit.min(allowed * hedge_budget + allowed.sqrt() * hedge_spread);
        }
        window.spend(now, limit)
    }

    /// Takes one extra send to a service from this VM's budget for another VM whose own is
    /// exhausted. Each VM charges what it lends to its own share, so that the total over all VMs
    /// holds even if some die. While this VM's own answers fail for lack of extra sends, it lends
    /// little, and while upstreams are overloaded nothing.
    pub fn lend(&mut self, now: Millis, service: &Rc<str>) -> bool {
        !self.admission.is_overloaded(now)
            && self.spend(now, service, Trigger::Retry, Requirement::Optional)
    }

    /// Returns one extra send to the budget because it reached no upstream.
    pub fn refund(&mut self, service: &str) {
        if let Some(window) = self.windows.get_mut(service) {
            window.refund();
        }
    }

    /// The hedging state of a route for upstreams at a distance.
    pub(crate) fn hedge(&mut self, route: &Route, distance: Distance) -> &mut Hedge {
        let start = route.target_latency.mul_f64(HEDGE_START_FACTOR);
        let share = self.policy.hedge_share;
        let hedges = self.hedges.entry(route.name.clone()).or_insert_with(|| {
            std::array::from_fn(|_| Hedge::new(share).with_initial_delay(start))
        });
        match distance {
            Distance::Domain => &mut hedges[0],
            Distance::Region => &mut hedges[1],
            Distance::OtherRegion => &mut hedges[2],
        }
    }

    /// The next service of a weighted route.
    pub(crate) fn next_target(
        &mut self,
        route: &Rc<str>,
        targets: &[(Rc<str>, f64)],
    ) -> Option<Rc<str>> {
        self.shares.entry(route.clone()).or_default().next(targets)
    }
}

/// The services to one of which a request of a route goes.
fn single_services(route: &Rc<Route>) -> SmallVec<[Rc<str>; 1]> {
    match &route.target {
        Target::Single(service) => smallvec![service.clone()],
        Target::Weighted(services) => services.iter().map(|(name, _)| name.clone()).collect(),
        Target::Shards(_) => SmallVec::new(),
    }
}

/// The number of parts of the largest query that each service is a shard of.
fn parts_by_service(config: &Config) -> BTreeMap<Rc<str>, usize> {
    let mut parts: BTreeMap<Rc<str>, usize> = BTreeMap::new();
    for route in &config.routes {
        if let Target::Shards(shards) = &route.target {
            for service in &shards.services {
                let most = parts.entry(service.clone()).or_default();
                *most = (*most).max(shards.services.len());
            }
        }
    }
    parts
}
