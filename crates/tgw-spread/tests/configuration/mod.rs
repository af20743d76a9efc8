//! VMs that read the configuration from the store and from one another act by the store's.

use proptest::{prelude::*, test_runner::RngSeed};
use std::{cell::Cell, rc::Rc};
use test_case::test_case;
use tgw_clock::Millis;
use tgw_route::{
    Config, Limits, Residency, Route, Safety, Service, Target,
    config::{Shards, Warmup},
};
use tgw_spread::{ReplicatedState, agreement::Comparison, message::ConfigUpdate};
use tgw_tenant::{ApiKey, Tenant};

const NAMES: [&str; 3] = ["alarms", "history", "orders"];
const KEYS: [&[u8]; 2] = [b"key-alpha", b"key-trial"];
/// Rounds in which each VM asks each other one: more than an update needs to pass through all.
const ROUNDS: usize = 4;
const MAX_VMS: usize = 4;

/// The contents of a configuration, each part by a small number.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Contents {
    /// The target of each route; zero where there is no such route.
    routes: [u8; 3],
    /// The connections of each service; zero where there is no such service.
    services: [u8; 3],
    /// The keys of each tenant as bits, and zero where there is no such tenant; `None` without tenants.
    tenants: Option<[u8; 2]>,
    head_kib: u8,
}

const USUAL: Contents =
    Contents { routes: [1, 1, 0], services: [1, 1, 0], tenants: Some([1, 0]), head_kib: 16 };

