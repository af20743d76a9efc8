use crate::ApiKey;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Who a request is made for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Principal {
    /// The name of the tenant.
    pub tenant: Rc<str>,
    /// The key that the caller presented.
    pub key: ApiKey,
    /// The version of the configuration by which the key is the tenant's.
    pub version: u64,
}
