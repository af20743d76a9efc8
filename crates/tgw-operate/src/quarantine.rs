//! Requests that a gateway holds back, as upstreams end under them.

use crate::call;
use hyper::{Method, StatusCode};
use std::{fmt::Write, net::SocketAddr};
use tgw_gateway::quarantine::{Held, PATH};
use tgw_quarantine::Fingerprint;

/// Asks a VM, at its readiness address, what it holds back.
pub async fn fetch(addr: SocketAddr) -> anyhow::Result<Vec<Held>> {
    let (status, body) = call::call(addr, Method::GET, PATH, None).await?;
    call::read(addr, status, &body)
}

/// Has a VM let a request go, and tell the others. False if the VM does not hold it back.
pub async fn release(addr: SocketAddr, print: Fingerprint) -> anyhow::Result<bool> {
    let path = format!("{PATH}/{print}");
    let (status, _) = call::call(addr, Method::DELETE, &path, None).await?;
    anyhow::ensure!(status.is_success() || status == StatusCode::NOT_FOUND, "status {status}");
    Ok(status.is_success())
}

/// What is held back as a table for people.
pub fn text(held: &[Held]) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<26} {:<10} {:>5} {:>6} {:>9} {:>9}",
        "fingerprint", "held", "ended", "trials", "trial in", "last seen"
    );
    for held in held {
        let place = if held.everywhere { "everywhere" } else { "services" };
        let (wait, idle) = (held.wait_ms / 1_000, held.idle_ms / 1_000);
        let _ = writeln!(
            out,
            "{:<26} {place:<10} {:>5} {:>6} {wait:>8}s {idle:>8}s",
            held.print, held.ended, held.trials
        );
    }
    out
}
