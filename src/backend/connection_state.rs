//! The state of one connection to an engine, without its socket: what waits to go out, what is out,
//! and how each attempt on it ends. Sockets push bytes through it; the wire's protocol is its
//! parameter.
use super::{BackendEvent, Protocol};
use crate::clock::{MS, Micros};
use crate::dispatcher::termination::{Termination, TransmitProgress};
use crate::dispatcher::{AttemptReply, AttemptRequest, AttemptResult, Cost};
use crate::policy::api::{AttemptNo, LoadReport, OutcomeKind, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// How long after the word that gives an attempt up it counts as given up: the word has to get
/// there before any further attempt does, and that may travel on another connection.
const SETTLE: Micros = 5 * MS;
/// What must never run twice goes out but for its last bytes, and those so long after: longer than
/// a round trip. Guards it against a connection that is reset under it: what the engine never had
/// whole never ran.
const HOLD: Micros = 5 * MS;
const LAST_BYTES: usize = 3;
/// A probe without an answer for so long has failed.
const PROBE_TIME: Micros = 250 * MS;

/// So many requests are remembered whose attempts ended without a whole answer.
const MOST_STALE: usize = 256;

struct Chunk {
    /// Set while the chunk starts an attempt: then it can be taken back before its first byte.
    starts: Option<RequestId>,
    /// Set for the end of an attempt that is held back.
    ends: Option<RequestId>,
    bytes: Vec<u8>,
    done: usize,
}

struct PendingAttempt {
    attempt: AttemptNo,
    /// Its client's connection.
    conn: u64,
    reach: TransmitProgress,
    sent_at: Micros,
    /// Given up; over at that time.
    settles: Option<Micros>,
}

/// What happened on a connection.
#[derive(Debug)]
pub enum Event {
    /// An attempt ended.
    Ended(AttemptResult),
    /// A probe came back.
    Probed {
        /// How.
        kind: OutcomeKind,
        /// How long it took.
        latency: Micros,
        /// The engine's load, where told.
        load: LoadReport,
    },
}

/// One connection.
pub struct ConnectionState<W> {
    wire: W,
    on_it: BTreeMap<RequestId, PendingAttempt>,
    /// Probes without an answer: their numbers, and when they went out.
    probes: VecDeque<(u64, Micros)>,
    next_probe: u64,
    outbox: VecDeque<Chunk>,
    /// Until when the end of an attempt is held back.
    held_until: Option<Micros>,
    heard_at: Micros,
    quiet_since: Micros,
    /// Nothing was heard since an attempt that was given up went out: it may be cut off. Carries
    /// nothing new.
    suspect: bool,
    /// Ended here otherwise than by a whole answer: more words about them may come.
    stale: VecDeque<RequestId>,
    /// Attempts written to their last byte.
    dispatched: u64,
    over: Option<Termination>,
}

impl<W: Protocol> ConnectionState<W> {
    /// A connection that is about to be made.
    pub fn new(now: Micros, wire: W) -> ConnectionState<W> {
        ConnectionState {
            wire,
            on_it: BTreeMap::new(),
            probes: VecDeque::new(),
            next_probe: 1,
            outbox: VecDeque::new(),
            held_until: None,
            heard_at: now,
            quiet_since: now,
            suspect: false,
            stale: VecDeque::new(),
            dispatched: 0,
            over: None,
        }
    }

    /// Attempts that it can carry beside those on it.
    pub fn free(&self) -> usize {
        let fresh = self.over.is_none() && !self.suspect && self.wire.reusable();
        if fresh {
            self.wire.streams().saturating_sub(self.on_it.len())
        } else {
            0
        }
    }

    /// The attempts on it.
    pub fn attempts(&self) -> impl Iterator<Item = RequestId> {
        self.on_it.keys().copied()
    }

    /// Requests whose further attempts need another connection. Guards against a late word about an
    /// earlier attempt, as an error for each page that was asked for, that would be taken for the
    /// end of a later one.
    pub fn stale(&self) -> impl Iterator<Item = RequestId> {
        self.stale.iter().copied()
    }

    /// Since when nothing has been open on it, if nothing is.
    pub fn idle_since(&self) -> Option<Micros> {
        let idle = self.on_it.is_empty() && self.probes.is_empty() && self.outbox.is_empty();
        idle.then_some(self.quiet_since)
    }

    /// Whether it has to be closed, and why.
    pub fn over(&self) -> Option<Termination> {
        let worn_out = self.suspect || !self.wire.reusable();
        let used_up = worn_out && self.on_it.is_empty() && self.outbox.is_empty();
        self.over.or(used_up.then_some(Termination::Dropped))
    }

    /// When it wants its next turn by itself.
    pub fn next_due(&self) -> Option<Micros> {
        let settles = self.on_it.values().filter_map(|a| a.settles).min();
        let probe = self.probes.front().map(|(_, at)| at + PROBE_TIME);
        settles
            .into_iter()
            .chain(probe)
            .chain(self.wire.next_due())
            .chain(self.held_until)
            .min()
    }

    /// Takes an attempt on.
    pub fn start(&mut self, now: Micros, job: &AttemptRequest) {
        let mut bytes = self.wire.start(now, job);
        let tail = bytes.split_off(
            bytes.len()
                - if job.must_not_repeat {
                    LAST_BYTES.min(bytes.len() - 1)
                } else {
                    0
                },
        );
        self.outbox.push_back(Chunk {
            starts: Some(job.id),
            ends: None,
            bytes,
            done: 0,
        });
        if !tail.is_empty() {
            self.outbox.push_back(Chunk {
                starts: None,
                ends: Some(job.id),
                bytes: tail,
                done: 0,
            });
        }
        let on_it = PendingAttempt {
            attempt: job.attempt,
            conn: job.client_connection,
            reach: TransmitProgress::Unsent,
            sent_at: now,
            settles: None,
        };
        self.on_it.insert(job.id, on_it);
    }

    /// Words that neither start nor end an attempt.
    fn say(&mut self, bytes: Vec<u8>) {
        self.outbox.push_back(Chunk {
            starts: None,
            ends: None,
            bytes,
            done: 0,
        });
    }

    /// Sends a probe.
    pub fn probe(&mut self, now: Micros) {
        let bytes = self.wire.probe(self.next_probe);
        self.say(bytes);
        self.probes.push_back((self.next_probe, now));
        self.next_probe += 1;
    }

    fn end(
        &mut self,
        now: Micros,
        id: RequestId,
        end: Termination,
        rows: Vec<u8>,
        load: LoadReport,
        cost: Cost,
    ) -> Option<Event> {
        let PendingAttempt { attempt, reach, .. } = self.on_it.remove(&id)?;
        self.quiet_since = now;
        if reach != TransmitProgress::Unsent
            && !matches!(
                end,
                Termination::Done | Termination::Rejected | Termination::AlreadyFinished
            )
        {
            self.stale.push_back(id);
            self.stale
                .drain(..self.stale.len().saturating_sub(MOST_STALE));
        }
        Some(Event::Ended(AttemptResult {
            id,
            attempt,
            termination: end,
            progress: reach,
            reply: AttemptReply { rows, load, cost },
        }))
    }

    fn end_plain(&mut self, now: Micros, id: RequestId, end: Termination) -> Option<Event> {
        self.end(
            now,
            id,
            end,
            Vec::new(),
            LoadReport::default(),
            Cost::default(),
        )
    }

    /// Takes an attempt back before its first byte.
    fn take_back(&mut self, now: Micros, id: RequestId, end: Termination) -> Option<Event> {
        self.outbox
            .retain(|chunk| chunk.starts != Some(id) && chunk.ends != Some(id));
        self.wire.stop(id);
        self.end_plain(now, id, end)
    }

    /// Gives an attempt up.
    pub fn stop(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: AttemptNo,
        events: &mut Vec<Event>,
    ) {
        let Some(on_it) = self.on_it.get_mut(&id).filter(|a| a.attempt == attempt) else {
            return;
        };
        if on_it.reach == TransmitProgress::Unsent {
            return events.extend(self.take_back(now, id, Termination::Cancelled));
        }
        if on_it.settles.is_some() {
            return;
        }
        on_it.settles = Some(now + SETTLE);
        self.suspect |= self.heard_at <= on_it.sent_at;
        match self.wire.stop(id) {
            Some(bytes) => self.say(bytes),
            None => {
                self.over = Some(Termination::Dropped);
                events.extend(self.end_plain(now, id, Termination::Cancelled));
            }
        }
    }

    /// An attempt takes longer than it should, and another one goes beside it. Guards what follows
    /// against a connection that swallows all that is sent on it: without a sign of life since it
    /// carries nothing new.
    pub fn doubt(&mut self, id: RequestId, attempt: AttemptNo) {
        let on_it = self
            .on_it
            .get(&id)
            .filter(|a| a.attempt == attempt && a.reach != TransmitProgress::Unsent);
        self.suspect |= on_it.is_some_and(|a| self.heard_at <= a.sent_at);
    }

    /// Gives an attempt a new priority. It follows the attempt's own words, so that none comes
    /// first.
    pub fn bump(&mut self, id: RequestId, attempt: AttemptNo, urgency: u8) {
        if self
            .on_it
            .get(&id)
            .is_some_and(|a| a.attempt == attempt && a.settles.is_none())
        {
            let bytes = self.wire.bump(id, urgency);
            if !bytes.is_empty() {
                self.say(bytes);
            }
        }
    }

    /// The engine drains or is gone. Guards rule 3: what waits to go out, as it does while the
    /// connection is being made or while the engine does not read, must not go out any more.
    pub fn drain(&mut self, now: Micros, events: &mut Vec<Event>) {
        let unsent = self
            .on_it
            .iter()
            .filter(|(_, a)| a.reach == TransmitProgress::Unsent);
        let unsent: Vec<RequestId> = unsent.map(|(id, _)| *id).collect();
        events.extend(
            unsent
                .into_iter()
                .filter_map(|id| self.take_back(now, id, Termination::Drained)),
        );
    }

    /// The attempt whose first byte is the next one to be written, with its client's connection.
    pub fn starts(&self) -> Option<(RequestId, AttemptNo, u64)> {
        let id = self
            .outbox
            .front()
            .filter(|chunk| chunk.done == 0)
            .and_then(|chunk| chunk.starts)?;
        self.on_it.get(&id).map(|a| (id, a.attempt, a.conn))
    }

    /// The bytes to write next.
    pub fn to_write(&self) -> Option<&[u8]> {
        let held = |chunk: &&Chunk| chunk.ends.is_some() && self.held_until.is_some();
        self.outbox
            .front()
            .filter(|chunk| !held(chunk))
            .map(|chunk| &chunk.bytes[chunk.done..])
    }

    /// So many of them were written.
    pub fn wrote(&mut self, now: Micros, n: usize) {
        let Some(chunk) = self.outbox.front_mut() else {
            return;
        };
        chunk.done += n;
        if let Some(on_it) = chunk
            .starts
            .filter(|_| n > 0)
            .and_then(|id| self.on_it.get_mut(&id))
            && on_it.reach == TransmitProgress::Unsent
        {
            (on_it.reach, on_it.sent_at) = (TransmitProgress::Complete, now);
        }
        if let Some(on_it) = chunk.ends.and_then(|id| self.on_it.get_mut(&id)) {
            on_it.reach = TransmitProgress::Complete;
        }
        if chunk.done < chunk.bytes.len() {
            return;
        }
        let Some(chunk) = self.outbox.pop_front() else {
            return;
        };
        let started = chunk.starts;
        // What follows is its end, if that is held back.
        let held = self
            .outbox
            .front()
            .and_then(|chunk| chunk.ends)
            .filter(|id| started == Some(*id));
        let whole = chunk.ends.is_some() || (started.is_some() && held.is_none());
        self.dispatched += u64::from(whole);
        if let Some(on_it) = held.and_then(|id| self.on_it.get_mut(&id)) {
            (on_it.reach, self.held_until) = (TransmitProgress::Partial, Some(now + HOLD));
        }
    }

    /// Attempts written to their last byte since it was asked last.
    pub fn dispatched(&mut self) -> u64 {
        std::mem::take(&mut self.dispatched)
    }

    /// Bytes came; none means that the engine closed.
    pub fn read(&mut self, now: Micros, input: &[u8], events: &mut Vec<Event>) {
        let (mut said, mut replies) = (Vec::new(), Vec::new());
        self.heard_at = now;
        if input.is_empty() {
            self.wire.finish(&mut said);
            self.over = self.over.or(Some(Termination::Closed));
        } else if let Err(end) = self.wire.feed(now, input, &mut said, &mut replies) {
            self.over = self.over.or(Some(end));
        }
        self.hear(now, said, replies, events);
    }

    fn hear(
        &mut self,
        now: Micros,
        said: Vec<BackendEvent>,
        replies: Vec<u8>,
        events: &mut Vec<Event>,
    ) {
        if !replies.is_empty() {
            self.say(replies);
        }
        for said in said {
            match said {
                BackendEvent::Ended(id, end, rows, load, cost) => {
                    events.extend(self.end(now, id, end, rows, load, cost));
                }
                // Guards against a second copy, or one that comes too late: it tells nothing of a
                // later probe.
                BackendEvent::Probed(number, kind, load) => {
                    let sent = self.probes.iter().position(|(n, _)| *n == number);
                    if let Some((_, at)) = sent.and_then(|sent| self.probes.remove(sent)) {
                        events.push(Event::Probed {
                            kind,
                            latency: now.saturating_sub(at),
                            load,
                        });
                    }
                }
            }
        }
    }

    /// Whatever is due by now.
    pub fn due(&mut self, now: Micros, events: &mut Vec<Event>) {
        self.held_until = self.held_until.filter(|at| *at > now);
        let settled = self
            .on_it
            .iter()
            .filter(|(_, a)| a.settles.is_some_and(|at| at <= now));
        let settled: Vec<RequestId> = settled.map(|(id, _)| *id).collect();
        events.extend(
            settled
                .into_iter()
                .filter_map(|id| self.end_plain(now, id, Termination::Cancelled)),
        );
        if self.wire.next_due().is_some_and(|at| at <= now) {
            let (mut said, mut replies) = (Vec::new(), Vec::new());
            if let Err(end) = self.wire.due(now, &mut said, &mut replies) {
                self.over = self.over.or(Some(end));
            }
            self.hear(now, said, replies, events);
        }
        while let Some((_, at)) = self
            .probes
            .front()
            .copied()
            .filter(|(_, at)| at + PROBE_TIME <= now)
        {
            self.probes.pop_front();
            let (kind, load) = (OutcomeKind::Timeout, LoadReport::default());
            events.push(Event::Probed {
                kind,
                latency: now - at,
                load,
            });
        }
    }

    /// The connection ended, or was never made: so does all that is on it.
    pub fn close(&mut self, now: Micros, end: Termination, events: &mut Vec<Event>) {
        self.over = self.over.or(Some(end));
        let all: Vec<RequestId> = self.attempts().collect();
        for id in all {
            let given_up = self.on_it.get(&id).is_some_and(|a| a.settles.is_some());
            events.extend(self.end_plain(
                now,
                id,
                if given_up {
                    Termination::Cancelled
                } else {
                    end
                },
            ));
        }
        for (_, at) in std::mem::take(&mut self.probes) {
            let kind = crate::dispatcher::termination::outcome(end, TransmitProgress::Complete);
            events.push(Event::Probed {
                kind,
                latency: now - at,
                load: LoadReport::default(),
            });
        }
        self.outbox.clear();
    }
}

#[cfg(test)]
use super::platform;

#[cfg(test)]
#[path = "../../tests/unit/connection_state.rs"]
mod model;
