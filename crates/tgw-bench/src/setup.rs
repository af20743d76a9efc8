use std::path::PathBuf;
use tgw_clock::Millis;
use tgw_standin::size::{Spread, User};
use tgw_table::Document;

/// What goes wrong in a run, and when.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The same 5% of upstreams are ten times slower from now on.
    Stragglers,
    /// Every 300 ms another 5% are ten times slower.
    StragglersInTurn,
    /// One replica of every shard breaks its connections.
    ReplicaLost,
    /// A newer index version arrives at one replica after the other, this far apart; then the older
    /// one goes in the same way.
    Version(Millis),
    /// The same with a layout of twice the shards.
    Repartition(Millis),
    /// A third of the upstreams are restarted cold.
    Cold,
    /// An upstream says with each reply that it leaves, and nothing else does.
    Draining,
    /// VM 1 is killed.
    Kill,
    /// VM 1 is paused for this time.
    Pause(Millis),
    /// VM 0's failure domain is cut off from the others for this time.
    Partition(Millis),
    /// One reply in ten comes twice, one in ten 30 ms late, one in ten belongs to another shard.
    Mangled,
    /// Half the replicas break their connections for this time.
    HalfLost(Millis),
    /// This VM is told to leave, has this time to finish, and is then started anew.
    Replace(usize, Millis),
}

/// One run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Whose size.
    pub user: User,
    /// VMs.
    pub vms: usize,
    /// How instances' upstreams lie.
    pub spread: Spread,
    /// Whether places are apart; without, every way takes no time.
    pub hops: bool,
    /// Seed of all that is random.
    pub seed: u64,
    /// Demand as a part of all slots.
    pub load: f64,
    /// Time that is not measured.
    pub warm_up: Millis,
    /// Time that is measured.
    pub measured: Millis,
    /// Queries that one VM runs at once over all services.
    pub places: u32,
    /// The table.
    pub table: Document,
    /// What goes wrong, and when after the start.
    pub faults: Vec<(Millis, Fault)>,
    /// Where the first VM's core is recorded.
    pub record: Option<PathBuf>,
}
