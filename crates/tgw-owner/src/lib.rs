//! Assigns each replica group to the VM that dispatches to it.
//!
//! Rendezvous hashing over the live VMs of the group's failure domain selects one owner and one
//! stand-in. Where a domain has too few live VMs, those of its region are ranked next, then all
//! others: neighbours take over the groups of a domain whose only VM fails and hand them back when
//! it returns.

/// Owners of groups by rendezvous hashing.
mod assignment;
/// The known VMs and their states.
pub mod directory;

pub use assignment::{Assignment, Score};
pub use directory::{Directory, Member, State};
