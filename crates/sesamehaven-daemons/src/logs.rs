//! Logging, which covers changes of state only; everything else is counted in
//! metrics.

use std::sync::Arc;

use metrics::counter;
use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{Sink, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

use crate::settings::{Log, LogFormat, LogLevel};

/// Configures the process to log to standard error.
///
/// # Errors
///
/// Fails when the sink cannot be built.
pub fn init(cfg: &Log) -> spdlog::Result<()> {
    let sink: Arc<dyn Sink> = match cfg.format {
        LogFormat::Text => stderr(FullFormatter::new())?,
        LogFormat::Json => stderr(JsonFormatter::new())?,
    };
    let logger = Logger::builder().sink(sink).build()?;
    logger.set_level_filter(filter(cfg.level));
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Sets the minimum severity that is logged.
pub fn set_level(level: LogLevel) {
    if self::level() == Some(level) {
        return;
    }
    counter!("log_level_changes_total").increment(1);
    spdlog::default_logger().set_level_filter(filter(level));
    spdlog::info!("log level set to {}", level.as_str());
}

/// Returns the minimum severity that is logged.
pub fn level() -> Option<LogLevel> {
    let current = spdlog::default_logger().level_filter();
    LogLevel::ALL
        .into_iter()
        .find(|level| filter(*level) == current)
}

fn stderr(formatter: impl Formatter + 'static) -> spdlog::Result<Arc<StdStreamSink>> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(formatter)
        .build()?;
    Ok(Arc::new(sink))
}

fn filter(level: LogLevel) -> LevelFilter {
    LevelFilter::MoreSevereEqual(match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    })
}
