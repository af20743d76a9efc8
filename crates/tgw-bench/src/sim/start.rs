use super::{DIRECT_QUEUE_LIMIT_FACTOR, QUEUE_LIMIT_FACTOR, Sim, VmState};
use crate::{
    figures::Collector,
    model::Upstream,
    policy::{Policy, SlowUpstreams},
    setup::Setup,
};
use rand::{SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    fs::File,
    io::BufWriter,
};
use tgw_clock::Millis;
use tgw_node::{Identity, Node, Options};
use tgw_replay::Recorder;
use tgw_standin::size;
use tgw_topology::{Vm, place::Latency};

impl Sim {
    pub(super) fn new(setup: Setup, policy: Policy) -> Self {
        let catalog = setup.user.catalog(setup.spread);
        let distance = if setup.network_delays {
            setup.user.distance()
        } else {
            Latency { same_domain_ms: 0.0, cross_domain_ms: 0.0, cross_region_ms: 0.0 }
        };
        let slow_upstreams = SlowUpstreams::default();
        let queue_limit =
            if policy.is_direct() { DIRECT_QUEUE_LIMIT_FACTOR } else { QUEUE_LIMIT_FACTOR };
        let held = |node: &tgw_topology::catalog::UpstreamEntry| {
            catalog.services.get(&node.service).map(|s| s.snapshots.clone()).unwrap_or_default()
        };
        let upstreams = catalog
            .upstreams
            .values()
            .map(|n| Upstream::new(n, held(n), queue_limit * usize::from(n.max_concurrency)))
            .collect();
        let mut sim = Self {
            policy,
            distance,
            now: Millis::ZERO,
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            seq: 0,
            rng: SmallRng::seed_from_u64(setup.seed),
            arrivals: SmallRng::seed_from_u64(setup.seed ^ 0x5eed),
            vms: Vec::new(),
            upstreams,
            catalog,
            slow_upstreams,
            pending: BTreeMap::new(),
            next_token: 1,
            sent_measured: BTreeSet::new(),
            collector: Collector::new(),
            partitioned: BTreeSet::new(),
            mangles_replies: false,
            setup,
        };
        for index in 0..sim.setup.vms {
            let vm = sim.make_vm(index, 1);
            sim.vms.push(vm);
        }
        sim
    }

    pub(crate) fn make_vm(&self, index: usize, generation: u32) -> VmState {
        let vm = Vm::from_name(&format!("vm-{index}"));
        let place = size::place(index);
        let identity = Identity {
            vm,
            incarnation: (index as u64 + 1) << 20 | u64::from(generation),
            place,
            network_delays: self.distance,
            max_running: self.setup.max_running,
            log_sample_interval: u64::from(self.setup.record.is_some()),
        };
        let mut node = Node::new(self.options(&identity));
        let record = self.setup.record.as_ref().filter(|_| index == 0);
        let file = record.and_then(|path| File::create(path).ok());
        if let Some(recorder) = file.and_then(|f| Recorder::open(BufWriter::new(f), &identity).ok())
        {
            node.set_observer(Box::new(recorder));
        }
        VmState {
            node,
            vm,
            place,
            generation,
            is_up: true,
            deferred: Vec::new(),
            is_paused: false,
            leaving: false,
        }
    }

    fn options(&self, identity: &Identity) -> Options {
        let (policy, seed, slow_upstreams) =
            (self.policy, self.setup.seed, self.slow_upstreams.clone());
        if policy == Policy::Tier {
            return Options::production(identity);
        }
        Options {
            entry: tgw_query::Options {
                adaptive_limits: false,
                hedge_across_groups: policy.sends_hedges() && !policy.is_direct(),
                ..Options::production(identity).entry
            },
            place: identity.place,
            network_delays: identity.network_delays,
            policy: Box::new(move |group| policy.selection(seed, &slow_upstreams, group)),
            dispatch: policy.options(),
        }
    }
}
