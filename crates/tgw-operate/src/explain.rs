//! What one query's decisions were.

use crate::Access;
use std::fmt::Write;
use tgw_serve::status::Line;

/// Asks all VMs for their decisions about a query; those of its entry first.
pub async fn fetch(access: &Access, query: &str) -> Vec<Line> {
    let mut lines: Vec<Line> = Vec::new();
    // A caller's own name for a query is known at its entry only; the owners know its identity.
    let mut identity = query.to_owned();
    for addr in &access.addrs {
        let path = format!("/admin/explain/{query}");
        if let Ok(found) = access.get::<Vec<Line>>(*addr, &path).await {
            if let Some(line) = found.iter().find(|l| l.part == "entry") {
                identity.clone_from(&line.query);
            }
            lines.extend(found);
        }
    }
    if identity != query {
        for addr in &access.addrs {
            let path = format!("/admin/explain/{identity}");
            if let Ok(found) = access.get::<Vec<Line>>(*addr, &path).await {
                lines.extend(found.into_iter().filter(|l| l.part != "entry"));
            }
        }
    }
    lines
}

/// The decisions as a person would tell them.
pub fn text(lines: &[Line]) -> String {
    let mut out = String::new();
    let mut vms: Vec<&str> = Vec::new();
    let entry_first = lines.iter().filter(|l| l.part == "entry").chain(lines);
    for line in entry_first {
        if !vms.contains(&line.vm.as_str()) {
            vms.push(&line.vm);
        }
    }
    for vm in vms {
        let own: Vec<&Line> = lines.iter().filter(|l| l.vm == vm).collect();
        let start = own.first().map_or(0.0, |l| l.at_ms);
        let role =
            if own.iter().any(|l| l.part == "entry") { "took the query in" } else { "dispatched" };
        let _ = writeln!(out, "{vm} {role}:");
        for line in own {
            let _ = writeln!(out, "  +{:>8.1} ms  {}", line.at_ms - start, line.text);
        }
    }
    out
}
