//! The actor of the module: takes in what all others report, and hands out what the core orders. It
//! never waits for any of them.
mod event;

pub use event::DispatcherEvent;

use super::audit::AuditWriter;
use super::engine::{EndpointHandle, EngineCommand};
use super::fleet::lease::ProbeRequest;
use super::{Shared, client, sleep_until};
use crate::audit::ActiveConfiguration;
use crate::clock::{self, MS, Micros};
use crate::dispatcher::termination::{Termination, TransmitProgress};
use crate::dispatcher::{AttemptReply, AttemptResult, Command, Dispatcher, Response};
use crate::lease::shared_probe::ProbeResult;
use crate::log;
use crate::policy::api::{EngineId, LoadReport, OutcomeKind};
use async_channel::{Receiver, Sender};
use futures_lite::future::or;
use std::collections::HashMap;
use std::rc::Rc;

/// Messages that wait for the module.
pub const MAILBOX: usize = 4_096;
/// Messages taken in one turn.
const TURN_MOST: usize = 256;
/// With all answered, connections have so long to part properly, but only so long after the last
/// call; looked at this often.
const PARTING: Micros = 300 * MS;
const LAST_PARTING: Micros = 150 * MS;
const PARTING_LOOK: Micros = 5 * MS;
/// Figures for operators are put down this often at most.
const FIGURES_EVERY: Micros = 100 * MS;

/// Where there may be a second process, the lifecycle is looked at this often: as often as the
/// module has a turn by itself.
const LOOK: Micros = 20 * MS;

/// What follows from the lifecycle by itself: clients that are let go, and this process's part of
/// the manager.
struct Watch {
    looked_at: Micros,
    letting_go: bool,
    part: f64,
}

impl Watch {
    /// When it is to look again.
    fn due(&self, shared: &Shared) -> Option<Micros> {
        shared.admin_enabled.get().then_some(self.looked_at + LOOK)
    }

    /// Looks if it is time to; gives a part that is new.
    fn look(&mut self, shared: &Shared, now: Micros) -> Option<f64> {
        self.due(shared).filter(|due| *due <= now)?;
        self.looked_at = now;
        client::close_idle_connections(shared, now, &mut self.letting_go);
        let (part, was) = (shared.lifecycle.borrow().capacity_share(), self.part);
        let new = (part - was).abs() > 0.01 || (part != was && (part == 1.0 || part == 0.0));
        self.part = if new { part } else { was };
        new.then(|| shared.apply_capacity_share()).map(|()| part)
    }
}

struct Core {
    manager: Dispatcher,
    clients: HashMap<u64, Sender<(u64, Response)>>,
    engines: HashMap<EngineId, Rc<EndpointHandle>>,
    orders: Vec<Command>,
    /// What was still open at the end has been answered.
    ended: bool,
    /// What the module acts on.
    acting: ActiveConfiguration,
    /// The audit, where it is kept.
    audit: Option<AuditWriter>,
    /// To the fleet's actor, where duties are shared out.
    duties: Option<Sender<ProbeRequest>>,
}

