use crate::{
    running::Running,
    step::{Action, Note, View, What},
};
use tgw_clock::Millis;
use tgw_table::Row;
use tgw_topology::Service;

/// What every step of the entry's work needs: the time, what it reads, where its actions go.
pub(crate) struct Cx<'a> {
    pub(crate) now: Millis,
    pub(crate) view: &'a View<'a>,
    pub(crate) out: &'a mut Vec<Action>,
}

impl<'a> Cx<'a> {
    /// The row of a service that is both in the catalog and in the table.
    pub(crate) fn row(&self, service: Service) -> Option<&'a Row> {
        let entry = self.view.catalog.services.get(&service)?;
        self.view.table?.rows.get(&entry.name)
    }

    /// Logs a decision about a query that is sampled for it.
    pub(crate) fn note(&mut self, running: &Running, what: What) {
        if running.traced {
            let Running { query, service, deadline, .. } = running;
            let left = *deadline - self.now;
            self.out.push(Action::Note(Note { query: *query, service: *service, left, what }));
        }
    }
}
