//! The decision core of one VM: query fan-out, dispatch to the replica groups it owns, and changes of
//! ownership between VMs. The same core runs in `serve`, in replays, in experiments and in tests.
//!
//! Performs no I/O: inputs and the time go in, outputs come out.

/// The core's inputs and outputs.
mod event;
/// The groups that this VM dispatches to: takeover, standing in, handover.
mod groups;
/// Messages between the cores of two VMs.
pub mod message;
/// The core.
mod node;
/// The core's part in orders: admission, effects, choice of a group.
mod order_requests;
/// The state of one VM's orders: accepted, claimed, sent to an owner.
mod orders;
/// Changes of ownership: catalog, directory, leaving upstreams.
mod ownership;
/// Messages from and to the cores of other VMs.
mod peer_messages;

pub use event::{Decision, Identity, IncomingOrder, Input, Observer, Options, Output, Placement};
pub use message::Message;
pub use node::Node;
pub use tgw_dispatch::leaf::Outcome as LeafOutcome;
