use crate::admission_progress::Reason;
use anyhow::Context;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider, UpDownCounter},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};
use tgw_clock::Millis;
use tgw_forward::{
    fleet::Hop,
    plan::Trigger,
    upstream::{Distance, SendOutcome},
};
use tgw_platform::Error;
use tgw_spread::agreement::Comparison;

/// Upper bounds of the latency histogram in ms: dense around the latency targets of routes (100 to
/// 400 ms).
const LATENCY_BOUNDS_MS: [f64; 12] =
    [10.0, 20.0, 40.0, 60.0, 80.0, 100.0, 150.0, 200.0, 300.0, 400.0, 800.0, 2_000.0];

/// Upper bounds of the histogram of waits for admission in ms: fractions of the same targets.
const WAIT_BOUNDS_MS: [f64; 10] =
    [5.0, 10.0, 20.0, 40.0, 60.0, 100.0, 150.0, 300.0, 600.0, 1_200.0];

/// Values of the gauges, which are read whenever metrics are collected.
#[derive(Debug, Default)]
pub(crate) struct Gauges {
    /// Version of the configuration in force; 0 if there is none.
    pub(crate) config: AtomicU64,
    /// When it came into force, in ms since the start.
    pub(crate) config_since: AtomicU64,
    /// When another VM last held the same configuration, in ms since the start.
    pub(crate) config_agreed: AtomicU64,
    /// Upstreams known.
    pub(crate) upstreams: AtomicU64,
    /// When another VM last held the same list of upstreams, in ms since the start.
    pub(crate) upstreams_agreed: AtomicU64,
    /// Live VMs that share connections and budgets.
    pub(crate) vms: AtomicU64,
    /// Callers' requests in progress.
    pub(crate) running: AtomicU64,
    pub(crate) idle_connections: AtomicU64,
    /// Log lines that the limiter left out since the start.
    pub(crate) lines_left_out: AtomicU64,
    /// Log lines dropped because the ring was full.
    pub(crate) lines_dropped: AtomicU64,
    /// Sends in progress for other VMs.
    pub(crate) hosted: AtomicU64,
    /// Queries that this VM makes for others.
    pub(crate) gathered: AtomicU64,
    /// Tenants whose requests this VM admits.
    pub(crate) limit_accounts: AtomicU64,
    /// Memory free for bodies.
    pub(crate) free_memory_bytes: AtomicU64,
    /// 1 while queries compete for upstreams, else 0.
    pub(crate) overloaded: AtomicU64,
    pub(crate) knowledge: AtomicU64,
    /// 1 while the balancer may send callers, else 0.
    pub(crate) ready: AtomicU64,
    /// Upstream entries that cannot be decoded.
    pub(crate) unreadable: AtomicU64,
    /// Requests in quarantine.
    pub(crate) quarantined: AtomicU64,
    /// All requests that the quarantine remembers, quarantined or not.
    pub(crate) suspected: AtomicU64,
}

type Gauge = (&'static str, &'static str, fn(&Gauges) -> &AtomicU64);

const GAUGES: [Gauge; 20] = [
    ("tgw_config_version", "version of the configuration in force", |g| &g.config),
    ("tgw_config_since_ms", "when it came into force, in ms since the start", |g| &g.config_since),
    (
        "tgw_config_agreed_ms",
        "when another VM last held the same configuration, in ms since the start",
        |g| &g.config_agreed,
    ),
    ("tgw_upstreams", "upstreams known", |g| &g.upstreams),
    (
        "tgw_upstreams_agreed_ms",
        "when another VM last held the same list of upstreams, in ms since the start",
        |g| &g.upstreams_agreed,
    ),
    ("tgw_vms", "live VMs that share connections and budgets", |g| &g.vms),
    ("tgw_requests_running", "requests that run", |g| &g.running),
    ("tgw_connections_idle", "idle connections to upstreams", |g| &g.idle_connections),
    ("tgw_log_lines_left_out", "log lines left out since the start", |g| &g.lines_left_out),
    ("tgw_log_lines_dropped", "log lines that the ring had no place for", |g| &g.lines_dropped),
    ("tgw_body_bytes_free", "memory that is free for bodies", |g| &g.free_memory_bytes),
    ("tgw_sends_hosted", "sends that run for other VMs", |g| &g.hosted),
    ("tgw_queries_gathered", "queries that this VM makes for others", |g| &g.gathered),
    ("tgw_limit_accounts", "tenants whose requests this VM admits", |g| &g.limit_accounts),
    ("tgw_entries_unreadable", "entries that name no upstream", |g| &g.unreadable),
    ("tgw_requests_held", "requests held back, as upstreams end under them", |g| &g.quarantined),
    ("tgw_requests_suspected", "requests under which an upstream ended, held back or not", |g| {
        &g.suspected
    }),
    (
        "tgw_vms_knowledge",
        "whether others are known, or are known to be none: 0 just started, 1 cannot tell, 2 yes",
        |g| &g.knowledge,
    ),
    ("tgw_overloaded", "1 while queries compete for upstreams", |g| &g.overloaded),
    ("tgw_ready", "1 while the balancer may send callers", |g| &g.ready),
];

