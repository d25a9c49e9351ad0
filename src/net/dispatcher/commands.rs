//! The execution of the dispatcher's commands.
use super::DispatcherActor;
use crate::clock::Micros;
use crate::dispatcher::termination::Termination;
use crate::dispatcher::{
    AttemptId, AttemptRequest, AttemptResult, Command, Origin, ProbeOutcome, Response,
};
use crate::log;
use crate::net::engine::EngineCommand;
use crate::net::fleet::lease::ProbeRequest;
use crate::policy::api::{EngineId, LoadReport, OutcomeKind};

impl DispatcherActor {
    /// Executes the commands, and those that follow from the execution of one.
    pub(super) fn execute_commands(&mut self, now: Micros) {
        while !self.commands.is_empty() {
            for command in std::mem::take(&mut self.commands) {
                self.execute(now, command);
            }
        }
    }

    fn execute(&mut self, now: Micros, command: Command) {
        match command {
            Command::StartAttempt { engine, request } => self.start_attempt(now, engine, request),
            Command::CancelAttempt { engine, attempt } => self.cancel_attempt(engine, attempt),
            Command::MarkSlow { engine, attempt } => {
                let AttemptId { request, attempt } = attempt;
                let _ = self.send_to_engine(
                    engine,
                    EngineCommand::MarkSlow {
                        id: request,
                        attempt,
                    },
                );
            }
            Command::Reprioritize {
                engine,
                attempt,
                priority,
            } => {
                let AttemptId { request, attempt } = attempt;
                let command = EngineCommand::SetPriority {
                    id: request,
                    attempt,
                    priority,
                };
                let _ = self.send_to_engine(engine, command);
            }
            Command::Probe(engine) => self.request_probe(now, engine),
            Command::CloseIdle(engine) => {
                let _ = self.send_to_engine(engine, EngineCommand::CloseIdle);
            }
            Command::Respond { origin, response } => self.respond(origin, response),
            Command::Log(line) => log!("decision module: {line}"),
        }
    }

    /// Starts an attempt; one that the engine's actor does not accept ends at once.
    fn start_attempt(&mut self, now: Micros, engine: EngineId, request: AttemptRequest) {
        let attempt = request.attempt_id();
        if let Err(termination) = self.send_to_engine(engine, EngineCommand::Start(request)) {
            let result = AttemptResult::unsent(attempt, termination);
            self.dispatcher
                .attempt_finished(now, result, &mut self.commands);
        }
    }

    /// Cancels an attempt. A cancellation must not be lost: if the engine's mailbox is full, all
    /// connections to the engine are closed instead, which ends all its attempts.
    fn cancel_attempt(&self, engine: EngineId, attempt: AttemptId) {
        let AttemptId { request, attempt } = attempt;
        let sent = self.send_to_engine(
            engine,
            EngineCommand::Cancel {
                id: request,
                attempt,
            },
        );
        if sent.is_err() {
            if let Some(endpoint) = self.engines.get(&engine) {
                endpoint.abort();
            }
            log!(
                "engine {}: a cancellation could not be sent (mailbox full or engine removed), closing all its connections",
                engine.0
            );
        }
    }

    /// Sends a final response to its client's actor. If the actor has ended or its mailbox is full,
    /// the mailbox is closed, which ends the connection.
    fn respond(&mut self, origin: Origin, response: Response) {
        let sent = self
            .clients
            .get(&origin.conn)
            .is_some_and(|client| client.try_send((origin.tag, response)).is_ok());
        if !sent && let Some(client) = self.clients.remove(&origin.conn) {
            client.close();
        }
    }

    /// Requests a load probe of an engine, which the gateway that holds the lease sends if probes
    /// are shared. If the lease service is not enabled or does not accept the request, this process
    /// sends the probe itself.
    fn request_probe(&mut self, now: Micros, engine: EngineId) {
        let is_delegated = self.lease_requests.as_ref().is_some_and(|lease_requests| {
            lease_requests
                .try_send(ProbeRequest::LoadRequested { engine: engine.0 })
                .is_ok()
        });
        if !is_delegated {
            self.probe(now, engine, None);
        }
    }

    /// Probes an engine: for the decision module, or, with a deadline, on behalf of other gateways.
    /// The deadline is the end of the lease, from which on the probe must not be sent.
    pub(super) fn probe(&mut self, now: Micros, engine: EngineId, deadline: Option<Micros>) {
        let is_late = deadline.is_some_and(|deadline| now >= deadline);
        let command = EngineCommand::Probe {
            not_after: deadline.unwrap_or(Micros::MAX),
        };
        if !is_late && self.send_to_engine(engine, command).is_ok() {
            return;
        }
        if deadline.is_some() {
            if let Some(lease_requests) = &self.lease_requests {
                let _ = lease_requests.try_send(ProbeRequest::ProbeFinished {
                    engine: engine.0,
                    result: None,
                });
            }
        } else {
            let probe = ProbeOutcome {
                engine,
                kind: OutcomeKind::NeverSent,
                latency: 0,
                load: LoadReport::default(),
            };
            self.dispatcher
                .probe_completed(now, probe, &mut self.commands);
        }
    }

    /// Sends a command to an engine's actor. The error is the termination of an attempt that could
    /// not be started because of it.
    fn send_to_engine(&self, engine: EngineId, command: EngineCommand) -> Result<(), Termination> {
        self.engines
            .get(&engine)
            .ok_or(Termination::LocalLimit)
            .and_then(|endpoint| endpoint.send(command))
    }
}
