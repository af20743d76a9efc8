//! Limits that several VMs keep together.

use proptest::prelude::*;
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};
use test_case::test_case;
use tgw_clock::Millis;
use tgw_tenant::{
    Allowance,
    limit::{
        Action, Asker, Case, Decision, Holder, Message, Ranking, Standing, Terms,
        ranking::Candidate,
    },
};

const REGIONS: usize = 3;
const LIMIT: Allowance = Allowance { rate_per_s: 10.0, burst: 10.0 };
const HERE: Asker = Asker { vm: None, number: 0 };

fn terms() -> Terms {
    Terms { window: Millis::new(5_000), excess: 0.1, slack: 20.0, regions: REGIONS }
}

fn addr(region: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, region as u8], 1))
}

/// One VM a region, with the messages between them.
struct Fleet {
    now: Millis,
    allowance: Allowance,
    tenant: Rc<str>,
    holders: Vec<Holder>,
    since: Vec<Millis>,
    messages: Vec<(usize, usize, Message)>,
    admitted: Vec<Millis>,
    /// The regions of `admitted`.
    admitted_by: Vec<usize>,
    refused: Vec<Decision>,
}

impl Fleet {
    /// VMs that have been running for long enough to be relied on.
    fn new() -> Self {
        let holder = |number| Holder::new(terms(), number);
        let mut fleet = Self {
            now: Millis::ZERO,
            allowance: LIMIT,
            tenant: "a".into(),
            holders: (0..REGIONS as u64).map(holder).collect(),
            since: vec![Millis::ZERO; REGIONS],
            messages: Vec::new(),
            admitted: Vec::new(),
            admitted_by: Vec::new(),
            refused: Vec::new(),
        };
        fleet.advance(4_000);
        fleet
    }

    fn advance(&mut self, ms: u64) {
        // As often as the VMs' timers run.
        for _ in 0..ms / 50 {
            self.now += Millis::new(50);
            self.holders.iter_mut().for_each(|holder| holder.tick(self.now));
        }
    }

    fn with(&mut self, at: usize, f: impl FnOnce(Millis, &mut Holder, Case<'_>, &mut Vec<Action>)) {
        let others = (0..REGIONS).filter(|region| *region != at);
        let standing = Standing {
            is_informed: true,
            is_holder: true,
            since: self.since[at],
            live_part: 1.0,
            lenders: others.map(addr).collect(),
        };
        let case = Case { tenant: &self.tenant, allowance: self.allowance, standing: &standing };
        let mut out = Vec::new();
        f(self.now, &mut self.holders[at], case, &mut out);
        for action in out {
            match action {
                Action::Decide(_, Decision::Admitted) => {
                    self.admitted.push(self.now);
                    self.admitted_by.push(at);
                }
                Action::Decide(_, refusal) => self.refused.push(refusal),
                Action::Send(to, message) => {
                    let to = (0..REGIONS).find(|region| addr(*region) == to).unwrap();
                    self.messages.push((at, to, message));
                }
            }
        }
    }

    fn ask(&mut self, at: usize) {
        self.with(at, |now, holder, case, out| holder.ask(now, case, HERE, out));
    }

    /// The request of an admission was not sent: its token returns.
    fn give_back(&mut self, index: usize) {
        self.admitted.remove(index);
        let at = self.admitted_by.remove(index);
        self.with(at, |now, holder, case, _| holder.give_back(now, case));
    }

    /// A tenant asks for far more than its limit at these regions, for a time.
    fn overload(&mut self, regions: &[usize], ms: u64) {
        for _ in 0..ms / 50 {
            for at in regions {
                (0..5).for_each(|_| self.ask(*at));
            }
            self.deliver_all();
            self.advance(50);
        }
    }

    fn deliver(&mut self, index: usize) {
        let (from, to, message) = self.messages.remove(index);
        match message {
            Message::Borrow { number, tenant, tokens: wanted } => {
                let mut tokens = 0.0;
                self.with(to, |now, holder, case, _| tokens = holder.lend(now, case, wanted));
                self.messages.push((to, from, Message::Lent { number, tenant, tokens }));
            }
            Message::Lent { number, tokens, .. } => {
                self.with(to, |now, holder, case, out| holder.lent(now, case, number, tokens, out));
            }
            other => panic!("{other:?}"),
        }
    }

    fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            self.deliver(0);
        }
    }

    /// The VM of a region starts anew and knows nothing.
    fn restart(&mut self, at: usize) {
        self.holders[at] = Holder::new(terms(), 1_000);
        self.since[at] = self.now;
        self.messages.retain(|(_, to, _)| *to != at);
    }

    /// The fewest admissions of a full window that begins at `begin` or later.
    fn least_window(&self, begin: Millis) -> usize {
        let last = self.now - terms().window;
        let begins = self.admitted.iter().copied().filter(|at| *at >= begin && *at < last);
        let within = |begin: Millis| {
            let window = |at: &&Millis| **at > begin && **at <= begin + terms().window;
            self.admitted.iter().filter(window).count()
        };
        begins.map(within).min().unwrap_or_default()
    }

    fn worst_window(&self) -> usize {
        let within = |first: &Millis| {
            let window = |at: &&Millis| **at >= *first && **at - *first < terms().window;
            self.admitted.iter().filter(window).count()
        };
        self.admitted.iter().map(within).max().unwrap_or_default()
    }
}

