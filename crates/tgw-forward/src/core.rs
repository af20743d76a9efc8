use crate::{
    Fleet, Margin, Policy, Window,
    fleet::{Key, Place},
    plan::{Need, Why},
    upstream::Distance,
    warmup::Excess,
};
use std::{collections::HashMap, rc::Rc};
use tgw_clock::Millis;
use tgw_quarantine::Ledger;
use tgw_route::{Config, Residency, Route, Share};
use tgw_tail::Hedge;

/// The part of a route's aim after which a second send is made before latencies were seen: sooner
/// ones fell on requests that were on their way (a route of 90 ms of work has an aim of 400 ms).
const HEDGE_START: f64 = 0.35;
/// VMs that are assumed before the live ones were counted. Too few would open connections that the
/// upstreams reset: each of six VMs restarted at once took all 25 that an upstream accepts.
const VMS_ASSUMED: u32 = 8;
/// The part of the operators' budget that is used: requests that callers sent and that never
/// arrived count on neither side, and a restarted VM forgets what it spent.
const BUDGET_USED: f64 = 0.92;

/// The operators' budget for extra sends, over all VMs.
#[derive(Copy, Clone, Debug, Default, PartialEq)]
pub struct Budget {
    /// Extra sends to a service for each request for it.
    pub share: f64,
    /// Extra sends to a service beyond that, in a window.
    pub constant: f64,
}

/// Live VMs, this one included.
#[derive(Copy, Clone, Debug, Default, PartialEq, Eq)]
pub struct Vms {
    /// Everywhere.
    pub all: u32,
    /// In this VM's region.
    pub near: u32,
}

/// Sends that an upstream may hold at once from this VM.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Most {
    /// Where it is in this VM's region.
    pub near: u32,
    /// Where it is elsewhere.
    pub far: u32,
    /// Through VMs of its region, where it is elsewhere; zero for sends that go direct.
    pub peer: u32,
}

/// How sends reach upstreams of other regions.
///
/// Through peers, an upstream is reached on a connection that its region uses all the time. Direct, a
/// second send there often begins by making one (30 ms, and a slot for 6 ms: 47 of 100 hedges of 90 VMs
/// at least, by their log lines), and after a loss of power the dead connections of all VMs, not of one
/// region, fill the upstream.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum Way {
    /// On connections of this VM everywhere.
    Direct,
    /// Through VMs that live there.
    Peers,
}

/// What one VM knows and decides with.
#[derive(Debug, Default)]
pub struct Core {
    /// The upstreams.
    pub fleet: Fleet,
    /// What an answer takes to leave.
    pub margin: Margin,
    /// Requests under which upstreams ended.
    pub quarantine: Ledger,
    budget: Budget,
    policy: Policy,
    vms: Vms,
    connections: HashMap<Rc<str>, u32>,
    /// Of the routes that name regions.
    residencies: HashMap<Rc<str>, Residency>,
    windows: HashMap<Rc<str>, Window>,
    hedges: HashMap<Rc<str>, [Hedge; 3]>,
    shares: HashMap<Rc<str>, Share>,
}

impl Core {
    /// Knows nothing yet.
    pub fn new(place: Place, budget: Budget, policy: Policy) -> Self {
        Self {
            fleet: Fleet::new(place, policy),
            budget,
            policy,
            vms: Vms { all: VMS_ASSUMED, near: 1 },
            ..Self::default()
        }
    }

    /// Takes over a version of the configuration.
    pub fn configure(&mut self, config: &Config) {
        self.connections =
            config.services.iter().map(|(name, s)| (name.clone(), s.connections)).collect();
        self.fleet.set_warmups(config);
        let bound = config.routes.iter().filter(|route| !route.residency.is_free());
        self.residencies = bound.map(|r| (r.name.clone(), r.residency.clone())).collect();
        self.windows.retain(|name, _| config.services.contains_key(name));
        self.hedges.retain(|name, _| config.routes.iter().any(|r| r.name == *name));
        self.shares.retain(|name, _| config.routes.iter().any(|r| r.name == *name));
    }

    /// Where requests of a route may be served by the configuration in force, if it says so.
    pub(crate) fn residency(&self, route: &str) -> Option<&Residency> {
        self.residencies.get(route)
    }

    /// Sets the operators' budget.
    pub fn set_budget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    /// Sets what cold upstreams may get beyond what they state.
    pub fn set_excess(&mut self, excess: Excess) {
        self.fleet.set_excess(excess);
    }

    /// Sets the live VMs that share the connections and the budgets.
    pub fn set_vms(&mut self, vms: Vms) {
        let near = vms.near.max(1);
        self.vms = Vms { all: vms.all.max(near), near };
    }

    /// What it decides by.
    pub fn policy(&self) -> Policy {
        self.policy
    }

