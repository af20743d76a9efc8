//! The whole decision core of one VM: its entry, the groups it dispatches to, and the moves of
//! ownership between VMs. The same core runs in `serve`, in replays, in experiments and in tests.
//!
//! Performs no I/O: inputs and the time go in, outputs come out.

/// Ownership of groups: taking, standing in, handing over.
mod groups;
/// What VMs tell one another.
pub mod message;
/// The core.
mod node;
/// Orders on their way through the core.
mod ordering;
/// Orders: taken in, claimed by a clerk, run by an owner.
mod orders;
/// Moves of groups between VMs: catalog, directory, leaving upstreams.
mod placing;
/// What the core is told and what it does.
mod step;

pub use message::Message;
pub use node::Node;
pub use step::{Identity, Input, Intake, Note, Options, Output, Placement, Tap};
pub use tgw_dispatch::leaf::Outcome as LeafOutcome;
