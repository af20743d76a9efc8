use std::collections::BTreeMap;
use tgw_clock::Millis;
use tgw_topology::{Group, Vm};

/// How long a new owner or stand-in uses only half of the slots, as the previous owner may still use the
/// rest. Afterwards the upstream's own queue and load shedding limit an overload. With half of the slots
/// for longer, a load of one half would fill the owner's queue.
const TAKEOVER_INTERVAL_MS: Millis = Millis::new(100);
/// How long a stand-in serves a group after the last request that asked it to.
const STAND_IN_RETENTION_MS: Millis = Millis::new(3000);
/// The share of the slots used while another VM may use the rest.
pub(crate) const TAKEOVER_SLOT_SHARE: f64 = 0.5;

/// The role in which this VM dispatches to a group.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// The owner; `takeover_since` is when the takeover at half share began, until it has ended.
    Owner { takeover_since: Option<Millis> },
    /// A stand-in for the owner, as long as requests ask it to.
    StandIn { takeover_since: Option<Millis>, last_asked: Millis },
    /// No longer serves the group and finishes the requests in flight.
    Released,
}

/// What the caller must do about a group.
#[derive(Copy, Clone, Debug, PartialEq)]
pub(crate) enum Effect {
    /// Start dispatching to it.
    Serve,
    /// Use this share of its slots.
    SetSlotShare(f64),
    /// Stop accepting requests and pass the queued ones to this owner.
    HandOver(Option<Vm>),
    /// Remove it once no request is in flight.
    Remove,
}

/// The groups that this VM dispatches to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Groups {
    roles: BTreeMap<Group, Role>,
}

impl Groups {
    /// Whether requests for the group are accepted.
    pub(crate) fn serves(&self, group: Group) -> bool {
        matches!(self.roles.get(&group), Some(Role::Owner { .. } | Role::StandIn { .. }))
    }

    /// Whether this VM has any role for the group, including a released one.
    pub(crate) fn contains(&self, group: Group) -> bool {
        self.roles.contains_key(&group)
    }

    pub(crate) fn owned(&self) -> impl Iterator<Item = Group> {
        let owned = |role: &Role| matches!(role, Role::Owner { .. });
        self.roles.iter().filter(move |(_, role)| owned(role)).map(|(group, _)| *group)
    }

    /// Handles a request that asks this VM to stand in for the owner.
    pub(crate) fn stand_in(&mut self, now: Millis, group: Group) -> Vec<Effect> {
        match self.roles.get_mut(&group) {
            Some(Role::Owner { .. }) => Vec::new(),
            Some(Role::StandIn { last_asked, .. }) => {
                *last_asked = now;
                Vec::new()
            }
            Some(Role::Released) | None => {
                self.roles
                    .insert(group, Role::StandIn { takeover_since: Some(now), last_asked: now });
                vec![Effect::Serve, Effect::SetSlotShare(TAKEOVER_SLOT_SHARE)]
            }
        }
    }

    /// Applies a new view of membership: `owner` is the group's owner, `me` this VM, and `only_vm` says
    /// that no other VM is known.
    pub(crate) fn reconcile(
        &mut self,
        now: Millis,
        group: Group,
        owner: Option<Vm>,
        me: Vm,
        only_vm: bool,
    ) -> Vec<Effect> {
        let owned_here = owner == Some(me);
        match self.roles.get(&group).copied() {
            Some(Role::Owner { .. }) if owned_here => Vec::new(),
            // The stand-in becomes the owner: its takeover, if not over, just continues.
            Some(Role::StandIn { takeover_since, .. }) if owned_here => {
                self.roles.insert(group, Role::Owner { takeover_since });
                Vec::new()
            }
            _ if owned_here => {
                // While views of membership differ, two VMs may both be owners, and both would fill all
                // slots and connections. Each uses half until the views have converged.
                let takeover_since = (!only_vm).then_some(now);
                self.roles.insert(group, Role::Owner { takeover_since });
                let share = if only_vm { 1.0 } else { TAKEOVER_SLOT_SHARE };
                vec![Effect::Serve, Effect::SetSlotShare(share)]
            }
            Some(Role::Owner { .. }) => {
                self.roles.insert(group, Role::Released);
                vec![Effect::HandOver(owner)]
            }
            _ => Vec::new(),
        }
    }

    /// Ends takeovers and stand-ins whose time is over, and lists released groups for removal.
    pub(crate) fn tick(&mut self, now: Millis) -> Vec<(Group, Effect)> {
        let mut effects = Vec::new();
        for (group, role) in &mut self.roles {
            match role {
                Role::Owner { takeover_since }
                    if takeover_since.is_some_and(|s| now - s >= TAKEOVER_INTERVAL_MS) =>
                {
                    *takeover_since = None;
                    effects.push((*group, Effect::SetSlotShare(1.0)));
                }
                Role::StandIn { last_asked, .. } if now - *last_asked >= STAND_IN_RETENTION_MS => {
                    *role = Role::Released;
                    effects.push((*group, Effect::HandOver(None)));
                }
                Role::StandIn { takeover_since, .. }
                    if takeover_since.is_some_and(|s| now - s >= TAKEOVER_INTERVAL_MS) =>
                {
                    *takeover_since = None;
                    effects.push((*group, Effect::SetSlotShare(1.0)));
                }
                Role::Released => effects.push((*group, Effect::Remove)),
                Role::Owner { .. } | Role::StandIn { .. } => {}
            }
        }
        effects
    }

    /// Restarts the takeover at half share for every owned group.
    pub(crate) fn restart_takeovers(&mut self, now: Millis) -> Vec<Group> {
        let mut restarted = Vec::new();
        for (group, role) in &mut self.roles {
            if let Role::Owner { takeover_since } = role {
                *takeover_since = Some(now);
                restarted.push(*group);
            }
        }
        restarted
    }

    pub(crate) fn remove(&mut self, group: Group) {
        self.roles.remove(&group);
    }
}
