//! The HTTP client of the tools.

use std::time::Duration;

use awc::Client;
use sesamehaven_daemons::strict_eof;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const KEEP_ALIVE: Duration = Duration::from_secs(60);

/// Builds a client that waits for the head of an answer for `timeout`, and
/// notices when an answer breaks off.
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
