use crate::packet::Update;
use std::collections::{BTreeMap, BTreeSet};
use tgw_clock::Millis;
use tgw_topology::{Vm, place::Domain};

/// A domain is unreachable after its relays have left pings unanswered for this long.
const UNREACHABLE_TIMEOUT_MS: Millis = Millis::new(2000);

/// A domain counts as silent, so that another one of its region watches the platform, after its relays have left pings
/// unanswered for this long: four or five of them. That both watch it costs calls and breaks nothing, so this may be wrong
/// more often than [`UNREACHABLE_TIMEOUT_MS`].
const SILENT_TIMEOUT_MS: Millis = Millis::new(1_200);

/// How long VMs may be behind before other domains are informed.
const LAG_REPORT_DELAY_MS: Millis = Millis::new(2000);

/// Reachability of one other domain.
#[derive(Clone, Debug, Default)]
struct Reachability {
    /// When a VM of the domain last answered or sent a packet of its own.
    last_received: Millis,
    /// When the oldest unanswered ping was sent.
    unanswered_since: Option<Millis>,
    unreachable: bool,
    /// Its relays have not answered this VM for a while.
    silent: bool,
    stamp: u64,
}

impl Reachability {
    fn is_unanswered_for(&self, now: Millis, time: Millis) -> bool {
        let unanswered = self.unanswered_since.is_some_and(|since| now - since >= time);
        unanswered && now - self.last_received >= time
    }
}

/// How far the operators' table has been adopted by the VMs of one domain: a summary of the editions
/// (versions of the table) in force there.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// The lowest edition in force at any live VM.
    pub lowest_edition: u64,
    /// The number of VMs below the domain's highest edition.
    pub behind: u16,
    /// One of the VMs that are behind.
    pub example: Option<Vm>,
    pub(crate) stamp: u64,
}

/// Reachability of other failure domains, and the editions in force in each domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Relay {
    reachability: BTreeMap<Domain, Reachability>,
    rollouts: BTreeMap<Domain, Rollout>,
    /// Editions in force at the VMs of this domain, as they reported them.
    editions: BTreeMap<Vm, u64>,
    /// Since when any VM of this domain has been behind another.
    behind_since: Option<Millis>,
}

impl Relay {
    /// Records a packet from another domain. Returns an update if the domain was unreachable.
    pub(crate) fn packet_received(
        &mut self,
        now: Millis,
        own_domain: Domain,
        domain: Domain,
    ) -> Option<Update> {
        let state = self.reachability.entry(domain).or_default();
        state.last_received = now;
        state.unanswered_since = None;
        state.silent = false;
        if !std::mem::take(&mut state.unreachable) {
            return None;
        }
        state.stamp += 1;
        Some(Update::Reachability {
            seen_from: own_domain,
            domain,
            unreachable: false,
            stamp: state.stamp,
        })
    }

    pub(crate) fn ping_sent(&mut self, now: Millis, domain: Domain) {
        self.reachability.entry(domain).or_default().unanswered_since.get_or_insert(now);
    }

    /// Domains that have just become unreachable.
    pub(crate) fn newly_unreachable(&mut self, now: Millis, own_domain: Domain) -> Vec<Update> {
        let mut updates = Vec::new();
        for (domain, state) in &mut self.reachability {
            if state.is_unanswered_for(now, UNREACHABLE_TIMEOUT_MS) && !state.unreachable {
                state.unreachable = true;
                state.stamp += 1;
                let stamp = state.stamp;
                updates.push(Update::Reachability {
                    seen_from: own_domain,
                    domain: *domain,
                    unreachable: true,
                    stamp,
                });
            }
        }
        updates
    }

    /// Finds domains that have become silent; true if there are any.
    pub(crate) fn detect_silence(&mut self, now: Millis) -> bool {
        let mut found = false;
        for state in self.reachability.values_mut() {
            let silent = state.silent || state.is_unanswered_for(now, SILENT_TIMEOUT_MS);
            found |= silent != state.silent;
            state.silent = silent;
        }
        found
    }

    /// Forgets pings without an answer, as this VM did not run and could not receive any.
    pub(crate) fn forget_pings(&mut self) {
        self.reachability.values_mut().for_each(|state| state.unanswered_since = None);
    }

    /// Whether a domain is silent or unreachable.
    pub(crate) fn is_silent(&self, domain: Domain) -> bool {
        self.reachability.get(&domain).is_some_and(|state| state.silent || state.unreachable)
    }

    /// Applies a relay's report on a domain; true if it is newer than what is known.
    pub(crate) fn apply_reachability(
        &mut self,
        domain: Domain,
        unreachable: bool,
        stamp: u64,
    ) -> bool {
        let state = self.reachability.entry(domain).or_default();
        if stamp <= state.stamp {
            return false;
        }
        state.stamp = stamp;
        state.unreachable = unreachable;
        state.unanswered_since = None;
        true
    }

    pub(crate) fn unreachable(&self) -> BTreeSet<Domain> {
        self.reachability.iter().filter(|(_, r)| r.unreachable).map(|(domain, _)| *domain).collect()
    }

    pub(crate) fn record_edition(&mut self, vm: Vm, edition: u64) {
        self.editions.insert(vm, edition);
    }

    /// The latest summary of each domain: the lowest edition of the operators' table in force at its
    /// VMs, how many VMs are behind the domain's highest edition, and one of these.
    pub(crate) fn rollouts(&self) -> &BTreeMap<Domain, Rollout> {
        &self.rollouts
    }

    pub(crate) fn apply_rollout(&mut self, domain: Domain, rollout: Rollout) -> bool {
        let newer = self.rollouts.get(&domain).is_none_or(|r| rollout.stamp > r.stamp);
        if newer {
            self.rollouts.insert(domain, rollout);
        }
        newer
    }

    /// Summarizes the editions in force at this domain's `live` VMs; an update if that changed.
    pub(crate) fn summarize(
        &mut self,
        now: Millis,
        own_domain: Domain,
        live: &[Vm],
    ) -> Option<Update> {
        self.editions.retain(|vm, _| live.contains(vm));
        let edition_of = |vm: &Vm| self.editions.get(vm).copied().unwrap_or(0);
        let lowest_edition = live.iter().map(edition_of).min()?;
        let highest = live.iter().map(edition_of).max()?;
        let behind: Vec<Vm> = live.iter().filter(|vm| edition_of(vm) < highest).copied().collect();
        let old = self.rollouts.get(&own_domain);
        let stamp = old.map_or(0, |r| r.stamp) + 1;
        let rollout = Rollout {
            lowest_edition,
            behind: behind.len() as u16,
            example: behind.first().copied(),
            stamp,
        };
        // While an edition spreads, the number of VMs behind changes with each report. An update is
        // sent only once the lowest edition changes or VMs have been behind for a while.
        let lasting = self.behind_since.is_some_and(|since| now - since >= LAG_REPORT_DELAY_MS);
        let unchanged = old.is_some_and(|o| {
            o.lowest_edition == rollout.lowest_edition
                && (o.behind == rollout.behind || (rollout.behind > 0 && !lasting))
        });
        self.behind_since = (rollout.behind > 0).then(|| self.behind_since.unwrap_or(now));
        if unchanged {
            return None;
        }
        let Rollout { lowest_edition, behind, example, stamp } = rollout.clone();
        self.rollouts.insert(own_domain, rollout);
        Some(Update::Rollout { domain: own_domain, lowest_edition, behind, example, stamp })
    }
}
