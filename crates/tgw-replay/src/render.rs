use tgw_node::{Decision, Message, Output, message::Completion};

/// Formats one output as it stands in a trace.
pub fn render(output: &Output) -> String {
    match output {
        Output::SendMessage(to, message) => format!("tell {to} {}", render_message(message)),
        Output::Send { send_id, upstream, leaf } => {
            format!("send t{send_id} {upstream} {} {}", leaf.key, leaf.snapshot)
        }
        Output::Cancel { send_id, upstream } => format!("abort t{send_id} {upstream}"),
        Output::Answer(token, answer) => {
            let missing: Vec<String> =
                answer.coverage.missing.iter().map(|(s, why)| format!("{s}:{why}")).collect();
            let bytes: usize = answer.items.iter().map(|(_, items)| items.len()).sum();
            format!(
                "answer {token} {} {}/{} missing [{}] {bytes} bytes in {}",
                answer.snapshot,
                answer.coverage.answered,
                answer.coverage.shards,
                missing.join(" "),
                answer.elapsed
            )
        }
        Output::Refuse(token, refusal) => {
            format!("refuse {token} {} retry after {}", refusal.reason, refusal.retry_after)
        }
        Output::AnswerOrder(token, outcome) => format!("ordered {token} {outcome:?}"),
        Output::CallStore(action) => format!("store {action:?}"),
        Output::Connect(upstreams) => format!("connect {upstreams:?}"),
        Output::Disconnect(upstreams) => format!("disconnect {upstreams:?}"),
        Output::LogDecision(decision) => render_decision(decision),
    }
}

fn render_message(message: &Message) -> String {
    match message {
        Message::Request(request) => {
            let stand_in = if request.stand_in { " as stand-in" } else { "" };
            format!("ask {} {} {}{stand_in}", request.group, request.key, request.snapshot)
        }
        Message::Cancel(key) => format!("cancel {key}"),
        Message::Outcome(Completion { key, outcome, extra_sends, queue_wait, .. }) => {
            format!(
                "outcome {key} {} extra {extra_sends} waited {queue_wait}",
                render_outcome(outcome)
            )
        }
        Message::Heartbeat => "alive".into(),
        Message::Probe => "probe".into(),
        Message::Order(order) => format!("order {} {}", order.request_id, order.key.claim_name()),
        Message::OrderOutcome(number, outcome) => format!("ordered {number} {outcome:?}"),
        Message::Leaving(upstream) => format!("leaving {upstream}"),
    }
}

fn render_outcome(outcome: &tgw_node::LeafOutcome) -> String {
    match outcome {
        tgw_node::LeafOutcome::Items(items) => format!("{} bytes", items.len()),
        other => format!("{other:?}"),
    }
}

fn render_decision(decision: &Decision) -> String {
    match decision {
        Decision::Query(decision) => format!("note {} {}", decision.query, decision.kind),
        Decision::Dispatch(decision) => {
            let key = decision.key.map(|k| k.to_string()).unwrap_or_default();
            format!(
                "note {key} {} {} passed {:?}",
                decision.kind, decision.upstream, decision.skipped
            )
        }
        Decision::Placement(placement) => {
            let owner = placement.owner.map(|vm| vm.to_string()).unwrap_or_default();
            format!("note {} owner {owner}: {}", placement.group, placement.reason)
        }
    }
}
