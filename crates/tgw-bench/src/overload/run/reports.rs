use super::{Event, Sim};
use rand::{Rng, seq::IndexedRandom};
use std::rc::Rc;
use tgw_clock::Millis;

/// Delay of a packet in ms, and the share of them that is lost.
const DELAY_MS: std::ops::Range<f64> = 0.2..20.0;
const LOSS: f64 = 0.02;
/// Time between two reports of a VM, in ms.
const INTERVAL_MS: u64 = 300;

impl Sim {
    /// Schedules the times at which VMs report: as often as allowed, each VM at its own time.
    pub(super) fn schedule_reports(&mut self, end: Millis) {
        if self.policy.admission_share <= 0.0 {
            return;
        }
        let vms = self.vms.len() as u64;
        for vm in 0..self.vms.len() {
            let mut at = Millis::new(INTERVAL_MS * vm as u64 / vms);
            while at < end {
                self.schedule(at, Event::ReportDue(vm));
                at += Millis::new(INTERVAL_MS);
            }
        }
    }

    /// Sends a VM's evidence of overload to random other VMs of its region.
    pub(super) fn report_overload(&mut self, now: Millis, from: usize) {
        let count = self.policy.admission_share as usize;
        if count == 0 {
            return;
        }
        let Some(report) = self.vms[from].core.admission.report(now) else { return };
        let bytes = postcard::to_stdvec(&report).map_or(0, |bytes| bytes.len());
        let region = self.vms[from].region;
        let others = (0..self.vms.len()).filter(|v| *v != from && self.vms[*v].region == region);
        let others: Vec<usize> = others.collect();
        let chosen: Vec<usize> = others.choose_multiple(&mut self.rng, count).copied().collect();
        let report = Rc::new(report);
        for vm in chosen {
            self.tally.record_report(now, bytes);
            if self.rng.random_bool(LOSS) {
                continue;
            }
            let at = now + Millis::from_f64(self.rng.random_range(DELAY_MS));
            self.schedule(at, Event::ReportReceived { vm, from, report: report.clone() });
        }
    }
}
