//! Upstreams that leave or whose entries expire, and the updates that VMs send about them.

use crate::upstream;
use test_case::test_case;
use tgw_clock::Millis;
use tgw_forward::{Fleet, catalog::MISSING_ENTRY_RETENTION_MS, upstream::Entry};
use tgw_spread::Upstreams;

/// The list of upstreams of one VM, and the fleet that follows it.
#[derive(Default)]
struct Vm {
    list: Upstreams,
    fleet: Fleet,
}

impl Vm {
    /// A VM that has read these upstreams from the store, as of version 4.
    fn with_upstreams(ids: &[&str]) -> Self {
        let mut vm = Self::default();
        let entries = ids.iter().map(|id| (3, named(id))).collect();
        vm.list.apply_list(Millis::ZERO, 4, entries, &[], &mut vm.fleet);
        vm
    }

    fn update_from(&mut self, now: Millis, other: &Vm) {
        if let Some(update) = other.list.update_since(now, self.list.version()) {
            self.list.apply_update(now, update, false, &mut self.fleet);
        }
    }

    fn uses(&self, id: &str) -> bool {
        let upstream = self.fleet.key(id).and_then(|key| self.fleet.get(key));
        upstream.is_some_and(|u| !u.entry.draining)
    }
}

fn named(id: &str) -> Entry {
    Entry { id: id.into(), ..upstream(0) }
}

// The store was down, and a VM retains an upstream whose entry has expired. A VM that asks it must receive the removal
// and the time of retention: without them it would send to the upstream long after that has left.
#[test]
fn vm_with_a_retained_upstream_reports_its_removal_and_retention() {
    let mut vms = [Vm::with_upstreams(&["a", "lapsed"]), Vm::with_upstreams(&["a", "lapsed"])];
    let [retaining, asking] = &mut vms;
    retaining.list.record_store_failure(Millis::new(9_900));
    let back = Millis::new(10_000);
    retaining.list.apply_list(back, 13, vec![(12, named("a"))], &[], &mut retaining.fleet);
    assert!(retaining.uses("lapsed") && retaining.list.retention("lapsed").is_some());
    assert_eq!((retaining.list.version(), retaining.list.get("lapsed")), (13, None));
    let asked = back + Millis::new(500);
    asking.update_from(asked, retaining);
    assert_eq!((asking.list.version(), asking.list.get("lapsed")), (13, None));
    assert!(asking.uses("lapsed"), "retained, as its process may still run");
    for vm in &mut vms {
        vm.list.drop_expired(back + MISSING_ENTRY_RETENTION_MS, &mut vm.fleet);
        assert!(!vm.uses("lapsed") && vm.uses("a"));
    }
}

// An upstream starts draining while a VM retains another one whose entry has expired. A VM that asks must receive that
// change, or it would count as up to date and go on sending to the upstream that leaves.
#[test]
fn vm_with_a_retained_upstream_still_reports_changes() {
    let (mut retaining, mut asking) =
        (Vm::with_upstreams(&["leaving", "gone"]), Vm::with_upstreams(&["leaving", "gone"]));
    retaining.list.record_store_failure(Millis::new(9_900));
    let back = Millis::new(10_000);
    retaining.list.apply_list(back, 11, vec![(3, named("leaving"))], &[], &mut retaining.fleet);
    retaining.list.apply_write(
        back,
        12,
        Entry { draining: true, ..named("leaving") },
        &mut retaining.fleet,
    );
    asking.update_from(back, &retaining);
    assert!(!asking.uses("leaving") && asking.uses("gone"));
    assert_eq!(asking.list.version(), 12);
}

