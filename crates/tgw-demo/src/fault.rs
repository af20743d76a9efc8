//! Faults that are brought about while queries run.

use derive_more::Display;
use serde::Serialize;

/// A fault.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// One upstream in twenty is ten times slower.
    #[display("straggler")]
    Straggler,
    /// One replica of every shard breaks all connections.
    #[display("replica-lost")]
    ReplicaLost,
    /// A newer index version arrives, replica by replica, and the older one goes.
    #[display("version")]
    Version,
    /// A new layout with twice the shards arrives in the same way.
    #[display("repartition")]
    Repartition,
    /// Some replies belong to other requests or are truncated.
    #[display("crossed")]
    Crossed,
    /// The VM that owns most groups is killed.
    #[display("kill-owner")]
    KillOwner,
    /// The VM that owns most groups is frozen, with its timers and sockets, and resumes.
    #[display("pause-owner")]
    PauseOwner,
    /// A VM is drained and replaced.
    #[display("replace")]
    Replace,
    /// The platform refuses every call.
    #[display("store-down")]
    StoreDown,
    /// A failure domain is cut off from the others.
    #[display("partition")]
    Partition,
    /// An upstream leaves, while its health and load say that all is well.
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

    /// The fault of that name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|f| f.to_string() == name)
    }
}
