//! The settings of one VM's process, written in INI.
//!
//! A file is read whole: every mistake becomes a [`Finding`] with file, line, section and key.

/// What is wrong in a settings file, and where.
pub mod finding;
/// Reads and checks a settings file.
mod read;
/// The settings themselves.
mod settings;

pub use finding::Finding;
pub use read::{open, parse};
pub use settings::{Key, Listen, Log, Network, Peer, Platform, Secret, Settings, Vm};
