//! Load beyond the upstreams' capacity: queries of several tenants at stated rates, whatever the answers are, to
//! upstreams of different speeds; and what is guaranteed to the tenants meanwhile and after.

use crate::{
    callers::{Caller, Exchange, Exchanges, Kind},
    environment::{Environment, SHARD_COUNT},
    fleet::{DOMAINS, Fleet, Process},
    tenants::Tenant,
};
use http::StatusCode;
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde_json::Value;
use std::{
    cell::{Cell, RefCell},
    fmt,
    ops::Range,
    rc::Rc,
    time::Duration,
};
use tgw_site_standin::settings as files;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

/// A tenant and its load.
pub(crate) struct Load {
    pub(crate) tenant: Tenant,
    /// Lower is more urgent.
    priority: u32,
    /// Queries per second outside and during the burst.
    rates: [f64; 2],
}

const fn load(name: &'static str, key: &'static str, priority: u32, rates: [f64; 2]) -> Load {
    Load { tenant: Tenant { name, key }, priority, rates }
}

/// The tenants of the overload; `forge` is the hot one.
pub(crate) const LOADS: [Load; 5] = [
    load("crane", "w2cfq7znsd6hvvtpkbye", 0, [4.0, 16.0]),
    load("ferry", "t9xk4mhrzq2wvbnc6jdp", 1, [4.0, 16.0]),
    load("forge", "h5pjw8cnq3vzkxt7rdmb", 1, [4.0, 128.0]),
    load("quarry", "z7dvn2kq9wrtbxm4hcjp", 1, [4.0, 16.0]),
    load("depot", "k3rzt8vqx5jwpnm2cbhd", 2, [4.0, 16.0]),
];

/// Service times of the three upstreams of each shard, in an order drawn from the seed. With four slots each they
/// serve 110 requests per second. The run's other callers send up to 37 queries per second besides these tenants: the
/// usual load is half of the capacity, the burst twice.
const SERVICE_TIMES: [Duration; DOMAINS.len()] =
    [Duration::from_millis(80), Duration::from_millis(100), Duration::from_millis(200)];
/// Time of usual load before the burst.
const USUAL_TIME: Duration = Duration::from_millis(1_000);
/// The latency target of the query route, by its configuration in the stand-in.
const TARGET: Duration = Duration::from_millis(300);
/// A tenant is served at least this fraction as often as all.
const MIN_TENANT_RATIO: f64 = 0.25;
/// Minimum share of the queries that must be served in their target after the burst.
const MIN_RESTORED_SHARE: f64 = 0.95;
/// Maximum share of the queries of the burst that is served in target: above it, the load was no overload.
const MAX_BURST_SHARE: f64 = 0.95;
/// Gives the overload its own random sequence.
const OVERLOAD_SEED: u64 = 0x6f76_6572;

/// The tenants' documents of the configuration.
pub(crate) fn documents() -> impl Iterator<Item = Value> {
    LOADS.iter().map(|load| {
        let mut tenant = files::tenant(load.tenant.name, &[load.tenant.key], 0.0, 0.0);
        tenant["priority"] = load.priority.into();
        tenant
    })
}

/// Sets the speeds of the shards' upstreams.
pub(crate) fn set_speeds(seed: u64, environment: &Environment) {
    let mut rng = StdRng::seed_from_u64(seed ^ OVERLOAD_SEED);
    for shard in environment.upstreams.chunks(DOMAINS.len()).take(SHARD_COUNT) {
        let mut service_times = SERVICE_TIMES;
        service_times.shuffle(&mut rng);
        for (upstream, service_time) in shard.iter().zip(service_times) {
            upstream.leaf.set_service_time(service_time);
        }
    }
}

/// When the burst takes place in a run that starts at `start`.
pub(crate) fn burst(start: Instant, span: Duration) -> Range<Instant> {
    start + USUAL_TIME.min(span)..start + span
}

/// Starts the callers of all tenants.
pub(crate) fn start(
    seed: u64,
    burst: &Range<Instant>,
    fleet: &Rc<RefCell<Fleet>>,
    (exchanges, stop): (&Exchanges, &Rc<Cell<bool>>),
    tasks: &mut JoinSet<()>,
) {
    for index in 0..LOADS.len() as u8 {
        let rng = StdRng::seed_from_u64(seed ^ OVERLOAD_SEED ^ (u64::from(index) + 1) << 32);
        let (fleet, exchanges, stop) = (fleet.clone(), exchanges.clone(), stop.clone());
        tasks.spawn_local(send(index, burst.clone(), rng, fleet, exchanges, stop));
    }
}

