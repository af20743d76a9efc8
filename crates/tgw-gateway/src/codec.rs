//! Interface to the platform adapter, which translates the platform's names and documents.

use http::{HeaderMap, HeaderName, HeaderValue};
use serde_json::Value;
use std::fmt;
use tgw_forward::{load::Load, upstream::Entry};
use tgw_route::Config;
use tgw_tenant::ApiKey;

/// Names of the headers exchanged with callers and upstreams.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifier of the request; upstreams echo it.
    pub request_id: HeaderName,
    /// Time left until the deadline, in whole ms.
    pub deadline: HeaderName,
    /// The upstream incarnation that the request is meant for.
    pub expected_incarnation: HeaderName,
    /// Signature of an upstream's reply.
    pub signature: HeaderName,
    /// The load that an upstream reports with a reply.
    pub load: HeaderName,
    /// Present if the upstream states that it did not run the request.
    pub not_executed: HeaderName,
    /// The tenant that a request is made for; set by this product only.
    pub tenant: HeaderName,
    /// The signatures of the parts that an answer was merged from.
    pub part_signatures: HeaderName,
    /// The number of shards missing from an answer.
    pub missing_parts: HeaderName,
}

impl Headers {
    /// All names.
    pub(crate) fn all(&self) -> [&HeaderName; 9] {
        [
            &self.request_id,
            &self.deadline,
            &self.expected_incarnation,
            &self.signature,
            &self.load,
            &self.not_executed,
            &self.tenant,
            &self.part_signatures,
            &self.missing_parts,
        ]
    }
}

/// Kinds of objects in the platform's store.
#[derive(Clone, Debug)]
pub struct Kinds {
    /// Kind of the configuration object.
    pub config: String,
    /// Name of the only configuration object.
    pub config_name: String,
    /// Kind of the upstreams' entries.
    pub upstreams: String,
    /// Kind under which operators list the evacuated failure domains.
    pub evacuations: String,
    /// Kind, owned by this product, under which VMs publish their addresses.
    pub vms: String,
}

/// A problem in a document of the platform, and where it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Path of the value in its document, for example `routes[3].timeout`.
    pub path: String,
    /// Description of the problem.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// A decoded document. Parts that could not be decoded are left out and listed in `findings`.
#[derive(Clone, Debug)]
pub struct Decoded<T> {
    /// The part that could be decoded.
    pub value: T,
    /// The parts that could not be decoded.
    pub findings: Vec<Finding>,
}

/// Translates between the platform's names and this product's types.
pub trait Codec {
    /// Names of the headers.
    fn headers(&self) -> &Headers;
    /// Kinds of the objects in the store.
    fn kinds(&self) -> &Kinds;
    /// The path on which the balancer checks readiness.
    fn ready_path(&self) -> &str;
    /// The API key that a request presents; `None` if it presents none, or anything else.
    fn api_key(&self, headers: &HeaderMap) -> Option<ApiKey>;
    /// Decodes the load that an upstream reports; `None` if the value is not a load.
    fn decode_load(&self, value: &HeaderValue) -> Option<Load>;
    /// Decodes a configuration. Errors: the configuration has no version or no routes.
    fn decode_config(&self, value: &Value) -> Result<Decoded<Config>, Vec<Finding>>;
    /// Decodes an upstream's entry. Errors: a required field is missing.
    fn decode_upstream(&self, name: &str, value: &Value) -> Result<Entry, Vec<Finding>>;
}
