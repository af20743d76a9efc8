use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use tgw_clock::Millis;
use tgw_node::Decision;

/// Number of queries whose decisions are kept for `explain`.
const MAX_QUERIES: usize = 4096;
/// Number of decisions kept for one query.
const MAX_DECISIONS_PER_QUERY: usize = 1024;

/// One decision as shown by `explain`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    /// Milliseconds since this VM's process started.
    pub at_ms: f64,
    /// The VM that made the decision.
    pub vm: String,
    /// The query's identifier.
    pub query: String,
    /// The part of the core that made the decision.
    pub part: String,
    /// The decision as text.
    pub text: String,
}

/// Logs each decision and keeps those of the latest queries for `explain`.
pub(crate) struct Log {
    vm: String,
    decisions: BTreeMap<String, Vec<Line>>,
    oldest_first: VecDeque<String>,
    labels: BTreeMap<String, String>,
}

impl Log {
    pub(crate) fn new(vm: &str) -> Self {
        Self {
            vm: vm.into(),
            decisions: BTreeMap::new(),
            oldest_first: VecDeque::new(),
            labels: BTreeMap::new(),
        }
    }

    /// The decisions about a query, found by its identifier or by the label its caller gave it.
    pub(crate) fn explain(&self, id: &str) -> Vec<Line> {
        let id = self.labels.get(id).map_or(id, String::as_str);
        self.decisions.get(id).cloned().unwrap_or_default()
    }

    /// Records the label that a caller gave to a query.
    pub(crate) fn set_label(&mut self, label: &str, query: &str) {
        if self.labels.len() >= MAX_QUERIES {
            self.labels.clear();
        }
        self.labels.insert(label.into(), query.into());
    }

    pub(crate) fn record(&mut self, now: Millis, decision: &Decision) {
        match decision {
            Decision::Query(decision) => {
                let query = decision.query.to_string();
                let (service, remaining) = (decision.service, decision.remaining.as_f64());
                tracing::info!(target: "tgw::decision", %query, %service, left_ms = remaining,
                    decision = %decision.kind);
                let text = format!("{} ({remaining:.1} ms left)", decision.kind);
                self.store(now, &query, "entry", text);
            }
            Decision::Dispatch(decision) => {
                let query = decision.key.map(|k| k.query.to_string()).unwrap_or_default();
                let (upstream, kind) = (decision.upstream, decision.kind);
                let passed: Vec<String> =
                    decision.skipped.iter().map(|(u, why)| format!("{u}: {why}")).collect();
                let passed = passed.join(", ");
                match decision.key {
                    Some(key) => {
                        let (shard, attempt) = (key.shard, key.attempt);
                        tracing::info!(target: "tgw::decision", %query, %shard, attempt,
                            %upstream, decision = %kind, %passed);
                        let text = format!(
                            "{kind} shard {shard}#{attempt} to {upstream}, passed [{passed}]"
                        );
                        self.store(now, &query, "owner", text);
                    }
                    None => {
                        tracing::info!(target: "tgw::decision", %upstream, decision = %kind);
                    }
                }
            }
            Decision::Placement(placement) => {
                let owner = placement.owner.map(|vm| vm.to_string()).unwrap_or_default();
                tracing::info!(target: "tgw::placement", group = %placement.group,
                    upstreams = ?placement.upstreams, owner, cause = placement.reason);
            }
        }
    }

    fn store(&mut self, now: Millis, query: &str, part: &str, text: String) {
        if !self.decisions.contains_key(query) {
            if self.oldest_first.len() >= MAX_QUERIES
                && let Some(oldest) = self.oldest_first.pop_front()
            {
                self.decisions.remove(&oldest);
            }
            self.oldest_first.push_back(query.into());
        }
        let lines = self.decisions.entry(query.into()).or_default();
        if lines.len() < MAX_DECISIONS_PER_QUERY {
            let (vm, part) = (self.vm.clone(), part.into());
            lines.push(Line { at_ms: now.as_f64(), vm, query: query.into(), part, text });
        }
    }
}
