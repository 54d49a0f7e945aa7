//! Reads the settings again on SIGHUP.
//!
//! The log level is taken over; what else changed takes a restart, which the
//! log says.

use std::io;
use std::path::Path;

use metrics::counter;
use spdlog::{info, warn};
use tokio::signal::unix::{SignalKind, signal};

use crate::logs;
use crate::settings::{self, Settings};

/// Takes the settings in `file` over again at each SIGHUP from now on.
///
/// # Errors
///
/// Fails when the signal cannot be listened to.
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
            info!("the log level was read again; other settings take a restart");
        }
        Err(err) => {
            counter!("settings_reloads_total", "outcome" => "refused").increment(1);
            warn!("the settings were not read again, the old ones stay: {err}");
        }
    }
}