/// Runs until it was asked to stop and all is answered.
pub async fn run(
    shared: Rc<Shared>,
    manager: Dispatcher,
    mailbox: Receiver<DispatcherEvent>,
    audit: Option<AuditWriter>,
) -> Dispatcher {
    let (clients, engines, acting) = (
        HashMap::new(),
        HashMap::new(),
        shared.active_configuration.get(),
    );
    let (orders, duties) = (Vec::new(), None);
    let mut core = Core {
        manager,
        clients,
        engines,
        orders,
        ended: false,
        acting,
        audit,
        duties,
    };
    core.manager.record_decisions(core.audit.is_some());
    let (mut figures_at, mut parts_until) = (0, None);
    let mut watch = Watch {
        looked_at: 0,
        letting_go: false,
        part: 1.0,
    };
    loop {
        let stop_at = shared.lifecycle.borrow().accepts_until();
        let stop_due = stop_at.map(|at| at.max(clock::now() + 5 * MS));
        let life = || shared.lifecycle.borrow();
        let last_at = life()
            .forced_end_at(core.manager.longest_deadline())
            .filter(|_| !core.ended);
        let kept_at = core.audit.as_ref().and_then(AuditWriter::flush_due_at);
        let due = core
            .manager
            .next_wakeup()
            .into_iter()
            .chain(stop_due)
            .chain(last_at)
            .chain(kept_at);
        let due = due.chain(watch.due(&shared));
        let due = due
            .chain(parts_until.map(|_| clock::now() + PARTING_LOOK))
            .min();
        let message = or(async { mailbox.recv().await.ok() }, async {
            sleep_until(due).await;
            None
        });
        let first = message.await;
        let now = clock::turn();
        if core.duties.is_none() {
            core.duties = shared.lease_requests.borrow().clone();
        }
        let more = std::iter::from_fn(|| mailbox.try_recv().ok()).take(TURN_MOST);
        for input in first.into_iter().chain(more) {
            core.input(now, input);
        }
        core.manager.run_due_timers(now, &mut core.orders);
        if last_at.is_some_and(|at| at <= now) {
            core.ended = true;
            core.manager.fail_all(now, &mut core.orders);
        }
        if shared.admin_enabled.get() && now >= figures_at + FIGURES_EVERY {
            figures_at = now;
            *shared.metrics.borrow_mut() = core.manager.metrics();
        }
        if let Some(part) = watch.look(&shared, now) {
            core.manager.set_capacity_share(part);
        }
        core.dispatch(now);
        shared.active_configuration.set(core.acting);
        if let Some(audit) = &mut core.audit {
            audit.record_all(now, &core.manager.take_decisions());
        }
        // Every turn comes by here: only one that may be the last looks at all the clients.
        if stop_at.is_none() && parts_until.is_none() {
            continue;
        }
        // Guards against an end that takes the last answer along: it may still be in its client's
        // mailbox, or not written yet.
        let handed_on = shared.connections_with_unwritten_output.get() == 0
            && core.clients.values().all(Sender::is_empty);
        let quiet = core.manager.counters.open() == 0 && mailbox.is_empty() && handed_on;
        // Behind a successor clients go on to use the connections that they keep.
        let kept = life().successor_took_over() && shared.client_sockets.get() > 0 && !core.ended;
        if quiet && !kept && parts_until.is_none() && stop_at.is_some_and(|at| at <= now) {
            // All is answered. What the listeners' lines and the sockets still hold gets its answer
            // or a farewell.
            shared.lifecycle.borrow_mut().begin_closing();
            shared.accepting.0.close();
            client::begin_shutdown(&shared);
            parts_until = Some(now + if core.ended { LAST_PARTING } else { PARTING });
        }
        let all = [
            &shared.listening,
            &shared.client_sockets,
            &shared.closing_sockets,
        ];
        let parted = quiet && all.iter().all(|count| count.get() == 0);
        if parts_until.is_some_and(|until| parted || until <= now) {
            if let Some(audit) = core.audit {
                audit.finish().await;
            }
            return core.manager;
        }
    }
}

impl Core {
    /// What comes from here on is decided on this; what came before is told under what it was
    /// decided on.
    fn acts_on(&mut self, now: Micros, acting: ActiveConfiguration) {
        self.acting = acting;
        if let Some(audit) = &mut self.audit {
            audit.record_all(now, &self.manager.take_decisions());
            audit.set_configuration(now, acting);
        }
    }

    fn input(&mut self, now: Micros, input: DispatcherEvent) {
        match &input {
            DispatcherEvent::EndpointList { version, .. } => {
                self.acts_on(
                    now,
                    ActiveConfiguration {
                        list: self.acting.list.max(*version),
                        ..self.acting
                    },
                );
            }
            DispatcherEvent::Reconfigure {
                settings_hash: hash,
                ..
            } => {
                let generation = self.acting.generation + 1;
                self.acts_on(
                    now,
                    ActiveConfiguration {
                        generation,
                        settings: *hash,
                        ..self.acting
                    },
                );
            }
            _ => {}
        }
        let (manager, orders) = (&mut self.manager, &mut self.orders);
        match input {
            DispatcherEvent::ClientConnected {
                conn,
                responses: answers,
            } => drop(self.clients.insert(conn, answers)),
            DispatcherEvent::Request(ask) => manager.handle_request(now, ask, orders),
            DispatcherEvent::CancelRequest(origin) => manager.cancel_request(now, origin, orders),
            DispatcherEvent::RejectedByFrontend {
                class,
                response: answer,
            } => manager.record_frontend_rejection(class, &answer),
            DispatcherEvent::ClientDisconnected(conn) => {
                self.clients.remove(&conn);
                manager.client_disconnected(now, conn, orders);
            }
            DispatcherEvent::AttemptFinished(ended) => manager.attempt_finished(now, ended, orders),
            DispatcherEvent::ProbeCompleted {
                engine,
                kind,
                latency,
                load,
            } => {
                if let Some(duties) = &self.duties {
                    let sounding = ProbeResult::new(kind, latency, &load);
                    let _ = duties.try_send(ProbeRequest::ProbeFinished {
                        engine: engine.0,
                        result: (kind != OutcomeKind::NeverSent).then_some(sounding),
                    });
                }
                // What was asked for others tells the module something too.
                manager.probe_completed(now, engine, kind, latency, load, orders);
            }
            DispatcherEvent::EndpointList {
                kind,
                entries,
                new_endpoints: rows,
                ..
            } => {
                self.engines.retain(|_, row| !row.is_closed());
                self.engines.extend(rows);
                manager.update_endpoints(now, kind, entries, orders);
            }
            DispatcherEvent::Reconfigure {
                settings,
                class_names: names,
                applied: done,
                ..
            } => {
                manager.reconfigure(*settings, &names);
                let _ = done.try_send(manager.classes());
            }
            DispatcherEvent::Tenants(tenants) => manager.set_tenants(&tenants),
            DispatcherEvent::Probe {
                engine,
                deadline: until,
            } => self.probe(now, EngineId(engine), until),
            DispatcherEvent::SharedProbeResult { engine, result } => {
                let (kind, load) = (result.outcome_kind(), result.load_report());
                manager.probe_completed(now, EngineId(engine), kind, result.latency, load, orders);
            }
            DispatcherEvent::LeaseChanged {
                resource: duty,
                token,
                held: owned,
            } => {
                if let Some(audit) = &mut self.audit {
                    audit.record_all(now, &self.manager.take_decisions());
                    audit.record_lease_change(now, duty, token, owned);
                }
            }
            DispatcherEvent::ActiveGateways(managers) => manager.set_active_gateways(managers),
            DispatcherEvent::DirectoryRead => manager.counters.directory_readings += 1,
            DispatcherEvent::ReloadSucceeded => manager.counters.reloads += 1,
            DispatcherEvent::ReloadFailed => manager.counters.reload_failures += 1,
            DispatcherEvent::DirectoryFailed => manager.counters.directory_failures += 1,
            DispatcherEvent::PrintCounters => eprintln!("yokelift: {}", manager.counters),
            DispatcherEvent::Shutdown => {}
        }
        self.dispatch(now);
    }

