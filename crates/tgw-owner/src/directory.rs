//! The known VMs and their states.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use tgw_topology::{Place, Vm, place::Domain};

/// The state of a VM as the failure detector sees it.
#[derive(
    Copy, Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It answers probes.
    #[display("alive")]
    Alive,
    /// It does not answer probes, but can still refute the suspicion.
    #[display("suspect")]
    Suspect,
    /// It has announced that it leaves: it finishes its requests in flight and owns no groups.
    #[display("leaving")]
    Leaving,
    /// It did not refute its suspicion in time, or has left.
    #[display("dead")]
    Dead,
}

impl State {
    /// Whether the VM may own groups. A suspect may: if each lost packet took its groups away,
    /// ownership would move back and forth.
    pub fn can_own(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// One VM of the tier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its configured name.
    pub name: String,
    /// Rises with each restart of the VM and each change of its state that it announces.
    pub incarnation: u64,
    /// Its region and failure domain.
    pub place: Place,
    /// The address, UDP and TCP, at which its peers reach it.
    pub addr: SocketAddr,
    /// Its state.
    pub state: State,
    /// The VM reports that it cannot reach the platform. Defaults to false for recorded traces that
    /// lack it.
    #[serde(default, rename = "blind")]
    pub platform_unreachable: bool,
    /// How often the VM has lost the platform since its process started. Defaults to zero for recorded traces that lack it.
    #[serde(default, rename = "losses")]
    pub platform_losses: u32,
    /// Its processor power, in thousandths of a core; zero if not stated.
    #[serde(default)]
    pub power: u32,
}

/// All known VMs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Directory {
    /// The VMs by identity.
    pub members: BTreeMap<Vm, Member>,
    /// Failure domains that cannot be reached from this VM.
    #[serde(rename = "cut")]
    pub unreachable_domains: BTreeSet<Domain>,
}

impl Directory {
    /// The VMs that may own groups, in the domains that can be reached.
    pub fn owners(&self) -> impl Iterator<Item = (Vm, &Member)> {
        let usable =
            |m: &&Member| m.state.can_own() && !self.unreachable_domains.contains(&m.place.domain);
        self.members.iter().map(|(vm, m)| (*vm, m)).filter(move |(_, m)| usable(m))
    }

    /// The VMs that have announced that they leave and are not yet considered dead.
    pub fn leaving(&self) -> impl Iterator<Item = (Vm, &Member)> {
        let leaving = |m: &&Member| m.state == State::Leaving;
        self.members.iter().map(|(vm, m)| (*vm, m)).filter(move |(_, m)| leaving(m))
    }
}
