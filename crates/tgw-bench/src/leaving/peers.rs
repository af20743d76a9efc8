use super::{
    FaultKind,
    actions::{CROSS_REGION_DELAY_MS, SAME_REGION_DELAY_MS},
    simulation::{Scheduled, Simulation},
    view::Update,
};
use crate::address::{address, number};
use rand::Rng;
use std::net::SocketAddr;
use tgw_clock::Millis;
use tgw_member::{Action, Event};
use tgw_spread::{
    Upstreams,
    agreement::{COMPARE_INTERVAL_MS, Comparison, Digest},
    store_reads::Step,
};

/// Timeout of an update request to a peer, and the time after which another peer is asked too, as
/// in the gateway.
const EXCHANGE_TIMEOUT_MS: Millis = Millis::new(1_500);
const NEXT_PEER_DELAY_MS: Millis = Millis::new(300);

/// Messages between VMs.
impl Simulation {
    pub(super) fn handle_member_event(&mut self, vm: usize, event: Event) {
        let mut out = Vec::new();
        self.vms[vm].member.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send(to, packet) => {
                    let lost = self.rng.random_bool(self.setup.loss);
                    if let Some((to, delay)) = self.delivery(vm, to).filter(|_| !lost) {
                        let from = self.vms[vm].addr;
                        self.schedule(self.now + delay, Scheduled::Packet { to, from, packet });
                    }
                }
                Action::SendRecords(to, records) => {
                    if let Some((to, delay)) = self.delivery(vm, to) {
                        self.schedule(
                            self.now + delay + delay + delay,
                            Scheduled::Records { to, records },
                        );
                    }
                }
                Action::PeerNewer { addr, catalog_version, evacuations_version, .. } => {
                    self.request_update(vm, addr, catalog_version.max(evacuations_version));
                }
                Action::Paused(gap) => {
                    self.vms[vm].view.with_upstreams(|view| view.exclude_pause(gap));
                }
                Action::DirectoryChanged => {}
            }
        }
    }

    pub(super) fn delivery(&self, from: usize, to: SocketAddr) -> Option<(usize, Millis)> {
        let to = number(to);
        let partitioned = self.affected.iter().any(|(number, vms)| {
            let partitioned = self.setup.faults[*number].kind == FaultKind::Partitioned;
            partitioned && (vms.contains(&from) != vms.contains(&to))
        });
        let near = self.vms.get(to)?.region == self.vms[from].region;
        (!partitioned)
            .then_some((to, if near { SAME_REGION_DELAY_MS } else { CROSS_REGION_DELAY_MS }))
    }

    pub(super) fn request_update(&mut self, vm: usize, addr: SocketAddr, there: u64) {
        let now = self.now;
        let state = &mut self.vms[vm];
        let waits = state.request_sent_at.is_some_and(|at| now - at < NEXT_PEER_DELAY_MS);
        let version = state.view.version();
        if there <= version || waits {
            return;
        }
        state.request_sent_at = Some(now);
        self.schedule(
            now + EXCHANGE_TIMEOUT_MS,
            Scheduled::UpdateTimeout { to: vm, asked_at: now },
        );
        if let Some((to, delay)) = self.delivery(vm, addr) {
            self.schedule(
                now + delay + delay + delay,
                Scheduled::UpdateRequest { to, from: vm, version, asked_at: now },
            );
        }
    }

    pub(super) fn serve_update_request(
        &mut self,
        vm: usize,
        from: usize,
        version: u64,
        asked_at: Millis,
    ) {
        let update = self.vms[vm].view.update_since(self.now, version);
        if let Some((to, delay)) = self.delivery(vm, address(from)) {
            self.schedule(self.now + delay, Scheduled::Update { to, asked_at, update });
        }
    }

    pub(super) fn receive_update(&mut self, vm: usize, asked_at: Millis, update: Option<Update>) {
        let misses = self.misses_leavings(vm);
        let state = &mut self.vms[vm];
        if state.request_sent_at == Some(asked_at) {
            state.request_sent_at = None;
        }
        if let Some(mut update) = update {
            if misses {
                update.drop_leavings();
            }
            state.view.apply_update(self.now, update);
            self.announce(vm);
        }
    }

    /// Whether a VM misses what it is told of the upstreams that leave.
    pub(super) fn misses_leavings(&self, vm: usize) -> bool {
        let missing = |number: &usize| self.setup.faults[*number].kind == FaultKind::Missed;
        self.affected.iter().any(|(number, vms)| missing(number) && vms.contains(&vm))
    }

    /// Sends a VM's digest to another one, chosen at random.
    pub(super) fn compare(&mut self, vm: usize) {
        self.schedule(self.now + COMPARE_INTERVAL_MS, Scheduled::Compare(vm));
        let other = self.compare_rng.random_range(0..self.vms.len());
        if other != vm {
            self.send_digest(vm, other, false);
        }
    }

    fn send_digest(&mut self, from: usize, to: usize, is_reply: bool) {
        let digest = self.vms[from].view.digest();
        let lost = self.compare_rng.random_bool(self.setup.loss);
        if let Some((to, delay)) = self.delivery(from, address(to)).filter(|_| !lost) {
            self.schedule(self.now + delay, Scheduled::Digest { to, from, digest, is_reply });
        }
    }

    /// Compares another VM's digest, as the gateway does.
    pub(super) fn receive_digest(
        &mut self,
        vm: usize,
        from: usize,
        digest: Digest,
        is_reply: bool,
    ) {
        let state = &mut self.vms[vm];
        let comparison = state.view.digest().compare(digest);
        if state.reread.record(self.now, comparison) {
            state.view.with_upstreams(Upstreams::mark_disputed);
            let running = state.call.take();
            self.waiting.retain(|w| Some(w.1) != running.map(|call| call.number));
            self.call(vm, Step::List);
        }
        if comparison == Comparison::Different && !is_reply {
            self.send_digest(vm, from, true);
        }
    }
}
