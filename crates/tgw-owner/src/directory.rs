//! The VMs that are known and what is believed of them.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};
use tgw_topology::{Place, Vm, place::Domain};

/// What is believed of a VM.
#[derive(
    Copy, Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It answers.
    #[display("alive")]
    Alive,
    /// It does not answer, but may yet refute that.
    #[display("suspect")]
    Suspect,
    /// It has said that it leaves: it finishes what it has and owns nothing.
    #[display("leaving")]
    Leaving,
    /// It has not refuted its suspicion in time, or has left.
    #[display("dead")]
    Dead,
}

impl State {
    /// Whether the VM may own groups. A suspect may: taking its groups away on every lost packet
    /// would move ownership back and forth.
    pub fn owns(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its configured name.
    pub name: String,
    /// Its life: a restart of the VM has a higher one.
    pub incarnation: u64,
    /// Where it lies.
    pub place: Place,
    /// Where its peers reach it, UDP and TCP.
    pub addr: SocketAddr,
    /// What is believed of it.
    pub state: State,
    /// It cannot reach the platform, and says so. Traces recorded before do not hold it.
    #[serde(default)]
    pub blind: bool,
}

/// All VMs that are known.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Directory {
    /// VMs by identity.
    pub members: BTreeMap<Vm, Member>,
    /// Failure domains that cannot be reached from here.
    pub cut: BTreeSet<Domain>,
}

impl Directory {
    /// The VMs that may own groups, of the domains that can be reached.
    pub fn owners(&self) -> impl Iterator<Item = (Vm, &Member)> {
        let usable = |m: &&Member| m.state.owns() && !self.cut.contains(&m.place.domain);
        self.members.iter().map(|(vm, m)| (*vm, m)).filter(move |(_, m)| usable(m))
    }

    /// The VMs that have said that they leave and have not gone yet.
    pub fn leaving(&self) -> impl Iterator<Item = (Vm, &Member)> {
        let leaving = |m: &&Member| m.state == State::Leaving;
        self.members.iter().map(|(vm, m)| (*vm, m)).filter(move |(_, m)| leaving(m))
    }
}