// Callers of one tenant all use one region, which holds a third of the limit.
#[test]
fn one_region_gets_the_whole_limit() {
    let mut fleet = Fleet::new();
    for _ in 0..100 {
        // 9 a second, below the limit of 10.
        fleet.ask(0);
        fleet.deliver_all();
        fleet.advance(100);
    }
    assert!(fleet.refused.is_empty(), "{:?}", fleet.refused);
    assert_eq!(fleet.admitted.len(), 100);
}

// Guards against a caller that waits although no region has a token left.
#[test]
fn a_request_over_the_limit_is_refused_at_once_with_a_time_to_return() {
    let mut fleet = Fleet::new();
    for round in 0..200 {
        fleet.ask(round % REGIONS);
        fleet.deliver_all();
    }
    assert!(fleet.admitted.len() >= 10, "{}", fleet.admitted.len());
    fleet.refused.clear();
    fleet.ask(0);
    let [Decision::OverLimit { retry_after }] = fleet.refused[..] else {
        panic!("{:?}", fleet.refused)
    };
    assert!(retry_after > Millis::ZERO && retry_after <= Millis::new(5_000));
    assert!(fleet.messages.is_empty());
}

// Guards against tokens that a holder kept from before its limit was lowered.
#[test]
fn a_lower_limit_takes_tokens_away() {
    let mut fleet = Fleet::new();
    fleet.allowance = Allowance { rate_per_s: 1_000.0, burst: 1_000.0 };
    fleet.ask(0);
    fleet.allowance = LIMIT;
    fleet.admitted.clear();
    for _ in 0..400 {
        fleet.ask(0);
    }
    assert!(fleet.admitted.len() as f64 <= terms().limit(LIMIT), "{}", fleet.admitted.len());
}

// A VM stands still while another one admits requests in its place. It must not resume with a full bucket.
#[test]
fn a_vm_that_was_paused_starts_as_a_backup() {
    let admitted_after = |pause: u64| {
        let mut fleet = Fleet::new();
        fleet.ask(0);
        fleet.now += Millis::new(pause);
        fleet.admitted.clear();
        (0..100).for_each(|_| fleet.ask(0));
        fleet.admitted.len()
    };
    assert!(admitted_after(3_000) < admitted_after(500));
}

