//! Logged decisions of one query, fetched from VMs.

use crate::Access;
use std::fmt::Write;
use tgw_serve::status::Line;

/// Fetches the decisions about a query from all VMs. VMs that do not answer are skipped.
pub async fn fetch(access: &Access, query: &str) -> Vec<Line> {
    let mut lines: Vec<Line> = Vec::new();
    // Only the entry VM knows the caller's own ID of a query; group owners know the internal query ID.
    let mut query_id = query.to_owned();
    for addr in &access.addrs {
        let path = format!("/admin/explain/{query}");
        if let Ok(found) = access.get::<Vec<Line>>(*addr, &path).await {
            if let Some(line) = found.iter().find(|l| l.part == "entry") {
                query_id.clone_from(&line.query);
            }
            lines.extend(found);
        }
    }
    if query_id != query {
        for addr in &access.addrs {
            let path = format!("/admin/explain/{query_id}");
            if let Ok(found) = access.get::<Vec<Line>>(*addr, &path).await {
                lines.extend(found.into_iter().filter(|l| l.part != "entry"));
            }
        }
    }
    lines
}

/// Formats the decisions for people: VM by VM, the entry VM first, with times relative to the VM's first line.
pub fn render(lines: &[Line]) -> String {
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
