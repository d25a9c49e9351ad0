//! The state machine of one connection to an engine, without its socket: output that is queued to
//! be written, attempts in flight, pending probes, and how each of them ends. The caller moves
//! bytes between the state machine and a socket. The type parameter is the engine's [`Protocol`].
mod abandoned_requests;
mod attempt;
mod output_queue;
mod probes;

pub use attempt::{ConnectionEvent, StartingAttempt};

use super::{AttemptEnd, BackendEvent, Protocol, ProtocolOutput};
use crate::clock::{MS, Micros};
use crate::dispatcher::termination::{Termination, TransmitProgress, outcome};
use crate::dispatcher::{AttemptReply, AttemptRequest, AttemptResult};
use crate::policy::api::{AttemptNo, RequestId};
use abandoned_requests::AbandonedRequests;
use attempt::PendingAttempt;
use output_queue::{OutputQueue, SegmentKind};
use probes::PendingProbes;
use std::collections::BTreeMap;

/// Delay between the cancellation of an attempt and its reported end. A retry may be sent on
/// another connection, and the cancel command has to reach the engine before it.
const CANCEL_SETTLE_MICROS: Micros = 5 * MS;
/// Delay before the last bytes of an attempt that must never run twice are written; longer than a
/// round trip. If the connection is reset during the delay, the engine has not received the whole
/// command, which proves that the attempt did not run.
const TAIL_HOLD_MICROS: Micros = 5 * MS;

/// The state of one connection with the protocol `P`.
pub struct ConnectionState<P> {
    protocol: P,
    pending: BTreeMap<RequestId, PendingAttempt>,
    probes: PendingProbes,
    output: OutputQueue,
    /// Until when a [`SegmentKind::AttemptTail`] at the front of the output is held back.
    tail_held_until: Option<Micros>,
    last_received_at: Micros,
    idle_since: Micros,
    /// Set once an attempt is slow or cancelled and nothing was received since it was sent. The
    /// connection may be dead, so it carries no new attempts.
    suspect: bool,
    abandoned_requests: AbandonedRequests,
    commands_written: u64,
    close_reason: Option<Termination>,
}

impl<P: Protocol> ConnectionState<P> {
    /// Creates the state of a connection that is about to be established.
    pub fn new(now: Micros, protocol: P) -> ConnectionState<P> {
        ConnectionState {
            protocol,
            pending: BTreeMap::new(),
            probes: PendingProbes::new(),
            output: OutputQueue::default(),
            tail_held_until: None,
            last_received_at: now,
            idle_since: now,
            suspect: false,
            abandoned_requests: AbandonedRequests::default(),
            commands_written: 0,
            close_reason: None,
        }
    }

    /// The number of attempts that can be started in addition to those in flight.
    pub fn free_streams(&self) -> usize {
        let is_closing = self.close_reason.is_some() || self.closes_after_attempts();
        if is_closing || self.protocol.awaits_unidentified_response() {
            return 0;
        }
        let max_streams = self.protocol.max_streams();
        max_streams.saturating_sub(self.pending.len())
    }

    /// Whether the connection takes no new attempts, and is closed after those in flight.
    fn closes_after_attempts(&self) -> bool {
        self.suspect || !self.protocol.is_reusable()
    }

    /// The requests with an attempt in flight.
    pub fn attempts(&self) -> impl Iterator<Item = RequestId> {
        self.pending.keys().copied()
    }

    /// Requests with an attempt on this connection that was sent and ended without a result. A retry
    /// needs another connection: a late message about the earlier attempt, such as an error for each
    /// requested page or a second copy of a rejection, would be taken for the end of the retry.
    pub fn abandoned_requests(&self) -> impl Iterator<Item = RequestId> {
        self.abandoned_requests.iter()
    }

    /// Since when the connection has been idle, with no attempt, no probe and no output. `None` if
    /// it is in use.
    pub fn idle_since(&self) -> Option<Micros> {
        let idle = self.pending.is_empty() && self.probes.is_empty() && self.output.is_empty();
        idle.then_some(self.idle_since)
    }

