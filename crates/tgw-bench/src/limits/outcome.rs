use super::{
    Setup,
    setup::FAULT_START_MS,
    simulation::{FIRST_ARRIVAL_MS, RUN_END_MS},
};
use crate::vm_faults::{Fault, FaultKind};
use serde::Serialize;
use tgw_clock::Millis;
use tgw_tenant::Allowance;

/// Bytes of a packet's headers.
const PACKET_HEADER_BYTES: f64 = 28.0;
/// Time after a change of a limit until the lower one counts: its spread, and one window.
const LOWERED_GRACE_MS: Millis = Millis::new(6_000);

/// Figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Requests admitted in a window, as a fraction of the limit: the largest of all tenants and windows.
    pub worst_window: f64,
    /// Requests of eager tenants admitted in a window, as a fraction of rate x window + burst: the least of all
    /// these tenants and windows; 1 without eager tenants.
    pub least_window: f64,
    /// Admitted requests as a fraction of those within the limits, before any fault.
    pub admitted: f64,
    /// The same during and after the faults.
    pub admitted_beside: f64,
    /// Median and 99th percentile of the time from a question to an admission, in ms.
    pub latency_ms: [f64; 2],
    /// Packets a request.
    pub packets: f64,
    /// Bytes a request, headers included.
    pub bytes: f64,
}

/// What happens in a run, until its outcome is computed.
#[derive(Debug)]
pub(super) struct Record {
    /// For each tenant, when a request arrived, and when it was admitted.
    requests: Vec<Vec<(Millis, Option<Millis>)>>,
    latencies: Vec<Millis>,
    pub(super) packets: u64,
    pub(super) bytes: u64,
}

/// A request's place in the record.
#[derive(Copy, Clone, Debug)]
pub(super) struct Place {
    pub(super) tenant: usize,
    index: usize,
}

impl Record {
    pub(super) fn new(tenants: usize) -> Self {
        Self { requests: vec![Vec::new(); tenants], latencies: Vec::new(), packets: 0, bytes: 0 }
    }

    pub(super) fn arrived(&mut self, now: Millis, tenant: usize) -> Place {
        self.requests[tenant].push((now, None));
        Place { tenant, index: self.requests[tenant].len() - 1 }
    }

    pub(super) fn admitted(&mut self, now: Millis, asked_at: Millis, place: Place) {
        self.requests[place.tenant][place.index].1 = Some(now);
        self.latencies.push(now - asked_at);
    }

    pub(super) fn outcome(&self, setup: &Setup) -> Outcome {
        let all: usize = self.requests.iter().map(Vec::len).sum();
        let mut latencies = self.latencies.clone();
        latencies.sort_unstable();
        let at = |q: f64| (latencies.len().saturating_sub(1) as f64 * q) as usize;
        let percentile = |q: f64| latencies.get(at(q)).map_or(0.0, |l| l.as_f64());
        let per_request = |count: f64| count / all.max(1) as f64;
        let bytes = self.bytes as f64 + self.packets as f64 * PACKET_HEADER_BYTES;
        Outcome {
            worst_window: self.worst_window(setup),
            least_window: self.least_window(setup),
            admitted: self.admitted_share(setup, |at| at < FAULT_START_MS),
            admitted_beside: self.admitted_share(setup, |at| at >= FAULT_START_MS),
            latency_ms: [percentile(0.5), percentile(0.99)],
            packets: per_request(self.packets as f64),
            bytes: per_request(bytes),
        }
    }

    fn worst_window(&self, setup: &Setup) -> f64 {
        let window = setup.terms().window;
        let mut worst: f64 = 0.0;
        for (tenant, requests) in self.requests.iter().enumerate() {
            let mut admitted: Vec<Millis> = requests.iter().filter_map(|(_, at)| *at).collect();
            admitted.sort_unstable();
            let mut first = 0;
            for (last, at) in admitted.iter().enumerate() {
                while *at - admitted[first] >= window {
                    first += 1;
                }
                let limit = setup.terms().limit(allowance_for_windows(setup, tenant, *at));
                worst = worst.max((last - first + 1) as f64 / limit);
            }
        }
        worst
    }

