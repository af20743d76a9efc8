//! The experiments.

use crate::{Fault, Figures, Policy, Setup, run};
use derive_more::Display;
use serde::Serialize;
use std::path::PathBuf;
use tgw_clock::Millis;
use tgw_standin::size::{Spread, User};

const WARM_UP_MS: Millis = Millis::new(2000);
const MEASURED_MS: Millis = Millis::new(8000);
const FAULT_AT_MS: Millis = Millis::new(3000);
const MAX_RUNNING: u32 = 100_000;

/// An experiment.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq)]
pub enum Scenario {
    /// No fault.
    #[display("steady")]
    Steady,
    /// The same 5% of upstreams are ten times slower throughout.
    #[display("stragglers")]
    Stragglers,
    /// Every 300 ms another 5% of upstreams become ten times slower.
    #[display("stragglers-in-turn")]
    StragglersInTurn,
    /// One replica of every shard is lost.
    #[display("replica-lost")]
    ReplicaLost,
    /// A newer index version arrives under load.
    #[display("rolling-version")]
    RollingVersion,
    /// The shards are repartitioned under load.
    #[display("repartition")]
    Repartition,
    /// Twice as much demand as there are slots.
    #[display("overload")]
    Overload,
    /// A third of the upstreams are restarted cold.
    #[display("cold-start")]
    ColdStart,
    /// A VM that owns groups is killed.
    #[display("owner-killed")]
    OwnerKilled,
    /// A VM that owns groups is paused for three seconds.
    #[display("owner-paused")]
    OwnerPaused,
    /// A failure domain is partitioned from the others for four seconds.
    #[display("partition")]
    Partition,
    /// Two replicas of three fail every request for two seconds.
    #[display("retry-storm")]
    RetryStorm,
    /// Replies arrive late, duplicated or for another shard.
    #[display("mangled")]
    Mangled,
}

impl Scenario {
    /// All experiments.
    pub const ALL: [Self; 13] = [
        Self::Steady,
        Self::Stragglers,
        Self::StragglersInTurn,
        Self::ReplicaLost,
        Self::RollingVersion,
        Self::Repartition,
        Self::Overload,
        Self::ColdStart,
        Self::OwnerKilled,
        Self::OwnerPaused,
        Self::Partition,
        Self::RetryStorm,
        Self::Mangled,
    ];

    /// Returns the experiment of that name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|s| s.to_string() == name)
    }

    /// One line that describes the fault.
    pub fn about(self) -> &'static str {
        match self {
            Self::Steady => "nothing goes wrong",
            Self::Stragglers => "the same 5% of upstreams are 10x slower throughout",
            Self::StragglersInTurn => "every 300 ms another 5% of upstreams are 10x slower",
            Self::ReplicaLost => "one replica of every shard breaks its connections",
            Self::RollingVersion => "a newer index version arrives replica by replica",
            Self::Repartition => "a layout of twice the shards arrives replica by replica",
            Self::Overload => "demand is twice what the slots can serve",
            Self::ColdStart => "a third of the upstreams are restarted cold",
            Self::OwnerKilled => "a VM that owns groups is killed",
            Self::OwnerPaused => "a VM that owns groups is paused for 3 s",
            Self::Partition => "a failure domain is cut off from the others for 4 s",
            Self::Mangled => "replies come late, doubled and of other shards",
            Self::RetryStorm => "two replicas of three fail every request for 2 s",
        }
    }

    /// The default demand, as a share of all slots.
    pub fn load(self) -> f64 {
        match self {
            Self::Overload => 2.0,
            Self::ReplicaLost | Self::ColdStart | Self::RetryStorm | Self::Mangled => 0.3,
            _ => 0.5,
        }
    }

    fn faults(self) -> Vec<(Millis, Fault)> {
        let start = Millis::ZERO;
        match self {
            Self::Steady | Self::Overload => Vec::new(),
            Self::Stragglers => vec![(start, Fault::Stragglers)],
            Self::StragglersInTurn => vec![(start, Fault::StragglersInTurn)],
            Self::ReplicaLost => vec![(FAULT_AT_MS, Fault::ReplicaLost)],
            Self::RollingVersion => vec![(FAULT_AT_MS, Fault::VersionRollout(Millis::new(600)))],
            Self::Repartition => vec![(FAULT_AT_MS, Fault::Repartition(Millis::new(600)))],
            Self::ColdStart => vec![(FAULT_AT_MS, Fault::ColdRestart)],
            Self::OwnerKilled => vec![(FAULT_AT_MS, Fault::KillVm)],
            Self::OwnerPaused => vec![(FAULT_AT_MS, Fault::PauseVm(Millis::new(3000)))],
            Self::Partition => vec![(FAULT_AT_MS, Fault::Partition(Millis::new(4000)))],
            Self::Mangled => vec![(start, Fault::Mangled)],
            Self::RetryStorm => vec![(FAULT_AT_MS, Fault::HalfReplicasLost(Millis::new(2000)))],
        }
    }
}

