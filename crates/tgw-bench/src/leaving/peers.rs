use super::{
    FaultKind,
    actions::{CROSS_REGION_DELAY_MS, SAME_REGION_DELAY_MS},
    simulation::{Scheduled, Simulation, address, index},
    view::Update,
};
use rand::Rng;
use std::net::SocketAddr;
use tgw_clock::Millis;
use tgw_member::{Action, Event};

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
        let to = index(to);
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
        let state = &mut self.vms[vm];
        if state.request_sent_at == Some(asked_at) {
            state.request_sent_at = None;
        }
        if let Some(update) = update {
            state.view.apply_update(self.now, update);
            self.announce(vm);
        }
    }
}
