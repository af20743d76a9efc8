use serde::Serialize;

/// Figures of a start.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// VMs in total.
    pub vms: usize,
    /// Calls of the store; reading a copy counts as a tenth.
    pub calls: f64,
    /// VMs that read the store.
    pub readers: usize,
    /// Time in ms from a VM's start until it can serve: median, 99th percentile and maximum.
    pub serves_ms: [f64; 3],
    /// The same until it holds the current state and announces its version.
    pub holds_ms: [f64; 3],
    /// Bytes that a VM sends: mean and maximum.
    pub bytes: [f64; 2],
    /// Live VMs that never obtained the state.
    pub without: usize,
}

/// Formats the outcomes as a table.
pub fn text(outcomes: &[(String, Outcome)]) -> String {
    let mut text = format!(
        "{:<34} {:>6} {:>8} {:>8} {:>20} {:>20} {:>16}\n",
        "start",
        "VMs",
        "calls",
        "readers",
        "serves ms 50/99/all",
        "holds ms 50/99/all",
        "bytes, most"
    );
    for (name, o) in outcomes {
        let times = |t: [f64; 3]| format!("{:.0} / {:.0} / {:.0}", t[0], t[1], t[2]);
        text += &format!(
            "{name:<34} {:>6} {:>8.1} {:>8} {:>20} {:>20} {:>16}\n",
            o.vms,
            o.calls,
            o.readers,
            times(o.serves_ms),
            times(o.holds_ms),
            format!("{:.0}, {:.0}", o.bytes[0], o.bytes[1]),
        );
    }
    text
}
