use crate::{
    context::Context,
    entry::{Budgets, Entry},
    event::{Action, AttemptReason, DecisionKind, View},
    running::{Attempt, RunningQuery, ShardProgress},
};
use rand::Rng;
use smallvec::SmallVec;
use tgw_clock::Millis;
use tgw_dispatch::leaf::{Key, Leaf, Operation};
use tgw_tail::{Average, Budget, Hedge};
use tgw_topology::{Group, Service, Vm};

/// Share of requests that the entry may hedge even if owners have used up the budget.
const MIN_HEDGE_RATIO: f64 = 0.002;
const EXTRA_SENDS_WEIGHT: f64 = 0.002;
/// Most retries that the budget may accumulate: all requests of a dead owner are retried at once.
const RETRY_BURST_REQUESTS: f64 = 512.0;

/// Mean of the random delay added to each estimate.
const ESTIMATE_JITTER_MEAN_MS: f64 = 2.0;

/// Most time in a queue, as a ratio of the time that another group would need, including the way
/// back.
const MAX_QUEUE_WAIT_RATIO: f64 = 0.6;

/// Target of one leaf request.
struct Route {
    group: Group,
    to: Vm,
    stand_in: bool,
    estimate: f64,
    /// How long the request may wait in the owner's queue before another group is the better
    /// choice.
    queue_timeout: Option<Millis>,
    skipped: SmallVec<[(Group, f64); 3]>,
}

impl Entry {
    pub(crate) fn budgets(&mut self, cx: &Context<'_>, service: Service) -> &mut Budgets {
        let row = cx.row(service);
        let hedge_share = row.map_or(0.0, |r| r.hedge_pct / 100.0);
        let retry_share = row.map_or(0.0, |r| r.retry_pct / 100.0);
        let budgets = self.budgets.entry(service).or_insert_with(|| Budgets {
            hedge: Hedge::new(hedge_share),
            retry: Budget::new(retry_share, RETRY_BURST_REQUESTS),
            owner_extra_sends: Average::new(0.0, EXTRA_SENDS_WEIGHT),
        });
        // Owners hedge from the budget of the same row: what they use is not available to the
        // entry.
        let remaining_share =
            (hedge_share - budgets.owner_extra_sends.get()).max(MIN_HEDGE_RATIO.min(hedge_share));
        budgets.hedge.set_ratio(remaining_share);
        budgets.retry.set_ratio(retry_share);
        budgets
    }

    /// Sends a leaf request for one shard; false if no group is available for it.
    pub(crate) fn request_shard(
        &mut self,
        cx: &mut Context<'_>,
        running: &mut RunningQuery,
        index: usize,
        why: AttemptReason,
    ) -> bool {
        let Some(route) = self.select_route(cx, running, index, why) else { return false };
        let Route { group, to, stand_in, estimate, queue_timeout, skipped } = route;
        let traced = running.traced;
        let progress = &mut running.shards[index];
        let number = progress.next_attempt;
        progress.next_attempt = progress.next_attempt.saturating_add(1);
        progress.attempts.push(Attempt {
            number,
            group,
            to,
            sent_at: cx.now,
            in_flight: true,
            returned_unsent: false,
        });
        let key = Key {
            from: self.options.vm,
            query: running.query,
            shard: progress.shard,
            attempt: number,
        };
        let shard = progress.shard;
        self.tracker.record_attempt(cx.now, group, to);
        if !matches!(why, AttemptReason::First | AttemptReason::Moved | AttemptReason::Crowded) {
            self.stats.extra_requests += 1;
        }
        cx.log_decision(
            running,
            DecisionKind::Ask { shard, attempt: number, group, to, why, estimate, passed: skipped },
        );
        let leaf = Leaf {
            key,
            snapshot: running.snapshot,
            deadline: running.deadline,
            queue_deadline: queue_timeout.map(|p| cx.now + p),
            body: running.body.clone(),
            traced,
            operation: Operation::Search,
        };
        cx.out.push(Action::Request { to, group, stand_in, leaf });
        true
    }

