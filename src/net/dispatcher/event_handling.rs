//! The handling of events by the dispatcher's actor.
use super::request_ids;
use super::{DispatcherActor, DispatcherEvent, EndpointListUpdate, Reconfiguration};
use crate::audit::ActiveConfiguration;
use crate::clock::Micros;
use crate::dispatcher::ProbeOutcome;
use crate::lease::shared_probe::ProbeResult;
use crate::lease::{FencingToken, Resource};
use crate::net::fleet::lease::ProbeRequest;
use crate::policy::api::{EngineId, OutcomeKind};

impl DispatcherActor {
    /// Handles one event and executes the commands that follow from it.
    pub(super) fn handle_event(&mut self, now: Micros, event: DispatcherEvent) {
        self.apply_event(now, event);
        self.execute_commands(now);
    }

    fn apply_event(&mut self, now: Micros, event: DispatcherEvent) {
        let dispatcher = &mut self.dispatcher;
        let commands = &mut self.commands;
        match event {
            DispatcherEvent::ClientConnected { conn, responses } => {
                self.clients.insert(conn, responses);
            }
            DispatcherEvent::Request(request) => {
                let id = request.client_request_id.clone();
                dispatcher.handle_request(now, request, commands);
                self.request_id_followers.publish(dispatcher, &id);
            }
            DispatcherEvent::RequestAdmittedElsewhere(id) => {
                let id = request_ids::to_text(id);
                if dispatcher.add_known_request_id(&id) {
                    self.request_id_followers.publish(dispatcher, &id);
                }
            }
            DispatcherEvent::FollowRequestIds(follower) => {
                self.request_id_followers.add(dispatcher, follower);
            }
            DispatcherEvent::CancelRequest(origin) => {
                dispatcher.cancel_request(now, origin, commands);
            }
            DispatcherEvent::RejectedByFrontend { class, response } => {
                dispatcher.record_frontend_response(class, &response);
            }
            DispatcherEvent::ClientDisconnected(conn) => {
                self.clients.remove(&conn);
                dispatcher.client_disconnected(now, conn, commands);
            }
            DispatcherEvent::AttemptFinished(result) => {
                dispatcher.attempt_finished(now, result, commands);
            }
            DispatcherEvent::ProbeCompleted(probe) => self.probe_completed(now, probe),
            DispatcherEvent::EndpointList(update) => self.update_endpoints(now, update),
            DispatcherEvent::Reconfigure(settings) => self.reconfigure(now, settings),
            DispatcherEvent::Tenants(tenants) => dispatcher.set_tenants(&tenants),
            DispatcherEvent::Probe { engine, deadline } => {
                self.probe(now, EngineId(engine), deadline);
            }
            DispatcherEvent::SharedProbeResult { engine, result } => {
                self.shared_probe_completed(now, EngineId(engine), &result);
            }
            DispatcherEvent::LeaseChanged {
                resource,
                token,
                held,
            } => self.audit_lease_change(now, resource, token, held),
            DispatcherEvent::ActiveGateways(gateways) => dispatcher.set_active_gateways(gateways),
            DispatcherEvent::DirectoryRead => dispatcher.counters.directory_reads += 1,
            DispatcherEvent::DirectoryFailed => dispatcher.counters.directory_read_failures += 1,
            DispatcherEvent::ReloadSucceeded => dispatcher.counters.reloads += 1,
            DispatcherEvent::ReloadFailed => dispatcher.counters.reload_failures += 1,
            DispatcherEvent::PrintCounters => eprintln!("yokelift: {}", dispatcher.counters),
            DispatcherEvent::Shutdown => {}
        }
    }

    /// A probe by this process ended. The result is passed to the lease service, as other gateways
    /// may wait for it, and always to the decision module, as it can also use a result that others
    /// requested.
    fn probe_completed(&mut self, now: Micros, probe: ProbeOutcome) {
        if let Some(lease_requests) = &self.lease_requests {
            let result = ProbeResult::new(probe.kind, probe.latency, &probe.load);
            let was_sent = probe.kind != OutcomeKind::NeverSent;
            let _ = lease_requests.try_send(ProbeRequest::ProbeFinished {
                engine: probe.engine.0,
                result: was_sent.then_some(result),
            });
        }
        self.dispatcher
            .probe_completed(now, probe, &mut self.commands);
    }

    /// The lease holder of a probe published its result.
    fn shared_probe_completed(&mut self, now: Micros, engine: EngineId, result: &ProbeResult) {
        let probe = ProbeOutcome {
            engine,
            kind: result.outcome_kind(),
            latency: result.latency,
            load: result.load_report(),
        };
        self.dispatcher
            .probe_completed(now, probe, &mut self.commands);
    }

    fn update_endpoints(&mut self, now: Micros, update: EndpointListUpdate) {
        let list = self.active_configuration.list.max(update.version);
        self.activate_configuration(
            now,
            ActiveConfiguration {
                list,
                ..self.active_configuration
            },
        );
        self.engines.retain(|_, endpoint| !endpoint.is_closed());
        self.engines.extend(update.new_endpoints);
        self.dispatcher
            .update_endpoints(now, update.kind, update.entries, &mut self.commands);
    }

    fn reconfigure(&mut self, now: Micros, new: Reconfiguration) {
        self.activate_configuration(
            now,
            ActiveConfiguration {
                generation: self.active_configuration.generation + 1,
                settings: new.settings_hash,
                ..self.active_configuration
            },
        );
        self.dispatcher.reconfigure(*new.settings, &new.class_names);
        if let Some(tenants) = new.tenants {
            self.dispatcher.set_tenants(&tenants);
        }
        let _ = new.applied.try_send(self.dispatcher.classes());
    }

    /// Makes this the configuration that decisions from now on are based on. Earlier decisions are
    /// written to the audit first, with the configuration that they were based on.
    fn activate_configuration(&mut self, now: Micros, configuration: ActiveConfiguration) {
        self.active_configuration = configuration;
        if let Some(audit) = &mut self.audit {
            audit.record_all(now, &self.dispatcher.take_decisions());
            audit.set_configuration(now, configuration);
        }
    }

    /// Writes to the audit that a lease was acquired or lost.
    fn audit_lease_change(
        &mut self,
        now: Micros,
        resource: Resource,
        token: FencingToken,
        held: bool,
    ) {
        if let Some(audit) = &mut self.audit {
            audit.record_all(now, &self.dispatcher.take_decisions());
            audit.record_lease_change(now, resource, token, held);
        }
    }
}
