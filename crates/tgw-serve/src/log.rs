use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use tgw_clock::Millis;
use tgw_node::Decision;

/// Queries whose decisions are kept for `explain`.
const KEPT: usize = 4096;
/// Decisions kept of one query.
const LINES: usize = 1024;

/// One decision as `explain` shows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    /// Milliseconds since this VM's process started.
    pub at_ms: f64,
    /// The VM that decided.
    pub vm: String,
    /// The query's identity.
    pub query: String,
    /// The part of the core that decided.
    pub part: String,
    /// What was decided.
    pub text: String,
}

/// Writes a line for each decision and keeps the latest for `explain`.
pub(crate) struct Log {
    vm: String,
    kept: BTreeMap<String, Vec<Line>>,
    order: VecDeque<String>,
    labels: BTreeMap<String, String>,
}

impl Log {
    pub(crate) fn new(vm: &str) -> Self {
        Self {
            vm: vm.into(),
            kept: BTreeMap::new(),
            order: VecDeque::new(),
            labels: BTreeMap::new(),
        }
    }

    /// The decisions about a query, named by its identity or by its caller's label.
    pub(crate) fn explain(&self, id: &str) -> Vec<Line> {
        let id = self.labels.get(id).map_or(id, String::as_str);
        self.kept.get(id).cloned().unwrap_or_default()
    }

    /// Remembers the caller's own name for a query.
    pub(crate) fn label(&mut self, label: &str, query: &str) {
        if self.labels.len() >= KEPT {
            self.labels.clear();
        }
        self.labels.insert(label.into(), query.into());
    }

    pub(crate) fn note(&mut self, now: Millis, decision: &Decision) {
        match decision {
            Decision::Query(decision) => {
                let query = decision.query.to_string();
                let (service, remaining) = (decision.service, decision.remaining.as_f64());
                tracing::info!(target: "tgw::decision", %query, %service, left_ms = remaining,
                    decision = %decision.kind);
                let text = format!("{} ({remaining:.1} ms left)", decision.kind);
                self.keep(now, &query, "entry", text);
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
                        self.keep(now, &query, "owner", text);
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

    fn keep(&mut self, now: Millis, query: &str, part: &str, text: String) {
        if !self.kept.contains_key(query) {
            if self.order.len() >= KEPT
                && let Some(oldest) = self.order.pop_front()
            {
                self.kept.remove(&oldest);
            }
            self.order.push_back(query.into());
        }
        let lines = self.kept.entry(query.into()).or_default();
        if lines.len() < LINES {
            let (vm, part) = (self.vm.clone(), part.into());
            lines.push(Line { at_ms: now.as_f64(), vm, query: query.into(), part, text });
        }
    }
}
