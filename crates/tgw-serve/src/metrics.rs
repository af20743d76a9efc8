use anyhow::Context;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

/// Values that the workers publish as metrics. One worker writes each value; the operators' server
/// reads them all.
#[derive(Debug, Default)]
pub(crate) struct Gauges {
    pub(crate) ready: AtomicBool,
    /// The VM has announced that it leaves. It still accepts queries until the load balancer has noticed.
    pub(crate) leaving: AtomicBool,
    pub(crate) table_edition: AtomicU64,
    pub(crate) queries_running: AtomicU64,
    pub(crate) groups_owned: AtomicU64,
    pub(crate) first_requests: AtomicU64,
    pub(crate) extra_requests: AtomicU64,
    pub(crate) extra_sends: AtomicU64,
    pub(crate) late_outcomes: AtomicU64,
    pub(crate) unmatched_outcomes: AtomicU64,
    pub(crate) restarts: AtomicU64,
    pub(crate) members: AtomicU64,
    pub(crate) connections: AtomicU64,
    pub(crate) connections_opened: AtomicU64,
    pub(crate) platform_calls: AtomicU64,
    pub(crate) platform_errors: AtomicU64,
    pub(crate) core_ring_length: AtomicU64,
    pub(crate) core_ring_rejected: AtomicU64,
}

/// A gauge's name, help text and accessor.
type GaugeSpec = (&'static str, &'static str, fn(&Gauges) -> u64);

const GAUGE_SPECS: [GaugeSpec; 17] = [
    ("tgw_ready", "1 while new queries are taken", |g| u64::from(g.accepting())),
    ("tgw_table_edit", "edition of the table in force", |g| {
        g.table_edition.load(Ordering::Relaxed)
    }),
    ("tgw_queries_running", "queries that wait or run", |g| {
        g.queries_running.load(Ordering::Relaxed)
    }),
    ("tgw_groups_owned", "replica groups owned here", |g| g.groups_owned.load(Ordering::Relaxed)),
    ("tgw_leafs", "leaf requests, the first of each shard", |g| {
        g.first_requests.load(Ordering::Relaxed)
    }),
    ("tgw_extra_entry", "leaf requests beyond the first, by the entry", |g| {
        g.extra_requests.load(Ordering::Relaxed)
    }),
    ("tgw_extra_owner", "sendings beyond the first, by owners", |g| {
        g.extra_sends.load(Ordering::Relaxed)
    }),
    ("tgw_outcomes_late", "outcomes that came too late", |g| {
        g.late_outcomes.load(Ordering::Relaxed)
    }),
    ("tgw_outcomes_crossed", "outcomes of nothing asked", |g| {
        g.unmatched_outcomes.load(Ordering::Relaxed)
    }),
    ("tgw_restarts", "queries begun again", |g| g.restarts.load(Ordering::Relaxed)),
    ("tgw_members", "VMs that may own groups", |g| g.members.load(Ordering::Relaxed)),
    ("tgw_connections", "connections to upstreams", |g| g.connections.load(Ordering::Relaxed)),
    ("tgw_connections_opened", "connections made", |g| {
        g.connections_opened.load(Ordering::Relaxed)
    }),
    ("tgw_platform_calls", "calls of the platform", |g| g.platform_calls.load(Ordering::Relaxed)),
    ("tgw_platform_errors", "calls of the platform that failed", |g| {
        g.platform_errors.load(Ordering::Relaxed)
    }),
    ("tgw_ring_core", "values waiting for the core", |g| {
        g.core_ring_length.load(Ordering::Relaxed)
    }),
    ("tgw_ring_core_refused", "values that the full ring refused", |g| {
        g.core_ring_rejected.load(Ordering::Relaxed)
    }),
];

/// The metrics of one VM.
pub(crate) struct Metrics {
    registry: Registry,
    /// Owns the instruments; dropping it would stop them.
    _provider: SdkMeterProvider,
    pub(crate) latency: Histogram<f64>,
    pub(crate) coverage: Histogram<f64>,
    pub(crate) refused: Counter<u64>,
}

impl Gauges {
    /// Whether the readiness check tells the load balancer that this VM takes new queries.
    pub(crate) fn accepting(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.leaving.load(Ordering::Relaxed)
    }
}

impl Metrics {
    /// Registers the instruments; the gauges read their values from `gauges`.
    pub(crate) fn new(gauges: &Arc<Gauges>) -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context("cannot build the metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("tanagergw");
        for spec in GAUGE_SPECS {
            register_gauge(&meter, spec, gauges.clone());
        }
        Ok(Self {
            latency: meter.f64_histogram("tgw_query_took_ms").build(),
            coverage: meter.f64_histogram("tgw_query_coverage").build(),
            refused: meter.u64_counter("tgw_queries_refused").build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a refused query by service and reason.
    pub(crate) fn record_refusal(&self, service: &str, reason: &str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("reason", reason.to_owned()),
        ];
        self.refused.add(1, &labels);
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

fn register_gauge(meter: &Meter, (name, help, read): GaugeSpec, gauges: Arc<Gauges>) {
    meter
        .u64_observable_gauge(name)
        .with_description(help)
        .with_callback(move |observer| observer.observe(read(&gauges), &[]))
        .build();
}
