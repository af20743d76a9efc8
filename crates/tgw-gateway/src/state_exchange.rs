//! State exchanged between VMs over TCP: membership records, and the state that this VM or a peer
//! is missing.

use crate::{peers::Peers, quarantine, telemetry};
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tgw_clock::Millis;
use tgw_member::Event;
use tgw_spread::{
    Applied, Message,
    message::{Update, Versions},
    start, upstreams,
};
use tgw_wire::{LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Timeout of one exchange with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which another peer is asked although the previous one has not answered: that one may
/// be paused, or its link saturated.
const REPLY_TIMEOUT_MS: Millis = Millis::new(300);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Most VMs that are sent the full state at once. 690 upstreams take 46 KB encoded, 18 ms on a link
/// of 20 Mbit/s, and the configuration is added to that. Without the limit, a start of 295 VMs with
/// three seeds would take seconds, while the first VMs to receive the state could already send it
/// to others.
const MAX_TRANSFERS: u32 = 4;
/// Most recent receivers of the state that a busy VM names to others.
const MAX_REFERRALS: usize = 8;

/// Transfers of state from and to this VM.
#[derive(Default)]
pub(crate) struct Transfers {
    /// Time at which a peer was asked for newer state; `None` if no request is pending.
    requested_at: Cell<Option<Millis>>,
    running: Cell<u32>,
    /// VMs that received the full state most recently.
    recent_receivers: RefCell<VecDeque<SocketAddr>>,
}

/// Counts one transfer of the full state until it is dropped.
struct Transfer<'a>(&'a Cell<u32>);

impl<'a> Transfer<'a> {
    /// Starts a transfer; `None` if the limit is reached.
    fn begin(count: &'a Cell<u32>) -> Option<Self> {
        let free = count.get() < MAX_TRANSFERS;
        free.then(|| {
            count.set(count.get() + 1);
            Self(count)
        })
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Peers {
    /// Requests newer state from a peer.
    pub(crate) fn request_state(self: &Rc<Self>, addr: SocketAddr, held_by_peer: Versions) {
        let versions = self.versions();
        let now = self.shared.now();
        // Every packet of a peer with newer state reports its versions again; one request at a time
        // is enough.
        let pending =
            self.transfers.requested_at.get().is_some_and(|at| now - at < REPLY_TIMEOUT_MS);
        if !held_by_peer.is_ahead_of(versions) || pending {
            return;
        }
        self.transfers.requested_at.set(Some(now));
        let peers = self.clone();
        tokio::task::spawn_local(async move {
            let message = Message::Ask { versions, listen_addr: peers.addr() };
            let reply = peers.exchange(addr, &message, true).await;
            if peers.transfers.requested_at.get() == Some(now) {
                peers.transfers.requested_at.set(None);
            }
            peers.on_reply(addr, reply);
        });
    }

    fn on_reply(self: &Rc<Self>, from: SocketAddr, reply: anyhow::Result<Option<Message>>) {
        match reply {
            Ok(Some(Message::Update(update))) => {
                self.on_start_event(start::Event::StateReply);
                self.apply_update(from, *update);
            }
            Ok(Some(Message::Busy(others))) => self.on_start_event(start::Event::Busy(&others)),
            Ok(_) => tracing::warn!(%from, "unexpected reply from a peer"),
            Err(error) => {
                tracing::debug!(%error, %from, "state request to a peer failed");
                self.on_start_event(start::Event::StateReply);
            }
        }
    }

    fn apply_update(&self, from: SocketAddr, update: Update) {
        quarantine::restore(&self.shared, Millis::ZERO, &update.quarantine, &from.to_string());
        let mut world = self.shared.world.borrow_mut();
        let changed = update.config.is_some_and(|c| world.configuration.apply_update(c));
        let document = changed.then(|| world.configuration.document());
        drop(world);
        if let Some(document) = document {
            self.shared.apply_config(&document, "peer");
        }
        self.shared.evacuations_checked.set(true);
        // Applied before the upstreams, so that upstreams of an evacuated domain are never
        // available for sends.
        if let Some(update) = update.evacuations {
            let newer = self.shared.world.borrow_mut().evacuations.apply_update(update);
            if newer {
                self.shared.apply_evacuations("peer");
            }
        }
        if let Some(update) = update.upstreams {
            self.apply_upstreams(from, update);
            telemetry::upstream_changes(&self.shared);
        }
        self.shared.record_versions();
        self.shared.update_ready.notify_one();
    }

    fn apply_upstreams(&self, from: SocketAddr, update: upstreams::Update) {
        let full = update.delta.from.is_none();
        // Upstreams from a copy of the store may have left since: only those in this update are
        // kept.
        let was_stale = full && self.shared.upstreams_stale.replace(false);
        let now = self.shared.now();
        let mut core = self.shared.core.borrow_mut();
        let mut world = self.shared.world.borrow_mut();
        let Applied { changed, removed } =
            world.upstreams.apply_update(now, update, was_stale, &mut core.fleet);
        for id in &removed {
            tracing::info!(upstream = &**id, %from, "upstream removed");
        }
        if full {
            // One line for the whole list, as after a list from the store, instead of hundreds.
            tracing::info!(upstreams = changed.len(), removed = removed.len(), %from,
                "upstreams told by a peer");
            return;
        }
        for entry in changed {
            tracing::info!(upstream = &*entry.id, service = &*entry.service, addr = %entry.addr,
                draining = entry.draining, %from, "upstream changed");
        }
    }

    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let peers = self.clone();
            tokio::task::spawn_local(async move {
                match timeout(EXCHANGE_TIMEOUT, peers.serve_peer(stream)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => tracing::debug!(%error, %from, "exchange with a peer failed"),
                    Err(_) => tracing::debug!(%from, "exchange with a peer timed out"),
                }
            });
        }
    }

