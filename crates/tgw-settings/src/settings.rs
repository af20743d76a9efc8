use std::{fmt, net::SocketAddr};

/// All settings of one VM's process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM's name and location.
    pub vm: Vm,
    /// Addresses that the process listens on, and limits on requests.
    pub listen: Listen,
    /// The platform's object API.
    pub platform: Platform,
    /// Communication with the other VMs, and the operators' token.
    pub peer: Peer,
    /// Initial network delays.
    pub network: Network,
    /// Logging.
    pub log: Log,
}

/// The VM's name and location.
#[derive(Clone, Debug)]
pub struct Vm {
    /// The VM's name, unique in the fleet.
    pub name: String,
    /// The number of the VM's region.
    pub region: u8,
    /// The number of the VM's failure domain.
    pub domain: u8,
    /// Time in ms during which a draining VM still accepts requests, as the load balancer notices a
    /// change in readiness with a delay.
    pub drain_grace_ms: u64,
}

/// Addresses that the process listens on, and limits on requests.
#[derive(Clone, Debug)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for peers, both UDP and TCP.
    pub peers: SocketAddr,
    /// Largest size of a request body, in bytes.
    pub body_limit: u64,
    /// Timeout for reading a request's head, and for reading its body, in ms.
    pub read_timeout_ms: u64,
    /// Largest number of concurrent queries on the VM over all services.
    pub concurrency: u64,
}

/// The platform's object API.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Address of the API.
    pub addr: SocketAddr,
    /// Timeout of one call, in ms.
    pub timeout_ms: u64,
}

/// Communication with the other VMs, and the operators' token.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Peers to contact at startup, in addition to the platform's list of VMs.
    pub seeds: Vec<SocketAddr>,
    /// Key that signs frames.
    pub key: Key,
    /// Second key that is accepted during a key rotation.
    pub old_key: Option<Key>,
    /// Token that operators must send with admin requests.
    pub admin_token: Secret,
}

/// One-way network delays in microseconds, used as initial estimates for replica selection.
#[derive(Copy, Clone, Debug)]
pub struct Network {
    /// Delay within a failure domain.
    pub local_us: u64,
    /// Delay between failure domains of a region.
    pub domains_us: u64,
    /// Delay between regions.
    pub regions_us: u64,
}

/// Logging.
#[derive(Clone, Debug)]
pub struct Log {
    /// Whether log lines are JSON instead of text.
    pub json: bool,
    /// Log filter such as `info` or `tgw::decision=debug`.
    pub filter: String,
    /// Sampling interval: the decisions of one query in this many are logged.
    pub sample: u64,
}

/// A secret text that its `Debug` output omits.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(pub String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// A 32-byte frame key that its `Debug` output omits.
#[derive(Copy, Clone, PartialEq, Eq)]
pub struct Key(pub [u8; 32]);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
