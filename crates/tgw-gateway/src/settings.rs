use std::net::SocketAddr;
use tgw_clock::Millis;
use tgw_forward::{core::Budget, fleet::Place};

/// What one process is told at its start.
#[derive(Clone, Debug)]
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
    /// Time from SIGTERM until the process is killed.
    pub grace: Millis,
}
