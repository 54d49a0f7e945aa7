//! The reading of an event stream from one endpoint.

use std::rc::Rc;

use bytes::Bytes;
use metrics::counter;
use smol_str::SmolStr;

use sesamehaven::placement::DispatchOutcome;

use crate::attempt::EndpointResponse;
use crate::body_memory::{BodyMemory, HeldBytes, Holder};
use crate::events::Splitter;
use crate::job::Job;
use crate::protocol::Protocol;

/// A stream as it is read from one endpoint.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) response: Box<EndpointResponse>,
    pub(crate) splitter: Splitter,
    /// The memory of a partial event, if it is long.
    held: HeldBytes,
    /// Why nothing more can be read.
    failure: Option<&'static str>,
}

/// The length up to which partial events are not accounted for, in bytes.
const FREE_PARTIAL_BYTES: usize = 64 << 10;

/// What was read from a stream.
#[derive(Debug)]
pub(crate) enum StreamRead {
    Events(Bytes),
    Complete,
}

impl Source {
    pub(crate) fn new(
        memory: &Rc<BodyMemory>,
        response: Box<EndpointResponse>,
        splitter: Splitter,
    ) -> Self {
        Source {
            response,
            held: HeldBytes::new(memory, Holder::Partial),
            splitter,
            failure: None,
        }
    }

    pub(crate) fn endpoint(&self) -> &SmolStr {
        &self.response.slot.endpoint
    }

    /// Reads until at least one event is complete.
    pub(crate) async fn read<P: Protocol>(
        &mut self,
        job: &Job<P>,
    ) -> Result<StreamRead, &'static str> {
        if let Some(reason) = self.failure {
            return Err(reason);
        }
        loop {
            match self.response.conn.read_part().await {
                Ok(Some(bytes)) => match self.splitter.push(&bytes) {
                    Ok(Some(events)) => {
                        self.held.try_set(0);
                        job.front.record_begun(self.response.request());
                        return Ok(StreamRead::Events(events));
                    }
                    Ok(None) => self.hold_partial()?,
                    Err(_) => {
                        const REASON: &str = "an event is missing, foreign or too long";
                        self.failure = Some(REASON);
                        let before = self.splitter.take_complete();
                        return before.map(StreamRead::Events).ok_or(REASON);
                    }
                },
                Ok(None) if self.splitter.has_partial_event() => {
                    return Err("the stream ended inside an event");
                }
                // Empty lines after the last event are handed out before the end.
                Ok(None) => {
                    let rest = self.splitter.take_complete();
                    return Ok(rest.map_or(StreamRead::Complete, StreamRead::Events));
                }
                Err(err) => {
                    job.front.probe_for_crash(self.endpoint(), &err);
                    return Err("the endpoint dropped the connection");
                }
            }
        }
    }

    /// Accounts for what is buffered of an event that is not complete.
    fn hold_partial(&mut self) -> Result<(), &'static str> {
        let buffered = self.splitter.buffered();
        if buffered <= FREE_PARTIAL_BYTES || self.held.try_set(buffered as u64) {
            return Ok(());
        }
        counter!("front_bodies_too_long_total").increment(1);
        const REASON: &str = "the memory has no room for the event";
        self.failure = Some(REASON);
        Err(REASON)
    }

    /// Closes the connection, which ends the run at this endpoint, and releases its slot.
    pub(crate) fn abandon(self) {
        let EndpointResponse { conn, slot, .. } = *self.response;
        drop(conn);
        slot.complete(DispatchOutcome::Failure);
    }
}

/// The first events of a stream, and the endpoint that sent them.
#[derive(Debug)]
pub struct FirstEvents {
    pub(crate) source: Source,
    pub(crate) read: StreamRead,
}

impl FirstEvents {
    /// Returns the response of the endpoint.
    pub fn response(&self) -> &EndpointResponse {
        &self.source.response
    }
}
