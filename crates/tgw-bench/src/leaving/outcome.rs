use serde::Serialize;

/// Figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// VMs in total.
    pub vms: usize,
    /// Time in ms from the store's acknowledgement of a change until a VM stops sending there:
    /// median, 99th percentile and maximum. For a VM that was paused or cut off it counts from when
    /// the platform considers the VM reachable again.
    pub after_ms: [f64; 3],
    /// Cases in which a VM had not learned of a change by the end.
    pub never: usize,
    /// The least share of the live upstreams that any VM could send to at any time.
    pub usable: f64,
    /// Calls of the store.
    pub calls: usize,
}

/// Formats the outcomes as a table.
pub fn text(outcomes: &[(String, Outcome)]) -> String {
    let mut text = format!(
        "{:<46} {:>5} {:>24} {:>6} {:>7} {:>6}\n",
        "beside", "VMs", "last send ms 50/99/all", "never", "usable", "calls"
    );
    for (name, o) in outcomes {
        let [median, most, all] = o.after_ms;
        text += &format!(
            "{name:<46} {:>5} {:>24} {:>6} {:>7.2} {:>6}\n",
            o.vms,
            format!("{median:.0} / {most:.0} / {all:.0}"),
            o.never,
            o.usable,
            o.calls
        );
    }
    text
}
