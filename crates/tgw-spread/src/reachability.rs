//! Whether the store answers a VM, what the VM says of that to others, and what another VM may conclude from it. No I/O.
//!
//! That the store does not answer one VM is no evidence that it is down: the VM may be cut off from it. A report of it holds
//! only as long as calls that fail renew it, so a VM goes on to probe the store until it is answered, also where it no longer
//! reads it for others.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};
use tgw_clock::Millis;

/// Time in ms between two probes of the store by a VM that follows it. Without probes, a VM that the store stops
/// answering would notice only after a watch and several lists, and no VM that learns from it would receive changes
/// until then.
pub const PROBE_INTERVAL_MS: Millis = Millis::new(800);
/// Timeout in ms of a probe.
pub const PROBE_TIMEOUT_MS: Millis = Millis::new(700);
/// First time in ms between two probes by a VM that reported that it cannot reach the store and no longer reads it; doubles
/// up to [`MAX_RECHECK_INTERVAL_MS`].
const MIN_RECHECK_INTERVAL_MS: Millis = Millis::new(1_000);
/// Longest such time. During an outage the number of such VMs grows with its length.
pub const MAX_RECHECK_INTERVAL_MS: Millis = Millis::new(8_000);
/// VMs that must report it at the same time for the store to count as having been down: the second one had taken over from
/// the first.
pub const OUTAGE_REPORTS: usize = 2;
/// Time in ms for which a VM that took its report back is still asked about it: after an outage VMs are answered again one
/// after the other.
const FORMER_REPORT_MS: Millis = Millis::new(3_000);
/// Time in ms within which a VM answers whether it reaches the store again; one that is cut off does not.
pub const REPORT_TIMEOUT_MS: Millis = Millis::new(500);

/// A kind of call to the store.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum ReadMode {
    /// Reading the configuration.
    Configuration,
    /// Reading the list of upstreams.
    Upstreams,
    /// Reading the list of evacuations.
    Evacuations,
    /// Reading the addresses of VMs.
    Vms,
    /// Probing.
    Probe,
}

/// How a probe ended.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The store answered.
    Answered,
    /// The store refused it, or the connection broke.
    Refused,
    /// No answer within the timeout.
    TimedOut,
}

/// A period in which the store answered none of a VM's calls.
#[derive(Copy, Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silence {
    /// When the first call began that failed.
    pub from: Millis,
    /// When a call was answered again.
    pub until: Millis,
}

impl Silence {
    /// How long ago it began and ended; this is what VMs tell one another, as their clocks differ.
    pub fn ago(self, now: Millis) -> Self {
        Self { from: now - self.from, until: now - self.until }
    }
}

/// Whether the store was down until just now: `reports` holds what each VM says that had reported that it cannot reach the
/// store, as times ago, or `None` if the store still does not answer it; `own` is the silence that this VM has met itself. A VM
/// that is cut off from the store has no answer; one that was cut off at another time than the others says so.
pub fn was_down(own: Option<Silence>, reports: &[Option<Silence>]) -> bool {
    let own = own.filter(|silence| silence.until <= FORMER_REPORT_MS);
    let known: Vec<Silence> = reports.iter().copied().flatten().chain(own).collect();
    let last_begin = known.iter().map(|silence| silence.from).min();
    let first_end = known.iter().map(|silence| silence.until).max();
    let overlap = last_begin.zip(first_end).is_some_and(|(begin, end)| end <= begin);
    reports.iter().all(Option::is_some) && known.len() >= OUTAGE_REPORTS && overlap
}

/// The other VMs of the region that report that they cannot reach the store, or did so until just now.
#[derive(Clone, Debug, Default)]
pub struct Reporters {
    current: Vec<SocketAddr>,
    /// Those that took their report back, and when.
    former: BTreeMap<SocketAddr, Millis>,
}

impl Reporters {
    /// Takes over the VMs that report it now.
    pub fn update(&mut self, now: Millis, current: Vec<SocketAddr>) {
        let ended = self.current.iter().filter(|addr| !current.contains(addr));
        self.former.extend(ended.map(|addr| (*addr, now)));
        self.former.retain(|addr, at| now - *at <= FORMER_REPORT_MS && !current.contains(addr));
        self.current = current;
    }

