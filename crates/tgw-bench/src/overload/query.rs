use super::{
    scenario::{FROM_S, Scenario},
    vms::{REGIONS, SHARDS, Size},
};
use rand::{Rng, rngs::SmallRng};
use rand_distr::{Distribution, Exp, LogNormal};
use tgw_clock::Millis;
use tgw_quarantine::Fingerprint;
use xxhash_rust::xxh3::xxh3_64;

/// Queries a second of all VMs on a day of high load.
const PER_S: f64 = 200.0;
/// Time in ms between two times that a caller sends a query under which upstreams end.
const DEATH_EVERY_MS: f64 = 700.0;

/// One query as it comes, for the first time or again.
#[derive(Clone)]
pub(super) struct Query {
    pub(super) at: Millis,
    /// When its caller sent it for the first time; callers send what was not served once more.
    pub(super) first: Millis,
    pub(super) region: usize,
    pub(super) vm: usize,
    /// A full search, or the short urgent one.
    pub(super) full: bool,
    /// Work of each part, in ms.
    pub(super) work: Vec<f64>,
    pub(super) seed: u64,
    /// Each upstream ends that begins to run it.
    pub(super) deadly: bool,
    /// The host that it comes from.
    pub(super) host: u32,
}

impl Query {
    /// How long its caller waits, from its first try on.
    pub(super) fn patience(&self) -> Millis {
        Millis::new(if self.full { 1_000 } else { 600 })
    }

    /// The same each time that its caller sends it; of the deadly query, however often it comes.
    pub(super) fn print(&self) -> Fingerprint {
        let content = if self.deadly { 0 } else { self.first.as_micros() };
        Fingerprint { content, caller: self.host }
    }

    /// The same query as its caller sends it again through another VM, if there is time left.
    pub(super) fn again(&self, at: Millis, vm: usize) -> Option<Self> {
        let retried = self.at != self.first || at >= self.first + self.patience();
        let seed = self.seed.wrapping_add(1);
        (!retried).then(|| Self { at, vm, seed, region: vm % REGIONS, ..self.clone() })
    }

    /// What decides by chance for a send of a part: the same whoever chooses.
    pub(super) fn draw(&self, shard: usize, send: u64, upstream: usize) -> f64 {
        let name = [self.seed, shard as u64, send, upstream as u64];
        let name: Vec<u8> = name.iter().flat_map(|n| n.to_le_bytes()).collect();
        xxh3_64(&name) as f64 / u64::MAX as f64
    }
}

/// All queries of a run.
pub(super) fn arrivals(scenario: Scenario, size: Size, rng: &mut SmallRng) -> Vec<Query> {
    let gap = |per_s: f64| Exp::new(per_s / 1_000.0).ok();
    // Work varies by 0.35 of its mean, and one request in a hundred takes five times as long.
    let spread = LogNormal::new(-0.06, 0.35).ok();
    let mut queries = Vec::new();
    let mut at = 0.0;
    while at < scenario.length() {
        let busy = scenario.lasts().contains(&at);
        let load = if busy { scenario.load() } else { 1.0 };
        at += gap(PER_S * load).map_or(1.0, |e| e.sample(rng));
        let full = rng.random_bool(0.75);
        let mean = if full { 20.0 } else { 6.7 };
        let work = (0..SHARDS).map(|_| {
            let tail = if rng.random_bool(0.01) { 5.0 } else { 1.0 };
            mean * tail * spread.map_or(1.0, |s| s.sample(rng))
        });
        let work = work.collect();
        let vm = rng.random_range(0..size.vms);
        let (region, seed) = (vm % REGIONS, rng.random());
        let at = Millis::from_f64(at);
        queries.push(Query { at, first: at, region, vm, full, work, seed, deadly: false, host: 0 });
    }
    if scenario.deadly() {
        queries.extend(deaths(scenario, size, rng));
    }
    queries
}

/// A query under which upstreams end, each time that its caller sends it, at any VM.
fn deaths(scenario: Scenario, size: Size, rng: &mut SmallRng) -> Vec<Query> {
    let mut queries = Vec::new();
    let mut at = FROM_S * 1_000.0;
    let mut host = 0;
    while scenario.lasts().contains(&at) {
        let (vm, seed) = (rng.random_range(0..size.vms), rng.random());
        let (first, work) = (Millis::from_f64(at), vec![20.0; SHARDS]);
        let region = vm % REGIONS;
        queries.push(Query {
            at: first,
            first,
            region,
            vm,
            full: true,
            work,
            seed,
            deadly: true,
            host,
        });
        at += DEATH_EVERY_MS;
        host += u32::from(scenario == Scenario::QueryOfDeathOfManyHosts);
    }
    queries
}
