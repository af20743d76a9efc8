use crate::{
    Configuration, Evacuations, Upstreams,
    agreement::Digests,
    message::{ConfigUpdate, Versions},
};
use tgw_clock::Millis;
use tgw_route::Config;

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

    /// The version of the configuration; zero before the first.
    pub fn config_version(&self) -> u64 {
        self.configuration.version()
    }

    /// Applies a configuration from the store; false if it changes nothing.
    pub fn apply_config(&mut self, config: &Config) -> bool {
        self.configuration.apply_document(config)
    }

    /// The changes of the configuration that a VM at this version lacks.
    pub fn config_update_since(&self, version: u64) -> Option<ConfigUpdate> {
        self.configuration.update_since(version)
    }

    /// Applies another VM's update of the configuration; returns the resulting configuration if it took effect.
    pub fn apply_config_update(&mut self, update: ConfigUpdate) -> Option<Config> {
        self.configuration.apply_update(update).then(|| self.configuration.document())
    }
}