    /// The VMs to ask whether the store was down.
    pub fn to_ask(&self, now: Millis) -> Vec<SocketAddr> {
        let former = self.former.iter().filter(|(_, at)| now - **at <= FORMER_REPORT_MS);
        self.current.iter().copied().chain(former.map(|(addr, _)| *addr)).collect()
    }
}

/// Whether this VM can reach the store.
///
/// Failures are recorded per kind of call. If one kind overwrote another's result, a VM that the store rejects would
/// alternate between unreachable and reachable, and no other VM would take over from it.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    unreachable: [bool; 5],
    last_probe_refused: bool,
    /// The last period without an answer that is over.
    silence: Option<Silence>,
    /// Since when the store has not answered.
    silent_since: Option<Millis>,
    recheck_interval: Millis,
}

impl Reachability {
    /// Whether the store counts as unreachable for any kind of call.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable.contains(&true)
    }

    /// The last period in which the store did not answer, if it answers again.
    pub fn silence(&self) -> Option<Silence> {
        self.silence
    }

    /// Records that a list that was requested at `called_at` could not be read, and whether the store now counts as
    /// unreachable for this kind of call. Returns whether that changes the report to other VMs.
    pub fn record_list_failure(
        &mut self,
        called_at: Millis,
        mode: ReadMode,
        unreachable: bool,
    ) -> bool {
        self.silent_since.get_or_insert(called_at);
        self.record(mode, unreachable)
    }

    fn record(&mut self, mode: ReadMode, unreachable: bool) -> bool {
        let before = self.is_unreachable();
        self.unreachable[mode as usize] = unreachable;
        self.is_unreachable() != before
    }

    fn record_call(&mut self, now: Millis, result: ProbeResult) {
        match result {
            ProbeResult::Answered => {
                let ended = self.silent_since.take().map(|from| Silence { from, until: now });
                self.silence = ended.or(self.silence);
            }
            ProbeResult::Refused => {
                self.silent_since.get_or_insert(now);
            }
            ProbeResult::TimedOut => {
                self.silent_since.get_or_insert(now - PROBE_TIMEOUT_MS);
            }
        }
    }

    /// Time until a VM that does not read the store probes it next; `None` if it has nothing to renew.
    pub fn next_recheck(&mut self) -> Option<Millis> {
        if !self.is_unreachable() {
            self.recheck_interval = Millis::ZERO;
            return None;
        }
        let next = self.recheck_interval + self.recheck_interval;
        self.recheck_interval = next.max(MIN_RECHECK_INTERVAL_MS).min(MAX_RECHECK_INTERVAL_MS);
        Some(self.recheck_interval)
    }

    /// Records a probe by a VM that does not read the store: an answer takes back whatever it reported. Returns whether
    /// that changes the report to other VMs.
    pub fn record_recheck(&mut self, now: Millis, result: ProbeResult) -> bool {
        self.record_call(now, result);
        if result != ProbeResult::Answered {
            return false;
        }
        let was_unreachable = self.is_unreachable();
        self.unreachable = Default::default();
        was_unreachable
    }

    /// Records a probe. One refusal may be a broken connection, two in a row are not; a timeout counts at once, as an
    /// answer takes only milliseconds. Returns whether that changes the report to other VMs.
    pub fn record_probe(&mut self, now: Millis, result: ProbeResult) -> bool {
        self.record_call(now, result);
        let refused = result == ProbeResult::Refused;
        let again = std::mem::replace(&mut self.last_probe_refused, refused) && refused;
        match result {
            ProbeResult::Refused if !again => false,
            result => self.record(ReadMode::Probe, result != ProbeResult::Answered),
        }
    }

    /// Records that a list was read, so that the store is reachable. Returns whether that changes the report to other
    /// VMs.
    pub fn record_list(&mut self, now: Millis, mode: ReadMode) -> bool {
        let before = self.is_unreachable();
        self.record(mode, false);
        self.record_probe(now, ProbeResult::Answered);
        self.is_unreachable() != before
    }
}
