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

/// Interval at which the stragglers change.
const STRAGGLER_INTERVAL_MS: Millis = Millis::new(300);
/// The share of the upstreams that straggle, and the factor by which they are slower.
const STRAGGLER_RATIO: f64 = 0.05;
const SLOWDOWN_FACTOR: f64 = 10.0;
/// Time until a broken connection is noticed.
pub(crate) const RESET_DELAY_MS: Millis = Millis::new(1);
/// Time until membership declares a VM dead; the membership tests allow 3 s.
pub(crate) const FAILURE_DETECTION_MS: Millis = Millis::new(2000);

impl Sim {
    pub(crate) fn inject(&mut self, fault: &Fault) {
        match fault {
            Fault::Stragglers => {
                self.set_slow(|index, _| index % (1.0 / STRAGGLER_RATIO) as usize == 0);
            }
            Fault::StragglersInTurn => self.move_stragglers(),
            Fault::ReplicaLost => self.break_replicas(1),
            Fault::HalfReplicasLost(time) => {
                self.break_replicas(2);
                self.schedule(self.now + *time, Event::RepairUpstreams);
            }
            Fault::VersionRollout(gap) => self.begin_rollout(*gap, |layout| layout),
            Fault::Repartition(gap) => self.begin_rollout(*gap, |_| Layout(2)),
            Fault::ColdRestart => {
                for upstream in self.upstreams.iter_mut().step_by(3) {
                    upstream.cold_requests_left = model::COLD_REQUESTS;
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
            Fault::Mangled => self.mangles_replies = true,
            Fault::KillVm => self.kill(1),
            Fault::PauseVm(time) => {
                self.vms[1].is_paused = true;
                self.schedule(self.now + *time, Event::Resume(1));
                if *time > FAILURE_DETECTION_MS {
                    self.schedule(self.now + FAILURE_DETECTION_MS, Event::Directory);
                }
            }
            Fault::ReplaceVm(vm, time) => {
                self.vms[*vm].leaving = true;
                self.input(*vm, Input::Drain);
                self.broadcast_directory();
                self.schedule(self.now + *time, Event::Restart(*vm));
            }
            Fault::Partition(time) => {
                let own = self.vms[0].place.domain;
                let domains: BTreeSet<Domain> =
                    self.upstreams.iter().map(|u| u.node.place.domain).collect();
                for other in domains.into_iter().filter(|d| *d != own) {
                    self.partitioned.insert((own, other));
                    self.partitioned.insert((other, own));
                }
                self.schedule(self.now + FAILURE_DETECTION_MS, Event::Directory);
                self.schedule(self.now + *time, Event::HealPartition);
            }
        }
    }

    pub(crate) fn set_slow(&mut self, slow: impl Fn(usize, &Upstream) -> bool) {
        for index in 0..self.upstreams.len() {
            let is = slow(index, &self.upstreams[index]);
            self.upstreams[index].slowdown = if is { SLOWDOWN_FACTOR } else { 1.0 };
        }
        let slow = self.upstreams.iter().filter(|u| u.slowdown > 1.0).map(|u| u.node.id);
        self.slow_upstreams.set(slow);
    }

    pub(crate) fn move_stragglers(&mut self) {
        let count = (self.upstreams.len() as f64 * STRAGGLER_RATIO).round() as usize;
        let mut order: Vec<usize> = (0..self.upstreams.len()).collect();
        order.shuffle(&mut self.arrivals);
        let chosen: BTreeSet<usize> = order.into_iter().take(count).collect();
        self.set_slow(|index, _| chosen.contains(&index));
        self.schedule(self.now + STRAGGLER_INTERVAL_MS, Event::MoveStragglers);
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
        self.slow_upstreams.set(now_broken);
    }

    pub(crate) fn begin_rollout(&mut self, gap: Millis, layout: impl Fn(Layout) -> Layout) {
        let old = Snapshot { version: 1, layout: Layout(1) };
        let new = Snapshot { version: 2, layout: layout(old.layout) };
        for entry in self.catalog.services.values_mut() {
            entry.snapshots = vec![new, old];
        }
        for vm in 0..self.vms.len() {
            let catalog = Arc::new(self.catalog_for(vm));
            self.input(vm, Input::Catalog(catalog));
        }
        self.schedule(self.now + gap, Event::RolloutStep { step: 0, new, gap });
    }

    /// Steps 0 to 2 add the new snapshot to a third of the upstreams each, steps 3 to 5 remove the
    /// old one.
    pub(crate) fn apply_rollout_step(&mut self, step: usize, new: Snapshot, gap: Millis) {
        const STEPS: usize = 6;
        for upstream in self.upstreams.iter_mut().skip(step % 3).step_by(3) {
            if step < 3 {
                upstream.held.insert(0, new);
            } else {
                upstream.held.truncate(1);
            }
        }
        if step + 1 < STEPS {
            self.schedule(self.now + gap, Event::RolloutStep { step: step + 1, new, gap });
        }
    }

    pub(crate) fn kill(&mut self, vm: usize) {
        self.vms[vm].is_up = false;
        self.pending.retain(|(owner, _), _| *owner != vm);
        for other in (0..self.vms.len()).filter(|o| *o != vm) {
            self.schedule_after(RESET_DELAY_MS.as_f64(), Event::ConnectionLost { at: other, vm });
        }
        self.schedule(self.now + FAILURE_DETECTION_MS, Event::Directory);
    }

    pub(crate) fn resume(&mut self, vm: usize) {
        self.vms[vm].is_paused = false;
        let deferred = std::mem::take(&mut self.vms[vm].deferred);
        if !self.vms[vm].is_up {
            return;
        }
        self.input(vm, Input::Paused);
        for event in deferred {
            self.handle(event);
        }
        self.broadcast_directory();
    }

    /// Restarts a VM, which loses all its state.
    pub(crate) fn restart(&mut self, vm: usize) {
        let generation = self.vms[vm].generation + 1;
        self.vms[vm] = self.make_vm(vm, generation);
        for other in (0..self.vms.len()).filter(|o| *o != vm) {
            self.schedule_after(RESET_DELAY_MS.as_f64(), Event::ConnectionLost { at: other, vm });
        }
        self.send_initial_state(vm);
        self.schedule_after(RESET_DELAY_MS.as_f64(), Event::Tick(vm, generation));
        self.broadcast_directory();
    }

    /// Sends the current directory to all running VMs, as membership would.
    pub(crate) fn broadcast_directory(&mut self) {
        for vm in 0..self.vms.len() {
            if self.vms[vm].is_up && !self.vms[vm].is_paused {
                let mut directory = self.directory(vm);
                for state in self.vms.iter().filter(|v| v.is_paused) {
                    directory.members.remove(&state.vm);
                }
                self.input(vm, Input::Directory(Arc::new(directory)));
            }
        }
    }
}
