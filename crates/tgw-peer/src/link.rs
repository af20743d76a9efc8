use crate::{
    frame::Frame,
    network::{Network, Reachability},
};
use std::{collections::VecDeque, net::SocketAddr, rc::Rc, sync::Arc};
use tgw_clock::Millis;
use tgw_wire::{Keys, LENGTH_PREFIX_BYTES, MAX_FRAME_BYTES};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    sync::mpsc,
    time::{Instant, sleep, sleep_until, timeout},
};

/// Frames queued for one link; a full queue means that the other VM does not keep up.
const MAX_QUEUED_FRAMES: usize = 4096;
const CONNECT_TIMEOUT_MS: Millis = Millis::new(1000);
/// Time for the other VM to accept a write; a frozen VM accepts none.
const WRITE_TIMEOUT_MS: Millis = Millis::new(5000);

/// An encoded frame and the time from which it may be sent.
type Delayed = (Instant, Vec<u8>);

/// The sending side of a link.
#[derive(Clone)]
pub(crate) struct Link(mpsc::Sender<Delayed>);

/// Why a frame was not queued.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// The link's queue is full.
    Full,
    /// The link is closed.
    Closed,
}

impl Link {
    /// Opens a link to `addr`; `on_close` is called once when it ends.
    pub(crate) fn open(
        addr: SocketAddr,
        network: Arc<dyn Network>,
        on_close: impl FnOnce() + 'static,
    ) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        tokio::task::spawn_local(async move {
            write_frames(addr, network, receiver).await;
            on_close();
        });
        Self(sender)
    }

    pub(crate) fn send(&self, delay: Millis, frame: Vec<u8>) -> Result<(), SendError> {
        let due = Instant::now() + delay.into();
        self.0.try_send((due, frame)).map_err(|e| match e {
            mpsc::error::TrySendError::Full(_) => SendError::Full,
            mpsc::error::TrySendError::Closed(_) => SendError::Closed,
        })
    }
}

async fn write_frames(
    addr: SocketAddr,
    network: Arc<dyn Network>,
    mut frames: mpsc::Receiver<Delayed>,
) {
    if network.reachability(addr) == Reachability::Unreachable {
        return;
    }
    let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT_MS.into(), TcpStream::connect(addr)).await
    else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut batch = Vec::new();
    let mut delayed: VecDeque<Delayed> = VecDeque::new();
    loop {
        if delayed.is_empty() {
            match frames.recv().await {
                Some(due) => delayed.push_back(due),
                None => return,
            }
        }
        while let Ok(due) = frames.try_recv() {
            delayed.push_back(due);
        }
        if let Some((due, _)) = delayed.front() {
            sleep_until(*due).await;
        }
        if network.reachability(addr) == Reachability::Unreachable {
            return;
        }
        batch.clear();
        let now = Instant::now();
        while delayed.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, frame)) = delayed.pop_front() {
                batch.extend_from_slice(&(frame.len() as u32).to_le_bytes());
                batch.extend_from_slice(&frame);
            }
        }
        match timeout(WRITE_TIMEOUT_MS.into(), stream.write_all(&batch)).await {
            Ok(Ok(())) => {}
            _ => return,
        }
    }
}

/// Reads the frames of one accepted connection until it ends or sends an invalid frame.
pub(crate) async fn read_frames(
    stream: TcpStream,
    keys: Rc<Keys>,
    deliver: impl Fn(Frame) -> Result<(), Frame>,
) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::with_capacity(1 << 16, stream);
    let mut bytes = Vec::new();
    loop {
        let mut length = [0; LENGTH_PREFIX_BYTES];
        if stream.read_exact(&mut length).await.is_err() {
            return;
        }
        let length = u32::from_le_bytes(length) as usize;
        if length > MAX_FRAME_BYTES {
            tracing::warn!(target: "tgw::peer", length, "frame exceeds size limit, link closed");
            return;
        }
        bytes.resize(length, 0);
        if stream.read_exact(&mut bytes).await.is_err() {
            return;
        }
        match tgw_wire::decode(&keys, &bytes) {
            Ok(frame) => {
                let mut delivered = deliver(frame);
                while let Err(frame) = delivered {
                    // The core does not keep up. While reading stops, frames wait in the sender's
                    // queue, and the sender rejects more once that is full.
                    sleep(Millis::new(1).into()).await;
                    delivered = deliver(frame);
                }
            }
            Err(error) => {
                tracing::warn!(target: "tgw::peer", %error, "frame invalid, link closed");
                return;
            }
        }
    }
}
