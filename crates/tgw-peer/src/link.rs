use crate::{
    network::{Network, Way},
    parcel::Letter,
};
use std::{collections::VecDeque, net::SocketAddr, rc::Rc, sync::Arc};
use tgw_clock::Millis;
use tgw_wire::{FRAME_LIMIT, Keys, LENGTH};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    sync::mpsc,
    time::{Instant, sleep, sleep_until, timeout},
};

/// Frames that wait for one link; more than this says that the other VM does not keep up.
const QUEUE: usize = 4096;
const CONNECT: Millis = Millis::new(1000);
/// Time for the other side to take a frame; a frozen VM takes none.
const WRITE: Millis = Millis::new(5000);

/// A frame and when it may leave.
type Due = (Instant, Vec<u8>);

/// The sending end of a link.
#[derive(Clone)]
pub(crate) struct Link(mpsc::Sender<Due>);

/// Why a frame was not queued.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    /// The link's queue is full.
    Full,
    /// The link is closed.
    Closed,
}

impl Link {
    /// Starts a link to `addr`; `closed` is called once when it ends.
    pub(crate) fn open(
        addr: SocketAddr,
        network: Arc<dyn Network>,
        closed: impl FnOnce() + 'static,
    ) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE);
        tokio::task::spawn_local(async move {
            run(addr, network, receiver).await;
            closed();
        });
        Self(sender)
    }

    pub(crate) fn send(&self, delay: Millis, frame: Vec<u8>) -> Result<(), Refused> {
        let due = Instant::now() + delay.into();
        self.0.try_send((due, frame)).map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => Refused::Full,
            mpsc::error::TrySendError::Closed(_) => Refused::Closed,
        })
    }
}

async fn run(addr: SocketAddr, network: Arc<dyn Network>, mut frames: mpsc::Receiver<Due>) {
    if network.way(addr) == Way::Cut {
        return;
    }
    let Ok(Ok(mut stream)) = timeout(CONNECT.into(), TcpStream::connect(addr)).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut batch = Vec::new();
    let mut held: VecDeque<Due> = VecDeque::new();
    loop {
        if held.is_empty() {
            match frames.recv().await {
                Some(due) => held.push_back(due),
                None => return,
            }
        }
        while let Ok(due) = frames.try_recv() {
            held.push_back(due);
        }
        if let Some((due, _)) = held.front() {
            sleep_until(*due).await;
        }
        if network.way(addr) == Way::Cut {
            return;
        }
        batch.clear();
        let now = Instant::now();
        while held.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, frame)) = held.pop_front() {
                batch.extend_from_slice(&(frame.len() as u32).to_le_bytes());
                batch.extend_from_slice(&frame);
            }
        }
        match timeout(WRITE.into(), stream.write_all(&batch)).await {
            Ok(Ok(())) => {}
            _ => return,
        }
    }
}

/// Reads the letters of one accepted connection until it ends or sends what cannot be read.
pub(crate) async fn read(
    stream: TcpStream,
    keys: Rc<Keys>,
    take: impl Fn(Letter) -> Result<(), Letter>,
) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::with_capacity(1 << 16, stream);
    let mut frame = Vec::new();
    loop {
        let mut length = [0; LENGTH];
        if stream.read_exact(&mut length).await.is_err() {
            return;
        }
        let length = u32::from_le_bytes(length) as usize;
        if length > FRAME_LIMIT {
            tracing::warn!(target: "tgw::peer", length, "frame larger than allowed, link closed");
            return;
        }
        frame.resize(length, 0);
        if stream.read_exact(&mut frame).await.is_err() {
            return;
        }
        match tgw_wire::open(&keys, &frame) {
            Ok(letter) => {
                let mut pending = take(letter);
                while let Err(letter) = pending {
                    // The core does not keep up: reading stops, and the sender's queue decides.
                    sleep(Millis::new(1).into()).await;
                    pending = take(letter);
                }
            }
            Err(error) => {
                tracing::warn!(target: "tgw::peer", %error, "frame refused, link closed");
                return;
            }
        }
    }
}
