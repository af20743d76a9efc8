use crate::{peers::Peers, shared::Shared};
use rand::seq::IndexedRandom;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};
use tgw_clock::Millis;
use tgw_spread::{
    agreement::{COMPARE_INTERVAL_MS, Comparison, Digest, Digests, Reread},
    message::Datagram,
};
use tokio::sync::Notify;

/// Comparison of this VM's lists with those of other VMs.
#[derive(Default)]
pub(crate) struct Agreement {
    next_comparison: Cell<Millis>,
    pub(crate) upstreams: Compared,
    pub(crate) evacuations: Compared,
}

/// One list that is compared.
#[derive(Default)]
pub(crate) struct Compared {
    reread: RefCell<Reread>,
    /// Notified when the list is to be read from the store again.
    pub(crate) reread_due: Notify,
}

impl Compared {
    /// When another VM last held the same list; zero if none did.
    pub(crate) fn agreed_at(&self) -> Millis {
        self.reread.borrow().agreed_at()
    }

    /// Records another VM's digest; returns whether the lists differ.
    fn compare(
        &self,
        now: Millis,
        kind: &str,
        from: SocketAddr,
        own: Digest,
        other: Digest,
    ) -> bool {
        let comparison = own.compare(other);
        if self.reread.borrow_mut().record(now, comparison) {
            tracing::warn!(kind, %from, version = own.version, "lists of one version differ");
            self.reread_due.notify_one();
        }
        comparison == Comparison::Different
    }
}

impl Peers {
    /// Sends the digests of this VM's lists to another VM, if that is due.
    pub(crate) fn compare_lists(&self) {
        let now = self.shared.now();
        let next = &self.shared.agreement.next_comparison;
        if now < next.get() {
            return;
        }
        next.set(now + COMPARE_INTERVAL_MS);
        if let Some(to) = self.all_peers.borrow().choose(&mut rand::rng()) {
            self.send_digests(*to, false);
        }
    }

    fn send_digests(&self, to: SocketAddr, is_reply: bool) {
        let digests = self.shared.world.borrow().digests();
        self.shared.packets.send(to, &Datagram::Digests { digests, is_reply });
    }

    /// Compares another VM's lists with those of this VM. The other VM learns of a difference, too,
    /// as either may be wrong.
    pub(crate) fn on_digests(&self, from: SocketAddr, other: Digests, is_reply: bool) {
        let Shared { agreement, codec, world, .. } = &*self.shared;
        let (now, kinds) = (self.shared.now(), codec.kinds());
        let own = world.borrow().digests();
        let differs = [
            (&agreement.upstreams, &kinds.upstreams, own.upstreams, other.upstreams),
            (&agreement.evacuations, &kinds.evacuations, own.evacuations, other.evacuations),
        ]
        .map(|(list, kind, own, other)| list.compare(now, kind, from, own, other));
        if !is_reply && differs.contains(&true) {
            self.send_digests(from, true);
        }
    }
}
