use crate::{
    model::{self, Upstream},
    setup::Fault,
    sim::{Event, Sim},
};
use rand::seq::SliceRandom;
use std::{collections::BTreeSet, sync::Arc};
use tgw_clock::Millis;
use tgw_node::Input;
use tgw_topology::{Layout, Snapshot, place::Domain};

/// How often the stragglers change in turn.
const TURN: Millis = Millis::new(300);
/// The part of the upstreams that straggle, and by how much.
const STRAGGLERS: f64 = 0.05;
const SLOWER: f64 = 10.0;
/// How long a broken connection takes to be noticed.
pub(crate) const RESET: Millis = Millis::new(1);
/// How long membership takes to make a death known; its tests allow 3 s.
pub(crate) const DETECTION: Millis = Millis::new(2000);

impl Sim {
    pub(crate) fn fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Stragglers => {
                self.slow(|index, _| index % (1.0 / STRAGGLERS) as usize == 0);
            }
            Fault::StragglersInTurn => self.turn(),
            Fault::ReplicaLost => self.break_replicas(1),
            Fault::HalfLost(time) => {
                self.break_replicas(2);
                self.at(self.now + *time, Event::Mend);
            }
            Fault::Version(gap) => self.begin_roll(*gap, |layout| layout),
            Fault::Repartition(gap) => self.begin_roll(*gap, |_| Layout(2)),
            Fault::Cold => {
                for upstream in self.upstreams.iter_mut().step_by(3) {
                    upstream.cold = model::COLD_REQUESTS;
                }
                let restarted: Vec<_> =
                    self.upstreams.iter().step_by(3).map(|u| u.node.id).collect();
                for vm in 0..self.vms.len() {
                    for id in &restarted {
                        self.input(vm, Input::Restarted(*id));
                    }
                }
            }
            Fault::Draining => self.upstreams[0].draining = true,
            Fault::Mangled => self.mangled = true,
            Fault::Kill => self.kill(1),
            Fault::Pause(time) => {
                self.vms[1].is_paused = true;
                self.at(self.now + *time, Event::Resume(1));
                if *time > DETECTION {
                    self.at(self.now + DETECTION, Event::Directory);
                }
            }
            Fault::Replace(vm, time) => {
                self.vms[*vm].leaving = true;
                self.input(*vm, Input::Drain);
                self.spread_directory();
                self.at(self.now + *time, Event::Restart(*vm));
            }
            Fault::Partition(time) => {
                let own = self.vms[0].place.domain;
                let domains: BTreeSet<Domain> =
                    self.upstreams.iter().map(|u| u.node.place.domain).collect();
                for other in domains.into_iter().filter(|d| *d != own) {
                    self.cut.insert((own, other));
                    self.cut.insert((other, own));
                }
                self.at(self.now + DETECTION, Event::Directory);
                self.at(self.now + *time, Event::Rejoin);
            }
        }
    }

    pub(crate) fn slow(&mut self, slow: impl Fn(usize, &Upstream) -> bool) {
        for index in 0..self.upstreams.len() {
            let is = slow(index, &self.upstreams[index]);
            self.upstreams[index].factor = if is { SLOWER } else { 1.0 };
        }
        let slow = self.upstreams.iter().filter(|u| u.factor > 1.0).map(|u| u.node.id);
        self.truth.set(slow);
    }

    pub(crate) fn turn(&mut self) {
        let count = (self.upstreams.len() as f64 * STRAGGLERS).round() as usize;
        let mut order: Vec<usize> = (0..self.upstreams.len()).collect();
        order.shuffle(&mut self.arrivals);
        let chosen: BTreeSet<usize> = order.into_iter().take(count).collect();
        self.slow(|index, _| chosen.contains(&index));
        self.at(self.now + TURN, Event::Turn);
    }

    /// Breaks the first `count` replicas of every shard.
    pub(crate) fn break_replicas(&mut self, count: usize) {
        let broken: BTreeSet<u32> = self
            .catalog
            .services
            .values()
            .flat_map(|s| s.layouts.iter().flat_map(|l| &l.shards))
            .flat_map(|replicas| {
                // Where replicas of different shards overlap, breaking one of each shard must not
                // break all of another: every third upstream stands for one of three replicas.
                replicas.iter().filter(|u| (u.0 as usize) % 3 < count).map(|u| u.0)
            })
            .collect();
        for upstream in &mut self.upstreams {
            upstream.broken = broken.contains(&upstream.node.id.0);
        }
        let now_broken = self.upstreams.iter().filter(|u| u.broken).map(|u| u.node.id);
        self.truth.set(now_broken);
    }

    pub(crate) fn begin_roll(&mut self, gap: Millis, layout: impl Fn(Layout) -> Layout) {
        let old = Snapshot { version: 1, layout: Layout(1) };
        let new = Snapshot { version: 2, layout: layout(old.layout) };
        for entry in self.catalog.services.values_mut() {
            entry.snapshots = vec![new, old];
        }
        for vm in 0..self.vms.len() {
            let catalog = Arc::new(self.catalog_for(vm));
            self.input(vm, Input::Catalog(catalog));
        }
        self.at(self.now + gap, Event::Roll { step: 0, new, gap });
    }

    /// Steps 0 to 2 bring the new snapshot to one replica in three, 3 to 5 take the old one away.
    pub(crate) fn roll(&mut self, step: usize, new: Snapshot, gap: Millis) {
        const STEPS: usize = 6;
        for upstream in self.upstreams.iter_mut().skip(step % 3).step_by(3) {
            if step < 3 {
                upstream.held.insert(0, new);
            } else {
                upstream.held.truncate(1);
            }
        }
        if step + 1 < STEPS {
            self.at(self.now + gap, Event::Roll { step: step + 1, new, gap });
        }
    }

    pub(crate) fn kill(&mut self, vm: usize) {
        self.vms[vm].up = false;
        self.waiting.retain(|(owner, _), _| *owner != vm);
        for other in (0..self.vms.len()).filter(|o| *o != vm) {
            self.after(RESET.as_f64(), Event::Lost { at: other, vm });
        }
        self.at(self.now + DETECTION, Event::Directory);
    }

    pub(crate) fn resume(&mut self, vm: usize) {
        self.vms[vm].is_paused = false;
        let late = std::mem::take(&mut self.vms[vm].paused);
        if !self.vms[vm].up {
            return;
        }
        self.input(vm, Input::Paused);
        for event in late {
            self.handle(event);
        }
        self.spread_directory();
    }

    /// Ends a VM, with what it still had, and starts it anew.
    pub(crate) fn restart(&mut self, vm: usize) {
        let life = self.vms[vm].life + 1;
        self.vms[vm] = self.make_vm(vm, life);
        for other in (0..self.vms.len()).filter(|o| *o != vm) {
            self.after(RESET.as_f64(), Event::Lost { at: other, vm });
        }
        self.introduce(vm);
        self.after(RESET.as_f64(), Event::Tick(vm, life));
        self.spread_directory();
    }

    /// Tells all running VMs who lives, as membership would.
    pub(crate) fn spread_directory(&mut self) {
        for vm in 0..self.vms.len() {
            if self.vms[vm].up && !self.vms[vm].is_paused {
                let mut directory = self.directory(vm);
                for state in self.vms.iter().filter(|v| v.is_paused) {
                    directory.members.remove(&state.vm);
                }
                self.input(vm, Input::Directory(Arc::new(directory)));
            }
        }
    }
}
