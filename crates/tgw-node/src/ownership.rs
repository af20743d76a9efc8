use crate::{
    Decision, Message, Node, Output, Placement,
    groups::{Effect, TAKEOVER_SLOT_SHARE},
};
use smallvec::SmallVec;
use std::{collections::BTreeSet, sync::Arc};
use tgw_clock::Millis;
use tgw_dispatch::owner;
use tgw_owner::{Directory, State};
use tgw_topology::{
    Catalog, Group, Place, Upstream, Vm,
    catalog::{Index, UpstreamEntry},
    place::Domain,
};

impl Node {
    /// Marks an upstream as leaving on the first report that it leaves and passes the report on if it is
    /// `first_hand`. Later reports that it is healthy are ignored, as health checks and the platform lag
    /// behind. Only a restart clears the mark.
    pub(crate) fn mark_leaving(
        &mut self,
        now: Millis,
        upstream: Upstream,
        first_hand: bool,
        out: &mut Vec<Output>,
    ) {
        if self.leaving.insert(upstream, now).is_some() {
            return;
        }
        self.handle_owner_event(now, owner::Event::Leaving(upstream), out);
        let domain = self.catalog.upstreams.get(&upstream).map(|u| u.place.domain);
        if !first_hand {
            return;
        }
        // Only VMs that may own the upstream's group send it requests: those of its domain or, if the
        // domain has no VM, the owner and stand-in chosen elsewhere.
        let mut recipients: BTreeSet<Vm> = self
            .assignment
            .directory()
            .owners()
            .filter(|(_, m)| Some(m.place.domain) == domain)
            .map(|o| o.0)
            .collect();
        if let Some(node) = self.catalog.upstreams.get(&upstream) {
            recipients.extend(self.assignment.owners(node.group(), node.place));
        }
        for vm in recipients.into_iter().filter(|vm| *vm != self.me) {
            out.push(Output::SendMessage(vm, Message::Leaving(upstream)));
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
        self.assignment.set(self.assignment.directory().clone());
        let leaving: Vec<Upstream> =
            self.catalog.upstreams.values().filter(|u| u.leaving).map(|u| u.id).collect();
        for upstream in leaving {
            self.mark_leaving(now, upstream, true, out);
        }
        self.update_served_groups();
        self.reconcile_groups(now, "the catalog changed", out);
    }

    pub(crate) fn set_directory(
        &mut self,
        now: Millis,
        directory: Arc<Directory>,
        out: &mut Vec<Output>,
    ) {
        let gone: Vec<Vm> = {
            let old = self.assignment.directory();
            let usable: BTreeSet<Vm> = directory.owners().map(|(vm, _)| vm).collect();
            old.owners().map(|(vm, _)| vm).filter(|vm| !usable.contains(vm)).collect()
        };
        self.joined |= directory.owners().any(|(vm, _)| vm != self.me);
        self.assignment.set(directory);
        self.orders.update_buckets(now, &self.assignment);
        self.reconcile_groups(now, "membership changed", out);
        for vm in gone {
            // A leaving VM finishes the requests it received; a dead or unreachable one does not.
            if vm != self.me && !self.still_finishes(vm) {
                self.handle_vm_lost(now, vm, out);
            }
        }
    }

    /// Whether a VM is leaving and still reachable, so that it finishes its requests.
    pub(crate) fn still_finishes(&self, vm: Vm) -> bool {
        let directory = self.assignment.directory();
        directory.members.get(&vm).is_some_and(|m| {
            m.state == State::Leaving && !directory.unreachable_domains.contains(&m.place.domain)
        })
    }

    /// Handles the end of a pause. The groups owned before may have new owners, which use all slots by
    /// now, so this VM uses half of the slots of its groups again, as any new owner does.
    pub(crate) fn handle_pause(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.orders.restart_ownership(now);
        for group in self.groups.restart_takeovers(now) {
            self.owner.set_slot_share(group, TAKEOVER_SLOT_SHARE);
            self.log_placement(group, "resumed after a pause with half of the slots", out);
        }
    }

    /// Compares every group's owner with this VM's role for the group.
    pub(crate) fn reconcile_groups(
        &mut self,
        now: Millis,
        why: &'static str,
        out: &mut Vec<Output>,
    ) {
        // A VM that starts knows no other VM. If it took over all groups at once, each start would open
        // connections to every upstream of the fleet and close them again a moment later.
        if !self.joined {
            return;
        }
        let places: Vec<(Group, Place)> = self.index.iter().map(|(g, m)| (g, m.place)).collect();
        let directory = self.assignment.directory();
        let only_vm = directory.owners().count() <= 1;
        let domains_with_vms: BTreeSet<Domain> =
            directory.owners().map(|(_, m)| m.place.domain).collect();
        // Ranking all VMs for all groups of the fleet at each change of membership would block the thread
        // for longer than a deadline. Only a VM of a group's own domain can own it, unless the domain
        // has no VM.
        let is_candidate = |group: Group| {
            group.domain == self.place.domain
                || !domains_with_vms.contains(&group.domain)
                || self.groups.contains(group)
        };
        let places: Vec<(Group, Place)> =
            places.into_iter().filter(|(group, _)| is_candidate(*group)).collect();
        for (group, place) in places {
            let owner = self.assignment.owners(group, place).first().copied();
            let effects = self.groups.reconcile(now, group, owner, self.me, only_vm);
            self.apply_group_effects(now, group, effects, why, out);
        }
    }

    pub(crate) fn apply_group_effects(
        &mut self,
        now: Millis,
        group: Group,
        effects: Vec<Effect>,
        why: &'static str,
        out: &mut Vec<Output>,
    ) {
        for effect in effects {
            match effect {
                Effect::Serve => {
                    self.serve_group(now, group, out);
                    self.log_placement(group, why, out);
                }
                Effect::SetSlotShare(share) => self.owner.set_slot_share(group, share),
                Effect::HandOver(to) => {
                    let mut actions = Vec::new();
                    self.owner.hand_over(group, to, &mut actions);
                    for action in actions {
                        self.send_outcome(now, action, out);
                    }
                    self.log_placement(group, why, out);
                }
                Effect::Remove => {
                    if self.owner.remove_idle_group(group) {
                        self.groups.remove(group);
                        out.push(Output::Disconnect(self.upstreams(group)));
                    }
                }
            }
        }
    }

    /// Passes a group's upstreams and options to the dispatcher.
    fn configure_group(&mut self, group: Group) {
        let options = self.dispatch_options(group);
        let upstreams = self.upstreams(group);
        let catalog = self.catalog.clone();
        let nodes: Vec<&UpstreamEntry> =
            upstreams.iter().filter_map(|u| catalog.upstreams.get(u)).collect();
        self.owner.serve_group(group, &nodes, &options);
    }

    pub(crate) fn serve_group(&mut self, now: Millis, group: Group, out: &mut Vec<Output>) {
        self.configure_group(group);
        let upstreams = self.upstreams(group);
        let known: Vec<Upstream> =
            upstreams.iter().copied().filter(|u| self.leaving.contains_key(u)).collect();
        for upstream in known {
            self.handle_owner_event(now, owner::Event::Leaving(upstream), out);
        }
        out.push(Output::Connect(self.upstreams(group)));
    }

    /// Applies a new table or catalog to the groups served here.
    pub(crate) fn update_served_groups(&mut self) {
        let served: Vec<Group> =
            self.index.iter().map(|(group, _)| group).filter(|g| self.groups.serves(*g)).collect();
        for group in served {
            self.configure_group(group);
        }
    }

    pub(crate) fn dispatch_options(&self, group: Group) -> owner::Options {
        let mut options = self.dispatch.clone();
        let name = self.catalog.services.get(&group.service).map(|s| &s.name);
        let row = name.and_then(|n| self.table.as_ref()?.rows.get(n));
        if let Some(row) = row {
            options.hedge_budget = options.hedge_budget.min(row.hedge_pct / 100.0);
            options.retry_budget = row.retry_pct / 100.0;
            options.max_attempts = row.attempts;
        }
        options
    }

    pub(crate) fn upstreams(&self, group: Group) -> SmallVec<[Upstream; 4]> {
        self.index.get(group).map(|m| m.upstreams.clone()).unwrap_or_default()
    }

    pub(crate) fn log_placement(&self, group: Group, reason: &'static str, out: &mut Vec<Output>) {
        let owner = self.owner_of(group);
        let upstreams = self.upstreams(group);
        out.push(Output::LogDecision(Decision::Placement(Placement {
            group,
            upstreams,
            owner,
            reason,
        })));
    }
}
