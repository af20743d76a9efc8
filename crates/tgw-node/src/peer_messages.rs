use crate::{
    Node, Output,
    message::{Completion, Message, Request},
    orders::FIRST_ORDER_NUMBER,
};
use tgw_clock::Millis;
use tgw_dispatch::{
    Leaf,
    leaf::{Operation, Outcome},
    owner,
};
use tgw_query::Event;
use tgw_topology::Vm;

impl Node {
    pub(crate) fn handle_message(
        &mut self,
        now: Millis,
        from: Vm,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Request(request) => self.handle_request(now, from, request, out),
            Message::Cancel(key) => self.handle_owner_event(now, owner::Event::Cancel(key), out),
            Message::Outcome(completion) if completion.key.query.number >= FIRST_ORDER_NUMBER => {
                let effects = self.orders.handle_outcome(now, &completion);
                self.apply_order_effects(now, effects, out);
            }
            Message::Order(order) => {
                let effects = self.orders.handle_forwarded(now, from, order);
                self.apply_order_effects(now, effects, out);
            }
            Message::OrderOutcome(number, outcome) => {
                if let Some(token) = self.orders.remove_accepted(number) {
                    out.push(Output::AnswerOrder(token, outcome));
                }
            }
            Message::Outcome(Completion {
                key,
                outcome,
                snapshot_counts,
                extra_sends,
                queue_wait,
                load_ratio,
            }) => {
                let event = Event::Outcome {
                    from,
                    key,
                    outcome,
                    snapshot_counts,
                    extra_sends,
                    queue_wait,
                    load_ratio,
                };
                self.handle_entry_event(now, event, out);
            }
            Message::Probe => out.push(Output::SendMessage(from, Message::Heartbeat)),
            Message::Heartbeat => self.handle_entry_event(now, Event::MessageReceived(from), out),
            Message::Leaving(upstream) => self.mark_leaving(now, upstream, false, out),
        }
    }

    pub(crate) fn handle_request(
        &mut self,
        now: Millis,
        from: Vm,
        request: Request,
        out: &mut Vec<Output>,
    ) {
        if from != self.me {
            self.working_for.insert(from);
        }
        let Request {
            group,
            stand_in,
            key,
            snapshot,
            remaining,
            queue_timeout,
            body,
            log_decisions,
            operation,
        } = request;
        if stand_in {
            let effects = self.groups.stand_in(now, group);
            self.apply_group_effects(now, group, effects, "stands in: the owner is silent", out);
        }
        if !self.groups.serves(group) {
            let outcome = Outcome::Moved(self.owner_of(group).filter(|vm| *vm != self.me));
            return self.send_message(
                now,
                from,
                Message::Outcome(Completion::unqueued(key, outcome)),
                out,
            );
        }
        let replicas = match &operation {
            Operation::Search => {
                self.catalog.replicas(group.service, snapshot.layout, key.shard).into()
            }
            Operation::Order(_) => self.upstreams(group),
        };
        let queue_deadline = queue_timeout.map(|p| now + p);
        let leaf = Leaf {
            key,
            snapshot,
            deadline: now + remaining,
            queue_deadline,
            body,
            traced: log_decisions,
            operation,
        };
        self.handle_owner_event(now, owner::Event::Request { group, replicas, leaf }, out);
    }

    /// Calls `work` with the query fan-out and the view it decides on.
    /// Sends the outcome that the dispatcher reports to the VM that asked; other actions carry none.
    pub(crate) fn send_outcome(
        &mut self,
        now: Millis,
        action: owner::Action,
        out: &mut Vec<Output>,
    ) {
        let owner::Action::Answer {
            key,
            outcome,
            snapshot_counts,
            extra_sends,
            queue_wait,
            load_ratio,
        } = action
        else {
            return;
        };
        let completion =
            Completion { key, outcome, snapshot_counts, extra_sends, queue_wait, load_ratio };
        self.send_message(now, key.from, Message::Outcome(completion), out);
    }

    /// Sends a message; a message to this VM itself is handled directly.
    pub(crate) fn send_message(
        &mut self,
        now: Millis,
        to: Vm,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        if to == self.me {
            self.handle_message(now, to, message, out);
        } else {
            out.push(Output::SendMessage(to, message));
        }
    }
}
