use crate::vm_faults::{Fault, FaultKind};
use derive_more::Display;
use tgw_clock::Millis;
use tgw_tenant::{Allowance, limit::Terms};

/// Which VMs hold a tenant's limit.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub enum Way {
    /// One VM of each region holds a part.
    #[display("a holder a region")]
    PerRegion,
    /// One VM holds the whole limit.
    #[display("one holder")]
    Single,
}

/// Setup of one run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// VMs in total, in three regions.
    pub vms: usize,
    /// Who holds the limits.
    pub way: Way,
    /// Number of tenants; their demand falls with their rank, as in Zipf's law.
    pub tenants: usize,
    /// Requests a second of all tenants together, without the hot one's additional ones.
    pub requests_per_s: f64,
    /// Factor by which the largest tenant exceeds its usual demand from the begin of the faults on.
    pub hot_factor: f64,
    /// All callers of the second largest tenant use one region.
    pub one_sided: bool,
    /// The two largest tenants and the smallest one ask for [`EAGER_FACTOR`] times their limit's rate all the time.
    pub eager: bool,
    /// The faults.
    pub faults: Vec<Fault>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Exponent of the tenants' demand by rank.
const DEMAND_EXPONENT: f64 = 1.2;
/// Factor by which a limit exceeds its tenant's usual demand.
const LIMIT_FACTOR: f64 = 1.6;
/// Factor of the rate of its limit at which an eager tenant asks. With 4, the random arrivals of the smallest one leave
/// windows with fewer requests than its limit.
pub const EAGER_FACTOR: f64 = 10.0;
/// When faults begin and end.
pub(super) const FAULT_START_MS: Millis = Millis::new(22_000);
const FAULT_END_MS: Millis = Millis::new(28_000);

impl Setup {
    /// A setup without faults, with one tenant at six times its usual demand.
    pub fn healthy(vms: usize, way: Way, seed: u64) -> Self {
        Self {
            vms,
            way,
            tenants: 80,
            requests_per_s: 120.0,
            hot_factor: 6.0,
            one_sided: true,
            eager: false,
            faults: Vec::new(),
            seed,
        }
    }

    /// Adds a fault.
    #[must_use]
    pub fn with_fault(mut self, kind: FaultKind, share: f64) -> Self {
        let until = if kind == FaultKind::LimitLowered { Millis::MAX } else { FAULT_END_MS };
        self.faults.push(Fault { at: FAULT_START_MS, until, kind, share });
        self
    }

    /// Makes some tenants ask for more than their limits all the time.
    #[must_use]
    pub fn eager(self) -> Self {
        Self { eager: true, ..self }
    }

    /// How the limits are measured.
    pub fn terms(&self) -> Terms {
        let regions = match self.way {
            Way::PerRegion => 3,
            Way::Single => 1,
        };
        Terms { window: Millis::new(5_000), excess: 0.1, slack: 20.0, regions }
    }

    /// The usual demand of a tenant, in requests a second.
    pub(super) fn demand(&self, tenant: usize) -> f64 {
        let weight = |rank: usize| ((rank + 1) as f64).powf(-DEMAND_EXPONENT);
        let all: f64 = (0..self.tenants).map(weight).sum();
        self.requests_per_s * weight(tenant) / all
    }

    /// Whether a tenant asks for more than its limit all the time.
    pub(super) fn is_eager(&self, tenant: usize) -> bool {
        self.eager && (tenant < 2 || tenant + 1 == self.tenants)
    }

    /// The limit of a tenant before any change.
    pub(super) fn allowance(&self, tenant: usize) -> Allowance {
        let rate_per_s = (self.demand(tenant) * LIMIT_FACTOR).ceil();
        Allowance { rate_per_s, burst: rate_per_s }
    }
}

/// The named setups of a report, with and without faults, and each with eager tenants.
pub fn setups(vms: usize, way: Way, seed: u64) -> Vec<(String, Setup)> {
    let healthy = || Setup::healthy(vms, way, seed);
    let with = |kind, share| healthy().with_fault(kind, share);
    let named = |name: &str, setup: Setup| (name.to_owned(), setup);
    let mut setups = vec![
        named("nothing else", healthy()),
        named("a third alone", with(FaultKind::Isolated, 0.34)),
        named("a third on an island", with(FaultKind::Partitioned, 0.34)),
        named("half on an island", with(FaultKind::Partitioned, 0.5)),
        named("a region cut off", with(FaultKind::RegionCut, 0.0)),
        named("a third paused", with(FaultKind::Paused, 0.34)),
        named("half restarted", with(FaultKind::Restarted, 0.55)),
        named("all restarted", with(FaultKind::Restarted, 1.0)),
        named("packets lost", with(FaultKind::Lossy, 0.0)),
        named("limit halved", with(FaultKind::LimitLowered, 0.0)),
        named(
            "limit halved, half restarted",
            with(FaultKind::LimitLowered, 0.0).with_fault(FaultKind::Restarted, 0.55),
        ),
    ];
    let eager =
        setups.iter().map(|(name, setup)| (format!("{name}, eager"), setup.clone().eager()));
    setups.extend(eager.collect::<Vec<_>>());
    setups
}
