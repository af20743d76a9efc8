//! Status of the fleet as its VMs report it.

use crate::Access;
use serde::Serialize;
use std::fmt::Write;
use tgw_serve::Status;

/// Status reports of the VMs that answered, and errors of those that did not.
#[derive(Clone, Debug, Serialize)]
pub struct Fleet {
    /// The status that each VM reports, which includes its view of the other VMs.
    pub views: Vec<Status>,
    /// One error for each VM that did not answer.
    #[serde(rename = "silent")]
    pub unresponsive: Vec<String>,
}

/// Fetches the status of all VMs.
pub async fn fetch(access: &Access) -> Fleet {
    let mut fleet = Fleet { views: Vec::new(), unresponsive: Vec::new() };
    for addr in &access.addrs {
        match access.get(*addr, "/admin/status").await {
            Ok(status) => fleet.views.push(status),
            Err(error) => fleet.unresponsive.push(format!("{error:#}")),
        }
    }
    fleet
}

/// VMs and failure domains where an edition of the table is not yet in force, as one VM sees them; empty if it
/// is in force everywhere.
pub fn outdated(status: &Status, edition: u64) -> Vec<String> {
    let mut outdated = Vec::new();
    if status.edition < edition {
        outdated.push(format!("{}: edition {} is in force", status.vm, status.edition));
    }
    for domain in &status.domains {
        if !domain.reachable {
            outdated.push(format!("domain {}: cut off, edition unknown", domain.domain));
        } else if domain.lowest_edition < edition {
            let example = domain.example_behind.as_deref().unwrap_or("its VMs");
            let text = format!(
                "domain {}: edition {} at {example} ({} behind)",
                domain.domain, domain.lowest_edition, domain.vms_behind
            );
            outdated.push(text);
        }
    }
    let live = status.vms.iter().filter(|v| v.state == "alive" && v.reachable);
    for vm in live {
        let domain = vm.place.split_once("/d").and_then(|(_, d)| d.parse::<u8>().ok());
        if !status.domains.iter().any(|d| Some(d.domain) == domain) {
            outdated.push(format!("{}: has not reported yet", vm.name));
        }
    }
    outdated
}

/// Formats the fleet's status as tables for people.
pub fn render(fleet: &Fleet) -> String {
    let mut out = String::new();
    for error in &fleet.unresponsive {
        let _ = writeln!(out, "no answer  {error}");
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
        let example = domain.example_behind.as_deref().unwrap_or("-");
        let _ = writeln!(
            out,
            "{:<8} {:<8} {:<8} {example}",
            domain.domain, domain.lowest_edition, domain.vms_behind
        );
    }
    let _ = writeln!(
        out,
        "\n{:<9} {:<18} {:<10} {:<20} {:<10} running",
        "upstream", "service", "group", "owner", "state"
    );
    for line in &first.upstreams {
        // Only the owner of an upstream's group knows the upstream's state.
        let owner = fleet.views.iter().find(|v| v.vm == line.owner);
        let reported = owner.and_then(|v| v.upstreams.iter().find(|u| u.upstream == line.upstream));
        let state = match reported {
            Some(reported) if reported.leaving => "leaving",
            Some(reported) if !reported.state.is_empty() => reported.state.as_str(),
            _ if line.leaving => "leaving",
            _ => "?",
        };
        let in_flight = reported.map_or(0, |s| s.in_flight);
        let _ = writeln!(
            out,
            "{:<9} {:<18} {:<10} {:<20} {state:<10} {in_flight}",
            line.upstream, line.service, line.group, line.owner
        );
    }
    out
}
