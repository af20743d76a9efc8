//! The fleet as its VMs see it.

use crate::Access;
use serde::Serialize;
use std::fmt::Write;
use tgw_serve::Status;

/// What the VMs that were asked tell, and which did not answer.
#[derive(Clone, Debug, Serialize)]
pub struct Fleet {
    /// One view a VM.
    pub views: Vec<Status>,
    /// Why a VM did not answer.
    pub silent: Vec<String>,
}

/// Asks all VMs.
pub async fn fetch(access: &Access) -> Fleet {
    let mut fleet = Fleet { views: Vec::new(), silent: Vec::new() };
    for addr in &access.addrs {
        match access.get(*addr, "/admin/status").await {
            Ok(status) => fleet.views.push(status),
            Err(error) => fleet.silent.push(format!("{error:#}")),
        }
    }
    fleet
}

/// Where a version of the table is not yet in force, as one VM sees it; empty if it is everywhere.
pub fn not_in_force(status: &Status, edit: u64) -> Vec<String> {
    let mut late = Vec::new();
    if status.edit < edit {
        late.push(format!("{}: edition {} is in force", status.vm, status.edit));
    }
    for domain in &status.domains {
        if !domain.reachable {
            late.push(format!("domain {}: cut off, edition unknown", domain.domain));
        } else if domain.edit < edit {
            let example = domain.example.as_deref().unwrap_or("its VMs");
            let text = format!(
                "domain {}: edition {} at {example} ({} behind)",
                domain.domain, domain.edit, domain.behind
            );
            late.push(text);
        }
    }
    let live = status.vms.iter().filter(|v| v.state == "alive" && v.reachable);
    for vm in live {
        let domain = vm.place.split_once("/d").and_then(|(_, d)| d.parse::<u8>().ok());
        if !status.domains.iter().any(|d| Some(d.domain) == domain) {
            late.push(format!("{}: has not reported yet", vm.name));
        }
    }
    late
}

/// The fleet as a table for people.
pub fn text(fleet: &Fleet) -> String {
    let mut out = String::new();
    for silent in &fleet.silent {
        let _ = writeln!(out, "no answer  {silent}");
    }
    let Some(first) = fleet.views.first() else { return out };
    let _ = writeln!(out, "{:<20} {:<8} {:<9} {:<8} address", "VM", "place", "state", "reach");
    for vm in &first.vms {
        let reach = if vm.reachable { "yes" } else { "CUT" };
        let _ =
            writeln!(out, "{:<20} {:<8} {:<9} {reach:<8} {}", vm.name, vm.place, vm.state, vm.addr);
    }
    let _ = writeln!(out, "\n{:<8} {:<8} {:<8} slowest", "domain", "edition", "behind");
    for domain in &first.domains {
        let example = domain.example.as_deref().unwrap_or("-");
        let _ =
            writeln!(out, "{:<8} {:<8} {:<8} {example}", domain.domain, domain.edit, domain.behind);
    }
    let _ = writeln!(
        out,
        "\n{:<9} {:<18} {:<10} {:<20} {:<10} running",
        "upstream", "service", "group", "owner", "state"
    );
    for line in &first.upstreams {
        // The owner alone knows an upstream's state.
        let own = fleet.views.iter().find(|v| v.vm == line.owner);
        let seen = own.and_then(|v| v.upstreams.iter().find(|u| u.upstream == line.upstream));
        let state = match seen {
            Some(seen) if seen.leaving => "leaving",
            Some(seen) if !seen.state.is_empty() => seen.state.as_str(),
            _ if line.leaving => "leaving",
            _ => "?",
        };
        let running = seen.map_or(0, |s| s.running);
        let _ = writeln!(
            out,
            "{:<9} {:<18} {:<10} {:<20} {state:<10} {running}",
            line.upstream, line.service, line.group, line.owner
        );
    }
    out
}
