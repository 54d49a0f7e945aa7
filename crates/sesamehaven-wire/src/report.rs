//! Load reports over UDP: fragmentation, authentication and ordering.
//!
//! A report that is too long for one datagram is split into several parts, each
//! with some of the endpoints. An incomplete report is discarded rather than
//! retransmitted, since the next one follows soon. See
//! [`docs/LINK.md`](../../../docs/LINK.md).

use std::collections::HashMap;
use std::net::SocketAddr;

use metrics::counter;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use sesamehaven::id::{DaemonName, Incarnation};

use crate::auth::{Psk, TAG_BYTES};
use crate::counter;
use crate::error::{Error, Result};
use crate::message::{Load, Report, VERSION};

/// The target length of a datagram, in bytes; common networks carry it without IP fragmentation.
const DATAGRAM_TARGET_BYTES: usize = 1_200;

/// The maximum length of a datagram, in bytes.
///
/// Only a datagram with a single endpoint may exceed the target length.
const DATAGRAM_MAX_BYTES: usize = 32 << 10;

/// The maximum number of agents whose report sequence is tracked.
const AGENTS_MAX: usize = 4_096;

/// The maximum number of datagrams per report.
const PARTS_MAX: u16 = 64;

/// The sequence number in the tags of datagrams, whose order is given by their contents instead.
const NO_SEQUENCE: [u8; 8] = [0; 8];

/// The part of a report in one datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Part {
    version: u16,
    index: u16,
    count: u16,
    report: Report,
}

/// Encodes reports as authenticated datagrams.
#[derive(Debug, Clone)]
pub struct ReportEncoder {
    key: Psk,
}

impl ReportEncoder {
    /// Creates an encoder that uses the key of the deployment.
    pub fn new(psk: Option<&Psk>) -> Self {
        ReportEncoder {
            key: report_key(psk),
        }
    }

    /// Encodes a report as one or more datagrams.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Oversized`] when the load of one endpoint exceeds a datagram or
    /// the report needs too many datagrams.
    pub fn encode(&self, report: &Report) -> Result<Vec<Vec<u8>>> {
        let mut envelope = report.clone();
        let loads = std::mem::take(&mut envelope.endpoints);
        let overhead = TAG_BYTES + postcard::to_stdvec(&longest_part(envelope.clone()))?.len();
        let groups = group_loads(loads, DATAGRAM_TARGET_BYTES.saturating_sub(overhead))?;
        let count = u16::try_from(groups.len()).unwrap_or(u16::MAX);
        if count > PARTS_MAX {
            return Err(Error::Oversized {
                len: groups.len() * DATAGRAM_TARGET_BYTES,
                max: usize::from(PARTS_MAX) * DATAGRAM_TARGET_BYTES,
            });
        }
        let mut datagrams = Vec::with_capacity(groups.len());
        for (index, endpoints) in (0..count).zip(groups) {
            let mut report = envelope.clone();
            report.endpoints = endpoints;
            let part = Part {
                version: VERSION,
                index,
                count,
                report,
            };
            datagrams.push(self.encode_part(&part)?);
        }
        Ok(datagrams)
    }

    /// Encodes a part and prepends its authentication tag.
    fn encode_part(&self, part: &Part) -> Result<Vec<u8>> {
        let body = postcard::to_stdvec(part)?;
        let len = TAG_BYTES + body.len();
        if len > DATAGRAM_MAX_BYTES {
            return Err(Error::Oversized {
                len,
                max: DATAGRAM_MAX_BYTES,
            });
        }
        let mut datagram = Vec::with_capacity(len);
        datagram.extend_from_slice(&self.key.tag(&NO_SEQUENCE, &body));
        datagram.extend_from_slice(&body);
        Ok(datagram)
    }
}

fn report_key(psk: Option<&Psk>) -> Psk {
    psk.cloned()
        .unwrap_or_else(Psk::insecure)
        .derive("sesamehaven report 1")
}

/// Builds the part with the longest encoding of `index` and `count`, to measure the overhead.
fn longest_part(report: Report) -> Part {
    Part {
        version: VERSION,
        index: PARTS_MAX,
        count: PARTS_MAX,
        report,
    }
}