    /// The group of `groups` with the earliest expected answer, and the VM that dispatches to it.
    pub fn best_group(
        &self,
        now: Millis,
        groups: &[Group],
        except: &[Group],
        view: &View<'_>,
    ) -> Option<(Group, Vm)> {
        let available_vm = |group: &Group| {
            let owners = view.owners.owners(*group);
            owners.iter().find(|vm| !self.tracker.is_unresponsive(**vm)).copied()
        };
        groups
            .iter()
            .filter(|g| !except.contains(g))
            .filter_map(|g| Some((self.tracker.estimate_ms(now, *g, view), *g, available_vm(g)?)))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, group, vm)| (group, vm))
    }

    /// The group and VM for a request for one shard: untried groups first, then the earliest
    /// expected answer.
    fn select_route(
        &mut self,
        cx: &Context<'_>,
        running: &RunningQuery,
        index: usize,
        why: AttemptReason,
    ) -> Option<Route> {
        let progress = &running.shards[index];
        let replicas =
            cx.view.catalog.replicas(running.service, running.snapshot.layout, progress.shard);
        let mut options: SmallVec<[(bool, f64, Group); 4]> = SmallVec::new();
        for node in replicas.iter().filter_map(|u| cx.view.catalog.upstreams.get(u)) {
            let group = node.group();
            if options.iter().any(|o| o.2 == group) || !self.tracker.holds(group, running.snapshot)
            {
                continue;
            }
            let tried = progress.was_tried(group)
                && !matches!(why, AttemptReason::Moved | AttemptReason::Silent);
            // All VMs receive the same load of a group at about the same time. Without jitter, they
            // would all switch to the least loaded group together and overload it.
            let jitter =
                -ESTIMATE_JITTER_MEAN_MS * self.rng.random_range(f64::MIN_POSITIVE..1.0).ln();
            options.push((tried, self.tracker.estimate_ms(cx.now, group, cx.view) + jitter, group));
        }
        options.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        if why == AttemptReason::Hedge {
            options.retain(|o| !o.0);
        }
        let chosen = options.iter().find_map(|(_, estimate, group)| {
            let (to, stand_in) = self.select_vm(cx, *group, progress, why)?;
            Some((*group, to, stand_in, *estimate))
        });
        let (group, to, stand_in, estimate) = chosen?;
        let skipped = if running.traced {
            options.iter().filter(|o| o.2 != group).map(|o| (o.2, o.1)).collect()
        } else {
            SmallVec::new()
        };
        // A group whose VMs are unresponsive is no alternative: a request returned for its sake
        // would be sent to the same owner, and be returned again.
        let progress = &running.shards[index];
        let alternative = options
            .iter()
            .filter(|o| o.2 != group && !o.0)
            .find(|o| self.select_vm(cx, o.2, progress, why).is_some())
            .map(|o| o.1);
        let return_delay = cx
            .view
            .index
            .get(group)
            .map(|m| cx.view.network_delays.between(cx.view.local_place, m.place));
        let queue_timeout = alternative.map(|other| {
            Millis::from_f64(MAX_QUEUE_WAIT_RATIO * (other + return_delay.unwrap_or_default()))
        });
        Some(Route { group, to, stand_in, estimate, queue_timeout, skipped })
    }

    /// The VM to send a request to after another one declined it because it does not own the group.
    fn select_vm_after_move(&self, owners: &[Vm], progress: &ShardProgress) -> Option<(Vm, bool)> {
        // A leaving VM hands its groups over before this VM learns of it. If it were sent the
        // request again, it would decline until no moves are left, although the VM that it names,
        // or the second in rank, would serve it. From the second move on, or if the VM was not
        // named as the owner, it is told to stand in.
        let is_usable =
            |vm: &Vm| !progress.declined_by.contains(vm) && !self.tracker.is_unresponsive(*vm);
        let named_owner = progress.named_owner.filter(is_usable);
        let vm = named_owner.or_else(|| owners.iter().copied().find(|vm| is_usable(vm)));
        let vm = vm.or_else(|| owners.first().copied())?;
        let stand_in = progress.declined_by.len() > 1 || named_owner.is_none();
        Some((vm, stand_in))
    }

    /// The VM to send a request to: the owner of the group, or a stand-in while it is unresponsive.
    fn select_vm(
        &self,
        cx: &Context<'_>,
        group: Group,
        progress: &ShardProgress,
        why: AttemptReason,
    ) -> Option<(Vm, bool)> {
        let owners = cx.view.owners.owners(group);
        if why == AttemptReason::Moved {
            return self.select_vm_after_move(&owners, progress);
        }
        let already_asked =
            |vm: &Vm| progress.attempts.iter().any(|a| a.to == *vm && a.group == group);
        let is_available = |vm: &&Vm| {
            !self.tracker.is_unresponsive(**vm)
                && (why != AttemptReason::Silent || !already_asked(vm))
        };
        let chosen = owners.iter().find(is_available)?;
        Some((*chosen, Some(chosen) != owners.first()))
    }
}
