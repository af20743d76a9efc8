//! What VMs tell one another over TCP: records, and the state that this VM or another lacks.

use crate::{note, peers::Peers, quarantine};
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tgw_clock::Millis;
use tgw_member::Event;
use tgw_quarantine::message::News as Told;
use tgw_spread::{
    Applied, Message,
    message::{News, Versions},
    start, upstreams,
};
use tgw_wire::{FRAME_LIMIT, LENGTH};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Time for one exchange with a peer.
const EXCHANGE: Duration = Duration::from_millis(1_500);
/// Time in ms after which another peer is asked though one has not answered yet: it may be paused, or its link
/// full.
const PATIENCE: Millis = Millis::new(300);
/// Pause after a failed accept.
const PAUSE: Duration = Duration::from_millis(50);
/// VMs that are told the whole state at once. 690 upstreams are 46 KB by their encoding, 18 ms on a link of 20 Mbit/s, and the configuration comes beside: a
/// start of 295 VMs at three seeds would else take seconds, and those told first could tell others meanwhile.
const TOLD_AT_ONCE: u32 = 4;
/// VMs told last that others are sent to.
const REFERRED: usize = 8;

/// Who is told the state, and who tells it.
#[derive(Default)]
pub(crate) struct Tell {
    /// Since when a peer is being asked for what is newer there.
    asking: Cell<Option<Millis>>,
    telling: Cell<u32>,
    /// VMs that were told the whole state last.
    told: RefCell<VecDeque<SocketAddr>>,
}

/// Counts a VM that is being told the whole state.
struct Telling<'a>(&'a Cell<u32>);

impl<'a> Telling<'a> {
    /// `None` if as many are told as may be.
    fn begin(count: &'a Cell<u32>) -> Option<Self> {
        let free = count.get() < TOLD_AT_ONCE;
        free.then(|| {
            count.set(count.get() + 1);
            Self(count)
        })
    }
}

impl Drop for Telling<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Peers {
    /// Asks a peer for what is newer there.
    pub(crate) fn ask(self: &Rc<Self>, addr: SocketAddr, there: Versions) {
        let held = self.versions();
        let now = self.shared.now();
        // Each packet of a peer that is further says so again; one question at a time is enough.
        let waits = self.tell.asking.get().is_some_and(|at| now - at < PATIENCE);
        if !there.is_beyond(held) || waits {
            return;
        }
        self.tell.asking.set(Some(now));
        let peers = self.clone();
        tokio::task::spawn_local(async move {
            let message = Message::Ask { held, listens: peers.addr() };
            let answer = peers.exchange(addr, &message, true).await;
            if peers.tell.asking.get() == Some(now) {
                peers.tell.asking.set(None);
            }
            peers.answered(addr, answer);
        });
    }

    fn answered(self: &Rc<Self>, from: SocketAddr, answer: anyhow::Result<Option<Message>>) {
        match answer {
            Ok(Some(Message::News(news))) => {
                self.on_start(start::Event::Answered);
                self.learn(from, *news);
            }
            Ok(Some(Message::Busy(others))) => self.on_start(start::Event::Busy(&others)),
            Ok(_) => tracing::warn!(%from, "a peer answered something else"),
            Err(error) => {
                tracing::debug!(%error, %from, "peer not asked");
                self.on_start(start::Event::Answered);
            }
        }
    }

    fn learn(&self, from: SocketAddr, news: News) {
        if !news.held.is_empty() {
            quarantine::hear(&self.shared, from, &Told { ends: vec![], holds: news.held });
        }
        let config = news.config.and_then(|c| self.shared.world.borrow_mut().apply(c));
        if let Some(config) = config {
            self.shared.adopt(&config, "peer");
        }
        self.shared.evacuations_asked.set(true);
        // Before the upstreams: those of an evacuated domain are never free to be sent to.
        if let Some(news) = news.evacuations {
            let newer = self.shared.world.borrow_mut().evacuations.told(news);
            if newer {
                self.shared.evacuate("peer");
            }
        }
        if let Some(news) = news.upstreams {
            self.learn_upstreams(from, news);
            note::doubts(&self.shared);
        }
        self.shared.note_held();
        self.shared.news.notify_one();
    }

