//! The entry's part in the dispatch guard: claims of keys and shared answers.
//!
//! Each guarded request asks the home of its key before it is offered, and again
//! before it is offered elsewhere. A second sender of a key reads the answer of
//! the first one's run. "Not run" is told only after the home has confirmed it.

use std::collections::{BTreeMap, HashMap, VecDeque};

use metrics::{counter, gauge};
use tokio::sync::mpsc;

use sesamehaven::guard::{self, Claim, FromHome, Run, Slot, ToHome};
use sesamehaven::id::{DaemonName, EndpointName, RequestId};
use sesamehaven::ledger::{Action, Decision, Ledger};
use sesamehaven::lifecycle::{Event, UnknownReason};
use sesamehaven::outcome::Refused;
use sesamehaven::unit::{Instant, Millis};
use sesamehaven_wire::guard::{GuardMessage, MAX_MESSAGES_PER_FRAME};
use sesamehaven_wire::message::Frame;

use crate::caller::ToCaller;
use crate::clock;
use crate::entry::{Entry, Place};
use crate::score::Score;

/// The longest wait for a home's word on a claim or a move.
const CLAIM_TIMEOUT: Millis = Millis(1_500);
/// The longest wait for a home's word that a key is given up.
const RELEASE_TIMEOUT: Millis = Millis(500);
/// How soon before its deadline a request that waits for a home is decided.
const DEADLINE_MARGIN: Millis = Millis(30);
/// How long a home may be out of reach before another agent is invited.
const HOME_GRACE: Millis = Millis(1_000);
/// How long a starting entry waits for a slot's first candidate before it invites
/// another one, so that entries whose links come up in different order agree.
const SETTLE: Millis = Millis(3_000);
/// The endpoint of a place that stands for none.
const NO_ENDPOINT: &str = "none";

/// What a guarded request has come to with its key.
#[derive(Debug, Default)]
pub struct Keyed {
    /// The request has had a grant of its own.
    pub granted: bool,
    /// The request whose answer is read in place of an own one, and its place.
    pub attached: Option<(RequestId, Run)>,
    /// The holder that was never offered at its place.
    pub unheard: Option<(RequestId, Run)>,
    /// Why the request is refused, once its key is known to be fresh.
    pub refusal: Option<Refused>,
}

/// A caller who waits for the home's word that its request was not run.
#[derive(Debug)]
struct Releasing {
    tx: mpsc::Sender<ToCaller>,
    refused: Option<Refused>,
    score: Option<Score>,
    until: Instant,
}

/// The entry's keys.
#[derive(Debug)]
pub struct Keys {
    ledger: Ledger,
    homes: Vec<DaemonName>,
    waits: HashMap<RequestId, Instant>,
    releasing: HashMap<RequestId, Releasing>,
    /// Requests that read the answer of another one; the first of each is reading.
    readers: HashMap<RequestId, VecDeque<RequestId>>,
    /// Since when the homes are known.
    since: Instant,
    /// Homes that are out of reach, and since when.
    missed: BTreeMap<Run, Instant>,
}

impl Keys {
    /// Builds the keys of a run that has just started.
    pub fn new(me: Run) -> Self {
        Keys {
            ledger: Ledger::new(me),
            homes: Vec::new(),
            since: clock::now(),
            waits: HashMap::new(),
            releasing: HashMap::new(),
            readers: HashMap::new(),
            missed: BTreeMap::new(),
        }
    }

    /// Takes the configured agents.
    pub fn configure(&mut self, agents: &[DaemonName]) {
        self.homes = guard::eligible_homes(agents);
    }

    /// Returns whether a caller waits for the word that a key is given up.
    pub fn is_releasing(&self) -> bool {
        !self.releasing.is_empty()
    }

    /// Returns the request that reads the answer of another one now.
    pub fn reader(&self, of: RequestId) -> Option<RequestId> {
        self.readers.get(&of)?.front().copied()
    }

    fn stop_reading(&mut self, of: RequestId, id: RequestId) {
        if let Some(readers) = self.readers.get_mut(&of) {
            readers.retain(|reader| *reader != id);
            if readers.is_empty() {
                self.readers.remove(&of);
            }
        }
    }
}

