use crate::packet::News;
use std::collections::{BTreeMap, BTreeSet};
use tgw_clock::Millis;
use tgw_topology::{Vm, place::Domain};

/// Silence of all relays of a domain, though they were asked, until it counts as cut off.
const CUT: Millis = Millis::new(2000);

/// How long VMs may be behind before others are told.
const LASTING: Millis = Millis::new(2000);

/// Contact with one other domain.
#[derive(Clone, Debug, Default)]
struct Contact {
    /// When a VM of it last answered or sent something of its own.
    heard: Millis,
    /// Since when it has been asked without an answer.
    asked: Option<Millis>,
    cut: bool,
    stamp: u64,
}

/// What other domains have in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Force {
    /// The lowest edition in force at any live VM.
    pub edit: u64,
    /// How many VMs are below the highest known there.
    pub behind: u16,
    /// One of these.
    pub example: Option<Vm>,
    pub(crate) stamp: u64,
}

/// Contact between failure domains, and what they have in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Relay {
    contacts: BTreeMap<Domain, Contact>,
    forces: BTreeMap<Domain, Force>,
    /// Editions in force at the VMs of this domain, as they reported.
    reports: BTreeMap<Vm, u64>,
    /// Since when some VM of this domain has been behind another.
    behind_since: Option<Millis>,
}

impl Relay {
    /// A packet came from another domain. News if that domain counted as cut off.
    pub(crate) fn heard(&mut self, now: Millis, here: Domain, domain: Domain) -> Option<News> {
        let contact = self.contacts.entry(domain).or_default();
        contact.heard = now;
        contact.asked = None;
        if !std::mem::take(&mut contact.cut) {
            return None;
        }
        contact.stamp += 1;
        Some(News::Reach { seen_from: here, domain, cut: false, stamp: contact.stamp })
    }

    pub(crate) fn asked(&mut self, now: Millis, domain: Domain) {
        self.contacts.entry(domain).or_default().asked.get_or_insert(now);
    }

    /// Domains that have just become cut off.
    pub(crate) fn newly_cut(&mut self, now: Millis, here: Domain) -> Vec<News> {
        let mut news = Vec::new();
        for (domain, contact) in &mut self.contacts {
            let silent = contact.asked.is_some_and(|since| now - since >= CUT);
            if silent && !contact.cut && now - contact.heard >= CUT {
                contact.cut = true;
                contact.stamp += 1;
                let stamp = contact.stamp;
                news.push(News::Reach { seen_from: here, domain: *domain, cut: true, stamp });
            }
        }
        news
    }

    /// Takes a relay's word on a domain; true if it is news.
    pub(crate) fn told_reach(&mut self, domain: Domain, cut: bool, stamp: u64) -> bool {
        let contact = self.contacts.entry(domain).or_default();
        if stamp <= contact.stamp {
            return false;
        }
        contact.stamp = stamp;
        contact.cut = cut;
        contact.asked = None;
        true
    }

    pub(crate) fn cut(&self) -> BTreeSet<Domain> {
        self.contacts.iter().filter(|(_, c)| c.cut).map(|(domain, _)| *domain).collect()
    }

    pub(crate) fn report(&mut self, vm: Vm, edit: u64) {
        self.reports.insert(vm, edit);
    }

    pub(crate) fn forces(&self) -> &BTreeMap<Domain, Force> {
        &self.forces
    }

    pub(crate) fn told_force(&mut self, domain: Domain, force: Force) -> bool {
        let newer = self.forces.get(&domain).is_none_or(|f| force.stamp > f.stamp);
        if newer {
            self.forces.insert(domain, force);
        }
        newer
    }

    /// What this domain has in force, over its `live` VMs; news if it changed.
    pub(crate) fn sum_up(&mut self, now: Millis, here: Domain, live: &[Vm]) -> Option<News> {
        self.reports.retain(|vm, _| live.contains(vm));
        let of = |vm: &Vm| self.reports.get(vm).copied().unwrap_or(0);
        let edit = live.iter().map(of).min()?;
        let highest = live.iter().map(of).max()?;
        let late: Vec<Vm> = live.iter().filter(|vm| of(vm) < highest).copied().collect();
        let old = self.forces.get(&here);
        let stamp = old.map_or(0, |f| f.stamp) + 1;
        let force =
            Force { edit, behind: late.len() as u16, example: late.first().copied(), stamp };
        // While an edition spreads, the number of VMs behind changes with each report. It is told only
        // once the lowest edition has changed, or some have been behind for a while.
        let lasting = self.behind_since.is_some_and(|since| now - since >= LASTING);
        let same = old.is_some_and(|o| {
            o.edit == force.edit && (o.behind == force.behind || (force.behind > 0 && !lasting))
        });
        self.behind_since = (force.behind > 0).then(|| self.behind_since.unwrap_or(now));
        if same {
            return None;
        }
        let Force { edit, behind, example, stamp } = force.clone();
        self.forces.insert(here, force);
        Some(News::Force { domain: here, edit, behind, example, stamp })
    }
}
