//! The agent's part in the dispatch guard: the slots of keys that it is home of.

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

/// The object that says which slots have ever had a home.
const OPENED: &str = "guard/opened";
/// The tries to read and write [`OPENED`] before the slots count as lost.
const OPEN_TRIES: u32 = 10;
/// The pause between these tries.
const OPEN_PAUSE: Duration = Duration::from_millis(200);

/// The homes of keys at this agent, with the links to the entries.
pub struct Homes {
    me: SmolStr,
    home: Home,
    links: HashMap<LinkId, (Run, Sender)>,
    opening: bool,
    /// The slots that this run has ever served.
    served: BTreeSet<Slot>,
    absent: BTreeSet<DaemonName>,
}

impl Homes {
    /// Builds the homes of a run that has just started.
    pub fn new(me: Run) -> Self {
        Homes {
            me: format_smolstr!("{}@{}", me.name, me.incarnation),
            home: Home::new(me, BTreeSet::new()),
            links: HashMap::new(),
            opening: false,
            served: BTreeSet::new(),
            absent: BTreeSet::new(),
        }
    }

    /// Takes the configured entries.
    pub fn expect(&mut self, entries: BTreeSet<DaemonName>) {
        self.home.set_expected_entries(entries);
    }

    /// Notes a link with an entry.
    pub fn link_up(&mut self, link: LinkId, run: Run, tx: Sender) {
        self.links.insert(link, (run.clone(), tx));
        let sends = self.home.entry_linked(&run, now());
        self.send(sends);
    }

    /// Notes that a link is gone.
    pub fn link_lost(&mut self, link: LinkId) {
        let Some((run, _)) = self.links.remove(&link) else {
            return;
        };
        if !self.links.values().any(|(other, _)| *other == run) {
            let sends = self.home.entry_unlinked(&run, now());
            self.send(sends);
        }
    }

    /// Takes the platform's list of entries' VMs, which lags.
    ///
    /// What it calls gone is over. A configured entry that two lists in a row do
    /// not have, and that was never linked, has not been started.
    pub fn listed(&mut self, vms: &[(DaemonName, VmState)], configured: BTreeSet<DaemonName>) {
        let upto = latest_listed(now().wall);
        let gone = vms.iter().filter(|(_, state)| *state == VmState::Gone);
        for (name, _) in gone {
            self.entry_over(name, upto);
        }
        let is_listed = |name: &DaemonName| vms.iter().any(|(listed, _)| listed == name);
        let absent = configured.into_iter().filter(|name| !is_listed(name));
        let before = std::mem::replace(&mut self.absent, absent.collect());
        let twice: Vec<_> = self.absent.intersection(&before).cloned().collect();
        for name in twice {
            self.entry_over(&name, Incarnation(0));
        }
    }

    fn entry_over(&mut self, name: &DaemonName, last: Incarnation) {
        let sends = self.home.entry_ended(name, last, now());
        self.send(sends);
    }

    /// Takes messages of an entry.
    pub fn take(&mut self, link: LinkId, messages: Vec<ToHome>) {
        let Some((from, _)) = self.links.get(&link) else {
            return;
        };
        let from = from.clone();
        let mut sends = Outbox::new();
        for message in messages {
            sends.extend(self.home.on_message(&from, message, now()));
        }
        self.send(sends);
    }

    /// Sends again what has not been answered.
    pub fn sweep(&mut self) {
        let sends = self.home.tick(now());
        self.send(sends);
        gauge!("agent_key_home_slots").set(self.home.served().count() as f64);
        gauge!("agent_key_bytes").set(self.home.bytes() as f64);
    }

    /// Lists slots whose past the platform has to be asked about, once.
    pub fn to_open(&mut self) -> Option<Opening> {
        if self.opening {
            return None;
        }
        let slots = self.home.awaiting_bootstrap();
        let slots: Vec<_> = slots
            .map(|slot| (slot, self.served.contains(&slot)))
            .collect();
        if slots.is_empty() {
            return None;
        }
        self.opening = true;
        let me = self.me.clone();
        Some(Opening { me, slots })
    }

    /// Takes the platform's word on slots.
    pub fn opened(&mut self, slots: Vec<(Slot, Bootstrap)>) {
        self.opening = false;
        for (slot, bootstrap) in slots {
            if bootstrap == Bootstrap::Lost {
                counter!("agent_key_slots_lost_total").increment(1);
            }
            let sends = self.home.bootstrap(slot, bootstrap, now());
            self.send(sends);
        }
    }

    fn send(&mut self, sends: Outbox) {
        let mut by_run: BTreeMap<Run, Vec<FromHome>> = BTreeMap::new();
        for (run, message) in sends {
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
                    // Either side asks again later.
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

/// Finds out which slots never had a home, and notes that they have one now.
///
/// The note names the last agent's run that asked. A run that finds itself there
/// and has never served the slot is still its first home, so that a lost answer
/// or an attempt that came to nothing does not count as a loss. Without an answer
/// of the platform the slots count as lost, which is safe.
pub async fn open_slots(platform: &Platform, opening: &Opening) -> Vec<(Slot, Bootstrap)> {
    for _ in 0..OPEN_TRIES {
        if let Some(opened) = try_open(platform, opening).await {
            return opened;
        }
        tokio::time::sleep(OPEN_PAUSE).await;
    }
    let slots = opening.slots.iter();
    slots.map(|(slot, _)| (*slot, Bootstrap::Lost)).collect()
}

async fn try_open(platform: &Platform, opening: &Opening) -> Option<Vec<(Slot, Bootstrap)>> {
    let object = platform.get(OPENED).await.ok()?;
    let version = object.as_ref().map_or(Version::ABSENT, |o| o.version);
    let mut opened: BTreeMap<u16, SmolStr> = match object {
        Some(object) => serde_json::from_slice(&object.value).ok()?,
        None => BTreeMap::new(),
    };
    let mut verdicts = Vec::with_capacity(opening.slots.len());
    let mut is_changed = false;
    for (slot, has_served) in &opening.slots {
        let before = opened.insert(slot.0, opening.me.clone());
        let is_mine = before.as_ref() == Some(&opening.me);
        is_changed |= !is_mine;
        let is_first = before.is_none() || (is_mine && !has_served);
        let bootstrap = match is_first {
            true => Bootstrap::First,
            false => Bootstrap::Lost,
        };
        verdicts.push((*slot, bootstrap));
    }
    if is_changed {
        let value = serde_json::to_vec(&opened).ok()?;
        let condition = Condition::Version(version);
        let written = platform.put(OPENED, Bytes::from(value), condition).await;
        written.ok()?;
    }
    Some(verdicts)
}

/// A question to the platform about the past of slots.
#[derive(Debug)]
pub struct Opening {
    me: SmolStr,
    /// The slots, and whether this run has ever served them.
    slots: Vec<(Slot, bool)>,
}
