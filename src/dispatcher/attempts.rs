//! Attempts of requests: sent past the ledger of the rules, given new terms, and given up.
use super::*;

/// What engines know by its key they may forget a little sooner than this side thinks.
const WINDOW_MARGIN: Micros = 100 * MS;

impl Dispatcher {
    /// The ledger of the rules on sends. What it stops comes back to the module as 'never sent'.
    pub(super) fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        engine: EngineId,
        timeout: Nanos,
        orders: &mut Vec<Command>,
    ) {
        let to = self
            .engines
            .get(&engine)
            .copied()
            .filter(|entry| entry.readiness == Readiness::Ready);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let attempt = AttemptNo(open.attempts_started);
        let may = to.filter(|to| open.may_send(now, to));
        open.attempts_started = open.attempts_started.saturating_add(1);
        let Some(Class { name, .. }) = self.generations.class(open.ask.class) else {
            return;
        };
        let until = match timeout {
            0 => open.ask.deadline,
            t => open.ask.deadline.min(now + micros(t)),
        };
        // Guards rule 2: a repeat that ran on past its key's window would be a second effect.
        let until = open
            .known_until()
            .map_or(until, |at| until.min(at.saturating_sub(WINDOW_MARGIN)));
        let Some(to) = may.filter(|_| until > now) else {
            self.counters.stopped += 1;
            let (kind, load, closed) = (OutcomeKind::NeverSent, LoadReport::default(), open.closed);
            let none = Outcome {
                id,
                attempt,
                engine,
                kind,
                latency: 0,
                request_finished: closed,
                work: None,
                memory_mb: None,
                load,
            };
            return self.tell(now, Event::Outcome(none), orders);
        };
        self.counters.attempts += 1;
        self.counters.copies += u64::from(!open.outs.is_empty());
        let late = open.outs.iter().filter(|out| out.stopping.is_none());
        orders.extend(late.map(|out| Command::MarkSlow(out.to.id, id, out.attempt)));
        open.outs.push(InFlightAttempt {
            to,
            attempt,
            sent_at: now,
            until,
            stopping: None,
        });
        self.deadlines.insert((until, id));
        let job = AttemptRequest {
            id,
            attempt,
            client_connection: open.ask.origin.conn,
            client_request_id: open.ask.client_request_id.clone(),
            class: name.clone(),
            statement: open.ask.statement.clone(),
            session: open.ask.session.clone(),
            must_not_repeat: open.idempotency == Idempotency::NonIdempotent,
            idempotency_key: open
                .ask
                .idempotency_key
                .clone()
                .filter(|_| matches!(open.idempotency, Idempotency::WithKey { .. })),
            deadline: until,
            memory_mb: open.memory_mb,
            priority: open.priority,
        };
        let of = open.ask.class;
        self.note(
            of,
            &job.client_request_id,
            DecisionKind::Dispatch {
                attempt: attempt.0,
                engine: engine.0,
            },
        );
        orders.push(Command::StartAttempt(engine, job));
    }

    /// Memory and priority of the next attempts, and at once the priority of those that are out.
    /// What the settings do not heed is not sent.
    pub(super) fn terms(
        &mut self,
        id: RequestId,
        priority: u8,
        memory_mb: f64,
        orders: &mut Vec<Command>,
    ) {
        let heeds = self.heeds;
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.memory_mb = if heeds.grants { memory_mb } else { 0.0 };
        let urgency = Some(priority.min(MOST_URGENCY)).filter(|_| heeds.priorities);
        if std::mem::replace(&mut open.priority, urgency) != urgency {
            let out = open.outs.iter().filter(|out| out.stopping.is_none());
            let bump = |out: &InFlightAttempt| {
                urgency.map(|n| Command::Reprioritize(out.to.id, id, out.attempt, n))
            };
            orders.extend(out.filter_map(bump));
        }
    }

    /// Gives up an attempt. Its end comes back from the engine's side, once it is surely given up
    /// there: until then it counts as out.
    pub(super) fn stop(
        &mut self,
        id: RequestId,
        attempt: AttemptNo,
        why: Termination,
        orders: &mut Vec<Command>,
    ) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let out = open
            .outs
            .iter_mut()
            .find(|out| out.attempt == attempt && out.stopping.is_none());
        let Some(out) = out else { return };
        out.stopping = Some(why);
        let (engine, until) = (out.to.id, out.until);
        if !open.due_at(until) {
            self.deadlines.remove(&(until, id));
        }
        orders.push(Command::CancelAttempt(engine, id, attempt));
    }

    /// Gives up all that is out for a request.
    pub(super) fn stop_all(&mut self, id: RequestId, why: Termination, orders: &mut Vec<Command>) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let all: Vec<AttemptNo> = open.outs.iter().map(|out| out.attempt).collect();
        all.into_iter()
            .for_each(|attempt| self.stop(id, attempt, why, orders));
    }
}
