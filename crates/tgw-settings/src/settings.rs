use std::{fmt, net::SocketAddr};

/// Everything that one process is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who and where the VM is.
    pub vm: Vm,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's object API.
    pub platform: Platform,
    /// The other VMs.
    pub peer: Peer,
    /// Network delays.
    pub network: Network,
    /// Logs.
    pub log: Log,
}

/// Who and where the VM is.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Its region's number.
    pub region: u8,
    /// Its failure domain's number.
    pub domain: u8,
    /// How long a draining VM still accepts while the balancer lags, in ms.
    pub drain_grace_ms: u64,
}

/// Where the process listens.
#[derive(Clone, Debug)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For peers, UDP and TCP.
    pub peers: SocketAddr,
    /// Largest request body in bytes.
    pub body_limit: u64,
    /// Time for a request's head and body, in ms.
    pub read_timeout_ms: u64,
    /// Queries that the VM runs at once over all services.
    pub concurrency: u64,
}

/// The platform's object API.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Its address.
    pub addr: SocketAddr,
    /// Time for one call, in ms.
    pub timeout_ms: u64,
}

/// The other VMs.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Peers to ask first; the platform's list of VMs is used besides.
    pub seeds: Vec<SocketAddr>,
    /// Key that frames are signed with.
    pub key: Key,
    /// A further key that is accepted while keys are rotated.
    pub old_key: Option<Key>,
    /// Token that operators' calls carry.
    pub admin_token: Secret,
}

/// One-way network delays, in microseconds, that replica choice starts from.
#[derive(Copy, Clone, Debug)]
pub struct Network {
    /// Within a failure domain.
    pub local_us: u64,
    /// Between failure domains of a region.
    pub domains_us: u64,
    /// Between regions.
    pub regions_us: u64,
}

/// Logs.
#[derive(Clone, Debug)]
pub struct Log {
    /// JSON lines instead of text.
    pub json: bool,
    /// Filter, as `info` or `tgw::decision=debug`.
    pub filter: String,
    /// One in this many queries has its decisions logged.
    pub sample: u64,
}

/// Text that is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(pub String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// A frame key of 32 bytes that is never printed.
#[derive(Copy, Clone, PartialEq, Eq)]
pub struct Key(pub [u8; 32]);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
