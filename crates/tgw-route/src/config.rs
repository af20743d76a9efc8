//! One version of the operators' configuration.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, rc::Rc};
use tgw_clock::Millis;
use tgw_tenant::Tenant;
use tgw_topology::Residency;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// The version number; it rises, not always by one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Rc<Route>>,
    /// All services by name.
    pub services: BTreeMap<Rc<str>, Service>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// The tenants; `None` where requests need no API key.
    pub tenants: Option<Vec<Rc<Tenant>>>,
}

/// The target of matching requests and the rules for sending them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: Rc<str>,
    /// The host of the requests that it matches.
    pub host: Rc<str>,
    /// The path prefix of the requests that it matches; begins and ends with a slash.
    pub prefix: Rc<str>,
    /// The destination of its requests.
    pub target: Target,
    /// Whether a request may run more than once.
    pub safety: Safety,
    /// The longest time that a caller waits for a response.
    pub timeout: Millis,
    /// The target latency: an answer within this time has its full value to the caller.
    #[serde(rename = "aim")]
    pub target_latency: Millis,
    /// The maximum number of upstreams that one request is sent to, for each shard.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// The priority of its requests; zero is the highest.
    pub priority: u32,
    /// The regions in which its requests may be served.
    pub residency: Residency,
    /// Whether requests need no API key even if there are tenants.
    pub anonymous: bool,
}

impl Route {
    /// The route for requests that may be served in these regions only, besides its own restrictions.
    pub fn restricted_to(self: Rc<Self>, residency: &Residency) -> Rc<Self> {
        if residency.is_unrestricted() {
            return self;
        }
        let residency = self.residency.and(residency);
        Rc::new(Self { residency, ..(*self).clone() })
    }
}

/// Whether a request may run more than once.
#[derive(Copy, Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Safety {
    /// It may be repeated and hedged.
    #[display("idempotent")]
    Idempotent,
    /// It runs at most once.
    #[display("at-most-once")]
    #[serde(rename = "Once")]
    AtMostOnce,
}

/// The destination of the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// One service.
    #[serde(rename = "One")]
    Single(Rc<str>),
    /// One of several services, selected by weight.
    Weighted(Vec<(Rc<str>, f64)>),
    /// Every shard.
    Shards(Shards),
}

/// The shards of a route, each a service, and the rules for merging their parts into one answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shards {
    /// The services.
    pub services: Vec<Rc<str>>,
    /// The maximum number of records in an answer.
    #[serde(rename = "limit")]
    pub result_limit: usize,
    /// The minimum share of the shards (0 to 1) that a successful answer contains.
    #[serde(rename = "least")]
    pub min_shard_share: f64,
}

/// A service's settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The number of connections that each upstream accepts from all callers together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// The load that its upstreams accept until they are warm.
    pub warmup: Warmup,
}

/// The load that an upstream accepts while it is cold.
#[derive(Copy, Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Warmup {
    /// How long an upstream is cold after its start.
    #[serde(rename = "span")]
    pub duration: Millis,
    /// Requests per second that it accepts while cold; zero if not stated.
    #[serde(rename = "rate")]
    pub requests_per_s: f64,
}

/// Limits on callers' requests and connections.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    #[serde(rename = "head")]
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    #[serde(rename = "body")]
    pub max_body_bytes: usize,
    /// Time allowed for receiving a request head.
    pub head_timeout: Millis,
    /// How long a keep-alive connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    /// Limits until the first configuration is known: values common for HTTP servers.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 256 << 10,
            head_timeout: Millis::new(3_000),
            idle_timeout: Millis::new(15_000),
        }
    }
}