    /// Why the connection has to be closed, or `None` if it may stay open.
    pub fn close_reason(&self) -> Option<Termination> {
        let drained =
            self.closes_after_attempts() && self.pending.is_empty() && self.output.is_empty();
        self.close_reason
            .or(drained.then_some(Termination::Dropped))
    }

    /// When [`ConnectionState::on_timeout`] has to be called.
    pub fn next_timeout(&self) -> Option<Micros> {
        let cancelled = self.pending.values().filter_map(|a| a.cancel_settles_at);
        cancelled
            .chain(self.probes.next_timeout())
            .chain(self.protocol.next_timeout())
            .chain(self.tail_held_until)
            .min()
    }

    /// Queues the command that starts an attempt. Returns its end instead if the connection waits
    /// for a response that the attempt would receive; nothing is sent then.
    pub fn start_attempt(
        &mut self,
        now: Micros,
        request: &AttemptRequest,
    ) -> Option<ConnectionEvent> {
        if self.protocol.awaits_unidentified_response() {
            let end = AttemptResult::unsent(request.attempt_id(), Termination::LocalLimit);
            return Some(ConnectionEvent::AttemptEnded(end));
        }
        let command = self.protocol.start_attempt(now, request);
        self.output
            .push_attempt(request.id, command, request.must_not_repeat);
        let pending = PendingAttempt::new(now, request);
        self.pending.insert(request.id, pending);
        None
    }

    /// Queues a probe. Returns its end instead if the connection waits for a response that the
    /// probe would receive; nothing is sent then.
    pub fn send_probe(&mut self, now: Micros) -> Option<ConnectionEvent> {
        if self.protocol.awaits_unidentified_response() {
            return Some(ConnectionEvent::unsent_probe());
        }
        let id = self.probes.register(now);
        let command = self.protocol.send_probe(id);
        self.output.push_control(command);
        None
    }

    fn end_attempt(&mut self, now: Micros, end: AttemptEnd) -> Option<ConnectionEvent> {
        let pending = self.pending.remove(&end.id)?;
        self.idle_since = now;
        if end.termination != Termination::Done && !pending.is_unsent() {
            self.abandoned_requests.record(end.id);
        }
        Some(ConnectionEvent::AttemptEnded(AttemptResult {
            id: end.id,
            attempt: pending.attempt,
            termination: end.termination,
            progress: pending.progress,
            reply: AttemptReply {
                rows: end.rows,
                load: end.load,
                cost: end.cost,
            },
        }))
    }

