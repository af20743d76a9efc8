use super::{
    scenario::{FAULT_START_S, Scenario},
    vms::{REGIONS, Size},
};
use rand::{Rng, rngs::SmallRng};
use rand_distr::{Distribution, Exp, LogNormal};
use tgw_clock::Millis;
use tgw_quarantine::Fingerprint;
use xxhash_rust::xxh3::xxh3_64;

/// Queries a second of all VMs together at normal load.
const QUERIES_PER_S: f64 = 200.0;
/// Interval in ms at which a caller sends a query that ends upstreams.
const DEADLY_QUERY_INTERVAL_MS: f64 = 700.0;
/// Where searches are repeated: share of the queries that repeat one, and number of such searches.
const POPULAR_RATIO: f64 = 0.5;
const POPULAR_QUERIES: usize = 4;
/// Kinds of repeated queries.
const POPULAR_NAME: &str = "popular";
const DEADLY_NAME: &str = "deadly";

/// One query as it arrives, first or as a retry.
#[derive(Clone)]
pub(super) struct Query {
    pub(super) at: Millis,
    /// When its caller first sent it; a caller retries an unserved query once.
    pub(super) first: Millis,
    pub(super) region: usize,
    pub(super) vm: usize,
    /// Whether this is a full search or the short urgent one.
    pub(super) full: bool,
    /// Work of each part, in ms.
    pub(super) work: Vec<f64>,
    pub(super) seed: u64,
    /// What it asks for: equal for repetitions of the same query.
    pub(super) content: u64,
    /// Each upstream that begins to run it ends.
    pub(super) deadly: bool,
    /// The caller's host that sends it.
    pub(super) host: u32,
}

impl Query {
    /// The caller's timeout, counted from its first attempt.
    pub(super) fn timeout(&self) -> Millis {
        Millis::new(if self.full { 1_000 } else { 600 })
    }

    /// Fingerprint: equal for each attempt of a caller, and for all repetitions of a deadly query
    /// from one host.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        Fingerprint { content: self.content, caller: self.host }
    }

    /// The caller's retry of this query through another VM, if it was not retried before and there
    /// is time left.
    pub(super) fn retry(&self, at: Millis, vm: usize) -> Option<Self> {
        let retried = self.at != self.first || at >= self.first + self.timeout();
        let seed = self.seed.wrapping_add(1);
        (!retried).then(|| Self { at, vm, seed, region: vm % REGIONS, ..self.clone() })
    }

    /// A pseudo-random number from 0 to 1 for one send of a part; the same for every choice.
    pub(super) fn draw(&self, shard: usize, send: u64, upstream: usize) -> f64 {
        let name = [self.seed, shard as u64, send, upstream as u64];
        let name: Vec<u8> = name.iter().flat_map(|n| n.to_le_bytes()).collect();
        xxh3_64(&name) as f64 / u64::MAX as f64
    }
}

/// Generates all queries of a run.
pub(super) fn arrivals(
    (scenario, deadly): (Scenario, usize),
    size: Size,
    rng: &mut SmallRng,
) -> Vec<Query> {
    let gap = |per_s: f64| Exp::new(per_s / 1_000.0).ok();
    // Work varies by 0.35 of its mean, and one request in a hundred takes five times as long.
    let spread = LogNormal::new(-0.06, 0.35).ok();
    let mut queries = Vec::new();
    let mut at = 0.0;
    while at < scenario.duration_ms() {
        let busy = scenario.fault_period().contains(&at);
        let load = if busy { scenario.load_factor() } else { 1.0 };
        at += gap(QUERIES_PER_S * load).map_or(1.0, |e| e.sample(rng));
        let full = rng.random_bool(0.75);
        let mean = if full { 20.0 } else { 6.7 };
        let work = (0..size.shards).map(|_| {
            let tail = if rng.random_bool(0.01) { 5.0 } else { 1.0 };
            mean * tail * spread.map_or(1.0, |s| s.sample(rng))
        });
        let work = work.collect();
        let vm = rng.random_range(0..size.vms);
        let (region, seed) = (vm % REGIONS, rng.random());
        let at = Millis::from_f64(at);
        let content = at.as_micros();
        queries.push(Query {
            at,
            first: at,
            region,
            vm,
            full,
            work,
            seed,
            content,
            deadly: false,
            host: 0,
        });
    }
    if scenario == Scenario::QueriesOfDeath {
        repeat_popular(&mut queries, rng);
    }
    for number in 0..scenario.deadly_queries(deadly) {
        queries.extend(deadly_queries(scenario, size, number, rng));
    }
    queries
}

/// Gives half of the queries one of a few contents, as searches that many callers repeat.
fn repeat_popular(queries: &mut [Query], rng: &mut SmallRng) {
    for query in queries {
        if rng.random_bool(POPULAR_RATIO) {
            query.content = content(POPULAR_NAME, rng.random_range(0..POPULAR_QUERIES));
        }
    }
}

/// The content of query `number` of a kind.
fn content(kind: &str, number: usize) -> u64 {
    xxh3_64(format!("{kind} {number}").as_bytes())
}

/// Generates deadly query `number` at each of its repetitions, at any VM.
fn deadly_queries(scenario: Scenario, size: Size, number: usize, rng: &mut SmallRng) -> Vec<Query> {
    let mut queries = Vec::new();
    let mut at = FAULT_START_S * 1_000.0;
    let several = scenario == Scenario::QueriesOfDeath;
    if several {
        at += rng.random_range(0.0..DEADLY_QUERY_INTERVAL_MS);
    }
    let content = if several { content(DEADLY_NAME, number) } else { 0 };
    let mut host = 0;
    while scenario.fault_period().contains(&at) {
        let (vm, seed) = (rng.random_range(0..size.vms), rng.random());
        let (first, work) = (Millis::from_f64(at), vec![20.0; size.shards]);
        let region = vm % REGIONS;
        queries.push(Query {
            at: first,
            first,
            region,
            vm,
            full: true,
            work,
            seed,
            content,
            deadly: true,
            host,
        });
        at += DEADLY_QUERY_INTERVAL_MS;
        host += u32::from(scenario == Scenario::QueryOfDeathOfManyHosts);
    }
    queries
}
