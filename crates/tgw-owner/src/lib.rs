//! Which VM dispatches to which replica group.
//!
//! Rendezvous hashing over the live VMs of the group's failure domain names one owner and one
//! stand-in. Where a domain has no live VM, those of its region are ranked, then all others, so
//! that a domain of one VM is covered by its neighbours and handed back when it returns.

/// The VMs that are known and what is believed of them.
pub mod directory;
/// Owners of groups.
mod map;

pub use directory::{Directory, Member, State};
pub use map::{Hash, Map};
