//! What the platform calls things: the border to the adapter.

use http::{HeaderName, HeaderValue};
use serde_json::Value;
use std::fmt;
use tgw_forward::{load::Load, upstream::Entry};
use tgw_route::Config;

/// Header names of the protocol towards callers and upstreams.
#[derive(Clone, Debug)]
pub struct Headers {
    /// The request's identity; echoed by upstreams.
    pub request: HeaderName,
    /// Time left, in whole ms.
    pub deadline: HeaderName,
    /// The incarnation that a request is meant for.
    pub expected: HeaderName,
    /// The signature of an upstream's reply.
    pub seal: HeaderName,
    /// The load that an upstream tells with a reply.
    pub load: HeaderName,
    /// Present where an upstream states that it did not run a request.
    pub declined: HeaderName,
    /// The signatures of the parts of an answer.
    pub parts: HeaderName,
    /// The number of shards that an answer leaves out.
    pub missing: HeaderName,
}

/// The kinds of objects in the platform's store.
#[derive(Clone, Debug)]
pub struct Kinds {
    /// The kind of the configuration.
    pub config: String,
    /// The name of the one configuration.
    pub config_name: String,
    /// The kind of the upstreams' entries.
    pub upstreams: String,
    /// The kind under which operators name the failure domains that are evacuated.
    pub evacuations: String,
    /// The kind, of the product's own, under which VMs announce themselves.
    pub vms: String,
}

/// Something that cannot be understood, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The path of the value in its document, as `routes[3].timeout`.
    pub place: String,
    /// What is wrong with it.
    pub what: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.what)
    }
}

/// A decoded document; parts that could not be understood are left out and named.
#[derive(Clone, Debug)]
pub struct Decoded<T> {
    /// What was understood.
    pub value: T,
    /// What was not.
    pub findings: Vec<Finding>,
}

/// Translates between the platform's names and the product's types.
pub trait Dialect {
    /// Header names.
    fn headers(&self) -> &Headers;
    /// Kinds of objects.
    fn kinds(&self) -> &Kinds;
    /// The path that the balancer asks for readiness.
    fn ready_path(&self) -> &str;
    /// Decodes the load that an upstream tells; `None` if it is none.
    fn load(&self, value: &HeaderValue) -> Option<Load>;
    /// Decodes a configuration. Errors: it has no version or no routes.
    fn config(&self, value: &Value) -> Result<Decoded<Config>, Vec<Finding>>;
    /// Decodes an upstream's entry. Errors: a field that the product needs is missing.
    fn upstream(&self, name: &str, value: &Value) -> Result<Entry, Vec<Finding>>;
}
