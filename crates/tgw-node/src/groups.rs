use std::collections::BTreeMap;
use tgw_clock::Millis;
use tgw_topology::{Group, Vm};

/// How long a new owner, or a stand-in, uses half of the slots: the old one may still use the rest.
/// After that the upstream's own queue and shedding bound the harm; at half of the slots for longer,
/// a load of one half would fill the owner's queue.
const TAKE_OVER: Millis = Millis::new(100);
/// How long a stand-in keeps a group after it was last asked.
const STAND_IN: Millis = Millis::new(3000);
/// The part of the slots used while another VM may use the rest.
pub(crate) const HALF: f64 = 0.5;

/// In which right this VM dispatches to a group.
#[derive(Copy, Clone, Debug, PartialEq, Eq)]
pub(crate) enum Right {
    /// It owns it; `since` is when the time of the half share began, if it has not ended.
    Owner { since: Option<Millis> },
    /// It stands in for the owner, as long as it is asked to.
    StandIn { since: Option<Millis>, asked: Millis },
    /// It has handed it over and finishes what runs.
    Released,
}

/// What must be done about a group.
#[derive(Copy, Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// Begin to dispatch.
    Take,
    /// Use this part of the slots.
    Share(f64),
    /// Stop taking requests and pass what waits to the owner.
    HandOver(Option<Vm>),
    /// Forget it once nothing runs.
    Forget,
}

/// The groups that this VM dispatches to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Groups {
    rights: BTreeMap<Group, Right>,
}

impl Groups {
    /// Whether a request for the group is taken.
    pub(crate) fn serves(&self, group: Group) -> bool {
        matches!(self.rights.get(&group), Some(Right::Owner { .. } | Right::StandIn { .. }))
    }

    /// Whether this VM has any right to the group, even one that has ended.
    pub(crate) fn has(&self, group: Group) -> bool {
        self.rights.contains_key(&group)
    }

    pub(crate) fn owned(&self) -> impl Iterator<Item = Group> {
        let owned = |right: &Right| matches!(right, Right::Owner { .. });
        self.rights.iter().filter(move |(_, right)| owned(right)).map(|(group, _)| *group)
    }

    /// A VM has asked this one in the owner's place.
    pub(crate) fn stand_in(&mut self, now: Millis, group: Group) -> Vec<Step> {
        match self.rights.get_mut(&group) {
            Some(Right::Owner { .. }) => Vec::new(),
            Some(Right::StandIn { asked, .. }) => {
                *asked = now;
                Vec::new()
            }
            Some(Right::Released) | None => {
                self.rights.insert(group, Right::StandIn { since: Some(now), asked: now });
                vec![Step::Take, Step::Share(HALF)]
            }
        }
    }

    /// The view of ownership has changed: `owner` is the group's owner, `me` this VM.
    pub(crate) fn settle(
        &mut self,
        now: Millis,
        group: Group,
        owner: Option<Vm>,
        me: Vm,
        sole: bool,
    ) -> Vec<Step> {
        let mine = owner == Some(me);
        match self.rights.get(&group).copied() {
            Some(Right::Owner { .. }) if mine => Vec::new(),
            // The stand-in becomes the owner: it has had its time of the half share.
            Some(Right::StandIn { since, .. }) if mine => {
                self.rights.insert(group, Right::Owner { since });
                Vec::new()
            }
            _ if mine => {
                // Two views of membership may name two owners for a while, and both would fill all
                // slots and connections. Each uses half until the views must have met.
                let since = (!sole).then_some(now);
                self.rights.insert(group, Right::Owner { since });
                let share = if sole { 1.0 } else { HALF };
                vec![Step::Take, Step::Share(share)]
            }
            Some(Right::Owner { .. }) => {
                self.rights.insert(group, Right::Released);
                vec![Step::HandOver(owner)]
            }
            _ => Vec::new(),
        }
    }

    /// Ends take-overs and stand-ins whose time is up; lists what was released.
    pub(crate) fn tick(&mut self, now: Millis) -> Vec<(Group, Step)> {
        let mut steps = Vec::new();
        for (group, right) in &mut self.rights {
            match right {
                Right::Owner { since } if since.is_some_and(|s| now - s >= TAKE_OVER) => {
                    *since = None;
                    steps.push((*group, Step::Share(1.0)));
                }
                Right::StandIn { asked, .. } if now - *asked >= STAND_IN => {
                    *right = Right::Released;
                    steps.push((*group, Step::HandOver(None)));
                }
                Right::StandIn { since, .. } if since.is_some_and(|s| now - s >= TAKE_OVER) => {
                    *since = None;
                    steps.push((*group, Step::Share(1.0)));
                }
                Right::Released => steps.push((*group, Step::Forget)),
                Right::Owner { .. } | Right::StandIn { .. } => {}
            }
        }
        steps
    }

    /// Begins the time of the half share anew for every group that is owned.
    pub(crate) fn renew(&mut self, now: Millis) -> Vec<Group> {
        let mut renewed = Vec::new();
        for (group, right) in &mut self.rights {
            if let Right::Owner { since } = right {
                *since = Some(now);
                renewed.push(*group);
            }
        }
        renewed
    }

    pub(crate) fn forget(&mut self, group: Group) {
        self.rights.remove(&group);
    }
}
