use crate::shared::Shared;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
};
use tgw_clock::Millis;
use tgw_platform::Store;
use tgw_spread::{
    message::Datagram,
    reachability::{
        self, PROBE_INTERVAL_MS, PROBE_TIMEOUT_MS, ProbeResult, REPORT_TIMEOUT_MS, Reporters,
        Silence,
    },
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

/// What VMs that reported that they cannot reach the store, and those that take over from them, tell one another.
#[derive(Default)]
pub(crate) struct StoreReports {
    pub(crate) reporters: RefCell<Reporters>,
    /// VMs that ask whether this one reaches the store.
    askers: RefCell<Vec<SocketAddr>>,
    asked: Notify,
    /// Replies to this VM's question, as long as it waits for any.
    replies: RefCell<Option<BTreeMap<SocketAddr, Option<Silence>>>>,
    replied: Notify,
    /// When the store is probed next to renew this VM's own report.
    recheck_at: Cell<Millis>,
}

impl StoreReports {
    /// Another VM asks whether this one reaches the store.
    pub(crate) fn on_query(&self, from: SocketAddr) {
        self.askers.borrow_mut().push(from);
        self.asked.notify_one();
    }

    /// Another VM reaches the store again.
    pub(crate) fn on_reply(&self, from: SocketAddr, silence: Option<Silence>) {
        if let Some(replies) = &mut *self.replies.borrow_mut() {
            replies.insert(from, silence);
        }
        self.replied.notify_one();
    }
}

/// Reports a change in whether this VM can reach the store to other VMs.
pub(super) fn report_reachability(shared: &Shared, changed: bool) {
    if changed {
        let unreachable = shared.reachability.borrow().is_unreachable();
        tracing::info!(blind = unreachable, "whether the store answers this VM");
        shared.update_ready.notify_one();
    }
}

/// Whether the store was down until just now, by the words of the VMs that reported that they cannot reach it.
pub(super) async fn store_was_down(shared: &Shared) -> bool {
    let reports = &shared.store_reports;
    let asked = reports.reporters.borrow().to_ask(shared.now());
    if asked.is_empty() {
        return false;
    }
    reports.replies.replace(Some(BTreeMap::new()));
    for addr in &asked {
        shared.packets.send(*addr, &Datagram::StoreQuery);
    }
    let is_missing = || reports.replies.borrow().as_ref().is_some_and(|r| r.len() < asked.len());
    let wait = async {
        while is_missing() {
            reports.replied.notified().await;
        }
    };
    let all_replied = timeout(REPORT_TIMEOUT_MS.into(), wait).await.is_ok();
    let replies = reports.replies.take().unwrap_or_default();
    let silences: Vec<Option<Silence>> =
        asked.iter().map(|addr| replies.get(addr).copied().flatten()).collect();
    let own = shared.reachability.borrow().silence().map(|silence| silence.ago(shared.now()));
    let was_down = reachability::was_down(own, &silences);
    tracing::info!(?asked, all_replied, ?own, ?silences, was_down, "whether the store was down");
    was_down
}

/// Probes the store for as long as the process runs: often while this VM reads from it, and now and then while it reports
/// that it cannot reach it.
pub(crate) async fn run(shared: Rc<Shared>, store: Rc<dyn Store>) {
    loop {
        tokio::select! {
            () = sleep(PROBE_INTERVAL_MS.into()) => {}
            () = shared.store_reports.asked.notified() => {}
        }
        let askers = shared.store_reports.askers.take();
        let reads = shared.store_reads.any();
        if !reads && !recheck_due(&shared) && askers.is_empty() {
            continue;
        }
        let result = probe(&shared, &*store).await;
        let now = shared.now();
        let watches = *shared.relay.borrow() == Some(true);
        let changed = if reads || watches {
            record_read_probe(&shared, now, result);
            shared.reachability.borrow_mut().record_probe(now, result)
        } else {
            shared.reachability.borrow_mut().record_recheck(now, result)
        };
        report_reachability(&shared, changed);
        if result == ProbeResult::Answered {
            let silence = shared.reachability.borrow().silence().map(|silence| silence.ago(now));
            askers.into_iter().for_each(|to| {
                shared.packets.send(to, &Datagram::StoreReply(silence));
            });
        }
    }
}

/// Whether this VM has to renew its report that it cannot reach the store, or to take it back.
fn recheck_due(shared: &Shared) -> bool {
    let now = shared.now();
    let due = &shared.store_reports.recheck_at;
    if !shared.reachability.borrow().is_unreachable() {
        due.set(Millis::ZERO);
    }
    if due.get() > now {
        return false;
    }
    let next = shared.reachability.borrow_mut().next_recheck();
    due.set(next.map_or(Millis::ZERO, |interval| now + interval));
    next.is_some()
}

async fn probe(shared: &Shared, store: &dyn Store) -> ProbeResult {
    let kind = &shared.codec.kinds().config;
    match timeout(PROBE_TIMEOUT_MS.into(), store.probe(kind)).await {
        Ok(result) => {
            shared.metrics.count_store_call("probe", &result);
            if result.is_ok() { ProbeResult::Answered } else { ProbeResult::Refused }
        }
        Err(_) => ProbeResult::TimedOut,
    }
}

/// Records a probe by a VM that reads the store.
fn record_read_probe(shared: &Shared, now: Millis, result: ProbeResult) {
    let mut world = shared.world.borrow_mut();
    match result {
        // The store is then available even if a watch hangs.
        ProbeResult::Answered => world.upstreams.record_probe_answer(now),
        ProbeResult::TimedOut => world.upstreams.record_store_failure(now),
        ProbeResult::Refused => {}
    }
}
