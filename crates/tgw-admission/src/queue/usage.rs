use super::account::{Account, Accounts, decay_over};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{collections::BTreeMap, rc::Rc};
use tgw_clock::Millis;

/// The number of tenants in a report at most: the heaviest ones, as only these are to be held back.
const MAX_TENANTS: usize = 16;

/// The number of VMs whose reports are kept at most.
const MAX_VMS: usize = 64;

/// The use below which a tenant is not reported, in usual queries: among tenants of one level others do not differ.
const LEAST_REPORTED: f64 = 1.0;

/// The largest use in a valid report: 2,500 usual queries a second of one tenant at one VM.
const MAX_USE: f64 = 10_000.0;

/// The age from which a report is ignored.
const MAX_AGE: Millis = Millis::new(2000);

/// How far a clock may be ahead of its own earlier reports: the jitter of packets.
const MAX_LEAD: Millis = Millis::new(500);

/// How long a VM is remembered after its last valid report. Reports of a VM that restarted, whose clock begins anew,
/// are ignored for that long.
const VM_KEPT: Millis = Millis::new(10_000);

/// The rate by which clocks of two VMs drift apart at most.
const MAX_DRIFT: f64 = 0.001;

/// The recent use of the heaviest tenants of one VM, for the other VMs of its region.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// When it was taken, by the clock of its VM.
    pub taken_at: Millis,
    /// Tenants with their use in usual queries; `None` for requests without a tenant.
    pub tenants: SmallVec<[(Option<Rc<str>>, f64); MAX_TENANTS]>,
}

impl Usage {
    pub(super) fn heaviest(
        taken_at: Millis,
        used: impl Iterator<Item = (Option<Rc<str>>, f64)>,
    ) -> Self {
        let mut used: Vec<_> = used.filter(|(_, used)| *used >= LEAST_REPORTED).collect();
        used.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        Self { taken_at, tenants: used.into_iter().take(MAX_TENANTS).collect() }
    }

    fn is_valid(&self) -> bool {
        let in_range = |used: &f64| (0.0..=MAX_USE).contains(used);
        self.tenants.len() <= MAX_TENANTS && self.tenants.iter().all(|(_, used)| in_range(used))
    }
}

/// The last report of one VM.
#[derive(Debug)]
struct Report {
    taken_at: Millis,
    /// What is added to the clock of the VM for the own time, with the least delay seen, in us.
    offset: i64,
    received_at: Millis,
    /// The use at the time of the report, which was then, by the own clock.
    used: SmallVec<[(Account, f64); MAX_TENANTS]>,
    used_at: Millis,
}

/// The reports of the other VMs.
#[derive(Debug, Default)]
pub(super) struct Reports {
    by_vm: BTreeMap<u64, Report>,
}

impl Reports {
    /// Takes the report of a VM in place of its earlier one; returns whether it is valid, new and recent.
    pub(super) fn apply(
        &mut self,
        now: Millis,
        from_vm: u64,
        usage: &Usage,
        accounts: &mut Accounts,
    ) -> bool {
        let known = self.by_vm.get(&from_vm);
        let has_room = known.is_some() || self.by_vm.len() < MAX_VMS;
        let Some((age, offset)) = delay(now, known, usage.taken_at) else { return false };
        if !has_room || !usage.is_valid() {
            return false;
        }
        let open = |(tenant, used): &(Option<Rc<str>>, f64)| {
            Some((accounts.open_if_room(tenant.as_ref())?, *used))
        };
        let report = Report {
            taken_at: usage.taken_at,
            offset,
            received_at: now,
            used: usage.tenants.iter().filter_map(open).collect(),
            used_at: now - age,
        };
        if let Some(replaced) = self.by_vm.insert(from_vm, report) {
            replaced.close(accounts);
        }
        self.update_accounts(now, accounts);
        true
    }

    /// Drops the reports of VMs that have sent none for [`VM_KEPT`].
    pub(super) fn forget(&mut self, now: Millis, accounts: &mut Accounts) {
        let before = self.by_vm.len();
        self.by_vm.retain(|_, report| {
            let kept = now - report.received_at <= VM_KEPT;
            if !kept {
                report.close(accounts);
            }
            kept
        });
        if self.by_vm.len() != before {
            self.update_accounts(now, accounts);
        }
    }

    fn update_accounts(&self, now: Millis, accounts: &mut Accounts) {
        let of_report = |report: &Report| {
            let decay = decay_over(now - report.used_at);
            report.used.clone().into_iter().map(move |(account, used)| (account, used * decay))
        };
        accounts.set_remote(self.by_vm.values().flat_map(of_report));
    }
}

impl Report {
    fn close(&self, accounts: &mut Accounts) {
        for (account, _) in &self.used {
            accounts.close(*account);
        }
    }
}

/// The age of a report and the least offset of its VM's clock; `None` if it is not newer than the last, too old or
/// from the future.
///
/// Clocks of VMs are not synchronized. The packet with the least delay gives the offset between two of them, and the
/// age of others is their delay beyond that.
fn delay(now: Millis, known: Option<&Report>, taken_at: Millis) -> Option<(Millis, i64)> {
    let offset = micros(now).saturating_sub(micros(taken_at));
    let Some(known) = known else { return Some((Millis::ZERO, offset)) };
    let drift = micros((now - known.received_at).mul_f64(MAX_DRIFT));
    let least = known.offset.saturating_add(drift);
    let age = offset.saturating_sub(least);
    let in_time = -micros(MAX_LEAD) <= age && age <= micros(MAX_AGE);
    let is_valid = taken_at > known.taken_at && in_time;
    is_valid.then(|| (Millis::from_micros(age.max(0) as u64), least.min(offset)))
}

fn micros(time: Millis) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
