use crate::{Configuration, Evacuations, Upstreams, agreement::Digests, message::Versions};
use tgw_clock::Millis;

/// The configuration, the list of upstreams and the evacuations as this VM has them.
#[derive(Debug, Default)]
pub struct ReplicatedState {
    /// The operators' configuration.
    pub configuration: Configuration,
    /// The list of upstreams.
    pub upstreams: Upstreams,
    /// The evacuated failure domains.
    pub evacuations: Evacuations,
}

impl ReplicatedState {
    /// Creates an empty state. Upstreams write their entries once per `heartbeat`, if that is known.
    pub fn new(heartbeat: Option<Millis>) -> Self {
        Self { upstreams: Upstreams::new(heartbeat), ..Self::default() }
    }

    /// The versions that this VM holds.
    pub fn versions(&self) -> Versions {
        Versions {
            config: self.configuration.version(),
            upstreams: self.upstreams.version(),
            evacuations: self.evacuations.version(),
        }
    }

    /// The digests of what this VM holds.
    pub fn digests(&self) -> Digests {
        Digests {
            configuration: self.configuration.digest(),
            upstreams: self.upstreams.digest(),
            evacuations: self.evacuations.digest(),
        }
    }
}
