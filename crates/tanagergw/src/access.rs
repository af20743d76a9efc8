//! Where the platform and the VMs are: from a settings file or from options.

use crate::settings;
use anyhow::Context;
use std::{net::SocketAddr, process::ExitCode};
use tgw_clock::Millis;
use tgw_operate::Access;
use tgw_platform::Http;

const TIMEOUT: Millis = Millis::new(3000);

/// Options that name the platform.
#[derive(clap::Args, Clone)]
pub(crate) struct Platform {
    /// A VM's settings file, which names the platform, the VM's operators' address and the token.
    #[arg(long, global = true)]
    settings: Option<String>,
    /// The platform's address; goes before the settings file.
    #[arg(long, global = true)]
    platform: Option<SocketAddr>,
}

/// Options that name VMs.
#[derive(clap::Args, Clone)]
pub(crate) struct Vms {
    /// VMs' operators' addresses, separated by commas; go before the settings file.
    #[arg(long, value_delimiter = ',', global = true)]
    operators: Vec<SocketAddr>,
    /// The operators' token; goes before the settings file.
    #[arg(long, global = true, env = "TANAGERGW_TOKEN", hide_env_values = true)]
    token: Option<String>,
}

/// Why access cannot be had: an error, or findings that were printed.
pub(crate) enum Missing {
    Findings(ExitCode),
    Error(anyhow::Error),
}

fn file(platform: &Platform) -> Result<Option<tgw_settings::Settings>, Missing> {
    match &platform.settings {
        Some(file) => settings::open(file).map(Some).map_err(Missing::Findings),
        None => Ok(None),
    }
}

/// The platform.
pub(crate) fn store(platform: &Platform) -> Result<Http, Missing> {
    let settings = file(platform)?;
    let addr = platform.platform.or(settings.map(|s| s.platform.addr));
    let addr = addr.context("name the platform: --settings FILE or --platform ADDRESS");
    Ok(Http::open(addr.map_err(Missing::Error)?, TIMEOUT))
}

/// The VMs.
pub(crate) fn vms(platform: &Platform, vms: &Vms) -> Result<Access, Missing> {
    let settings = file(platform)?;
    let mut addrs = vms.operators.clone();
    if addrs.is_empty() {
        addrs.extend(settings.as_ref().map(|s| s.listen.operators));
    }
    let token = vms.token.clone().or(settings.map(|s| s.peer.admin_token.0));
    let token = token.context("name the token: --settings FILE, --token or TANAGERGW_TOKEN");
    let token = token.map_err(Missing::Error)?;
    if addrs.is_empty() {
        let error = anyhow::anyhow!("name VMs: --settings FILE or --operators ADDRESS,...");
        return Err(Missing::Error(error));
    }
    Ok(Access { addrs, token })
}

/// Unwraps what could be had, or ends the command as [`Missing`] says.
macro_rules! have {
    ($result:expr) => {
        match $result {
            Ok(value) => value,
            Err($crate::access::Missing::Findings(code)) => return Ok(code),
            Err($crate::access::Missing::Error(error)) => return Err(error),
        }
    };
}
pub(crate) use have;