    /// The live VMs.
    pub fn vms(&self) -> Vms {
        self.vms
    }

    /// Sends that one upstream of a service may hold at once from this VM: its part of the
    /// connections that the upstream accepts from all VMs.
    pub fn most(&self, service: &str, way: Way) -> Most {
        let (near, far) = self.parts(service);
        let direct = Most { near: near.max(1), far: far.max(1), peer: 0 };
        match way {
            Way::Direct => direct,
            Way::Peers if !self.policy.peers => direct,
            // Other regions make no connections, so that those of the upstream's region share all.
            Way::Peers => Most {
                near: (self.connections_of(service) / self.vms.near).max(1),
                peer: self.policy.peer_most as u32,
                ..direct
            },
        }
    }

    /// Idle connections to an upstream that are kept: half of this VM's part, and none where there are more VMs
    /// than connections.
    ///
    /// Nobody has a connection by right. An upstream of 195 connections that is the last of its service was asked by
    /// 295 VMs, each of which kept the one that it got: upstreams reset 784 connections on such a day, 129 with this.
    pub fn keep(&self, key: Key) -> usize {
        let Some(upstream) = self.fleet.get(key) else { return 0 };
        let (near, far) = self.parts(&upstream.entry.service);
        let part = if upstream.distance == Distance::Far { far } else { near };
        if part == 0 { 0 } else { (part / 2).max(1) as usize }
    }

    /// Connections that one upstream of a service accepts.
    fn connections_of(&self, service: &str) -> u32 {
        self.connections.get(service).copied().unwrap_or(1)
    }

    /// This VM's part of the connections to one upstream of a service, in its own region and elsewhere.
    fn parts(&self, service: &str) -> (u32, u32) {
        let connections = self.connections_of(service);
        let Vms { all, near } = self.vms;
        // All VMs get the same, and what is left by rounding goes to those of the upstream's region.
        // A quarter kept for these from the start was worse: it lacks where a pause diverts requests
        // (worth 0.637 against 0.590 on the scale day of 7 VMs, mean of 8 runs).
        let far = connections / all;
        let rest = connections.saturating_sub(far * (all - near));
        (rest / near, far)
    }

    /// Counts a request for a service.
    pub(crate) fn request(&mut self, now: Millis, service: &Rc<str>) {
        self.windows.entry(service.clone()).or_default().request(now);
    }

    /// Takes one extra send to a service from the budget.
    pub(crate) fn spend(&mut self, now: Millis, service: &Rc<str>, why: Why, need: Need) -> bool {
        let Policy { split, judged, hedge_budget, hedge_spread, .. } = self.policy;
        let share = self.budget.share * BUDGET_USED;
        let constant = self.budget.constant * BUDGET_USED / f64::from(self.vms.all);
        let window = self.windows.entry(service.clone()).or_default();
        let allowed = window.allowed(now, share, constant);
        let mut most = allowed;
        if need == Need::Least {
            window.need(now);
        } else if judged {
            let pressure = window.pressure(now, allowed) * self.policy.pressure_gain;
            most *= 1.0 - pressure.min(1.0) * (1.0 - self.policy.raise_share);
        }
        if why == Why::Hedge && split {
            most = most.min(allowed * hedge_budget + allowed.sqrt() * hedge_spread);
        }
        window.spend(now, most)
    }

    /// Takes one extra send to a service from the budget for another VM, whose own is used up. Each VM charges what
    /// it lends to its own part, so that the sum over all VMs holds whoever dies; and while answers of its own fail
    /// for want of extra sends, it lends little.
    pub fn lend(&mut self, now: Millis, service: &Rc<str>) -> bool {
        self.spend(now, service, Why::Retry, Need::Raise)
    }

    /// Gives back one extra send to a service that reached no upstream.
    pub fn refund(&mut self, service: &str) {
        if let Some(window) = self.windows.get_mut(service) {
            window.refund();
        }
    }

    /// The second sends of a route to upstreams at a distance.
    pub(crate) fn hedge(&mut self, route: &Route, distance: Distance) -> &mut Hedge {
        let start = route.aim.scale(HEDGE_START);
        let share = self.policy.hedge_share;
        let hedges = self
            .hedges
            .entry(route.name.clone())
            .or_insert_with(|| std::array::from_fn(|_| Hedge::new(share).starting(start)));
        match distance {
            Distance::Domain => &mut hedges[0],
            Distance::Region => &mut hedges[1],
            Distance::Far => &mut hedges[2],
        }
    }

    /// The next service of a weighted route.
    pub(crate) fn deal(&mut self, route: &Rc<str>, targets: &[(Rc<str>, f64)]) -> Option<Rc<str>> {
        self.shares.entry(route.clone()).or_default().next(targets)
    }
}
