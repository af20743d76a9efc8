use crate::{
    event::{Action, Decision, DecisionKind, View},
    running::RunningQuery,
};
use tgw_clock::Millis;
use tgw_table::Row;
use tgw_topology::Service;

/// Context of one step of the entry: the time, the inputs that it reads, the actions that it
/// appends.
pub(crate) struct Context<'a> {
    pub(crate) now: Millis,
    pub(crate) view: &'a View<'a>,
    pub(crate) out: &'a mut Vec<Action>,
}

impl<'a> Context<'a> {
    /// The row of a service that is both in the catalog and in the table.
    pub(crate) fn row(&self, service: Service) -> Option<&'a Row> {
        let entry = self.view.catalog.services.get(&service)?;
        self.view.table?.rows.get(&entry.name)
    }

    /// Logs a decision about a query whose decisions are sampled.
    pub(crate) fn log_decision(&mut self, running: &RunningQuery, kind: DecisionKind) {
        if running.traced {
            let RunningQuery { query, service, deadline, .. } = running;
            let remaining = *deadline - self.now;
            self.out.push(Action::LogDecision(Decision {
                query: *query,
                service: *service,
                remaining,
                kind,
            }));
        }
    }
}
