//! Processes that belong together: stand-ins, entries and agents.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;
use smol_str::SmolStr;

use sesamehaven::config::{Configuration, PoolKind};
use sesamehaven::id::Generation;

use crate::directory::Directory;
use crate::error::{Error, Result};
use crate::http::Http;
use crate::member::{Daemon, Role, StandIn, in_use};
use crate::process::Process;
use crate::settings::{Addresses, Settings, agent_settings, entry_settings};
use crate::{platform, sample, wait};

/// Processes on loopback, all killed when the fleet is dropped.
pub struct Fleet {
    /// The client for callers and controls.
    pub http: Http,
    /// The configuration that [`Fleet::apply`] stores.
    pub configuration: Configuration,
    /// The generation that was stored last.
    pub generation: Generation,
    standins: BTreeMap<SmolStr, StandIn>,
    daemons: BTreeMap<SmolStr, Daemon>,
    directory: Directory,
}

/// The name of the platform's stand-in in a fleet.
pub const PLATFORM: &str = "platform";

impl Fleet {
    /// Starts the platform's stand-in, with the sample configuration prepared.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started.
    pub async fn new() -> Result<Self> {
        let mut fleet = Fleet {
            http: Http::new(),
            configuration: sample::configuration(),
            generation: Generation(0),
            standins: BTreeMap::new(),
            daemons: BTreeMap::new(),
            directory: Directory::new()?,
        };
        fleet
            .start_standin(
                "standin-platform",
                PLATFORM,
                &["--weights-per-second", "100"],
            )
            .await?;
        Ok(fleet)
    }

    /// Returns the address of the platform's stand-in.
    pub fn platform(&self) -> SocketAddr {
        self.standin(PLATFORM).address
    }

    /// Starts an engine and configures it as an endpoint of a model pool.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started.
    pub async fn add_engine(
        &mut self,
        name: &str,
        pool: &str,
        agent: &str,
        args: &[&str],
    ) -> Result<SocketAddr> {
        let address = self.start_standin("standin-engine", name, args).await?;
        self.configure_endpoint(name, pool, PoolKind::Model, agent, address);
        Ok(address)
    }

    /// Starts a plain service and configures it as an endpoint of a pool.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started.
    pub async fn add_service(
        &mut self,
        name: &str,
        pool: &str,
        agent: &str,
        args: &[&str],
    ) -> Result<SocketAddr> {
        let address = self.start_standin("standin-service", name, args).await?;
        self.configure_endpoint(name, pool, PoolKind::Service, agent, address);
        Ok(address)
    }

    /// Configures an endpoint at an address, such as that of a proxy.
    pub fn configure_endpoint(
        &mut self,
        name: &str,
        pool: &str,
        kind: PoolKind,
        agent: &str,
        address: SocketAddr,
    ) {
        let configuration = &mut self.configuration;
        if !configuration.pools.iter().any(|p| p.name.as_str() == pool) {
            sample::add_pool(configuration, pool, kind);
        }
        if !configuration
            .agents
            .iter()
            .any(|a| a.name.as_str() == agent)
        {
            configuration.agents.push(sample::daemon(agent));
        }
        sample::add_endpoint(configuration, name, pool, agent, address);
    }

    /// Starts any stand-in that takes `--listen`, `--ports-file` and `--seed`.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started.
    pub async fn start_standin(
        &mut self,
        program: &'static str,
        name: &str,
        args: &[&str],
    ) -> Result<SocketAddr> {
        let args: Vec<String> = args.iter().map(|s| s.to_string()).collect();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let standin = self.spawn_standin(program, name, args, any).await?;
        let address = standin.address;
        self.standins.insert(name.into(), standin);
        Ok(address)
    }

