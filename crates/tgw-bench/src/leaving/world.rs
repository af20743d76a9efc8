use super::{
    Outcome, Setup, Trouble, What, Whom,
    store::{Change, Store},
    vm::{Call, Vm},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
};
use tgw_clock::Millis;
use tgw_forward::{Fleet, upstream::Entry};
use tgw_member::{Action, Event, Member, Options, Packet, Record};
use tgw_spread::{
    Delta, Follow, Upstreams,
    follow::{LOST_NEAR, MARGIN, PROBE_EVERY, PROBE_REPLY, Probed, Sight, Step, Way},
    upstreams::News,
};
use tgw_topology::{
    Place, Vm as Id,
    place::{Domain, Region},
};

/// Time between looks of a VM at its timers, as in the gateway.
const TICK: Millis = Millis::new(100);
/// One way between VMs, from the users' networks: within a region and between two.
const NEAR: Millis = Millis::from_micros(1_400);
const FAR: Millis = Millis::new(20);
/// An answer of the store, and one of a slow store.
const STORE: Millis = Millis::new(12);
const STORE_SLOW: Millis = Millis::new(212);
/// Time for one call of the store that waits for nothing, as in the adapter.
const CALL: Millis = Millis::new(1_500);
/// Time for one exchange with a peer, and the time after which another is asked beside, as in the gateway.
const EXCHANGE: Millis = Millis::new(1_500);
const PATIENCE: Millis = Millis::new(300);
/// Time from which on a VM may hold itself for a relay, as in the gateway.
const SETTLE: Millis = Millis::new(1_500);
/// Upstreams that leave, and within which time.
const LEAVING: usize = 8;
const WITHIN: Millis = Millis::new(25);
/// Upstreams whose entries are written again and again, and the time between two writings.
const FRESH: usize = 6;
const NEWS_MS: (u64, u64) = (150, 650);
/// Time within which entries that lapsed are written again after the store's return.
const BACK: Millis = Millis::new(1_900);
/// How much longer than the bound of a leaving the platform waits before it counts a VM as reachable.
const RETURN: Millis = Millis::new(1_000);
/// How long it is played on after upstreams leave.
const REST: Millis = Millis::new(14_000);

#[derive(Debug)]
enum Due {
    Tick(usize),
    Packet { to: usize, from: SocketAddr, packet: Box<Packet> },
    Records { to: usize, records: Vec<Record> },
    Step(usize, u64),
    Probe(usize),
    Probed(usize, Probed),
    Arrive(usize, u64),
    Listed(usize, u64, u64, Vec<(u64, Entry)>),
    Watched(usize, u64, u64, Vec<Change>),
    Failed(usize, u64),
    Ask { to: usize, from: usize, version: u64, asked: Millis },
    News { to: usize, asked: Millis, news: Option<News> },
    Unanswered { to: usize, asked: Millis },
    Begin(usize),
    End(usize),
    Leave(usize),
    Write(Rc<str>),
    Churn,
}

struct World {
    setup: Setup,
    now: Millis,
    vms: Vec<Vm>,
    store: Store,
    /// Watches that wait at the store: who, which call, after which revision, until when.
    waiting: Vec<(usize, u64, u64, Millis)>,
    /// Whom each trouble befalls, once it has begun.
    struck: BTreeMap<usize, Vec<usize>>,
    left_at: Vec<Option<Millis>>,
    heap: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, Due>,
    next: u64,
    calls: usize,
    usable: f64,
    rng: SmallRng,
}

/// Plays one run.
pub fn play(setup: Setup) -> Outcome {
    let mut world = World::new(setup);
    let end = world.setup.leave_at + REST;
    while let Some(Reverse((at, number))) = world.heap.pop() {
        if at > end {
            break;
        }
        world.now = at;
        if let Some(due) = world.events.remove(&number) {
            world.handle(due);
        }
    }
    world.outcome()
}

fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 9, high, low), 7802))
}

