use crate::{snapshot::Chosen, step::View};
use std::collections::BTreeMap;
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Held, Stock};
use tgw_tail::Average;
use tgw_topology::{Group, Service, Snapshot, Vm};

const LATENCY_WEIGHT: f64 = 0.1;
/// Service time assumed before the first reply, in milliseconds.
const SERVICE_START_MS: f64 = 5.0;
/// Time after which an estimate that no reply renewed has lost most of its weight, in ms. Without
/// it, a group that was slow once would never be asked again and never be seen to recover.
const FADE_MS: f64 = 2000.0;
/// Time after which an owner's word on its queue has lost most of its weight, in milliseconds.
const PRESSURE_FADE_MS: f64 = 100.0;
/// How much longer an answer is expected, in service times, while all slots are just taken.
const CROWD_SLOPE: f64 = 0.4;
/// How long a group is avoided after a failure, at first and at most.
const FIRST_AVOID: Millis = Millis::new(50);
const LONGEST_AVOID: Millis = Millis::new(1000);
/// What being avoided adds to an estimate, in milliseconds.
const AVOID_MS: f64 = 500.0;
/// How many times the usual way an attempt may take before it makes its group look slow.
const LATE: f64 = 2.0;
/// Silence of a VM that owes answers before it counts as stalled, besides the way there and back.
const STALL: Millis = Millis::new(80);

/// What is known of the way to one group.
#[derive(Clone, Debug)]
struct Path {
    /// Time from asking to the answer, less the time in the owner's queue.
    way: Average,
    /// Requests that waited or ran at the owner, as a part of its slots, when it last answered.
    pressure: f64,
    seen: Millis,
    /// Attempts under way, by when they were sent.
    flying: BTreeMap<Millis, u32>,
    stock: Option<Stock>,
    /// Snapshots that the group has said it does not hold since it last listed those it does.
    lost: Held,
    /// Until when it is avoided after failures, and for how long after the next.
    avoid: Millis,
    backoff: Millis,
}

/// What is known of another VM.
#[derive(Clone, Debug, Default)]
struct Link {
    heard: Millis,
    flying: u32,
    /// Since when answers are owed without a break.
    owing: Millis,
    stalled: bool,
}

/// The ways to replica groups and to the VMs that own them.
#[derive(Clone, Debug, Default)]
pub struct Paths {
    groups: BTreeMap<Group, Path>,
    links: BTreeMap<Vm, Link>,
    epoch: u64,
    /// The choice of a snapshot by service, for as long as nothing it depends on changes.
    pub(crate) chosen: BTreeMap<Service, Chosen>,
}

impl Paths {
    /// Whether a group is believed to hold a snapshot; what is not known is assumed.
    pub fn holds(&self, group: Group, snapshot: Snapshot) -> bool {
        self.holders(group, snapshot).is_none_or(|count| count > 0)
    }

    /// The upstreams of a group that are believed to hold a snapshot; `None` if nothing is known.
    pub fn holders(&self, group: Group, snapshot: Snapshot) -> Option<u8> {
        let path = self.groups.get(&group)?;
        if path.lost.contains(&snapshot) {
            return Some(0);
        }
        let stock = path.stock.as_ref()?;
        Some(stock.iter().find(|(s, _)| *s == snapshot).map_or(0, |(_, count)| *count))
    }

    /// A group has said that it does not hold a snapshot.
    pub(crate) fn set_lost(&mut self, now: Millis, group: Group, snapshot: Snapshot) {
        if self.holds(group, snapshot) {
            self.path(now, group).lost.push(snapshot);
            self.epoch += 1;
        }
    }

    /// Takes in which snapshots a group holds.
    pub(crate) fn set_stock(&mut self, now: Millis, group: Group, stock: Stock) {
        let path = self.path(now, group);
        if path.stock.as_ref() != Some(&stock) || !path.lost.is_empty() {
            path.stock = Some(stock);
            path.lost.clear();
            self.epoch += 1;
        }
    }

    /// Changes whenever the snapshots that any group is believed to hold do.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// A group's answer was of no use: it is avoided for a while, longer each time.
    pub(crate) fn failed(&mut self, now: Millis, group: Group) {
        let path = self.path(now, group);
        if now >= path.avoid {
            path.avoid = now + path.backoff;
            path.backoff = (path.backoff + path.backoff).min(LONGEST_AVOID);
        }
    }

