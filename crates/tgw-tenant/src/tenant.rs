use crate::ApiKey;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::rc::Rc;
use tgw_topology::Residency;

/// A tenant of the operators' configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The name that upstreams are told.
    pub name: Rc<str>,
    /// The keys of its callers.
    pub keys: SmallVec<[ApiKey; 2]>,
    /// The priority of its requests, in place of that of their route; zero is the highest.
    pub priority: Option<u32>,
    /// How many requests it may make; `None` without a limit.
    pub allowance: Option<Allowance>,
    /// The regions in which its requests may be served, besides the restrictions of their route.
    pub residency: Residency,
}

/// How many requests a tenant may make over all VMs together.
#[derive(Copy, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests beyond the rate that it may make at once.
    pub burst: f64,
}
