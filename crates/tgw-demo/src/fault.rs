//! Faults injected while queries run.

use derive_more::Display;
use serde::Serialize;

/// A fault to inject.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// One upstream in twenty is ten times slower.
    #[display("straggler")]
    Straggler,
    /// One replica of every shard closes all connections without a response.
    #[display("replica-lost")]
    ReplicaLost,
    /// A new index version is rolled out replica by replica, then the old one is removed.
    #[display("version")]
    Version,
    /// A layout with twice the shards (half of them if injected again) is rolled out in the same way.
    #[display("repartition")]
    Repartition,
    /// Some replies are those of other requests or are truncated.
    #[display("crossed")]
    Crossed,
    /// The last running VM is killed, with the replica groups it owns.
    #[display("kill-owner")]
    KillOwner,
    /// The last running VM is paused, with its timers and sockets, and later resumes.
    #[display("pause-owner")]
    PauseOwner,
    /// A VM is drained and replaced.
    #[display("replace")]
    Replace,
    /// The platform refuses every call.
    #[display("store-down")]
    StoreDown,
    /// The VMs of one failure domain are partitioned from the others.
    #[display("partition")]
    Partition,
    /// An upstream drains while its health and load endpoints report no drain.
    #[display("drain")]
    Drain,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 11] = [
        Self::Straggler,
        Self::ReplicaLost,
        Self::Version,
        Self::Repartition,
        Self::Crossed,
        Self::KillOwner,
        Self::PauseOwner,
        Self::Replace,
        Self::StoreDown,
        Self::Partition,
        Self::Drain,
    ];

    /// The fault with this name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|f| f.to_string() == name)
    }
}
