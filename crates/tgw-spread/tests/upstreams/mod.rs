//! What a VM makes of upstreams that leave or whose entries lapse, and what it tells others.

use crate::upstream;
use tgw_clock::Millis;
use tgw_forward::{Fleet, catalog::GRACE, upstream::Entry};
use tgw_spread::{
    Upstreams,
    follow::{Probed, Sight, Way},
};

/// What one VM knows of upstreams, and the fleet that follows it.
#[derive(Default)]
struct Vm {
    list: Upstreams,
    fleet: Fleet,
}

impl Vm {
    /// Read from the store at the start, as of version 4.
    fn knowing(ids: &[&str]) -> Self {
        let mut vm = Self::default();
        let entries = ids.iter().map(|id| (3, named(id))).collect();
        vm.list.listed(Millis::ZERO, 4, entries, &[], &mut vm.fleet);
        vm
    }

    fn hear(&mut self, now: Millis, other: &Vm) {
        if let Some(news) = other.list.since(now, self.list.version()) {
            self.list.told(now, news, false, &mut self.fleet);
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

// The store was away, and a VM keeps an upstream whose entry lapsed. Another VM asks it. It must hear of the removal and
// of the time for which the upstream is kept: one that heard of neither sent there long after the upstream had left.
#[test]
fn who_keeps_a_lapsed_upstream_claims_and_tells_what_the_store_says() {
    let mut vms = [Vm::knowing(&["a", "lapsed"]), Vm::knowing(&["a", "lapsed"])];
    let [keeping, asking] = &mut vms;
    keeping.list.lost(Millis::new(9_900));
    let back = Millis::new(10_000);
    keeping.list.listed(back, 13, vec![(12, named("a"))], &[], &mut keeping.fleet);
    assert!(keeping.uses("lapsed") && keeping.list.doubted("lapsed").is_some());
    assert_eq!((keeping.list.version(), keeping.list.get("lapsed")), (13, None));
    let asked = back + Millis::new(500);
    asking.hear(asked, keeping);
    assert_eq!((asking.list.version(), asking.list.get("lapsed")), (13, None));
    assert!(asking.uses("lapsed"), "it lives, as far as anyone knows");
    for vm in &mut vms {
        vm.list.tick(back + GRACE, &mut vm.fleet);
        assert!(!vm.uses("lapsed") && vm.uses("a"));
    }
}

// Upstreams say that they leave while a VM keeps another one whose entry lapsed. Whoever asks it must get that change,
// or believes to have it and goes on sending to the upstreams that leave.
#[test]
fn who_keeps_a_lapsed_upstream_still_tells_what_changes() {
    let (mut keeping, mut asking) =
        (Vm::knowing(&["leaving", "gone"]), Vm::knowing(&["leaving", "gone"]));
    keeping.list.lost(Millis::new(9_900));
    let back = Millis::new(10_000);
    keeping.list.listed(back, 11, vec![(3, named("leaving"))], &[], &mut keeping.fleet);
    keeping.list.written(
        back,
        12,
        Entry { draining: true, ..named("leaving") },
        &mut keeping.fleet,
    );
    asking.hear(back, &keeping);
    assert!(!asking.uses("leaving") && asking.uses("gone"));
    assert_eq!(asking.list.version(), 12);
}

// A VM that starts asks one that keeps upstreams whose entries lapsed. Without them it would have none to send to.
#[test]
fn who_starts_is_told_of_lapsed_upstreams() {
    let (mut keeping, mut starting) = (Vm::knowing(&["a", "lapsed"]), Vm::default());
    keeping.list.lost(Millis::new(9_900));
    let back = Millis::new(10_000);
    keeping.list.listed(back, 13, vec![(3, named("a"))], &[], &mut keeping.fleet);
    starting.hear(back, &keeping);
    assert!(starting.uses("lapsed") && starting.list.get("lapsed").is_none());
    starting.list.tick(back + GRACE, &mut starting.fleet);
    assert!(!starting.uses("lapsed"));
}

// A VM that stood still keeps upstreams that left meanwhile, and tells one that has gone on, and knows nothing of the
// revisions between, all that it holds. The upstreams that this one has given up must not come back.
#[test]
fn what_a_vm_gave_up_is_not_brought_back_by_one_that_keeps_it() {
    let (mut keeping, mut ahead) = (Vm::knowing(&["a", "left"]), Vm::knowing(&["a", "left"]));
    ahead.list.removed(20, 20, &"left".into(), &mut ahead.fleet);
    keeping.list.lost(Millis::new(9_900));
    let back = Millis::new(10_000);
    keeping.list.listed(back, 24, vec![(24, named("a"))], &[], &mut keeping.fleet);
    assert!(keeping.uses("left"));
    ahead.hear(back, &keeping);
    assert_eq!(ahead.list.version(), 24);
    assert!(!ahead.uses("left"));
}

// The store is read slowly, and a peer tells meanwhile that an upstream has left. The list, as of an earlier revision,
// still names it; so does a change that the watch brings late. Neither may bring it back.
#[test]
fn what_the_store_said_earlier_does_not_bring_an_upstream_back() {
    let (mut reading, mut ahead) = (Vm::knowing(&["a", "left"]), Vm::knowing(&["a", "left"]));
    ahead.list.removed(20, 20, &"left".into(), &mut ahead.fleet);
    let now = Millis::new(5_000);
    reading.hear(now, &ahead);
    assert!(!reading.uses("left"));
    let listed = vec![(3, named("a")), (3, named("left"))];
    reading.list.listed(now, 15, listed, &[], &mut reading.fleet);
    reading.list.written(now, 16, named("left"), &mut reading.fleet);
    assert!(!reading.uses("left") && reading.uses("a"));
}

// An upstream's entry is removed and written again before the VM watches on. The removal is told as of the later
// revision; taken for as late, it would undo the writing.
#[test]
fn an_entry_written_again_right_after_its_removal_is_used() {
    let mut vm = Vm::knowing(&["a"]);
    vm.list.removed(23, 21, &"a".into(), &mut vm.fleet);
    vm.list.written(Millis::new(5_000), 22, named("a"), &mut vm.fleet);
    assert!(vm.uses("a"));
}

// The store turns a VM away. Its two watches fail one after the other, and each said of the VM what itself had seen: it
// was blind, not blind, and blind again, and the VM that took over gave the watch back.
#[test]
fn one_way_of_asking_does_not_overwrite_another() {
    let mut sight = Sight::default();
    assert!(sight.note(Way::Configuration, true));
    assert!(!sight.note(Way::Upstreams, false));
    assert!(sight.is_blind());
    assert!(sight.note(Way::Configuration, false));
    assert!(!sight.is_blind());
}

// A connection breaks under a probe: that is no store that turns this VM away. Twice in a row it is, and silence is.
#[test]
fn one_refused_probe_is_an_accident() {
    let mut sight = Sight::default();
    assert!(!sight.probed(Probed::Refused));
    assert!(!sight.probed(Probed::Answered));
    assert!(!sight.probed(Probed::Refused));
    assert!(sight.probed(Probed::Refused));
    assert!(sight.probed(Probed::Answered));
    assert!(sight.probed(Probed::Silent));
}
