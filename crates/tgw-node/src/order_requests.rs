use crate::{
    IncomingOrder, Node, Output,
    orders::{self},
};
use tgw_clock::Millis;
use tgw_query::answer::{Refusal, RefusalReason};
use tgw_topology::Group;

/// Retry-after time given to callers whose order was rejected.
const RETRY_AFTER_MS: Millis = Millis::new(500);

impl Node {
    pub(crate) fn submit_order(
        &mut self,
        now: Millis,
        incoming: IncomingOrder,
        out: &mut Vec<Output>,
    ) {
        let IncomingOrder { token, key, key_age_s, timeout, body } = incoming;
        let name = self.catalog.services.get(&key.service).map(|s| &s.name);
        let row = name.and_then(|n| self.table.as_ref()?.rows.get(n));
        let refusal = match row {
            _ if self.draining => Some(RefusalReason::Draining),
            None if self.table.is_none() => Some(RefusalReason::NotReady),
            None => Some(RefusalReason::UnknownService),
            Some(row) if !row.orders => Some(RefusalReason::NoOrders),
            Some(_) => None,
        };
        if let Some(reason) = refusal {
            let retry_after = RETRY_AFTER_MS;
            return out.push(Output::Refuse(token, Refusal { reason, retry_after }));
        }
        let deadline = row.map_or(Millis::ZERO, tgw_table::Row::deadline);
        let deadline = now + timeout.map_or(deadline, |t| t.min(deadline));
        let order = orders::NewOrder { token, key, key_age_s, deadline, body };
        let effects = self.orders.accept(now, order, &self.assignment);
        self.apply_order_effects(now, effects, out);
    }

    pub(crate) fn apply_order_effects(
        &mut self,
        now: Millis,
        effects: Vec<orders::Effect>,
        out: &mut Vec<Output>,
    ) {
        for effect in effects {
            match effect {
                orders::Effect::Send(to, message) => self.send_message(now, to, message, out),
                orders::Effect::Answer(token, outcome) => {
                    out.push(Output::AnswerOrder(token, outcome));
                }
                orders::Effect::Store(action) => out.push(Output::CallStore(action)),
                orders::Effect::Run(run) => {
                    let effects = self.send_order(now, run);
                    self.apply_order_effects(now, effects, out);
                }
            }
        }
    }

    /// Sends a claimed order to the owner of the group whose slot is estimated to be free first, except
    /// groups that were tried already.
    pub(crate) fn send_order(&mut self, now: Millis, run: orders::Run) -> Vec<orders::Effect> {
        let groups = self.index.iter().map(|(group, _)| group);
        let candidates: Vec<Group> = groups.filter(|g| g.service == run.key.service).collect();
        let best =
            self.with_view(|entry, view| entry.best_group(now, &candidates, &run.tried, view));
        self.orders.send_to_group(now, run, best)
    }
}
