//! Reloads the settings on SIGHUP.
//!
//! Only the log level is applied; other changes require a restart, which is logged.

use std::io;
use std::path::Path;

use metrics::counter;
use spdlog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};

use crate::logs;
use crate::settings::{self, Settings};

/// Reloads the settings in `file` at each SIGHUP.
///
/// # Errors
///
/// Fails when the signal handler cannot be installed.
pub fn on_hangup<S: Settings + 'static>(file: &Path) -> io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let file = file.to_path_buf();
    actix_rt::spawn(async move {
        while hangup.recv().await.is_some() {
            reload::<S>(&file);
        }
    });
    Ok(())
}

fn reload<S: Settings>(file: &Path) {
    match settings::read::<S>(file) {
        Ok(settings) => {
            counter!("settings_reloads_total", "outcome" => "done").increment(1);
            logs::set_level(settings.log().level);
            info!("log level reloaded; other settings require a restart");
        }
        Err(err) => {
            counter!("settings_reloads_total", "outcome" => "refused").increment(1);
            warn!("settings not reloaded, keeping the current ones: {err}");
        }
    }
}
