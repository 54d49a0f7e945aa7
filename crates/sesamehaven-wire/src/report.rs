//! Load reports over UDP: split, sealed, put in order.
//!
//! A report that is too long for one datagram goes in several, each with some
//! of the endpoints; it counts only when all of them have arrived, since the
//! next one follows soon. See [`docs/LINK.md`](../../../docs/LINK.md).

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

/// The length up to which datagrams are filled, which common networks carry whole, in bytes.
const DATAGRAM_BYTES: usize = 1_200;

/// The longest datagram that is sent for a single endpoint, in bytes.
const DATAGRAM_MAX_BYTES: usize = 32 << 10;

/// How many agents' orders of reports are remembered.
const AGENTS_MAX: usize = 4_096;

/// The most datagrams of one report.
const PARTS_MAX: u16 = 64;

/// Datagrams stand alone; the numbers inside put them in order.
const NO_PLACE: [u8; 8] = [0; 8];

/// One datagram's share of a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Part {
    version: u16,
    index: u16,
    count: u16,
    report: Report,
}

/// Seals reports into datagrams.
#[derive(Debug, Clone)]
pub struct ReportEncoder {
    key: Psk,
}

impl ReportEncoder {
    /// Builds an encoder for the key of the deployment.
    pub fn new(psk: Option<&Psk>) -> Self {
        ReportEncoder {
            key: report_key(psk),
        }
    }

    /// Encodes a report into the datagrams that carry it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Oversized`] when one endpoint's load, or the number of
    /// endpoints, is too large to send.
    pub fn encode(&self, report: &Report) -> Result<Vec<Vec<u8>>> {
        let mut frame = report.clone();
        let loads = std::mem::take(&mut frame.endpoints);
        let overhead = TAG_BYTES + postcard::to_stdvec(&whole(frame.clone()))?.len();
        let groups = group(loads, DATAGRAM_BYTES.saturating_sub(overhead))?;
        let count = u16::try_from(groups.len()).unwrap_or(u16::MAX);
        if count > PARTS_MAX {
            return Err(Error::Oversized {
                len: groups.len() * DATAGRAM_BYTES,
                max: usize::from(PARTS_MAX) * DATAGRAM_BYTES,
            });
        }
        let mut datagrams = Vec::with_capacity(groups.len());
        for (index, endpoints) in (0..count).zip(groups) {
            let mut report = frame.clone();
            report.endpoints = endpoints;
            let part = Part {
                version: VERSION,
                index,
                count,
                report,
            };
            datagrams.push(self.seal(&part)?);
        }
        Ok(datagrams)
    }

    fn seal(&self, part: &Part) -> Result<Vec<u8>> {
        let body = postcard::to_stdvec(part)?;
        let len = TAG_BYTES + body.len();
        if len > DATAGRAM_MAX_BYTES {
            return Err(Error::Oversized {
                len,
                max: DATAGRAM_MAX_BYTES,
            });
        }
        let mut datagram = Vec::with_capacity(len);
        datagram.extend_from_slice(&self.key.tag(&NO_PLACE, &body));
        datagram.extend_from_slice(&body);
        Ok(datagram)
    }
}

fn report_key(psk: Option<&Psk>) -> Psk {
    psk.cloned()
        .unwrap_or_else(Psk::public)
        .derive("sesamehaven report 1")
}

fn whole(report: Report) -> Part {
    Part {
        version: VERSION,
        index: PARTS_MAX,
        count: PARTS_MAX,
        report,
    }
}