/// Sends the queries of one tenant, each at a random VM, without waiting for the answers of earlier ones.
async fn send(
    index: u8,
    burst: Range<Instant>,
    mut rng: StdRng,
    fleet: Rc<RefCell<Fleet>>,
    exchanges: Exchanges,
    stop: Rc<Cell<bool>>,
) {
    let addrs: Vec<_> = fleet.borrow().processes.iter().map(Process::callers_addr).collect();
    // Callers whose connection is idle, by VM.
    let idle: Rc<RefCell<Vec<Vec<Caller>>>> =
        Rc::new(RefCell::new(addrs.iter().map(|_| Vec::new()).collect()));
    let mut queries = JoinSet::new();
    let mut at = Instant::now();
    for number in 0_u64.. {
        let rate = LOADS[usize::from(index)].rates[usize::from(burst.contains(&at))];
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        sleep_until(at).await;
        if stop.get() {
            break;
        }
        let vm = rng.random_range(0..addrs.len());
        let (addr, idle, exchanges) = (addrs[vm], idle.clone(), exchanges.clone());
        let caller = idle.borrow_mut()[vm].pop();
        queries.spawn_local(async move {
            let mut caller = caller.unwrap_or_else(|| Caller::new(vm));
            let request_id = format!("l{index}-{number}");
            caller.send(addr, Kind::Load(index), request_id, &exchanges).await;
            idle.borrow_mut()[vm].push(caller);
        });
    }
    while queries.join_next().await.is_some() {}
}

/// How many queries were sent, and how many of them were answered in the target.
#[derive(Copy, Clone, Debug, Default)]
struct Served {
    sent: usize,
    in_target: usize,
    rejected: usize,
}

impl Served {
    fn count<'a>(exchanges: impl Iterator<Item = &'a Exchange>) -> Self {
        exchanges.fold(Self::default(), |count, exchange| {
            let status = exchange.answer.as_ref().map(|answer| answer.status);
            let in_target = status == Some(StatusCode::OK) && exchange.elapsed <= TARGET;
            let rejected = status == Some(StatusCode::SERVICE_UNAVAILABLE);
            Self {
                sent: count.sent + 1,
                in_target: count.in_target + usize::from(in_target),
                rejected: count.rejected + usize::from(rejected),
            }
        })
    }

    /// Zero if none was sent, so that a check of nothing fails.
    fn share(self) -> f64 {
        self.in_target as f64 / self.sent.max(1) as f64
    }
}

impl fmt::Display for Served {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { sent, in_target, rejected } = self;
        write!(f, "{in_target} of {sent} in target, {rejected} rejected")
    }
}

/// How the tenants were served.
pub(crate) struct Summary {
    before: Served,
    tenants: [Served; LOADS.len()],
    all: Served,
    after: Served,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { before, tenants, all, after } = self;
        writeln!(f, "  before the burst: {before}")?;
        for (load, served) in LOADS.iter().zip(tenants) {
            writeln!(f, "  {}, priority {}: {served}", load.tenant.name, load.priority)?;
        }
        write!(f, "  the burst: {all}\n  2 s after it: {after}")
    }
}

/// Checks that no tenant was starved in the burst, that the most urgent queries were served no worse than the rest,
/// and that nearly all were served after it.
pub(crate) fn check(
    exchanges: &[Exchange],
    burst: &Range<Instant>,
    recovery: &Range<Instant>,
    broken: &mut Vec<String>,
) -> Summary {
    let count = |span: &Range<Instant>, is_counted: &dyn Fn(usize) -> bool| {
        Served::count(exchanges.iter().filter(|exchange| match exchange.kind {
            Kind::Load(index) => span.contains(&exchange.sent_at) && is_counted(usize::from(index)),
            _ => false,
        }))
    };
    let before = count(&(burst.start - USUAL_TIME..burst.start), &|_| true);
    let all = count(burst, &|_| true);
    let tenants = std::array::from_fn(|tenant| count(burst, &|index| index == tenant));
    let after = count(recovery, &|_| true);
    if all.share() > MAX_BURST_SHARE {
        broken.push(format!("the burst was no overload: {all}"));
    }
    for (load, served) in LOADS.iter().zip(tenants) {
        if served.share() < MIN_TENANT_RATIO * all.share() {
            broken.push(format!("{} starved: {served}; all: {all}", load.tenant.name));
        }
    }
    let most_urgent = LOADS.iter().map(|load| load.priority).min();
    let is_urgent = |index: usize| Some(LOADS[index].priority) == most_urgent;
    let urgent = count(burst, &is_urgent);
    let rest = count(burst, &|index| !is_urgent(index));
    if urgent.share() < rest.share() {
        broken.push(format!("the most urgent: {urgent}; the rest: {rest}"));
    }
    if after.share() < MIN_RESTORED_SHARE {
        broken.push(format!("2 s after the burst: {after}"));
    }
    Summary { before, tenants, all, after }
}
