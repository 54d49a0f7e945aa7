//! The YAML settings of the daemons under test.

use std::net::SocketAddr;
use std::path::PathBuf;

use sesamehaven::id::Digest;

/// What the settings of a daemon under test say.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The daemon's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The file that receives the addresses in use.
    pub ports_file: PathBuf,
    /// Further lines of YAML, such as a `limits:` section.
    pub extra: String,
}

/// The addresses that a daemon is told to use; zero ports at its first start,
/// those that it was given at later ones.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Where callers or entries' links are served.
    pub listen: SocketAddr,
    /// Where operators are served.
    pub admin: SocketAddr,
    /// Where an entry receives reports.
    pub reports: SocketAddr,
}

impl Default for Addresses {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Addresses {
            listen: any,
            admin: any,
            reports: any,
        }
    }
}

/// Returns the pre-shared key that all daemons under test hold.
pub fn link_key() -> Digest {
    Digest::of(b"pre-shared key of tests")
}

/// Writes the settings of an entry.
pub fn entry_settings(settings: &Settings, addresses: &Addresses) -> String {
    let Addresses {
        listen,
        admin,
        reports,
    } = addresses;
    let common = common(settings);
    format!("{common}listen: {listen}\nadmin: {admin}\nreports: {reports}\n")
}

/// Writes the settings of an agent that reports to the given entries.
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