/// Parameters of an experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// The modelled deployment whose sizes are used.
    pub user: User,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Number of VMs.
    pub vms: usize,
    /// How the upstreams of an instance are placed.
    pub spread: Spread,
    /// Whether messages between places are delayed.
    pub hops: bool,
    /// Demand as a share of all slots; by default the experiment's own.
    pub load: Option<f64>,
    /// Measured time; eight seconds by default.
    pub measured: Option<Millis>,
    /// The policies to compare.
    pub policies: Vec<Policy>,
    /// File for a trace of the first VM's core; use a short run with light load, and record the
    /// first policy.
    pub record: Option<PathBuf>,
}

impl Options {
    /// Default parameters.
    pub fn new(user: User, seed: u64) -> Self {
        let policies =
            vec![Policy::Tier, Policy::DirectRandom, Policy::DirectShares, Policy::Oracle];
        Self {
            user,
            seed,
            vms: 6,
            spread: Spread::Together,
            hops: true,
            load: None,
            measured: None,
            policies,
            record: None,
        }
    }
}

/// Result of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The experiment.
    pub scenario: String,
    /// The modelled deployment whose sizes were used.
    pub user: String,
    /// The seed.
    pub seed: u64,
    /// Demand as a share of all slots.
    pub load: f64,
    /// How the upstreams of an instance are placed.
    pub spread: String,
    /// Whether messages between places are delayed.
    pub hops: bool,
    /// Number of VMs.
    pub vms: usize,
    /// Figures by policy.
    pub policies: Vec<Figures>,
}

/// Runs an experiment with each of its policies.
pub fn report(scenario: Scenario, options: &Options) -> Report {
    let load = options.load.unwrap_or(scenario.load());
    let setup = Setup {
        user: options.user,
        vms: options.vms,
        spread: options.spread,
        network_delays: options.hops,
        seed: options.seed,
        load,
        warm_up: WARM_UP_MS,
        measured: options.measured.unwrap_or(MEASURED_MS),
        max_running: MAX_RUNNING,
        table: options.user.table(),
        faults: scenario.faults(),
        record: options.record.clone(),
    };
    Report {
        scenario: scenario.to_string(),
        user: options.user.to_string(),
        seed: options.seed,
        load,
        spread: options.spread.to_string(),
        hops: options.hops,
        vms: options.vms,
        policies: options.policies.iter().map(|p| run(&setup, *p)).collect(),
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "{} ({}, {} VMs, load {}, {}, seed {})",
            self.scenario,
            self.user,
            self.vms,
            self.load,
            if self.hops { "places apart" } else { "no distances" },
            self.seed
        )?;
        writeln!(
            f,
            "{:<18} {:>8} {:>8} {:>8} {:>8} {:>9} {:>7} {:>8} {:>8} {:>6} {:>6} {:>6}",
            "policy",
            "queries",
            "p50",
            "p99",
            "p99.9",
            "coverage",
            "extra",
            "refused",
            "goodput",
            "mixed",
            "lost",
            "twice"
        )?;
        for p in &self.policies {
            writeln!(
                f,
                "{:<18} {:>8} {:>8.1} {:>8.1} {:>8.1} {:>8.3}% {:>6.2}% {:>8} {:>8.0} {:>6} {:>6} {:>6}",
                p.name,
                p.queries,
                p.p50_ms,
                p.p99_ms,
                p.p999_ms,
                p.coverage * 100.0,
                p.extra_load * 100.0,
                p.refused,
                p.goodput,
                p.mixed,
                p.lost,
                p.doubled
            )?;
        }
        Ok(())
    }
}