    /// The VMs that were asked and have been silent since.
    pub(crate) fn silent(&self) -> Vec<Vm> {
        self.links.iter().filter(|(_, l)| l.stalled).map(|(vm, _)| *vm).collect()
    }

    /// When an answer from a group is expected, in milliseconds from now.
    pub(crate) fn estimate(&self, now: Millis, group: Group, view: &View<'_>) -> f64 {
        let place = view.index.get(group).map_or(view.here, |m| m.place);
        let base = 2.0 * view.distance.between(view.here, place) + SERVICE_START_MS;
        let Some(path) = self.groups.get(&group) else { return base };
        let age = (now - path.seen).as_f64();
        let way = base + (path.way.get() - base) * (-age / FADE_MS).exp();
        let pressure = path.pressure * (-age / PRESSURE_FADE_MS).exp();
        let slots = self.slots(group, view);
        let own = f64::from(path.flying.values().sum::<u32>()) / slots;
        let crowd = pressure.max(own);
        // The oldest attempt under way tells of a straggler before any answer does.
        let oldest = path.flying.keys().next().map_or(0.0, |sent| (now - *sent).as_f64());
        let overdue = (oldest - LATE * way).max(0.0);
        let avoided = if now < path.avoid { AVOID_MS } else { 0.0 };
        way + avoided + overdue + SERVICE_START_MS * (CROWD_SLOPE * crowd + (crowd - 1.0).max(0.0))
    }

    fn slots(&self, group: Group, view: &View<'_>) -> f64 {
        view.index.get(group).map_or(1, |m| m.slots).max(1).into()
    }

    pub(crate) fn ask(&mut self, now: Millis, group: Group, to: Vm) {
        *self.path(now, group).flying.entry(now).or_default() += 1;
        let link = self.links.entry(to).or_default();
        if link.flying == 0 {
            link.owing = now;
        }
        link.flying += 1;
    }

    /// An attempt through `from` is no longer awaited.
    pub(crate) fn ended(&mut self, now: Millis, group: Group, from: Vm, sent: Millis) {
        let path = self.path(now, group);
        if let Some(count) = path.flying.get_mut(&sent) {
            *count -= 1;
            if *count == 0 {
                path.flying.remove(&sent);
            }
        }
        if let Some(link) = self.links.get_mut(&from) {
            link.flying = link.flying.saturating_sub(1);
        }
    }

    /// An owner has answered; items took `way` besides their wait in its queue.
    pub(crate) fn learned(
        &mut self,
        now: Millis,
        group: Group,
        way: Option<Millis>,
        pressure: f32,
    ) {
        let path = self.path(now, group);
        if let Some(way) = way {
            path.backoff = FIRST_AVOID;
            path.way.add(way.as_f64());
        }
        path.pressure = f64::from(pressure);
        path.seen = now;
    }

    pub(crate) fn heard(&mut self, now: Millis, vm: Vm) {
        let link = self.links.entry(vm).or_default();
        link.heard = now;
        link.stalled = false;
    }

    pub(crate) fn lost(&mut self, vm: Vm) {
        self.links.entry(vm).or_default().stalled = true;
    }

    pub(crate) fn stalled(&self, vm: Vm) -> bool {
        self.links.get(&vm).is_some_and(|l| l.stalled)
    }

    /// The VMs that have just become stalled: they owe answers and have been silent for too long.
    pub(crate) fn newly_stalled(&mut self, now: Millis, view: &View<'_>) -> Vec<Vm> {
        let mut found = Vec::new();
        for (vm, link) in &mut self.links {
            let place = view.owners.place(*vm).unwrap_or(view.here);
            let way = Millis::from_f64(2.0 * view.distance.between(view.here, place));
            let silent = now - link.heard.max(link.owing);
            if !link.stalled && link.flying > 0 && silent > STALL + way {
                link.stalled = true;
                found.push(*vm);
            }
        }
        found
    }

    fn path(&mut self, now: Millis, group: Group) -> &mut Path {
        self.groups.entry(group).or_insert_with(|| Path {
            way: Average::new(SERVICE_START_MS, LATENCY_WEIGHT),
            pressure: 0.0,
            seen: now,
            flying: BTreeMap::new(),
            stock: None,
            lost: Held::new(),
            avoid: Millis::ZERO,
            backoff: FIRST_AVOID,
        })
    }
}
