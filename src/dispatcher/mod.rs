//! The core: drives the decision module and knows no wire.
//!
//! It owns the open requests, their attempts, the timers, and the ledger of the rules: one final
//! answer each, at most the stated attempts, never two out, nothing to what drains, and outcomes
//! that say exactly what is known. Fronts hand in [`ClientRequest`]s, engines hand in [`AttemptResult`]s; out come
//! [`Command`]s.
mod attempts;
mod in_flight;
pub mod message;
pub mod metrics;
mod responses;
pub mod termination;

use crate::audit::{Decision, DecisionKind};
use crate::class_registry::{Class, ClassRegistry};
use crate::clock::{MS, Micros, micros, nanos};
use crate::policy::Gateway;
use crate::policy::api::*;
use crate::statement;
use in_flight::{InFlightAttempt, InFlightRequest, PossibleExecution};
pub use message::{
    AttemptReply, AttemptRequest, AttemptResult, ClientRequest, Command, Cost, Failure, Origin,
    Response, Session,
};
use metrics::{Counters, MetricsSnapshot};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::rc::Rc;
use termination::{Termination, never_ran, outcome};

/// How long after a client's deadline the core waits for the module's answer before it gives its
/// own.
const GUARD: Micros = 25_000;

/// When to come back if there is no room for a statement.
const NO_ROOM_AFTER: Micros = 500_000;
/// Names of requests that are over are remembered so far: a name must not come again while words
/// about it may.
const MOST_PAST_KEYS: usize = 4_096;

/// Attempts of a request that may be out together, where the settings allow second copies.
const MOST_COPIES: usize = 2;
/// The highest priority.
const MOST_URGENCY: u8 = 3;

/// When to come back to another manager, as this one ends.
const ELSEWHERE_AFTER: Micros = 50_000;

/// The core.
pub struct Dispatcher {
    module: Gateway,
    generations: ClassRegistry,
    max_attempts: u16,
    engines: BTreeMap<EngineId, Endpoint>,
    heeds: EngineCapabilities,
    open: BTreeMap<RequestId, InFlightRequest>,
    origins: BTreeMap<Origin, RequestId>,
    deadlines: BTreeSet<(Micros, RequestId)>,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Names of requests that are open, or were a while ago.
    keys: BTreeSet<Rc<str>>,
    past_keys: VecDeque<Rc<str>>,
    /// Bytes of open statements, and how many are too many.
    statements: usize,
    most_statements: usize,
    next_id: u32,
    acts: Vec<Action>,
    /// Decisions since they were last taken, where the audit is kept.
    decisions: Option<Vec<Decision>>,
    /// What happened so far.
    pub counters: Counters,
}

impl Dispatcher {
    /// A core that knows nothing but its settings.
    pub fn new(now: Micros, settings: Settings, names: &[String], seed: u64) -> Dispatcher {
        let mut manager = Dispatcher {
            generations: ClassRegistry::new(named(&settings, names)),
            max_attempts: send_cap(&settings),
            engines: BTreeMap::new(),
            heeds: EngineCapabilities::of(&settings),
            open: BTreeMap::new(),
            module: Gateway::new(nanos(now), settings, seed),
            origins: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            timers: BinaryHeap::new(),
            keys: BTreeSet::new(),
            past_keys: VecDeque::new(),
            statements: 0,
            most_statements: usize::MAX,
            next_id: 0,
            acts: Vec::new(),
            decisions: None,
            counters: Counters::default(),
        };
        manager.list_classes(names);
        manager
    }

    /// New settings, with the names of their classes: for all that comes from now on. What is open
    /// keeps its class and its number of attempts.
    pub fn reconfigure(&mut self, settings: Settings, names: &[String]) {
        let fresh = self.generations.next(named(&settings, names));
        let fresh: Vec<_> = fresh
            .iter()
            .map(|fresh| (fresh.slot, fresh.heir_of))
            .collect();
        let classes = self
            .generations
            .slots()
            .map(|(class, _)| class.spec.clone())
            .collect();
        self.max_attempts = send_cap(&settings);
        self.heeds = EngineCapabilities::of(&settings);
        self.module.reconfigure(
            Settings {
                classes,
                ..settings
            },
            &fresh,
        );
        self.list_classes(names);
    }

