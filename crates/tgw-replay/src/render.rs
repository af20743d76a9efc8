use tgw_node::{Message, Note, Output, message::Told};

/// Formats one output as it stands in a trace.
pub fn render(output: &Output) -> String {
    match output {
        Output::Tell(to, message) => format!("tell {to} {}", render_message(message)),
        Output::Send { ticket, upstream, leaf } => {
            format!("send t{ticket} {upstream} {} {}", leaf.key, leaf.snapshot)
        }
        Output::Abort { ticket, upstream } => format!("abort t{ticket} {upstream}"),
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
        Output::Ordered(token, outcome) => format!("ordered {token} {outcome:?}"),
        Output::Store(action) => format!("store {action:?}"),
        Output::Connect(upstreams) => format!("connect {upstreams:?}"),
        Output::Disconnect(upstreams) => format!("disconnect {upstreams:?}"),
        Output::Note(note) => render_note(note),
    }
}

fn render_message(message: &Message) -> String {
    match message {
        Message::Ask(ask) => {
            let stand_in = if ask.stand_in { " as stand-in" } else { "" };
            format!("ask {} {} {}{stand_in}", ask.group, ask.key, ask.snapshot)
        }
        Message::Cancel(key) => format!("cancel {key}"),
        Message::Outcome(Told { key, outcome, extra, waited, .. }) => {
            format!("outcome {key} {} extra {extra} waited {waited}", render_outcome(outcome))
        }
        Message::Alive => "alive".into(),
        Message::Probe => "probe".into(),
        Message::Order(order) => format!("order {} {}", order.number, order.key.claim_name()),
        Message::Ordered(number, outcome) => format!("ordered {number} {outcome:?}"),
        Message::Leaving(upstream) => format!("leaving {upstream}"),
    }
}

fn render_outcome(outcome: &tgw_node::LeafOutcome) -> String {
    match outcome {
        tgw_node::LeafOutcome::Items(items) => format!("{} bytes", items.len()),
        other => format!("{other:?}"),
    }
}

fn render_note(note: &Note) -> String {
    match note {
        Note::Entry(note) => format!("note {} {}", note.query, note.kind),
        Note::Dispatch(note) => {
            let key = note.key.map(|k| k.to_string()).unwrap_or_default();
            format!("note {key} {} {} passed {:?}", note.kind, note.upstream, note.skipped)
        }
        Note::Placement(place) => {
            let owner = place.owner.map(|vm| vm.to_string()).unwrap_or_default();
            format!("note {} owner {owner}: {}", place.group, place.what)
        }
    }
}
