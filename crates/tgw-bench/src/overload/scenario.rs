//! What goes wrong in a run, and when.

use derive_more::Display;
use serde::Serialize;

/// Length of a run, in s.
pub(super) const LENGTH_S: f64 = 12.0;
/// When it begins to go wrong, in s.
pub(super) const FROM_S: f64 = 4.0;
/// When that ends, in s.
pub(super) const TO_S: f64 = 9.0;

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
}

impl Scenario {
    /// All of them.
    pub const ALL: [Self; 7] = [
        Self::Pauses,
        Self::ShedAcross,
        Self::SlowAcross,
        Self::DarkAcross,
        Self::RepliesLost,
        Self::FleetRestart,
        Self::Burst,
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
        }
    }

    /// How many times the usual requests come while it lasts.
    pub(super) fn load(self) -> f64 {
        if self == Self::Burst { 3.0 } else { 1.0 }
    }
}
