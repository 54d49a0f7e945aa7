//! The agent's side of the dispatch guard: the key slots for which it is the home.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use bytes::Bytes;
use metrics::{counter, gauge};
use smol_str::{SmolStr, format_smolstr};

use sesamehaven::guard::{FromHome, Run, Slot, ToHome};
use sesamehaven::home::{Bootstrap, Home, Now, Outbox};
use sesamehaven::id::{DaemonName, Incarnation};
use sesamehaven::key::WallTime;
use sesamehaven::membership::latest_listed;
use sesamehaven_wire::guard::{GuardMessage, MAX_MESSAGES_PER_FRAME};
use sesamehaven_wire::link::Sender;
use sesamehaven_wire::message::Frame;

use crate::clock;
use crate::peer::LinkId;
use crate::platform::{Condition, Platform, Version, VmState};

/// Path of the platform object that records which slots have ever had a home.
const OPENED_PATH: &str = "guard/opened";
/// Number of attempts to update [`OPENED_PATH`] before the slots count as lost.
const RESOLVE_ATTEMPTS: u32 = 10;
/// Delay between these attempts.
const RESOLVE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The slot homes at this agent, with the links to the entries.
pub struct Homes {
    own_run: SmolStr,
    home: Home,
    links: HashMap<LinkId, (Run, Sender)>,
    query_in_flight: bool,
    /// The slots that this run has ever served.
    served: BTreeSet<Slot>,
    unlisted: BTreeSet<DaemonName>,
}

impl Homes {
    /// Creates the homes of a run that has just started.
    pub fn new(me: Run) -> Self {
        Homes {
            own_run: format_smolstr!("{}@{}", me.name, me.incarnation),
            home: Home::new(me, BTreeSet::new()),
            links: HashMap::new(),
            query_in_flight: false,
            served: BTreeSet::new(),
            unlisted: BTreeSet::new(),
        }
    }

    /// Sets the configured entries.
    pub fn set_entries(&mut self, entries: BTreeSet<DaemonName>) {
        self.home.set_expected_entries(entries);
    }

    /// Registers a link to an entry.
    pub fn link_up(&mut self, link: LinkId, run: Run, tx: Sender) {
        self.links.insert(link, (run.clone(), tx));
        let outbox = self.home.entry_linked(&run, now());
        self.send(outbox);
    }

    /// Removes a closed link.
    pub fn link_lost(&mut self, link: LinkId) {
        let Some((run, _)) = self.links.remove(&link) else {
            return;
        };
        if !self.links.values().any(|(other, _)| *other == run) {
            let outbox = self.home.entry_unlinked(&run, now());
            self.send(outbox);
        }
    }

    /// Handles the platform's list of entries' VMs, which may be stale.
    ///
    /// The run of an entry whose VM is listed as gone has ended. A configured entry
    /// that is missing from two consecutive lists and was never linked has not been
    /// started.
    pub fn on_vm_list(&mut self, vms: &[(DaemonName, VmState)], configured: BTreeSet<DaemonName>) {
        let last_incarnation = latest_listed(now().wall);
        let gone = vms.iter().filter(|(_, state)| *state == VmState::Gone);
        for (name, _) in gone {
            self.mark_ended(name, last_incarnation);
        }
        let is_listed = |name: &DaemonName| vms.iter().any(|(listed, _)| listed == name);
        let unlisted = configured.into_iter().filter(|name| !is_listed(name));
        let before = std::mem::replace(&mut self.unlisted, unlisted.collect());
        let missing_twice: Vec<_> = self.unlisted.intersection(&before).cloned().collect();
        for name in missing_twice {
            self.mark_ended(&name, Incarnation(0));
        }
    }

    fn mark_ended(&mut self, name: &DaemonName, last: Incarnation) {
        let outbox = self.home.entry_ended(name, last, now());
        self.send(outbox);
    }

    /// Handles messages from an entry.
    pub fn on_messages(&mut self, link: LinkId, messages: Vec<ToHome>) {
        let Some((from, _)) = self.links.get(&link) else {
            return;
        };
        let from = from.clone();
        let mut outbox = Outbox::new();
        for message in messages {
            outbox.extend(self.home.on_message(&from, message, now()));
        }
        self.send(outbox);
    }

    /// Resends unanswered messages and updates the gauges.
    pub fn sweep(&mut self) {
        let outbox = self.home.tick(now());
        self.send(outbox);
        gauge!("agent_key_home_slots").set(self.home.served().count() as f64);
        gauge!("agent_key_bytes").set(self.home.bytes() as f64);
    }

