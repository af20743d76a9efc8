use crate::{
    context::Cx,
    entry::{Entry, Tail},
    running::{Attempt, Part, Running},
    step::{Action, View, What, Why},
};
use rand::Rng;
use smallvec::SmallVec;
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Key, Leaf, Work};
use tgw_tail::{Average, Budget, Hedge};
use tgw_topology::{Group, Service, Vm};

/// Hedges across groups that are always allowed, as a part of all requests.
const HEDGE_LEAST: f64 = 0.002;
const EXTRA_WEIGHT: f64 = 0.002;
/// Retries that may be saved up: a dead owner's requests are all asked again at once.
const RETRY_BURST: f64 = 512.0;

/// Mean of what is drawn on top of each estimate, in milliseconds.
const DRAW_MS: f64 = 2.0;

/// The part of what another group would take, the way back included, that a request waits in a queue.
const PATIENCE: f64 = 0.6;

/// Where one leaf request goes.
struct Route {
    group: Group,
    to: Vm,
    stand_in: bool,
    estimate: f64,
    /// How long the request may wait at the owner before another group is the better way.
    patience: Option<Millis>,
    passed: SmallVec<[(Group, f64); 3]>,
}

impl Entry {
    pub(crate) fn tail(&mut self, cx: &Cx<'_>, service: Service) -> &mut Tail {
        let row = cx.row(service);
        let share = row.map_or(0.0, |r| r.hedge_pct / 100.0);
        let retry = row.map_or(0.0, |r| r.retry_pct / 100.0);
        let tail = self.tails.entry(service).or_insert_with(|| Tail {
            hedge: Hedge::new(share),
            retry: Budget::new(retry, RETRY_BURST),
            extra: Average::new(0.0, EXTRA_WEIGHT),
        });
        // Owners spend from the same row's budget: what they use is not there for the entry.
        let left = (share - tail.extra.get()).max(HEDGE_LEAST.min(share));
        tail.hedge.set_share(left);
        tail.retry.set_share(retry);
        tail
    }

    /// Asks for one shard; false if no group can be asked.
    pub(crate) fn ask(
        &mut self,
        cx: &mut Cx<'_>,
        running: &mut Running,
        index: usize,
        why: Why,
    ) -> bool {
        let Some(route) = self.route(cx, running, index, why) else { return false };
        let Route { group, to, stand_in, estimate, patience, passed } = route;
        let traced = running.traced;
        let part = &mut running.parts[index];
        let number = part.next;
        part.next = part.next.saturating_add(1);
        part.attempts.push(Attempt { number, group, to, sent: cx.now, open: true, unsent: false });
        let key =
            Key { from: self.options.vm, query: running.query, shard: part.shard, attempt: number };
        let shard = part.shard;
        self.paths.ask(cx.now, group, to);
        if !matches!(why, Why::First | Why::Moved | Why::Crowded) {
            self.stats.extra += 1;
        }
        cx.note(running, What::Ask { shard, attempt: number, group, to, why, estimate, passed });
        let leaf = Leaf {
            key,
            snapshot: running.snapshot,
            deadline: running.deadline,
            give_back: patience.map(|p| cx.now + p),
            body: running.body.clone(),
            traced,
            work: Work::Search,
        };
        cx.out.push(Action::Ask { to, group, stand_in, leaf });
        true
    }

    /// The group, among some, that promises the earliest answer, and the VM to ask for it.
    pub fn best_group(
        &self,
        now: Millis,
        groups: &[Group],
        except: &[Group],
        view: &View<'_>,
    ) -> Option<(Group, Vm)> {
        let usable = |group: &Group| {
            let owners = view.owners.owners(*group);
            owners.iter().find(|vm| !self.paths.stalled(**vm)).copied()
        };
        groups
            .iter()
            .filter(|g| !except.contains(g))
            .filter_map(|g| Some((self.paths.estimate(now, *g, view), *g, usable(g)?)))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, group, vm)| (group, vm))
    }

    /// The group and VM to ask for one shard; untried groups first, then by expected answer.
    fn route(&mut self, cx: &Cx<'_>, running: &Running, index: usize, why: Why) -> Option<Route> {
        let part = &running.parts[index];
        let replicas =
            cx.view.catalog.replicas(running.service, running.snapshot.layout, part.shard);
        let mut options: SmallVec<[(bool, f64, Group); 4]> = SmallVec::new();
        for node in replicas.iter().filter_map(|u| cx.view.catalog.upstreams.get(u)) {
            let group = node.group();
            if options.iter().any(|o| o.2 == group) || !self.paths.holds(group, running.snapshot) {
                continue;
            }
            let tried = part.tried(group) && !matches!(why, Why::Moved | Why::Silent);
            // All VMs hear the same of a group's queue at about the same time. Without a draw they
            // would all turn to the least crowded group together and crowd it.
            let draw = -DRAW_MS * self.rng.random_range(f64::MIN_POSITIVE..1.0).ln();
            options.push((tried, self.paths.estimate(cx.now, group, cx.view) + draw, group));
        }
        options.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        if why == Why::Hedge {
            options.retain(|o| !o.0);
        }
        let chosen = options.iter().find_map(|(_, estimate, group)| {
            let (to, stand_in) = self.vm_for(cx, *group, part, why)?;
            Some((*group, to, stand_in, *estimate))
        });
        let (group, to, stand_in, estimate) = chosen?;
        let passed = if running.traced {
            options.iter().filter(|o| o.2 != group).map(|o| (o.2, o.1)).collect()
        } else {
            SmallVec::new()
        };
        // A group whose VMs are silent is no other way: a request given back for its sake would come to
        // the same owner again, and again be given back.
        let part = &running.parts[index];
        let other = options
            .iter()
            .filter(|o| o.2 != group && !o.0)
            .find(|o| self.vm_for(cx, o.2, part, why).is_some())
            .map(|o| o.1);
        let back =
            cx.view.index.get(group).map(|m| cx.view.distance.between(cx.view.here, m.place));
        let patience =
            other.map(|other| Millis::from_f64(PATIENCE * (other + back.unwrap_or_default())));
        Some(Route { group, to, stand_in, estimate, patience, passed })
    }

    /// The VM to ask when another has said that it does not dispatch to the group.
    fn vm_after_move(&self, owners: &[Vm], part: &Part) -> Option<(Vm, bool)> {
        // A VM that leaves has handed its groups over before this one has heard of it. Asked again and
        // again it turns the request away until none is left to try, though the VM that it names, or
        // the second in rank, would serve it. From the second time on it is asked to in any case.
        let usable = |vm: &Vm| !part.turned_away.contains(vm) && !self.paths.stalled(*vm);
        let named = part.named.filter(usable);
        let vm = named.or_else(|| owners.iter().copied().find(|vm| usable(vm)));
        let vm = vm.or_else(|| owners.first().copied())?;
        let insist = part.turned_away.len() > 1 || named.is_none();
        Some((vm, insist))
    }

    /// The VM to ask for a group: its owner, or a stand-in while the owner is silent.
    fn vm_for(&self, cx: &Cx<'_>, group: Group, part: &Part, why: Why) -> Option<(Vm, bool)> {
        let owners = cx.view.owners.owners(group);
        if why == Why::Moved {
            return self.vm_after_move(&owners, part);
        }
        let asked = |vm: &Vm| part.attempts.iter().any(|a| a.to == *vm && a.group == group);
        let free = |vm: &&Vm| !self.paths.stalled(**vm) && (why != Why::Silent || !asked(vm));
        let usable = owners.iter().find(free)?;
        Some((*usable, Some(usable) != owners.first()))
    }
}
