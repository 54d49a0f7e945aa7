//! Log lines, which tell of changes of state only; all else is counted.

use std::sync::Arc;

use metrics::counter;
use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{Sink, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

use crate::settings::{Log, LogFormat, LogLevel};

/// Makes the process log to standard error as the settings say.
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

/// Changes the least grave level that is written, at run time.
pub fn set_level(level: LogLevel) {
    if self::level() == Some(level) {
        return;
    }
    counter!("log_level_changes_total").increment(1);
    spdlog::default_logger().set_level_filter(filter(level));
    spdlog::info!("the log level is {} from now on", level.as_str());
}

/// Returns the least grave level that is written.
pub fn level() -> Option<LogLevel> {
    let in_force = spdlog::default_logger().level_filter();
    LogLevel::ALL
        .into_iter()
        .find(|level| filter(*level) == in_force)
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
