use crate::shared::Shared;
use serde_json::json;
use std::{collections::HashMap, rc::Rc, time::Duration};
use tgw_clock::Millis;
use tgw_platform::{Error, Expect, Store, Version};
use tokio::time::sleep;

/// Time in ms between a VM's heartbeats in the store. Each costs one write and one list for each VM.
const BEAT_MS: u64 = 15_000;
/// Time in ms without a heartbeat after which a VM no longer counts.
const DEAD: Millis = Millis::new(40_000);
/// Pause in ms before a failed beat is tried again.
const RETRY: Duration = Duration::from_millis(2_000);

/// Announces this VM in the store and counts the others, which share connections and budgets.
#[derive(Default)]
struct Presence {
    version: Option<Version>,
    beats: u64,
    seen: HashMap<String, (Version, Millis)>,
}

/// Runs for as long as the process does.
pub(crate) async fn announce(shared: Rc<Shared>, store: Rc<dyn Store>) {
    let mut presence = Presence::default();
    loop {
        let pause = match presence.beat(&shared, &*store).await {
            Ok(()) => Duration::from_millis(BEAT_MS - rand::random_range(0..BEAT_MS / 8)),
            Err(error) => {
                tracing::info!(%error, "heartbeat not written");
                RETRY
            }
        };
        sleep(pause).await;
    }
}

/// Takes this VM's announcement back.
pub(crate) async fn withdraw(shared: &Shared, store: &dyn Store) {
    let kind = &shared.dialect.kinds().vms;
    let name = &shared.settings.vm;
    let removed = match store.get(kind, name).await {
        Ok(Some(object)) => store.delete(kind, name, object.version).await,
        Ok(None) => Ok(()),
        Err(error) => Err(error),
    };
    if let Err(error) = removed {
        tracing::info!(%error, "announcement left behind; it lapses without heartbeats");
    }
}

impl Presence {
    async fn beat(&mut self, shared: &Shared, store: &dyn Store) -> Result<(), Error> {
        let kind = &shared.dialect.kinds().vms;
        let name = &shared.settings.vm;
        self.beats += 1;
        let value = json!({ "beats": self.beats });
        let expect = self.version.map_or(Expect::Absent, Expect::At);
        let written = store.put(kind, name, expect, &value).await;
        shared.meters.store("put", &written);
        match written {
            Ok(version) => self.version = Some(version),
            // This VM's earlier process left it, or a write whose reply was lost took effect.
            Err(Error::Conflict { current }) => {
                self.version = (current > 0).then_some(current);
                let expect = self.version.map_or(Expect::Absent, Expect::At);
                let written = store.put(kind, name, expect, &value).await;
                shared.meters.store("put", &written);
                self.version = Some(written?);
            }
            Err(error) => return Err(error),
        }
        let list = store.list(kind).await;
        shared.meters.store("list", &list);
        self.count(shared, list?.objects.into_iter().map(|o| (o.name, o.version)));
        Ok(())
    }

    fn count(&mut self, shared: &Shared, listed: impl Iterator<Item = (String, Version)>) {
        let now = shared.now();
        let before = std::mem::take(&mut self.seen);
        for (name, version) in listed {
            let since = match before.get(&name) {
                Some((known, since)) if *known == version => *since,
                _ => now,
            };
            self.seen.insert(name, (version, since));
        }
        let live = self.seen.values().filter(|(_, since)| now - *since < DEAD).count();
        let vms = u32::try_from(live).unwrap_or(u32::MAX).max(1);
        let mut core = shared.core.borrow_mut();
        if core.vms() != vms {
            tracing::info!(vms, before = core.vms(), "VMs counted");
            core.set_vms(vms);
        }
    }
}