    async fn serve_peer(self: &Rc<Self>, mut stream: TcpStream) -> anyhow::Result<()> {
        match self.read_message(&mut stream).await? {
            Message::Records(records) => self.on_member_event(Event::Records(records)),
            Message::Ask { versions, listen_addr } if versions.upstreams == 0 => {
                let Some(_transfer) = Transfer::begin(&self.transfers.running) else {
                    let others = self.transfers.recent_receivers.borrow().iter().copied().collect();
                    return self.write_message(&mut stream, &Message::Busy(others)).await;
                };
                self.send_state(&mut stream, versions).await?;
                let mut recent_receivers = self.transfers.recent_receivers.borrow_mut();
                recent_receivers.push_back(listen_addr);
                let surplus = recent_receivers.len().saturating_sub(MAX_REFERRALS);
                recent_receivers.drain(..surplus);
            }
            Message::Ask { versions, .. } => self.send_state(&mut stream, versions).await?,
            Message::Update(_) | Message::Busy(_) => {
                anyhow::bail!("reply without a request")
            }
        }
        Ok(())
    }

    async fn send_state(&self, stream: &mut TcpStream, versions: Versions) -> anyhow::Result<()> {
        let update = {
            let world = self.shared.world.borrow();
            let now = self.shared.now();
            // A starting VM serves as soon as it has this reply, so it must know the quarantined
            // requests and all suspects by then; a separate packet could be lost.
            let starting = versions.upstreams == 0;
            let quarantine = starting.then(|| self.shared.core.borrow().quarantine.snapshot(now));
            Update {
                config: world.configuration.update_since(versions.config),
                upstreams: world.upstreams.update_since(now, versions.upstreams),
                evacuations: world.evacuations.update_since(versions.evacuations),
                quarantine: quarantine.unwrap_or_default(),
            }
        };
        self.write_message(stream, &Message::Update(Box::new(update))).await
    }

    /// Sends a message to a peer, and waits for the reply if one is expected.
    pub(crate) async fn exchange(
        &self,
        to: SocketAddr,
        message: &Message,
        has_reply: bool,
    ) -> anyhow::Result<Option<Message>> {
        let exchange = async {
            let mut stream = TcpStream::connect(to).await?;
            self.write_message(&mut stream, message).await?;
            if !has_reply {
                return Ok(None);
            }
            self.read_message(&mut stream).await.map(Some)
        };
        timeout(EXCHANGE_TIMEOUT, exchange).await?
    }

    async fn write_message(&self, stream: &mut TcpStream, message: &Message) -> anyhow::Result<()> {
        let frame = tgw_wire::encode(self.shared.packets.keys(), message)?;
        let mut bytes = u32::try_from(frame.len())?.to_le_bytes().to_vec();
        bytes.extend(frame);
        stream.write_all(&bytes).await?;
        Ok(())
    }

    async fn read_message(&self, stream: &mut TcpStream) -> anyhow::Result<Message> {
        let mut length = [0; LENGTH_PREFIX_BYTES];
        stream.read_exact(&mut length).await?;
        let length = u32::from_le_bytes(length) as usize;
        anyhow::ensure!(
            length <= MAX_FRAME_BYTES,
            "frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
        );
        let mut frame = Vec::new();
        // The buffer grows with the data received: a length field alone must not make this VM
        // allocate memory.
        stream.take(length as u64).read_to_end(&mut frame).await?;
        Ok(tgw_wire::decode(self.shared.packets.keys(), &frame)?)
    }
}
