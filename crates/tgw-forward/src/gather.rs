//! Gathering: which VM sends the parts of a query.
//!
//! Sending a part and reading its reply takes processor time, and a query over a hundred shards keeps a VM with a
//! tenth of a core busy for a hundred milliseconds. A VM therefore hands such a query to a more powerful one nearby,
//! the gatherer, which makes all sends, merges the parts and returns one answer. Where all VMs are alike, each
//! gathers its own queries. As few VMs send to the upstreams then, their connections stay in use, and the budget for
//! extra sends is divided among them.

use std::{collections::BTreeSet, net::SocketAddr};
use tgw_clock::Millis;

/// Processor time of a whole core for sending one part and reading its reply, in ms.
const PART_COST_MS: f64 = 0.12;
/// Time that handing a query to another VM of the failure domain and back takes, in ms.
const HANDOVER_COST_MS: f64 = 3.0;
/// Power of a gatherer, relative to the most powerful VM of its region.
const MIN_RELATIVE_POWER: f64 = 0.5;
/// Part of connections and budgets that is left to VMs that are no gatherers: they make the sends where no gatherer
/// answers.
const COMMON_PART: f64 = 0.1;

/// Time in ms that a query's ways to the gatherer and back take.
const TRANSIT_MS: Millis = Millis::new(3);

/// The arrival from which a gatherer measures the limits of a query that it receives at `now`, at the age of `age`, from
/// a VM that needs `delivery` to answer the caller: so much earlier than it was that its answer is in time there.
pub fn arrival(now: Millis, age: Millis, delivery: Millis) -> Millis {
    now - (age + delivery + TRANSIT_MS)
}

/// A live VM that can gather.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Its identity.
    pub id: u64,
    /// Its address.
    pub addr: SocketAddr,
    /// Its power in thousandths of a core; zero if not stated.
    pub power: u32,
    /// The number of its failure domain.
    pub domain: u8,
    /// The number of its region.
    pub region: u8,
}

/// The gatherers of a fleet, as one VM sees them. All VMs select the same ones, except while news of a change spreads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Gathering {
    own_power: u32,
    /// Power of the least powerful VM of the fleet that states one.
    least_power: u32,
    /// Power of the most powerful VM of this region.
    most_power: u32,
    /// Whether this VM gathers for others.
    is_gatherer: bool,
    /// All gatherers.
    addrs: BTreeSet<SocketAddr>,
    /// Other gatherers: those of this failure domain, or else of the region.
    nearby: Vec<SocketAddr>,
    /// Gatherers of all regions and of this one, this VM included.
    gatherers: u32,
    gatherers_in_region: u32,
    vms: u32,
}

impl Gathering {
    /// Selects the gatherers among all live VMs, of which `own` is this one.
    pub fn new(own: u64, vms: &[Vm]) -> Self {
        let Some(this) = vms.iter().find(|vm| vm.id == own) else { return Self::default() };
        let most_power = |region: u8| {
            let powers = vms.iter().filter(|vm| vm.region == region).map(|vm| vm.power);
            powers.max().unwrap_or_default()
        };
        // A VM that states no power is asked for nothing, but gathers its own queries.
        let is_gatherer = |vm: &&Vm| {
            vm.power == 0
                || f64::from(vm.power) >= f64::from(most_power(vm.region)) * MIN_RELATIVE_POWER
        };
        let gatherers: Vec<&Vm> = vms.iter().filter(is_gatherer).collect();
        let others = gatherers.iter().filter(|vm| vm.id != own && vm.power > 0);
        let in_region: Vec<&Vm> = others.filter(|vm| vm.region == this.region).copied().collect();
        let in_domain = in_region.iter().filter(|vm| vm.domain == this.domain);
        let mut nearby: Vec<SocketAddr> = in_domain.map(|vm| vm.addr).collect();
        if nearby.is_empty() {
            nearby = in_region.iter().map(|vm| vm.addr).collect();
        }
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let stated = vms.iter().map(|vm| vm.power).filter(|power| *power > 0);
        Self {
            own_power: this.power,
            least_power: stated.min().unwrap_or_default(),
            most_power: most_power(this.region),
            is_gatherer: gatherers.iter().any(|vm| vm.id == own),
            addrs: gatherers.iter().map(|vm| vm.addr).collect(),
            nearby,
            gatherers: count(gatherers.len()),
            gatherers_in_region: count(
                gatherers.iter().filter(|vm| vm.region == this.region).count(),
            ),
            vms: count(vms.len()),
        }
    }

    /// The gatherer for a query of this VM; `None` if it is best made from here. `number` differs from query to
    /// query, so that the queries are spread. Gatherers for which `is_silent` holds are left out.
    pub fn choose(
        &self,
        parts: usize,
        number: u32,
        is_silent: impl Fn(&SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        if self.is_gatherer || !pays(parts, self.own_power, self.most_power) {
            return None;
        }
        let answering = || self.nearby.iter().filter(|addr| !is_silent(addr));
        let count = answering().count();
        answering().nth(number as usize % count.max(1)).copied()
    }

    /// Whether a VM is a gatherer, and so has connections to upstreams that are in use.
    pub fn contains(&self, addr: &SocketAddr) -> bool {
        self.addrs.contains(addr)
    }

    /// Whether VMs hand queries with this number of parts to gatherers.
    pub(crate) fn applies(&self, parts: usize) -> bool {
        self.gatherers < self.vms && pays(parts, self.least_power, self.most_power)
    }

    /// This VM's part of what VMs share for a service of gathered queries, such as the budget for extra sends.
    pub(crate) fn share(&self) -> f64 {
        let common = COMMON_PART / f64::from(self.vms.max(1));
        let own = (1.0 - COMMON_PART) / f64::from(self.gatherers.max(1));
        if self.is_gatherer { common + own } else { common }
    }

    /// The VMs that share an upstream's connections for gathered queries, in all regions and in this one; `None` if
    /// this VM is no gatherer.
    pub(crate) fn senders(&self) -> Option<(u32, u32)> {
        self.is_gatherer.then_some((self.gatherers.max(1), self.gatherers_in_region.max(1)))
    }

    /// Connections to an upstream that gatherers share.
    pub(crate) fn connections(connections: u32) -> u32 {
        (f64::from(connections) * (1.0 - COMMON_PART)) as u32
    }
}

/// Whether a VM with `power` answers a query sooner through one with `other_power`.
fn pays(parts: usize, power: u32, other_power: u32) -> bool {
    if power == 0 || other_power == 0 {
        return false;
    }
    let cost_ms = |power: u32| parts as f64 * PART_COST_MS * 1_000.0 / f64::from(power);
    cost_ms(power) > cost_ms(other_power) + HANDOVER_COST_MS
}