// Guards against VMs that select different holders, and against a dead one that is still asked.
#[test]
fn all_vms_select_the_same_living_holder() {
    let vms = |alive: bool| -> Vec<Candidate> {
        let candidate =
            |vm: u64| Candidate { vm, addr: addr(vm as usize), alive: alive || vm != 2 };
        (1..=4).map(candidate).collect()
    };
    let ranking = |own, alive| {
        let mut ranking = Ranking::default();
        ranking.update(Millis::ZERO, own, vms(alive), BTreeMap::new(), true);
        ranking
    };
    let tenants: Vec<String> = (0..50).map(|n| format!("tenant-{n}")).collect();
    let mut moved = 0;
    for tenant in &tenants {
        let before = ranking(1, true).ranked(tenant);
        assert_eq!(before, ranking(3, true).ranked(tenant));
        let after = ranking(1, false).ranked(tenant);
        assert!(after.iter().all(|candidate| candidate.vm != 2));
        moved += usize::from(before[0].vm != after[0].vm);
        assert!(before[0].vm == 2 || before[0] == after[0], "only the dead one's tenants move");
    }
    assert!(moved > 0);
    let standing = ranking(1, false).standing("tenant-0");
    assert_eq!(standing.live_part, 0.75);
}

// All VMs start at once. Until each knows of another one it would take itself for the holder of every tenant, and all
// together would admit a multiple of the limit.
#[test_case(false, 0; "just started")]
#[test_case(true, 1; "alone for long")]
fn a_vm_that_knows_no_other_admits_nothing_at_first(is_settled: bool, admitted: usize) {
    let mut ranking = Ranking::default();
    let own = Candidate { vm: 1, addr: addr(1), alive: true };
    ranking.update(Millis::ZERO, 1, vec![own], BTreeMap::new(), is_settled);
    let standing = ranking.standing("a");
    let case = Case { tenant: &"a".into(), allowance: LIMIT, standing: &standing };
    let mut out = Vec::new();
    Holder::new(terms(), 0).ask(Millis::new(200), case, HERE, &mut out);
    let decided = |action: &&Action| matches!(action, Action::Decide(_, Decision::Admitted));
    assert_eq!(out.iter().filter(decided).count(), admitted, "{out:?}");
    assert_eq!(out.len(), 1);
}

/// Requests in a window that rate and burst allow.
fn allowed(Allowance { rate_per_s, burst }: Allowance) -> f64 {
    rate_per_s * terms().window.as_f64() / 1_000.0 + burst
}

// Guards against a limit by which a tenant that asks for more gets its burst once and later only its rate.
#[test_case(&[0, 1, 2], 0.95; "in all regions")]
#[test_case(&[0], 0.85; "in one region, lent by the others")]
fn a_tenant_over_its_limit_gets_the_limit_in_each_window(regions: &[usize], share: f64) {
    let mut fleet = Fleet::new();
    fleet.advance(16_000);
    let begin = fleet.now;
    fleet.overload(regions, 20_000);
    let least = fleet.least_window(begin) as f64;
    assert!(least >= share * allowed(LIMIT), "{least}");
    assert!(fleet.worst_window() as f64 <= terms().limit(LIMIT), "{}", fleet.worst_window());
}

// Guards against a holder that admits a window's requests once more because it forgot them, or what was admitted in its
// place.
#[test_case(|fleet| fleet.restart(0); "new holder")]
#[test_case(|fleet| (0..REGIONS).for_each(|at| fleet.restart(at)); "new holders everywhere")]
#[test_case(|fleet| fleet.now += Millis::new(900); "pause")]
#[test_case(|fleet| fleet.now += Millis::new(4_900); "pause of nearly a window")]
fn a_fault_in_a_full_window_does_not_fill_it_again(fault: fn(&mut Fleet)) {
    for full_ms in [50, 500, 2_500, 4_800] {
        let mut fleet = Fleet::new();
        fleet.advance(16_000);
        fleet.overload(&[0, 1, 2], full_ms);
        fault(&mut fleet);
        fleet.overload(&[0, 1, 2], 12_000);
        let worst = fleet.worst_window() as f64;
        assert!(worst <= terms().limit(LIMIT), "after {full_ms} ms: {worst}");
    }
}

