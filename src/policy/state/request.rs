//! What is remembered of requests, their classes and tenants, and what the rules say of repeats.
use super::{Running, secs};
use crate::policy::api::*;
use std::collections::{BTreeSet, VecDeque};

#[derive(Default)]
pub struct Attempt {
    pub attempt: AttemptNo,
    pub engine: EngineId,
    pub sent: Nanos,
    pub alone: f64, // Expected time alone, and as slow as the engine was.
    pub expected: f64,
    pub running: Running, // What it counts for; nothing once it is taken to be lost.
    pub crowd: f64,       // Threads a core that its engine was taken to run when it was sent.
    pub life_at: Nanos,
    pub cancelling: bool,
}

#[derive(Default)]
pub struct PendingRequest {
    pub request: Request,
    pub arrived_at: Nanos,
    pub over_quota: bool,
    pub finished: bool, // Answered; kept only while an attempt is out.
    pub attempts_started: u32,
    pub max_attempts: u32,      // As the settings had it when it came.
    pub attempts: Vec<Attempt>, // Two where a second copy runs beside the first.
    // First engine that may have run it, and when it was sent there.
    pub ran_on: Option<(EngineId, Nanos)>,
    pub tried_engines: BTreeSet<EngineId>,
    pub awaiting_probes_until: Nanos, // Waits for probes until then.
    pub cancellations: u32,
}

impl PendingRequest {
    /// The first attempt that may have run or is out: where it went, and when.
    pub fn first(&self) -> Option<(EngineId, Nanos)> {
        let outs = self.attempts.iter().map(|o| (o.engine, o.sent));
        outs.chain(self.ran_on).min_by_key(|(_, sent)| *sent)
    }

    /// The attempt of that number, if it is out.
    pub fn out(&mut self, attempt: AttemptNo) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|o| o.attempt == attempt)
    }

    /// The same, off the book.
    pub fn take_out(&mut self, attempt: AttemptNo) -> Option<Attempt> {
        let at = self.attempts.iter().position(|o| o.attempt == attempt)?;
        Some(self.attempts.remove(at))
    }
}

#[derive(Default)]
pub struct OrderedQueue {
    pub line: VecDeque<RequestId>,
    pub rest_until: Nanos,
}

/// What a class has taught: work, and how far its hints lie off.
#[derive(Clone, Copy)]
pub struct ClassEstimates {
    pub work: f64,
    pub samples: u32,
    pub bias: f64,
    pub tail: f64, // Time of an answer over its expected time alone that few exceed.
}

impl ClassEstimates {
    /// Until a class has taught its work, its fixed aim on all its threads is taken for it:
    /// pessimistic.
    pub fn first(c: &ClassSpec, tail: f64) -> ClassEstimates {
        ClassEstimates {
            work: secs(c.base_latency_objective) * c.threads.max(1.0),
            samples: 0,
            bias: 1.0,
            tail,
        }
    }
}

pub struct Tenant {
    pub quota: f64,
    pub tokens: f64,
    pub filled_at: Nanos,
}

/// The aim in seconds of a query with that much work.
pub fn aim(c: &ClassSpec, work: f64) -> f64 {
    (secs(c.base_latency_objective) + c.objective_slowdown * work / c.threads.max(1.0)).max(1e-3)
}

/// Rule 2: what was sent then and may have run goes again only to engines that discard its
/// duplicates, while they remember it. The pair: where it went, and where it would go; none if
/// either is not known, or not chosen yet.
pub fn may_repeat(
    effect: Idempotency,
    sent: Nanos,
    pair: Option<(Endpoint, Endpoint)>,
    now: Nanos,
) -> bool {
    match effect {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::WithKey { scope, window } => {
            let same = pair.is_none_or(|(first, next)| match scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first.zone == next.zone,
                DeduplicationScope::Cell => first.cell == next.cell,
            });
            same && now < sent.saturating_add(window)
        }
    }
}

/// Rule 2: whether a refusal is honest, as it promises that trying again is harmless: what may have
/// run, or is out, only where it may be repeated anywhere.
pub fn may_refuse(effect: Idempotency, may_have_run: bool) -> bool {
    !may_have_run
        || matches!(
            effect,
            Idempotency::Idempotent
                | Idempotency::WithKey {
                    scope: DeduplicationScope::All,
                    ..
                }
        )
}

/// Rule 6: the zones and kinds a class is bound to.
pub fn placed(class: &ClassSpec, entry: &Endpoint) -> bool {
    class
        .allowed_zones
        .as_ref()
        .is_none_or(|z| z.contains(&entry.zone))
        && class
            .allowed_machine_types
            .as_ref()
            .is_none_or(|k| k.contains(&entry.machine_type))
}