    /// Removes an attempt before its first byte is written, and ends it.
    fn end_unsent_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        termination: Termination,
    ) -> Option<ConnectionEvent> {
        self.output.remove_attempt(id);
        // The engine has received nothing of the attempt, so the cancel command is not sent. The
        // call only removes the attempt from the state of the protocol.
        let _ = self.protocol.cancel_attempt(id);
        self.end_attempt(now, AttemptEnd::without_result(id, termination))
    }

    /// Cancels an attempt. It ends after a short delay, or at once if it was not sent yet or only
    /// closing the connection cancels it. Ignored for an attempt that is not in flight.
    pub fn cancel_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: AttemptNo,
        events: &mut Vec<ConnectionEvent>,
    ) {
        let in_flight = self.pending.get_mut(&id).filter(|a| a.attempt == attempt);
        let Some(pending) = in_flight else { return };
        if pending.is_unsent() {
            events.extend(self.end_unsent_attempt(now, id, Termination::Cancelled));
            return;
        }
        if pending.is_cancelled() {
            return;
        }
        pending.cancel_settles_at = Some(now + CANCEL_SETTLE_MICROS);
        self.suspect |= self.last_received_at <= pending.sent_at;
        match self.protocol.cancel_attempt(id) {
            Some(command) => self.output.push_control(command),
            None => {
                self.close_reason = Some(Termination::Dropped);
                let end = AttemptEnd::without_result(id, Termination::Cancelled);
                events.extend(self.end_attempt(now, end));
            }
        }
    }

    /// Records that an attempt takes longer than expected and is hedged at another engine. If
    /// nothing was received since it was sent, the connection may be dead and carries no new
    /// attempts.
    pub fn mark_slow(&mut self, id: RequestId, attempt: AttemptNo) {
        let sent = self
            .pending
            .get(&id)
            .filter(|pending| pending.attempt == attempt && !pending.is_unsent());
        self.suspect |= sent.is_some_and(|pending| self.last_received_at <= pending.sent_at);
    }

    /// Changes the priority of an attempt. The command is queued after the one that starts the
    /// attempt, so the engine receives them in this order.
    pub fn set_priority(&mut self, id: RequestId, attempt: AttemptNo, priority: u8) {
        let in_flight = self
            .pending
            .get(&id)
            .is_some_and(|pending| pending.attempt == attempt && !pending.is_cancelled());
        if !in_flight {
            return;
        }
        let command = self.protocol.set_priority(id, priority);
        if !command.is_empty() {
            self.output.push_control(command);
        }
    }

    /// Ends every attempt that was not sent yet, as the engine is draining or was removed from the
    /// endpoint list. Attempts are unsent for instance while the connection is being established or
    /// the engine does not read.
    pub fn drain(&mut self, now: Micros, events: &mut Vec<ConnectionEvent>) {
        let unsent = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.is_unsent());
        let unsent: Vec<RequestId> = unsent.map(|(id, _)| *id).collect();
        for id in unsent {
            events.extend(self.end_unsent_attempt(now, id, Termination::Drained));
        }
    }

    /// The attempt whose first byte is the next one to be written.
    pub fn next_starting_attempt(&self) -> Option<StartingAttempt> {
        let id = self.output.next_attempt_start()?;
        let pending = self.pending.get(&id)?;
        Some(StartingAttempt {
            id,
            attempt: pending.attempt,
            client_connection: pending.client_connection,
        })
    }

    /// The bytes to write next; `None` if there are none or they are held back.
    pub fn pending_output(&self) -> Option<&[u8]> {
        let (kind, bytes) = self.output.front()?;
        let is_tail = matches!(kind, SegmentKind::AttemptTail(_));
        let held_back = is_tail && self.tail_held_until.is_some();
        (!held_back).then_some(bytes)
    }

    /// Records that the first `count` bytes of [`ConnectionState::pending_output`] were written.
    pub fn advance_output(&mut self, now: Micros, count: usize) {
        let Some(written) = self.output.advance(count) else {
            return;
        };
        match written.kind {
            SegmentKind::Attempt(id) | SegmentKind::AttemptHead(id) if count > 0 => {
                self.record_first_write(now, id);
            }
            SegmentKind::AttemptTail(id) => {
                if let Some(pending) = self.pending.get_mut(&id) {
                    pending.progress = TransmitProgress::Complete;
                }
            }
            _ => {}
        }
        if written.complete {
            self.finish_segment(now, written.kind);
        }
    }

    /// Records the first write of a command. From the first byte on, the attempt counts as possibly
    /// executed: its progress is `Complete`, which includes an unknown part of the command. For a
    /// partly written head this is cautious, as the tail has not been written. The progress is
    /// `Partial` from the last byte of the head to the first write of the tail.
    fn record_first_write(&mut self, now: Micros, id: RequestId) {
        let unsent = self.pending.get_mut(&id).filter(|a| a.is_unsent());
        if let Some(pending) = unsent {
            pending.progress = TransmitProgress::Complete;
            pending.sent_at = now;
        }
    }

    fn finish_segment(&mut self, now: Micros, kind: SegmentKind) {
        match kind {
            SegmentKind::Attempt(_) | SegmentKind::AttemptTail(_) => self.commands_written += 1,
            SegmentKind::AttemptHead(id) => {
                if let Some(pending) = self.pending.get_mut(&id) {
                    pending.progress = TransmitProgress::Partial;
                    self.tail_held_until = Some(now + TAIL_HOLD_MICROS);
                }
            }
            SegmentKind::Control => {}
        }
    }

    /// The number of attempts whose last byte was written since the previous call.
    pub fn take_commands_written(&mut self) -> u64 {
        std::mem::take(&mut self.commands_written)
    }

    /// Processes bytes that were received; an empty `input` is the end of the stream.
    pub fn receive(&mut self, now: Micros, input: &[u8], events: &mut Vec<ConnectionEvent>) {
        let mut output = ProtocolOutput::default();
        self.last_received_at = now;
        if input.is_empty() {
            self.protocol.on_end_of_input(&mut output);
            self.close_unless_closing(Termination::Closed);
        } else if let Err(error) = self.protocol.receive(now, input, &mut output) {
            self.close_unless_closing(error.into());
        }
        self.apply(now, output, events);
    }

    /// Sets the reason to close the connection, unless there already is one.
    fn close_unless_closing(&mut self, reason: Termination) {
        self.close_reason.get_or_insert(reason);
    }

    fn apply(&mut self, now: Micros, output: ProtocolOutput, events: &mut Vec<ConnectionEvent>) {
        if !output.replies.is_empty() {
            self.output.push_control(output.replies);
        }
        for event in output.events {
            let event = match event {
                BackendEvent::AttemptEnded(end) => {
                    let end = self.reject_premature(end);
                    self.end_attempt(now, end)
                }
                BackendEvent::ProbeCompleted { probe, kind, load } => {
                    self.probes.complete(now, probe, kind, load)
                }
            };
            events.extend(event);
        }
    }

    /// Replaces the end of an attempt that the engine cannot have responded to, as the end of its
    /// message is not written. The response belongs to an earlier attempt, and nothing that follows
    /// it can be trusted. The rest of the message is never written, so the attempt does not run.
    fn reject_premature(&mut self, end: AttemptEnd) -> AttemptEnd {
        let pending = self.pending.get_mut(&end.id);
        let Some(pending) = pending.filter(|_| self.output.contains_attempt(end.id)) else {
            return end;
        };
        if !pending.is_unsent() {
            pending.progress = TransmitProgress::Partial;
        }
        self.output.remove_attempt(end.id);
        self.close_unless_closing(Termination::ProtocolViolation);
        AttemptEnd::without_result(end.id, Termination::ProtocolViolation)
    }

    /// Processes all timeouts that have expired at `now`.
    pub fn on_timeout(&mut self, now: Micros, events: &mut Vec<ConnectionEvent>) {
        self.tail_held_until = self.tail_held_until.filter(|until| *until > now);
        self.end_settled_cancellations(now, events);
        if self.protocol.next_timeout().is_some_and(|at| at <= now) {
            let mut output = ProtocolOutput::default();
            if let Err(error) = self.protocol.on_timeout(now, &mut output) {
                self.close_unless_closing(error.into());
            }
            self.apply(now, output, events);
        }
        self.expire_probes(now, events);
    }

    /// Ends the probes that have expired. A connection on which only the late response of a probe
    /// could follow is closed.
    fn expire_probes(&mut self, now: Micros, events: &mut Vec<ConnectionEvent>) {
        while let Some(event) = self.probes.expire_next(now) {
            events.push(event);
            if self.protocol.awaits_unidentified_response() {
                self.close_unless_closing(Termination::Unresponsive);
            }
        }
    }

    fn end_settled_cancellations(&mut self, now: Micros, events: &mut Vec<ConnectionEvent>) {
        let settled = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.cancel_settles_at.is_some_and(|at| at <= now));
        let settled: Vec<RequestId> = settled.map(|(id, _)| *id).collect();
        for id in settled {
            let end = AttemptEnd::without_result(id, Termination::Cancelled);
            events.extend(self.end_attempt(now, end));
        }
    }

    /// Ends all attempts and probes, as the connection is closed or could not be established.
    pub fn close(&mut self, now: Micros, reason: Termination, events: &mut Vec<ConnectionEvent>) {
        self.close_unless_closing(reason);
        let in_flight: Vec<RequestId> = self.attempts().collect();
        for id in in_flight {
            let cancelled = self.pending.get(&id).is_some_and(|a| a.is_cancelled());
            let termination = if cancelled {
                Termination::Cancelled
            } else {
                reason
            };
            let end = AttemptEnd::without_result(id, termination);
            events.extend(self.end_attempt(now, end));
        }
        let kind = outcome(reason, TransmitProgress::Complete);
        events.extend(self.probes.end_all(now, kind));
        self.output.clear();
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/connection_state.rs"]
mod tests;