    fn dispatch(&mut self, now: Micros) {
        while !self.orders.is_empty() {
            for order in std::mem::take(&mut self.orders) {
                self.carry_out(now, order);
            }
        }
    }

    fn carry_out(&mut self, now: Micros, order: Command) {
        match order {
            Command::StartAttempt(engine, job) => {
                let (id, attempt) = (job.id, job.attempt);
                if let Err(end) = self.to_engine(engine, EngineCommand::Start(job)) {
                    let ended = AttemptResult {
                        id,
                        attempt,
                        termination: end,
                        progress: TransmitProgress::Unsent,
                        reply: AttemptReply::default(),
                    };
                    self.manager.attempt_finished(now, ended, &mut self.orders);
                }
            }
            Command::CancelAttempt(engine, id, attempt) => {
                if self
                    .to_engine(engine, EngineCommand::Cancel { id, attempt })
                    .is_err()
                {
                    // Guards against a lost word: with the mailbox closed the engine's connections
                    // end.
                    self.engines.get(&engine).iter().for_each(|row| row.abort());
                    log!("the mailbox of engine {} overflowed", engine.0);
                }
            }
            Command::MarkSlow(engine, id, attempt) => {
                let _ = self.to_engine(engine, EngineCommand::MarkSlow { id, attempt });
            }
            Command::Reprioritize(engine, id, attempt, urgency) => {
                let command = EngineCommand::SetPriority {
                    id,
                    attempt,
                    priority: urgency,
                };
                let _ = self.to_engine(engine, command);
            }
            Command::Probe(engine) => {
                // Where duties are shared out, their owner asks; without room there it is done as
                // without duties.
                if self.duties.as_ref().is_none_or(|duties| {
                    duties
                        .try_send(ProbeRequest::LoadWanted { engine: engine.0 })
                        .is_err()
                }) {
                    self.probe(now, engine, None);
                }
            }
            Command::CloseIdle(engine) => drop(self.to_engine(engine, EngineCommand::CloseIdle)),
            Command::Respond(origin, answer) => {
                let lost = self
                    .clients
                    .get(&origin.conn)
                    .is_none_or(|c| c.try_send((origin.tag, answer)).is_err());
                if lost {
                    // The client has gone, or takes no answers: its connection ends, as its mailbox
                    // does.
                    self.clients
                        .remove(&origin.conn)
                        .iter()
                        .for_each(|c| _ = c.close());
                }
            }
            Command::Log(line) => log!("module: {line}"),
        }
    }

    /// Asks an engine for its load, for the module or, until then, for other managers.
    fn probe(&mut self, now: Micros, engine: EngineId, until: Option<Micros>) {
        let late = until.is_some_and(|until| now >= until);
        if late
            || self
                .to_engine(
                    engine,
                    EngineCommand::Probe {
                        not_after: until.unwrap_or(Micros::MAX),
                    },
                )
                .is_err()
        {
            if until.is_some() {
                let failed = ProbeRequest::ProbeFinished {
                    engine: engine.0,
                    result: None,
                };
                self.duties
                    .iter()
                    .for_each(|duties| _ = duties.try_send(failed.clone()));
            } else {
                let (kind, load) = (OutcomeKind::NeverSent, LoadReport::default());
                self.manager
                    .probe_completed(now, engine, kind, 0, load, &mut self.orders);
            }
        }
    }

    /// Passes an order to an engine's row; how an attempt has ended that can't begin there.
    fn to_engine(&self, engine: EngineId, order: EngineCommand) -> Result<(), Termination> {
        self.engines
            .get(&engine)
            .map_or(Err(Termination::LocalLimit), |row| row.send(order))
    }
}