    /// Returns the slots that have to be looked up at the platform, unless a query
    /// is in flight.
    pub fn next_slot_query(&mut self) -> Option<SlotQuery> {
        if self.query_in_flight {
            return None;
        }
        let slots = self.home.awaiting_bootstrap();
        let slots: Vec<_> = slots
            .map(|slot| (slot, self.served.contains(&slot)))
            .collect();
        if slots.is_empty() {
            return None;
        }
        self.query_in_flight = true;
        let own_run = self.own_run.clone();
        Some(SlotQuery { own_run, slots })
    }

    /// Handles the result of a slot query.
    pub fn on_slots_resolved(&mut self, slots: Vec<(Slot, Bootstrap)>) {
        self.query_in_flight = false;
        for (slot, bootstrap) in slots {
            if bootstrap == Bootstrap::Lost {
                counter!("agent_key_slots_lost_total").increment(1);
            }
            let outbox = self.home.bootstrap(slot, bootstrap, now());
            self.send(outbox);
        }
    }

    fn send(&mut self, outbox: Outbox) {
        let mut by_run: BTreeMap<Run, Vec<FromHome>> = BTreeMap::new();
        for (run, message) in outbox {
            if let FromHome::Serve(slot, _) = &message {
                self.served.insert(*slot);
            }
            by_run.entry(run).or_default().push(message);
        }
        for (run, messages) in by_run {
            let Some((_, tx)) = self.links.values().find(|(r, _)| *r == run) else {
                continue;
            };
            for chunk in messages.chunks(MAX_MESSAGES_PER_FRAME) {
                let frame = Frame::Guard(GuardMessage::FromHome(chunk.to_vec()));
                if tx.try_send(frame).is_err() {
                    // Unanswered messages are resent by either side.
                    counter!("agent_key_frames_lost_total").increment(1);
                }
            }
        }
    }
}

fn now() -> Now {
    Now {
        instant: clock::now(),
        wall: WallTime(clock::wall_ms()),
    }
}

/// Determines which slots never had a home, and records at the platform that all
/// queried slots have one now.
///
/// The record holds the last run that queried a slot. A run that finds itself there
/// and has never served the slot is still its first home, so that a lost response
/// or an unfinished attempt does not count as a loss. If the platform does not
/// respond, the slots count as lost, which is safe.
pub async fn resolve_slots(platform: &Platform, query: &SlotQuery) -> Vec<(Slot, Bootstrap)> {
    for _ in 0..RESOLVE_ATTEMPTS {
        if let Some(resolved) = try_resolve(platform, query).await {
            return resolved;
        }
        tokio::time::sleep(RESOLVE_RETRY_DELAY).await;
    }
    let slots = query.slots.iter();
    slots.map(|(slot, _)| (*slot, Bootstrap::Lost)).collect()
}

async fn try_resolve(platform: &Platform, query: &SlotQuery) -> Option<Vec<(Slot, Bootstrap)>> {
    let object = platform.get(OPENED_PATH).await.ok()?;
    let version = object.as_ref().map_or(Version::ABSENT, |o| o.version);
    let mut opened: BTreeMap<u16, SmolStr> = match object {
        Some(object) => serde_json::from_slice(&object.value).ok()?,
        None => BTreeMap::new(),
    };
    let mut verdicts = Vec::with_capacity(query.slots.len());
    let mut is_changed = false;
    for (slot, has_served) in &query.slots {
        let before = opened.insert(slot.0, query.own_run.clone());
        let is_own = before.as_ref() == Some(&query.own_run);
        is_changed |= !is_own;
        let is_first = before.is_none() || (is_own && !has_served);
        let bootstrap = match is_first {
            true => Bootstrap::First,
            false => Bootstrap::Lost,
        };
        verdicts.push((*slot, bootstrap));
    }
    if is_changed {
        let value = serde_json::to_vec(&opened).ok()?;
        let condition = Condition::Version(version);
        let written = platform
            .put(OPENED_PATH, Bytes::from(value), condition)
            .await;
        written.ok()?;
    }
    Some(verdicts)
}

/// A query to the platform about the previous homes of slots.
#[derive(Debug)]
pub struct SlotQuery {
    own_run: SmolStr,
    /// The slots, and whether this run has ever served them.
    slots: Vec<(Slot, bool)>,
}
