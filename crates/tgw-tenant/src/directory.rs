use crate::{ApiKey, Principal, Tenant};
use std::{
    collections::{HashMap, hash_map::Entry},
    rc::Rc,
};

/// The tenants of one version of the configuration, by key and by name.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    version: u64,
    /// `None` for a key that several tenants claim: it is refused, as either could be charged for and
    /// shown the other's requests.
    by_key: HashMap<ApiKey, Option<Rc<Tenant>>>,
    by_name: HashMap<Rc<str>, Rc<Tenant>>,
}

impl Directory {
    /// The tenants of the configuration with this version.
    pub fn new(version: u64, tenants: &[Rc<Tenant>]) -> Self {
        let mut by_key: HashMap<ApiKey, Option<Rc<Tenant>>> = HashMap::new();
        for tenant in tenants {
            for key in &tenant.keys {
                match by_key.entry(*key) {
                    Entry::Vacant(entry) => {
                        entry.insert(Some(tenant.clone()));
                    }
                    Entry::Occupied(mut entry) => {
                        if entry.get().as_ref().is_some_and(|holder| holder.name != tenant.name) {
                            entry.insert(None);
                        }
                    }
                }
            }
        }
        let by_name = tenants.iter().map(|tenant| (tenant.name.clone(), tenant.clone())).collect();
        Self { version, by_key, by_name }
    }

    /// The tenant that holds a key.
    pub fn find(&self, key: ApiKey) -> Option<&Rc<Tenant>> {
        self.by_key.get(&key)?.as_ref()
    }

    /// The tenant with a name.
    pub fn tenant(&self, name: &str) -> Option<&Rc<Tenant>> {
        self.by_name.get(name)
    }

    /// The principal of a request with a key; `None` if no tenant holds it.
    pub fn principal(&self, key: ApiKey) -> Option<Principal> {
        let tenant = self.find(key)?.name.clone();
        Some(Principal { tenant, key, version: self.version })
    }

    /// Whether a request that was accepted for this principal, here or on another VM, may still be sent.
    /// A VM whose configuration is older than the one that named the principal cannot object to it.
    pub fn permits(&self, principal: &Principal) -> bool {
        principal.version > self.version
            || self.find(principal.key).is_some_and(|tenant| tenant.name == principal.tenant)
    }
}
