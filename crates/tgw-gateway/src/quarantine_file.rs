//! The evidence against requests that this VM keeps in a file. A VM that starts is told by others which requests are
//! quarantined; where all VMs were killed at once, nobody else remembers.

use crate::{peers::Peers, quarantine, shared::Shared};
use anyhow::Context;
use serde::{Deserialize, Serialize};
use std::{
    fs::{self, File, OpenOptions},
    io::ErrorKind,
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tgw_clock::Millis;
use tgw_quarantine::message::Update;
use tgw_wire::{Keys, LENGTH_PREFIX_BYTES};
use tokio::{task::spawn_blocking, time::sleep};

/// Interval between checks for evidence that has not been written yet.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// The file has two slots, written by turns: a process that is killed while it writes leaves the other one. Slots are
/// overwritten in place, as a file that is renamed over another waits for the disk, and a process does not end before
/// that: on a disk that other programs kept busy, killed VMs started again after 2 to 8 s.
const SLOTS: u64 = 2;
/// Size of a slot: several times what 1,024 quarantined requests take.
const SLOT_BYTES: usize = 128 << 10;

/// Content of a slot; in a signed frame after its length, as in messages between VMs.
#[derive(Serialize, Deserialize)]
struct Saved {
    /// When it was written, in ms since the Unix epoch.
    at_ms: u64,
    evidence: Update,
}

/// Adopts what an earlier process of this VM kept.
pub(crate) fn restore(shared: &Shared, path: &Path) {
    match read(shared.packets.keys(), path) {
        Ok(Some(Saved { at_ms, evidence })) => {
            let age = Millis::new(unix_time_ms().saturating_sub(at_ms));
            quarantine::restore(shared, age, &evidence, "kept in a file");
        }
        Ok(None) => {}
        Err(error) => {
            tracing::warn!(error = format!("{error:#}"), "cannot use the kept quarantine");
        }
    }
}

/// The newest valid slot; `None` if there is no file or nothing valid in it.
fn read(keys: &Keys, path: &Path) -> anyhow::Result<Option<Saved>> {
    let content = match fs::read(path) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        content => content.with_context(|| path.display().to_string())?,
    };
    let slots = content.chunks(SLOT_BYTES).take(SLOTS as usize);
    let valid = slots.filter_map(|slot| tgw_wire::decode::<Saved>(keys, frame(slot)?).ok());
    Ok(valid.max_by_key(|saved| saved.at_ms))
}

/// The frame in a slot, without what an earlier one left behind it.
fn frame(slot: &[u8]) -> Option<&[u8]> {
    let (length, rest) = slot.split_first_chunk::<LENGTH_PREFIX_BYTES>()?;
    rest.get(..u32::from_le_bytes(*length) as usize)
}

/// Writes the evidence to the file after each change, for as long as the process runs.
pub(crate) async fn run(peers: Rc<Peers>, path: PathBuf) {
    let opened = OpenOptions::new().write(true).create(true).truncate(false).open(&path);
    let file = match opened {
        Ok(file) => Arc::new(file),
        Err(error) => {
            tracing::warn!(%error, path = %path.display(), "cannot keep the quarantine in a file");
            return;
        }
    };
    let mut failed = false;
    for number in 0_u64.. {
        while !peers.schedule.take_unsaved() {
            sleep(WRITE_INTERVAL).await;
        }
        let written = write(&peers.shared, &file, number % SLOTS).await;
        if let Err(error) = &written
            && !failed
        {
            tracing::warn!(%error, "cannot keep the quarantine in a file");
        }
        failed = written.is_err();
        sleep(WRITE_INTERVAL).await;
    }
}

async fn write(shared: &Shared, file: &Arc<File>, slot: u64) -> anyhow::Result<()> {
    let content = encode(shared)?;
    let file = file.clone();
    // A disk may block for longer than a request may take.
    let written =
        spawn_blocking(move || file.write_all_at(&content, slot * SLOT_BYTES as u64)).await?;
    Ok(written?)
}

/// The content of a slot. Where all evidence does not fit, upstreams that ended are left out.
fn encode(shared: &Shared) -> anyhow::Result<Vec<u8>> {
    let evidence = shared.core.borrow().quarantine.snapshot(shared.now());
    let mut saved = Saved { at_ms: unix_time_ms(), evidence };
    let mut frame = tgw_wire::encode(shared.packets.keys(), &saved)?;
    if LENGTH_PREFIX_BYTES + frame.len() > SLOT_BYTES {
        saved.evidence.terminations.clear();
        frame = tgw_wire::encode(shared.packets.keys(), &saved)?;
    }
    anyhow::ensure!(LENGTH_PREFIX_BYTES + frame.len() <= SLOT_BYTES, "too many requests");
    let mut content = u32::try_from(frame.len())?.to_le_bytes().to_vec();
    content.extend(frame);
    Ok(content)
}

fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
