use std::net::SocketAddr;
use tgw_clock::Millis;
use tgw_forward::{core::Budget, fleet::Place, warmup::Headroom};
use tgw_spread::start::Timeouts;
use tgw_tenant::limit::Terms;
use tgw_topology::Place as Numbered;

/// Settings of one gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The VM's name, unique in the fleet.
    pub vm: String,
    /// The VM's failure domain, and the region of each domain.
    pub place: Place,
    /// Address on which callers connect.
    pub callers_addr: SocketAddr,
    /// Address for the balancer's readiness checks and for metrics.
    pub readiness_addr: SocketAddr,
    /// Retry budget of all VMs together.
    pub retry_budget: Budget,
    /// Headroom for cold upstreams beyond what they declare, of all VMs together.
    pub warmup_headroom: Headroom,
    /// How the limits of tenants are measured.
    pub limit_terms: Terms,
    /// Memory budget for buffered bodies, in bytes.
    pub body_memory_bytes: usize,
    /// The whole fleet is starting for the first time.
    pub first_fleet_start: bool,
    /// How this VM and its peers reach each other.
    pub peer: Peer,
    /// Interval between two heartbeats of an upstream, if known.
    pub heartbeat_interval: Option<Millis>,
    /// Time from SIGTERM until the process is killed.
    pub grace_period: Millis,
}

/// How this VM and its peers reach each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Address on which this VM listens for its peers, on UDP and TCP.
    pub listen_addr: SocketAddr,
    /// Addresses of the VMs to contact first.
    pub seeds: Vec<SocketAddr>,
    /// This VM is a seed of other VMs.
    pub is_seed: bool,
    /// How long this VM waits at its start for other VMs to send it the state.
    pub start_timeouts: Timeouts,
    /// This VM's place, by numbers that are the same on all VMs.
    pub place: Numbered,
    /// Processor power of this VM, in thousandths of a core; zero if not stated.
    pub power: u32,
    /// The key that signs frames.
    pub key: [u8; 32],
}
