//! A set of processes under test: stand-ins, entries and agents.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::Value;
use smol_str::SmolStr;

use sesamehaven::config::{Configuration, PoolKind};
use sesamehaven::id::Generation;

use crate::error::{Error, Result};
use crate::http::Http;
use crate::member::{Daemon, Role, StandIn, bound_addresses};
use crate::process::Process;
use crate::settings::{Addresses, Settings, agent_settings, entry_settings};
use crate::temp_dir::TempDir;
use crate::{platform, sample, wait};

/// A set of processes on loopback, all killed when the fleet is dropped.
pub struct Fleet {
    /// The HTTP client for requests of callers and for control paths.
    pub http: Http,
    /// The configuration that [`Fleet::apply`] stores.
    pub configuration: Configuration,
    /// The generation that was last stored.
    pub generation: Generation,
    standins: BTreeMap<SmolStr, StandIn>,
    daemons: BTreeMap<SmolStr, Daemon>,
    directory: TempDir,
}

/// The name of the platform stand-in in a fleet.
pub const PLATFORM: &str = "platform";

impl Fleet {
    /// Starts the platform stand-in and prepares the sample configuration.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in cannot be started.
    pub async fn new() -> Result<Self> {
        let mut fleet = Fleet {
            http: Http::new(),
            configuration: sample::configuration(),
            generation: Generation(0),
            standins: BTreeMap::new(),
            daemons: BTreeMap::new(),
            directory: TempDir::new()?,
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

    /// Returns the address of the platform stand-in.
    pub fn platform(&self) -> SocketAddr {
        self.standin(PLATFORM).address
    }

    /// Starts a stand-in engine and configures it as an endpoint of a model pool.
    ///
    /// # Errors
    ///
    /// Fails when the engine cannot be started.
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

    /// Starts a stand-in service and configures it as an endpoint of a service pool.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be started.
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
    ///
    /// Adds its pool and its agent if they are not configured yet.
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

    /// Starts any stand-in that accepts `--listen` and `--ports-file`.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in cannot be started.
    pub async fn start_standin(
        &mut self,
        program: &'static str,
        name: &str,
        args: &[&str],
    ) -> Result<SocketAddr> {
        let args: Vec<String> = args.iter().map(|s| s.to_string()).collect();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let standin = self.spawn_standin(program, name, args, any_port).await?;
        let address = standin.address;
        self.standins.insert(name.into(), standin);
        Ok(address)
    }

    /// Kills a stand-in if it still runs and restarts it at its previous address.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be killed or started.
    ///
    /// # Panics
    ///
    /// Panics when there is no such stand-in, which is a bug in the test.
    pub async fn restart_standin(&mut self, name: &str) -> Result<()> {
        let args = self.standin(name).args.clone();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        self.replace_standin(name, &args).await
    }

    /// Kills a stand-in if it still runs and starts it at its previous address with other
    /// arguments.
    ///
    /// # Errors
    ///
    /// Fails when there is no such stand-in, or it cannot be killed or started.
    pub async fn replace_standin(&mut self, name: &str, args: &[&str]) -> Result<()> {
        let mut previous = self.remove_standin(name)?;
        previous.process.kill()?;
        let args = args.iter().map(|s| s.to_string()).collect();
        let started = self
            .spawn_standin(previous.program, name, args, previous.address)
            .await?;
        self.standins.insert(name.into(), started);
        Ok(())
    }

    /// Returns a stand-in of this fleet.
    ///
    /// # Panics
    ///
    /// Panics when there is none of this name, which is a bug in the test.
    pub fn standin(&self, name: &str) -> &StandIn {
        match self.standins.get(name) {
            Some(standin) => standin,
            None => panic!("no stand-in `{name}`"),
        }
    }

    /// Returns a mutable reference to a stand-in of this fleet, to kill it or wait for it.
    ///
    /// # Panics
    ///
    /// Panics when there is none of this name, which is a bug in the test.
    pub fn standin_mut(&mut self, name: &str) -> &mut StandIn {
        match self.standins.get_mut(name) {
            Some(standin) => standin,
            None => panic!("no stand-in `{name}`"),
        }
    }

    /// Adds entries to the configuration.
    ///
    /// Must be called before [`Fleet::apply`] and [`Fleet::start_entry`].
    pub fn configure_entries(&mut self, names: &[&str]) {
        let entries = names.iter().map(|name| sample::daemon(name));
        self.configuration.entries.extend(entries);
    }

    /// Stores the configuration as the next generation.
    ///
    /// # Errors
    ///
    /// Fails when the platform rejects a write.
    pub async fn apply(&mut self) -> Result<()> {
        self.generation = Generation(self.generation.0 + 1);
        let platform = self.platform();
        platform::store(&self.http, platform, self.generation, &self.configuration).await?;
        Ok(())
    }

    /// Starts an entry with `extra` appended to its settings.
    ///
    /// # Errors
    ///
    /// Fails when the entry cannot be started.
    pub async fn start_entry(&mut self, name: &str, extra: &str) -> Result<SocketAddr> {
        self.start_daemon(Role::Entry, name, extra).await
    }

    /// Starts an agent with `extra` appended to its settings.
    ///
    /// The agent reports to all entries that were started before it.
    ///
    /// # Errors
    ///
    /// Fails when the agent cannot be started.
    pub async fn start_agent(&mut self, name: &str, extra: &str) -> Result<SocketAddr> {
        self.start_daemon(Role::Agent, name, extra).await
    }

    /// Kills a daemon if it still runs and restarts it at its previous addresses.
    ///
    /// # Errors
    ///
    /// Fails when there is no such daemon, or it cannot be killed or started.
    pub async fn restart(&mut self, name: &str) -> Result<()> {
        let Some(mut daemon) = self.daemons.remove(name) else {
            return Err(unknown_process(name));
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
    /// Panics when there is none of this name, which is a bug in the test.
    pub fn daemon(&self, name: &str) -> &Daemon {
        match self.daemons.get(name) {
            Some(daemon) => daemon,
            None => panic!("no daemon `{name}`"),
        }
    }

    /// Returns a mutable reference to a daemon of this fleet, to kill it or wait for it.
    ///
    /// # Panics
    ///
    /// Panics when there is none of this name, which is a bug in the test.
    pub fn daemon_mut(&mut self, name: &str) -> &mut Daemon {
        match self.daemons.get_mut(name) {
            Some(daemon) => daemon,
            None => panic!("no daemon `{name}`"),
        }
    }

    /// Returns the sum of a metric over all agents.
    ///
    /// # Errors
    ///
    /// Fails when an agent does not answer.
    pub async fn sum_over_agents(&self, name: &str) -> Result<f64> {
        let mut total = 0.0;
        for agent in self.daemons.values().filter(|d| d.role == Role::Agent) {
            total += self.http.metric(agent.admin(), name).await?;
        }
        Ok(total)
    }

    /// Waits until an entry can dispatch to exactly this number of endpoints.
    ///
    /// # Errors
    ///
    /// Fails when it cannot within [`wait::DEFAULT_TIMEOUT`].
    pub async fn wait_for_endpoints(&self, entry: &str, endpoints: u64) -> Result<()> {
        let admin = self.daemon(entry).admin();
        let what = format!("{endpoints} endpoints at {entry}");
        wait::until(&what, || async {
            let status = self.http.get_json::<Value>(admin, "/status").await;
            let count = status.ok()?["endpoints"].as_u64()?;
            (count == endpoints).then_some(())
        })
        .await
    }

    /// Waits until `/readyz` of each started daemon returns 200.
    ///
    /// # Errors
    ///
    /// Fails when a daemon is not ready within [`wait::DEFAULT_TIMEOUT`].
    pub async fn wait_until_ready(&self) -> Result<()> {
        for (name, daemon) in &self.daemons {
            self.wait_until_daemon_ready(name, daemon.admin()).await?;
        }
        Ok(())
    }

    async fn wait_until_daemon_ready(&self, name: &str, admin: SocketAddr) -> Result<()> {
        let what = format!("{name} to be ready");
        wait::until(&what, async || {
            let response = self.http.get(admin, "/readyz").await.ok()?;
            (response.status == 200).then_some(())
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
        let mut all_args = vec!["--listen", &listen, "--ports-file", &ports];
        all_args.extend(args.iter().map(String::as_str));
        let mut process = Process::start(program, name, self.directory.path(), &all_args)?;
        let ports = process.ports(&ports_file).await?;
        let address = ports.http.ok_or_else(|| Error::Process {
            name: name.into(),
            reason: "no HTTP address in its ports file".into(),
        })?;
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
            addresses: bound_addresses(&ports, addresses),
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

    /// Returns the path of the ports file of a process and deletes a previous file.
    fn ports_file(&self, name: &str) -> Result<PathBuf> {
        let path = self.directory.path().join(format!("{name}.ports.json"));
        if path.exists() {
            fs::remove_file(&path)?;
        }
        Ok(path)
    }

    fn remove_standin(&mut self, name: &str) -> Result<StandIn> {
        self.standins
            .remove(name)
            .ok_or_else(|| unknown_process(name))
    }
}

fn unknown_process(name: &str) -> Error {
    Error::Process {
        name: name.into(),
        reason: "not a process of this fleet".into(),
    }
}