    /// The classes by their ids, and whether each is in force.
    pub fn classes(&self) -> Vec<(Class, bool)> {
        self.generations
            .slots()
            .map(|(class, in_force)| (class.clone(), in_force))
            .collect()
    }

    /// A class has its figures from the start on.
    fn list_classes(&mut self, names: &[String]) {
        for name in names {
            self.counters
                .classes
                .entry(name.as_str().into())
                .or_default();
        }
    }

    /// So many bytes of open statements are held at most.
    pub fn set_statement_limit(&mut self, bytes: usize) {
        self.most_statements = bytes;
    }

    /// Whether decisions are noted for the audit.
    pub fn record_decisions(&mut self, kept: bool) {
        self.decisions = kept.then(Vec::new);
    }

    /// What was decided since the last call, in order.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        self.decisions
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default()
    }

    fn note(&mut self, class: ClassId, request: &Rc<str>, what: DecisionKind) {
        let (Some(decisions), Some(class)) = (&mut self.decisions, self.generations.class(class))
        else {
            return;
        };
        decisions.push(Decision {
            kind: what,
            class: class.name.clone(),
            request: request.clone(),
        });
    }

    fn note_answer(&mut self, class: ClassId, request: &Rc<str>, answer: &Response) {
        match answer {
            Response::Rejected(after) => {
                let after = u32::try_from(after.unwrap_or(0) / MS).unwrap_or(u32::MAX);
                self.note(
                    class,
                    request,
                    DecisionKind::Reject {
                        retry_after_ms: after,
                    },
                );
            }
            Response::Failed(_) => self.note(class, request, DecisionKind::Fail),
            // One that was served is told by its dispatch; one that another process worded, by that
            // process.
            Response::Completed(_) | Response::Preformatted(_) => {}
        }
    }

    /// Counts a final answer.
    fn count(&mut self, class: ClassId, answer: &Response) {
        match answer {
            Response::Completed(_) => self.counters.served += 1,
            Response::Rejected(_) => self.counters.refused += 1,
            Response::Failed(_) => self.counters.failed += 1,
            Response::Preformatted(_) => {}
        }
        self.tally(class, answer);
    }

    fn tally(&mut self, class: ClassId, answer: &Response) {
        let Some(class) = self.generations.class(class) else {
            return;
        };
        let tally = self.counters.classes.entry(class.name.clone()).or_default();
        match answer {
            Response::Completed(_) => tally.success += 1,
            Response::Rejected(_) => tally.overload += 1,
            Response::Failed(_) => tally.error += 1,
            Response::Preformatted(_) => {}
        }
    }

    /// A front turned a request of that class away by itself.
    pub fn record_frontend_rejection(&mut self, class: ClassId, answer: &Response) {
        if self.decisions.is_some() {
            self.note_answer(class, &Rc::from(""), answer);
        }
        self.tally(class, answer);
    }

    /// What operators are told; all but the attempts written, which the connections to engines
    /// count.
    pub fn metrics(&self) -> MetricsSnapshot {
        MetricsSnapshot {
            classes: self.counters.classes.clone(),
            dispatches: 0,
            concurrent: self.counters.open(),
            targets: self.engines.len() as u64,
            targets_disabled: self.module.unavailable_engines() as u64,
            reload_success: self.counters.reloads,
            reload_failure: self.counters.reload_failures,
        }
    }

    /// When the core wants its next turn by itself.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        timer.into_iter().chain(deadline).min()
    }

    fn tell(&mut self, now: Micros, event: Event, orders: &mut Vec<Command>) {
        let mut acts = std::mem::take(&mut self.acts);
        self.module.handle(nanos(now), event, &mut acts);
        acts.drain(..)
            .for_each(|act| self.carry_out(now, act, orders));
        self.acts = acts;
    }

    /// News of the list of engines.
    pub fn update_endpoints(
        &mut self,
        now: Micros,
        kind: EndpointListKind,
        entries: Vec<Endpoint>,
        orders: &mut Vec<Command>,
    ) {
        self.counters.lists += 1;
        if matches!(kind, EndpointListKind::Cached | EndpointListKind::Full) {
            self.engines.clear();
        }
        self.engines.extend(entries.iter().map(|e| (e.id, *e)));
        self.engines
            .retain(|_, entry| entry.readiness != Readiness::Removed);
        self.tell(now, Event::EndpointList { kind, entries }, orders);
    }

    /// The tenants' shares changed.
    pub fn set_tenants(&mut self, tenants: &[TenantSpec]) {
        self.module.set_tenants(tenants);
    }

    /// That part of what this manager may use of the engines is this process's.
    pub fn set_capacity_share(&mut self, part: f64) {
        self.module.set_capacity_share(part);
    }

    /// So many managers share the warm engines, as the fleet's membership counts them.
    pub fn set_active_gateways(&mut self, managers: u32) {
        self.module.set_active_gateways(managers);
    }

    /// A request came in.
    pub fn handle_request(&mut self, now: Micros, ask: ClientRequest, orders: &mut Vec<Command>) {
        self.counters.taken += 1;
        // Guards the rule of one answer: a second request under a mark that is still open would
        // take the first one's answer.
        let class = self
            .generations
            .class(ask.class)
            .filter(|_| !self.origins.contains_key(&ask.origin));
        let Some(of_class) = class.map(|class| class.spec.idempotency) else {
            return self.turn_down(&ask, Response::Failed(Failure::NotSent), orders);
        };
        // Guards rule 2: engines know a repeat by its key alone, so without one there is to be
        // none.
        let keyed = matches!(of_class, Idempotency::WithKey { .. });
        let effect = if keyed && ask.idempotency_key.is_none() {
            Idempotency::NonIdempotent
        } else {
            of_class
        };
        let copies = if self.heeds.copies && effect != Idempotency::NonIdempotent {
            MOST_COPIES
        } else {
            1
        };
        // Guards the rules on attempts and answers: engines and clients tell requests apart by
        // their names, and a second one under the name of the first would pass for its further
        // attempt, or take its answer.
        if self.keys.contains(&ask.client_request_id) {
            return self.turn_down(&ask, Response::Failed(Failure::InUse), orders);
        }
        // Guards the limit on memory: as the module sees none of it, it is refused here.
        if self.statements + ask.statement.len() > self.most_statements {
            return self.turn_down(&ask, Response::Rejected(Some(NO_ROOM_AFTER)), orders);
        }
        self.keys.insert(ask.client_request_id.clone());
        self.statements += ask.statement.len();
        self.next_id = self.next_id.wrapping_add(1);
        let id = RequestId(self.next_id);
        let schema = ask.session.as_ref().and_then(|s| s.database.as_deref());
        let event = Event::Request(Request {
            id,
            class: ask.class,
            tenant: ask.tenant,
            key: None,
            deadline: nanos(ask.deadline),
            work_hint: ask.work_estimate.map(nanos),
            memory_hint_mb: ask.memory_mb,
            data_set: statement::group(&ask.statement, schema)
                .map_or(0, |group| group.wrapping_add(1)),
            is_retry: ask.is_retry,
            must_not_repeat: effect == Idempotency::NonIdempotent,
        });
        self.generations.opened(ask.class);
        self.origins.insert(ask.origin, id);
        self.deadlines.insert((ask.deadline + GUARD, id));
        let open = InFlightRequest::new(ask, effect, self.max_attempts, copies);
        self.open.insert(id, open);
        self.tell(now, event, orders);
    }

    fn turn_down(&mut self, ask: &ClientRequest, answer: Response, orders: &mut Vec<Command>) {
        self.count(ask.class, &answer);
        self.note_answer(ask.class, &ask.client_request_id, &answer);
        orders.push(Command::Respond(ask.origin, answer));
    }

    /// The client stopped waiting for one request.
    pub fn cancel_request(&mut self, now: Micros, origin: Origin, orders: &mut Vec<Command>) {
        if let Some(id) = self.origins.remove(&origin) {
            self.counters.gone += 1;
            self.leave(now, id, orders);
        }
    }

    /// A client's connection ended, with all that was open on it.
    pub fn client_disconnected(&mut self, now: Micros, conn: u64, orders: &mut Vec<Command>) {
        let all = Origin { conn, tag: 0 }..=Origin {
            conn,
            tag: u64::MAX,
        };
        let left: Vec<Origin> = self.origins.range(all).map(|(origin, _)| *origin).collect();
        left.into_iter()
            .for_each(|origin| self.cancel_request(now, origin, orders));
    }

    fn leave(&mut self, now: Micros, id: RequestId, orders: &mut Vec<Command>) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.closed = true;
        self.deadlines.remove(&(open.ask.deadline + GUARD, id));
        self.tell(now, Event::ClientDisconnected(id), orders);
        self.stop_all(id, Termination::Cancelled, orders);
        self.forget(id);
    }

    /// An attempt ended.
    pub fn attempt_finished(
        &mut self,
        now: Micros,
        ended: AttemptResult,
        orders: &mut Vec<Command>,
    ) {
        let id = ended.id;
        let known = self.open.get_mut(&id);
        // Guards against an end that comes twice, as when a time-out crosses an answer: the first
        // one counts.
        let Some((open, out)) =
            known.and_then(|open| open.take_out(ended.attempt).map(|out| (open, out)))
        else {
            self.counters.stray += 1;
            return;
        };
        if !open.due_at(out.until) {
            self.deadlines.remove(&(out.until, id));
        }
        // An attempt that was given up did not fail: its time was up, or it was called off.
        let end = match (ended.termination, out.stopping) {
            (Termination::Cancelled, Some(why)) => why,
            (end, _) => end,
        };
        *self.counters.ends.entry(end).or_default() += 1;
        let kind = outcome(end, ended.progress);
        if !never_ran(kind) {
            let ran = PossibleExecution {
                on: out.to,
                sent_at: out.sent_at,
            };
            open.ran = Some(
                open.ran
                    .filter(|first| first.sent_at <= ran.sent_at)
                    .unwrap_or(ran),
            );
        }
        open.last_end = Some(end);
        let cost = if self.heeds.costs && kind == OutcomeKind::Ok {
            ended.reply.cost
        } else {
            Cost::default()
        };
        let served = kind == OutcomeKind::Ok && !open.closed;
        let closed = open.closed || served;
        if served {
            self.close(id, Response::Completed(ended.reply.rows), orders);
        }
        let event = Event::Outcome(Outcome {
            id,
            attempt: out.attempt,
            engine: out.to.id,
            kind,
            latency: nanos(now.saturating_sub(out.sent_at)),
            request_finished: closed,
            work: cost.work.map(nanos),
            memory_mb: cost.memory_mb,
            load: ended.reply.load,
        });
        self.tell(now, event, orders);
        self.forget(id);
    }

    /// How long a client waits at most.
    pub fn longest_deadline(&self) -> Micros {
        self.generations
            .slots()
            .map(|(class, _)| micros(class.spec.deadline))
            .max()
            .unwrap_or(0)
    }

    /// The program is about to be killed: gives up what is open, refused where that is honest,
    /// since another manager may still serve it.
    pub fn fail_all(&mut self, now: Micros, orders: &mut Vec<Command>) {
        let open: Vec<RequestId> = self
            .open
            .iter()
            .filter(|(_, o)| !o.closed)
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            self.refuse(id, ELSEWHERE_AFTER, orders);
            self.tell(now, Event::ClientDisconnected(id), orders);
        }
    }

    /// A probe came back.
    pub fn probe_completed(
        &mut self,
        now: Micros,
        engine: EngineId,
        kind: OutcomeKind,
        latency: Micros,
        load: LoadReport,
        orders: &mut Vec<Command>,
    ) {
        self.tell(
            now,
            Event::ProbeCompleted {
                engine,
                kind,
                latency: nanos(latency),
                load,
            },
            orders,
        );
    }

    /// Timers and deadlines that are due.
    pub fn run_due_timers(&mut self, now: Micros, orders: &mut Vec<Command>) {
        while let Some((at, id)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, id));
            let Some(open) = self.open.get_mut(&id) else {
                continue;
            };
            if at < open.ask.deadline + GUARD {
                let late = open
                    .outs
                    .iter()
                    .filter(|out| out.until <= at)
                    .map(|out| out.attempt);
                let late: Vec<AttemptNo> = late.collect();
                late.into_iter()
                    .for_each(|attempt| self.stop(id, attempt, Termination::Deadline, orders));
            } else if !open.closed {
                // Guards the rule of one answer against an oversight of the module: it is late
                // already.
                self.counters.stopped += 1;
                self.fail(id, Failure::Deadline, orders);
                self.tell(now, Event::ClientDisconnected(id), orders);
                self.stop_all(id, Termination::Deadline, orders);
                self.forget(id);
            }
        }
        // Only those that are due now: what the module asks for in this turn waits for the next
        // one.
        let mut tokens = Vec::new();
        while let Some(Reverse((_, token))) =
            self.timers.peek().filter(|Reverse((at, _))| *at <= now)
        {
            tokens.push(*token);
            self.timers.pop();
        }
        tokens
            .into_iter()
            .for_each(|token| self.tell(now, Event::TimerFired(token), orders));
    }

    fn carry_out(&mut self, now: Micros, act: Action, orders: &mut Vec<Command>) {
        match act {
            Action::Send {
                id,
                engine,
                timeout,
            } => self.send(now, id, engine, timeout, orders),
            Action::SetAttemptOptions {
                id,
                priority,
                memory_mb,
            } => self.terms(id, priority, memory_mb, orders),
            Action::Cancel { id, attempt } => {
                if self
                    .open
                    .get(&id)
                    .is_some_and(|open| open.out(attempt).is_some())
                {
                    self.counters.withdrawn += 1;
                    self.stop(id, attempt, Termination::Cancelled, orders);
                }
            }
            Action::Reject { id, retry_after } => self.refuse(id, micros(retry_after), orders),
            Action::Fail { id } => {
                let why = self.open.get(&id).and_then(|open| open.last_end);
                let why = match why {
                    None => Failure::NotSent,
                    Some(Termination::Deadline) => Failure::Deadline,
                    Some(end) => Failure::Attempt(end),
                };
                self.fail(id, why, orders);
            }
            Action::StartTimer { after, token } => {
                self.timers
                    .push(Reverse((now + micros(after).max(1), token)));
            }
            Action::Probe { engine } => {
                self.counters.probes += 1;
                orders.push(Command::Probe(engine));
            }
            Action::CloseIdleConnections { engine } => orders.push(Command::CloseIdle(engine)),
            Action::Log(line) => orders.push(Command::Log(line)),
            // Changes come by themselves, and gateways share nothing: there is nobody to ask or
            // tell.
            Action::SendToPeer { .. }
            | Action::FetchEndpointList
            | Action::WatchEndpointList(_) => {}
        }
    }
}

/// The classes of the settings under their names.
fn named(settings: &Settings, names: &[String]) -> Vec<Class> {
    let class = |(spec, name): (&ClassSpec, &String)| Class {
        name: name.as_str().into(),
        spec: spec.clone(),
    };
    settings.classes.iter().zip(names).map(class).collect()
}

/// What the settings let a manager say to engines, and believe of what they say.
#[derive(Clone, Copy)]
struct EngineCapabilities {
    priorities: bool,
    grants: bool,
    costs: bool,
    copies: bool,
}

impl EngineCapabilities {
    fn of(settings: &Settings) -> EngineCapabilities {
        EngineCapabilities {
            priorities: settings.priorities_supported,
            grants: settings.memory_grants_supported,
            costs: settings.reports_cost,
            copies: settings.limits.hedging,
        }
    }
}

fn send_cap(settings: &Settings) -> u16 {
    settings.limits.max_attempts.clamp(1, u32::from(u16::MAX)) as u16
}

#[cfg(test)]
#[path = "../../tests/unit/dispatcher.rs"]
mod model;