fn target(number: u8) -> Target {
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

fn route(name: &str, number: u8) -> Route {
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

fn tenant(name: &str, bits: u8) -> Tenant {
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
    fn document(&self, version: u64) -> Config {
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
    fn edited(mut self, part: u8, at: usize, number: u8) -> Self {
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
fn behavior(config: &Config) -> String {
    let mut config = config.clone();
    config.version = 0;
    config.routes.sort_by(|one, other| one.name.cmp(&other.name));
    config.tenants.iter_mut().for_each(|t| t.sort_by(|one, other| one.name.cmp(&other.name)));
    let keys = config.tenants.iter().flatten().map(|t| t.keys.to_vec()).collect::<Vec<_>>();
    let keys = postcard::to_allocvec(&keys).unwrap();
    format!("{config:?} {keys:?}")
}

/// The operators' configuration in the store, and its earlier versions.
struct Store {
    versions: Vec<(u64, Contents)>,
}

impl Store {
    fn new() -> Self {
        Self { versions: vec![(5, USUAL)] }
    }

    fn newest(&self) -> (u64, Contents) {
        self.versions[self.versions.len() - 1]
    }

    fn write(&mut self, contents: Contents) {
        let version = self.newest().0 + 2;
        self.versions.push((version, contents));
    }

    fn document(&self) -> Config {
        let (version, contents) = self.newest();
        contents.document(version)
    }

    /// What a VM with this version has to do.
    fn behavior_at(&self, version: u64) -> String {
        let found = self.versions.iter().find(|(known, _)| *known == version);
        behavior(&found.expect("a version that was written").1.document(version))
    }
}

#[derive(Default)]
struct Vm {
    state: ReplicatedState,
    /// The configuration by which it handles requests.
    active: Config,
    /// Its configuration has changed since it was last checked.
    changed: Cell<bool>,
}

impl Vm {
    fn read(&mut self, store: &Store) {
        let document = store.document();
        if self.state.apply_config(&document) {
            self.active = self.state.configuration.document();
            self.changed.set(true);
        }
    }

    /// Its answer to a VM that holds `version`.
    fn answer(&self, version: u64) -> Option<ConfigUpdate> {
        self.state.config_update_since(version)
    }

    fn apply(&mut self, update: Option<ConfigUpdate>) {
        if let Some(config) = update.and_then(|update| self.state.apply_config_update(update)) {
            self.active = config;
            self.changed.set(true);
        }
    }

    fn version(&self) -> u64 {
        self.state.config_version()
    }
}

fn ask(vms: &mut [Vm], asking: usize, asked: usize) {
    let update = vms[asked].answer(vms[asking].version());
    vms[asking].apply(update);
}

/// How the configurations of two VMs compare.
fn compare(one: &Vm, other: &Vm) -> Comparison {
    one.state.digests().configuration.compare(other.state.digests().configuration)
}

/// Checks that a VM does what the version that it names says.
fn check(vm: &Vm, store: &Store) {
    assert_eq!(behavior(&vm.active), store.behavior_at(vm.version()), "at {}", vm.version());
}

// Operators change the configuration and take the change back while one VM sleeps. It must not bring the change back
// into force, nor keep it alive, on the VM that saw it: a route moved or dropped, a key added or taken away.
#[test_case(Contents { routes: [1, 2, 0], ..USUAL }; "route moved")]
#[test_case(Contents { routes: [0, 1, 0], ..USUAL }; "route dropped")]
#[test_case(Contents { routes: [1, 1, 1], ..USUAL }; "route added")]
#[test_case(Contents { services: [2, 1, 0], ..USUAL }; "service changed")]
#[test_case(Contents { services: [0, 1, 0], ..USUAL }; "service dropped")]
#[test_case(Contents { tenants: Some([3, 0]), ..USUAL }; "key added")]
#[test_case(Contents { tenants: Some([2, 0]), ..USUAL }; "key replaced")]
#[test_case(Contents { tenants: Some([0, 0]), ..USUAL }; "last tenant dropped")]
#[test_case(Contents { tenants: Some([1, 1]), ..USUAL }; "tenant added")]
#[test_case(Contents { tenants: None, ..USUAL }; "no tenants")]
#[test_case(Contents { head_kib: 32, ..USUAL }; "limits")]
fn change_and_rollback_that_a_peer_skipped_are_both_undone(changed: Contents) {
    let mut store = Store::new();
    let mut vms = [Vm::default(), Vm::default()];
    vms.iter_mut().for_each(|vm| vm.read(&store));
    store.write(changed);
    vms[1].read(&store);
    store.write(USUAL);
    vms[0].read(&store);
    ask(&mut vms, 1, 0);
    check(&vms[1], &store);
    assert_eq!(vms[1].version(), vms[0].version());
}

// Operators add a route and remove it while one VM is cut off from the store. Another VM, which saw only the
// first of the two edits, asks it for changes and must not go on serving the route.
#[test]
fn route_added_and_removed_while_cut_off_is_dropped() {
    let brief = Contents { routes: [1, 1, 1], ..USUAL };
    let (mut skipping, mut asking) = (ReplicatedState::default(), ReplicatedState::default());
    for document in [USUAL.document(3), USUAL.document(6)] {
        skipping.apply_config(&document);
    }
    for document in [USUAL.document(3), brief.document(4)] {
        asking.apply_config(&document);
    }
    let update = skipping.config_update_since(asking.config_version()).unwrap();
    let routes = asking.apply_config_update(update).unwrap().routes;
    assert_eq!(routes.iter().map(|r| &*r.name).collect::<Vec<_>>(), ["alarms", "history"]);
}

// A VM asks a peer for changes, and reads a change from the store before the answer arrives, which was made for the
// version before and lacks what takes that change back.
#[test]
fn answer_made_for_an_earlier_version_is_not_applied() {
    let mut store = Store::new();
    let mut vms = [Vm::default(), Vm::default()];
    vms.iter_mut().for_each(|vm| vm.read(&store));
    store.write(Contents { routes: [2, 0, 0], ..USUAL });
    let asked_with = vms[1].version();
    vms[1].read(&store);
    store.write(USUAL);
    vms[0].read(&store);
    let late = vms[0].answer(asked_with);
    vms[1].apply(late);
    check(&vms[1], &store);
    ask(&mut vms, 1, 0);
    check(&vms[1], &store);
    assert_eq!(vms[1].version(), vms[0].version());
}

// An earlier build tells the routes as changes and the services whole, which lack a service that came and went between.
// The VM that is told must not take itself to know the changes since the version between.
#[test]
fn version_between_is_unknown_where_one_part_is_told_whole() {
    let mut store = Store::new();
    let mut vms = [Vm::default(), Vm::default(), Vm::default()];
    vms.iter_mut().for_each(|vm| vm.read(&store));
    store.write(Contents { services: [1, 1, 1], ..USUAL });
    vms[0].read(&store);
    vms[2].read(&store);
    store.write(USUAL);
    vms[0].read(&store);
    let mut update = vms[0].answer(vms[1].version()).unwrap();
    assert!(update.routes.from.is_some());
    update.services = vms[0].answer(0).unwrap().services;
    vms[1].apply(Some(update));
    ask(&mut vms, 2, 1);
    check(&vms[2], &store);
    assert_eq!(vms[2].version(), vms[1].version());
}

// A VM is cut off while the configuration changes more often than peers keep versions, or while one change drops more
// routes than they keep removals. It is told the whole document, and nothing that was dropped stays.
#[test]
fn vm_that_is_too_far_behind_is_told_the_whole_document() {
    let mut store = Store::new();
    let mut vms = [Vm::default(), Vm::default()];
    vms.iter_mut().for_each(|vm| vm.read(&store));
    for number in 0..100 {
        store.write(Contents { routes: [0, number % 4, 0], ..USUAL });
        vms[0].read(&store);
    }
    let update = vms[0].answer(vms[1].version()).unwrap();
    assert_eq!(update.routes.from, None);
    vms[1].apply(Some(update));
    check(&vms[1], &store);
}

#[test]
fn more_removals_than_are_kept_reach_a_vm_that_is_behind() {
    let names: Vec<String> = (0..5_000).map(|number| format!("route-{number}")).collect();
    let routes = |names: &[String]| names.iter().map(|name| Rc::new(route(name, 1))).collect();
    let document = |version, names| Config { version, routes: routes(names), ..Config::default() };
    let mut vms = [Vm::default(), Vm::default()];
    vms.iter_mut().for_each(|vm| _ = vm.state.apply_config(&document(1, &names)));
    vms[0].state.apply_config(&document(2, &names[..1]));
    ask(&mut vms, 1, 0);
    assert_eq!((vms[1].version(), vms[1].active.routes.len()), (2, 1));
}

// A VM was told wrong contents under the right version, by a build with a fault, and another VM was told by it. They are
// found by their digests, and the store's document replaces theirs, also where they tell others.
#[test_case(Contents { routes: [2, 1, 0], ..USUAL }; "route")]
#[test_case(Contents { services: [2, 1, 0], ..USUAL }; "service")]
#[test_case(Contents { tenants: Some([3, 0]), ..USUAL }; "key")]
#[test_case(Contents { tenants: None, ..USUAL }; "no tenants")]
#[test_case(Contents { head_kib: 32, ..USUAL }; "limits")]
fn vm_that_was_told_wrong_contents_is_found_and_mended(wrong: Contents) {
    let mut store = Store::new();
    let mut vms = [Vm::default(), Vm::default(), Vm::default()];
    vms[0].state.apply_config(&wrong.document(3));
    vms[0].state.apply_config(&wrong.document(5));
    vms[1].read(&store);
    ask(&mut vms, 2, 0);
    assert_eq!(compare(&vms[0], &vms[1]), Comparison::Different);
    assert_eq!(compare(&vms[0], &vms[2]), Comparison::Equal);
    vms[0].state.configuration.mark_disputed();
    vms[0].read(&store);
    check(&vms[0], &store);
    assert_eq!(compare(&vms[0], &vms[1]), Comparison::Equal);
    store.write(Contents { routes: [1, 1, 1], ..USUAL });
    vms[0].read(&store);
    ask(&mut vms, 2, 0);
    check(&vms[2], &store);
}

/// One step of a random order of events.
#[derive(Clone, Copy, Debug)]
enum Step {
    Edit {
        part: u8,
        at: usize,
        number: u8,
    },
    Rollback {
        back: usize,
    },
    Read {
        vm: usize,
    },
    Ask {
        vm: usize,
        other: usize,
    },
    /// The answer of `other` to `vm` is under way.
    Send {
        vm: usize,
        other: usize,
    },
    /// The answer that has been under way for the longest time arrives.
    Deliver,
    Restart {
        vm: usize,
    },
    /// An older build tells the VM other contents under the version that it names.
    Corrupt {
        vm: usize,
        number: u8,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let vm = || 0..MAX_VMS;
    prop_oneof![
        3 => (0..10_u8, 0..3_usize, 0..5_u8)
            .prop_map(|(part, at, number)| Step::Edit { part, at, number }),
        3 => (1..4_usize).prop_map(|back| Step::Rollback { back }),
        5 => vm().prop_map(|vm| Step::Read { vm }),
        5 => (vm(), vm()).prop_map(|(vm, other)| Step::Ask { vm, other }),
        2 => (vm(), vm()).prop_map(|(vm, other)| Step::Send { vm, other }),
        2 => Just(Step::Deliver),
        1 => vm().prop_map(|vm| Step::Restart { vm }),
    ]
}

/// All steps, and VMs that hold wrong contents among them.
fn step_or_corruption() -> impl Strategy<Value = Step> {
    let corrupt = (0..MAX_VMS, 0..5_u8).prop_map(|(vm, number)| Step::Corrupt { vm, number });
    prop_oneof![9 => step(), 1 => corrupt]
}

/// Plays an order of events; then one VM reads the store and all ask all. `check` sees the VMs that changed after each
/// event.
fn play(count: usize, steps: &[Step], check: impl Fn(&Vm, &Store)) -> (Vec<Vm>, Store) {
    let mut store = Store::new();
    let mut vms: Vec<Vm> = (0..count).map(|_| Vm::default()).collect();
    let mut under_way = Vec::new();
    vms.iter_mut().for_each(|vm| vm.read(&store));
    for step in steps {
        match *step {
            Step::Edit { part, at, number } => {
                let contents = store.newest().1.edited(part, at, number);
                store.write(contents);
            }
            Step::Rollback { back } => {
                let at = store.versions.len().saturating_sub(1 + back);
                store.write(store.versions[at].1);
            }
            Step::Read { vm } => vms[vm % count].read(&store),
            Step::Ask { vm, other } => ask(&mut vms, vm % count, other % count),
            Step::Send { vm, other } => {
                let (vm, other) = (vm % count, other % count);
                under_way.push((vm, vms[other].answer(vms[vm].version())));
            }
            Step::Deliver if under_way.is_empty() => {}
            Step::Deliver => {
                let (vm, update) = under_way.remove(0);
                vms[vm].apply(update);
            }
            Step::Restart { vm } => vms[vm % count] = Vm::default(),
            Step::Corrupt { vm, number } => {
                let vm = &mut vms[vm % count];
                let wrong = Contents { routes: [number; 3], ..USUAL };
                let document = wrong.document(vm.version());
                *vm = Vm::default();
                vm.state.apply_config(&document);
            }
        }
        vms.iter().filter(|vm| vm.changed.take()).for_each(|vm| check(vm, &store));
    }
    vms[0].read(&store);
    ask_all(&mut vms);
    (vms, store)
}

/// Has all VMs ask all until nothing is left to be told.
fn ask_all(vms: &mut [Vm]) {
    let count = vms.len();
    for _ in 0..ROUNDS {
        (0..count * count).for_each(|n| ask(vms, n / count, n % count));
    }
}

/// Has two VMs compare their digests and read the store if they differ.
fn compare_and_read(vms: &mut [Vm], one: usize, other: usize, store: &Store) {
    if compare(&vms[one], &vms[other]) == Comparison::Different {
        for vm in [one, other] {
            vms[vm].state.configuration.mark_disputed();
            vms[vm].read(store);
        }
    }
}

/// Checks that all VMs do what the store's newest version says, and know that they agree.
fn check_newest(vms: &[Vm], store: &Store) {
    for vm in vms {
        assert_eq!(compare(vm, &vms[0]), Comparison::Equal);
        assert_eq!(vm.version(), store.newest().0);
        check(vm, store);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(56),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // VMs read versions of the configuration from the store or from one another, miss some, start anew, and get
    // answers late, in any order. Whatever version a VM names, it must do what that version says.
    #[test]
    fn vm_does_what_the_version_that_it_names_says(
        count in 2..=MAX_VMS,
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let (vms, store) = play(count, &steps, check);
        check_newest(&vms, &store);
    }

    // Some VMs were told wrong contents under a right version, and pass them on, in any order. Those that read the
    // store because their digests differ, and those that they tell later, do what the store's version says.
    #[test]
    fn vms_that_differ_are_mended_from_the_store(
        count in 2..=MAX_VMS,
        steps in prop::collection::vec(step_or_corruption(), 1..40),
    ) {
        let (mut vms, mut store) = play(count, &steps, |_, _| ());
        for one in 0..count {
            (0..count).for_each(|other| compare_and_read(&mut vms, one, other, &store));
        }
        check_newest(&vms, &store);
        store.write(store.newest().1.edited(0, 0, 3));
        vms[0].read(&store);
        ask_all(&mut vms);
        check_newest(&vms, &store);
    }
}
