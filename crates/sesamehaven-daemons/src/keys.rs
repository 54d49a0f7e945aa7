//! The entry's side of the dispatch guard: claims on keys and shared answers.
//!
//! A guarded request claims its key at the key's home before it is offered, and
//! again before it is offered elsewhere. Further requests with the same key read
//! the answer of the first one. "Not run" is reported to a caller only after the
//! home has confirmed it.

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
use crate::entry::{Entry, Target};
use crate::key_waits;
use crate::slo::SloTracker;

/// Time for which a home may be unreachable before another agent is invited to
/// replace it.
const HOME_GRACE: Millis = Millis(1_000);
/// Time after start during which an entry invites only the first candidate of a
/// slot. It makes entries agree although their links come up in different orders.
const CANDIDATE_FALLBACK_DELAY: Millis = Millis(3_000);
/// Endpoint name of the placeholder target that is used to claim a key without an
/// offer.
const PLACEHOLDER_ENDPOINT: &str = "none";

/// State of a guarded request with respect to its key.
#[derive(Debug, Default)]
pub struct KeyState {
    /// Whether the request itself was granted the key.
    pub granted: bool,
    /// The request whose answer is read instead of an own one, and the agent's run
    /// that holds it.
    pub attached: Option<(RequestId, Run)>,
    /// The previous holder of the key whose offer never reached its agent.
    pub not_offered: Option<(RequestId, Run)>,
    /// Refusal to send once the key is confirmed to be unused.
    pub refusal: Option<Refused>,
}

/// A caller waiting for the home's confirmation that its request was not run.
#[derive(Debug)]
struct PendingRelease {
    tx: mpsc::Sender<ToCaller>,
    refused: Option<Refused>,
    slo: Option<SloTracker>,
    deadline: Instant,
}

/// The entry's idempotency keys.
#[derive(Debug)]
pub struct Keys {
    ledger: Ledger,
    homes: Vec<DaemonName>,
    claim_deadlines: HashMap<RequestId, Instant>,
    pending_releases: HashMap<RequestId, PendingRelease>,
    /// Requests reading the answer of another one, by the latter; the first of each
    /// queue is reading.
    readers: HashMap<RequestId, VecDeque<RequestId>>,
    /// When this run started.
    started: Instant,
    /// When each unreachable home was first found unreachable.
    unreachable_since: BTreeMap<Run, Instant>,
}

impl Keys {
    /// Creates the state of an entry run that has just started.
    pub fn new(me: Run) -> Self {
        Keys {
            ledger: Ledger::new(me),
            homes: Vec::new(),
            started: clock::now(),
            claim_deadlines: HashMap::new(),
            pending_releases: HashMap::new(),
            readers: HashMap::new(),
            unreachable_since: BTreeMap::new(),
        }
    }

    /// Selects the agents that may be homes from the configured ones.
    pub fn configure(&mut self, agents: &[DaemonName]) {
        self.homes = guard::eligible_homes(agents);
    }

    /// Returns whether any caller waits for the release of a key to be confirmed.
    pub fn is_releasing(&self) -> bool {
        !self.pending_releases.is_empty()
    }

    /// Returns the request that is currently reading the answer of `of`.
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
    /// Claims a request's key at its home for a dispatch at a target.
    pub(crate) fn claim_key(&mut self, id: RequestId, target: &Target) {
        let run = self.current_run(&target.agent);
        let now = clock::now();
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let (Some(run), Some(key)) = (run, active.job.key) else {
            return self.on_event(id, Event::Undecided);
        };
        let action = match active.key_state.granted {
            true => self.keys.ledger.move_to(key, id, run),
            false => self.keys.ledger.claim(Claim {
                key,
                time: active.job.key_time,
                req: id,
                place: run,
                instead_of: active.key_state.not_offered.take(),
            }),
        };
        if !self.keys.ledger.is_waiting(id) {
            return self.on_event(id, Event::Undecided);
        }
        let deadline = key_waits::claim_deadline(now, active.job.deadline);
        self.keys.claim_deadlines.insert(id, deadline);
        counter!("entry_key_claims_total").increment(1);
        self.apply_key_actions(action.into_iter().collect());
        if self.keys.ledger.home(Slot::of(key)).is_none() {
            self.invite_homes(&[Slot::of(key)]);
        }
    }

