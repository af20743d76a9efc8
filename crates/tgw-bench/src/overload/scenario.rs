//! The faults of a run and when they occur.

use derive_more::Display;
use serde::Serialize;
use std::ops::Range;

/// When the fault begins, in s.
pub(super) const FAULT_START_S: f64 = 4.0;
/// How long the fault lasts, in s.
const FAULT_DURATION_S: f64 = 5.0;
/// How long a repeated deadly query lasts, in s: several times the time in which all VMs must know
/// it.
const DEADLY_QUERY_DURATION_S: f64 = 18.0;
/// How long a run continues after the fault, in s.
const RECOVERY_S: f64 = 3.0;
/// Time in s within which all VMs together must know a query that ends upstreams.
pub(super) const QUARANTINE_BOUND_S: f64 = 5.0;

/// A kind of fault.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Upstreams pause for 250 ms every 6 s, as in normal operation.
    #[display("pauses")]
    Pauses,
    /// 17 of 30 upstreams shed 0.6 of their requests.
    #[display("shed-across")]
    ShedAcross,
    /// 15 in 100 upstreams are ten times slower.
    #[display("slow-across")]
    SlowAcross,
    /// 15 in 100 upstreams do not answer.
    #[display("dark-across")]
    DarkAcross,
    /// Half of the upstreams lose 0.4 of their replies.
    #[display("replies-lost")]
    RepliesLost,
    /// All VMs restart without any state.
    #[display("fleet-restart")]
    FleetRestart,
    /// Three times the usual requests.
    #[display("burst")]
    Burst,
    /// Five times the usual requests.
    #[display("burst-of-five")]
    BurstOfFive,
    /// More requests than the upstreams bear, while 0.3 of them are three times slower.
    #[display("burst-on-slow")]
    BurstOnSlow,
    /// A caller repeats a query that ends each upstream that begins to run it.
    #[display("query-of-death")]
    QueryOfDeath,
    /// The same, each time from another host of the caller.
    #[display("query-of-death-of-many-hosts")]
    QueryOfDeathOfManyHosts,
    /// Several queries that end upstreams, beside searches that many callers repeat.
    #[display("queries-of-death")]
    QueriesOfDeath,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 12] = [
        Self::Pauses,
        Self::ShedAcross,
        Self::SlowAcross,
        Self::DarkAcross,
        Self::RepliesLost,
        Self::FleetRestart,
        Self::Burst,
        Self::BurstOfFive,
        Self::BurstOnSlow,
        Self::QueryOfDeath,
        Self::QueryOfDeathOfManyHosts,
        Self::QueriesOfDeath,
    ];

    /// Returns the scenario of that name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|s| s.to_string() == name)
    }

    /// The share of the upstreams that the fault affects.
    pub(super) fn affected_ratio(self) -> f64 {
        match self {
            Self::ShedAcross => 17.0 / 30.0,
            Self::SlowAcross | Self::DarkAcross => 0.15,
            Self::RepliesLost => 0.5,
            Self::BurstOnSlow => 0.3,
            Self::Pauses | Self::FleetRestart | Self::Burst | Self::BurstOfFive => 0.0,
            Self::QueryOfDeath | Self::QueryOfDeathOfManyHosts | Self::QueriesOfDeath => 0.0,
        }
    }

    /// Whether the scenario has a query that ends upstreams.
    pub(super) fn has_deadly_query(self) -> bool {
        self.deadly_queries(1) > 0
    }

    /// Number of queries that end upstreams; `several` where a scenario has more than one.
    pub(super) fn deadly_queries(self, several: usize) -> usize {
        match self {
            Self::QueryOfDeath | Self::QueryOfDeathOfManyHosts => 1,
            Self::QueriesOfDeath => several,
            _ => 0,
        }
    }

    /// When the fault lasts, in ms.
    pub(super) fn fault_period(self) -> Range<f64> {
        let lasts =
            if self.has_deadly_query() { DEADLY_QUERY_DURATION_S } else { FAULT_DURATION_S };
        FAULT_START_S * 1_000.0..(FAULT_START_S + lasts) * 1_000.0
    }

    /// Arrival times in ms of the queries that are counted: during the fault and one second after
    /// it; with a deadly query, only from when all VMs must know it.
    pub(super) fn counted_period(self) -> Range<f64> {
        let Range { start, end } = self.fault_period();
        let known = if self.has_deadly_query() { QUARANTINE_BOUND_S * 1_000.0 } else { 0.0 };
        start + known..end + 1_000.0
    }

    /// Factor on the service time of the affected upstreams during the fault.
    pub(super) fn slowdown_factor(self) -> f64 {
        match self {
            Self::SlowAcross => 10.0,
            Self::BurstOnSlow => 3.0,
            _ => 1.0,
        }
    }

    /// Length of a run, in ms.
    pub(super) fn duration_ms(self) -> f64 {
        self.fault_period().end + RECOVERY_S * 1_000.0
    }

    /// Factor on the usual request rate during the fault.
    pub(super) fn load_factor(self) -> f64 {
        match self {
            Self::Burst => 3.0,
            Self::BurstOfFive => 5.0,
            // The upstreams bear 2.4 times the usual requests without the slow ones.
            Self::BurstOnSlow => 2.4,
            _ => 1.0,
        }
    }
}
