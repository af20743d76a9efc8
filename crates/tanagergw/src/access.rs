//! Addresses of the platform and of VMs, from a settings file or from options.

use crate::settings;
use anyhow::Context;
use std::{net::SocketAddr, process::ExitCode};
use tgw_clock::Millis;
use tgw_operate::Access;
use tgw_platform::Http;

const PLATFORM_TIMEOUT_MS: Millis = Millis::new(3000);

/// Options that locate the platform.
#[derive(clap::Args, Clone)]
pub(crate) struct Platform {
    /// A VM's settings file, which has the platform's address, the VM's operator API address and the token.
    #[arg(long, global = true)]
    settings: Option<String>,
    /// The platform's address; overrides the settings file.
    #[arg(long, global = true)]
    platform: Option<SocketAddr>,
}

/// Options that locate VMs.
#[derive(clap::Args, Clone)]
pub(crate) struct Vms {
    /// Operator API addresses of VMs, separated by commas; override the settings file.
    #[arg(long, value_delimiter = ',', global = true)]
    operators: Vec<SocketAddr>,
    /// The token for the operator API; overrides the settings file.
    #[arg(long, global = true, env = "TANAGERGW_TOKEN", hide_env_values = true)]
    token: Option<String>,
}

/// Why the platform or the VMs cannot be accessed.
pub(crate) enum Failure {
    /// The settings file has findings, which have been printed; the command ends with this code.
    Findings(ExitCode),
    Error(anyhow::Error),
}

fn open_settings(platform: &Platform) -> Result<Option<tgw_settings::Settings>, Failure> {
    match &platform.settings {
        Some(file) => settings::open(file).map(Some).map_err(Failure::Findings),
        None => Ok(None),
    }
}

/// Opens a client of the platform's store.
pub(crate) fn open_store(platform: &Platform) -> Result<Http, Failure> {
    let settings = open_settings(platform)?;
    let addr = platform.platform.or(settings.map(|s| s.platform.addr));
    let addr = addr.context("no platform address: pass --settings FILE or --platform ADDRESS");
    Ok(Http::new(addr.map_err(Failure::Error)?, PLATFORM_TIMEOUT_MS))
}

/// Addresses and token of the VMs' operator APIs.
pub(crate) fn vm_access(platform: &Platform, vms: &Vms) -> Result<Access, Failure> {
    let settings = open_settings(platform)?;
    let mut addrs = vms.operators.clone();
    if addrs.is_empty() {
        addrs.extend(settings.as_ref().map(|s| s.listen.operators));
    }
    let token = vms.token.clone().or(settings.map(|s| s.peer.admin_token.0));
    let token = token.context("no token: pass --settings FILE or --token, or set TANAGERGW_TOKEN");
    let token = token.map_err(Failure::Error)?;
    if addrs.is_empty() {
        let error =
            anyhow::anyhow!("no VM addresses: pass --settings FILE or --operators ADDRESS,...");
        return Err(Failure::Error(error));
    }
    Ok(Access { addrs, token })
}

/// Unwraps a result, or returns from the command with the exit code or error of the [`Failure`].
macro_rules! try_access {
    ($result:expr) => {
        match $result {
            Ok(value) => value,
            Err($crate::access::Failure::Findings(code)) => return Ok(code),
            Err($crate::access::Failure::Error(error)) => return Err(error),
        }
    };
}
pub(crate) use try_access;
