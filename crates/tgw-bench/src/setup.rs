use std::path::PathBuf;
use tgw_clock::Millis;
use tgw_standin::size::{Spread, User};
use tgw_table::Document;

/// A fault that is injected into a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// From now on the same 5% of upstreams are ten times slower.
    Stragglers,
    /// Every 300 ms another 5% of upstreams become ten times slower.
    StragglersInTurn,
    /// One replica of every shard breaks its connections.
    ReplicaLost,
    /// A newer index version arrives at one third of the replicas after the other, at this
    /// interval; then the older one is removed in the same order.
    VersionRollout(Millis),
    /// The same with a layout of twice the shards.
    Repartition(Millis),
    /// A third of the upstreams restart cold.
    ColdRestart,
    /// An upstream reports with each reply that it drains, and in no other way.
    Draining,
    /// VM 1 is killed.
    KillVm,
    /// VM 1 is paused for this time.
    PauseVm(Millis),
    /// The failure domain of VM 0 is partitioned from the others for this time.
    Partition(Millis),
    /// One reply in ten arrives twice, one in ten 30 ms late, and one in ten for another shard.
    Mangled,
    /// Half of the replicas break their connections for this time.
    HalfReplicasLost(Millis),
    /// This VM is told to leave, has this time to finish, and then restarts.
    ReplaceVm(usize, Millis),
}

/// Configuration of one run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The modelled deployment whose sizes are used.
    pub user: User,
    /// Number of VMs.
    pub vms: usize,
    /// How the upstreams of an instance are placed.
    pub spread: Spread,
    /// Whether messages between places are delayed; if not, they take no time.
    pub network_delays: bool,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Demand as a share of all slots.
    pub load: f64,
    /// Time before the measurement begins.
    pub warm_up: Millis,
    /// Measured time.
    pub measured: Millis,
    /// Queries that one VM runs at once over all services.
    pub max_running: u32,
    /// The table of services.
    pub table: Document,
    /// The faults, and when they occur after the start.
    pub faults: Vec<(Millis, Fault)>,
    /// File for a trace of the first VM's core.
    pub record: Option<PathBuf>,
}
