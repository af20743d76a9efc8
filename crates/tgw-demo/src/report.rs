//! Result of a demo, as printed.

use crate::check::Violation;
use serde::Serialize;
use std::{collections::BTreeMap, fmt};

/// Result of a demo.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// User whose services and table were run.
    pub user: String,
    /// Number of VMs.
    pub vms: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Queries sent.
    pub queries: u64,
    /// Answers that cover all shards.
    pub answered: u64,
    /// Partial answers with at least the least coverage.
    pub partial: u64,
    /// Answers below the least coverage of the service's table row.
    pub short: u64,
    /// Queries refused as not run.
    pub refused: u64,
    /// Queries without a valid response.
    pub failed: u64,
    /// Order requests answered as run.
    pub orders_ran: u64,
    /// Order requests answered as not run.
    pub orders_not_run: u64,
    /// Order requests with an unknown outcome or without a response.
    pub orders_unknown: u64,
    /// Distinct orders that upstreams ran, summed over the upstreams.
    pub orders_at_upstreams: u64,
    /// Writes to the platform.
    pub platform_writes: u64,
    /// Median latency measured by callers.
    pub p50_ms: f64,
    /// 99th percentile of the latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency.
    pub p999_ms: f64,
    /// Ratio of covered shards to all shards, over all answered queries.
    pub coverage: f64,
    /// Searches and orders started at upstreams per requested shard, minus one.
    pub extra_load: f64,
    /// Connections that upstreams accepted.
    pub connections: u64,
    /// Connections that upstreams refused above their limit.
    pub connections_refused: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
    /// CPU time of the VMs' threads per leaf request, in µs.
    pub tier_cpu_us_per_leaf: f64,
    /// The same by thread name.
    pub duty_cpu_us_per_leaf: BTreeMap<String, f64>,
    /// Start and end of each injected fault.
    pub faults: Vec<String>,
    /// Observed violations of guarantees.
    pub broken_promises: Vec<Violation>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {} VMs, {} upstreams", self.user, self.vms, self.upstreams)?;
        writeln!(
            f,
            "queries     {} sent: {} whole, {} partial, {} short, {} refused, {} failed",
            self.queries, self.answered, self.partial, self.short, self.refused, self.failed
        )?;
        writeln!(
            f,
            "orders      {} ran, {} not run, {} unknown; upstreams ran {}; {} platform writes",
            self.orders_ran,
            self.orders_not_run,
            self.orders_unknown,
            self.orders_at_upstreams,
            self.platform_writes
        )?;
        writeln!(
            f,
            "latency     p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
            self.p50_ms, self.p99_ms, self.p999_ms
        )?;
        writeln!(f, "coverage    {:.3} %", self.coverage * 100.0)?;
        writeln!(f, "extra load  {:.2} %", self.extra_load * 100.0)?;
        writeln!(
            f,
            "connections {} made, {} refused by upstreams",
            self.connections, self.connections_refused
        )?;
        writeln!(f, "platform    {} calls", self.platform_calls)?;
        let duties: Vec<String> =
            self.duty_cpu_us_per_leaf.iter().map(|(d, us)| format!("{d} {us:.1}")).collect();
        writeln!(
            f,
            "processor   {:.1} µs a leaf request: {}",
            self.tier_cpu_us_per_leaf,
            duties.join(", ")
        )?;
        for fault in &self.faults {
            writeln!(f, "fault       {fault}")?;
        }
        if self.broken_promises.is_empty() {
            return writeln!(f, "promises    none seen broken");
        }
        writeln!(f, "promises    {} BROKEN", self.broken_promises.len())?;
        for broken in self.broken_promises.iter().take(20) {
            writeln!(f, "  {} (query {}): {}", broken.promise, broken.query, broken.seen)?;
        }
        Ok(())
    }
}
