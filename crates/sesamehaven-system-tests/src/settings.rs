//! The YAML settings of the daemons under test.

use std::net::SocketAddr;
use std::path::PathBuf;

use sesamehaven::id::Digest;

/// The settings of a daemon under test.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the daemon.
    pub name: String,
    /// The data centre of the daemon.
    pub data_centre: String,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The file that the daemon writes its listening addresses to.
    pub ports_file: PathBuf,
    /// Additional lines of YAML, such as a `limits:` section.
    pub extra: String,
}

/// The addresses that a daemon is configured to bind.
///
/// Ports are zero at its first start; a restart reuses the ports that were bound.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// The address for callers (entry) or for links from entries (agent).
    pub listen: SocketAddr,
    /// The address of the admin server.
    pub admin: SocketAddr,
    /// The address at which an entry receives reports.
    pub reports: SocketAddr,
}

impl Default for Addresses {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Addresses {
            listen: any_port,
            admin: any_port,
            reports: any_port,
        }
    }
}

/// Returns the pre-shared key of all daemons under test.
pub fn link_key() -> Digest {
    Digest::of(b"pre-shared key of tests")
}

/// Formats the settings of an entry as YAML.
pub fn entry_settings(settings: &Settings, addresses: &Addresses) -> String {
    let Addresses {
        listen,
        admin,
        reports,
    } = addresses;
    let common = common(settings);
    format!("{common}listen: {listen}\nadmin: {admin}\nreports: {reports}\n")
}

/// Formats the settings of an agent that reports to the given entries as YAML.
pub fn agent_settings(
    settings: &Settings,
    addresses: &Addresses,
    entries: &[SocketAddr],
) -> String {
    let Addresses { listen, admin, .. } = addresses;
    let common = common(settings);
    let entries: Vec<String> = entries.iter().map(|e| format!("\"{e}\"")).collect();
    let entries = entries.join(", ");
    format!("{common}link: {listen}\nadmin: {admin}\nentries: [{entries}]\n")
}

fn common(settings: &Settings) -> String {
    let Settings {
        name,
        data_centre,
        platform,
        ports_file,
        extra,
    } = settings;
    let ports_file = ports_file.display();
    let key = link_key();
    format!(
        "name: {name}\n\
         data_centre: {data_centre}\n\
         platform: \"{platform}\"\n\
         link_key: \"{key}\"\n\
         ports_file: \"{ports_file}\"\n\
         {extra}\n"
    )
}