impl Entry {
    /// Asks the home of a request's key for the dispatch at a place.
    pub(crate) fn claim_key(&mut self, id: RequestId, place: &Place) {
        let run = self.run_of(&place.agent);
        let now = clock::now();
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let (Some(run), Some(key)) = (run, active.job.key) else {
            return self.drive(id, Event::Undecided);
        };
        let action = match active.keyed.granted {
            true => self.keys.ledger.move_to(key, id, run),
            false => self.keys.ledger.claim(Claim {
                key,
                time: active.job.key_time,
                req: id,
                place: run,
                instead_of: active.keyed.unheard.take(),
            }),
        };
        if !self.keys.ledger.is_waiting(id) {
            return self.drive(id, Event::Undecided);
        }
        let latest = Instant(active.job.deadline.0.saturating_sub(DEADLINE_MARGIN.0));
        let until = now.after(CLAIM_TIMEOUT).min(latest);
        self.keys.waits.insert(id, until);
        counter!("entry_key_claims_total").increment(1);
        self.act_on_keys(action.into_iter().collect());
        if self.keys.ledger.home(Slot::of(key)).is_none() {
            self.invite_homes(&[Slot::of(key)]);
        }
    }

    /// Gives a request's key up; its caller is told when the home has confirmed.
    pub(crate) fn release_key(&mut self, id: RequestId) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let Some(key) = active.job.key else {
            return;
        };
        let releasing = Releasing {
            tx: active.tx.clone(),
            refused: None,
            score: active.score.take(),
            until: clock::now().after(RELEASE_TIMEOUT),
        };
        self.keys.releasing.insert(id, releasing);
        let action = self.keys.ledger.release(key, id);
        let is_waiting = self.keys.ledger.is_waiting(id);
        self.act_on_keys(action.into_iter().collect());
        if !is_waiting && let Some(releasing) = self.keys.releasing.get_mut(&id) {
            releasing.until = Instant(0);
        }
    }

    /// Keeps back the word that a guarded request was not run.
    ///
    /// Returns whether the caller may be told at once. A guarded request whose
    /// key was never granted to it may have run as another one.
    pub(crate) fn may_tell_not_run(&mut self, id: RequestId, refused: Refused) -> bool {
        if let Some(releasing) = self.keys.releasing.get_mut(&id) {
            releasing.refused = Some(refused);
            return false;
        }
        let is_guarded = self.active.get(&id).is_some_and(|a| a.guarded);
        if is_guarded {
            counter!("entry_unknown_total", "reason" => UnknownReason::KeyUndecided.code())
                .increment(1);
            self.tell(id, ToCaller::Unknown(UnknownReason::KeyUndecided));
        }
        !is_guarded
    }

    /// Returns a place that stands for none, to prove that a key is fresh.
    pub(crate) fn proving_place(&self, id: RequestId) -> Option<Place> {
        let active = self.active.get(&id)?;
        let slot = Slot::of(active.job.key?);
        let home = self.keys.ledger.home(slot).map(|run| run.name.clone());
        let agent = home.or_else(|| self.peers.keys().next().cloned())?;
        let endpoint: EndpointName = NO_ENDPOINT.parse().ok()?;
        Some(Place { agent, endpoint })
    }

    /// Takes messages of the homes at an agent.
    pub(crate) fn on_guard(&mut self, message: GuardMessage) {
        let GuardMessage::FromHome(messages) = message else {
            return;
        };
        let now = clock::now();
        let mut actions = Vec::new();
        for message in messages {
            if let FromHome::Serve(_, view) = &message
                && view.gap.is_some()
            {
                counter!("entry_key_slots_with_losses_total").increment(1);
            }
            actions.extend(self.keys.ledger.on_message(message, now));
        }
        self.act_on_keys(actions);
    }

    /// Sends again what an agent may have missed while its link was down.
    pub(crate) fn resend_to(&mut self, run: &Run) {
        let actions = self.keys.ledger.resend();
        let is_theirs = |a: &Action| matches!(a, Action::Send(to, _) if to == run);
        self.act_on_keys(actions.into_iter().filter(is_theirs).collect());
    }

    /// Decides requests that have waited too long for a home.
    pub(crate) fn tick_keys(&mut self) {
        let now = clock::now();
        let waits = self.keys.waits.iter().filter(|(_, until)| **until <= now);
        let late: Vec<RequestId> = waits.map(|(id, _)| *id).collect();
        for id in late {
            self.keys.waits.remove(&id);
            self.keys.ledger.abandon(id);
            counter!("entry_key_timeouts_total").increment(1);
            self.drive(id, Event::Undecided);
        }
        let releasing = self.keys.releasing.iter();
        let late = releasing.filter(|(_, r)| r.until <= now);
        let late: Vec<RequestId> = late.map(|(id, _)| *id).collect();
        for id in late {
            self.keys.ledger.abandon(id);
            self.end_release(id, false);
        }
    }

    /// Looks after homes that are out of reach and slots without one.
    pub(crate) fn sweep_keys(&mut self) {
        let now = clock::now();
        self.keys.ledger.expire(now);
        gauge!("entry_key_bytes").set(self.keys.ledger.bytes() as f64);
        let mut unserved = Vec::new();
        let mut missed = BTreeMap::new();
        for slot in Slot::all() {
            let Some(home) = self.keys.ledger.home(slot) else {
                unserved.push(slot);
                continue;
            };
            if self.is_reachable(home) {
                continue;
            }
            let since = *self.keys.missed.get(home).unwrap_or(&now);
            missed.insert(home.clone(), since);
            if now.since(since) >= HOME_GRACE || self.is_replaced(home) {
                unserved.push(slot);
            }
        }
        self.keys.missed = missed;
        gauge!("entry_key_unserved_slots").set(unserved.len() as f64);
        self.invite_homes(&unserved);
        let actions = self.keys.ledger.resend();
        self.act_on_keys(actions);
    }

    /// Ends the part that a request took in shared answers.
    pub(crate) fn forget_key(&mut self, id: RequestId, attached: Option<(RequestId, Run)>) {
        self.keys.waits.remove(&id);
        if !self.keys.releasing.contains_key(&id) {
            self.keys.ledger.abandon(id);
        }
        if let Some((of, _)) = attached {
            let was_reading = self.keys.reader(of) == Some(id);
            self.keys.stop_reading(of, id);
            if was_reading {
                self.start_reading(of);
            }
        }
        self.start_reading(id);
    }

    /// Lets the next reader of an answer ask for it.
    fn start_reading(&mut self, of: RequestId) {
        if self.active.contains_key(&of) {
            return;
        }
        let Some(id) = self.keys.reader(of) else {
            return;
        };
        let place = self
            .active
            .get(&id)
            .and_then(|a| a.flight.target().cloned());
        if let Some(place) = place {
            self.resume(id, &place);
        }
    }

    /// Returns whether a request reads the answer of another one, and that one's
    /// turn has not come because this entry itself is still reading it.
    pub(crate) fn must_wait_to_read(&self, id: RequestId) -> bool {
        let attached = self.active.get(&id).and_then(|a| a.keyed.attached.as_ref());
        let Some((of, _)) = attached else {
            return false;
        };
        self.active.contains_key(of) || self.keys.reader(*of) != Some(id)
    }

    fn run_of(&self, agent: &DaemonName) -> Option<Run> {
        let peer = self.peers.get(agent)?;
        Some(Run {
            name: agent.clone(),
            incarnation: peer.incarnation,
        })
    }

    fn is_reachable(&self, run: &Run) -> bool {
        let peer = self.peers.get(&run.name);
        peer.is_some_and(|p| p.incarnation == run.incarnation && p.link.is_some() && !p.leaving)
    }

    fn is_replaced(&self, run: &Run) -> bool {
        let peer = self.peers.get(&run.name);
        peer.is_some_and(|p| p.incarnation > run.incarnation || p.leaving)
    }

    fn invite_homes(&mut self, slots: &[Slot]) {
        let mut invites = Vec::new();
        for slot in slots {
            let candidates = slot.candidates(&self.keys.homes);
            let settling = clock::now().since(self.keys.since) < SETTLE;
            let count = if settling { 1 } else { candidates.len() };
            let candidates = candidates.into_iter().take(count);
            let reachable = candidates.filter_map(|name| self.run_of(name));
            let mut reachable = reachable.filter(|run| self.is_reachable(run));
            if let Some(run) = reachable.next() {
                invites.push(Action::Send(run, self.keys.ledger.invite(*slot)));
            }
        }
        self.act_on_keys(invites);
    }

    fn act_on_keys(&mut self, actions: Vec<Action>) {
        let mut sends: BTreeMap<Run, Vec<ToHome>> = BTreeMap::new();
        let mut decisions = Vec::new();
        for action in actions {
            match action {
                Action::Send(run, message) => sends.entry(run).or_default().push(message),
                Action::Decide(id, decision) => decisions.push((id, decision)),
            }
        }
        for (run, messages) in sends {
            self.send_to_home(&run, messages);
        }
        for (id, decision) in decisions {
            self.decided(id, decision);
        }
    }

    fn send_to_home(&self, run: &Run, messages: Vec<ToHome>) {
        let peer = self.peers.get(&run.name);
        let peer = peer.filter(|p| p.incarnation == run.incarnation);
        let Some((_, tx)) = peer.and_then(|p| p.link.as_ref()) else {
            return;
        };
        for chunk in messages.chunks(MAX_MESSAGES_PER_FRAME) {
            let frame = Frame::Guard(GuardMessage::ToHome(chunk.to_vec()));
            if tx.try_send(frame).is_err() {
                // The sweep sends it again.
                counter!("entry_key_frames_lost_total").increment(1);
            }
        }
    }

    fn decided(&mut self, id: RequestId, decision: Decision) {
        self.keys.waits.remove(&id);
        if self.keys.releasing.contains_key(&id) {
            return self.end_release(id, decision == Decision::Released);
        }
        match decision {
            Decision::Granted(_) => {
                counter!("entry_key_decisions_total", "as" => "granted").increment(1);
                if let Some(active) = self.active.get_mut(&id) {
                    active.keyed.granted = true;
                }
                self.drive(id, Event::Granted);
            }
            Decision::Held { by, place } => {
                counter!("entry_key_decisions_total", "as" => "held").increment(1);
                self.attach(id, by, place);
            }
            Decision::Undecided(why) => {
                counter!("entry_key_decisions_total", "as" => why.code()).increment(1);
                self.drive(id, Event::Undecided);
            }
            Decision::Released => {}
        }
    }

    /// Lets a request read the answer of the one that holds its key.
    fn attach(&mut self, id: RequestId, by: RequestId, place: Run) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let endpoint = active.flight.target().map(|p| p.endpoint.clone());
        let Some(endpoint) = endpoint else {
            return;
        };
        let is_over = self
            .peers
            .get(&place.name)
            .is_none_or(|peer| peer.incarnation != place.incarnation);
        let agent = place.name.clone();
        active.keyed.attached = Some((by, place));
        active.keyed.granted = false;
        active.next_chunk = 0;
        self.keys.readers.entry(by).or_default().push_back(id);
        self.drive(id, Event::Attached(Place { agent, endpoint }));
        if is_over {
            return self.drive(id, Event::AgentLost);
        }
        if self.must_wait_to_read(id) {
            self.drive(id, Event::AlreadyDispatched);
        }
    }

    /// Notes that the holder of a key was never offered at its place.
    pub(crate) fn on_unheard(&mut self, id: RequestId) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        if let Some((of, run)) = active.keyed.attached.take() {
            active.keyed.unheard = Some((of, run));
            self.keys.stop_reading(of, id);
            self.start_reading(of);
        }
    }

    fn end_release(&mut self, id: RequestId, is_released: bool) {
        let Some(mut releasing) = self.keys.releasing.remove(&id) else {
            return;
        };
        let word = match (is_released, releasing.refused) {
            (true, Some(refused)) => {
                counter!("entry_not_run_total", "reason" => refused.reason.code()).increment(1);
                ToCaller::NotRun(refused)
            }
            _ => {
                let doubt = UnknownReason::KeyUndecided;
                counter!("entry_unknown_total", "reason" => doubt.code()).increment(1);
                ToCaller::Unknown(doubt)
            }
        };
        Score::tell(&mut releasing.score, &word, &self.status, clock::now());
        if releasing.tx.try_send(word).is_err() {
            counter!("entry_words_lost_total").increment(1);
        }
    }

    /// Returns the number under which a request's place knows it.
    pub(crate) fn number_at_place(&self, id: RequestId) -> RequestId {
        let Some(active) = self.active.get(&id) else {
            return id;
        };
        match &active.keyed.attached {
            Some((of, _)) => *of,
            None => id.attempt(active.attempt),
        }
    }
}