/// Groups loads so that each group stays within `room` bytes where it can.
fn group(loads: Vec<Load>, room: usize) -> Result<Vec<Vec<Load>>> {
    let mut groups = vec![Vec::new()];
    let mut used = 0;
    for load in loads {
        let len = postcard::to_stdvec(&load)?.len();
        if used > 0 && used + len > room {
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

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Dropped {
    /// The keyed hash does not fit: another key, damage or noise.
    Forged,
    /// The hash fits, but the rest is not a report.
    Malformed,
    /// The report is of another version.
    Version,
    /// A report with this number or a later one has arrived before.
    Old,
    /// The report is of an earlier run of the agent.
    Incarnation,
}

impl Dropped {
    /// Returns the word that stands for the reason in counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Dropped::Forged => "forged",
            Dropped::Malformed => "malformed",
            Dropped::Version => "version",
            Dropped::Old => "old",
            Dropped::Incarnation => "incarnation",
        }
    }
}

/// Opens datagrams and puts reports in order, without a socket or a clock.
#[derive(Debug)]
pub struct ReportDecoder {
    key: Psk,
    agents: HashMap<DaemonName, Progress>,
    datagrams: u64,
}

/// What has arrived of one agent's reports.
#[derive(Debug)]
struct Progress {
    incarnation: Incarnation,
    /// The latest report of which anything has arrived.
    seq: u64,
    /// The parts of that report; empty when it is whole.
    parts: Vec<Option<Vec<Load>>>,
    /// The number of the last datagram from this agent, to evict the least recent.
    heard: u64,
}

impl ReportDecoder {
    /// Builds a decoder for the key of the deployment.
    pub fn new(psk: Option<&Psk>) -> Self {
        ReportDecoder {
            key: report_key(psk),
            agents: HashMap::new(),
            datagrams: 0,
        }
    }

    /// Takes a datagram; returns the report that it completes, if it does.
    ///
    /// # Errors
    ///
    /// Returns why the datagram was dropped.
    pub fn decode(&mut self, datagram: &[u8]) -> std::result::Result<Option<Report>, Dropped> {
        let part = self.open(datagram)?;
        self.datagrams += 1;
        let mut report = part.report;
        self.make_room(&report.agent);
        let progress = self
            .agents
            .entry(report.agent.clone())
            .or_insert_with(|| Progress::new(report.incarnation));
        progress.heard = self.datagrams;
        let loads = std::mem::take(&mut report.endpoints);
        let run = (report.incarnation, report.seq);
        let Some(endpoints) = progress.take(run, part.index, part.count, loads)? else {
            return Ok(None);
        };
        report.endpoints = endpoints;
        Ok(Some(report))
    }

    fn open(&self, datagram: &[u8]) -> std::result::Result<Part, Dropped> {
        let Some((tag, body)) = datagram.split_at_checked(TAG_BYTES) else {
            return Err(Dropped::Forged);
        };
        if !self.key.fits(&NO_PLACE, body, tag) {
            return Err(Dropped::Forged);
        }
        match postcard::take_from_bytes::<u16>(body) {
            Ok((VERSION, _)) => {}
            Ok(_) => return Err(Dropped::Version),
            Err(_) => return Err(Dropped::Malformed),
        }
        match postcard::from_bytes::<Part>(body) {
            Ok(part) if part.index < part.count && part.count <= PARTS_MAX => Ok(part),
            _ => Err(Dropped::Malformed),
        }
    }

    fn make_room(&mut self, agent: &DaemonName) {
        if self.agents.len() < AGENTS_MAX || self.agents.contains_key(agent) {
            return;
        }
        let oldest = self.agents.iter().min_by_key(|(_, p)| p.heard);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.agents.remove(&name);
        }
    }
}

impl Progress {
    fn new(incarnation: Incarnation) -> Self {
        Progress {
            incarnation,
            seq: 0,
            parts: Vec::new(),
            heard: 0,
        }
    }

    /// Takes one part; returns all loads when no part is missing.
    fn take(
        &mut self,
        (incarnation, seq): (Incarnation, u64),
        index: u16,
        count: u16,
        loads: Vec<Load>,
    ) -> std::result::Result<Option<Vec<Load>>, Dropped> {
        if incarnation < self.incarnation {
            return Err(Dropped::Incarnation);
        }
        if incarnation > self.incarnation {
            *self = Progress {
                heard: self.heard,
                ..Progress::new(incarnation)
            };
        }
        if seq > self.seq {
            self.seq = seq;
            self.parts = vec![None; usize::from(count)];
        }
        let slot = self.parts.get_mut(usize::from(index));
        let Some(slot) = slot.filter(|slot| seq == self.seq && slot.is_none()) else {
            return Err(Dropped::Old);
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
    /// Opens a socket at `local`, whose port is usually zero.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address cannot be used.
    pub async fn bind(local: SocketAddr, psk: Option<&Psk>) -> Result<Self> {
        Ok(ReportSender {
            socket: UdpSocket::bind(local).await?,
            encoder: ReportEncoder::new(psk),
            seq: 0,
        })
    }

    /// Numbers a report and sends it to each of `peers`.
    ///
    /// A peer that cannot be reached is counted and does not stop the others.
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
    /// Listens for reports at `local`.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the address cannot be used.
    pub async fn bind(local: SocketAddr, psk: Option<&Psk>) -> Result<Self> {
        Ok(ReportReceiver {
            socket: UdpSocket::bind(local).await?,
            decoder: ReportDecoder::new(psk),
            buf: vec![0; DATAGRAM_MAX_BYTES + 1],
        })
    }

    /// Returns the address that reports are sent to.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the socket has no address.
    pub fn local_addr(&self) -> Result<SocketAddr> {
        Ok(self.socket.local_addr()?)
    }

    /// Waits for the next report that is whole and newer than those before.
    ///
    /// Datagrams that are anything else are counted and dropped.
    ///
    /// # Errors
    ///
    /// Returns the error of the system when the socket fails.
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
