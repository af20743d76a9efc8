//! Requests that a gateway quarantines because upstream processes end while serving them.

use crate::call;
use hyper::{Method, StatusCode};
use std::{fmt::Write, net::SocketAddr};
use tgw_gateway::quarantine::{HTTP_PATH, QuarantinedRequest};
use tgw_quarantine::Fingerprint;

/// Fetches the quarantined requests of a VM from its readiness address.
pub async fn fetch(addr: SocketAddr) -> anyhow::Result<Vec<QuarantinedRequest>> {
    let (status, body) = call::call(addr, Method::GET, HTTP_PATH, None).await?;
    call::decode(addr, status, &body)
}

/// Makes a VM release a request from quarantine and notify the other VMs. Returns false if the request is
/// not quarantined there.
pub async fn release(addr: SocketAddr, fingerprint: Fingerprint) -> anyhow::Result<bool> {
    let path = format!("{HTTP_PATH}/{fingerprint}");
    let (status, _) = call::call(addr, Method::DELETE, &path, None).await?;
    anyhow::ensure!(
        status.is_success() || status == StatusCode::NOT_FOUND,
        "unexpected status {status}"
    );
    Ok(status.is_success())
}

/// Formats quarantined requests as a table for people.
pub fn render(entries: &[QuarantinedRequest]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<26} {:<10} {:<9} {:>5} {:>6} {:>9} {:>9}",
        "fingerprint", "held", "state", "ended", "trials", "trial in", "last seen"
    );
    for entry in entries {
        let scope = if entry.at_all_services { "everywhere" } else { "services" };
        let state = if entry.confirmed { "confirmed" } else { "resting" };
        let (wait, idle) = (entry.next_trial_in_ms / 1_000, entry.last_request_ms / 1_000);
        let _ = writeln!(
            out,
            "{:<26} {scope:<10} {state:<9} {:>5} {:>6} {wait:>8}s {idle:>8}s",
            entry.fingerprint, entry.upstreams_ended, entry.trials
        );
    }
    out
}
