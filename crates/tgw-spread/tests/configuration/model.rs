//! The operators' configuration in the store, and VMs that take it over.

use std::{cell::Cell, rc::Rc};
use tgw_clock::Millis;
use tgw_route::{
    Config, Limits, Residency, Route, Safety, Service, Target,
    config::{Shards, Warmup},
};
use tgw_spread::{Configuration, agreement::Comparison, message::ConfigUpdate};
use tgw_tenant::{ApiKey, Tenant};

pub(super) const NAMES: [&str; 3] = ["alarms", "history", "orders"];
pub(super) const KEYS: [&[u8]; 2] = [b"key-alpha", b"key-trial"];

/// The contents of a configuration, each part by a small number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Contents {
    /// The target of each route; zero where there is no such route.
    pub(super) routes: [u8; 3],
    /// The connections of each service; zero where there is no such service.
    pub(super) services: [u8; 3],
    /// The keys of each tenant as bits, and zero where there is no such tenant; `None` without tenants.
    pub(super) tenants: Option<[u8; 2]>,
    pub(super) head_kib: u8,
}

pub(super) const USUAL: Contents =
    Contents { routes: [1, 1, 0], services: [1, 1, 0], tenants: Some([1, 0]), head_kib: 16 };

pub(super) fn target(number: u8) -> Target {
    let name = |number: u8| -> Rc<str> { format!("service-{number}").into() };
    match number {
        1 | 2 => Target::Single(name(number)),
        3 => Target::Weighted(vec![(name(1), 0.9), (name(2), 0.1)]),
        _ => {
            let services = vec![name(1), name(2)];
            Target::Shards(Shards { services, result_limit: 10, min_shard_share: 0.5 })
        }
    }
}

pub(super) fn route(name: &str, number: u8) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: format!("/{name}/").into(),
        target: target(number),
        safety: Safety::Idempotent,
        timeout: Millis::new(800),
        target_latency: Millis::new(150),
        max_attempts: 2,
        priority: 0,
        residency: Residency::default(),
        anonymous: false,
    }
}

pub(super) fn tenant(name: &str, bits: u8) -> Tenant {
    let keys = KEYS.iter().enumerate().filter(|(at, _)| bits >> at & 1 == 1);
    Tenant {
        name: name.into(),
        keys: keys.map(|(_, key)| ApiKey::new(key)).collect(),
        priority: None,
        allowance: None,
        residency: Residency::default(),
    }
}

impl Contents {
    /// The document with these contents.
    pub(super) fn document(&self, version: u64) -> Config {
        let present = |numbers: &[u8]| -> Vec<(&'static str, u8)> {
            let numbered = NAMES.into_iter().zip(numbers.iter().copied());
            numbered.filter(|(_, number)| *number > 0).collect()
        };
        let service = |connections: u8| Service {
            max_connections: connections.into(),
            warmup: Warmup::default(),
        };
        let routes = present(&self.routes).into_iter();
        let services = present(&self.services).into_iter();
        let tenants = |numbers: [u8; 2]| {
            present(&numbers).into_iter().map(|(name, bits)| Rc::new(tenant(name, bits))).collect()
        };
        Config {
            version,
            routes: routes.map(|(name, number)| Rc::new(route(name, number))).collect(),
            services: services.map(|(name, number)| (name.into(), service(number))).collect(),
            limits: Limits {
                max_head_bytes: usize::from(self.head_kib) << 10,
                ..Limits::default()
            },
            tenants: self.tenants.map(tenants),
        }
    }

    /// The contents after one edit by an operator.
    pub(super) fn edited(mut self, part: u8, at: usize, number: u8) -> Self {
        match part {
            0..=2 => self.routes[at] = number,
            3 | 4 => self.services[at] = number,
            5..=7 => self.tenants.get_or_insert_default()[at % 2] = number & 3,
            8 => self.head_kib = 16 + number,
            _ => self.tenants = None,
        }
        self
    }
}

/// What a VM does with requests by this configuration, whatever its version.
pub(super) fn behavior(config: &Config) -> String {
    let mut config = config.clone();
    config.version = 0;
    config.routes.sort_by(|one, other| one.name.cmp(&other.name));
    config.tenants.iter_mut().for_each(|t| t.sort_by(|one, other| one.name.cmp(&other.name)));
    let keys = config.tenants.iter().flatten().map(|t| t.keys.to_vec()).collect::<Vec<_>>();
    let keys = postcard::to_allocvec(&keys).unwrap();
    format!("{config:?} {keys:?}")
}

/// The operators' configuration in the store, and its earlier versions.
pub(super) struct Store {
    pub(super) versions: Vec<(u64, Contents)>,
}

impl Store {
    pub(super) fn new() -> Self {
        Self { versions: vec![(5, USUAL)] }
    }

    pub(super) fn newest(&self) -> (u64, Contents) {
        self.versions[self.versions.len() - 1]
    }

    pub(super) fn write(&mut self, contents: Contents) {
        let version = self.newest().0 + 2;
        self.versions.push((version, contents));
    }

    pub(super) fn document(&self) -> Config {
        let (version, contents) = self.newest();
        contents.document(version)
    }

    /// What a VM with this version has to do.
    pub(super) fn behavior_at(&self, version: u64) -> String {
        let found = self.versions.iter().find(|(known, _)| *known == version);
        behavior(&found.expect("a version that was written").1.document(version))
    }
}

#[derive(Default)]
pub(super) struct Vm {
    pub(super) state: Configuration,
    /// The configuration by which it handles requests.
    pub(super) active: Config,
    /// Its configuration has changed since it was last checked.
    pub(super) changed: Cell<bool>,
}

impl Vm {
    pub(super) fn read(&mut self, store: &Store) {
        let document = store.document();
        if self.state.apply_document(&document) {
            self.active = self.state.document();
            self.changed.set(true);
        }
    }

    /// Its answer to a VM that holds `version`.
    pub(super) fn answer(&self, version: u64) -> Option<ConfigUpdate> {
        self.state.update_since(version)
    }

    pub(super) fn apply(&mut self, update: Option<ConfigUpdate>) {
        if update.is_some_and(|update| self.state.apply_update(update)) {
            self.active = self.state.document();
            self.changed.set(true);
        }
    }

    pub(super) fn version(&self) -> u64 {
        self.state.version()
    }
}

pub(super) fn ask(vms: &mut [Vm], asking: usize, asked: usize) {
    let update = vms[asked].answer(vms[asking].version());
    vms[asking].apply(update);
}

/// How the configurations of two VMs compare.
pub(super) fn compare(one: &Vm, other: &Vm) -> Comparison {
    one.state.digest().compare(other.state.digest())
}

/// Checks that a VM does what the version that it names says.
pub(super) fn check(vm: &Vm, store: &Store) {
    assert_eq!(behavior(&vm.active), store.behavior_at(vm.version()), "at {}", vm.version());
}