// A VM that starts asks one that retains upstreams whose entries have expired. Without them it would have none to send
// to.
#[test]
fn starting_vm_adopts_retained_upstreams() {
    let (mut retaining, mut starting) = (Vm::with_upstreams(&["a", "lapsed"]), Vm::default());
    retaining.list.record_store_failure(Millis::new(9_900));
    let back = Millis::new(10_000);
    retaining.list.apply_list(back, 13, vec![(3, named("a"))], &[], &mut retaining.fleet);
    starting.update_from(back, &retaining);
    assert!(starting.uses("lapsed") && starting.list.get("lapsed").is_none());
    starting.list.drop_expired(back + MISSING_ENTRY_RETENTION_MS, &mut starting.fleet);
    assert!(!starting.uses("lapsed"));
}

// A VM that was paused retains upstreams that have left in the meantime. It does not know the revisions in between, so
// it sends its whole state to a VM that kept running. Upstreams removed there must not come back.
#[test]
fn removed_upstream_is_not_restored_by_a_vm_that_retains_it() {
    let (mut retaining, mut ahead) =
        (Vm::with_upstreams(&["a", "left"]), Vm::with_upstreams(&["a", "left"]));
    ahead.list.apply_removal(20, &"left".into(), &mut ahead.fleet);
    retaining.list.record_store_failure(Millis::new(9_900));
    let back = Millis::new(10_000);
    retaining.list.apply_list(back, 24, vec![(24, named("a"))], &[], &mut retaining.fleet);
    assert!(retaining.uses("left"));
    ahead.update_from(back, &retaining);
    assert_eq!(ahead.list.version(), 24);
    assert!(!ahead.uses("left"));
}

// The store is read slowly, and a peer reports in the meantime that an upstream has left. The list, as of an earlier
// revision, still contains it, and so does a late change from the watch. Neither may restore it.
#[test]
fn older_store_report_does_not_restore_an_upstream() {
    let (mut reading, mut ahead) =
        (Vm::with_upstreams(&["a", "left"]), Vm::with_upstreams(&["a", "left"]));
    ahead.list.apply_removal(20, &"left".into(), &mut ahead.fleet);
    let now = Millis::new(5_000);
    reading.update_from(now, &ahead);
    assert!(!reading.uses("left"));
    let listed = vec![(3, named("a")), (3, named("left"))];
    reading.list.apply_list(now, 15, listed, &[], &mut reading.fleet);
    reading.list.apply_write(now, 16, named("left"), &mut reading.fleet);
    assert!(!reading.uses("left") && reading.uses("a"));
}

// An upstream's entry is removed and written again before the VM's next watch, which reports both.
// The write must hold.
#[test]
fn entry_rewritten_right_after_its_removal_is_used() {
    let mut vm = Vm::with_upstreams(&["a"]);
    vm.list.apply_removal(21, &"a".into(), &mut vm.fleet);
    vm.list.apply_write(Millis::new(5_000), 22, named("a"), &mut vm.fleet);
    assert!(vm.uses("a"));
}

fn heartbeat(number: u64, draining: bool) -> Entry {
    Entry { heartbeats: number, draining, ..named("a") }
}

// A heartbeat takes effect seconds after it was sent, and after the one that says that its upstream drains. The upstream
// must not get requests again.
#[test_case(7, false; "delayed by one heartbeat")]
#[test_case(9, true; "a later heartbeat says that it is ready")]
#[test_case(0, true; "a process that started anew without saying when")]
fn a_late_heartbeat_does_not_bring_a_draining_upstream_back(number: u64, used: bool) {
    let (mut watching, mut listing) = (Vm::with_upstreams(&["a"]), Vm::with_upstreams(&["a"]));
    let now = Millis::new(1_000);
    let draining = if number == 0 { 100 } else { 8 };
    for vm in [&mut watching, &mut listing] {
        vm.list.apply_write(now, 12, heartbeat(draining, true), &mut vm.fleet);
    }
    let late = heartbeat(number, false);
    watching.list.apply_write(now, 14, late.clone(), &mut watching.fleet);
    listing.list.apply_list(now, 14, vec![(14, late)], &[], &mut listing.fleet);
    assert_eq!([watching.uses("a"), listing.uses("a")], [used; 2]);
}