/// Groups loads so that each group with several loads stays within `max_bytes`.
fn group_loads(loads: Vec<Load>, max_bytes: usize) -> Result<Vec<Vec<Load>>> {
    let mut groups = vec![Vec::new()];
    let mut used = 0;
    for load in loads {
        let len = postcard::to_stdvec(&load)?.len();
        if used > 0 && used + len > max_bytes {
            groups.push(Vec::new());
            used = 0;
        }
        used += len;
        if let Some(last) = groups.last_mut() {
            last.push(load);
        }
    }
    Ok(groups)
}

/// The reason for which a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The authentication tag is invalid: another key, a damaged datagram or noise.
    InvalidTag,
    /// The tag is valid, but the body is not a report.
    Malformed,
    /// The protocol version of the report is not supported.
    UnsupportedVersion,
    /// The part is a duplicate, or a later report of the incarnation has arrived.
    Stale,
    /// The report is from an earlier incarnation of the agent.
    OldIncarnation,
}

impl DropReason {
    /// Returns the value of the `reason` label of the counter.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::InvalidTag => "forged",
            DropReason::Malformed => "malformed",
            DropReason::UnsupportedVersion => "version",
            DropReason::Stale => "old",
            DropReason::OldIncarnation => "incarnation",
        }
    }
}

/// Verifies and reassembles datagrams and drops stale reports.
///
/// It uses neither a socket nor a clock.
#[derive(Debug)]
pub struct ReportDecoder {
    key: Psk,
    agents: HashMap<DaemonName, Reassembly>,
    datagrams: u64,
}

/// The reassembly state of one agent's reports.
#[derive(Debug)]
struct Reassembly {
    incarnation: Incarnation,
    /// The highest sequence number of which a part has arrived.
    seq: u64,
    /// The parts of that report; empty once it is complete.
    parts: Vec<Option<Vec<Load>>>,
    /// The number of the last datagram from this agent, for LRU eviction.
    last_datagram: u64,
}

impl ReportDecoder {
    /// Creates a decoder that uses the key of the deployment.
    pub fn new(psk: Option<&Psk>) -> Self {
        ReportDecoder {
            key: report_key(psk),
            agents: HashMap::new(),
            datagrams: 0,
        }
    }

    /// Processes a datagram and returns the report if it is now complete.
    ///
    /// # Errors
    ///
    /// Returns the reason if the datagram is dropped.
    pub fn decode(&mut self, datagram: &[u8]) -> std::result::Result<Option<Report>, DropReason> {
        let part = self.verify(datagram)?;
        self.datagrams += 1;
        let mut report = part.report;
        self.evict_for(&report.agent);
        let reassembly = self
            .agents
            .entry(report.agent.clone())
            .or_insert_with(|| Reassembly::new(report.incarnation));
        reassembly.last_datagram = self.datagrams;
        let loads = std::mem::take(&mut report.endpoints);
        let position = (report.incarnation, report.seq);
        let Some(endpoints) = reassembly.insert(position, part.index, part.count, loads)? else {
            return Ok(None);
        };
        report.endpoints = endpoints;
        Ok(Some(report))
    }

    /// Checks the tag and the version of a datagram and decodes its part.
    fn verify(&self, datagram: &[u8]) -> std::result::Result<Part, DropReason> {
        let Some((tag, body)) = datagram.split_at_checked(TAG_BYTES) else {
            return Err(DropReason::InvalidTag);
        };
        if !self.key.verify_tag(&NO_SEQUENCE, body, tag) {
            return Err(DropReason::InvalidTag);
        }
        match postcard::take_from_bytes::<u16>(body) {
            Ok((VERSION, _)) => {}
            Ok(_) => return Err(DropReason::UnsupportedVersion),
            Err(_) => return Err(DropReason::Malformed),
        }
        match postcard::from_bytes::<Part>(body) {
            Ok(part) if part.index < part.count && part.count <= PARTS_MAX => Ok(part),
            _ => Err(DropReason::Malformed),
        }
    }

    /// Evicts the agent that was heard from least recently if `agent` is new and the table is full.
    fn evict_for(&mut self, agent: &DaemonName) {
        if self.agents.len() < AGENTS_MAX || self.agents.contains_key(agent) {
            return;
        }
        let oldest = self.agents.iter().min_by_key(|(_, r)| r.last_datagram);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.agents.remove(&name);
        }
    }
}

impl Reassembly {
    fn new(incarnation: Incarnation) -> Self {
        Reassembly {
            incarnation,
            seq: 0,
            parts: Vec::new(),
            last_datagram: 0,
        }
    }

