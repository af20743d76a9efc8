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

/// What duties publish for the metrics; written by one duty each, read by the operators' duty.
#[derive(Debug, Default)]
pub(crate) struct Gauges {
    pub(crate) ready: AtomicBool,
    /// The VM has said that it leaves; it takes queries while the balancer lags.
    pub(crate) leaving: AtomicBool,
    pub(crate) edit: AtomicU64,
    pub(crate) running: AtomicU64,
    pub(crate) owned: AtomicU64,
    pub(crate) leafs: AtomicU64,
    pub(crate) extra_entry: AtomicU64,
    pub(crate) extra_owner: AtomicU64,
    pub(crate) late: AtomicU64,
    pub(crate) crossed: AtomicU64,
    pub(crate) restarts: AtomicU64,
    pub(crate) members: AtomicU64,
    pub(crate) connections: AtomicU64,
    pub(crate) connections_opened: AtomicU64,
    pub(crate) platform_calls: AtomicU64,
    pub(crate) platform_errors: AtomicU64,
    pub(crate) ring_core: AtomicU64,
    pub(crate) ring_core_refused: AtomicU64,
}

/// A gauge's name, help and how it is read.
type Reading = (&'static str, &'static str, fn(&Gauges) -> u64);

const READINGS: [Reading; 17] = [
    ("tgw_ready", "1 while new queries are taken", |g| u64::from(g.accepting())),
    ("tgw_table_edit", "edition of the table in force", |g| g.edit.load(Ordering::Relaxed)),
    ("tgw_queries_running", "queries that wait or run", |g| g.running.load(Ordering::Relaxed)),
    ("tgw_groups_owned", "replica groups owned here", |g| g.owned.load(Ordering::Relaxed)),
    ("tgw_leafs", "leaf requests, the first of each shard", |g| g.leafs.load(Ordering::Relaxed)),
    ("tgw_extra_entry", "leaf requests beyond the first, by the entry", |g| {
        g.extra_entry.load(Ordering::Relaxed)
    }),
    ("tgw_extra_owner", "sendings beyond the first, by owners", |g| {
        g.extra_owner.load(Ordering::Relaxed)
    }),
    ("tgw_outcomes_late", "outcomes that came too late", |g| g.late.load(Ordering::Relaxed)),
    ("tgw_outcomes_crossed", "outcomes of nothing asked", |g| g.crossed.load(Ordering::Relaxed)),
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
    ("tgw_ring_core", "values waiting for the core", |g| g.ring_core.load(Ordering::Relaxed)),
    ("tgw_ring_core_refused", "values that the full ring refused", |g| {
        g.ring_core_refused.load(Ordering::Relaxed)
    }),
];

/// The metrics of one VM.
pub(crate) struct Metrics {
    registry: Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    pub(crate) took: Histogram<f64>,
    pub(crate) coverage: Histogram<f64>,
    pub(crate) refused: Counter<u64>,
}

impl Gauges {
    /// Whether the balancer may send new queries.
    pub(crate) fn accepting(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.leaving.load(Ordering::Relaxed)
    }
}

impl Metrics {
    /// Instruments over `gauges`.
    pub(crate) fn open(gauges: &Arc<Gauges>) -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context("metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("tanagergw");
        for reading in READINGS {
            observe(&meter, reading, gauges.clone());
        }
        Ok(Self {
            took: meter.f64_histogram("tgw_query_took_ms").build(),
            coverage: meter.f64_histogram("tgw_query_coverage").build(),
            refused: meter.u64_counter("tgw_queries_refused").build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a refusal by its reason.
    pub(crate) fn refuse(&self, service: &str, reason: &str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("reason", reason.to_owned()),
        ];
        self.refused.add(1, &labels);
    }

    /// The Prometheus text.
    pub(crate) fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

fn observe(meter: &Meter, (name, help, read): Reading, gauges: Arc<Gauges>) {
    meter
        .u64_observable_gauge(name)
        .with_description(help)
        .with_callback(move |observer| observer.observe(read(&gauges), &[]))
        .build();
}
