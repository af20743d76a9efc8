//! Keys and the tenants that hold them.

use std::rc::Rc;
use tgw_tenant::{ApiKey, Directory, Principal, Tenant};
use tgw_topology::Residency;

fn key(text: &str) -> ApiKey {
    ApiKey::new(text.as_bytes())
}

fn tenant(name: &str, keys: &[&str]) -> Rc<Tenant> {
    Rc::new(Tenant {
        name: name.into(),
        keys: keys.iter().map(|text| key(text)).collect(),
        priority: None,
        allowance: None,
        residency: Residency::default(),
    })
}

fn principal(tenant: &str, text: &str, version: u64) -> Principal {
    Principal { tenant: tenant.into(), key: key(text), version }
}

// Guards against a request that is charged to, or shown the records of, the wrong one of two tenants.
#[test]
fn a_key_of_two_tenants_is_of_neither() {
    let directory = Directory::new(3, &[tenant("a", &["one", "both"]), tenant("b", &["both"])]);
    assert_eq!(directory.principal(key("one")), Some(principal("a", "one", 3)));
    assert_eq!(directory.principal(key("both")), None);
    assert_eq!(directory.principal(key("none")), None);
}

// Guards against a request that goes on after its key was revoked or given to another tenant, and against a VM that is
// behind and stops requests of keys that it has not heard of.
#[test]
fn a_newer_configuration_withdraws_a_principal_and_an_older_one_does_not() {
    let directory = Directory::new(3, &[tenant("a", &["kept"]), tenant("b", &["moved"])]);
    assert!(directory.permits(&principal("a", "kept", 2)));
    assert!(!directory.permits(&principal("a", "revoked", 2)));
    assert!(!directory.permits(&principal("a", "revoked", 3)));
    assert!(!directory.permits(&principal("a", "moved", 2)));
    assert!(directory.permits(&principal("a", "added", 4)));
}

// Guards against a key in a log line or a packet.
#[test]
fn a_key_is_kept_as_a_hash_only() {
    let secret = "6dnvhz6prvnzqjynjcfv";
    let known = tenant("a", &[secret]);
    assert!(!format!("{known:?} {:?}", principal("a", secret, 1)).contains(secret));
    let sent = postcard::to_stdvec(&*known).unwrap();
    assert!(!sent.windows(secret.len()).any(|bytes| bytes == secret.as_bytes()));
    assert_eq!(postcard::from_bytes::<Tenant>(&sent).unwrap(), *known);
}
