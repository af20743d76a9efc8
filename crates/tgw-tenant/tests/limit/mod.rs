//! Limits that several VMs keep together.

use proptest::prelude::*;
use std::{collections::BTreeMap, net::SocketAddr, rc::Rc};
use test_case::test_case;
use tgw_clock::Millis;
use tgw_tenant::{
    Allowance,
    limit::{
        Action, Asker, Case, Decision, Holder, Knowledge, Message, Ranking, Standing, Terms,
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
            knowledge: Knowledge::Informed,
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
                Action::Decide(_, Decision::Admitted) => self.admitted.push(self.now),
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
        ranking.update(Millis::ZERO, own, vms(alive), BTreeMap::new(), Knowledge::Informed);
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
#[test_case(Knowledge::Starting, 0; "just started")]
#[test_case(Knowledge::Informed, 1; "alone by evidence")]
fn a_vm_that_knows_no_other_admits_nothing_at_first(knowledge: Knowledge, admitted: usize) {
    let mut ranking = Ranking::default();
    let own = Candidate { vm: 1, addr: addr(1), alive: true };
    ranking.update(Millis::ZERO, 1, vec![own], BTreeMap::new(), knowledge);
    let standing = ranking.standing("a");
    let case = Case { tenant: &"a".into(), allowance: LIMIT, standing: &standing };
    let mut out = Vec::new();
    Holder::new(terms(), 0).ask(Millis::new(200), case, HERE, &mut out);
    let decided = |action: &&Action| matches!(action, Action::Decide(_, Decision::Admitted));
    assert_eq!(out.iter().filter(decided).count(), admitted, "{out:?}");
    assert_eq!(out.len(), 1);
}

// Guards against a VM that cannot tell whether there are others, and admits what they admit already: two of them beside a
// fleet that uses the whole limit must not exceed it in any window, and callers still get something from each.
#[test]
fn vms_that_cannot_tell_who_else_is_there_fit_into_the_headroom() {
    const ALLOWANCE: Allowance = Allowance { rate_per_s: 100.0, burst: 50.0 };
    const WINDOW: Millis = Millis::new(5_000);
    let terms = Terms { window: WINDOW, excess: 0.1, slack: 20.0, regions: 1 };
    let own = Candidate { vm: 1, addr: addr(1), alive: true };
    let admitted = |knowledge: Knowledge| {
        let mut ranking = Ranking::default();
        ranking.update(Millis::ZERO, 1, vec![own], BTreeMap::new(), knowledge);
        let standing = ranking.standing("a");
        assert_eq!(standing.is_holder, knowledge == Knowledge::Informed);
        let mut holder = Holder::new(terms, 0);
        let mut out = Vec::new();
        for at in (0..20_000).step_by(10) {
            let case = Case { tenant: &"a".into(), allowance: ALLOWANCE, standing: &standing };
            holder.ask(Millis::new(at), case, HERE, &mut out);
        }
        out.retain(|action| matches!(action, Action::Decide(_, Decision::Admitted)));
        out.len() as f64 / 4.0
    };
    let (whole, part) = (admitted(Knowledge::Informed), admitted(Knowledge::Unknown));
    assert!(part >= 1.0, "{part} in a window");
    let allowed = 550.0;
    assert!(whole <= allowed && allowed + 2.0 * part <= terms.limit(ALLOWANCE), "{whole} {part}");
    assert!(part <= 0.01 * allowed, "{part} in a window");
}

#[derive(Clone, Debug)]
enum Step {
    Ask(usize, u8),
    Advance(u64),
    Deliver(usize),
    Lose(usize),
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..REGIONS, 1..40u8).prop_map(|(at, count)| Step::Ask(at, count)),
        3 => (1..12u64).prop_map(|n| Step::Advance(n * 50)),
        6 => any::<usize>().prop_map(Step::Deliver),
        1 => any::<usize>().prop_map(Step::Lose),
        1 => (0..REGIONS).prop_map(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    // Whatever is asked where, and whatever becomes of messages and VMs: no window holds more than the operators allow.
    #[test]
    fn no_window_exceeds_the_limit(steps in prop::collection::vec(step(), 1..300)) {
        let mut fleet = Fleet::new();
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
                Step::Deliver(_) | Step::Lose(_) | Step::Restart(_) => {}
            }
        }
        let limit = terms().limit(LIMIT);
        prop_assert!(fleet.worst_window() as f64 <= limit, "{} of {limit}", fleet.worst_window());
    }
}
