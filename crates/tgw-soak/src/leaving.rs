//! The operators' bound on leavings: no request reaches an upstream long after the store has acknowledged
//! that it leaves, from a VM that was in contact, by a store that was stable.

use crate::{check::Observed, environment::Departure, fleet::DOMAINS};
use std::{fmt, time::Duration};
use tgw_site_standin::leaf::Run;
use tokio::time::Instant;

/// The bound, that of the strictest deployment.
const DRAIN_BOUND: Duration = Duration::from_millis(3_000);
/// Time without a disturbance after which a VM is in contact, and the store stable.
const CONTACT_TIME: Duration = Duration::from_millis(5_000);

/// When the last request reached upstreams that left.
#[derive(Debug, Default)]
pub(crate) struct Leavings {
    /// Time from each leaving that the bound applies to until the last request; sorted.
    last_requests: Vec<Duration>,
    /// Leavings of upstreams that got no request afterwards.
    unused: usize,
}

impl Leavings {
    fn quantile_ms(&self, share: f64) -> u128 {
        let last = self.last_requests.len().saturating_sub(1);
        let index = (last as f64 * share).round() as usize;
        self.last_requests.get(index).map_or(0, Duration::as_millis)
    }
}

impl fmt::Display for Leavings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.last_requests.len() + self.unused;
        let [p50, p99, max] = [0.5, 0.99, 1.0].map(|share| self.quantile_ms(share));
        write!(f, "{count} left, last request {p50}/{p99}/{max} ms after")
    }
}

/// Checks the bound for each upstream that left while the store was stable.
pub(crate) fn check(observed: &Observed<'_>, broken: &mut Vec<String>) -> Leavings {
    let mut leavings = Leavings::default();
    for departure in &observed.environment.departures {
        if !is_stable(observed, departure.at) {
            continue;
        }
        let runs = observed.environment.runs.get(&departure.id).into_iter().flatten();
        let counted = runs.filter(|run| run.arrived_at > departure.at);
        let counted: Vec<&Run> =
            counted.filter(|run| is_held_to(observed, departure, run)).collect();
        let after = |run: &Run| run.arrived_at - departure.at;
        match counted.iter().map(|run| after(run)).max() {
            Some(last) => leavings.last_requests.push(last),
            None => leavings.unused += 1,
        }
        for run in counted.iter().filter(|run| after(run) > DRAIN_BOUND) {
            let (id, after) = (&departure.id, after(run));
            broken.push(format!("{}: reached {id} {after:?} after it left", run.request_id));
        }
    }
    leavings.last_requests.sort();
    // In a run with a burst no upstream leaves.
    if leavings.last_requests.is_empty() && observed.burst.is_none() {
        broken.push("no request after a leaving shows that the bound was kept".into());
    }
    leavings
}

/// Whether the bound applies to a request: the store was stable, the VMs that may have sent it were in
/// contact, and the link to the upstream was not disturbed.
fn is_held_to(observed: &Observed<'_>, departure: &Departure, run: &Run) -> bool {
    let at = run.arrived_at;
    let link_faults = &observed.environment.link_faults;
    let link_is_sound =
        !link_faults.iter().any(|(id, fault)| *id == departure.id && is_recent(*fault, at));
    let in_contact = |vm: usize| {
        let times = observed.out_of_contact.get(&vm).into_iter().flatten();
        !times.clone().any(|time| is_recent(*time, at))
    };
    is_stable(observed, at)
        && link_is_sound
        && possible_senders(observed, departure, run).into_iter().all(in_contact)
}

/// The VMs that may have sent a request to an upstream: the one that received it, and unless that one is in
/// the upstream's failure domain, those that are.
fn possible_senders(observed: &Observed<'_>, departure: &Departure, run: &Run) -> Vec<usize> {
    let received = observed.exchanges.iter().find(|e| e.request_id == run.request_id);
    let Some(entry) = received.map(|exchange| exchange.vm) else { return Vec::new() };
    let domain_of = |vm: usize| DOMAINS[vm % DOMAINS.len()].0;
    if domain_of(entry) == departure.domain {
        return vec![entry];
    }
    let vms = observed.exchanges.iter().map(|e| e.vm).max().map_or(0, |last| last + 1);
    (0..vms).filter(|vm| *vm == entry || domain_of(*vm) == departure.domain).collect()
}

fn is_stable(observed: &Observed<'_>, at: Instant) -> bool {
    let disturbs = |(down, up): &(Instant, Instant)| *down <= at && *up + CONTACT_TIME > at;
    !observed.environment.outages.iter().any(disturbs)
}

/// Whether a disturbance was less than the contact time before `at`.
fn is_recent(disturbance: Instant, at: Instant) -> bool {
    disturbance <= at && disturbance + CONTACT_TIME > at
}
