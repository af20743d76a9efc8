use crate::{
    Intake, Node, Output,
    orders::{self},
};
use tgw_clock::Millis;
use tgw_query::answer::{Cause, Refusal};
use tgw_topology::Group;

/// What a caller whose order was refused is told to wait.
const RETRY_AFTER: Millis = Millis::new(500);

impl Node {
    pub(crate) fn order(&mut self, now: Millis, intake: Intake, out: &mut Vec<Output>) {
        let Intake { token, key, age_s, within, body } = intake;
        let name = self.catalog.services.get(&key.service).map(|s| &s.name);
        let row = name.and_then(|n| self.table.as_ref()?.rows.get(n));
        let refusal = match row {
            _ if self.draining => Some(Cause::Draining),
            None if self.table.is_none() => Some(Cause::NotReady),
            None => Some(Cause::UnknownService),
            Some(row) if !row.orders => Some(Cause::NoOrders),
            Some(_) => None,
        };
        if let Some(reason) = refusal {
            let retry_after = RETRY_AFTER;
            return out.push(Output::Refuse(token, Refusal { reason, retry_after }));
        }
        let deadline = row.map_or(Millis::ZERO, tgw_table::Row::deadline);
        let deadline = now + within.map_or(deadline, |w| w.min(deadline));
        let order = orders::Taken { token, key, age_s, deadline, body };
        let steps = self.orders.take(now, order, &self.map);
        self.order_steps(now, steps, out);
    }

    pub(crate) fn order_steps(
        &mut self,
        now: Millis,
        steps: Vec<orders::Step>,
        out: &mut Vec<Output>,
    ) {
        for step in steps {
            match step {
                orders::Step::Tell(to, message) => self.tell(now, to, message, out),
                orders::Step::Answer(token, outcome) => out.push(Output::Ordered(token, outcome)),
                orders::Step::Store(action) => out.push(Output::Store(action)),
                orders::Step::Run(run) => {
                    let steps = self.run_order(now, run);
                    self.order_steps(now, steps, out);
                }
            }
        }
    }

    /// Sends a claimed order to the owner of the group that promises it the earliest slot, leaving
    /// out groups that were tried.
    pub(crate) fn run_order(&mut self, now: Millis, run: orders::Run) -> Vec<orders::Step> {
        let groups = self.index.iter().map(|(group, _)| group);
        let own: Vec<Group> = groups.filter(|g| g.service == run.key.service).collect();
        let best = self.with_view(|entry, view| entry.best_group(now, &own, &run.tried, view));
        self.orders.send(now, run, best)
    }
}