    fn least_window(&self, setup: &Setup) -> f64 {
        let window = setup.terms().window;
        let mut least: f64 = 1.0;
        for (tenant, requests) in self.requests.iter().enumerate() {
            if !setup.is_eager(tenant) {
                continue;
            }
            let mut admitted: Vec<Millis> = requests.iter().filter_map(|(_, at)| *at).collect();
            admitted.sort_unstable();
            // The windows with the fewest admissions begin with the first arrivals or right after an admission.
            let begins = std::iter::once(FIRST_ARRIVAL_MS).chain(admitted.iter().copied());
            for begin in begins.filter(|begin| *begin + window <= RUN_END_MS) {
                let up_to = |at| admitted.partition_point(|a| *a <= at);
                let count = up_to(begin + window) - up_to(begin);
                let Allowance { rate_per_s, burst } = allowance_at(setup, tenant, begin + window);
                let allowed = rate_per_s * window.as_f64() / 1_000.0 + burst;
                least = least.min(count as f64 / allowed);
            }
        }
        least
    }

    /// Admitted requests as a fraction of those that a token bucket of each limit would admit.
    fn admitted_share(&self, setup: &Setup, within: impl Fn(Millis) -> bool) -> f64 {
        let (mut owed, mut served) = (0.0, 0.0);
        for (tenant, requests) in self.requests.iter().enumerate() {
            let requests: Vec<_> = requests.iter().filter(|(at, _)| within(*at)).collect();
            let owed_here = owed_requests(setup, tenant, requests.iter().map(|(at, _)| *at));
            let admitted = requests.iter().filter(|(_, admitted)| admitted.is_some()).count();
            owed += owed_here;
            served += owed_here.min(admitted as f64);
        }
        if owed > 0.0 { served / owed } else { 1.0 }
    }
}

fn is_lowered(setup: &Setup, tenant: usize, now: Millis, after: Millis) -> bool {
    let lowered = |fault: &&Fault| fault.kind == FaultKind::LimitLowered;
    tenant == 0 && setup.faults.iter().find(lowered).is_some_and(|f| now >= f.at + after)
}

/// The limit of a tenant that is in force for requests that arrive at `now`.
pub(super) fn allowance_at(setup: &Setup, tenant: usize, now: Millis) -> Allowance {
    lowered_if(setup.allowance(tenant), is_lowered(setup, tenant, now, Millis::ZERO))
}

/// The limit by which the windows that end at `now` are measured.
fn allowance_for_windows(setup: &Setup, tenant: usize, now: Millis) -> Allowance {
    lowered_if(setup.allowance(tenant), is_lowered(setup, tenant, now, LOWERED_GRACE_MS))
}

fn lowered_if(Allowance { rate_per_s, burst }: Allowance, lowered: bool) -> Allowance {
    let factor = if lowered { 0.5 } else { 1.0 };
    Allowance { rate_per_s: rate_per_s * factor, burst: burst * factor }
}

fn owed_requests(setup: &Setup, tenant: usize, arrivals: impl Iterator<Item = Millis>) -> f64 {
    let (mut tokens, mut before, mut owed) = (setup.allowance(tenant).burst, Millis::ZERO, 0.0);
    for at in arrivals {
        let Allowance { rate_per_s, burst } = allowance_at(setup, tenant, at);
        tokens = (tokens + (at - before).as_f64() / 1_000.0 * rate_per_s).min(burst.max(1.0));
        before = at;
        if tokens >= 1.0 {
            tokens -= 1.0;
            owed += 1.0;
        }
    }
    owed
}

/// Formats the outcomes as a table.
pub fn text(outcomes: &[(String, Setup, Outcome)]) -> String {
    let mut text = format!(
        "{:<36} {:>4} {:<18} {:>6} {:>6} {:>8} {:>6} {:>6} {:>6} {:>7} {:>6}\n",
        "beside",
        "VMs",
        "way",
        "worst",
        "least",
        "admitted",
        "beside",
        "p50 ms",
        "p99 ms",
        "packets",
        "bytes"
    );
    for (name, setup, o) in outcomes {
        let Setup { vms, way, .. } = setup;
        let way = way.to_string();
        text += &format!(
            "{name:<36} {vms:>4} {way:<18} {:>6.2} {:>6.2} {:>8.3} {:>6.3} {:>6.1} {:>6.1} {:>7.1} {:>6.0}\n",
            o.worst_window,
            o.least_window,
            o.admitted,
            o.admitted_beside,
            o.latency_ms[0],
            o.latency_ms[1],
            o.packets,
            o.bytes
        );
    }
    text
}
