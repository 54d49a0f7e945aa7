//! The HTTP client of the load tool, the checker and the system tests.

use std::time::Duration;

use awc::Client;
use sesamehaven_daemons::strict_eof;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const KEEP_ALIVE: Duration = Duration::from_secs(60);

/// Builds a client that waits up to `timeout` for the head of a response and
/// reports truncated responses as errors.
pub fn client(timeout: Duration) -> Client {
    let connector = strict_eof::connector()
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(KEEP_ALIVE)
        .limit(0);
    Client::builder()
        .connector(connector)
        .timeout(timeout)
        .disable_redirects()
        .finish()
}
