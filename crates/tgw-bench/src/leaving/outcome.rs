use serde::Serialize;

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// VMs in all.
    pub vms: usize,
    /// Time in ms from the store's acknowledgement of a leaving until a VM sends there no more: the median, 99 in 100,
    /// and the last. What a VM that was paused or cut off knows counts from when the platform counts it as reachable.
    pub after_ms: [f64; 3],
    /// Cases in which a VM did not learn of it until the end.
    pub never: usize,
    /// The least part of the upstreams that live which any VM could send to at any time.
    pub usable: f64,
    /// Calls of the store.
    pub calls: usize,
}

/// Runs beside several troubles at several sizes, as a table.
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
