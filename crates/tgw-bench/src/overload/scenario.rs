//! What goes wrong in a run, and when.

use derive_more::Display;
use serde::Serialize;
use std::ops::Range;

/// When it begins to go wrong, in s.
pub(super) const FROM_S: f64 = 4.0;
/// How long that lasts, in s.
const LASTS_S: f64 = 5.0;
/// The same of a query that comes again: some times as long as all VMs may take to know it.
const DEATH_LASTS_S: f64 = 18.0;
/// How long a run goes on after it, in s.
const AFTER_S: f64 = 3.0;
/// Time in s that all VMs together may take to know a query under which upstreams end, by the operators.
pub(super) const KNOWN_S: f64 = 5.0;

/// One kind of trouble.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Upstreams pause, 250 ms each 6 s, as on any day.
    #[display("pauses")]
    Pauses,
    /// 17 of 30 upstreams turn 0.6 of their requests away.
    #[display("shed-across")]
    ShedAcross,
    /// 15 in 100 upstreams are ten times slower.
    #[display("slow-across")]
    SlowAcross,
    /// 15 in 100 upstreams are silent.
    #[display("dark-across")]
    DarkAcross,
    /// Half of the upstreams lose 0.4 of their replies.
    #[display("replies-lost")]
    RepliesLost,
    /// All VMs start anew and know nothing.
    #[display("fleet-restart")]
    FleetRestart,
    /// Three times the requests.
    #[display("burst")]
    Burst,
    /// A query comes again and again under which each upstream ends that begins to run it.
    #[display("query-of-death")]
    QueryOfDeath,
    /// The same, each time from another of its caller's hosts.
    #[display("query-of-death-of-many-hosts")]
    QueryOfDeathOfManyHosts,
}

impl Scenario {
    /// All of them.
    pub const ALL: [Self; 9] = [
        Self::Pauses,
        Self::ShedAcross,
        Self::SlowAcross,
        Self::DarkAcross,
        Self::RepliesLost,
        Self::FleetRestart,
        Self::Burst,
        Self::QueryOfDeath,
        Self::QueryOfDeathOfManyHosts,
    ];

    /// The scenario of a name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|s| s.to_string() == name)
    }

    /// The part of the upstreams that it falls on.
    pub(super) fn share(self) -> f64 {
        match self {
            Self::ShedAcross => 17.0 / 30.0,
            Self::SlowAcross | Self::DarkAcross => 0.15,
            Self::RepliesLost => 0.5,
            Self::Pauses | Self::FleetRestart | Self::Burst => 0.0,
            Self::QueryOfDeath | Self::QueryOfDeathOfManyHosts => 0.0,
        }
    }

    /// Whether a query comes under which upstreams end.
    pub(super) fn deadly(self) -> bool {
        matches!(self, Self::QueryOfDeath | Self::QueryOfDeathOfManyHosts)
    }

    /// When it goes wrong, in ms.
    pub(super) fn lasts(self) -> Range<f64> {
        let lasts = if self.deadly() { DEATH_LASTS_S } else { LASTS_S };
        FROM_S * 1_000.0..(FROM_S + lasts) * 1_000.0
    }

    /// When queries come that are counted, in ms: also in the second after it; where upstreams end under a query,
    /// once all VMs may know it.
    pub(super) fn counted(self) -> Range<f64> {
        let Range { start, end } = self.lasts();
        let known = if self.deadly() { KNOWN_S * 1_000.0 } else { 0.0 };
        start + known..end + 1_000.0
    }

    /// Length of a run, in ms.
    pub(super) fn length(self) -> f64 {
        self.lasts().end + AFTER_S * 1_000.0
    }

    /// How many times the usual requests come while it lasts.
    pub(super) fn load(self) -> f64 {
        if self == Self::Burst { 3.0 } else { 1.0 }
    }
}