    fn learn_upstreams(&self, from: SocketAddr, news: upstreams::News) {
        let whole = news.delta.from.is_none();
        // What a copy of the store named may have left since: only what is told now stays.
        let copied = whole && self.shared.stale.replace(false);
        let now = self.shared.now();
        let mut core = self.shared.core.borrow_mut();
        let mut world = self.shared.world.borrow_mut();
        let Applied { changed, removed } = world.upstreams.told(now, news, copied, &mut core.fleet);
        for id in &removed {
            tracing::info!(upstream = &**id, %from, "upstream removed");
        }
        if whole {
            // One line in place of hundreds that say what a line of the store's list says in one.
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
                sleep(PAUSE).await;
                continue;
            };
            let peers = self.clone();
            tokio::task::spawn_local(async move {
                match timeout(EXCHANGE, peers.answer(stream)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => tracing::debug!(%error, %from, "peer not answered"),
                    Err(_) => tracing::debug!(%from, "a peer asked too slowly"),
                }
            });
        }
    }

    async fn answer(self: &Rc<Self>, mut stream: TcpStream) -> anyhow::Result<()> {
        match self.read(&mut stream).await? {
            Message::Records(records) => self.on(Event::Records(records)),
            Message::Ask { held, listens } if held.upstreams == 0 => {
                let Some(_telling) = Telling::begin(&self.tell.telling) else {
                    let others = self.tell.told.borrow().iter().copied().collect();
                    return self.write(&mut stream, &Message::Busy(others)).await;
                };
                self.news(&mut stream, held).await?;
                let mut told = self.tell.told.borrow_mut();
                told.push_back(listens);
                let excess = told.len().saturating_sub(REFERRED);
                told.drain(..excess);
            }
            Message::Ask { held, .. } => self.news(&mut stream, held).await?,
            Message::News(_) | Message::Busy(_) => {
                anyhow::bail!("an answer that nobody asked for")
            }
        }
        Ok(())
    }

    async fn news(&self, stream: &mut TcpStream, held: Versions) -> anyhow::Result<()> {
        let news = {
            let world = self.shared.world.borrow();
            let now = self.shared.now();
            // A VM that starts serves from then on: what ends upstreams must be known to it by then, and a packet
            // beside this answer may be lost.
            let starts = held.upstreams == 0;
            let holds = starts.then(|| self.shared.core.borrow().quarantine.holds_all(now));
            News {
                config: world.since(held.config),
                upstreams: world.upstreams.since(now, held.upstreams),
                evacuations: world.evacuations.since(held.evacuations),
                held: holds.unwrap_or_default(),
            }
        };
        self.write(stream, &Message::News(Box::new(news))).await
    }

    /// Sends a message to a peer, and waits for its answer if there is one.
    pub(crate) async fn exchange(
        &self,
        to: SocketAddr,
        message: &Message,
        answered: bool,
    ) -> anyhow::Result<Option<Message>> {
        let exchange = async {
            let mut stream = TcpStream::connect(to).await?;
            self.write(&mut stream, message).await?;
            if !answered {
                return Ok(None);
            }
            self.read(&mut stream).await.map(Some)
        };
        timeout(EXCHANGE, exchange).await?
    }

    async fn write(&self, stream: &mut TcpStream, message: &Message) -> anyhow::Result<()> {
        let frame = tgw_wire::seal(self.shared.packets.keys(), message)?;
        let mut bytes = u32::try_from(frame.len())?.to_le_bytes().to_vec();
        bytes.extend(frame);
        stream.write_all(&bytes).await?;
        Ok(())
    }

    async fn read(&self, stream: &mut TcpStream) -> anyhow::Result<Message> {
        let mut length = [0; LENGTH];
        stream.read_exact(&mut length).await?;
        let length = u32::from_le_bytes(length) as usize;
        anyhow::ensure!(length <= FRAME_LIMIT, "a frame of {length} bytes");
        let mut frame = Vec::new();
        // Read as it comes: a length alone must not make this VM set memory aside.
        stream.take(length as u64).read_to_end(&mut frame).await?;
        Ok(tgw_wire::open(self.shared.packets.keys(), &frame)?)
    }
}
