//! The ledger of one request: what is out for it, what may have run, and what the rules then allow.
//! Pure.
use super::message::ClientRequest;
use super::termination::Termination;
use crate::clock::{Micros, micros, nanos};
use crate::policy::api::{AttemptNo, Endpoint, Idempotency};
use crate::policy::state::{RepeatTargets, may_reject, may_repeat};

/// An attempt that is out.
pub struct InFlightAttempt {
    /// Where it went, as the list had that engine.
    pub to: Endpoint,
    /// Its number.
    pub attempt: AttemptNo,
    /// When it went.
    pub sent_at: Micros,
    /// When its time is up.
    pub until: Micros,
    /// Asked to stop: by the module, since another one was answered, or since its time was up.
    pub stopping: Option<Termination>,
}

/// The first attempt that may have run.
#[derive(Clone, Copy)]
pub struct PossibleExecution {
    /// Where it went.
    pub on: Endpoint,
    /// When it was sent.
    pub sent_at: Micros,
}

/// A request that is open, or closed with something out.
pub struct InFlightRequest {
    /// As its front handed it in.
    pub ask: ClientRequest,
    /// What repeating this one may do: a request of a keyed class without a key must never run
    /// twice.
    pub idempotency: Idempotency,
    /// Attempts so far.
    pub attempts_started: u16,
    /// Attempts that it may have.
    pub max_attempts: u16,
    /// Attempts that may be out together.
    pub copies: usize,
    /// What is out.
    pub outs: Vec<InFlightAttempt>,
    /// The first attempt that ended and may have run.
    pub ran: Option<PossibleExecution>,
    /// Memory to grant with the next attempt.
    pub memory_mb: f64,
    /// Its priority, where one was set.
    pub priority: Option<u8>,
    /// How its last attempt ended.
    pub last_end: Option<Termination>,
    /// The final answer was given, or the client left.
    pub closed: bool,
}

impl InFlightRequest {
    /// A request that has just come.
    pub fn new(
        ask: ClientRequest,
        idempotency: Idempotency,
        max_attempts: u16,
        copies: usize,
    ) -> InFlightRequest {
        let (outs, ran, memory_mb, urgency) = (Vec::new(), None, 0.0, None);
        let (sends, last_end, closed) = (0, None, false);
        InFlightRequest {
            ask,
            idempotency,
            attempts_started: sends,
            max_attempts,
            copies,
            outs,
            ran,
            memory_mb,
            priority: urgency,
            last_end,
            closed,
        }
    }

    /// The first attempt that may have run, or is out.
    fn first(&self) -> Option<PossibleExecution> {
        let out = self.outs.iter().map(|out| PossibleExecution {
            on: out.to,
            sent_at: out.sent_at,
        });
        out.chain(self.ran).min_by_key(|ran| ran.sent_at)
    }

    /// Whether an attempt may go to that engine now: the rules on effects and on attempts out. Two
    /// never go to one engine, which would take the word about one of them for the other.
    pub fn may_send(&self, now: Micros, to: &Endpoint) -> bool {
        let place = self.outs.len() < self.copies && self.outs.iter().all(|out| out.to.id != to.id);
        !self.closed && place && self.attempts_started < self.max_attempts && self.repeats(now, to)
    }

    fn repeats(&self, now: Micros, to: &Endpoint) -> bool {
        let Some(PossibleExecution { on, sent_at }) = self.first() else {
            return true;
        };
        may_repeat(
            self.idempotency,
            nanos(sent_at),
            Some(RepeatTargets {
                first: on,
                next: *to,
            }),
            nanos(now),
        )
    }

    /// Until when engines know a further attempt by its key as a repeat, if there was one that may
    /// have run.
    pub fn known_until(&self) -> Option<Micros> {
        match (self.idempotency, self.first()) {
            (Idempotency::WithKey { window, .. }, Some(ran)) => {
                Some(ran.sent_at.saturating_add(micros(window)))
            }
            _ => None,
        }
    }

    /// Whether a refusal is honest.
    pub fn may_refuse(&self) -> bool {
        may_reject(self.idempotency, self.first().is_some())
    }

    /// The attempt of that number, if it is out.
    pub fn out(&self, attempt: AttemptNo) -> Option<&InFlightAttempt> {
        self.outs.iter().find(|out| out.attempt == attempt)
    }

    /// Takes that attempt off the book.
    pub fn take_out(&mut self, attempt: AttemptNo) -> Option<InFlightAttempt> {
        let at = self.outs.iter().position(|out| out.attempt == attempt)?;
        Some(self.outs.remove(at))
    }

    /// Whether another attempt has its time up at that moment.
    pub fn due_at(&self, until: Micros) -> bool {
        self.outs
            .iter()
            .any(|out| out.until == until && out.stopping.is_none())
    }
}

#[cfg(test)]
#[path = "../../tests/unit/in_flight.rs"]
mod tests;
