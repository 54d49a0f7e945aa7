//! JSON logging to standard output that never blocks requests.
//!
//! Lines pass through a bounded queue to a writer thread. When the reader of the output is too
//! slow, lines are dropped, which no metric counts. See
//! [`docs/OPERATIONS.md`](../../../docs/OPERATIONS.md#from-a-request-to-its-cause).

use std::cell::Cell;
use std::num::NonZeroUsize;
use std::sync::Arc;

use metrics::counter;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

use sesamehaven::unit::Instant;

/// The capacity of the queue to the writer thread.
const QUEUE_CAPACITY_LINES: NonZeroUsize = NonZeroUsize::new(2_048).unwrap();
/// The rate limit for lines about requests; further lines are dropped and counted.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Installs the default logger of the process.
///
/// # Errors
///
/// Fails if the log sink cannot be created.
pub fn init() -> spdlog::Result<()> {
    let stream = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build()?;
    let stream: Arc<dyn Sink> = Arc::new(stream);
    let thread = ThreadPool::builder()
        .capacity(QUEUE_CAPACITY_LINES)
        .build()?;
    let sink = AsyncPoolSink::builder()
        .sink(stream)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(Arc::new(thread))
        .build()?;
    let logger = Logger::builder().sink(Arc::new(sink)).build()?;
    logger.set_level_filter(LevelFilter::MoreSevereEqual(spdlog::Level::Info));
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Rate limits the log lines about requests.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    second: Cell<u64>,
    lines: Cell<u32>,
    dropped: Cell<u32>,
}

impl LogRateLimiter {
    /// Returns whether another line may be written now, and counts it.
    pub fn try_acquire(&self, now: Instant) -> bool {
        let second = now.0 / 1_000;
        if self.second.replace(second) != second {
            self.lines.set(0);
            let dropped = self.dropped.replace(0);
            if dropped > 0 {
                spdlog::warn!("request log lines dropped by rate limit", kv: { dropped });
            }
        }
        if self.lines.get() >= MAX_LINES_PER_SECOND {
            self.dropped.set(self.dropped.get() + 1);
            counter!("front_log_lines_dropped_total").increment(1);
            return false;
        }
        self.lines.set(self.lines.get() + 1);
        true
    }
}
