use std::net::SocketAddr;
use tgw_clock::Millis;
use tgw_forward::{core::Budget, fleet::Place, warmup::Excess};
use tgw_spread::start::Waits;
use tgw_topology::Place as Numbered;

/// What one process is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The VM's name, unique in the fleet.
    pub vm: String,
    /// Where it is.
    pub place: Place,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks for readiness, and metrics are read.
    pub ready: SocketAddr,
    /// Extra sends that all VMs together may make.
    pub budget: Budget,
    /// What cold upstreams may get beyond what they state, from all VMs together.
    pub excess: Excess,
    /// Memory for bodies of requests and replies that are held, in bytes.
    pub bodies: usize,
    /// The whole fleet starts for the first time.
    pub first: bool,
    /// How other VMs are reached.
    pub peer: Peer,
    /// Time between two heartbeats of an upstream, if that is known.
    pub heartbeat: Option<Millis>,
    /// Time from SIGTERM until the process is killed.
    pub grace: Millis,
}

/// How other VMs are reached, and this one by them.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Where this VM listens for its peers, UDP and TCP.
    pub listen: SocketAddr,
    /// Whom to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Others are told to ask this VM first.
    pub seed: bool,
    /// How long this VM waits at its start for others to tell it the state.
    pub waits: Waits,
    /// This VM's place, by numbers that are the same on all VMs.
    pub place: Numbered,
    /// The key that frames are signed with.
    pub key: [u8; 32],
}