    /// Starts a stand-in again at its old address, after it was killed.
    ///
    /// # Errors
    ///
    /// Fails when there is no such stand-in or it cannot be started.
    pub async fn restart_standin(&mut self, name: &str) -> Result<()> {
        let mut old = self.take_standin(name)?;
        old.process.kill()?;
        let started = self
            .spawn_standin(old.program, name, old.args, old.address)
            .await?;
        self.standins.insert(name.into(), started);
        Ok(())
    }

    /// Returns a stand-in of this fleet.
    ///
    /// # Panics
    ///
    /// Panics when there is none of this name, which is a fault of the test.
    pub fn standin(&self, name: &str) -> &StandIn {
        match self.standins.get(name) {
            Some(standin) => standin,
            None => panic!("no stand-in `{name}`"),
        }
    }

    /// Returns a stand-in of this fleet, to be killed or waited for.
    ///
    /// # Panics
    ///
    /// Panics when there is none of this name, which is a fault of the test.
    pub fn standin_mut(&mut self, name: &str) -> &mut StandIn {
        match self.standins.get_mut(name) {
            Some(standin) => standin,
            None => panic!("no stand-in `{name}`"),
        }
    }

    /// Configures entries by name, before [`Fleet::apply`] and [`Fleet::start_entry`].
    pub fn configure_entries(&mut self, names: &[&str]) {
        let entries = names.iter().map(|name| sample::daemon(name));
        self.configuration.entries.extend(entries);
    }

    /// Stores the configuration as the next generation.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not take it.
    pub async fn apply(&mut self) -> Result<()> {
        self.generation = Generation(self.generation.0 + 1);
        let platform = self.platform();
        platform::store(&self.http, platform, self.generation, &self.configuration).await?;
        Ok(())
    }

    /// Starts an entry; `extra` is added to its settings.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started.
    pub async fn start_entry(&mut self, name: &str, extra: &str) -> Result<SocketAddr> {
        self.start_daemon(Role::Entry, name, extra).await
    }

    /// Starts an agent, which reports to all entries started so far; `extra`
    /// is added to its settings.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started.
    pub async fn start_agent(&mut self, name: &str, extra: &str) -> Result<SocketAddr> {
        self.start_daemon(Role::Agent, name, extra).await
    }

    /// Starts a daemon again at its old addresses, after it was killed or ended.
    ///
    /// # Errors
    ///
    /// Fails when there is no such daemon or it cannot be started.
    pub async fn restart(&mut self, name: &str) -> Result<()> {
        let Some(mut daemon) = self.daemons.remove(name) else {
            return Err(unknown(name));
        };
        daemon.process.kill()?;
        daemon.process = self.spawn_daemon(daemon.role, &daemon)?;
        daemon.ports = daemon.process.ports(&daemon.settings.ports_file).await?;
        self.daemons.insert(name.into(), daemon);
        Ok(())
    }

    /// Returns a daemon of this fleet.
    ///
    /// # Panics
    ///
    /// Panics when there is none of this name, which is a fault of the test.
    pub fn daemon(&self, name: &str) -> &Daemon {
        match self.daemons.get(name) {
            Some(daemon) => daemon,
            None => panic!("no daemon `{name}`"),
        }
    }

    /// Returns a daemon of this fleet, to be killed or waited for.
    ///
    /// # Panics
    ///
    /// Panics when there is none of this name, which is a fault of the test.
    pub fn daemon_mut(&mut self, name: &str) -> &mut Daemon {
        match self.daemons.get_mut(name) {
            Some(daemon) => daemon,
            None => panic!("no daemon `{name}`"),
        }
    }

    /// Waits until an entry can offer work to as many endpoints.
    ///
    /// # Errors
    ///
    /// Fails when that takes too long.
    pub async fn serving(&self, entry: &str, endpoints: u64) -> Result<()> {
        let admin = self.daemon(entry).admin();
        wait::until("an entry with all endpoints", || async {
            let status = self.http.get_json::<Value>(admin, "/status").await;
            let known = status.ok()?["endpoints"].as_u64()?;
            (known == endpoints).then_some(())
        })
        .await
    }

