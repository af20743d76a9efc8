use super::{
    What,
    acting::{FAR, NEAR},
    known::Update,
    world::{Due, World, address, index},
};
use rand::Rng;
use std::net::SocketAddr;
use tgw_clock::Millis;
use tgw_member::{Action, Event};

/// Time for one exchange with a peer, and the time after which another is asked beside, as in the gateway.
const EXCHANGE: Millis = Millis::new(1_500);
const PATIENCE: Millis = Millis::new(300);

/// What VMs say to one another.
impl World {
    pub(super) fn member(&mut self, vm: usize, event: Event) {
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
                Action::Newer { addr, world, evacuations, .. } => {
                    self.ask(vm, addr, world.max(evacuations));
                }
                Action::Paused(gap) => self.vms[vm].known.note(|known| known.exclude_pause(gap)),
                Action::Changed => {}
            }
        }
    }

    pub(super) fn way(&self, from: usize, to: SocketAddr) -> Option<(usize, Millis)> {
        let to = index(to);
        let cut = self.struck.iter().any(|(number, vms)| {
            let cut = self.setup.troubles[*number].what == What::CutOff;
            cut && (vms.contains(&from) != vms.contains(&to))
        });
        let near = self.vms.get(to)?.region == self.vms[from].region;
        (!cut).then_some((to, if near { NEAR } else { FAR }))
    }

    pub(super) fn ask(&mut self, vm: usize, addr: SocketAddr, there: u64) {
        let now = self.now;
        let seat = &mut self.vms[vm];
        let waits = seat.asking.is_some_and(|at| now - at < PATIENCE);
        let version = seat.known.version();
        if there <= version || waits {
            return;
        }
        seat.asking = Some(now);
        self.at(now + EXCHANGE, Due::Unanswered { to: vm, asked: now });
        if let Some((to, way)) = self.way(vm, addr) {
            self.at(now + way + way + way, Due::Ask { to, from: vm, version, asked: now });
        }
    }

    pub(super) fn asked(&mut self, vm: usize, from: usize, version: u64, asked: Millis) {
        let update = self.vms[vm].known.update_since(self.now, version);
        if let Some((to, way)) = self.way(vm, address(from)) {
            self.at(self.now + way, Due::Update { to, asked, update });
        }
    }

    pub(super) fn told(&mut self, vm: usize, asked: Millis, update: Option<Update>) {
        let seat = &mut self.vms[vm];
        if seat.asking == Some(asked) {
            seat.asking = None;
        }
        if let Some(update) = update {
            seat.known.apply_update(self.now, update);
            self.tell(vm);
        }
    }
}
