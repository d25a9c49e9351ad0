//! The dispatcher against a model under random steps: each request gets exactly one response and no
//! more attempts than the settings allow, a request that may have been executed is repeated only as
//! its class and its key permit, and the counters add up. This holds regardless of
//! reloads in the meantime and of the actions that the decision module returns.
#[path = "dispatcher_observed_request.rs"]
mod observed_request;
#[path = "dispatcher_step.rs"]
mod step;

use super::termination::{Termination, TransmitProgress};
use super::test_builders::{
    Configuration, ConfiguredClass, Repetition, dispatcher, endpoint, parse, result_without_reply,
};
use super::{
    AttemptReply, AttemptRequest, AttemptResult, ClientRequest, Command, Dispatcher, Origin,
    Response,
};
use crate::audit::{Decision, DecisionKind};
use crate::clock::{MS, Micros, SEC};
use crate::policy::api::{AttemptNo, EndpointListKind, EngineId, Readiness, RequestId, TenantId};
use observed_request::ObservedRequest;
use quickcheck::{Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use step::Step;

struct Model {
    dispatcher: Dispatcher,
    now: Micros,
    /// All requests so far, by the tags of their origins.
    requests: BTreeMap<u64, ObservedRequest>,
    ready_engines: BTreeSet<EngineId>,
    /// The classes in force.
    classes: Vec<ConfiguredClass>,
    /// Maximum number of attempts of a new request.
    max_attempts: u32,
    /// Maximum number of attempts of a new request that are in flight at the same time.
    max_concurrent_attempts: usize,
    /// The tags of the requests for which an attempt was started.
    tags: BTreeMap<RequestId, u64>,
    /// The decisions that were recorded for the audit.
    decisions: Vec<Decision>,
}

impl Model {
    fn new() -> Model {
        let configuration = Configuration::variant(0);
        let class_names = configuration.class_names();
        let mut dispatcher = dispatcher(configuration.settings, &class_names);
        dispatcher.record_decisions(true);
        Model {
            dispatcher,
            now: SEC,
            requests: BTreeMap::new(),
            ready_engines: (1..=3).map(EngineId).collect(),
            classes: configuration.classes,
            max_attempts: configuration.max_attempts,
            max_concurrent_attempts: configuration.max_concurrent_attempts,
            tags: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        let mut commands = Vec::new();
        match step {
            Step::Request(n) => self.request(*n, &mut commands)?,
            Step::EndAttempt(n, termination, sent) => {
                self.end_some_attempt(*n, *termination, *sent)?;
            }
            Step::Disconnect(n) => self.disconnect(*n, &mut commands),
            Step::ChangeEndpoint(n) => self.change_endpoint(*n, &mut commands),
            Step::Reconfigure(n) => self.reconfigure(*n),
            Step::UnrequestedAttempt(n) => self.start_unrequested_attempt(*n, &mut commands),
            Step::Wait(millis) => self.wait(self.now + u64::from(*millis) * MS)?,
        }
        self.decisions.extend(self.dispatcher.take_decisions());
        self.execute(commands)
    }

    fn request(&mut self, n: u8, commands: &mut Vec<Command>) -> Result<(), String> {
        let tag = self.requests.len() as u64 + 1;
        let class = self.classes[usize::from(n) % self.classes.len()].clone();
        let has_key = n.is_multiple_of(2);
        let lacks_key = !has_key && matches!(class.repetition, Repetition::WithKey(_));
        let repetition = if lacks_key {
            Repetition::Never
        } else {
            class.repetition
        };
        let class_id = self
            .dispatcher
            .class_registry
            .find(&class.name)
            .ok_or("a class in force has no slot")?;
        let max_concurrent_attempts = match repetition {
            Repetition::Never => 1,
            _ => self.max_concurrent_attempts,
        };
        let observed = ObservedRequest {
            repetition,
            class: class.name,
            max_attempts: self.max_attempts,
            max_concurrent_attempts,
            ..ObservedRequest::default()
        };
        self.requests.insert(tag, observed);
        let request = ClientRequest {
            origin: Origin {
                conn: u64::from(n % 4),
                tag,
            },
            client_request_id: format!("{tag:016x}").into(),
            class: class_id,
            tenant: TenantId(u16::from(n % 2)),
            deadline: self.now + u64::from(n) * 20 * MS,
            work_estimate: Some(50 * MS),
            statement: Rc::from(&b"select 1"[..]),
            idempotency_key: has_key.then(|| format!("key-{tag}").into()),
            ..ClientRequest::default()
        };
        self.dispatcher.handle_request(self.now, request, commands);
        Ok(())
    }

    fn end_some_attempt(
        &mut self,
        n: u8,
        termination: Termination,
        sent: bool,
    ) -> Result<(), String> {
        let in_flight: Vec<(RequestId, AttemptNo)> = self
            .tags
            .iter()
            .flat_map(|(id, tag)| {
                let attempts = self.requests[tag].attempts_in_flight();
                attempts.map(|attempt| (*id, attempt))
            })
            .collect();
        let Some(&(id, attempt)) = in_flight.get(usize::from(n) % in_flight.len().max(1)) else {
            return Ok(());
        };
        let is_unsent = matches!(termination, Termination::Refused | Termination::Drained)
            || !(sent || termination == Termination::Done);
        let progress = if is_unsent {
            TransmitProgress::Unsent
        } else {
            TransmitProgress::Complete
        };
        let result = AttemptResult {
            reply: AttemptReply {
                rows: b"a\n".to_vec(),
                ..AttemptReply::default()
            },
            ..result_without_reply(id, attempt, termination, progress)
        };
        // The dispatcher has to ignore the second result of an attempt.
        self.end_attempt(result.clone())?;
        self.end_attempt(result)
    }

    fn end_attempt(&mut self, result: AttemptResult) -> Result<(), String> {
        let Some(request) = self
            .tags
            .get(&result.id)
            .and_then(|tag| self.requests.get_mut(tag))
        else {
            return Ok(());
        };
        request.end_attempt(&result);
        let mut commands = Vec::new();
        self.dispatcher
            .attempt_finished(self.now, result, &mut commands);
        self.execute(commands)
    }

    fn disconnect(&mut self, n: u8, commands: &mut Vec<Command>) {
        let conn = u64::from(n % 4);
        for (tag, request) in &mut self.requests {
            let origin = Origin { conn, tag: *tag };
            if request.responses == 0 {
                request.abandoned |= self.dispatcher.requests_by_origin.contains_key(&origin);
            }
        }
        self.dispatcher
            .client_disconnected(self.now, conn, commands);
    }

    fn change_endpoint(&mut self, n: u8, commands: &mut Vec<Command>) {
        let id = u64::from(n % 3) + 1;
        let readiness = if n.is_multiple_of(2) {
            self.ready_engines.insert(EngineId(id));
            Readiness::Ready
        } else {
            self.ready_engines.remove(&EngineId(id));
            Readiness::Draining
        };
        self.dispatcher.update_endpoints(
            self.now,
            EndpointListKind::Changes,
            vec![endpoint(id, readiness)],
            commands,
        );
    }

    fn reconfigure(&mut self, n: u8) {
        let configuration = Configuration::variant(n);
        let class_names = configuration.class_names();
        self.dispatcher
            .reconfigure(configuration.settings, &class_names);
        self.classes = configuration.classes;
        self.max_attempts = configuration.max_attempts;
        self.max_concurrent_attempts = configuration.max_concurrent_attempts;
    }

    fn start_unrequested_attempt(&mut self, n: u8, commands: &mut Vec<Command>) {
        let ids: Vec<RequestId> = self.tags.keys().copied().collect();
        if let Some(id) = ids.get(usize::from(n / 3) % ids.len().max(1)) {
            let engine = EngineId(u64::from(n % 3) + 1);
            self.dispatcher
                .start_attempt(self.now, *id, engine, 0, commands);
        }
    }

    fn wait(&mut self, until: Micros) -> Result<(), String> {
        while let Some(at) = self.dispatcher.next_wakeup().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            let mut commands = Vec::new();
            self.dispatcher.run_due_timers(self.now, &mut commands);
            self.execute(commands)?;
        }
        self.now = until;
        Ok(())
    }

    /// Checks the commands against the model, and confirms cancellations.
    fn execute(&mut self, commands: Vec<Command>) -> Result<(), String> {
        let mut cancelled = Vec::new();
        for command in commands {
            match command {
                Command::StartAttempt { engine, request } => {
                    self.check_started_attempt(engine, &request)?;
                }
                Command::CancelAttempt { attempt, .. } => cancelled.push(result_without_reply(
                    attempt.request,
                    attempt.attempt,
                    Termination::Cancelled,
                    TransmitProgress::Complete,
                )),
                Command::Respond { origin, response } => self.check_response(origin, response)?,
                Command::Reprioritize { .. }
                | Command::MarkSlow { .. }
                | Command::Probe(_)
                | Command::CloseIdle(_)
                | Command::Log(_) => {}
            }
        }
        cancelled
            .into_iter()
            .try_for_each(|result| self.end_attempt(result))
    }

    fn check_started_attempt(
        &mut self,
        engine: EngineId,
        attempt: &AttemptRequest,
    ) -> Result<(), String> {
        let tag = u64::from_str_radix(&attempt.client_request_id, 16).map_err(|e| e.to_string())?;
        let request = self
            .requests
            .get_mut(&tag)
            .ok_or("an attempt of an unknown request")?;
        request
            .start_attempt(self.now, engine, attempt)
            .map_err(|e| format!("request {tag}: {e}"))?;
        if !self.ready_engines.contains(&engine) {
            return Err("an attempt was sent to an engine that is not ready".into());
        }
        self.tags.insert(attempt.id, tag);
        Ok(())
    }

    fn check_response(&mut self, origin: Origin, response: Response) -> Result<(), String> {
        let request = self
            .requests
            .get_mut(&origin.tag)
            .ok_or("a response to an unknown request")?;
        request
            .respond(response)
            .map_err(|e| format!("request {}: {e}", origin.tag))
    }

    /// Checks that all requests have ended. Called after the last deadline.
    fn check_all_ended(&self) -> Result<(), String> {
        let waiting = self
            .requests
            .values()
            .filter(|request| request.responses == 0 && !request.abandoned)
            .count();
        let counters = &self.dispatcher.counters;
        if waiting > 0 || counters.open() > 0 || !self.dispatcher.in_flight.is_empty() {
            return Err(format!("{waiting} without a response; {counters}"));
        }
        // Each rejection is counted under exactly one cause.
        let caused: u64 = counters.rejections.values().sum();
        if [caused, counters.total_rejections] != [counters.rejected; 2] {
            return Err(format!("{caused} rejections with a cause; {counters}"));
        }
        Ok(())
    }

    /// Checks that each attempt, rejection and failure was recorded for the audit once, with the id
    /// of its request.
    fn check_audit(&mut self) -> Result<(), String> {
        self.decisions.extend(self.dispatcher.take_decisions());
        for (tag, request) in &self.requests {
            let client_request_id = format!("{tag:016x}");
            let count = |is_kind: fn(&DecisionKind) -> bool| {
                let of_request = |decision: &&Decision| *decision.request == *client_request_id;
                let decisions = self.decisions.iter().filter(of_request);
                decisions.filter(|decision| is_kind(&decision.kind)).count() as u32
            };
            let responded = |is_kind: fn(&Response) -> bool| {
                u32::from(request.response.as_ref().is_some_and(is_kind))
            };
            let audited = [
                count(|kind| matches!(kind, DecisionKind::Dispatch { .. })),
                count(|kind| matches!(kind, DecisionKind::Reject { .. })),
                count(|kind| matches!(kind, DecisionKind::Fail)),
            ];
            let observed = [
                request.attempts_started,
                responded(|response| matches!(response, Response::Rejected(_))),
                responded(|response| matches!(response, Response::Failed(_))),
            ];
            if audited != observed {
                return Err(format!(
                    "{client_request_id}: the audit has {audited:?}, there were {observed:?}"
                ));
            }
        }
        Ok(())
    }

    /// Checks that the metrics of each class equal the number of its responses.
    fn check_class_metrics(&self) -> Result<(), String> {
        for (class, metrics) in &self.dispatcher.counters.responses_by_class {
            let count = |is_kind: fn(&Response) -> bool| {
                let of_class = self
                    .requests
                    .values()
                    .filter(|request| *request.class == **class);
                of_class
                    .filter(|request| request.response.as_ref().is_some_and(is_kind))
                    .count() as u64
            };
            let counted = [metrics.success, metrics.overload, metrics.error];
            let given = [
                count(|response| matches!(response, Response::Completed(_))),
                count(|response| matches!(response, Response::Rejected(_))),
                count(|response| matches!(response, Response::Failed(_))),
            ];
            if counted != given {
                return Err(format!("{class}: counted {counted:?}, given {given:?}"));
            }
        }
        Ok(())
    }
}

#[test]
fn every_request_ends_once_and_within_the_invariants() {
    fn run(steps: Vec<Step>) -> Result<bool, String> {
        let mut model = Model::new();
        steps.iter().try_for_each(|step| model.step(step))?;
        model.step(&Step::Wait(10_000))?;
        model.check_all_ended()?;
        model.check_audit()?;
        model.check_class_metrics()?;
        Ok(model.dispatcher.counters.received == model.requests.len() as u64)
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 13))
        .tests(500);
    check.quickcheck(run as fn(Vec<Step>) -> Result<bool, String>);
}

/// Guards the engines against a gateway that uses the capacity of others. The settings may allow
/// gateways to exchange messages, but nothing transmits them between decision modules. A decision
/// module that relied on them would count all other gateways as dead and use their capacity.
#[test]
fn a_gateway_without_messages_from_its_peers_keeps_to_its_capacity_share() {
    let requests_sent = |has_peers: bool| {
        let mut json = crate::testkit::daemon::settings();
        json["peers_total"] = 8.into();
        json["limits"]["peers"] = has_peers.into();
        let mut model = Model::new();
        let class_names: Vec<String> = model
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect();
        model.dispatcher = dispatcher(parse(&json), &class_names);
        model.step(&Step::Wait(30_000)).expect("time passes");
        for _ in 0..200 {
            model.step(&Step::Request(252)).expect("a request");
        }
        let requests = model.requests.values();
        requests
            .filter(|request| request.attempts_started > 0)
            .count()
    };

    let without_peers = requests_sent(false);
    let with_peers = requests_sent(true);

    assert!(
        without_peers > 0 && without_peers < 100,
        "{without_peers} of 200 were sent"
    );
    assert_eq!(with_peers, without_peers);
}