fn index(addr: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = addr else { return usize::MAX };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

fn name(number: usize) -> Rc<str> {
    format!("u{number}").into()
}

fn entry(id: Rc<str>, draining: bool, warmup: Millis) -> Entry {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let (service, domain) = ("s".into(), "d".into());
    Entry { id, started: 0, service, addr, domain, slots: 1, draining, warmup }
}

impl World {
    fn new(setup: Setup) -> Self {
        let mut world = Self {
            now: Millis::ZERO,
            vms: Vec::new(),
            store: Store::default(),
            waiting: Vec::new(),
            struck: BTreeMap::new(),
            left_at: vec![None; LEAVING],
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            calls: 0,
            usable: 1.0,
            rng: SmallRng::seed_from_u64(setup.seed),
            setup,
        };
        for number in 0..world.setup.upstreams {
            world.store.write(entry(name(number), false, Millis::ZERO));
        }
        for number in 0..world.setup.vms {
            let vm = world.vm(number);
            world.vms.push(vm);
            let jitter = TICK.scale(world.rng.random_range(0.0..1.0));
            world.at(jitter, Due::Tick(number));
            world.at(jitter, Due::Step(number, 0));
            world.at(SETTLE + jitter, Due::Probe(number));
        }
        world.plan();
        world
    }

    fn vm(&mut self, number: usize) -> Vm {
        let Setup { vms, regions, .. } = self.setup;
        let domains = if vms <= 9 { regions.max(3) } else { 2 * regions };
        let domain = number % domains;
        let region = domain % regions;
        // The domains of one region follow one another, as the platform numbers them.
        let place = Place { region: Region(region as u8), domain: Domain(domain as u8) };
        let options = Options {
            vm: Id::named(&format!("vm-{number}")),
            name: format!("vm-{number}"),
            incarnation: 1 << 16,
            place,
            addr: address(number),
            seeds: (0..domains.min(vms)).map(address).collect(),
            seed: self.rng.random(),
        };
        let (mut upstreams, mut fleet) = (Upstreams::default(), Fleet::default());
        let changed = self.store.list().into_iter().map(|(v, e)| (e.id.clone(), v, e)).collect();
        let to = self.store.revision;
        let known = Delta { from: None, to, changed, removed: vec![], gaps: vec![] };
        let known = News { delta: known, lapsed: vec![] };
        upstreams.told(Millis::ZERO, known, false, &mut fleet);
        Vm {
            addr: address(number),
            region,
            member: Member::new(options),
            upstreams,
            fleet,
            follow: Follow::new(self.rng.random()),
            sight: Sight::default(),
            relay: None,
            call: None,
            steps: 0,
            asking: None,
            frozen_until: Millis::ZERO,
            dead: false,
            judged_from: Millis::ZERO,
            aware: vec![None; LEAVING],
        }
    }

    fn plan(&mut self) {
        for (number, trouble) in self.setup.troubles.clone().into_iter().enumerate() {
            self.at(trouble.at, Due::Begin(number));
            self.at(trouble.until, Due::End(number));
        }
        for number in 0..LEAVING {
            let within = WITHIN.scale(self.rng.random_range(0.0..1.0));
            self.at(self.setup.leave_at + within, Due::Leave(number));
        }
        self.at(SETTLE + SETTLE, Due::Churn);
    }

    fn at(&mut self, at: Millis, due: Due) {
        self.next += 1;
        self.heap.push(Reverse((at, self.next)));
        self.events.insert(self.next, due);
    }

    fn handle(&mut self, due: Due) {
        let to = match &due {
            Due::Tick(vm) | Due::Step(vm, _) => Some(*vm),
            Due::Probe(vm) | Due::Probed(vm, _) => Some(*vm),
            Due::Listed(vm, ..) | Due::Watched(vm, ..) | Due::Failed(vm, _) => Some(*vm),
            Due::Packet { to, .. } | Due::Records { to, .. } | Due::Ask { to, .. } => Some(*to),
            Due::News { to, .. } | Due::Unanswered { to, .. } => Some(*to),
            _ => None,
        };
        if let Some(vm) = to.map(|to| &self.vms[to]) {
            if vm.dead {
                return;
            }
            if vm.frozen_until > self.now {
                let until = vm.frozen_until;
                return self.at(until, due);
            }
        }
        match due {
            Due::Tick(vm) => self.tick(vm),
            Due::Packet { to, from, packet } => self.member(to, Event::Packet(from, packet)),
            Due::Records { to, records } => self.member(to, Event::Records(records)),
            Due::Step(vm, number) if number == self.vms[vm].steps => self.step(vm),
            Due::Step(..) => {}
            Due::Probe(vm) => self.probe(vm),
            Due::Probed(vm, probed) => {
                if probed == Probed::Silent {
                    self.vms[vm].upstreams.lost(self.now);
                }
                self.vms[vm].sight.probed(probed);
                self.tell(vm);
            }
            Due::Arrive(vm, call) => self.arrive(vm, call),
            Due::Listed(vm, call, version, entries) => self.listed(vm, call, version, entries),
            Due::Watched(vm, call, version, changes) => self.watched(vm, call, version, changes),
            Due::Failed(vm, call) => self.failed(vm, call),
            Due::Ask { to, from, version, asked } => self.asked(to, from, version, asked),
            Due::News { to, asked, news } => self.told(to, asked, news),
            Due::Unanswered { to, asked } => {
                if self.vms[to].asking == Some(asked) {
                    self.vms[to].asking = None;
                }
            }
            Due::Begin(number) => self.begin(number),
            Due::End(number) => self.end(number),
            Due::Leave(number) => self.leave(number),
            Due::Write(id) => self.write(entry(id, false, Millis::ZERO)),
            Due::Churn => self.churn(),
        }
        if let Some(vm) = to {
            self.note(vm);
        }
    }
}

/// The store, and what happens at it.
impl World {
    fn write(&mut self, entry: Entry) {
        self.store.write(entry);
        self.publish();
    }

    /// Answers the watches that wait for what has changed.
    fn publish(&mut self) {
        let (ready, waiting) = self.waiting.drain(..).partition(|w| w.2 < self.store.revision);
        self.waiting = waiting;
        let ready: Vec<(usize, u64, u64, Millis)> = ready;
        for (vm, call, from, _) in ready {
            let (version, changes) = (self.store.revision, self.store.since(from));
            self.at(self.now + self.answer(), Due::Watched(vm, call, version, changes));
        }
    }

    fn answer(&self) -> Millis {
        let slow = self.struck.keys().any(|t| self.setup.troubles[*t].what == What::Slow);
        if slow { STORE_SLOW } else { STORE }
    }

    /// How the store treats a VM now, if not as it should.
    fn treats(&self, vm: usize) -> Option<What> {
        let troubles = self.struck.iter().filter(|(_, vms)| vms.contains(&vm));
        let mut what = troubles.map(|(number, _)| self.setup.troubles[*number].what);
        what.find(|w| matches!(w, What::Refused | What::Silent | What::Away))
    }

    fn begin(&mut self, number: usize) {
        let Trouble { what, whom, until, .. } = self.setup.troubles[number];
        let mut vms: Vec<usize> = (0..self.vms.len()).collect();
        vms.shuffle(&mut self.rng);
        if whom != Whom::Part(1.0) {
            let follows = |vm: &usize| self.vms[*vm].relay == Some(true) && !self.vms[*vm].dead;
            match whom {
                Whom::Followers => vms.retain(follows),
                Whom::Follower => vms = vms.into_iter().filter(follows).take(1).collect(),
                Whom::Part(part) => vms.truncate((part * vms.len() as f64).ceil() as usize),
            }
        }
        for vm in &vms {
            let seat = &mut self.vms[*vm];
            match what {
                What::Frozen => seat.frozen_until = until,
                What::Killed => seat.dead = true,
                _ => {}
            }
            if matches!(what, What::Frozen | What::Killed | What::CutOff) {
                seat.judged_from = until + RETURN;
            }
            self.cut_watch(*vm, what);
        }
        self.struck.insert(number, vms);
        if what == What::Away {
            for upstream in 0..self.setup.upstreams {
                self.store.remove(&name(upstream));
            }
        }
    }

    /// What becomes of a watch that waits when a trouble begins.
    fn cut_watch(&mut self, vm: usize, what: What) {
        if !matches!(what, What::Refused | What::Silent | What::Hung | What::Away) {
            return;
        }
        self.waiting.retain(|w| w.0 != vm);
        let Some(call) = self.vms[vm].call.filter(|_| what == What::Refused) else { return };
        self.at(self.now + NEAR, Due::Failed(vm, call.number));
    }

    fn end(&mut self, number: usize) {
        self.struck.remove(&number);
        if self.setup.troubles[number].what == What::Away {
            for upstream in 0..self.setup.upstreams {
                let after = BACK.scale(self.rng.random_range(0.0..1.0));
                self.at(self.now + after, Due::Write(name(upstream)));
            }
        }
    }

    /// Half of those that leave say so, the entries of the others are removed.
    fn leave(&mut self, number: usize) {
        self.left_at[number] = Some(self.now);
        if number.is_multiple_of(2) {
            return self.write(entry(name(number), true, Millis::ZERO));
        }
        self.store.remove(&name(number));
        self.publish();
    }

    fn churn(&mut self) {
        let gap = Millis::new(self.rng.random_range(NEWS_MS.0..NEWS_MS.1));
        self.at(self.now + gap, Due::Churn);
        let away = self.struck.keys().any(|t| self.setup.troubles[*t].what == What::Away);
        if self.setup.news && !away {
            let id = name(LEAVING + self.rng.random_range(0..FRESH));
            let warmup = Millis::new(self.rng.random_range(1..5_000));
            self.write(entry(id, false, warmup));
        }
    }

    /// A call reaches the store.
    fn arrive(&mut self, vm: usize, call: u64) {
        let Some(Call { step, .. }) = self.vms[vm].call.filter(|c| c.number == call) else {
            return;
        };
        self.calls += 1;
        match self.treats(vm) {
            Some(What::Refused) => return self.at(self.now + STORE, Due::Failed(vm, call)),
            Some(_) => return,
            None => {}
        }
        let reply = self.now + self.answer();
        match step {
            Step::List => {
                let (version, list) = (self.store.revision, self.store.list());
                self.at(reply, Due::Listed(vm, call, version, list));
            }
            Step::Watch { from, .. } if from < self.store.revision => {
                let (version, changes) = (self.store.revision, self.store.since(from));
                self.at(reply, Due::Watched(vm, call, version, changes));
            }
            Step::Watch { from, wait } => self.waiting.push((vm, call, from, self.now + wait)),
            Step::Idle(_) | Step::Pause(_) => {}
        }
    }
}

/// What a VM does.
impl World {
    fn step(&mut self, vm: usize) {
        let seat = &mut self.vms[vm];
        if seat.call.is_some() {
            return;
        }
        let step = seat.follow.next(self.now, seat.turn());
        match step {
            Step::Idle(time) | Step::Pause(time) => self.step_at(vm, self.now + time),
            Step::List | Step::Watch { .. } => self.call(vm, step),
        }
    }

    fn step_at(&mut self, vm: usize, at: Millis) {
        self.vms[vm].steps += 1;
        let number = self.vms[vm].steps;
        self.at(at, Due::Step(vm, number));
    }

    fn call(&mut self, vm: usize, step: Step) {
        self.next += 1;
        let number = self.next;
        self.vms[vm].call = Some(Call { number, step, began: self.now });
        self.at(self.now + NEAR, Due::Arrive(vm, number));
        let waits = match step {
            Step::Watch { wait, .. } => wait,
            _ => Millis::ZERO,
        };
        let limit = if waits > Millis::ZERO { MARGIN } else { CALL };
        self.at(self.now + waits + limit, Due::Failed(vm, number));
        if waits > Millis::ZERO {
            // A watch that ends without news.
            self.at(self.now + waits + STORE, Due::Watched(vm, number, 0, vec![]));
        }
    }

    /// A VM that follows the store asks whether it answers.
    fn probe(&mut self, vm: usize) {
        self.at(self.now + PROBE_EVERY, Due::Probe(vm));
        if self.vms[vm].relay != Some(true) {
            return;
        }
        let (after, probed) = match self.treats(vm) {
            None => (self.answer(), Probed::Answered),
            Some(What::Refused) => (STORE, Probed::Refused),
            Some(_) => (PROBE_REPLY, Probed::Silent),
        };
        self.at(self.now + after, Due::Probed(vm, probed));
    }

    /// Ends a call, if it is still under way.
    fn done(&mut self, vm: usize, call: u64) -> Option<Call> {
        let done = self.vms[vm].call.filter(|c| c.number == call)?;
        self.vms[vm].call = None;
        Some(done)
    }

    fn listed(&mut self, vm: usize, call: u64, version: u64, entries: Vec<(u64, Entry)>) {
        if self.done(vm, call).is_none() {
            return;
        }
        let seat = &mut self.vms[vm];
        if seat.member.blind_near() >= LOST_NEAR {
            seat.upstreams.lost(self.now);
        }
        seat.follow.listed(version);
        seat.sight.read(Way::Upstreams);
        seat.upstreams.listed(self.now, version, entries, &[], &mut seat.fleet);
        self.tell(vm);
        self.step(vm);
    }

    fn watched(&mut self, vm: usize, call: u64, version: u64, changes: Vec<Change>) {
        // A watch that nobody waits for at the store, and that brings nothing, was lost.
        let waits = self.waiting.iter().any(|w| w.1 == call);
        if changes.is_empty() && !waits {
            return;
        }
        self.waiting.retain(|w| w.1 != call);
        if self.done(vm, call).is_none() {
            return;
        }
        let seat = &mut self.vms[vm];
        let news = !changes.is_empty();
        seat.upstreams.answered(self.now);
        for (revision, id, entry) in changes {
            match entry {
                Some(entry) => {
                    seat.upstreams.written(self.now, revision, entry, &mut seat.fleet);
                }
                None => seat.upstreams.removed(version, revision, &id, &mut seat.fleet),
            }
        }
        seat.follow.watched(self.now, version, news);
        if news {
            self.tell(vm);
        }
        self.step(vm);
    }

    fn failed(&mut self, vm: usize, call: u64) {
        let Some(Call { step, began, .. }) = self.done(vm, call) else { return };
        self.waiting.retain(|w| w.1 != call);
        let seat = &mut self.vms[vm];
        let blind_near = seat.member.blind_near();
        match step {
            Step::List => {
                seat.upstreams.lost(self.now);
                seat.follow.failed(self.now, blind_near);
                seat.sight.note(Way::Upstreams, seat.follow.is_blind());
            }
            Step::Watch { wait, .. } => {
                if self.now - began >= wait {
                    seat.upstreams.lost(self.now);
                }
                seat.follow.stop(self.now);
            }
            Step::Idle(_) | Step::Pause(_) => {}
        }
        self.tell(vm);
        self.step(vm);
    }

    fn tell(&mut self, vm: usize) {
        for event in self.vms[vm].told() {
            self.member(vm, event);
        }
    }

    fn tick(&mut self, vm: usize) {
        self.at(self.now + TICK, Due::Tick(vm));
        self.member(vm, Event::Tick);
        let seat = &mut self.vms[vm];
        seat.upstreams.tick(self.now, &mut seat.fleet);
        if self.now < SETTLE {
            return;
        }
        let seat = &mut self.vms[vm];
        let relay = Some(seat.member.follows());
        if relay == seat.relay {
            return;
        }
        seat.relay = relay;
        let watching = seat.call.filter(|c| matches!(c.step, Step::Watch { .. }));
        if let Some(call) = watching.filter(|_| relay == Some(false)) {
            seat.call = None;
            seat.follow.stop(self.now);
            self.waiting.retain(|w| w.1 != call.number);
        }
        self.step(vm);
    }

    /// Notes which of the upstreams that have left it sends to no more.
    fn note(&mut self, vm: usize) {
        let now = self.now;
        let seat = &mut self.vms[vm];
        for (number, left) in self.left_at.iter().enumerate() {
            if left.is_some() {
                let uses = seat.uses(&name(number));
                let aware = &mut seat.aware[number];
                *aware = (!uses).then(|| aware.unwrap_or(now));
            }
        }
        if now > SETTLE && seat.judged_from == Millis::ZERO {
            let live = LEAVING..self.setup.upstreams;
            let used = live.clone().filter(|number| seat.uses(&name(*number))).count();
            self.usable = self.usable.min(used as f64 / live.len() as f64);
        }
    }
}

/// What VMs say to one another.
impl World {
    fn member(&mut self, vm: usize, event: Event) {
        let mut out = Vec::new();
        self.vms[vm].member.on(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send(to, packet) => {
                    let lost = self.rng.random_bool(self.setup.loss);
                    if let Some((to, way)) = self.way(vm, to).filter(|_| !lost) {
                        let from = self.vms[vm].addr;
                        self.at(self.now + way, Due::Packet { to, from, packet });
                    }
                }
                Action::Sync(to, records) => {
                    if let Some((to, way)) = self.way(vm, to) {
                        self.at(self.now + way + way + way, Due::Records { to, records });
                    }
                }
                Action::Newer { addr, world, .. } => self.ask(vm, addr, world),
                Action::Paused(gap) => self.vms[vm].upstreams.paused(gap),
                Action::Changed => {}
            }
        }
    }

    fn way(&self, from: usize, to: SocketAddr) -> Option<(usize, Millis)> {
        let to = index(to);
        let cut = self.struck.iter().any(|(number, vms)| {
            let cut = self.setup.troubles[*number].what == What::CutOff;
            cut && (vms.contains(&from) != vms.contains(&to))
        });
        let near = self.vms.get(to)?.region == self.vms[from].region;
        (!cut).then_some((to, if near { NEAR } else { FAR }))
    }

    fn ask(&mut self, vm: usize, addr: SocketAddr, there: u64) {
        let now = self.now;
        let seat = &mut self.vms[vm];
        let waits = seat.asking.is_some_and(|at| now - at < PATIENCE);
        let version = seat.upstreams.version();
        if there <= version || waits {
            return;
        }
        seat.asking = Some(now);
        self.at(now + EXCHANGE, Due::Unanswered { to: vm, asked: now });
        if let Some((to, way)) = self.way(vm, addr) {
            self.at(now + way + way + way, Due::Ask { to, from: vm, version, asked: now });
        }
    }

    fn asked(&mut self, vm: usize, from: usize, version: u64, asked: Millis) {
        let news = self.vms[vm].upstreams.since(self.now, version);
        if let Some((to, way)) = self.way(vm, address(from)) {
            self.at(self.now + way, Due::News { to, asked, news });
        }
    }

    fn told(&mut self, vm: usize, asked: Millis, news: Option<News>) {
        let seat = &mut self.vms[vm];
        if seat.asking == Some(asked) {
            seat.asking = None;
        }
        if let Some(news) = news {
            seat.upstreams.told(self.now, news, false, &mut seat.fleet);
            self.tell(vm);
        }
    }

    fn outcome(&self) -> Outcome {
        let mut after = Vec::new();
        let mut never = 0;
        for vm in self.vms.iter().filter(|vm| !vm.dead) {
            for (left, aware) in self.left_at.iter().zip(&vm.aware) {
                let Some(left) = left else { continue };
                match aware {
                    Some(at) => after.push((*at - (*left).max(vm.judged_from)).as_f64()),
                    None => never += 1,
                }
            }
        }
        after.sort_by(f64::total_cmp);
        let rank = |part: f64| {
            let last = after.len().saturating_sub(1);
            after.get((last as f64 * part) as usize).copied().unwrap_or(f64::NAN)
        };
        Outcome {
            vms: self.vms.len(),
            after_ms: [rank(0.5), rank(0.99), rank(1.0)],
            never,
            usable: self.usable,
            calls: self.calls,
        }
    }
}
