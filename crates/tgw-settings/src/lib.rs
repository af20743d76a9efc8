//! The settings of one VM's process, read from an INI file.
//!
//! Reading does not stop at the first mistake: each one becomes a [`Finding`] with file, line, section
//! and key.

/// Mistakes in a settings file and their locations.
pub mod finding;
/// Parses and validates a settings file.
mod read;
/// The types of the settings.
mod settings;

pub use finding::Finding;
pub use read::{load, parse};
pub use settings::{Key, Listen, Log, Network, Peer, Platform, Secret, Settings, Vm};