// Guards against returned admissions that are lost, or that make room for more requests than have returned.
#[test]
fn returned_admissions_make_room_for_as_many() {
    let mut fleet = Fleet::new();
    fleet.advance(16_000);
    for _ in 0..100 {
        fleet.ask(0);
        fleet.deliver_all();
    }
    let full = fleet.admitted.len();
    (0..5).for_each(|_| fleet.give_back(0));
    (0..40).for_each(|_| fleet.ask(0));
    assert_eq!(fleet.admitted.len(), full);
}

// Guards against a raised limit that takes effect only after a window.
#[test]
fn a_raised_limit_takes_effect_at_once() {
    let mut fleet = Fleet::new();
    fleet.advance(16_000);
    fleet.overload(&[0, 1, 2], 3_000);
    fleet.allowance = Allowance { rate_per_s: 100.0, burst: 100.0 };
    fleet.admitted.clear();
    let begin = fleet.now;
    fleet.overload(&[0, 1, 2], 50);
    assert!(fleet.admitted.len() >= 14, "{}", fleet.admitted.len());
    fleet.overload(&[0, 1, 2], 12_000);
    let least = fleet.least_window(begin) as f64;
    assert!(least >= 0.95 * allowed(fleet.allowance), "{least}");
}

// Guards against a lowered limit that does not bind after a window.
#[test]
fn a_lowered_limit_binds_within_a_window() {
    let mut fleet = Fleet::new();
    fleet.advance(16_000);
    fleet.overload(&[0, 1, 2], 7_000);
    fleet.allowance = Allowance { rate_per_s: 5.0, burst: 5.0 };
    fleet.admitted.clear();
    fleet.overload(&[0, 1, 2], 12_000);
    let limit = terms().limit(fleet.allowance);
    assert!(fleet.worst_window() as f64 <= limit, "{} of {limit}", fleet.worst_window());
}

// Guards against requests that are admitted anew with each change of a limit back and forth.
#[test]
fn a_limit_that_changes_often_admits_no_more_than_the_larger() {
    let mut fleet = Fleet::new();
    fleet.advance(16_000);
    for change in 0..400 {
        let factor = if change % 2 == 0 { 1.0 } else { 0.25 };
        fleet.allowance = Allowance { rate_per_s: 10.0 * factor, burst: 10.0 * factor };
        fleet.overload(&[0, 1, 2], 50);
    }
    assert!(fleet.worst_window() as f64 <= terms().limit(LIMIT), "{}", fleet.worst_window());
}

// Guards against a limit that holds only where time passes between requests.
#[test]
fn many_requests_at_one_millisecond_are_within_the_limit() {
    let mut fleet = Fleet::new();
    fleet.advance(16_000);
    for request in 0..3_000 {
        fleet.ask(request % REGIONS);
        fleet.deliver_all();
    }
    let admitted = fleet.admitted.len() as f64;
    assert!(admitted >= LIMIT.burst && admitted <= terms().limit(LIMIT), "{admitted}");
}

// Guards against limits that nobody meant: they must neither panic nor admit without bound.
#[test_case(0.0, 0.0; "nothing")]
#[test_case(0.0, 10.0; "no rate")]
#[test_case(10.0, 0.0; "no burst")]
#[test_case(-5.0, -5.0; "negative")]
#[test_case(f64::NAN, f64::NAN; "not a number")]
#[test_case(f64::INFINITY, f64::INFINITY; "infinite")]
#[test_case(1e300, 1e300; "huge")]
fn a_strange_limit_binds(rate_per_s: f64, burst: f64) {
    let mut fleet = Fleet::new();
    fleet.allowance = Allowance { rate_per_s, burst };
    fleet.advance(16_000);
    fleet.overload(&[0, 1, 2], 7_000);
    let limit = terms().limit(fleet.allowance);
    assert!(fleet.worst_window() as f64 <= limit, "{} of {limit}", fleet.worst_window());
    fleet.allowance = LIMIT;
    fleet.admitted.clear();
    fleet.overload(&[0, 1, 2], 12_000);
    assert!(fleet.worst_window() as f64 <= terms().limit(LIMIT), "{}", fleet.worst_window());
}

