use anyhow::Context;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};
use tgw_site_standin::settings::{Ports, Vm, text};

/// Failure domains, each with its region.
pub(crate) const DOMAINS: [(&str, &str); 3] = [("d1", "r1"), ("d2", "r2"), ("d3", "r3")];

/// The region of all failure domains in a run with one region.
const ONLY_REGION: &str = DOMAINS[0].1;
/// Last byte of an address that no VM has.
const DARK: u8 = 250;

/// Where the VMs of a run are, and what they are told of one another.
#[derive(Copy, Clone, Debug, Default)]
pub(crate) struct Layout {
    /// All failure domains are in one region, so that one VM watches the store for all.
    pub(crate) one_region: bool,
    /// The seeds of all VMs but the first three are addresses that no VM has.
    pub(crate) dark_seeds: bool,
}

impl Layout {
    fn domains(self) -> [(&'static str, &'static str); DOMAINS.len()] {
        if self.one_region { DOMAINS.map(|(domain, _)| (domain, ONLY_REGION)) } else { DOMAINS }
    }

    /// Whether a failure domain is in the region to which requests of the home route are restricted.
    pub(crate) fn is_home(self, domain: &str) -> bool {
        self.domains().contains(&(domain, ONLY_REGION))
    }
}

/// Power that the first VM of each failure domain states, in cores, and the others: these hand their queries over.
const GATHERER_POWER: f64 = 1.0;
const USUAL_POWER: f64 = 0.05;

/// The process of one VM.
pub(crate) struct Process {
    pub(crate) vm: Vm,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    ports: Ports,
    /// It was told to shut down; no new caller connects to it.
    pub(crate) leaving: bool,
    /// It is paused by SIGSTOP.
    pub(crate) stopped: bool,
}

/// A fleet of VMs, each at its own IP address.
pub(crate) struct Fleet {
    pub(crate) processes: Vec<Process>,
}

impl Fleet {
    /// Writes the settings of the VMs and starts them, one for each address in `store_addrs`, at which
    /// that VM reaches the store. `subnet` is the third byte of the VMs' addresses.
    pub(crate) fn start(
        program: &Path,
        folder: &Path,
        subnet: u8,
        store_addrs: &[SocketAddr],
        layout: Layout,
    ) -> anyhow::Result<Self> {
        // What VMs of an earlier run kept in their files is not known to those of this run.
        if folder.exists() {
            fs::remove_dir_all(folder).with_context(|| folder.display().to_string())?;
        }
        fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
        let ports = Ports { callers: 7801, readiness: 7802, peers: 7803 };
        let ip =
            |index: usize| Ipv4Addr::new(127, 77, subnet, u8::try_from(index + 1).unwrap_or(1));
        let seeds: Vec<Ipv4Addr> = (0..store_addrs.len().min(3)).map(ip).collect();
        let mut processes = Vec::new();
        for (index, store) in store_addrs.iter().enumerate() {
            let domain = DOMAINS[index % DOMAINS.len()].0;
            let name = format!("vm-{}", index + 1);
            let vm = Vm { name: name.clone(), ip: ip(index), domain: domain.into() };
            let settings = folder.join(format!("{name}.toml"));
            let power = if index < DOMAINS.len() { GATHERER_POWER } else { USUAL_POWER };
            let is_dark = layout.dark_seeds && index >= seeds.len();
            let dark = [Ipv4Addr::new(127, 77, subnet, DARK)];
            let own_seeds = if is_dark { &dark[..] } else { &seeds[..] };
            let text = text(&vm, ports, own_seeds, &layout.domains(), *store);
            let text = format!("{text}[limits]\ncpu_share = {power}\nmemory_mb = 260\n");
            fs::write(&settings, text)?;
            let log = folder.join(format!("{name}.log"));
            let program = program.to_owned();
            let mut process = Process {
                vm,
                child: None,
                settings,
                log,
                program,
                ports,
                leaving: false,
                stopped: false,
            };
            process.start()?;
            processes.push(process);
        }
        Ok(Self { processes })
    }
}

impl Process {
    /// The address that callers connect to.
    pub(crate) fn callers_addr(&self) -> SocketAddr {
        SocketAddrV4::new(self.vm.ip, self.ports.callers).into()
    }

    /// Starts the program, which must not be running.
    pub(crate) fn start(&mut self) -> anyhow::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("gateway")
            .arg("--settings")
            .arg(&self.settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()
            .with_context(|| self.program.display().to_string())?;
        self.child = Some(child);
        (self.leaving, self.stopped) = (false, false);
        Ok(())
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// The exit code of a process that has exited; `None` while it runs or if a signal ended it.
    pub(crate) fn exit_code(&mut self) -> Option<i32> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        status.code()
    }

    /// Sends a signal to this process, if it runs.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let Some(id) = self.child.as_ref().and_then(|c| i32::try_from(c.id()).ok()) else { return };
        // The process may have exited in the meantime, which needs no signal.
        let _ = kill(Pid::from_raw(id), signal);
        match signal {
            Signal::SIGTERM => self.leaving = true,
            Signal::SIGSTOP => self.stopped = true,
            Signal::SIGCONT => self.stopped = false,
            _ => {}
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // For a child that has already exited, the kill fails and the wait reaps it.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