    /// Waits until `/readyz` of each started daemon answers 200.
    ///
    /// # Errors
    ///
    /// Fails when one is not ready in time.
    pub async fn ready(&self) -> Result<()> {
        for (name, daemon) in &self.daemons {
            self.ready_at(name, daemon.admin()).await?;
        }
        Ok(())
    }

    async fn ready_at(&self, name: &str, admin: SocketAddr) -> Result<()> {
        let what = format!("{name} to be ready");
        wait::until(&what, async || {
            let reply = self.http.get(admin, "/readyz").await.ok()?;
            (reply.status == 200).then_some(())
        })
        .await
    }

    async fn spawn_standin(
        &self,
        program: &'static str,
        name: &str,
        args: Vec<String>,
        listen: SocketAddr,
    ) -> Result<StandIn> {
        let ports_file = self.ports_file(name)?;
        let listen = listen.to_string();
        let ports = ports_file.display().to_string();
        let mut all = vec!["--listen", &listen, "--ports-file", &ports];
        all.extend(args.iter().map(String::as_str));
        let mut process = Process::start(program, name, self.directory.path(), &all)?;
        let ports = process.ports(&ports_file).await?;
        let address = ports.http.ok_or_else(|| unknown(name))?;
        Ok(StandIn {
            program,
            args,
            address,
            process,
        })
    }

    async fn start_daemon(&mut self, role: Role, name: &str, extra: &str) -> Result<SocketAddr> {
        let settings = Settings {
            name: name.into(),
            data_centre: sample::DATA_CENTRE.into(),
            platform: self.platform(),
            ports_file: self.ports_file(name)?,
            extra: extra.into(),
        };
        let entries = self.daemons.values().filter(|d| d.role == Role::Entry);
        let entries: Vec<SocketAddr> = entries.map(|d| d.addresses.reports).collect();
        let addresses = Addresses::default();
        let path = self.write_settings(role, &settings, &addresses, &entries)?;
        let mut process = self.spawn(role, name, &path)?;
        let ports = process.ports(&settings.ports_file).await?;
        let daemon = Daemon {
            role,
            addresses: in_use(&ports, addresses),
            settings,
            entries,
            ports,
            process,
        };
        let address = daemon.address();
        self.daemons.insert(name.into(), daemon);
        Ok(address)
    }

    fn spawn_daemon(&self, role: Role, daemon: &Daemon) -> Result<Process> {
        let _ = fs::remove_file(&daemon.settings.ports_file);
        let path =
            self.write_settings(role, &daemon.settings, &daemon.addresses, &daemon.entries)?;
        self.spawn(role, &daemon.settings.name, &path)
    }

    fn spawn(&self, role: Role, name: &str, settings: &str) -> Result<Process> {
        let args = ["--settings", settings];
        Process::start(role.program(), name, self.directory.path(), &args)
    }

    fn write_settings(
        &self,
        role: Role,
        settings: &Settings,
        addresses: &Addresses,
        entries: &[SocketAddr],
    ) -> Result<String> {
        let text = match role {
            Role::Entry => entry_settings(settings, addresses),
            Role::Agent => agent_settings(settings, addresses, entries),
        };
        let path = self
            .directory
            .path()
            .join(format!("{}.yaml", settings.name));
        fs::write(&path, text)?;
        Ok(path.display().to_string())
    }

    /// Returns the path of a ports file that does not exist yet.
    fn ports_file(&self, name: &str) -> Result<PathBuf> {
        let path = self.directory.path().join(format!("{name}.ports.json"));
        if path.exists() {
            fs::remove_file(&path)?;
        }
        Ok(path)
    }

    fn take_standin(&mut self, name: &str) -> Result<StandIn> {
        self.standins.remove(name).ok_or_else(|| unknown(name))
    }
}

fn unknown(name: &str) -> Error {
    Error::Process {
        name: name.into(),
        reason: "not a process of this fleet, or it reported no address".into(),
    }
}