    /// Releases a request's key; its caller is answered once the home has
    /// confirmed.
    pub(crate) fn release_key(&mut self, id: RequestId) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let Some(key) = active.job.key else {
            return;
        };
        let releasing = PendingRelease {
            tx: active.tx.clone(),
            refused: None,
            slo: active.slo.take(),
            deadline: key_waits::release_deadline(clock::now(), active.job.deadline),
        };
        self.keys.pending_releases.insert(id, releasing);
        let action = self.keys.ledger.release(key, id);
        let is_waiting = self.keys.ledger.is_waiting(id);
        self.apply_key_actions(action.into_iter().collect());
        if !is_waiting && let Some(releasing) = self.keys.pending_releases.get_mut(&id) {
            releasing.deadline = Instant(0);
        }
    }

    /// Decides how a caller learns that its request was not run, and returns whether
    /// to tell it immediately.
    ///
    /// The reply to a guarded request is deferred until its key is released. A
    /// guarded request whose key was never granted to it gets the outcome
    /// "unknown", since another request with the key may have run.
    pub(crate) fn resolve_not_run(&mut self, id: RequestId, refused: Refused) -> bool {
        if let Some(releasing) = self.keys.pending_releases.get_mut(&id) {
            releasing.refused = Some(refused);
            return false;
        }
        let is_guarded = self.active.get(&id).is_some_and(|a| a.guarded);
        if is_guarded {
            counter!("entry_unknown_total", "reason" => UnknownReason::KeyUndecided.code())
                .increment(1);
            self.send_to_caller(id, ToCaller::Unknown(UnknownReason::KeyUndecided));
        }
        !is_guarded
    }

    /// Returns a placeholder target for claiming a key only to confirm that it is
    /// unused.
    pub(crate) fn proof_target(&self, id: RequestId) -> Option<Target> {
        let active = self.active.get(&id)?;
        let slot = Slot::of(active.job.key?);
        let home = self.keys.ledger.home(slot).map(|run| run.name.clone());
        let agent = home.or_else(|| self.peers.keys().next().cloned())?;
        let endpoint: EndpointName = PLACEHOLDER_ENDPOINT.parse().ok()?;
        Some(Target { agent, endpoint })
    }

    /// Handles messages from the homes at an agent.
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
        self.apply_key_actions(actions);
    }

    /// Resends messages that an agent may have missed while its link was down.
    pub(crate) fn resend_to(&mut self, run: &Run) {
        let actions = self.keys.ledger.resend();
        let is_theirs = |a: &Action| matches!(a, Action::Send(to, _) if to == run);
        self.apply_key_actions(actions.into_iter().filter(is_theirs).collect());
    }

    /// Ends the waits for homes that have timed out.
    pub(crate) fn tick_keys(&mut self) {
        let now = clock::now();
        let waiting = self
            .keys
            .claim_deadlines
            .iter()
            .filter(|(_, deadline)| **deadline <= now);
        let expired: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        for id in expired {
            self.keys.claim_deadlines.remove(&id);
            self.keys.ledger.abandon(id);
            counter!("entry_key_timeouts_total").increment(1);
            self.on_event(id, Event::Undecided);
        }
        let releasing = self.keys.pending_releases.iter();
        let expired = releasing.filter(|(_, r)| r.deadline <= now);
        let expired: Vec<RequestId> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.keys.ledger.abandon(id);
            self.end_release(id, false);
        }
    }

    /// Tracks unreachable homes and invites agents to serve slots without a
    /// reachable home.
    pub(crate) fn sweep_keys(&mut self) {
        let now = clock::now();
        self.keys.ledger.expire(now);
        gauge!("entry_key_bytes").set(self.keys.ledger.bytes() as f64);
        let mut unserved = Vec::new();
        let mut unreachable_since = BTreeMap::new();
        for slot in Slot::all() {
            let Some(home) = self.keys.ledger.home(slot) else {
                unserved.push(slot);
                continue;
            };
            if self.is_reachable(home) {
                continue;
            }
            let since = *self.keys.unreachable_since.get(home).unwrap_or(&now);
            unreachable_since.insert(home.clone(), since);
            if now.since(since) >= HOME_GRACE || self.is_replaced(home) {
                unserved.push(slot);
            }
        }
        self.keys.unreachable_since = unreachable_since;
        gauge!("entry_key_unserved_slots").set(unserved.len() as f64);
        self.invite_homes(&unserved);
        let actions = self.keys.ledger.resend();
        self.apply_key_actions(actions);
    }

    /// Removes a finished request from key state and shared answers.
    pub(crate) fn forget_key(&mut self, id: RequestId, attached: Option<(RequestId, Run)>) {
        self.keys.claim_deadlines.remove(&id);
        if !self.keys.pending_releases.contains_key(&id) {
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

    /// Starts the next reader of an answer, if the request itself is no longer
    /// active.
    fn start_reading(&mut self, of: RequestId) {
        if self.active.contains_key(&of) {
            return;
        }
        let Some(id) = self.keys.reader(of) else {
            return;
        };
        let target = self
            .active
            .get(&id)
            .and_then(|a| a.lifecycle.target().cloned());
        if let Some(target) = target {
            self.resume(id, &target);
        }
    }

    /// Returns whether a request reads another one's answer but has to wait,
    /// because this entry or an earlier reader is still reading it.
    pub(crate) fn must_wait_for_answer(&self, id: RequestId) -> bool {
        let attached = self
            .active
            .get(&id)
            .and_then(|a| a.key_state.attached.as_ref());
        let Some((of, _)) = attached else {
            return false;
        };
        self.active.contains_key(of) || self.keys.reader(*of) != Some(id)
    }

    fn current_run(&self, agent: &DaemonName) -> Option<Run> {
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
            let settling = clock::now().since(self.keys.started) < CANDIDATE_FALLBACK_DELAY;
            let count = if settling { 1 } else { candidates.len() };
            let candidates = candidates.into_iter().take(count);
            let reachable = candidates.filter_map(|name| self.current_run(name));
            let mut reachable = reachable.filter(|run| self.is_reachable(run));
            if let Some(run) = reachable.next() {
                invites.push(Action::Send(run, self.keys.ledger.invite(*slot)));
            }
        }
        self.apply_key_actions(invites);
    }

    fn apply_key_actions(&mut self, actions: Vec<Action>) {
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
            self.on_decision(id, decision);
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
                // The next sweep resends it.
                counter!("entry_key_frames_lost_total").increment(1);
            }
        }
    }

    fn on_decision(&mut self, id: RequestId, decision: Decision) {
        self.keys.claim_deadlines.remove(&id);
        if self.keys.pending_releases.contains_key(&id) {
            return self.end_release(id, decision == Decision::Released);
        }
        match decision {
            Decision::Granted(_) => {
                counter!("entry_key_decisions_total", "as" => "granted").increment(1);
                if let Some(active) = self.active.get_mut(&id) {
                    active.key_state.granted = true;
                }
                self.on_event(id, Event::Granted);
            }
            Decision::Held { by, place } => {
                counter!("entry_key_decisions_total", "as" => "held").increment(1);
                self.attach(id, by, place);
            }
            Decision::Undecided(why) => {
                counter!("entry_key_decisions_total", "as" => why.code()).increment(1);
                self.on_event(id, Event::Undecided);
            }
            Decision::Released => {}
        }
    }

    /// Attaches a request to the answer of the request that holds its key.
    fn attach(&mut self, id: RequestId, by: RequestId, place: Run) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let endpoint = active.lifecycle.target().map(|p| p.endpoint.clone());
        let Some(endpoint) = endpoint else {
            return;
        };
        let has_ended = self
            .peers
            .get(&place.name)
            .is_none_or(|peer| peer.incarnation != place.incarnation);
        let agent = place.name.clone();
        active.key_state.attached = Some((by, place));
        active.key_state.granted = false;
        active.next_chunk = 0;
        self.keys.readers.entry(by).or_default().push_back(id);
        self.on_event(id, Event::Attached(Target { agent, endpoint }));
        if has_ended {
            return self.on_event(id, Event::AgentLost);
        }
        if self.must_wait_for_answer(id) {
            self.on_event(id, Event::AlreadyDispatched);
        }
    }

    /// Records that the offer of a key's holder never reached its agent.
    pub(crate) fn on_not_offered(&mut self, id: RequestId) {
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        if let Some((of, run)) = active.key_state.attached.take() {
            active.key_state.not_offered = Some((of, run));
            self.keys.stop_reading(of, id);
            self.start_reading(of);
        }
    }

    fn end_release(&mut self, id: RequestId, is_released: bool) {
        let Some(mut releasing) = self.keys.pending_releases.remove(&id) else {
            return;
        };
        let message = match (is_released, releasing.refused) {
            (true, Some(refused)) => {
                counter!("entry_not_run_total", "reason" => refused.reason.code()).increment(1);
                ToCaller::NotRun(refused)
            }
            _ => {
                let reason = UnknownReason::KeyUndecided;
                counter!("entry_unknown_total", "reason" => reason.code()).increment(1);
                ToCaller::Unknown(reason)
            }
        };
        SloTracker::record(&mut releasing.slo, &message, &self.status, clock::now());
        if releasing.tx.try_send(message).is_err() {
            counter!("entry_words_lost_total").increment(1);
        }
    }

    /// Returns the id under which a request's agent holds it.
    pub(crate) fn id_at_target(&self, id: RequestId) -> RequestId {
        let Some(active) = self.active.get(&id) else {
            return id;
        };
        match &active.key_state.attached {
            Some((of, _)) => *of,
            None => id.attempt(active.attempt),
        }
    }
}
