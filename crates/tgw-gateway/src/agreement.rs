use crate::{peers::Peers, shared::Shared};
use derive_more::Display;
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

/// A hash as log lines show it.
#[derive(Display)]
#[display("{_0:016x}")]
pub(crate) struct Hex(pub(crate) u64);

/// Comparison of this VM's configuration and lists with those of other VMs.
#[derive(Default)]
pub(crate) struct Agreement {
    next_comparison: Cell<Millis>,
    pub(crate) configuration: Compared,
    pub(crate) upstreams: Compared,
    pub(crate) evacuations: Compared,
}

/// The configuration or one list, which is compared.
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

    /// Records another VM's digest; returns how it compares with that of this VM.
    fn compare(
        &self,
        now: Millis,
        kind: &str,
        from: SocketAddr,
        own: Digest,
        other: Digest,
    ) -> Comparison {
        let comparison = own.compare(other);
        if self.reread.borrow_mut().record(now, comparison) {
            tracing::warn!(kind, %from, version = own.version,
                digest = %Hex(own.hash), theirs = %Hex(other.hash), "lists of one version differ");
            self.reread_due.notify_one();
        }
        comparison
    }
}

impl Peers {
    /// Sends the digests of what this VM holds to another VM, if that is due.
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

    /// Compares what another VM holds with what this VM does. The other VM learns of a difference,
    /// too, as either may be wrong.
    pub(crate) fn on_digests(&self, from: SocketAddr, other: Digests, is_reply: bool) {
        let Shared { agreement, codec, metrics, world, .. } = &*self.shared;
        let (now, kinds) = (self.shared.now(), codec.kinds());
        let own = world.borrow().digests();
        let differs = [
            (&agreement.configuration, &kinds.config, own.configuration, other.configuration),
            (&agreement.upstreams, &kinds.upstreams, own.upstreams, other.upstreams),
            (&agreement.evacuations, &kinds.evacuations, own.evacuations, other.evacuations),
        ]
        .map(|(list, kind, own, other)| {
            let comparison = list.compare(now, kind, from, own, other);
            metrics.count_comparison(kind, comparison);
            comparison == Comparison::Different
        });
        if !is_reply && differs.contains(&true) {
            self.send_digests(from, true);
        }
    }
}