/// The metrics of one process.
pub(crate) struct Metrics {
    pub(crate) gauges: Arc<Gauges>,
    registry: Registry,
    _provider: SdkMeterProvider,
    durations: Histogram<f64>,
    requests: Counter<u64>,
    sends: Counter<u64>,
    send_ends: Counter<u64>,
    upstream_ends: Counter<u64>,
    store_calls: Counter<u64>,
    comparisons: Counter<u64>,
    handed_over: Counter<u64>,
    queries_offered: Counter<u64>,
    queries_admitted: Counter<u64>,
    queries_rejected: Counter<u64>,
    queries_waiting: UpDownCounter<i64>,
    query_waits: Histogram<f64>,
}

impl Metrics {
    /// Errors: the exporter cannot be set up.
    pub(crate) fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context("cannot set up metrics")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("tanagergw");
        let gauges = Arc::new(Gauges::default());
        for gauge in GAUGES {
            register(&meter, gauge, gauges.clone());
        }
        Ok(Self {
            durations: meter
                .f64_histogram("tgw_request_ms")
                .with_boundaries(LATENCY_BOUNDS_MS.into())
                .build(),
            requests: meter.u64_counter("tgw_requests").build(),
            sends: meter.u64_counter("tgw_sends").build(),
            send_ends: meter.u64_counter("tgw_sends_ended").build(),
            upstream_ends: meter.u64_counter("tgw_upstreams_ended").build(),
            store_calls: meter.u64_counter("tgw_store_calls").build(),
            comparisons: meter.u64_counter("tgw_comparisons").build(),
            handed_over: meter.u64_counter("tgw_queries_handed_over").build(),
            queries_offered: meter.u64_counter("tgw_queries_offered").build(),
            queries_admitted: meter.u64_counter("tgw_queries_admitted").build(),
            queries_rejected: meter.u64_counter("tgw_queries_rejected").build(),
            queries_waiting: meter.i64_up_down_counter("tgw_queries_waiting").build(),
            query_waits: meter
                .f64_histogram("tgw_query_wait_ms")
                .with_boundaries(WAIT_BOUNDS_MS.into())
                .build(),
            gauges,
            registry,
            _provider: provider,
        })
    }

    /// Counts an answered request; `cause` states why it was not served.
    pub(crate) fn count_request(
        &self,
        route: &str,
        outcome: &'static str,
        cause: &'static str,
        age: Millis,
    ) {
        let route = KeyValue::new("route", route.to_owned());
        self.durations.record(age.as_f64(), std::slice::from_ref(&route));
        self.requests
            .add(1, &[route, KeyValue::new("outcome", outcome), KeyValue::new("cause", cause)]);
    }

    /// Counts a query that was handed over to a gatherer.
    pub(crate) fn count_handed_over(&self, outcome: &'static str) {
        self.handed_over.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a query that asks for admission.
    pub(crate) fn count_query_offered(&self, priority: u32) {
        self.queries_offered.add(1, &[priority_label(priority)]);
    }

    /// Counts a query that was admitted, after a wait if it had to.
    pub(crate) fn count_query_admitted(&self, priority: u32, waited: Option<Millis>) {
        let when = if waited.is_some() { "after a wait" } else { "at once" };
        self.queries_admitted.add(1, &[priority_label(priority), KeyValue::new("when", when)]);
        self.record_wait(priority, waited, "admitted");
    }

    /// Counts a query that was rejected, after a wait if it had to.
    pub(crate) fn count_query_rejected(
        &self,
        priority: u32,
        reason: Reason,
        waited: Option<Millis>,
    ) {
        let reason = KeyValue::new("reason", reason.to_string());
        self.queries_rejected.add(1, &[priority_label(priority), reason]);
        self.record_wait(priority, waited, "rejected");
    }

    fn record_wait(&self, priority: u32, waited: Option<Millis>, end: &'static str) {
        if let Some(waited) = waited {
            let labels = [priority_label(priority), KeyValue::new("end", end)];
            self.query_waits.record(waited.as_f64(), &labels);
        }
    }

    /// Counts queries that begin to wait for admission, or that no longer do if `change` is negative.
    pub(crate) fn add_query_waiting(&self, priority: u32, change: i64) {
        self.queries_waiting.add(change, &[priority_label(priority)]);
    }

    /// Counts a send.
    pub(crate) fn count_send(&self, trigger: Trigger, distance: Distance, hop: Hop) {
        let trigger = match trigger {
            Trigger::First => "first",
            Trigger::Hedge => "hedge",
            Trigger::Retry => "retry",
        };
        let distance = match distance {
            Distance::Domain => "domain",
            Distance::Region => "region",
            Distance::OtherRegion => "far",
        };
        let hop = match hop {
            Hop::Direct => "direct",
            Hop::Peer => "peer",
        };
        let labels = [("why", trigger), ("distance", distance), ("hop", hop)];
        self.sends.add(1, &labels.map(|(name, value)| KeyValue::new(name, value)));
    }

    /// Counts the end of a send.
    pub(crate) fn count_send_end(&self, outcome: SendOutcome) {
        self.send_ends.add(1, &[KeyValue::new("result", outcome.text())]);
    }

    /// Counts an upstream process of a service that terminated while it had sends of this VM; one
    /// count for all sends that broke together.
    pub(crate) fn count_upstream_end(&self, service: &str) {
        self.upstream_ends.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a call to the store by its outcome.
    pub(crate) fn count_store_call<T>(&self, call: &'static str, result: &Result<T, Error>) {
        let outcome = match result {
            Ok(_) => "done",
            Err(Error::Conflict { .. }) => "conflict",
            Err(Error::Gone) => "gone",
            Err(Error::Unavailable { .. }) => "unavailable",
            Err(Error::Unknown { .. }) => "unknown",
        };
        self.store_calls.add(1, &[KeyValue::new("call", call), KeyValue::new("outcome", outcome)]);
    }

    /// Counts a comparison of the configuration or a list with another VM's of the same version.
    pub(crate) fn count_comparison(&self, kind: &str, comparison: Comparison) {
        let result = match comparison {
            Comparison::Incomparable => return,
            Comparison::Equal => "equal",
            Comparison::Different => "different",
        };
        let kind = KeyValue::new("kind", kind.to_owned());
        self.comparisons.add(1, &[kind, KeyValue::new("result", result)]);
    }

    /// Sets the number of upstream entries that cannot be decoded.
    pub(crate) fn set_unreadable(&self, entries: usize) {
        self.gauges.unreadable.store(entries as u64, Ordering::Relaxed);
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> anyhow::Result<String> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

/// The label of a priority. Configurations may state any number; the labels stay few.
fn priority_label(priority: u32) -> KeyValue {
    let text = match priority {
        0 => "0",
        1 => "1",
        2 => "2",
        3 => "3",
        _ => "other",
    };
    KeyValue::new("priority", text)
}

fn register(meter: &Meter, (name, help, read): Gauge, gauges: Arc<Gauges>) {
    meter
        .u64_observable_gauge(name)
        .with_description(help)
        .with_callback(move |o| o.observe(read(&gauges).load(Ordering::Relaxed), &[]))
        .build();
}