// A rate without burst and headroom is a limit too: a bucket of less than one token would never admit a request.
#[test]
fn a_rate_without_burst_admits_its_requests() {
    let mut holder = Holder::new(Terms::default(), 0);
    let standing =
        Standing { is_informed: true, is_holder: true, live_part: 1.0, ..Standing::default() };
    let allowance = Allowance { rate_per_s: 1.0, burst: 0.0 };
    let case = Case { tenant: &"a".into(), allowance, standing: &standing };
    let mut out = Vec::new();
    for ms in (0..30_000).step_by(50) {
        holder.tick(Millis::new(ms));
        if ms >= 20_000 {
            holder.ask(Millis::new(ms), case, HERE, &mut out);
        }
    }
    let admitted = |action: &&Action| matches!(action, Action::Decide(_, Decision::Admitted));
    let count = out.iter().filter(admitted).count();
    assert!((8..=10).contains(&count), "{count}");
}

#[derive(Clone, Debug)]
enum Step {
    Ask(usize, u8),
    Advance(u64),
    Deliver(usize),
    Lose(usize),
    Restart(usize),
    GiveBack(usize),
    Change(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..REGIONS, 1..40u8).prop_map(|(at, count)| Step::Ask(at, count)),
        3 => (1..12u64).prop_map(|n| Step::Advance(n * 50)),
        6 => any::<usize>().prop_map(Step::Deliver),
        1 => any::<usize>().prop_map(Step::Lose),
        1 => (0..REGIONS).prop_map(Step::Restart),
        1 => any::<usize>().prop_map(Step::GiveBack),
        1 => any::<bool>().prop_map(Step::Change),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    // Whatever is asked where, and whatever becomes of messages and VMs: no window holds more than the operators allow.
    #[test]
    fn no_window_exceeds_the_limit(began_ms in 0..20_000_u64, steps in prop::collection::vec(step(), 1..300)) {
        let mut fleet = Fleet::new();
        fleet.advance(began_ms);
        // Each VM of a region starts anew at most once in any two windows, as its successor has to settle.
        let mut restarted = [Millis::ZERO; REGIONS];
        for step in steps {
            match step {
                Step::Ask(at, count) => (0..count).for_each(|_| fleet.ask(at)),
                Step::Advance(ms) => fleet.advance(ms),
                Step::Deliver(index) if !fleet.messages.is_empty() => {
                    fleet.deliver(index % fleet.messages.len());
                }
                Step::Lose(index) if !fleet.messages.is_empty() => {
                    fleet.messages.remove(index % fleet.messages.len());
                }
                Step::Restart(at) if fleet.now - restarted[at] > Millis::new(10_000) => {
                    restarted[at] = fleet.now;
                    fleet.restart(at);
                }
                Step::GiveBack(index) if !fleet.admitted.is_empty() => {
                    let index = index % fleet.admitted.len();
                    // Requests are answered within a window.
                    if fleet.now - fleet.admitted[index] < terms().window {
                        fleet.give_back(index);
                    }
                }
                Step::Change(lower) => {
                    let factor = if lower { 0.5 } else { 1.0 };
                    let Allowance { rate_per_s, burst } = LIMIT;
                    fleet.allowance =
                        Allowance { rate_per_s: rate_per_s * factor, burst: burst * factor };
                }
                Step::Deliver(_) | Step::Lose(_) | Step::Restart(_) | Step::GiveBack(_) => {}
            }
        }
        let limit = terms().limit(LIMIT);
        prop_assert!(fleet.worst_window() as f64 <= limit, "{} of {limit}", fleet.worst_window());
    }
}
