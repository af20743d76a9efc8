use crate::messages::{ConfigMessage, CoreMessage};
use std::{collections::BTreeMap, sync::Arc};
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Failure, Outcome};
use tgw_member::Rollout;
use tgw_node::{
    Message,
    message::{Completion, Request},
};
use tgw_owner::Directory;
use tgw_peer::{Frame, Observer, Payload};
use tgw_ring::Sender;
use tgw_topology::{Vm, place::Domain};

/// Forwards the reports of the peers worker to the core and to the configuration worker.
pub(crate) struct PeerReports {
    pub(crate) core: Sender<CoreMessage>,
    pub(crate) config: Sender<ConfigMessage>,
}

impl Observer for PeerReports {
    fn deliver(&self, frame: Frame) -> Result<(), Frame> {
        let Frame { from, incarnation, payload } = frame;
        let message = match payload {
            Payload::Messages(messages) => {
                let rejected = self.core.push(CoreMessage::Messages(from, messages));
                return rejected.map_err(|message| match message {
                    CoreMessage::Messages(from, messages) => {
                        Frame { from, incarnation, payload: Payload::Messages(messages) }
                    }
                    _ => Frame { from, incarnation, payload: Payload::Messages(Vec::new()) },
                });
            }
            Payload::RequestUpdates { edition, catalog_version } => {
                ConfigMessage::UpdateRequest { from, edition, catalog_version }
            }
            Payload::TableUpdate(delta) => ConfigMessage::TableUpdate(delta),
            Payload::CatalogUpdate { version, updates } => {
                ConfigMessage::CatalogUpdate { version, services: updates }
            }
            Payload::Records(_) => return Ok(()),
        };
        // Every membership packet repeats the versions, so a dropped message is made up for.
        let _ = self.config.push(message);
        Ok(())
    }

    fn directory_changed(&self, directory: Arc<Directory>, watches_platform: bool) {
        let _ = self.core.push(CoreMessage::Directory(directory));
        let _ = self.config.push(ConfigMessage::WatchesPlatform(watches_platform));
    }

    fn rollouts(&self, rollouts: BTreeMap<Domain, Rollout>) {
        let _ = self.core.push(CoreMessage::Rollouts(rollouts));
    }

    fn disconnected(&self, vm: Vm) {
        let _ = self.core.push(CoreMessage::Disconnected(vm));
    }

    fn queue_full(&self, vm: Vm, payload: Payload) {
        // The VM is overloaded and did not take the batch. Its requests are answered as failed, so that
        // the entry can retry elsewhere. Outcomes and cancellations are lost; the requesting VM's
        // timeouts cover that.
        let Payload::Messages(messages) = payload else { return };
        let failed = messages.into_iter().filter_map(|message| match message {
            Message::Request(Request { key, .. }) => {
                Some(Message::Outcome(Completion::unqueued(key, Outcome::Failed(Failure::Closed))))
            }
            _ => None,
        });
        let _ = self.core.push(CoreMessage::Messages(vm, failed.collect()));
    }

    fn peer_newer(&self, vm: Vm, _edit: u64, _catalog_version: u64) {
        let _ = self.config.push(ConfigMessage::PeerNewer(vm));
    }

    fn paused(&self, gap: Millis) {
        let _ = self.core.push(CoreMessage::Paused(gap));
    }
}
