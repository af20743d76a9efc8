use crate::{
    Message, Node, Note, Output, Placement,
    groups::{HALF, Step},
    message::Told,
};
use smallvec::SmallVec;
use std::{collections::BTreeSet, sync::Arc};
use tgw_clock::Millis;
use tgw_dispatch::owner;
use tgw_owner::{Directory, State};
use tgw_topology::{
    Catalog, Group, Place, Upstream, Vm,
    catalog::{Index, Node as Described},
    place::Domain,
};

impl Node {
    /// The first word that an upstream leaves wins and is passed on; any later word that it is well
    /// does not count, as health and platform lag behind. Only a restart makes it well again.
    pub(crate) fn upstream_leaves(
        &mut self,
        now: Millis,
        upstream: Upstream,
        first_hand: bool,
        out: &mut Vec<Output>,
    ) {
        if self.leaving.insert(upstream, now).is_some() {
            return;
        }
        self.at_owner(now, owner::Event::Leaving(upstream), out);
        let domain = self.catalog.upstreams.get(&upstream).map(|u| u.place.domain);
        if !first_hand {
            return;
        }
        // Only VMs that may own the upstream's group place work on it: those of its domain, and the
        // owner and stand-in that replace them where the domain has no VM.
        let mut told: BTreeSet<Vm> = self
            .map
            .directory()
            .owners()
            .filter(|(_, m)| Some(m.place.domain) == domain)
            .map(|o| o.0)
            .collect();
        if let Some(node) = self.catalog.upstreams.get(&upstream) {
            told.extend(self.map.owners(node.group(), node.place));
        }
        for vm in told.into_iter().filter(|vm| *vm != self.me) {
            out.push(Output::Tell(vm, Message::Leaving(upstream)));
        }
    }

    pub(crate) fn set_catalog(
        &mut self,
        now: Millis,
        catalog: Arc<Catalog>,
        out: &mut Vec<Output>,
    ) {
        self.index = Index::new(&catalog);
        self.catalog = catalog;
        self.map.set(self.map.directory().clone());
        let leaving: Vec<Upstream> =
            self.catalog.upstreams.values().filter(|u| u.leaving).map(|u| u.id).collect();
        for upstream in leaving {
            self.upstream_leaves(now, upstream, true, out);
        }
        self.describe();
        self.settle_all(now, "the catalog changed", out);
    }

    pub(crate) fn set_directory(
        &mut self,
        now: Millis,
        directory: Arc<Directory>,
        out: &mut Vec<Output>,
    ) {
        let gone: Vec<Vm> = {
            let old = self.map.directory();
            let usable: BTreeSet<Vm> = directory.owners().map(|(vm, _)| vm).collect();
            old.owners().map(|(vm, _)| vm).filter(|vm| !usable.contains(vm)).collect()
        };
        self.joined |= directory.owners().any(|(vm, _)| vm != self.me);
        self.map.set(directory);
        self.orders.settle(now, &self.map);
        self.settle_all(now, "membership changed", out);
        for vm in gone {
            // A leaving VM finishes what it was asked; a dead or unreachable one does not.
            if vm != self.me && !self.finishes(vm) {
                self.lost(now, vm, out);
            }
        }
    }

    /// Whether a VM has said that it leaves and can still be reached.
    pub(crate) fn finishes(&self, vm: Vm) -> bool {
        let directory = self.map.directory();
        directory
            .members
            .get(&vm)
            .is_some_and(|m| m.state == State::Leaving && !directory.cut.contains(&m.place.domain))
    }

    /// After a pause the groups owned before may have new owners, who use all slots by now. What is
    /// owned still is taken again with half of the slots, as by any new owner.
    pub(crate) fn resume(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.orders.resume(now);
        for group in self.groups.renew(now) {
            self.owner.share(group, HALF);
            self.placement(group, "resumed after a pause with half of the slots", out);
        }
    }