    /// Inserts a part and returns all loads once no part is missing.
    fn insert(
        &mut self,
        (incarnation, seq): (Incarnation, u64),
        index: u16,
        count: u16,
        loads: Vec<Load>,
    ) -> std::result::Result<Option<Vec<Load>>, DropReason> {
        if incarnation < self.incarnation {
            return Err(DropReason::OldIncarnation);
        }
        if incarnation > self.incarnation {
            *self = Reassembly {
                last_datagram: self.last_datagram,
                ..Reassembly::new(incarnation)
            };
        }
        if seq > self.seq {
            self.seq = seq;
            self.parts = vec![None; usize::from(count)];
        }
        let slot = self.parts.get_mut(usize::from(index));
        let Some(slot) = slot.filter(|slot| seq == self.seq && slot.is_none()) else {
            return Err(DropReason::Stale);
        };
        *slot = Some(loads);
        if self.parts.iter().any(Option::is_none) {
            return Ok(None);
        }
        let parts = std::mem::take(&mut self.parts);
        Ok(Some(parts.into_iter().flatten().flatten().collect()))
    }
}

/// Sends an agent's reports to its entries.
#[derive(Debug)]
pub struct ReportSender {
    socket: UdpSocket,
    encoder: ReportEncoder,
    seq: u64,
}

impl ReportSender {
    /// Binds a socket to `local`, whose port is usually zero.
    ///
    /// # Errors
    ///
    /// Returns an I/O error when the address cannot be bound.
    pub async fn bind(local: SocketAddr, psk: Option<&Psk>) -> Result<Self> {
        Ok(ReportSender {
            socket: UdpSocket::bind(local).await?,
            encoder: ReportEncoder::new(psk),
            seq: 0,
        })
    }

    /// Assigns the next sequence number to a report and sends it to all `peers`.
    ///
    /// A failure to send to one peer is counted and does not affect the others.
    ///
    /// # Errors
    ///
    /// Returns an error when the report cannot be encoded.
    pub async fn send(&mut self, report: &mut Report, peers: &[SocketAddr]) -> Result<()> {
        self.seq += 1;
        report.seq = self.seq;
        let datagrams = self.encoder.encode(report)?;
        for peer in peers {
            for datagram in &datagrams {
                match self.socket.send_to(datagram, peer).await {
                    Ok(_) => counter!(counter::REPORTS_SENT).increment(1),
                    Err(_) => counter!(counter::REPORTS_UNSENT).increment(1),
                }
            }
        }
        Ok(())
    }
}

/// Receives the reports of agents.
#[derive(Debug)]
pub struct ReportReceiver {
    socket: UdpSocket,
    decoder: ReportDecoder,
    buf: Vec<u8>,
}

impl ReportReceiver {
    /// Binds a socket for reports to `local`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error when the address cannot be bound.
    pub async fn bind(local: SocketAddr, psk: Option<&Psk>) -> Result<Self> {
        Ok(ReportReceiver {
            socket: UdpSocket::bind(local).await?,
            decoder: ReportDecoder::new(psk),
            buf: vec![0; DATAGRAM_MAX_BYTES + 1],
        })
    }

    /// Returns the local address of the socket.
    ///
    /// # Errors
    ///
    /// Returns an I/O error when the socket has no address.
    pub fn local_addr(&self) -> Result<SocketAddr> {
        Ok(self.socket.local_addr()?)
    }

    /// Receives the next complete report that is newer than the previous ones.
    ///
    /// Parts of an incomplete report are kept for reassembly. Rejected datagrams are counted
    /// and dropped.
    ///
    /// # Errors
    ///
    /// Returns an I/O error when the socket fails.
    pub async fn recv(&mut self) -> Result<Report> {
        loop {
            let (len, _) = self.socket.recv_from(&mut self.buf).await?;
            match self.decoder.decode(&self.buf[..len]) {
                Ok(None) => counter!(counter::REPORTS_RECEIVED).increment(1),
                Ok(Some(report)) => {
                    counter!(counter::REPORTS_RECEIVED).increment(1);
                    return Ok(report);
                }
                Err(reason) => {
                    let labels = [("reason", reason.as_str())];
                    counter!(counter::REPORTS_DROPPED, &labels).increment(1);
                }
            }
        }
    }
}