    /// Compares every group's owner with the rights held here.
    pub(crate) fn settle_all(&mut self, now: Millis, why: &'static str, out: &mut Vec<Output>) {
        // A VM that starts knows only itself. If it took all groups at once, each start would open
        // connections to every upstream of the fleet and close them again a moment later.
        if !self.joined {
            return;
        }
        let places: Vec<(Group, Place)> = self.index.iter().map(|(g, m)| (g, m.place)).collect();
        let directory = self.map.directory();
        let sole = directory.owners().count() <= 1;
        let covered: BTreeSet<Domain> = directory.owners().map(|(_, m)| m.place.domain).collect();
        // Ranking all VMs for all groups of the fleet at each change of membership anywhere would stop
        // the thread for longer than a deadline. Only a VM of a group's own domain can own it, unless
        // the domain has none.
        let concerns = |group: Group| {
            group.domain == self.place.domain
                || !covered.contains(&group.domain)
                || self.groups.has(group)
        };
        let places: Vec<(Group, Place)> =
            places.into_iter().filter(|(group, _)| concerns(*group)).collect();
        for (group, place) in places {
            let owner = self.map.owners(group, place).first().copied();
            let steps = self.groups.settle(now, group, owner, self.me, sole);
            self.carry_out(now, group, steps, why, out);
        }
    }

    pub(crate) fn carry_out(
        &mut self,
        now: Millis,
        group: Group,
        steps: Vec<Step>,
        why: &'static str,
        out: &mut Vec<Output>,
    ) {
        for step in steps {
            match step {
                Step::Take => {
                    self.take(now, group, out);
                    self.placement(group, why, out);
                }
                Step::Share(share) => self.owner.share(group, share),
                Step::HandOver(to) => {
                    let mut actions = Vec::new();
                    self.owner.hand_over(group, to, &mut actions);
                    for action in actions {
                        if let owner::Action::Answer {
                            key,
                            outcome,
                            stock,
                            extra,
                            waited,
                            pressure,
                        } = action
                        {
                            let told = Told { key, outcome, stock, extra, waited, pressure };
                            self.tell(now, key.from, Message::Outcome(told), out);
                        }
                    }
                    self.placement(group, why, out);
                }
                Step::Forget => {
                    if self.owner.forget(group) {
                        self.groups.forget(group);
                        out.push(Output::Disconnect(self.upstreams(group)));
                    }
                }
            }
        }
    }

    /// Hands a group's description and options to the dispatcher.
    fn dispatch_to(&mut self, group: Group) {
        let options = self.options(group);
        let upstreams = self.upstreams(group);
        let catalog = self.catalog.clone();
        let nodes: Vec<&Described> =
            upstreams.iter().filter_map(|u| catalog.upstreams.get(u)).collect();
        self.owner.take(group, &nodes, &options);
    }

    pub(crate) fn take(&mut self, now: Millis, group: Group, out: &mut Vec<Output>) {
        self.dispatch_to(group);
        let upstreams = self.upstreams(group);
        let known: Vec<Upstream> =
            upstreams.iter().copied().filter(|u| self.leaving.contains_key(u)).collect();
        for upstream in known {
            self.at_owner(now, owner::Event::Leaving(upstream), out);
        }
        out.push(Output::Connect(self.upstreams(group)));
    }

    /// Takes the table's and the catalog's newer description into the groups served here.
    pub(crate) fn describe(&mut self) {
        let served: Vec<Group> =
            self.index.iter().map(|(group, _)| group).filter(|g| self.groups.serves(*g)).collect();
        for group in served {
            self.dispatch_to(group);
        }
    }

    pub(crate) fn options(&self, group: Group) -> owner::Options {
        let mut options = self.dispatch.clone();
        let name = self.catalog.services.get(&group.service).map(|s| &s.name);
        let row = name.and_then(|n| self.table.as_ref()?.rows.get(n));
        if let Some(row) = row {
            options.hedge = options.hedge.min(row.hedge_pct / 100.0);
            options.retry = row.retry_pct / 100.0;
            options.attempts = row.attempts;
        }
        options
    }

    pub(crate) fn upstreams(&self, group: Group) -> SmallVec<[Upstream; 4]> {
        self.index.get(group).map(|m| m.upstreams.clone()).unwrap_or_default()
    }

    pub(crate) fn placement(&self, group: Group, what: &'static str, out: &mut Vec<Output>) {
        let owner = self.owner_of(group);
        let upstreams = self.upstreams(group);
        out.push(Output::Note(Note::Placement(Placement { group, upstreams, owner, what })));
    }
}
